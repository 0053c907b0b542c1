/// Requests that are held to regions: no call of theirs leaves their set, whatever happens.
#include "residency_fixture.h"
#include "serving_fixture.h"

#include <map>
#include <set>
#include <string>

using namespace spurrack;
using namespace spurrack::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

using text_set = std::set<std::string>;

/// A dispatcher in zone `a`. Replicas are named `SERVICE-ZONE` or `SERVICE-ZONE-NUMBER`.
struct held_dispatcher : dispatcher_driver {
  held_dispatcher() : dispatcher_driver(residency_settings()) {
    for (const std::string service : {"llm", "plain", "pool"}) {
      for (const auto& zone : residency_zones) {
        if (zone > "b") {
          auto name = service;
          world.add_replica(name.append("-").append(zone), service, zone);
        }
      }
    }
    time_allowed = seconds(20);
    publish();
  }

  void publish() {
    world.publish_configuration();
    subject.update(world.content, now);
  }

  void hold_routes(const text_set& regions) {
    for (auto& route : *world.configuration.mutable_routes()) {
      route.clear_permitted_regions();
      for (const auto& region : regions) {
        route.add_permitted_regions(region);
      }
    }
    publish();
  }

  void hold_tenant(const text_set& regions) {
    auto& tenant = *world.configuration.mutable_tenants(0);
    tenant.clear_permitted_regions();
    for (const auto& region : regions) {
      tenant.add_permitted_regions(region);
    }
    publish();
  }

  static std::string zone_of(const call_target& target) {
    const auto& name = target.replica.text();
    return name.substr(name.find('-') + 1, 1);
  }

  /// @return zones of all calls so far, those for pieces among them.
  text_set zones_of_calls() const {
    text_set zones;
    for (const auto& call : all<start_call>()) {
      zones.insert(zone_of(call.target));
    }
    for (const auto& call : all<start_stage_call>()) {
      zones.insert(zone_of(call.target));
    }
    return zones;
  }

  /// @return when the last answer tells to come back; empty where it does not.
  std::string retry_after() const {
    for (const auto& field : last<respond>().headers) {
      if (field.name == "Retry-After") {
        return field.value;
      }
    }
    return "";
  }

  /// Lets every piece be made as it is asked for.
  void make_pieces() {
    const auto calls = all<start_stage_call>();
    for (; answered < calls.size(); ++answered) {
      const auto& call = calls[answered];
      stage_call_ended ended{call.call, stage_call_ended::result::answered, {}};
      for (std::size_t index = 0; index < call.items.size(); ++index) {
        ended.pieces.push_back(
            {piece_fault::none, call.target.address.text() + "/h" + std::to_string(++handles)});
      }
      happen(ended);
    }
  }

  std::size_t answered = 0;
  int handles = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(request_residency_test, held_dispatcher)

BOOST_AUTO_TEST_CASE(calls_stay_in_the_regions_that_route_and_tenant_both_allow) {
  hold_routes({"south", "west"});
  hold_tenant({"north", "south"});
  for (base::caller_id client = 1; client <= 40; ++client) {
    arrive(client, client % 2 == 0 ? "/safe/x" : "/stream/x");
  }
  BOOST_TEST(all<start_call>().size() == 40U);
  BOOST_TEST(zones_of_calls() == (text_set{"c", "d"}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(pieces_and_the_call_that_reads_them_stay_there) {
  hold_routes({"west"});
  arrive(1, "/staged/x", {3, 2});
  for (int round = 0; round < 10; ++round) {
    pass(milliseconds(30));
    make_pieces();
  }
  BOOST_TEST(all<start_call>().size() == 1U);
  BOOST_TEST(all<start_stage_call>().size() >= 2U);
  BOOST_TEST(zones_of_calls() == text_set{"e"}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(an_empty_intersection_is_answered_at_once_without_a_time_to_come_back) {
  hold_routes({"south"});
  hold_tenant({"north"});
  arrive(1, "/safe/x");
  BOOST_TEST(last<respond>().status == 503U);
  BOOST_TEST(retry_after() == "");
  arrive(2, "/staged/x", {1, 1});
  BOOST_TEST(all<respond>().size() == 2U);
  BOOST_TEST(retry_after() == "");
  BOOST_TEST(subject.active() == 0U);
  BOOST_TEST(zones_of_calls().empty());
  BOOST_TEST(subject.counts().turned_away_by_residency == 2U);
}

BOOST_AUTO_TEST_CASE(a_region_that_nobody_knows_allows_nothing) {
  hold_routes({"atlantis"});
  arrive(1, "/safe/x");
  BOOST_TEST(last<respond>().status == 503U);
  BOOST_TEST(retry_after() == "");
  BOOST_TEST(zones_of_calls().empty());
}

BOOST_AUTO_TEST_CASE(a_region_whose_replicas_may_come_back_says_when) {
  hold_routes({"west"});
  world.evacuate("e");
  subject.update(world.content, now);
  arrive(1, "/safe/x");
  arrive(2, "/staged/x", {1, 1});
  BOOST_TEST(all<respond>().size() == 2U);
  BOOST_TEST(retry_after() != "");
  BOOST_TEST(subject.active() == 0U);
  world.end_evacuation("e");
  subject.update(world.content, now);
  arrive(3, "/safe/x");
  BOOST_TEST(zones_of_calls() == text_set{"e"}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_stage_without_replica_in_the_regions_allowed_is_told_at_once) {
  hold_routes({"west"});
  world.remove_replica("pool-e");
  subject.update(world.content, now);
  arrive(1, "/staged/x", {1, 1});
  BOOST_TEST(last<respond>().status == 503U);
  BOOST_TEST(retry_after() == "");
  arrive(2, "/stream/x");
  BOOST_TEST(all<start_call>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_zone_without_region_takes_only_what_is_held_nowhere) {
  for (const auto& zone : residency_zones) {
    if (zone != "f") {
      world.remove_replica("plain-" + zone);
    }
  }
  subject.update(world.content, now);
  arrive(1, "/safe/x");
  BOOST_TEST(zones_of_calls() == text_set{"f"}, boost::test_tools::per_element());
  hold_routes({"north", "south", "west"});
  arrive(2, "/safe/x");
  BOOST_TEST(all<start_call>().size() == 1U);
  BOOST_TEST(last<respond>().status == 503U);
}

BOOST_AUTO_TEST_CASE(second_attempts_and_resumed_streams_stay_there) {
  hold_routes({"west"});
  arrive(1, "/safe/x");
  happen(call_failed{last<start_call>().call, call_fate::may_have_run});
  arrive(2, "/stream/x");
  const auto stream = last<start_call>().call;
  happen(stream_opened{stream, good_head()});
  happen(stream_bytes{stream, "id: 1\ndata: x\n\n"});
  happen(stream_closed{stream, false});
  // The one replica of each service in the region has been tried.
  BOOST_TEST(all<start_call>().size() == 2U);
  BOOST_TEST(last<respond>().status == 502U);
  BOOST_TEST(!last<end_stream>().complete);
}

BOOST_AUTO_TEST_CASE(a_request_keeps_the_regions_it_began_with) {
  hold_routes({"west"});
  arrive(1, "/staged/x", {1, 1});
  hold_routes({"north"});
  arrive(2, "/staged/x", {1, 1});
  hold_routes({});
  for (int round = 0; round < 10; ++round) {
    pass(milliseconds(30));
    make_pieces();
  }
  std::map<std::string, text_set> zones;
  for (const auto& call : all<start_call>()) {
    zones[call.content->id.text()].insert(zone_of(call.target));
  }
  for (const auto& call : all<start_stage_call>()) {
    for (const auto& item : call.items) {
      zones[item.request.text()].insert(zone_of(call.target));
    }
  }
  BOOST_TEST(zones["r1"] == text_set{"e"}, boost::test_tools::per_element());
  BOOST_TEST(!zones["r2"].empty());
  BOOST_TEST((!zones["r2"].contains("c") && !zones["r2"].contains("d")));
  BOOST_TEST((!zones["r2"].contains("e") && !zones["r2"].contains("f")));
}

BOOST_AUTO_TEST_CASE(requests_kept_from_a_nearer_replica_are_counted) {
  arrive(1, "/safe/x");
  BOOST_TEST(subject.counts().kept_from_nearer_by_residency == 0U);
  hold_routes({"south"});
  arrive(2, "/safe/x");
  BOOST_TEST(subject.counts().kept_from_nearer_by_residency == 1U);
  const auto& rings = subject.counts().calls_by_ring;
  BOOST_TEST(rings[static_cast<std::size_t>(model::ring::zone)] == 1U);
  BOOST_TEST(rings[static_cast<std::size_t>(model::ring::elsewhere)] == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

/// Draws what happens, and checks each call against the set its request was given by what was
/// published when it arrived.
class drawn_day : public held_dispatcher {
 public:
  explicit drawn_day(std::uint64_t seed) : drawn_(seed) {}

  void play(int steps) {
    for (int step = 0; step < steps; ++step) {
      act();
      check_calls();
    }
  }

  int calls_checked = 0;
  int calls_outside = 0;
  int refused_late = 0;

 private:
  void act() {
    switch (drawn_.below(12)) {
    case 0:
    case 1:
    case 2:
      begin_request();
      break;
    case 3:
    case 4:
      end_call();
      break;
    case 5:
    case 6:
      end_stage_call();
      break;
    case 7:
      change_replica();
      break;
    case 8:
      change_evacuation();
      break;
    case 9:
      change_configuration();
      break;
    case 10:
      subject.set_unreachable_zones({base::zone_id(draw_zone())});
      break;
    default:
      pass(milliseconds(drawn_.below(150)));
      break;
    }
  }

  std::string draw_zone() { return residency_zones[drawn_.below(residency_zones.size())]; }

  text_set draw_regions() {
    text_set regions;
    for (const std::string region : {"north", "south", "west", "atlantis"}) {
      if (drawn_.below(2) == 0) {
        regions.insert(region);
      }
    }
    // One list in three restricts nothing.
    return drawn_.below(3) == 0 ? text_set{} : regions;
  }

  void begin_request() {
    const auto index = static_cast<int>(
        drawn_.below(static_cast<std::uint64_t>(world.configuration.routes_size())));
    const auto& route = world.configuration.routes(index);
    const auto& tenant = world.configuration.tenants(0);
    const auto client = ++clients_;
    auto& allowed = allowed_["r" + std::to_string(client)];
    for (const auto& zone : residency_zones) {
      const auto region = residency_regions().region_of(base::zone_id(zone));
      if (allows(route.permitted_regions(), region) && allows(tenant.permitted_regions(), region)) {
        allowed.insert(zone);
      }
    }
    arrive(client, route.path_prefix() + "x", {1 + static_cast<std::uint32_t>(drawn_.below(5)), 2});
    if (allowed.empty() && (all<respond>().empty() || last<respond>().client != client)) {
      ++refused_late;
    }
  }

  template <typename list>
  static bool allows(const list& regions, const std::optional<base::region_id>& region) {
    return regions.empty() ||
           (region && std::find(regions.begin(), regions.end(), region->text()) != regions.end());
  }

  void end_call() {
    const auto calls = all<start_call>();
    if (calls.empty()) {
      return;
    }
    const auto call =
        calls[calls.size() - 1 - drawn_.below(std::min<std::size_t>(8, calls.size()))];
    switch (drawn_.below(6)) {
    case 0:
      happen(call_failed{call.call, call_fate::may_have_run});
      break;
    case 1:
      happen(call_failed{call.call, call_fate::not_sent});
      break;
    case 2:
      happen(call_answered{call.call, not_executed_head(), ""});
      break;
    case 3:
      happen(call_answered{call.call, good_head(500), ""});
      break;
    default:
      happen(stream_opened{call.call, good_head()});
      happen(stream_bytes{call.call, "id: 1\ndata: x\n\n"});
      happen(stream_closed{call.call, drawn_.below(3) == 0});
      break;
    }
  }

  void end_stage_call() {
    const auto calls = all<start_stage_call>();
    if (calls.empty()) {
      return;
    }
    const auto call =
        calls[calls.size() - 1 - drawn_.below(std::min<std::size_t>(6, calls.size()))];
    using how = stage_call_ended::result;
    constexpr std::array<how, 8> ways{how::answered, how::answered,   how::answered,
                                      how::answered, how::refused,    how::failed,
                                      how::not_sent, how::misdirected};
    stage_call_ended ended{call.call, ways[drawn_.below(ways.size())], {}};
    for (std::size_t index = 0; index < call.items.size(); ++index) {
      const auto fault = drawn_.below(8);
      if (fault == 0) {
        ended.pieces.push_back({piece_fault::input_gone, ""});
      } else if (fault == 1) {
        ended.pieces.push_back({piece_fault::error, ""});
      } else {
        ended.pieces.push_back(
            {piece_fault::none, call.target.address.text() + "/h" + std::to_string(++handles)});
      }
    }
    if (ended.how != how::answered) {
      ended.pieces.clear();
    }
    happen(ended);
  }

  void change_replica() {
    const std::vector<std::string> services{"llm", "plain", "pool"};
    const auto& service = services[drawn_.below(services.size())];
    const auto zone = draw_zone();
    const auto name = service + "-" + zone;
    switch (drawn_.below(4)) {
    case 0:
      world.remove_replica(name);
      break;
    case 1:
      world.add_replica(name, service, zone, true);
      break;
    default:
      world.add_replica(name + "-" + std::to_string(drawn_.below(3)), service, zone);
      break;
    }
    subject.update(world.content, now);
  }

  void change_evacuation() {
    const auto zone = draw_zone();
    if (evacuated_.erase(zone) > 0) {
      world.end_evacuation(zone);
    } else {
      evacuated_.insert(zone);
      world.evacuate(zone);
    }
    subject.update(world.content, now);
  }

  void change_configuration() {
    if (drawn_.below(2) == 0) {
      hold_routes(draw_regions());
    } else {
      hold_tenant(draw_regions());
    }
  }

  void check(const std::string& request, const call_target& target) {
    ++calls_checked;
    calls_outside += allowed_.at(request).contains(zone_of(target)) ? 0 : 1;
  }

  void check_calls() {
    for (; checked_ < commands.size(); ++checked_) {
      if (const auto* call = std::get_if<start_call>(&commands[checked_])) {
        check(call->content->id.text(), call->target);
      } else if (const auto* stage = std::get_if<start_stage_call>(&commands[checked_])) {
        for (const auto& item : stage->items) {
          check(item.request.text(), stage->target);
        }
      }
    }
  }

  base::seeded_random drawn_;
  base::caller_id clients_ = 0;
  std::size_t checked_ = 0;
  /// Zones in which each request may run.
  std::map<std::string, text_set> allowed_;
  text_set evacuated_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(drawn_residency_test)

BOOST_AUTO_TEST_CASE(no_call_leaves_the_regions_of_its_request) {
  constexpr std::uint64_t days = 60;
  constexpr int steps = 300;
  int checked = 0;
  for (std::uint64_t seed = 1; seed <= days; ++seed) {
    drawn_day day(seed);
    day.play(steps);
    BOOST_TEST(day.calls_outside == 0, "seed " << seed << ": " << day.calls_outside << " outside");
    BOOST_TEST(day.refused_late == 0, "seed " << seed);
    checked += day.calls_checked;
  }
  // The days are no days without calls.
  BOOST_TEST(checked > 1000);
}

BOOST_AUTO_TEST_SUITE_END()
