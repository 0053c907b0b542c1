/// What a replica says of itself holds for every kind of call: first sends, repeats, streams that
/// are resumed, calls with pieces of stages, results that are freed; and it is heard with any
/// answer.
#include "serving_fixture.h"

using namespace spurrack;
using namespace spurrack::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

replica_statement leaving() {
  replica_statement said;
  said.leaving = true;
  return said;
}

replica_statement backoff_of(base::duration span) {
  replica_statement said;
  said.backoff.span = span;
  return said;
}

/// One node before the replicas of a small world; what goes to each replica is counted.
struct stated_node : dispatcher_driver {
  /// @return calls of any kind that went to a replica since `first` commands.
  [[nodiscard]] std::size_t sent_to(const base::replica_id& replica, std::size_t first) const {
    const auto called = called_since(first);
    return static_cast<std::size_t>(std::count(called.begin(), called.end(), replica));
  }

  /// Answers all calls with pieces that were made since the last time.
  void make_pieces(const replica_statement& said = {}) {
    const auto calls = all<start_stage_call>();
    for (; answered_ < calls.size(); ++answered_) {
      const auto& call = calls[answered_];
      deliver_self_report(call.call, said);
      stage_call_ended ended{call.call, stage_call_ended::result::answered, {}};
      for (std::size_t piece = 0; piece < call.items.size(); ++piece) {
        ended.pieces.push_back(
            {piece_fault::none, call.target.address.text() + "/" + std::to_string(++handles_)});
      }
      happen(ended);
    }
  }

  /// Ends the latest call as a stream that is served whole.
  void serve_stream() {
    const auto call = last<start_call>().call;
    deliver_self_report(call, {});
    happen(stream_opened{call, good_head()});
    happen(stream_bytes{call, "id: 1\ndata: x\n\n"});
    happen(stream_closed{call, true});
  }

 private:
  std::size_t answered_ = 0;
  std::size_t handles_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(stated_calls_test)

BOOST_AUTO_TEST_CASE(a_refusal_and_an_error_say_that_the_replica_leaves) {
  for (const unsigned status : {503U, 500U, 429U}) {
    stated_node node;
    node.arrive(1, "/safe/");
    const auto first = node.last<start_call>().target.replica;
    auto head = dispatcher_driver::good_head(status);
    head.not_executed = status != 500;
    const auto before = node.commands.size();
    node.answer(node.last<start_call>().call, leaving(), head);
    for (base::caller_id client = 2; client < 40; ++client) {
      node.arrive(client, "/safe/");
    }
    BOOST_TEST(node.sent_to(first, before) == 0U, status);
  }
}

BOOST_AUTO_TEST_CASE(the_head_of_a_stream_says_so_before_the_stream_ends) {
  stated_node node;
  node.arrive(1, "/stream/");
  const auto call = node.last<start_call>();
  node.deliver_self_report(call.call, leaving());
  node.happen(stream_opened{call.call, dispatcher_driver::good_head()});
  node.happen(stream_bytes{call.call, "id: 1\ndata: x\n\n"});
  const auto before = node.commands.size();
  for (base::caller_id client = 2; client < 20; ++client) {
    node.arrive(client, "/stream/");
  }
  BOOST_TEST(node.sent_to(call.target.replica, before) == 0U);
  // Its own stream goes on, and a resumed one goes elsewhere.
  BOOST_TEST(node.all<cancel_call>().empty());
  node.happen(stream_closed{call.call, false});
  BOOST_TEST(node.sent_to(call.target.replica, before) == 0U);
  BOOST_TEST(node.last<start_call>().resume_after.value_or(0) == 1U);
}

BOOST_AUTO_TEST_CASE(a_whole_answer_says_so_with_its_head) {
  stated_node node;
  node.arrive(1, "/safe/");
  const auto call = node.last<start_call>();
  node.deliver_self_report(call.call, leaving());
  const auto before = node.commands.size();
  for (base::caller_id client = 2; client < 20; ++client) {
    node.arrive(client, "/safe/");
  }
  BOOST_TEST(node.sent_to(call.target.replica, before) == 0U);
  node.happen(call_answered{call.call, dispatcher_driver::good_head(), "body"});
  BOOST_TEST(node.last<respond>().status == 200U);
}

BOOST_AUTO_TEST_CASE(pieces_and_freed_results_do_not_go_to_a_replica_that_leaves) {
  stated_node node;
  node.time_allowed = seconds(60);
  node.arrive(1, "/staged/", {3, 1});
  node.pass(milliseconds(20));
  const auto maker = node.last<start_stage_call>().target.replica;
  node.make_pieces(leaving());
  const auto before = node.commands.size();
  for (base::caller_id client = 2; client < 10; ++client) {
    node.arrive(client, "/staged/", {3, 1});
    for (int step = 0; step < 20; ++step) {
      node.pass(milliseconds(20));
      node.make_pieces();
    }
    node.serve_stream();
  }
  BOOST_TEST(node.sent_to(maker, before) == 0U);
  BOOST_TEST(node.all<start_stage_call>().size() > 8U);
  // Its results are used all the same: none is made again.
  const auto calls = node.all<start_call>();
  BOOST_REQUIRE(!calls.empty());
  BOOST_TEST(calls.front().content->id.text() == "r1");
}

BOOST_AUTO_TEST_CASE(pieces_and_freed_results_wait_for_the_end_of_a_pause) {
  stated_node node;
  node.time_allowed = seconds(60);
  node.world.remove_replica("pool-b");
  node.subject.update(node.world.content, node.now);
  node.arrive(1, "/staged/", {3, 1});
  node.pass(milliseconds(20));
  const auto maker = node.last<start_stage_call>().target.replica;
  node.make_pieces(backoff_of(seconds(2)));
  const auto before = node.commands.size();
  node.pass(milliseconds(1'950));
  BOOST_TEST(node.sent_to(maker, before) == 0U);
  for (int step = 0; step < 100; ++step) {
    node.pass(milliseconds(20));
    node.make_pieces();
  }
  // The second stage is made after the pause, and what it has fetched is freed.
  BOOST_REQUIRE(!node.all<start_call>().empty());
  BOOST_TEST(node.sent_to(maker, before) > 0U);
  node.serve_stream();
  node.pass(milliseconds(100));
  BOOST_TEST(!node.all<free_results>().empty());
}

BOOST_AUTO_TEST_CASE(repeats_go_to_none_that_asked_for_a_pause) {
  stated_node node;
  for (base::caller_id client = 1; client < 30; ++client) {
    node.arrive(client, "/safe/");
  }
  const auto first = node.all<start_call>();
  const base::replica_id resting("plain-a");
  for (const auto& call : first) {
    if (call.target.replica == resting) {
      node.answer(call.call, backoff_of(seconds(3)), dispatcher_driver::not_executed_head());
    }
  }
  const auto before = node.commands.size();
  for (const auto& call : first) {
    if (call.target.replica != resting) {
      node.happen(call_failed{call.call, call_fate::may_have_run});
    }
  }
  node.pass(milliseconds(2'900));
  BOOST_TEST(node.sent_to(resting, before) == 0U);
}

BOOST_AUTO_TEST_CASE(an_answer_from_before_lifts_no_pause) {
  stated_node node;
  for (base::caller_id client = 1; client < 30; ++client) {
    node.arrive(client, "/safe/");
  }
  const base::replica_id resting("plain-a");
  std::vector<base::call_id> calls;
  for (const auto& call : node.all<start_call>()) {
    if (call.target.replica == resting) {
      calls.push_back(call.call);
    }
  }
  BOOST_REQUIRE(calls.size() > 3);
  node.answer(calls[0], backoff_of(seconds(3)), dispatcher_driver::not_executed_head());
  const auto before = node.commands.size();
  node.answer(calls[1], {}, dispatcher_driver::good_head());
  node.answer(calls[2], backoff_of(milliseconds(50)), dispatcher_driver::not_executed_head());
  node.pass(milliseconds(2'900));
  for (base::caller_id client = 100; client < 130; ++client) {
    node.arrive(client, "/safe/");
  }
  BOOST_TEST(node.sent_to(resting, before) == 0U);
}

BOOST_AUTO_TEST_CASE(a_503_of_a_replica_that_ran_the_request_asks_for_a_pause_too) {
  stated_node node;
  node.arrive(1, "/unsafe/");
  const auto call = node.last<start_call>();
  node.answer(call.call, backoff_of(seconds(3)), dispatcher_driver::good_head(503));
  BOOST_TEST(node.last<respond>().status == 503U);
  const auto before = node.commands.size();
  for (base::caller_id client = 2; client < 30; ++client) {
    node.arrive(client, "/unsafe/");
  }
  BOOST_TEST(node.sent_to(call.target.replica, before) == 0U);
}

BOOST_AUTO_TEST_CASE(a_replica_that_names_a_limit_pauses_and_leaves_in_one_answer) {
  stated_node node;
  node.arrive(1, "/safe/");
  const auto call = node.last<start_call>();
  auto said = leaving();
  said.limit.per_second = 5;
  said.backoff.span = milliseconds(300);
  node.answer(call.call, said, dispatcher_driver::not_executed_head());
  const auto before = node.commands.size();
  for (base::caller_id client = 2; client < 60; ++client) {
    node.arrive(client, "/safe/");
    node.pass(milliseconds(50));
  }
  BOOST_TEST(node.sent_to(call.target.replica, before) == 0U);
}

BOOST_AUTO_TEST_CASE(what_cannot_be_read_changes_nothing_and_is_counted) {
  stated_node node;
  node.arrive(1, "/safe/");
  const auto call = node.last<start_call>();
  replica_statement said;
  said.leaving_unreadable = true;
  said.backoff.unreadable = true;
  node.answer(call.call, said, dispatcher_driver::good_head());
  BOOST_TEST(node.last<respond>().status == 200U);
  BOOST_TEST(node.subject.replica_self_reports().counts().leaving_unreadable == 1U);
  BOOST_TEST(node.subject.replica_self_reports().counts().backoff_unreadable == 1U);
  const auto before = node.commands.size();
  for (base::caller_id client = 2; client < 30; ++client) {
    node.arrive(client, "/safe/");
  }
  BOOST_TEST(node.sent_to(call.target.replica, before) > 0U);
}

BOOST_AUTO_TEST_CASE(what_an_earlier_life_said_is_passed_over) {
  stated_node node;
  node.world.add_incarnation("plain-a", "plain", "a", "10.2.0.1:80", 1000);
  node.world.remove_replica("plain-b");
  node.subject.update(node.world.content, node.now);
  node.arrive(1, "/safe/");
  const auto call = node.last<start_call>();
  node.pass(milliseconds(10));
  node.world.add_incarnation("plain-a", "plain", "a", "10.2.0.1:80", 2000);
  node.subject.update(node.world.content, node.now);
  auto said = leaving();
  said.backoff.span = seconds(60);
  node.deliver_self_report(call.call, said);
  node.pass(milliseconds(10));
  const auto before = node.commands.size();
  node.arrive(2, "/safe/");
  BOOST_TEST(node.sent_to(base::replica_id("plain-a"), before) == 1U);
}

// --- all replicas rest ---------------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(a_request_waits_for_a_pause_that_ends_in_its_time) {
  stated_node node;
  node.world.remove_replica("plain-b");
  node.subject.update(node.world.content, node.now);
  node.arrive(1, "/safe/");
  node.answer(node.last<start_call>().call, backoff_of(seconds(2)),
              dispatcher_driver::not_executed_head());
  const auto before = node.commands.size();
  node.arrive(2, "/safe/");
  node.pass(milliseconds(1'950));
  BOOST_TEST(node.sent_to(base::replica_id("plain-a"), before) == 0U);
  node.pass(milliseconds(100));
  BOOST_TEST(node.sent_to(base::replica_id("plain-a"), before) == 1U);
}

BOOST_AUTO_TEST_CASE(a_request_is_refused_at_once_where_no_pause_ends_in_its_time) {
  stated_node node;
  node.world.remove_replica("plain-b");
  node.subject.update(node.world.content, node.now);
  node.arrive(1, "/safe/");
  node.answer(node.last<start_call>().call, backoff_of(seconds(20)),
              dispatcher_driver::not_executed_head());
  const auto before = node.all<respond>().size();
  node.arrive(2, "/safe/");
  BOOST_REQUIRE(node.all<respond>().size() == before + 1);
  const auto refused = node.last<respond>();
  BOOST_TEST(refused.status == 503U);
  const auto named = std::find_if(refused.headers.begin(), refused.headers.end(),
                                  [](const header& field) { return field.name == "Retry-After"; });
  BOOST_REQUIRE((named != refused.headers.end()));
  // A third of the five seconds that the client waits, the most that it heeds.
  BOOST_TEST(std::stod(named->value) >= 1.0);
}

BOOST_AUTO_TEST_CASE(stages_are_not_begun_for_replicas_that_rest_beyond_the_time_of_a_request) {
  stated_node node;
  for (const std::string id : {"llm-a", "llm-b"}) {
    node.arrive(id == "llm-a" ? 1 : 2, "/fixed/");
    node.answer(node.last<start_call>().call, backoff_of(seconds(20)),
                dispatcher_driver::not_executed_head());
  }
  node.arrive(3, "/staged/", {3, 1});
  BOOST_TEST(node.last<respond>().status == 503U);
  BOOST_TEST(node.all<start_stage_call>().empty());
}

BOOST_AUTO_TEST_CASE(at_the_end_of_a_pause_the_urgent_come_first_and_not_all_at_once) {
  stated_node node;
  node.world.add_route("/urgent/", wire::ROUTE_SAFE, "plain").set_priority(0);
  node.world.add_route("/usual/", wire::ROUTE_SAFE, "plain").set_priority(5);
  node.world.publish_configuration();
  node.world.remove_replica("plain-b");
  node.subject.update(node.world.content, node.now);
  node.arrive(1, "/usual/");
  node.answer(node.last<start_call>().call, backoff_of(seconds(1)),
              dispatcher_driver::not_executed_head());
  node.pass(milliseconds(500));
  for (base::caller_id client = 10; client < 20; ++client) {
    node.arrive(client, "/usual/");
  }
  node.arrive(20, "/urgent/");
  std::size_t seen = node.all<start_call>().size();
  node.pass(milliseconds(540));
  auto calls = node.all<start_call>();
  BOOST_REQUIRE(calls.size() == seen + 1);
  BOOST_TEST(calls.back().content->id.text() == "r20");
  // One that comes now goes behind those who wait.
  node.arrive(30, "/usual/");
  node.answer(calls.back().call, {}, dispatcher_driver::good_head());
  node.pass(milliseconds(30));
  calls = node.all<start_call>();
  BOOST_TEST(calls.size() <= seen + 4);
  BOOST_TEST(calls.back().content->id.text() != "r30");
}

BOOST_AUTO_TEST_SUITE_END()
