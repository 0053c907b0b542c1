/// Guards against an answer without length and chunks that is told to its client as whole: the end
/// of its connection may be its end, or its replica broke it off, or exited. Guards also against
/// exits under a request that are cleared by the very runs that crashed the replicas.
#include "serving_fixture.h"

using namespace spurrack;
using namespace spurrack::serving;
using std::chrono::milliseconds;

namespace {

const std::string first_event = "id: 1\ndata: x\n\n";
const std::string second_event = "id: 2\ndata: y\n\n";

stream_closed ended_by_connection(base::call_id call) {
  return {.call = call, .complete = true, .ends_with_connection = true};
}

call_answered answer_ended_by_connection(base::call_id call) {
  call_answered answered{call, dispatcher_driver::good_head(), "body"};
  answered.ends_with_connection = true;
  return answered;
}

/// Begins a stream without framing that delivers one event.
start_call begin_stream(dispatcher_driver& node, const std::string& path = "/stream/",
                        base::caller_id client = 1) {
  node.send_request(client, path);
  auto call = node.last<start_call>();
  node.deliver(stream_opened{call.call, dispatcher_driver::good_head(), true});
  node.deliver(stream_bytes{call.call, first_event});
  return call;
}

/// Delivers the result of the probe that follows the end of an answer.
void end_probe(dispatcher_driver& node, const base::replica_id& replica, probe_result result) {
  const auto began_at = node.now;
  node.advance_time(milliseconds(2));
  node.deliver(replica_probed{replica, result, began_at});
}

bool has_ended_as_complete(const dispatcher_driver& node) {
  const auto ends = node.all<end_stream>();
  return !ends.empty() && ends.back().complete;
}

} // namespace

BOOST_AUTO_TEST_SUITE(unframed_answer_test)

/// Guards against a stream that cannot be resumed and is told as complete although its replica
/// marked no end: the client gets it without chunks, so that it ends with the connection.
BOOST_AUTO_TEST_CASE(a_stream_whose_replica_went_on_ends_without_a_marked_end) {
  dispatcher_driver node;
  const auto call = begin_stream(node, "/fixed/");
  BOOST_TEST(node.last<open_stream>().ends_with_connection);
  node.deliver(ended_by_connection(call.call));
  BOOST_TEST(node.all<end_stream>().empty());
  BOOST_TEST((node.last<probe_replica>().target.replica == call.target.replica));
  end_probe(node, call.target.replica, probe_result::connected);
  BOOST_TEST(has_ended_as_complete(node));
  BOOST_TEST(node.all<start_call>().size() == 1U);
}

/// Guards against a resumable stream that ends as complete before its last event because its
/// replica, which lives, broke it off between two events.
BOOST_AUTO_TEST_CASE(a_stream_that_a_living_replica_broke_off_goes_on_at_another_replica) {
  dispatcher_driver node;
  const auto call = begin_stream(node);
  node.deliver(ended_by_connection(call.call));
  end_probe(node, call.target.replica, probe_result::connected);
  BOOST_TEST(node.all<end_stream>().empty());
  BOOST_REQUIRE(node.all<start_call>().size() == 2U);
  const auto resumed = node.last<start_call>();
  BOOST_TEST((resumed.target.replica != call.target.replica));
  BOOST_TEST((resumed.resume_after == std::optional<std::uint64_t>(1)));
  node.deliver(stream_opened{resumed.call, dispatcher_driver::good_head()});
  node.deliver(stream_bytes{resumed.call, second_event});
  node.deliver(stream_closed{resumed.call, true});
  BOOST_TEST(has_ended_as_complete(node));
  BOOST_TEST(node.all<open_stream>().size() == 1U);
  BOOST_TEST(node.subject.counts().open_ends.at("refuted") == 1U);
}

BOOST_AUTO_TEST_CASE(a_stream_is_whole_if_another_run_marks_its_end_after_the_same_event) {
  dispatcher_driver node;
  const auto call = begin_stream(node);
  node.deliver(ended_by_connection(call.call));
  end_probe(node, call.target.replica, probe_result::connected);
  const auto resumed = node.last<start_call>();
  node.deliver(stream_opened{resumed.call, dispatcher_driver::good_head()});
  BOOST_TEST(node.all<end_stream>().empty());
  node.deliver(stream_closed{resumed.call, true});
  BOOST_TEST(has_ended_as_complete(node));
  BOOST_TEST(node.subject.counts().open_ends.at("confirmed") == 1U);
}

/// Guards against a stream, which may be whole, that is broken off because no other run shows its
/// end: the other run fails, or sends nothing while the client waits.
BOOST_AUTO_TEST_CASE(a_stream_that_may_be_whole_ends_without_a_marked_end_if_no_run_shows_more) {
  for (const bool fails : {true, false}) {
    dispatcher_driver node;
    const auto call = begin_stream(node);
    node.deliver(ended_by_connection(call.call));
    end_probe(node, call.target.replica, probe_result::connected);
    const auto resumed = node.last<start_call>();
    BOOST_REQUIRE(resumed.call != call.call);
    if (fails) {
      node.deliver(call_failed{resumed.call});
    } else {
      node.advance_time(std::chrono::seconds(3));
      BOOST_TEST(!node.all<cancel_call>().empty());
    }
    BOOST_TEST(has_ended_as_complete(node));
    BOOST_TEST(node.last<open_stream>().ends_with_connection);
  }
}

/// Guards against a second run of each request of a route whose replicas never mark an end: the
/// second run shows nothing more.
BOOST_AUTO_TEST_CASE(no_second_run_is_made_once_a_route_is_known_to_leave_all_ends_open) {
  dispatcher_driver node;
  base::caller_id client = 1;
  const auto serve = [&] {
    const auto calls_before = node.all<start_call>().size();
    const auto first = begin_stream(node, "/stream/", client);
    node.deliver(ended_by_connection(first.call));
    end_probe(node, first.target.replica, probe_result::connected);
    const auto second = node.last<start_call>();
    if (second.call != first.call) {
      node.deliver(stream_opened{second.call, dispatcher_driver::good_head(), true});
      node.deliver(ended_by_connection(second.call));
      end_probe(node, second.target.replica, probe_result::connected);
    }
    BOOST_TEST(node.last<end_stream>().client == client);
    BOOST_TEST(has_ended_as_complete(node));
    ++client;
    return node.all<start_call>().size() - calls_before;
  };
  constexpr int learning_requests = 8;
  for (int number = 0; number < learning_requests; ++number) {
    serve();
  }
  BOOST_TEST(serve() == 1U);
}

BOOST_AUTO_TEST_CASE(a_stream_goes_on_at_another_replica_if_its_replica_exited_between_two_events) {
  dispatcher_driver node;
  const auto call = begin_stream(node);
  node.deliver(ended_by_connection(call.call));
  end_probe(node, call.target.replica, probe_result::refused);
  BOOST_TEST(node.all<end_stream>().empty());
  const auto resumed = node.last<start_call>();
  BOOST_TEST((resumed.target.replica != call.target.replica));
  BOOST_TEST((resumed.resume_after == std::optional<std::uint64_t>(1)));
  node.deliver(stream_opened{resumed.call, dispatcher_driver::good_head()});
  node.deliver(stream_bytes{resumed.call, second_event});
  node.deliver(stream_closed{resumed.call, true});
  BOOST_TEST(has_ended_as_complete(node));
}

BOOST_AUTO_TEST_CASE(a_stream_that_cannot_be_resumed_is_broken_off_if_its_replica_exited) {
  dispatcher_driver node;
  const auto call = begin_stream(node, "/fixed/");
  node.deliver(ended_by_connection(call.call));
  end_probe(node, call.target.replica, probe_result::refused);
  BOOST_REQUIRE(node.all<end_stream>().size() == 1U);
  BOOST_TEST(!has_ended_as_complete(node));
  BOOST_TEST(node.all<start_call>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_head_without_an_event_is_no_answer) {
  dispatcher_driver node;
  node.send_request(1, "/stream/");
  const auto call = node.last<start_call>();
  node.deliver(stream_opened{call.call, dispatcher_driver::good_head()});
  node.deliver(ended_by_connection(call.call));
  BOOST_TEST(node.all<end_stream>().empty());
  BOOST_TEST(node.all<start_call>().size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_stream_that_ends_inside_an_event_goes_on_at_another_replica) {
  dispatcher_driver node;
  const auto call = begin_stream(node);
  node.deliver(stream_bytes{call.call, "id: 2\nda"});
  node.deliver(ended_by_connection(call.call));
  BOOST_TEST(node.all<end_stream>().empty());
  BOOST_TEST(node.all<start_call>().size() == 2U);
}

BOOST_AUTO_TEST_CASE(activity_of_the_replica_on_another_connection_shows_that_it_went_on) {
  dispatcher_driver node;
  const auto call = begin_stream(node, "/fixed/");
  node.send_request(2, "/fixed/");
  const auto other = node.last<start_call>();
  node.send_request(3, "/fixed/");
  const auto third = node.last<start_call>();
  const auto& beside = other.target.replica == call.target.replica ? other : third;
  BOOST_REQUIRE((beside.target.replica == call.target.replica));
  node.deliver(ended_by_connection(call.call));
  node.advance_time(milliseconds(60));
  node.deliver(stream_opened{beside.call, dispatcher_driver::good_head()});
  BOOST_TEST(has_ended_as_complete(node));
}

BOOST_AUTO_TEST_CASE(a_probe_that_began_before_the_end_shows_nothing) {
  dispatcher_driver node;
  const auto call = begin_stream(node);
  const auto began_at = node.now;
  node.advance_time(milliseconds(2));
  node.deliver(ended_by_connection(call.call));
  node.deliver(replica_probed{call.target.replica, probe_result::connected, began_at});
  BOOST_TEST(node.all<end_stream>().empty());
}

BOOST_AUTO_TEST_CASE(a_stream_without_a_sign_of_its_replica_does_not_look_complete) {
  dispatcher_driver node;
  const auto call = begin_stream(node, "/fixed/");
  node.deliver(ended_by_connection(call.call));
  // The replica may only be silent, so the end is not known before the deadline.
  node.advance_time(milliseconds(1'500));
  BOOST_TEST(node.all<end_stream>().empty());
  node.advance_time(*node.time_allowed);
  BOOST_REQUIRE(node.all<end_stream>().size() == 1U);
  BOOST_TEST(!has_ended_as_complete(node));
}

/// After a silence, the process that accepts a connection may be a new one.
BOOST_AUTO_TEST_CASE(a_replica_that_accepts_connections_late_may_have_restarted) {
  dispatcher_driver node;
  node.published.add_incarnation("llm-a", "llm", "a", "10.3.0.1:80", 1'000);
  node.published.remove_replica("llm-b");
  node.subject.update(node.published.content, node.now);
  const auto call = begin_stream(node, "/fixed/");
  node.deliver(ended_by_connection(call.call));
  node.advance_time(milliseconds(1'500));
  end_probe(node, call.target.replica, probe_result::connected);
  node.advance_time(milliseconds(1'000));
  BOOST_TEST(node.all<end_stream>().empty());
  node.published.add_incarnation("llm-a", "llm", "a", "10.3.0.1:80", 2'000);
  node.subject.update(node.published.content, node.now);
  node.advance_time(milliseconds(5));
  BOOST_REQUIRE(node.all<end_stream>().size() == 1U);
  BOOST_TEST(!has_ended_as_complete(node));
}

/// Guards against an answer of a request that runs at most once that is told as whole although its
/// replica marked no end, and against a failure in its place: it may be whole.
BOOST_AUTO_TEST_CASE(an_answer_waits_for_a_sign_of_its_replica_and_arrives_without_a_marked_end) {
  dispatcher_driver node;
  node.send_request(1, "/unsafe/");
  const auto call = node.last<start_call>();
  node.deliver(answer_ended_by_connection(call.call));
  BOOST_TEST(node.all<respond>().empty());
  end_probe(node, call.target.replica, probe_result::connected);
  BOOST_REQUIRE(node.all<respond>().size() == 1U);
  BOOST_TEST(node.last<respond>().status == 200U);
  BOOST_TEST(node.last<respond>().body == "body");
  BOOST_TEST(node.last<respond>().ends_with_connection);
  BOOST_TEST(node.all<start_call>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_repeatable_request_gets_the_answer_of_another_run_with_a_marked_end) {
  dispatcher_driver node;
  node.send_request(1, "/safe/");
  const auto call = node.last<start_call>();
  node.deliver(answer_ended_by_connection(call.call));
  end_probe(node, call.target.replica, probe_result::connected);
  BOOST_TEST(node.all<respond>().empty());
  BOOST_REQUIRE(node.all<start_call>().size() == 2U);
  node.deliver(
      call_answered{node.last<start_call>().call, dispatcher_driver::good_head(), "whole body"});
  BOOST_TEST(node.last<respond>().body == "whole body");
  BOOST_TEST(!node.last<respond>().ends_with_connection);
}

/// Guards against a failure in place of an answer that may be whole: the other run fails, or the
/// deadline passes before its answer.
BOOST_AUTO_TEST_CASE(a_repeatable_request_gets_its_first_answer_if_another_run_brings_none) {
  for (const bool fails : {true, false}) {
    dispatcher_driver node;
    node.send_request(1, "/safe/");
    const auto call = node.last<start_call>();
    node.deliver(answer_ended_by_connection(call.call));
    end_probe(node, call.target.replica, probe_result::connected);
    const auto again = node.last<start_call>();
    if (fails) {
      node.deliver(call_answered{again.call, dispatcher_driver::good_head(500), "failure"});
    } else {
      node.advance_time(*node.time_allowed);
    }
    BOOST_REQUIRE(node.all<respond>().size() == 1U);
    BOOST_TEST(node.last<respond>().body == "body");
    BOOST_TEST(node.last<respond>().ends_with_connection);
  }
}

/// Guards against a success without a body that no replica claimed.
BOOST_AUTO_TEST_CASE(a_head_without_a_body_is_no_answer) {
  dispatcher_driver node;
  node.send_request(1, "/unsafe/");
  auto answered = answer_ended_by_connection(node.last<start_call>().call);
  answered.body.clear();
  node.deliver(answered);
  BOOST_TEST(node.last<respond>().status == 502U);
}

BOOST_AUTO_TEST_CASE(a_whole_answer_of_a_replica_that_exited_is_not_forwarded) {
  dispatcher_driver node;
  node.send_request(1, "/safe/");
  const auto call = node.last<start_call>();
  node.deliver(answer_ended_by_connection(call.call));
  end_probe(node, call.target.replica, probe_result::refused);
  BOOST_TEST(node.all<respond>().empty());
  BOOST_REQUIRE(node.all<start_call>().size() == 2U);
  node.deliver(
      call_answered{node.last<start_call>().call, dispatcher_driver::good_head(), "other"});
  BOOST_TEST(node.last<respond>().body == "other");
}

BOOST_AUTO_TEST_CASE(a_request_that_runs_at_most_once_is_not_sent_again_after_its_replica_exited) {
  dispatcher_driver node;
  node.send_request(1, "/unsafe/");
  const auto call = node.last<start_call>();
  node.deliver(answer_ended_by_connection(call.call));
  end_probe(node, call.target.replica, probe_result::refused);
  BOOST_TEST(node.all<start_call>().size() == 1U);
  BOOST_TEST(node.last<respond>().status == 502U);
}

BOOST_AUTO_TEST_CASE(a_client_may_leave_and_a_deadline_may_pass_while_an_end_is_not_settled) {
  dispatcher_driver node;
  const auto left = begin_stream(node);
  node.deliver(ended_by_connection(left.call));
  node.deliver(client_disconnected{1});
  end_probe(node, left.target.replica, probe_result::connected);
  BOOST_TEST(node.all<end_stream>().empty());
  BOOST_TEST(!node.subject.is_busy());
  node.time_allowed = milliseconds(100);
  node.send_request(2, "/safe/");
  const auto late = node.last<start_call>();
  node.deliver(answer_ended_by_connection(late.call));
  node.advance_time(milliseconds(150));
  BOOST_TEST(node.last<respond>().status == 504U);
  end_probe(node, late.target.replica, probe_result::connected);
  BOOST_TEST(node.all<respond>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_run_does_not_clear_exits_if_its_replica_exited) {
  dispatcher_driver node;
  const auto call = begin_stream(node);
  node.deliver(ended_by_connection(call.call));
  end_probe(node, call.target.replica, probe_result::refused);
  node.advance_time(milliseconds(5));
  for (const auto& probe : node.all<probe_replica>()) {
    if (probe.target.replica != call.target.replica) {
      node.deliver(replica_probed{probe.target.replica, probe_result::connected, node.now});
    }
  }
  const auto& records = node.subject.crashes().all();
  BOOST_REQUIRE(records.size() == 1U);
  BOOST_TEST(records.begin()->second.exits.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
