/// Single requests at one dispatcher: answers, retries, streams, stages and deadlines.
#include "serving_fixture.h"

using namespace spurrack;
using namespace spurrack::serving;

BOOST_FIXTURE_TEST_SUITE(dispatcher_test, dispatcher_driver)

BOOST_AUTO_TEST_CASE(request_is_sent_and_answer_forwarded) {
  send_request(1, "/safe/x");
  const auto call = last<start_call>();
  BOOST_TEST(call.tenant == "tenant");
  BOOST_TEST(base::to_milliseconds(call.time_left) == 5000);
  BOOST_TEST(!call.target.replica.empty());
  auto head = good_head();
  head.headers = {{"Seal", "s"}};
  deliver(call_answered{call.call, head, "body"});
  const auto answer = last<respond>();
  BOOST_TEST(answer.status == 200);
  BOOST_TEST(answer.body == "body");
  BOOST_TEST(answer.headers.front().name == "Seal");
  BOOST_TEST(!answer.locally_answered_request.has_value());
  BOOST_TEST(subject.active_requests() == 0);
}

BOOST_AUTO_TEST_CASE(own_answers_say_why) {
  send_request(1, "/none/x");
  BOOST_TEST(last<respond>().status == 404);
  api_key = "wrong";
  send_request(2, "/safe/x");
  BOOST_TEST(last<respond>().status == 401);
  api_key = "key";
  subject.begin_stop(now, now);
  send_request(3, "/safe/x");
  BOOST_TEST(last<respond>().status == 503);
  BOOST_TEST(all<start_call>().empty());
}

// Guards against a final refusal because of a route or key that a later configuration may have.
BOOST_AUTO_TEST_CASE(outdated_configuration_refuses_only_temporarily) {
  subject.set_configuration_knowledge({1, std::chrono::seconds(3), true});
  send_request(1, "/none/x");
  const auto answer = last<respond>();
  BOOST_TEST(answer.status == 503);
  BOOST_TEST(std::any_of(answer.headers.begin(), answer.headers.end(),
                         [](const auto& field) { return field.name == "Retry-After"; }));
  send_request(2, "/safe/x");
  BOOST_TEST(all<start_call>().size() == 1);
  api_key = "wrong";
  send_request(3, "/safe/x");
  BOOST_TEST(last<respond>().status == 503);
  subject.set_configuration_knowledge({1, std::chrono::milliseconds(10), false});
  send_request(4, "/safe/x");
  BOOST_TEST(last<respond>().status == 401);
}

BOOST_AUTO_TEST_CASE(without_a_configuration_nothing_is_denied) {
  dispatcher fresh({base::node_id("n"), base::zone_id("a"), base::network_address("n:1")}, {},
                   random, 1, [](auto, const auto&, const auto&, const auto&) {});
  auto content = std::make_shared<request_content>();
  content->host = "h";
  content->path = "/safe/";
  fresh.handle(request_arrived{1, content, now}, now);
  const auto commands_now = fresh.take_commands();
  BOOST_REQUIRE(commands_now.size() == 1);
  BOOST_TEST(std::get<respond>(commands_now.front()).status == 503);
}

BOOST_AUTO_TEST_CASE(an_unsafe_request_that_may_have_run_is_never_sent_again) {
  send_request(1, "/unsafe/x");
  deliver(call_failed{last<start_call>().call, call_failure::may_have_run});
  BOOST_TEST(all<start_call>().size() == 1);
  BOOST_TEST(last<respond>().status == 502);
}

BOOST_AUTO_TEST_CASE(unsent_unsafe_request_goes_to_another_replica) {
  send_request(1, "/unsafe/x");
  const auto first = last<start_call>();
  deliver(call_failed{first.call, call_failure::not_sent});
  const auto second = last<start_call>();
  BOOST_TEST(second.call != first.call);
  BOOST_TEST(second.target.replica != first.target.replica);
  BOOST_TEST(second.runs_at_most_once);
}

BOOST_AUTO_TEST_CASE(unsafe_request_refused_by_replica_is_answered_as_not_run) {
  send_request(1, "/unsafe/x");
  deliver(call_answered{last<start_call>().call, not_executed_head(), ""});
  const auto answer = last<respond>();
  BOOST_TEST(answer.status == 503);
  BOOST_TEST(answer.locally_answered_request.has_value());
  const auto wait = std::find_if(answer.headers.begin(), answer.headers.end(),
                                 [](const header& field) { return field.name == "Retry-After"; });
  BOOST_TEST((wait != answer.headers.end()));
}

BOOST_AUTO_TEST_CASE(never_not_run_after_an_attempt_that_may_have_run) {
  send_request(1, "/safe/x");
  deliver(call_failed{last<start_call>().call, call_failure::may_have_run});
  deliver(call_answered{last<start_call>().call, not_executed_head(), ""});
  BOOST_TEST(last<respond>().status == 502);
}

BOOST_AUTO_TEST_CASE(a_safe_request_is_repeated_within_its_attempts) {
  send_request(1, "/safe/x");
  deliver(call_answered{last<start_call>().call, good_head(500), "first"});
  BOOST_TEST(all<start_call>().size() == 2);
  deliver(call_answered{last<start_call>().call, good_head(500), "second"});
  BOOST_TEST(all<start_call>().size() == 2);
  BOOST_TEST(last<respond>().status == 500);
  BOOST_TEST(last<respond>().body == "second");
}

BOOST_AUTO_TEST_CASE(unsealed_or_encoded_answer_is_not_forwarded) {
  send_request(1, "/unsafe/x");
  auto unsealed = good_head();
  unsealed.sealed = false;
  deliver(call_answered{last<start_call>().call, unsealed, "body"});
  BOOST_TEST(last<respond>().status == 502);
  send_request(2, "/unsafe/x");
  auto encoded = good_head();
  encoded.encoded = true;
  deliver(call_answered{last<start_call>().call, encoded, "body"});
  BOOST_TEST(last<respond>().status == 502);
  BOOST_TEST(last<respond>().locally_answered_request->text() == "r2");
}

BOOST_AUTO_TEST_CASE(deadline_aborts_request_and_cancels_call) {
  send_request(1, "/unsafe/x");
  advance_time(std::chrono::milliseconds(5001));
  BOOST_TEST(last<respond>().status == 504);
  BOOST_TEST(last<cancel_call>().call == last<start_call>().call);
  BOOST_TEST(subject.active_requests() == 0);
}

BOOST_AUTO_TEST_CASE(disconnect_cancels_call) {
  send_request(1, "/stream/x");
  deliver(client_disconnected{1});
  BOOST_TEST(last<cancel_call>().call == last<start_call>().call);
  BOOST_TEST(all<respond>().empty());
}

BOOST_AUTO_TEST_CASE(a_replica_that_drains_or_is_gone_gets_nothing) {
  published.add_replica("plain-a", "plain", "a", true);
  published.remove_replica("plain-b");
  subject.update(published.content, now);
  send_request(1, "/safe/x");
  BOOST_TEST(all<start_call>().empty());
  BOOST_TEST(last<respond>().status == 503);
}

BOOST_AUTO_TEST_CASE(an_address_that_belongs_to_another_replica_is_left_alone) {
  send_request(1, "/safe/x");
  const auto first = last<start_call>();
  answer_head misdirected;
  misdirected.status = 421;
  misdirected.misdirected = true;
  deliver(call_answered{first.call, misdirected, ""});
  BOOST_TEST(last<start_call>().target.replica != first.target.replica);
  send_request(2, "/safe/x");
  BOOST_TEST(last<start_call>().target.replica != first.target.replica);
}

BOOST_AUTO_TEST_CASE(stream_is_forwarded_event_by_event) {
  send_request(1, "/stream/x");
  const auto call = last<start_call>().call;
  deliver(stream_opened{call, good_head()});
  BOOST_TEST(all<open_stream>().empty());
  deliver(stream_bytes{call, "id: 1\ndata: a\n\nid: 2\nda"});
  BOOST_TEST(all<open_stream>().size() == 1);
  BOOST_TEST(last<stream_data>().bytes == "id: 1\ndata: a\n\n");
  deliver(stream_bytes{call, "ta: b\n\n"});
  deliver(stream_closed{call, true});
  BOOST_TEST(last<end_stream>().complete);
}

BOOST_AUTO_TEST_CASE(a_broken_stream_goes_on_elsewhere_inside_the_same_answer) {
  send_request(1, "/stream/x");
  const auto first = last<start_call>();
  deliver(stream_opened{first.call, good_head()});
  deliver(stream_bytes{first.call, "id: 1\ndata: a\n\nid: 2\nda"});
  deliver(stream_closed{first.call, false});
  const auto second = last<start_call>();
  BOOST_TEST(second.target.replica != first.target.replica);
  BOOST_TEST(second.resume_after.value() == 1);
  deliver(stream_opened{second.call, good_head()});
  deliver(stream_bytes{second.call, "id: 2\ndata: b\n\n"});
  deliver(stream_closed{second.call, true});
  BOOST_TEST(all<open_stream>().size() == 1);
  BOOST_TEST(last<stream_data>().bytes == "id: 2\ndata: b\n\n");
  BOOST_TEST(last<end_stream>().complete);
}

BOOST_AUTO_TEST_CASE(a_broken_stream_that_cannot_be_resumed_is_broken_off) {
  send_request(1, "/fixed/x");
  const auto call = last<start_call>().call;
  deliver(stream_opened{call, good_head()});
  deliver(stream_bytes{call, "id: 1\ndata: a\n\n"});
  deliver(stream_closed{call, false});
  BOOST_TEST(all<start_call>().size() == 1);
  BOOST_TEST(!last<end_stream>().complete);
}

BOOST_AUTO_TEST_CASE(stream_that_ends_inside_an_event_is_incomplete) {
  send_request(1, "/fixed/x");
  const auto call = last<start_call>().call;
  deliver(stream_opened{call, good_head()});
  deliver(stream_bytes{call, "id: 1\ndata: a\n\nid: 2\n"});
  deliver(stream_closed{call, true});
  BOOST_TEST(!last<end_stream>().complete);
}

BOOST_AUTO_TEST_CASE(stages_run_in_order_and_their_results_are_freed) {
  send_request(1, "/staged/x", {2, 1});
  advance_time(std::chrono::milliseconds(20));
  BOOST_REQUIRE(all<start_stage_call>().size() == 1);
  const auto first = last<start_stage_call>();
  BOOST_REQUIRE(first.items.size() == 2);
  BOOST_TEST(first.items[0].piece_key == "pk");
  const auto maker = first.target.address.text();
  deliver(stage_call_ended{first.call,
                           stage_call_ended::result::answered,
                           {{piece_fault::none, maker + "/1"}, {piece_fault::none, maker + "/2"}}});
  advance_time(std::chrono::milliseconds(20));
  const auto second = last<start_stage_call>();
  BOOST_REQUIRE(second.items.size() == 1);
  BOOST_TEST(second.items[0].inputs == (std::vector<std::string>{maker + "/1", maker + "/2"}),
             boost::test_tools::per_element());
  BOOST_TEST(second.items[0].piece_key.empty());
  const auto second_maker = second.target.address.text();
  deliver(stage_call_ended{
      second.call, stage_call_ended::result::answered, {{piece_fault::none, second_maker + "/3"}}});
  BOOST_TEST(last<free_results>().handles.size() == 2);
  const auto call = last<start_call>();
  BOOST_TEST(call.inputs == std::vector<std::string>{second_maker + "/3"},
             boost::test_tools::per_element());
  deliver(stream_opened{call.call, good_head()});
  deliver(stream_bytes{call.call, "id: 1\ndata: a\n\n"});
  BOOST_TEST(last<free_results>().handles == std::vector<std::string>{second_maker + "/3"},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(results_are_freed_once_the_next_stage_has_fetched_them) {
  send_request(1, "/staged/x", {2, 1});
  advance_time(std::chrono::milliseconds(20));
  const auto first = last<start_stage_call>();
  const auto maker = first.target.address.text();
  deliver(stage_call_ended{first.call,
                           stage_call_ended::result::answered,
                           {{piece_fault::none, maker + "/1"}, {piece_fault::none, maker + "/2"}}});
  advance_time(std::chrono::milliseconds(30));
  BOOST_TEST(all<start_stage_call>().size() == 2);
  BOOST_TEST(all<free_results>().empty());
  advance_time(std::chrono::milliseconds(100));
  BOOST_REQUIRE(all<free_results>().size() == 1);
  BOOST_TEST(last<free_results>().handles.size() == 2);
}

BOOST_AUTO_TEST_CASE(results_are_kept_longer_after_a_piece_missed_its_input) {
  const auto complete_first_stage = [&](base::caller_id client) {
    send_request(client, "/staged/x", {1, 1});
    advance_time(std::chrono::milliseconds(20));
    const auto first = last<start_stage_call>();
    deliver(stage_call_ended{first.call,
                             stage_call_ended::result::answered,
                             {{piece_fault::none, first.target.address.text() + "/1"}}});
    advance_time(std::chrono::milliseconds(100));
    return last<start_stage_call>().call;
  };
  const auto second = complete_first_stage(1);
  BOOST_TEST(all<free_results>().size() == 1);
  deliver(stage_call_ended{
      second, stage_call_ended::result::answered, {{piece_fault::input_gone, ""}}});
  deliver(client_disconnected{1});
  commands.clear();
  complete_first_stage(2);
  BOOST_TEST(all<free_results>().empty());
}

BOOST_AUTO_TEST_CASE(lost_result_is_recomputed) {
  send_request(1, "/staged/x", {1, 1});
  advance_time(std::chrono::milliseconds(20));
  const auto first = last<start_stage_call>();
  deliver(stage_call_ended{first.call,
                           stage_call_ended::result::answered,
                           {{piece_fault::none, first.target.address.text() + "/1"}}});
  advance_time(std::chrono::milliseconds(20));
  const auto second = last<start_stage_call>();
  deliver(stage_call_ended{
      second.call, stage_call_ended::result::answered, {{piece_fault::input_gone, ""}}});
  advance_time(std::chrono::milliseconds(20));
  BOOST_TEST(last<start_stage_call>().items.front().stage == 0);
}

BOOST_AUTO_TEST_CASE(stages_that_fail_under_a_begun_stream_break_it_off) {
  // Regression: a whole answer was written into the stream that had begun.
  published.configuration.mutable_routes(4)->set_resumable(true);
  published.publish_configuration();
  subject.update(published.content, now);
  send_request(1, "/staged/x", {1, 1});
  for (const std::string handle : {"/1", "/2"}) {
    advance_time(std::chrono::milliseconds(20));
    const auto stage_call = last<start_stage_call>();
    deliver(stage_call_ended{stage_call.call,
                             stage_call_ended::result::answered,
                             {{piece_fault::none, stage_call.target.address.text() + handle}}});
  }
  const auto first = last<start_stage_call>();
  const auto call = last<start_call>().call;
  deliver(stream_opened{call, good_head()});
  deliver(stream_bytes{call, "id: 1\ndata: a\n\n"});
  deliver(stream_closed{call, false});
  advance_time(std::chrono::milliseconds(20));
  const auto again = last<start_stage_call>();
  BOOST_TEST(again.call != first.call);
  deliver(
      stage_call_ended{again.call, stage_call_ended::result::answered, {{piece_fault::late, ""}}});
  BOOST_TEST(all<respond>().empty());
  BOOST_TEST(!last<end_stream>().complete);
}

BOOST_AUTO_TEST_CASE(request_with_failed_stages_is_answered_as_not_run) {
  send_request(1, "/staged/x", {1, 1});
  advance_time(std::chrono::milliseconds(20));
  deliver(stage_call_ended{last<start_stage_call>().call,
                           stage_call_ended::result::answered,
                           {{piece_fault::late, ""}}});
  BOOST_TEST(last<respond>().status == 503);
  BOOST_TEST(all<start_call>().empty());
}

BOOST_AUTO_TEST_CASE(stalled_safe_call_is_retried_and_stalled_unsafe_call_is_not) {
  send_request(1, "/safe/x");
  const auto first = last<start_call>();
  advance_time(std::chrono::milliseconds(900));
  const auto second = last<start_call>();
  BOOST_TEST(second.target.replica != first.target.replica);
  BOOST_TEST(last<cancel_call>().call == first.call);
  send_request(2, "/unsafe/x");
  const auto calls = all<start_call>().size();
  advance_time(std::chrono::milliseconds(900));
  BOOST_TEST(all<start_call>().size() == calls);
}

BOOST_AUTO_TEST_CASE(abort_all_requests_removes_every_request) {
  send_request(1, "/unsafe/x");
  send_request(2, "/staged/x", {1, 1});
  subject.abort_all_requests(now);
  BOOST_TEST(subject.active_requests() == 0);
}

BOOST_AUTO_TEST_CASE(stalled_call_is_retried_when_another_replica_appears) {
  published.add_replica("llm-b", "llm", "b", true);
  subject.update(published.content, now);
  send_request(1, "/stream/x");
  BOOST_TEST(last<start_call>().target.replica.text() == "llm-a");
  // The target latency passes while no other replica is available.
  advance_time(std::chrono::milliseconds(1500));
  BOOST_TEST(all<start_call>().size() == 1U);
  published.add_replica("llm-b", "llm", "b");
  subject.update(published.content, now);
  advance_time(std::chrono::milliseconds(150));
  BOOST_TEST(all<start_call>().size() == 2U);
  BOOST_TEST(last<start_call>().target.replica.text() == "llm-b");
  BOOST_TEST(last<cancel_call>().call == all<start_call>().front().call);
}

BOOST_AUTO_TEST_CASE(replica_with_stalled_call_gets_no_new_calls) {
  send_request(1, "/stream/x");
  const auto first = last<start_call>();
  advance_time(std::chrono::milliseconds(1100));
  BOOST_TEST(all<start_call>().size() == 2U);
  for (base::caller_id client = 2; client < 8; ++client) {
    send_request(client, "/stream/x");
    BOOST_TEST(last<start_call>().target.replica != first.target.replica);
  }
}

BOOST_AUTO_TEST_CASE(stream_events_postpone_stall_timeout) {
  time_allowed = std::chrono::seconds(20);
  send_request(1, "/stream/x");
  const auto call = last<start_call>();
  deliver(stream_opened{call.call, good_head()});
  for (int event = 1; event <= 20; ++event) {
    deliver(stream_bytes{call.call, "id: " + std::to_string(event) + "\ndata: x\n\n"});
    advance_time(std::chrono::milliseconds(200));
  }
  BOOST_TEST(all<start_call>().size() == 1U);
  // The stall timeout: two and a half times the target gap between events.
  advance_time(std::chrono::milliseconds(1100));
  BOOST_TEST(all<start_call>().size() == 2U);
  BOOST_TEST(*last<start_call>().resume_after == 20U);
}

BOOST_AUTO_TEST_CASE(request_is_aborted_when_its_stage_loses_the_last_replica) {
  published.remove_replica("pool-b");
  subject.update(published.content, now);
  time_allowed = std::chrono::seconds(5);
  send_request(1, "/staged/x", {1, 1});
  // A replica for the stages is available until well after the first feasibility check.
  advance_time(std::chrono::milliseconds(2500));
  BOOST_TEST(all<respond>().empty());
  const auto lost_at = now;
  published.remove_replica("pool-a");
  subject.update(published.content, now);
  while (all<respond>().empty() && now - lost_at < std::chrono::seconds(3)) {
    advance_time(std::chrono::milliseconds(50));
  }
  BOOST_TEST(last<respond>().status == 503U);
  BOOST_TEST(base::to_milliseconds(now - lost_at) <= 1000);
}

BOOST_AUTO_TEST_SUITE_END()
