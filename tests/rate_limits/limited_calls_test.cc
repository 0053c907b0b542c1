/// Every kind of call counts against what a replica names: first sends, repeats, calls with pieces
/// of stages, and results that are freed.
#include "serving_fixture.h"

using namespace spurrack;
using namespace spurrack::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// One node before one limited replica of each service; it issues its own permits.
struct limited_node : dispatcher_driver {
  limited_node() {
    for (const std::string id : {"plain-b", "pool-b", "llm-b"}) {
      world.remove_replica(id);
    }
    subject.update(world.content, now);
  }

  static replica_statement limited(double per_second) {
    replica_statement said;
    said.limit.per_second = per_second;
    return said;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(limited_calls_test)

BOOST_AUTO_TEST_CASE(a_request_waits_for_its_place_at_the_only_replica) {
  limited_node node;
  node.arrive(1, "/safe/");
  node.answer(node.last<start_call>().call, limited_node::limited(1),
              dispatcher_driver::good_head());
  const auto before = node.commands.size();
  node.arrive(2, "/safe/");
  BOOST_TEST(node.called_since(before).size() == 0U);
  // A second without permits when an issuer begins, then one a second.
  node.pass(milliseconds(2500));
  BOOST_TEST(node.called_since(before).size() == 1U);
}

BOOST_AUTO_TEST_CASE(repeats_count_as_first_sends_do) {
  limited_node node;
  node.world.add_replica("plain-c", "plain", "a");
  node.subject.update(node.world.content, node.now);
  constexpr double limit = 1;
  for (const base::caller_id client : {1, 2, 3, 4}) {
    node.arrive(client, "/safe/");
    node.answer(node.last<start_call>().call, limited_node::limited(limit),
                dispatcher_driver::good_head());
  }
  BOOST_REQUIRE(node.subject.limits().limited() == 2U);
  const auto before = node.commands.size();
  std::size_t failed = node.all<start_call>().size();
  for (base::caller_id client = 10; client < 70; ++client) {
    node.arrive(client, "/safe/");
    for (int step = 0; step < 25; ++step) {
      node.pass(milliseconds(20));
      const auto calls = node.all<start_call>();
      for (; failed < calls.size(); ++failed) {
        node.happen(call_failed{calls[failed].call, call_fate::may_have_run});
      }
    }
  }
  const auto sent = node.called_since(before).size();
  BOOST_TEST(static_cast<double>(sent) <= 2 * (30 * limit + 5), sent << " sends in 30 s");
  BOOST_TEST(node.subject.counts().repeats > 0U);
}

BOOST_AUTO_TEST_CASE(calls_with_pieces_and_freed_results_keep_the_limit) {
  limited_node node;
  node.time_allowed = seconds(60);
  constexpr double limit = 2;
  std::size_t answered = 0;
  const auto begun = node.now;
  for (base::caller_id client = 1; node.now - begun < seconds(30); ++client) {
    node.arrive(client, "/staged/", {3, 1});
    node.pass(milliseconds(1000));
    // The pool answers what it has; each result is one more to be freed.
    const auto calls = node.all<start_stage_call>();
    for (; answered < calls.size(); ++answered) {
      node.deliver_self_report(calls[answered].call, limited_node::limited(limit));
      stage_call_ended ended{calls[answered].call, stage_call_ended::result::answered, {}};
      for (std::size_t piece = 0; piece < calls[answered].items.size(); ++piece) {
        ended.pieces.push_back({piece_fault::none, calls[answered].target.address.text() + "/" +
                                                       std::to_string(answered) + "." +
                                                       std::to_string(piece)});
      }
      node.happen(ended);
    }
    for (const auto& call : node.all<start_call>()) {
      node.happen(stream_opened{call.call, dispatcher_driver::good_head()});
      node.happen(stream_bytes{call.call, "id: 1\ndata: x\n\n"});
      node.happen(stream_closed{call.call, true});
    }
  }
  const auto reached = node.all<start_stage_call>().size() + node.all<free_results>().size();
  BOOST_TEST(node.all<free_results>().size() > 0U);
  BOOST_TEST(static_cast<double>(reached) <= 30 * limit + 5, reached << " calls in 30 s");
  BOOST_TEST(static_cast<double>(reached) >= 30 * limit * 0.5, reached << " calls in 30 s");
}

BOOST_AUTO_TEST_CASE(the_urgent_take_a_place_first_then_those_that_end_first) {
  limited_node node;
  node.world.add_route("/urgent/", wire::ROUTE_SAFE, "plain").set_priority(0);
  node.world.add_route("/usual/", wire::ROUTE_SAFE, "plain").set_priority(5);
  node.world.publish_configuration();
  node.subject.update(node.world.content, node.now);
  node.arrive(1, "/safe/");
  node.answer(node.last<start_call>().call, limited_node::limited(2),
              dispatcher_driver::good_head());
  node.arrive(2, "/usual/");
  node.time_allowed = seconds(4);
  node.arrive(3, "/usual/");
  node.arrive(4, "/urgent/");
  std::vector<std::string> order;
  std::size_t seen = node.all<start_call>().size();
  for (int step = 0; step < 150; ++step) {
    node.pass(milliseconds(20));
    const auto calls = node.all<start_call>();
    for (; seen < calls.size(); ++seen) {
      order.push_back(calls[seen].content->id.text());
      node.answer(calls[seen].call, limited_node::limited(2), dispatcher_driver::good_head());
    }
  }
  const std::vector<std::string> expected{"r4", "r3", "r2"};
  BOOST_TEST(order == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(stages_are_not_begun_for_a_replica_that_takes_nothing) {
  limited_node node;
  node.arrive(1, "/stream/");
  node.deliver_self_report(node.last<start_call>().call, limited_node::limited(0));
  node.happen(stream_opened{node.last<start_call>().call, dispatcher_driver::good_head()});
  node.arrive(2, "/staged/", {3, 1});
  BOOST_TEST(node.last<respond>().status == 503U);
  BOOST_TEST(node.all<start_stage_call>().empty());
}

BOOST_AUTO_TEST_CASE(few_stages_are_made_for_requests_that_find_no_place_afterwards) {
  limited_node node;
  node.arrive(1, "/stream/");
  node.deliver_self_report(node.last<start_call>().call, limited_node::limited(1));
  node.happen(stream_opened{node.last<start_call>().call, dispatcher_driver::good_head()});
  node.happen(stream_closed{node.last<start_call>().call, true});
  std::size_t pieces = 0;
  std::size_t answered = 0;
  std::size_t streams = node.all<start_call>().size();
  for (base::caller_id client = 10; client < 110; ++client) {
    node.arrive(client, "/staged/", {1, 1});
    for (int step = 0; step < 5; ++step) {
      node.pass(milliseconds(50));
      const auto calls = node.all<start_stage_call>();
      for (; answered < calls.size(); ++answered) {
        node.deliver_self_report(calls[answered].call, {});
        stage_call_ended ended{calls[answered].call, stage_call_ended::result::answered, {}};
        for (std::size_t piece = 0; piece < calls[answered].items.size(); ++piece) {
          ended.pieces.push_back({piece_fault::none, calls[answered].target.address.text() + "/" +
                                                         std::to_string(++pieces)});
        }
        node.happen(ended);
      }
      const auto sent = node.all<start_call>();
      for (; streams < sent.size(); ++streams) {
        node.deliver_self_report(sent[streams].call, limited_node::limited(1));
        node.happen(stream_opened{sent[streams].call, dispatcher_driver::good_head()});
        node.happen(stream_bytes{sent[streams].call, "id: 1\ndata: x\n\n"});
        node.happen(stream_closed{sent[streams].call, true});
      }
    }
  }
  // Two pieces for each request that is begun; 100 come in 25 s, one a second finds a place.
  BOOST_TEST_MESSAGE(pieces << " pieces for " << streams << " sent");
  BOOST_TEST(streams >= 20U, streams << " sent");
  BOOST_TEST(pieces <= 2 * (streams + 10), pieces << " pieces for " << streams << " sent");
}

BOOST_AUTO_TEST_CASE(an_unreadable_limit_leaves_the_one_before) {
  limited_node node;
  node.arrive(1, "/safe/");
  node.answer(node.last<start_call>().call, limited_node::limited(1),
              dispatcher_driver::good_head());
  node.arrive(2, "/safe/");
  node.pass(milliseconds(2500));
  replica_statement said;
  said.limit.unreadable = true;
  node.answer(node.last<start_call>().call, said, dispatcher_driver::good_head());
  BOOST_TEST(node.subject.limits().limited() == 1U);
  BOOST_TEST(node.subject.replica_self_reports().counts().unreadable == 1U);
  BOOST_TEST(node.last<respond>().status == 200U);
}

BOOST_AUTO_TEST_CASE(a_refusal_of_the_replica_names_its_limit_too) {
  limited_node node;
  node.arrive(1, "/unsafe/");
  node.answer(node.last<start_call>().call, limited_node::limited(3),
              dispatcher_driver::not_executed_head());
  BOOST_TEST(node.subject.limits().limited() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
