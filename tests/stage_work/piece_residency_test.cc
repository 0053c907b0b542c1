/// Pieces with a residency (a set of permitted regions), in a fleet whose nodes batch pieces for
/// one another.
#include "exchange_fleet.h"
#include "residency_fixture.h"

#include <map>
#include <set>
#include <string>

using namespace spurrack;
using namespace spurrack::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int node_count = 12;
constexpr int zone_count = 6;
using text_set = std::set<std::string>;

/// Two nodes in each of six zones; each zone has replicas of service `pool`.
struct restricted_fleet : exchange_fleet {
  explicit restricted_fleet(int replicas_per_zone = 2)
      : exchange_fleet(node_count, zone_count, residency_settings()) {
    for (const auto& zone : residency_zones) {
      for (int index = 0; index < replicas_per_zone; ++index) {
        published.add_replica("pool-" + zone + "-" + std::to_string(index), "pool", zone);
      }
    }
    apply_published();
    run(seconds(3));
  }

  /// Applies the published replicas, evacuations and services at every node.
  void apply_published() {
    for (auto& node : nodes) {
      node->replicas.update(published.content.replicas(), now);
      node->replicas.set_evacuated(published.content.evacuated_zones(), now);
      node->subject.set_configuration(published.content.serving());
    }
  }

  static std::string zone_of(const start_stage_call& call) {
    const auto& name = call.target.replica.text();
    return name.substr(name.find('-') + 1, 1);
  }
};

/// A pool that may call all replicas: one in zone `a` and one in zone `e`.
struct restricted_pool {
  restricted_pool()
      : random(1), replicas(base::node_id("n"), base::zone_id("a"), residency_settings(), random),
        pool(
            replicas, residency_settings(), [this] { return next_call++; },
            [](auto, const auto&, const auto&, const auto&) {}) {
    published.remove_replica("pool-b");
    published.add_replica("pool-e", "pool", "e");
    replicas.update(published.content.replicas(), {});
    pool.set_configuration(published.content.serving());
  }

  /// Submits a piece with preferred zone `a`; all pieces belong to one request.
  void submit(const model::residency& allowed) {
    piece_work work;
    work.request = base::request_id("same");
    work.service = "pool";
    work.piece_key = "k";
    work.permitted_regions = allowed;
    work.zone = base::zone_id("a");
    work.carried_bytes = 50e6;
    work.due = now + seconds(60);
    work.deadline = now + seconds(60);
    pool.submit(std::move(work), now);
  }

  /// @return zone of the replica that was called with each piece.
  std::vector<std::string> zones_of_pieces() {
    now += milliseconds(20);
    pool.dispatch_waiting(now);
    std::vector<std::string> zones;
    for (const auto& command : pool.take_commands()) {
      if (const auto* call = std::get_if<start_stage_call>(&command)) {
        zones.insert(zones.end(), call->items.size(), restricted_fleet::zone_of(*call));
      }
    }
    return zones;
  }

  published_catalog published;
  base::seeded_random random;
  replica_table replicas;
  base::call_id next_call = 1;
  stage_pool pool;
  base::time_point now{std::chrono::hours(1)};
};

/// Submits random pieces, injects random faults and checks the region of each call.
class random_fleet_run : public restricted_fleet {
 public:
  explicit random_fleet_run(std::uint64_t seed) : random_(seed) {}

  void run_steps(int steps) {
    for (int step = 0; step < steps; ++step) {
      take_random_step();
      run(milliseconds(20));
      end_all_calls();
    }
  }

  int pieces_checked = 0;
  int pieces_outside = 0;

 private:
  void take_random_step() {
    switch (random_.below(10)) {
    case 0:
      unresponsive = random_.below(2) == 0 ? base::node_id()
                                           : nodes[random_.below(nodes.size())]->identity.node;
      break;
    case 1:
      partitioned_zone = random_.below(2) == 0 ? base::zone_id() : base::zone_id(random_zone());
      break;
    case 2:
      change_evacuation();
      break;
    case 3:
      change_replica();
      break;
    default:
      submit_pieces();
      break;
    }
  }

  std::string random_zone() { return residency_zones[random_.below(residency_zones.size())]; }

  void submit_pieces() {
    static const std::vector<text_set> sets{{"north"}, {"south"}, {"west"}, {"north", "west"}};
    const auto set = random_.below(sets.size() + 1);
    const auto allowed = set == sets.size() ? model::residency{} : within(sets[set]);
    // A client may reuse a request id after the residency rules of its tenant changed. In this
    // test, each residency has request ids of its own, so that `check` finds the residency of a
    // piece by its request id.
    const auto name = "r" + std::to_string(random_.below(4)) + "-" + std::to_string(set);
    residency_by_request_[name] = allowed;
    auto& origin = *nodes[random_.below(nodes.size())];
    for (auto remaining = 1 + random_.below(6); remaining > 0; --remaining) {
      submit(origin, base::zone_id(random_zone()), allowed, name);
    }
  }

  void change_evacuation() {
    const auto zone = random_zone();
    if (evacuated_.erase(zone) > 0) {
      published.end_evacuation(zone);
    } else {
      evacuated_.insert(zone);
      published.evacuate(zone);
    }
    apply_published();
  }

  void change_replica() {
    const auto zone = random_zone();
    const auto name = "pool-" + zone + "-" + std::to_string(random_.below(2));
    if (random_.below(2) == 0) {
      published.remove_replica(name);
    } else {
      published.add_replica(name, "pool", zone, random_.below(4) == 0);
    }
    apply_published();
  }

  void end_all_calls() {
    for (auto& node : nodes) {
      for (const auto& call : std::exchange(node->calls, {})) {
        check(call);
        end_call(*node, call);
      }
    }
  }

  void check(const start_stage_call& call) {
    const auto region = residency_regions().region_of(base::zone_id(zone_of(call)));
    for (const auto& item : call.items) {
      ++pieces_checked;
      pieces_outside += residency_by_request_.at(item.request.text()).permits(region) ? 0 : 1;
    }
  }

  void end_call(exchange_node& caller, const start_stage_call& call) {
    using how = stage_call_ended::result;
    constexpr std::array<how, 6> outcomes{how::answered, how::answered, how::answered,
                                          how::refused,  how::failed,   how::not_sent};
    stage_call_ended ended{call.call, outcomes[random_.below(outcomes.size())], {}};
    if (ended.outcome == how::answered) {
      for (std::size_t index = 0; index < call.items.size(); ++index) {
        const bool fails = random_.below(6) == 0;
        ended.pieces.push_back(
            {fails ? piece_fault::error : piece_fault::none,
             fails ? "" : call.target.address.text() + "/h" + std::to_string(++handle_count_)});
      }
    }
    caller.subject.on_call_ended(ended, now);
  }

  base::seeded_random random_;
  std::map<std::string, model::residency> residency_by_request_;
  text_set evacuated_;
  int handle_count_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(piece_residency_test)

BOOST_AUTO_TEST_CASE(piece_is_batched_in_a_permitted_region) {
  restricted_fleet fleet;
  fleet.submit(*fleet.nodes[0], base::zone_id("a"), within({"south"}));
  fleet.run(milliseconds(100));
  BOOST_REQUIRE(fleet.caller() != nullptr);
  const auto batcher = fleet.caller()->identity.zone;
  BOOST_TEST(residency_regions().region_of(batcher)->text() == "south");
  const auto zone = restricted_fleet::zone_of(fleet.caller()->calls.front());
  BOOST_TEST((text_set{"c", "d"}).contains(zone));
}

BOOST_FIXTURE_TEST_CASE(pieces_of_one_request_with_different_residencies_run_in_different_zones,
                        restricted_pool) {
  submit(model::residency{});
  submit(within({"west"}));
  submit(model::residency{});
  const auto zones = zones_of_pieces();
  BOOST_TEST(zones.size() == 3U);
  BOOST_TEST(std::count(zones.begin(), zones.end(), "e") == 1);
}

BOOST_FIXTURE_TEST_CASE(piece_does_not_wait_for_a_zone_that_is_not_permitted, restricted_pool) {
  submit(model::residency{});
  submit(within({"west"}));
  // Zone `a` is the preferred zone of both pieces, and the transfer of their bytes to another zone
  // costs more than a short wait for the replica of zone `a`. The second piece must not run in `a`.
  BOOST_TEST(zones_of_pieces().size() == 2U);
}

BOOST_AUTO_TEST_CASE(batcher_of_another_region_calls_permitted_replicas_for_a_forwarded_piece) {
  restricted_fleet fleet;
  auto& origin = *fleet.nodes[0];
  fleet.submit(origin, base::zone_id("a"), within({"north"}));
  fleet.run(milliseconds(100));
  BOOST_REQUIRE(fleet.caller() != nullptr);
  auto& batcher = *fleet.caller();
  batcher.calls.clear();
  wire::stage_work message;
  message.set_life(1);
  auto& wanted = *message.add_wanted();
  wanted.set_ticket(1);
  wanted.set_request("sent");
  wanted.set_service("pool");
  wanted.set_piece_key("k");
  wanted.set_due_in_milliseconds(2000);
  wanted.set_expires_in_milliseconds(5000);
  wanted.set_zone("c");
  wanted.add_permitted_regions("south");
  batcher.subject.handle(fleet.other_than(batcher).identity.node, message, fleet.now);
  fleet.run(milliseconds(100));
  BOOST_REQUIRE(batcher.calls.size() == 1U);
  BOOST_TEST((text_set{"c", "d"}).contains(restricted_fleet::zone_of(batcher.calls.front())));
}

BOOST_AUTO_TEST_CASE(pieces_of_a_region_without_nodes_are_called_by_a_batcher_of_another_region) {
  restricted_fleet fleet;
  // All nodes of the region `south` are removed, so that nodes of other regions must call the
  // replicas of `south`.
  std::vector<fleet_peer> remaining;
  for (int index = 0; index < node_count; ++index) {
    if (residency_regions().region_of(fleet.peer(index).zone) != base::region_id("south")) {
      remaining.push_back(fleet.peer(index));
    }
  }
  for (auto& node : fleet.nodes) {
    auto others = remaining;
    std::erase_if(others, [&](const auto& other) { return other.node == node->identity.node; });
    node->subject.set_peers(others);
  }
  auto& origin = *fleet.nodes[0];
  fleet.submit(origin, base::zone_id("a"), within({"south"}));
  fleet.run_answering(seconds(2), [&](const exchange_node& caller, const start_stage_call& call) {
    BOOST_TEST((text_set{"c", "d"}).contains(restricted_fleet::zone_of(call)));
    BOOST_TEST((residency_regions().region_of(caller.identity.zone) != base::region_id("south")));
  });
  BOOST_REQUIRE(origin.finished.size() == 1U);
  BOOST_TEST((origin.finished.front().outcome.fault == piece_fault::none));
}

BOOST_AUTO_TEST_CASE(no_piece_is_called_outside_its_regions) {
  constexpr std::uint64_t run_count = 12;
  constexpr int steps = 250;
  int checked = 0;
  for (std::uint64_t seed = 1; seed <= run_count; ++seed) {
    random_fleet_run random_run(seed);
    random_run.run_steps(steps);
    BOOST_TEST(random_run.pieces_outside == 0,
               "seed " << seed << ": " << random_run.pieces_outside);
    checked += random_run.pieces_checked;
  }
  BOOST_TEST(checked > 1000);
}

BOOST_AUTO_TEST_SUITE_END()
