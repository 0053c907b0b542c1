/// A self-report of a replica is read from answers of every kind and affects calls of every kind to
/// the replica: first attempts, retries, resumed streams, calls with pieces of stages, and calls
/// that free results.
#include "serving_fixture.h"

using namespace spurrack;
using namespace spurrack::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

replica_self_report drain_report() {
  replica_self_report report;
  report.is_draining = true;
  return report;
}

replica_self_report backoff_report(base::duration span) {
  replica_self_report report;
  report.backoff.duration = span;
  return report;
}

/// One node in front of a few replicas; counts the calls to each replica.
struct self_report_node : dispatcher_driver {
  /// @return number of calls of any kind to a replica among the commands from index `first` on.
  [[nodiscard]] std::size_t calls_to(const base::replica_id& replica, std::size_t first) const {
    const auto called = called_since(first);
    return static_cast<std::size_t>(std::count(called.begin(), called.end(), replica));
  }

  /// Answers all calls with pieces that have not been answered yet.
  void answer_stage_calls(const replica_self_report& report = {}) {
    const auto calls = all<start_stage_call>();
    for (; answered_ < calls.size(); ++answered_) {
      const auto& call = calls[answered_];
      deliver_self_report(call.call, report);
      stage_call_ended ended{call.call, stage_call_ended::result::answered, {}};
      for (std::size_t piece = 0; piece < call.items.size(); ++piece) {
        ended.pieces.push_back(
            {piece_fault::none, call.target.address.text() + "/" + std::to_string(++handles_)});
      }
      deliver(ended);
    }
  }

  /// Answers the latest call with a complete stream.
  void serve_stream() {
    const auto call = last<start_call>().call;
    deliver_self_report(call, {});
    deliver(stream_opened{call, good_head()});
    deliver(stream_bytes{call, "id: 1\ndata: x\n\n"});
    deliver(stream_closed{call, true});
  }

 private:
  std::size_t answered_ = 0;
  std::size_t handles_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(stated_calls_test)

BOOST_AUTO_TEST_CASE(a_drain_announcement_in_a_refusal_or_an_error_takes_effect) {
  for (const unsigned status : {503U, 500U, 429U}) {
    self_report_node node;
    node.send_request(1, "/safe/");
    const auto first = node.last<start_call>().target.replica;
    auto head = dispatcher_driver::good_head(status);
    head.not_executed = status != 500;
    const auto before = node.commands.size();
    node.answer(node.last<start_call>().call, drain_report(), head);
    for (base::caller_id client = 2; client < 40; ++client) {
      node.send_request(client, "/safe/");
    }
    BOOST_TEST(node.calls_to(first, before) == 0U, status);
  }
}

BOOST_AUTO_TEST_CASE(a_drain_announcement_in_the_head_of_a_stream_takes_effect_at_once) {
  self_report_node node;
  node.send_request(1, "/stream/");
  const auto call = node.last<start_call>();
  node.deliver_self_report(call.call, drain_report());
  node.deliver(stream_opened{call.call, dispatcher_driver::good_head()});
  node.deliver(stream_bytes{call.call, "id: 1\ndata: x\n\n"});
  const auto before = node.commands.size();
  for (base::caller_id client = 2; client < 20; ++client) {
    node.send_request(client, "/stream/");
  }
  BOOST_TEST(node.calls_to(call.target.replica, before) == 0U);
  // The stream at the draining replica continues. If the replica breaks it off, the stream is
  // resumed at another replica.
  BOOST_TEST(node.all<cancel_call>().empty());
  node.deliver(stream_closed{call.call, false});
  BOOST_TEST(node.calls_to(call.target.replica, before) == 0U);
  BOOST_TEST(node.last<start_call>().resume_after.value_or(0) == 1U);
}

BOOST_AUTO_TEST_CASE(a_drain_announcement_in_the_head_of_a_buffered_answer_takes_effect_at_once) {
  self_report_node node;
  node.send_request(1, "/safe/");
  const auto call = node.last<start_call>();
  node.deliver_self_report(call.call, drain_report());
  const auto before = node.commands.size();
  for (base::caller_id client = 2; client < 20; ++client) {
    node.send_request(client, "/safe/");
  }
  BOOST_TEST(node.calls_to(call.target.replica, before) == 0U);
  node.deliver(call_answered{call.call, dispatcher_driver::good_head(), "body"});
  BOOST_TEST(node.last<respond>().status == 200U);
}

BOOST_AUTO_TEST_CASE(pieces_and_freed_results_are_not_sent_to_a_draining_replica) {
  self_report_node node;
  node.time_allowed = seconds(60);
  node.send_request(1, "/staged/", {3, 1});
  node.advance_time(milliseconds(20));
  const auto maker = node.last<start_stage_call>().target.replica;
  node.answer_stage_calls(drain_report());
  const auto before = node.commands.size();
  for (base::caller_id client = 2; client < 10; ++client) {
    node.send_request(client, "/staged/", {3, 1});
    for (int step = 0; step < 20; ++step) {
      node.advance_time(milliseconds(20));
      node.answer_stage_calls();
    }
    node.serve_stream();
  }
  BOOST_TEST(node.calls_to(maker, before) == 0U);
  BOOST_TEST(node.all<start_stage_call>().size() > 8U);
  // The results that the draining replica computed are still used: no result is recomputed.
  const auto calls = node.all<start_call>();
  BOOST_REQUIRE(!calls.empty());
  BOOST_TEST(calls.front().content->id.text() == "r1");
}

BOOST_AUTO_TEST_CASE(pieces_and_freed_results_wait_for_the_end_of_a_backoff) {
  self_report_node node;
  node.time_allowed = seconds(60);
  node.published.remove_replica("pool-b");
  node.subject.update(node.published.content, node.now);
  node.send_request(1, "/staged/", {3, 1});
  node.advance_time(milliseconds(20));
  const auto maker = node.last<start_stage_call>().target.replica;
  node.answer_stage_calls(backoff_report(seconds(2)));
  const auto before = node.commands.size();
  node.advance_time(milliseconds(1'950));
  BOOST_TEST(node.calls_to(maker, before) == 0U);
  for (int step = 0; step < 100; ++step) {
    node.advance_time(milliseconds(20));
    node.answer_stage_calls();
  }
  // The second stage runs after the backoff. Then the results of the first stage, which the second
  // stage has fetched, are freed.
  BOOST_REQUIRE(!node.all<start_call>().empty());
  BOOST_TEST(node.calls_to(maker, before) > 0U);
  node.serve_stream();
  node.advance_time(milliseconds(100));
  BOOST_TEST(!node.all<free_results>().empty());
}

BOOST_AUTO_TEST_CASE(retries_avoid_replicas_that_requested_a_backoff) {
  self_report_node node;
  for (base::caller_id client = 1; client < 30; ++client) {
    node.send_request(client, "/safe/");
  }
  const auto first = node.all<start_call>();
  const base::replica_id backed_off_replica("plain-a");
  for (const auto& call : first) {
    if (call.target.replica == backed_off_replica) {
      node.answer(call.call, backoff_report(seconds(3)), dispatcher_driver::not_executed_head());
    }
  }
  const auto before = node.commands.size();
  for (const auto& call : first) {
    if (call.target.replica != backed_off_replica) {
      node.deliver(call_failed{call.call, call_failure::may_have_run});
    }
  }
  node.advance_time(milliseconds(2'900));
  BOOST_TEST(node.calls_to(backed_off_replica, before) == 0U);
}

BOOST_AUTO_TEST_CASE(an_answer_to_an_earlier_call_ends_no_backoff) {
  self_report_node node;
  for (base::caller_id client = 1; client < 30; ++client) {
    node.send_request(client, "/safe/");
  }
  const base::replica_id backed_off_replica("plain-a");
  std::vector<base::call_id> calls;
  for (const auto& call : node.all<start_call>()) {
    if (call.target.replica == backed_off_replica) {
      calls.push_back(call.call);
    }
  }
  BOOST_REQUIRE(calls.size() > 3);
  node.answer(calls[0], backoff_report(seconds(3)), dispatcher_driver::not_executed_head());
  const auto before = node.commands.size();
  node.answer(calls[1], {}, dispatcher_driver::good_head());
  node.answer(calls[2], backoff_report(milliseconds(50)), dispatcher_driver::not_executed_head());
  node.advance_time(milliseconds(2'900));
  for (base::caller_id client = 100; client < 130; ++client) {
    node.send_request(client, "/safe/");
  }
  BOOST_TEST(node.calls_to(backed_off_replica, before) == 0U);
}

BOOST_AUTO_TEST_CASE(a_503_of_a_replica_that_ran_the_request_requests_a_backoff) {
  self_report_node node;
  node.send_request(1, "/unsafe/");
  const auto call = node.last<start_call>();
  node.answer(call.call, backoff_report(seconds(3)), dispatcher_driver::good_head(503));
  BOOST_TEST(node.last<respond>().status == 503U);
  const auto before = node.commands.size();
  for (base::caller_id client = 2; client < 30; ++client) {
    node.send_request(client, "/unsafe/");
  }
  BOOST_TEST(node.calls_to(call.target.replica, before) == 0U);
}

BOOST_AUTO_TEST_CASE(one_answer_may_announce_a_limit_a_backoff_and_a_drain) {
  self_report_node node;
  node.send_request(1, "/safe/");
  const auto call = node.last<start_call>();
  auto report = drain_report();
  report.limit.per_second = 5;
  report.backoff.duration = milliseconds(300);
  node.answer(call.call, report, dispatcher_driver::not_executed_head());
  const auto before = node.commands.size();
  for (base::caller_id client = 2; client < 60; ++client) {
    node.send_request(client, "/safe/");
    node.advance_time(milliseconds(50));
  }
  BOOST_TEST(node.calls_to(call.target.replica, before) == 0U);
}

BOOST_AUTO_TEST_CASE(unparsable_self_reports_are_counted_and_change_nothing) {
  self_report_node node;
  node.send_request(1, "/safe/");
  const auto call = node.last<start_call>();
  replica_self_report report;
  report.is_drain_unreadable = true;
  report.backoff.is_unreadable = true;
  node.answer(call.call, report, dispatcher_driver::good_head());
  BOOST_TEST(node.last<respond>().status == 200U);
  BOOST_TEST(node.subject.replica_self_reports().counts().unreadable_drain_announcements == 1U);
  BOOST_TEST(node.subject.replica_self_reports().counts().unreadable_backoffs == 1U);
  const auto before = node.commands.size();
  for (base::caller_id client = 2; client < 30; ++client) {
    node.send_request(client, "/safe/");
  }
  BOOST_TEST(node.calls_to(call.target.replica, before) > 0U);
}

BOOST_AUTO_TEST_CASE(self_reports_of_an_earlier_incarnation_are_ignored) {
  self_report_node node;
  node.published.add_incarnation("plain-a", "plain", "a", "10.2.0.1:80", 1000);
  node.published.remove_replica("plain-b");
  node.subject.update(node.published.content, node.now);
  node.send_request(1, "/safe/");
  const auto call = node.last<start_call>();
  node.advance_time(milliseconds(10));
  node.published.add_incarnation("plain-a", "plain", "a", "10.2.0.1:80", 2000);
  node.subject.update(node.published.content, node.now);
  auto report = drain_report();
  report.backoff.duration = seconds(60);
  node.deliver_self_report(call.call, report);
  node.advance_time(milliseconds(10));
  const auto before = node.commands.size();
  node.send_request(2, "/safe/");
  BOOST_TEST(node.calls_to(base::replica_id("plain-a"), before) == 1U);
}

// --- all replicas back off -----------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(a_request_waits_for_a_backoff_that_ends_before_its_deadline) {
  self_report_node node;
  node.published.remove_replica("plain-b");
  node.subject.update(node.published.content, node.now);
  node.send_request(1, "/safe/");
  node.answer(node.last<start_call>().call, backoff_report(seconds(2)),
              dispatcher_driver::not_executed_head());
  const auto before = node.commands.size();
  node.send_request(2, "/safe/");
  node.advance_time(milliseconds(1'950));
  BOOST_TEST(node.calls_to(base::replica_id("plain-a"), before) == 0U);
  node.advance_time(milliseconds(100));
  BOOST_TEST(node.calls_to(base::replica_id("plain-a"), before) == 1U);
}

BOOST_AUTO_TEST_CASE(a_request_is_refused_at_once_if_no_backoff_ends_before_its_deadline) {
  self_report_node node;
  node.published.remove_replica("plain-b");
  node.subject.update(node.published.content, node.now);
  node.send_request(1, "/safe/");
  node.answer(node.last<start_call>().call, backoff_report(seconds(20)),
              dispatcher_driver::not_executed_head());
  const auto before = node.all<respond>().size();
  node.send_request(2, "/safe/");
  BOOST_REQUIRE(node.all<respond>().size() == before + 1);
  const auto refused = node.last<respond>();
  BOOST_TEST(refused.status == 503U);
  const auto retry_after =
      std::find_if(refused.headers.begin(), refused.headers.end(),
                   [](const header& field) { return field.name == "Retry-After"; });
  BOOST_REQUIRE((retry_after != refused.headers.end()));
  // The client waits five seconds; Retry-After is at most a third of that time.
  BOOST_TEST(std::stod(retry_after->value) >= 1.0);
}

BOOST_AUTO_TEST_CASE(stages_are_not_started_if_all_replicas_back_off_beyond_the_deadline) {
  self_report_node node;
  for (const std::string id : {"llm-a", "llm-b"}) {
    node.send_request(id == "llm-a" ? 1 : 2, "/fixed/");
    node.answer(node.last<start_call>().call, backoff_report(seconds(20)),
                dispatcher_driver::not_executed_head());
  }
  node.send_request(3, "/staged/", {3, 1});
  BOOST_TEST(node.last<respond>().status == 503U);
  BOOST_TEST(node.all<start_stage_call>().empty());
}

BOOST_AUTO_TEST_CASE(when_a_backoff_ends_urgent_requests_are_sent_first_and_the_others_gradually) {
  self_report_node node;
  node.published.add_route("/urgent/", wire::ROUTE_SAFE, "plain").set_priority(0);
  node.published.add_route("/usual/", wire::ROUTE_SAFE, "plain").set_priority(5);
  node.published.publish_configuration();
  node.published.remove_replica("plain-b");
  node.subject.update(node.published.content, node.now);
  node.send_request(1, "/usual/");
  node.answer(node.last<start_call>().call, backoff_report(seconds(1)),
              dispatcher_driver::not_executed_head());
  node.advance_time(milliseconds(500));
  for (base::caller_id client = 10; client < 20; ++client) {
    node.send_request(client, "/usual/");
  }
  node.send_request(20, "/urgent/");
  std::size_t seen = node.all<start_call>().size();
  node.advance_time(milliseconds(540));
  auto calls = node.all<start_call>();
  BOOST_REQUIRE(calls.size() == seen + 1);
  BOOST_TEST(calls.back().content->id.text() == "r20");
  // A request that arrives after the backoff is queued behind the requests that waited for the end
  // of the backoff.
  node.send_request(30, "/usual/");
  node.answer(calls.back().call, {}, dispatcher_driver::good_head());
  node.advance_time(milliseconds(30));
  calls = node.all<start_call>();
  BOOST_TEST(calls.size() <= seen + 4);
  BOOST_TEST(calls.back().content->id.text() != "r30");
}

BOOST_AUTO_TEST_SUITE_END()
