/// Guards against a process that ends because the configuration drops a stage service, or turns it
/// into a service without pieces, while another zone still reports its load or pieces of it are
/// under way. The nodes of a fleet apply a configuration at different times, in either order.
#include "exchange_fleet.h"

using namespace spurrack;
using namespace spurrack::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int zone_count = 2;
constexpr int node_count = 2;
/// Enough for a shard of its own in each zone, so that each node learns of the other node's shard
/// only by its load reports.
constexpr std::size_t replicas_per_zone = 9;

/// A node in each of two zones of one region.
struct two_zones : exchange_fleet {
  two_zones() : exchange_fleet(node_count, zone_count, one_region_settings()) {
    for (const std::string zone : {"a", "b"}) {
      for (std::size_t index = 0; index < replicas_per_zone; ++index) {
        published.add_replica("more-" + zone + std::to_string(index), "pool", zone);
      }
    }
    apply(*nodes[0]);
    apply(*nodes[1]);
    run(seconds(3));
  }

  /// Gives a node the configuration and the replicas that are published now.
  void apply(exchange_node& node) const {
    node.replicas.set_configuration(published.content.serving());
    node.replicas.update(published.content.replicas(), now);
    node.subject.set_configuration(published.content.serving());
  }

  /// Publishes a configuration without the route with stages, and without its stage service.
  void drop_service() {
    remove_staged_route();
    auto& services = *published.configuration.mutable_services();
    const auto dropped = std::find_if(services.begin(), services.end(), is_pool);
    services.erase(dropped);
    published.publish_configuration();
  }

  /// Publishes a configuration in which the stage service has become a service of engines.
  void change_kind_of_service() {
    remove_staged_route();
    auto& services = *published.configuration.mutable_services();
    auto& changed = *std::find_if(services.begin(), services.end(), is_pool);
    changed.clear_pieces();
    changed.mutable_engine()->set_slots(8);
    published.publish_configuration();
  }

  void restore_service() {
    auto& services = *published.configuration.mutable_services();
    auto found = std::find_if(services.begin(), services.end(), is_pool);
    auto& service = found == services.end() ? published.add_service("pool") : *found;
    service.clear_engine();
    auto& pieces = *service.mutable_pieces();
    pieces.set_slots(2);
    pieces.set_batch(2);
    pieces.set_call_milliseconds(100);
    pieces.set_item_milliseconds(5);
    pieces.set_result_megabytes(1);
    pieces.set_handle_seconds(4);
    published.publish_configuration();
  }

  /// Submits pieces of different requests at a node whose zone is preferred.
  void submit_many(exchange_node& node, int pieces) {
    for (int piece = 0; piece < pieces; ++piece) {
      submit(node, node.identity.zone, {}, "r" + std::to_string(piece));
    }
  }

  /// @return number of finished pieces of a node with the given fault.
  static std::size_t count(const exchange_node& node, piece_fault fault) {
    return static_cast<std::size_t>(
        std::count_if(node.finished.begin(), node.finished.end(),
                      [&](const auto& piece) { return piece.outcome.fault == fault; }));
  }

 private:
  static bool is_pool(const wire::published_service& service) { return service.name() == "pool"; }

  void remove_staged_route() {
    auto& routes = *published.configuration.mutable_routes();
    const auto staged = std::find_if(routes.begin(), routes.end(),
                                     [](const auto& route) { return route.stages_size() > 0; });
    if (staged != routes.end()) {
      routes.erase(staged);
    }
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(dropped_service_test, two_zones)

/// Guards against a null pointer in the choice of a batcher: the peer is older, and still reports
/// the load of its shard.
BOOST_AUTO_TEST_CASE(piece_of_dropped_service_is_not_run_although_a_peer_reports_the_service) {
  drop_service();
  apply(*nodes[0]);
  submit_many(*nodes[0], 3);
  run(milliseconds(100));
  BOOST_TEST(nodes[0]->finished.size() == 3U);
  BOOST_TEST(count(*nodes[0], piece_fault::not_configured) == 3U);
  BOOST_TEST(nodes[0]->calls.empty());
  BOOST_TEST(nodes[1]->calls.empty());
}

BOOST_AUTO_TEST_CASE(no_wait_is_expected_for_a_dropped_service) {
  const service_demand demand{"pool", base::zone_id("a"), {}};
  BOOST_TEST(nodes[0]->subject.expected_wait(demand, piece_order::in_time, now).has_value());
  drop_service();
  apply(*nodes[0]);
  BOOST_TEST(!nodes[0]->subject.expected_wait(demand, piece_order::in_time, now).has_value());
}

/// Guards against shards of an earlier configuration whose services are looked up in the present
/// one: the configuration changes between the refresh of the shards and their use.
BOOST_AUTO_TEST_CASE(shards_of_an_earlier_configuration_are_not_used_for_a_dropped_service) {
  for (int round = 0; round < 10; ++round) {
    run(milliseconds(10));
    drop_service();
    apply(*nodes[0]);
    const service_demand demand{"pool", base::zone_id("a"), {}};
    BOOST_TEST(!nodes[0]->subject.expected_wait(demand, piece_order::past_due, now).has_value());
    restore_service();
    apply(*nodes[0]);
  }
}

/// The peer is newer: it returns the pieces that were sent to it, and this node, which still has
/// the service, runs them.
BOOST_AUTO_TEST_CASE(pieces_that_a_newer_peer_returns_run_here) {
  drop_service();
  apply(*nodes[1]);
  submit(*nodes[0], base::zone_id("b"));
  run_answering(seconds(2));
  BOOST_TEST(nodes[0]->finished.size() == 1U);
  BOOST_TEST(count(*nodes[0], piece_fault::none) == 1U);
}

/// Pieces wait here and at the peer, and calls are under way, when both nodes lose the service.
BOOST_AUTO_TEST_CASE(waiting_pieces_of_a_dropped_service_end_at_once) {
  constexpr int pieces = 200;
  submit_many(*nodes[0], pieces);
  run(milliseconds(200));
  const auto calls = nodes[0]->calls.size() + nodes[1]->calls.size();
  BOOST_REQUIRE(calls > 0U);
  drop_service();
  apply(*nodes[0]);
  apply(*nodes[1]);
  run(milliseconds(100));
  BOOST_TEST(count(*nodes[0], piece_fault::not_configured) > 0U);
  run_answering(seconds(1));
  BOOST_TEST(nodes[0]->finished.size() == static_cast<std::size_t>(pieces));
  BOOST_TEST(nodes[0]->calls.empty());
}

BOOST_AUTO_TEST_CASE(piece_of_a_service_that_lost_its_pieces_is_not_run) {
  change_kind_of_service();
  apply(*nodes[0]);
  submit_many(*nodes[0], 3);
  run(milliseconds(100));
  BOOST_TEST(count(*nodes[0], piece_fault::not_configured) == 3U);
}

BOOST_AUTO_TEST_CASE(pieces_run_again_after_the_service_returned_with_other_values) {
  drop_service();
  apply(*nodes[0]);
  apply(*nodes[1]);
  run(seconds(1));
  restore_service();
  apply(*nodes[1]);
  run(milliseconds(300));
  apply(*nodes[0]);
  run(seconds(1));
  submit_many(*nodes[0], 8);
  run_answering(seconds(2));
  BOOST_TEST(count(*nodes[0], piece_fault::none) == 8U);
}

BOOST_AUTO_TEST_SUITE_END()
