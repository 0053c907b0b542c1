/// Requests that are restricted to regions: none of their calls goes to a replica outside these
/// regions.
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
struct residency_driver : dispatcher_driver {
  residency_driver() : dispatcher_driver(residency_settings()) {
    for (const std::string service : {"llm", "plain", "pool"}) {
      for (const auto& zone : residency_zones) {
        if (zone > "b") {
          auto name = service;
          published.add_replica(name.append("-").append(zone), service, zone);
        }
      }
    }
    time_allowed = seconds(20);
    publish();
  }

  void publish() {
    published.publish_configuration();
    subject.update(published.content, now);
  }

  void restrict_routes(const text_set& regions) {
    for (auto& route : *published.configuration.mutable_routes()) {
      route.clear_permitted_regions();
      for (const auto& region : regions) {
        route.add_permitted_regions(region);
      }
    }
    publish();
  }

  void restrict_tenant(const text_set& regions) {
    auto& tenant = *published.configuration.mutable_tenants(0);
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

  /// @return zones of all calls so far, including calls for pieces.
  text_set called_zones() const {
    text_set zones;
    for (const auto& call : all<start_call>()) {
      zones.insert(zone_of(call.target));
    }
    for (const auto& call : all<start_stage_call>()) {
      zones.insert(zone_of(call.target));
    }
    return zones;
  }

  /// @return Retry-After header of the last answer; empty if it has none.
  std::string retry_after() const {
    for (const auto& field : last<respond>().headers) {
      if (field.name == "Retry-After") {
        return field.value;
      }
    }
    return "";
  }

  void answer_piece_calls() {
    const auto calls = all<start_stage_call>();
    for (; answered_calls < calls.size(); ++answered_calls) {
      const auto& call = calls[answered_calls];
      stage_call_ended ended{call.call, stage_call_ended::result::answered, {}};
      for (std::size_t index = 0; index < call.items.size(); ++index) {
        ended.pieces.push_back({piece_fault::none, call.target.address.text() + "/h" +
                                                       std::to_string(++handle_count)});
      }
      deliver(ended);
    }
  }

  std::size_t answered_calls = 0;
  int handle_count = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(request_residency_test, residency_driver)

BOOST_AUTO_TEST_CASE(calls_stay_in_common_regions_of_route_and_tenant) {
  restrict_routes({"south", "west"});
  restrict_tenant({"north", "south"});
  for (base::caller_id client = 1; client <= 40; ++client) {
    send_request(client, client % 2 == 0 ? "/safe/x" : "/stream/x");
  }
  BOOST_TEST(all<start_call>().size() == 40U);
  BOOST_TEST(called_zones() == (text_set{"c", "d"}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(pieces_and_final_call_stay_in_permitted_region) {
  restrict_routes({"west"});
  send_request(1, "/staged/x", {3, 2});
  for (int round = 0; round < 10; ++round) {
    advance_time(milliseconds(30));
    answer_piece_calls();
  }
  BOOST_TEST(all<start_call>().size() == 1U);
  BOOST_TEST(all<start_stage_call>().size() >= 2U);
  BOOST_TEST(called_zones() == text_set{"e"}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(empty_intersection_is_refused_without_retry_after) {
  restrict_routes({"south"});
  restrict_tenant({"north"});
  send_request(1, "/safe/x");
  BOOST_TEST(last<respond>().status == 503U);
  BOOST_TEST(retry_after() == "");
  send_request(2, "/staged/x", {1, 1});
  BOOST_TEST(all<respond>().size() == 2U);
  BOOST_TEST(retry_after() == "");
  BOOST_TEST(subject.active_requests() == 0U);
  BOOST_TEST(called_zones().empty());
  BOOST_TEST(subject.counts().refused_by_residency == 2U);
}

BOOST_AUTO_TEST_CASE(unknown_region_permits_no_call) {
  restrict_routes({"atlantis"});
  send_request(1, "/safe/x");
  BOOST_TEST(last<respond>().status == 503U);
  BOOST_TEST(retry_after() == "");
  BOOST_TEST(called_zones().empty());
}

BOOST_AUTO_TEST_CASE(evacuated_region_is_refused_with_retry_after) {
  restrict_routes({"west"});
  published.evacuate("e");
  subject.update(published.content, now);
  send_request(1, "/safe/x");
  send_request(2, "/staged/x", {1, 1});
  BOOST_TEST(all<respond>().size() == 2U);
  BOOST_TEST(retry_after() != "");
  BOOST_TEST(subject.active_requests() == 0U);
  published.end_evacuation("e");
  subject.update(published.content, now);
  send_request(3, "/safe/x");
  BOOST_TEST(called_zones() == text_set{"e"}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(stage_without_replica_in_permitted_region_is_refused) {
  restrict_routes({"west"});
  published.remove_replica("pool-e");
  subject.update(published.content, now);
  send_request(1, "/staged/x", {1, 1});
  BOOST_TEST(last<respond>().status == 503U);
  BOOST_TEST(retry_after() == "");
  send_request(2, "/stream/x");
  BOOST_TEST(all<start_call>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(zone_without_region_accepts_only_unrestricted_requests) {
  for (const auto& zone : residency_zones) {
    if (zone != "f") {
      published.remove_replica("plain-" + zone);
    }
  }
  subject.update(published.content, now);
  send_request(1, "/safe/x");
  BOOST_TEST(called_zones() == text_set{"f"}, boost::test_tools::per_element());
  restrict_routes({"north", "south", "west"});
  send_request(2, "/safe/x");
  BOOST_TEST(all<start_call>().size() == 1U);
  BOOST_TEST(last<respond>().status == 503U);
}

BOOST_AUTO_TEST_CASE(retries_and_resumed_streams_stay_in_permitted_region) {
  restrict_routes({"west"});
  send_request(1, "/safe/x");
  deliver(call_failed{last<start_call>().call, call_failure::may_have_run});
  send_request(2, "/stream/x");
  const auto stream = last<start_call>().call;
  deliver(stream_opened{stream, good_head()});
  deliver(stream_bytes{stream, "id: 1\ndata: x\n\n"});
  deliver(stream_closed{stream, false});
  // The only replica of each service in the region has been tried.
  BOOST_TEST(all<start_call>().size() == 2U);
  BOOST_TEST(last<respond>().status == 502U);
  BOOST_TEST(!last<end_stream>().complete);
}

BOOST_AUTO_TEST_CASE(request_keeps_permitted_regions_of_its_arrival) {
  restrict_routes({"west"});
  send_request(1, "/staged/x", {1, 1});
  restrict_routes({"north"});
  send_request(2, "/staged/x", {1, 1});
  restrict_routes({});
  for (int round = 0; round < 10; ++round) {
    advance_time(milliseconds(30));
    answer_piece_calls();
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

BOOST_AUTO_TEST_CASE(requests_confined_away_from_nearer_replica_are_counted) {
  send_request(1, "/safe/x");
  BOOST_TEST(subject.counts().confined_by_residency == 0U);
  restrict_routes({"south"});
  send_request(2, "/safe/x");
  BOOST_TEST(subject.counts().confined_by_residency == 1U);
  const auto& calls_by_locality = subject.counts().calls_by_locality;
  BOOST_TEST(calls_by_locality[static_cast<std::size_t>(model::locality::zone)] == 1U);
  BOOST_TEST(calls_by_locality[static_cast<std::size_t>(model::locality::elsewhere)] == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

/// Performs random actions, and checks each call against the zones that were permitted to its
/// request when the request arrived.
class random_run : public residency_driver {
 public:
  explicit random_run(std::uint64_t seed) : random_(seed) {}

  void run(int steps) {
    for (int step = 0; step < steps; ++step) {
      do_random_action();
      check_calls();
    }
  }

  int calls_checked = 0;
  int calls_outside = 0;
  /// Number of requests that no zone was permitted to serve and that were not refused on arrival.
  int late_refusals = 0;

 private:
  void do_random_action() {
    switch (random_.below(12)) {
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
      subject.set_unreachable_zones({base::zone_id(random_zone())});
      break;
    default:
      advance_time(milliseconds(random_.below(150)));
      break;
    }
  }

  std::string random_zone() { return residency_zones[random_.below(residency_zones.size())]; }

  text_set random_regions() {
    text_set regions;
    for (const std::string region : {"north", "south", "west", "atlantis"}) {
      if (random_.below(2) == 0) {
        regions.insert(region);
      }
    }
    // One list in three is empty, which permits all regions.
    return random_.below(3) == 0 ? text_set{} : regions;
  }

  void begin_request() {
    const auto index = static_cast<int>(
        random_.below(static_cast<std::uint64_t>(published.configuration.routes_size())));
    const auto& route = published.configuration.routes(index);
    const auto& tenant = published.configuration.tenants(0);
    const auto client = ++last_client_;
    auto& allowed = allowed_["r" + std::to_string(client)];
    for (const auto& zone : residency_zones) {
      const auto region = residency_regions().region_of(base::zone_id(zone));
      if (allows(route.permitted_regions(), region) && allows(tenant.permitted_regions(), region)) {
        allowed.insert(zone);
      }
    }
    send_request(client, route.path_prefix() + "x",
                 {1 + static_cast<std::uint32_t>(random_.below(5)), 2});
    if (allowed.empty() && (all<respond>().empty() || last<respond>().client != client)) {
      ++late_refusals;
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
        calls[calls.size() - 1 - random_.below(std::min<std::size_t>(8, calls.size()))];
    switch (random_.below(6)) {
    case 0:
      deliver(call_failed{call.call, call_failure::may_have_run});
      break;
    case 1:
      deliver(call_failed{call.call, call_failure::not_sent});
      break;
    case 2:
      deliver(call_answered{call.call, not_executed_head(), ""});
      break;
    case 3:
      deliver(call_answered{call.call, good_head(500), ""});
      break;
    default:
      deliver(stream_opened{call.call, good_head()});
      deliver(stream_bytes{call.call, "id: 1\ndata: x\n\n"});
      deliver(stream_closed{call.call, random_.below(3) == 0});
      break;
    }
  }

  void end_stage_call() {
    const auto calls = all<start_stage_call>();
    if (calls.empty()) {
      return;
    }
    const auto call =
        calls[calls.size() - 1 - random_.below(std::min<std::size_t>(6, calls.size()))];
    using result = stage_call_ended::result;
    constexpr std::array<result, 8> results{result::answered, result::answered,   result::answered,
                                            result::answered, result::refused,    result::failed,
                                            result::not_sent, result::misdirected};
    stage_call_ended ended{call.call, results[random_.below(results.size())], {}};
    for (std::size_t index = 0; index < call.items.size(); ++index) {
      const auto fault = random_.below(8);
      if (fault == 0) {
        ended.pieces.push_back({piece_fault::input_gone, ""});
      } else if (fault == 1) {
        ended.pieces.push_back({piece_fault::error, ""});
      } else {
        ended.pieces.push_back({piece_fault::none, call.target.address.text() + "/h" +
                                                       std::to_string(++handle_count)});
      }
    }
    if (ended.outcome != result::answered) {
      ended.pieces.clear();
    }
    deliver(ended);
  }

  void change_replica() {
    const std::vector<std::string> services{"llm", "plain", "pool"};
    const auto& service = services[random_.below(services.size())];
    const auto zone = random_zone();
    const auto name = service + "-" + zone;
    switch (random_.below(4)) {
    case 0:
      published.remove_replica(name);
      break;
    case 1:
      published.add_replica(name, service, zone, true);
      break;
    default:
      published.add_replica(name + "-" + std::to_string(random_.below(3)), service, zone);
      break;
    }
    subject.update(published.content, now);
  }

  void change_evacuation() {
    const auto zone = random_zone();
    if (evacuated_.erase(zone) > 0) {
      published.end_evacuation(zone);
    } else {
      evacuated_.insert(zone);
      published.evacuate(zone);
    }
    subject.update(published.content, now);
  }

  void change_configuration() {
    if (random_.below(2) == 0) {
      restrict_routes(random_regions());
    } else {
      restrict_tenant(random_regions());
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

  base::seeded_random random_;
  base::caller_id last_client_ = 0;
  std::size_t checked_ = 0;
  /// Permitted zones of each request, by request id.
  std::map<std::string, text_set> allowed_;
  text_set evacuated_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(random_residency_test)

BOOST_AUTO_TEST_CASE(no_call_leaves_the_regions_of_its_request) {
  constexpr std::uint64_t runs = 60;
  constexpr int steps = 300;
  int checked = 0;
  for (std::uint64_t seed = 1; seed <= runs; ++seed) {
    random_run run(seed);
    run.run(steps);
    BOOST_TEST(run.calls_outside == 0, "seed " << seed << ": " << run.calls_outside << " outside");
    BOOST_TEST(run.late_refusals == 0, "seed " << seed);
    checked += run.calls_checked;
  }
  // Guards against seeds whose actions cause no calls.
  BOOST_TEST(checked > 1000);
}

BOOST_AUTO_TEST_SUITE_END()
