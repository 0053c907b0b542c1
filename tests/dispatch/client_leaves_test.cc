/// A client leaves before, during and after each step of its request: nothing is sent for it from
/// then on, what runs is given up, what was made is freed.
#include "exchange_fleet.h"
#include "serving_fixture.h"

using namespace spurrack;
using namespace spurrack::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct leaving_client : dispatcher_driver {
  leaving_client() { time_allowed = seconds(20); }

  void answer_pieces(const start_stage_call& call) {
    stage_call_ended ended{call.call, stage_call_ended::result::answered, {}};
    for (std::size_t index = 0; index < call.items.size(); ++index) {
      ended.pieces.push_back({piece_fault::none, call.target.address.text() + "/h" +
                                                     std::to_string(call.call) + "-" +
                                                     std::to_string(index)});
    }
    happen(ended);
  }

  /// Takes a staged request with one piece a stage through its first `stages` stages.
  void arrive_staged(std::size_t stages) {
    arrive(1, "/staged/x", {1, 1});
    for (std::size_t stage = 0; stage < stages; ++stage) {
      pass(milliseconds(50));
      answer_pieces(last<start_stage_call>());
    }
    pass(milliseconds(50));
  }

  /// The client leaves; whatever is sent later would be for nobody.
  void leave() {
    happen(client_disconnected{1});
    calls_before_ = all<start_call>().size();
    stage_calls_before_ = all<start_stage_call>().size();
  }

  void check_nothing_was_sent_after() {
    pass(seconds(3));
    BOOST_TEST(all<start_call>().size() == calls_before_);
    BOOST_TEST(all<start_stage_call>().size() == stage_calls_before_);
    BOOST_TEST(all<respond>().empty());
    BOOST_TEST(subject.active() == 0U);
  }

  std::size_t freed() const {
    std::size_t handles = 0;
    for (const auto& wanted : all<free_results>()) {
      handles += wanted.handles.size();
    }
    return handles;
  }

 private:
  std::size_t calls_before_ = 0;
  std::size_t stage_calls_before_ = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(client_leaves_test, leaving_client)

BOOST_AUTO_TEST_CASE(before_the_first_stage_call) {
  arrive(1, "/staged/x", {1, 1});
  BOOST_TEST(all<start_stage_call>().empty());
  leave();
  check_nothing_was_sent_after();
}

BOOST_AUTO_TEST_CASE(during_a_stage_call_whose_result_is_freed_when_it_comes) {
  arrive_staged(0);
  const auto call = last<start_stage_call>();
  leave();
  answer_pieces(call);
  pass(milliseconds(50));
  check_nothing_was_sent_after();
  BOOST_TEST(freed() == 1U);
}

BOOST_AUTO_TEST_CASE(between_two_stages) {
  arrive_staged(1);
  const auto second = last<start_stage_call>();
  leave();
  answer_pieces(second);
  pass(milliseconds(50));
  check_nothing_was_sent_after();
  BOOST_TEST(freed() == 2U);
}

BOOST_AUTO_TEST_CASE(after_the_stages_while_the_engine_has_not_begun) {
  arrive_staged(2);
  BOOST_TEST(all<start_call>().size() == 1U);
  leave();
  BOOST_TEST(last<cancel_call>().call == last<start_call>().call);
  check_nothing_was_sent_after();
}

BOOST_AUTO_TEST_CASE(in_the_middle_of_its_stream) {
  arrive_staged(2);
  const auto call = last<start_call>();
  happen(stream_opened{call.call, good_head()});
  happen(stream_bytes{call.call, "id: 1\ndata: x\n\n"});
  leave();
  BOOST_TEST(last<cancel_call>().call == call.call);
  // What still comes is dropped.
  happen(stream_bytes{call.call, "id: 2\ndata: x\n\n"});
  happen(stream_closed{call.call, false});
  check_nothing_was_sent_after();
  BOOST_TEST(all<stream_data>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(while_its_stream_is_taken_up_at_another_replica) {
  arrive(1, "/stream/x");
  const auto first = last<start_call>();
  happen(stream_opened{first.call, good_head()});
  happen(stream_bytes{first.call, "id: 1\ndata: x\n\n"});
  happen(stream_closed{first.call, false});
  BOOST_TEST(all<start_call>().size() == 2U);
  leave();
  BOOST_TEST(last<cancel_call>().call == last<start_call>().call);
  check_nothing_was_sent_after();
}

BOOST_AUTO_TEST_CASE(while_its_call_stalls_and_no_other_replica_is_left) {
  world.add_replica("llm-b", "llm", "b", true);
  subject.update(world.content, now);
  arrive(1, "/stream/x");
  pass(milliseconds(1500));
  leave();
  world.add_replica("llm-b", "llm", "b");
  subject.update(world.content, now);
  pass(seconds(1));
  check_nothing_was_sent_after();
}

BOOST_AUTO_TEST_CASE(pieces_that_wait_at_another_node_are_dropped_there) {
  exchange_fleet fleet(3);
  // One piece is under way at the zone's replica, and the next waits at the gatherer.
  fleet.submit(*fleet.nodes[0]);
  fleet.run(milliseconds(100));
  auto* batcher = fleet.caller();
  BOOST_REQUIRE(batcher != nullptr);
  auto& origin = fleet.other_than(*batcher);
  const auto calls_of = [&] {
    std::size_t calls = 0;
    for (const auto& node : fleet.nodes) {
      calls += node->calls.size();
    }
    return calls;
  };
  const auto before = calls_of();
  BOOST_TEST(before == 1U);
  const auto ticket = fleet.submit(origin);
  fleet.run(milliseconds(100));
  origin.subject.cancel(ticket);
  fleet.run(milliseconds(100));
  for (auto& node : fleet.nodes) {
    while (!node->calls.empty()) {
      fleet.answer(*node);
      node->calls.pop_back();
    }
  }
  fleet.run(seconds(3));
  BOOST_TEST(calls_of() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
