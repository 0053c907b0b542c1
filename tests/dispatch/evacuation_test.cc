/// Calls during an evacuation of a zone and after its end.
#include "exchange_fleet.h"
#include "serving_fixture.h"

#include <set>

using namespace spurrack;
using namespace spurrack::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct evacuation_driver : dispatcher_driver {
  /// Zone of the replica that a call goes to; replicas are named `SERVICE-ZONE`.
  static std::string zone_of(const start_call& call) {
    const auto name = call.target.replica.text();
    return name.substr(name.rfind('-') + 1);
  }

  std::set<std::string> called_zones() const {
    std::set<std::string> zones;
    for (const auto& call : all<start_call>()) {
      zones.insert(zone_of(call));
    }
    return zones;
  }

  void evacuate(const std::string& zone) {
    published.evacuate(zone);
    subject.update(published.content, now);
  }

  void end_evacuation(const std::string& zone) {
    published.end_evacuation(zone);
    subject.update(published.content, now);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(evacuation_test, evacuation_driver)

BOOST_AUTO_TEST_CASE(calls_and_streams_avoid_evacuated_zone) {
  evacuate("a");
  for (base::caller_id client = 1; client <= 20; ++client) {
    send_request(client, client % 2 == 0 ? "/safe/x" : "/stream/x");
  }
  BOOST_TEST(all<start_call>().size() == 20U);
  BOOST_TEST(called_zones() == std::set<std::string>{"b"}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(retry_avoids_evacuated_zone) {
  send_request(1, "/safe/x");
  BOOST_TEST(zone_of(last<start_call>()) == "a");
  // The other zone has the only untried replica, and is evacuated before the retry.
  evacuate("b");
  deliver(call_failed{last<start_call>().call, call_failure::may_have_run});
  BOOST_TEST(all<start_call>().size() == 1U);
  BOOST_TEST(last<respond>().status == 502U);
}

BOOST_AUTO_TEST_CASE(resumed_stream_avoids_evacuated_zone) {
  send_request(1, "/stream/x");
  const auto first = last<start_call>();
  deliver(stream_opened{first.call, good_head()});
  deliver(stream_bytes{first.call, "id: 1\ndata: x\n\n"});
  evacuate(zone_of(first) == "a" ? "b" : "a");
  deliver(stream_closed{first.call, false});
  BOOST_TEST(all<start_call>().size() == 1U);
  BOOST_TEST(!last<end_stream>().complete);
}

BOOST_AUTO_TEST_CASE(request_is_refused_if_only_evacuated_zone_has_service) {
  published.remove_replica("plain-b");
  evacuate("a");
  send_request(1, "/safe/x");
  BOOST_TEST(all<start_call>().empty());
  BOOST_TEST(last<respond>().status == 503U);
  BOOST_TEST(subject.active_requests() == 0U);
}

BOOST_AUTO_TEST_CASE(calls_avoid_zones_of_overlapping_and_repeated_evacuations) {
  evacuate("a");
  evacuate("b");
  send_request(1, "/safe/x");
  BOOST_TEST(last<respond>().status == 503U);
  end_evacuation("a");
  send_request(2, "/safe/x");
  BOOST_TEST(zone_of(last<start_call>()) == "a");
  evacuate("a");
  end_evacuation("b");
  send_request(3, "/safe/x");
  BOOST_TEST(zone_of(last<start_call>()) == "b");
}

BOOST_AUTO_TEST_CASE(evacuation_of_unknown_zone_has_no_effect) {
  evacuate("elsewhere");
  send_request(1, "/safe/x");
  BOOST_TEST(zone_of(last<start_call>()) == "a");
}

BOOST_AUTO_TEST_CASE(no_piece_and_no_free_command_is_sent_to_evacuated_zone) {
  time_allowed = seconds(20);
  send_request(1, "/staged/x", {1, 1});
  advance_time(milliseconds(50));
  const auto first = last<start_stage_call>();
  const auto name = first.target.replica.text();
  const auto zone = name.substr(name.rfind('-') + 1);
  evacuate(zone);
  deliver(stage_call_ended{first.call,
                           stage_call_ended::result::answered,
                           {{piece_fault::none, first.target.address.text() + "/h"}}});
  advance_time(milliseconds(50));
  BOOST_TEST(all<start_stage_call>().size() == 2U);
  BOOST_TEST(last<start_stage_call>().target.replica.text() != name);
  deliver(client_disconnected{1});
  advance_time(milliseconds(50));
  for (const auto& command : all<free_results>()) {
    BOOST_TEST(command.producer.address != first.target.address);
  }
}

BOOST_AUTO_TEST_CASE(a_zone_that_is_given_back_is_taken_for_cold_for_a_while) {
  published.configuration.mutable_services(0)->set_cold_requests_per_second(4);
  published.publish_configuration();
  evacuate("a");
  end_evacuation("a");
  for (base::caller_id client = 1; client <= 10; ++client) {
    send_request(client, "/stream/x");
  }
  // The replicas of zone a count as cold, and the limit for cold replicas permits no call yet.
  BOOST_TEST(called_zones() == std::set<std::string>{"b"}, boost::test_tools::per_element());
  advance_time(serving_settings{}.cold_time_after_evacuation);
  commands.clear();
  for (base::caller_id client = 11; client <= 20; ++client) {
    send_request(client, "/stream/x");
  }
  BOOST_TEST(called_zones().contains("a"));
}

BOOST_AUTO_TEST_CASE(batchers_make_no_calls_to_evacuated_zone) {
  exchange_fleet fleet(6, 2, one_region_settings());
  fleet.published.evacuate("a");
  for (auto& node : fleet.nodes) {
    node->replicas.set_evacuated(fleet.published.content.evacuated_zones(), fleet.now);
    node->subject.set_configuration(fleet.published.content.serving());
  }
  for (auto& node : fleet.nodes) {
    for (int piece = 0; piece < 5; ++piece) {
      fleet.submit(*node);
    }
  }
  std::set<std::string> called_replicas;
  fleet.run_answering(seconds(3), [&](const exchange_node&, const start_stage_call& call) {
    called_replicas.insert(call.target.replica.text());
  });
  BOOST_TEST(called_replicas == std::set<std::string>{"pool-b"}, boost::test_tools::per_element());
  for (const auto& node : fleet.nodes) {
    BOOST_TEST(node->finished.size() == 5U);
  }
}

BOOST_AUTO_TEST_SUITE_END()
