/// Every kind of call counts against the limit of a replica: first sends, retries, calls with
/// pieces of stages, and calls that free results.
#include "serving_fixture.h"

using namespace spurrack;
using namespace spurrack::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// One node with one replica of each service. The node issues its own permits.
struct limited_node : dispatcher_driver {
  limited_node() {
    for (const std::string id : {"plain-b", "pool-b", "llm-b"}) {
      published.remove_replica(id);
    }
    subject.update(published.content, now);
  }

  static replica_self_report limited(double per_second) {
    replica_self_report self_report;
    self_report.limit.per_second = per_second;
    return self_report;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(limited_calls_test)

BOOST_AUTO_TEST_CASE(a_request_waits_for_a_permit_of_the_only_replica) {
  limited_node node;
  node.send_request(1, "/safe/");
  node.answer(node.last<start_call>().call, limited_node::limited(1),
              dispatcher_driver::good_head());
  const auto commands_before = node.commands.size();
  node.send_request(2, "/safe/");
  BOOST_TEST(node.called_since(commands_before).size() == 0U);
  // A new issuer grants no permits for one second, then one per second.
  node.advance_time(milliseconds(2500));
  BOOST_TEST(node.called_since(commands_before).size() == 1U);
}

BOOST_AUTO_TEST_CASE(retries_and_first_sends_together_stay_within_the_limit) {
  limited_node node;
  node.published.add_replica("plain-c", "plain", "a");
  node.subject.update(node.published.content, node.now);
  constexpr double limit = 1;
  for (const base::caller_id client : {1, 2, 3, 4}) {
    node.send_request(client, "/safe/");
    node.answer(node.last<start_call>().call, limited_node::limited(limit),
                dispatcher_driver::good_head());
  }
  BOOST_REQUIRE(node.subject.limits().limited_replicas() == 2U);
  const auto commands_before = node.commands.size();
  std::size_t failed_calls = node.all<start_call>().size();
  for (base::caller_id client = 10; client < 70; ++client) {
    node.send_request(client, "/safe/");
    for (int step = 0; step < 25; ++step) {
      node.advance_time(milliseconds(20));
      const auto calls = node.all<start_call>();
      for (; failed_calls < calls.size(); ++failed_calls) {
        node.deliver(call_failed{calls[failed_calls].call, call_failure::may_have_run});
      }
    }
  }
  const auto sent = node.called_since(commands_before).size();
  BOOST_TEST(static_cast<double>(sent) <= 2 * (30 * limit + 5), sent << " sends in 30 s");
  BOOST_TEST(node.subject.counts().retries > 0U);
}

BOOST_AUTO_TEST_CASE(calls_with_pieces_and_calls_that_free_results_stay_within_the_limit) {
  limited_node node;
  node.time_allowed = seconds(60);
  constexpr double limit = 2;
  std::size_t answered_calls = 0;
  const auto started_at = node.now;
  for (base::caller_id client = 1; node.now - started_at < seconds(30); ++client) {
    node.send_request(client, "/staged/", {3, 1});
    node.advance_time(milliseconds(1000));
    // The replica answers its stage calls. Each result later causes one more call, which frees the
    // result.
    const auto calls = node.all<start_stage_call>();
    for (; answered_calls < calls.size(); ++answered_calls) {
      node.deliver_self_report(calls[answered_calls].call, limited_node::limited(limit));
      stage_call_ended ended{calls[answered_calls].call, stage_call_ended::result::answered, {}};
      for (std::size_t piece = 0; piece < calls[answered_calls].items.size(); ++piece) {
        ended.pieces.push_back({piece_fault::none, calls[answered_calls].target.address.text() +
                                                       "/" + std::to_string(answered_calls) + "." +
                                                       std::to_string(piece)});
      }
      node.deliver(ended);
    }
    for (const auto& call : node.all<start_call>()) {
      node.deliver(stream_opened{call.call, dispatcher_driver::good_head()});
      node.deliver(stream_bytes{call.call, "id: 1\ndata: x\n\n"});
      node.deliver(stream_closed{call.call, true});
    }
  }
  const auto call_count = node.all<start_stage_call>().size() + node.all<free_results>().size();
  BOOST_TEST(node.all<free_results>().size() > 0U);
  BOOST_TEST(static_cast<double>(call_count) <= 30 * limit + 5, call_count << " calls in 30 s");
  BOOST_TEST(static_cast<double>(call_count) >= 30 * limit * 0.5, call_count << " calls in 30 s");
}

BOOST_AUTO_TEST_CASE(waiting_requests_are_sent_by_urgency_then_by_deadline) {
  limited_node node;
  node.published.add_route("/urgent/", wire::ROUTE_SAFE, "plain").set_priority(0);
  node.published.add_route("/usual/", wire::ROUTE_SAFE, "plain").set_priority(5);
  node.published.publish_configuration();
  node.subject.update(node.published.content, node.now);
  node.send_request(1, "/safe/");
  node.answer(node.last<start_call>().call, limited_node::limited(2),
              dispatcher_driver::good_head());
  node.send_request(2, "/usual/");
  node.time_allowed = seconds(4);
  node.send_request(3, "/usual/");
  node.send_request(4, "/urgent/");
  std::vector<std::string> order;
  std::size_t handled_calls = node.all<start_call>().size();
  for (int step = 0; step < 150; ++step) {
    node.advance_time(milliseconds(20));
    const auto calls = node.all<start_call>();
    for (; handled_calls < calls.size(); ++handled_calls) {
      order.push_back(calls[handled_calls].content->id.text());
      node.answer(calls[handled_calls].call, limited_node::limited(2),
                  dispatcher_driver::good_head());
    }
  }
  const std::vector<std::string> expected{"r4", "r3", "r2"};
  BOOST_TEST(order == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(stages_are_not_begun_for_a_replica_that_accepts_nothing) {
  limited_node node;
  node.send_request(1, "/stream/");
  node.deliver_self_report(node.last<start_call>().call, limited_node::limited(0));
  node.deliver(stream_opened{node.last<start_call>().call, dispatcher_driver::good_head()});
  node.send_request(2, "/staged/", {3, 1});
  BOOST_TEST(node.last<respond>().status == 503U);
  BOOST_TEST(node.all<start_stage_call>().empty());
}

BOOST_AUTO_TEST_CASE(few_stages_run_for_requests_that_cannot_be_sent_afterwards) {
  limited_node node;
  node.send_request(1, "/stream/");
  node.deliver_self_report(node.last<start_call>().call, limited_node::limited(1));
  node.deliver(stream_opened{node.last<start_call>().call, dispatcher_driver::good_head()});
  node.deliver(stream_closed{node.last<start_call>().call, true});
  std::size_t piece_count = 0;
  std::size_t answered_calls = 0;
  std::size_t stream_count = node.all<start_call>().size();
  for (base::caller_id client = 10; client < 110; ++client) {
    node.send_request(client, "/staged/", {1, 1});
    for (int step = 0; step < 5; ++step) {
      node.advance_time(milliseconds(50));
      const auto calls = node.all<start_stage_call>();
      for (; answered_calls < calls.size(); ++answered_calls) {
        node.deliver_self_report(calls[answered_calls].call, {});
        stage_call_ended ended{calls[answered_calls].call, stage_call_ended::result::answered, {}};
        for (std::size_t piece = 0; piece < calls[answered_calls].items.size(); ++piece) {
          ended.pieces.push_back({piece_fault::none, calls[answered_calls].target.address.text() +
                                                         "/" + std::to_string(++piece_count)});
        }
        node.deliver(ended);
      }
      const auto sent = node.all<start_call>();
      for (; stream_count < sent.size(); ++stream_count) {
        node.deliver_self_report(sent[stream_count].call, limited_node::limited(1));
        node.deliver(stream_opened{sent[stream_count].call, dispatcher_driver::good_head()});
        node.deliver(stream_bytes{sent[stream_count].call, "id: 1\ndata: x\n\n"});
        node.deliver(stream_closed{sent[stream_count].call, true});
      }
    }
  }
  // Each request whose stages are begun has two pieces. 100 requests arrive in 25 s, but only one
  // request per second can be sent.
  BOOST_TEST_MESSAGE(piece_count << " pieces for " << stream_count << " sent");
  BOOST_TEST(stream_count >= 20U, stream_count << " sent");
  BOOST_TEST(piece_count <= 2 * (stream_count + 10),
             piece_count << " pieces for " << stream_count << " sent");
}

BOOST_AUTO_TEST_CASE(an_unreadable_limit_keeps_the_earlier_limit) {
  limited_node node;
  node.send_request(1, "/safe/");
  node.answer(node.last<start_call>().call, limited_node::limited(1),
              dispatcher_driver::good_head());
  node.send_request(2, "/safe/");
  node.advance_time(milliseconds(2500));
  replica_self_report self_report;
  self_report.limit.is_unreadable = true;
  node.answer(node.last<start_call>().call, self_report, dispatcher_driver::good_head());
  BOOST_TEST(node.subject.limits().limited_replicas() == 1U);
  BOOST_TEST(node.subject.replica_self_reports().counts().unreadable_limits == 1U);
  BOOST_TEST(node.last<respond>().status == 200U);
}

BOOST_AUTO_TEST_CASE(a_limit_that_a_replica_announces_in_a_refusal_is_applied) {
  limited_node node;
  node.send_request(1, "/unsafe/");
  node.answer(node.last<start_call>().call, limited_node::limited(3),
              dispatcher_driver::not_executed_head());
  BOOST_TEST(node.subject.limits().limited_replicas() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
