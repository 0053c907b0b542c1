/// A client disconnects before, during or after each step of its request: no further calls are sent
/// for the request, active calls are cancelled and results are freed.
#include "exchange_fleet.h"
#include "serving_fixture.h"

using namespace spurrack;
using namespace spurrack::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct disconnect_driver : dispatcher_driver {
  disconnect_driver() { time_allowed = seconds(20); }

  void answer_pieces(const start_stage_call& call) {
    stage_call_ended call_ended{call.call, stage_call_ended::result::answered, {}};
    for (std::size_t index = 0; index < call.items.size(); ++index) {
      call_ended.pieces.push_back({piece_fault::none, call.target.address.text() + "/h" +
                                                          std::to_string(call.call) + "-" +
                                                          std::to_string(index)});
    }
    deliver(call_ended);
  }

  /// Sends a request with one piece per stage and completes its first `stages` stages.
  void send_and_complete_stages(std::size_t stages) {
    send_request(1, "/staged/x", {1, 1});
    for (std::size_t stage = 0; stage < stages; ++stage) {
      advance_time(milliseconds(50));
      answer_pieces(last<start_stage_call>());
    }
    advance_time(milliseconds(50));
  }

  /// Disconnects the client and counts the calls sent so far.
  void disconnect() {
    deliver(client_disconnected{1});
    calls_before_ = all<start_call>().size();
    stage_calls_before_ = all<start_stage_call>().size();
  }

  void check_nothing_sent_since_disconnect() {
    advance_time(seconds(3));
    BOOST_TEST(all<start_call>().size() == calls_before_);
    BOOST_TEST(all<start_stage_call>().size() == stage_calls_before_);
    BOOST_TEST(all<respond>().empty());
    BOOST_TEST(subject.active_requests() == 0U);
  }

  std::size_t freed_results() const {
    std::size_t handles = 0;
    for (const auto& command : all<free_results>()) {
      handles += command.handles.size();
    }
    return handles;
  }

 private:
  std::size_t calls_before_ = 0;
  std::size_t stage_calls_before_ = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(client_leaves_test, disconnect_driver)

BOOST_AUTO_TEST_CASE(disconnect_before_first_stage_call_sends_nothing) {
  send_request(1, "/staged/x", {1, 1});
  BOOST_TEST(all<start_stage_call>().empty());
  disconnect();
  check_nothing_sent_since_disconnect();
}

BOOST_AUTO_TEST_CASE(disconnect_during_stage_call_frees_result_on_arrival) {
  send_and_complete_stages(0);
  const auto call = last<start_stage_call>();
  disconnect();
  answer_pieces(call);
  advance_time(milliseconds(50));
  check_nothing_sent_since_disconnect();
  BOOST_TEST(freed_results() == 1U);
}

BOOST_AUTO_TEST_CASE(disconnect_during_second_stage_frees_results_of_both_stages) {
  send_and_complete_stages(1);
  const auto second = last<start_stage_call>();
  disconnect();
  answer_pieces(second);
  advance_time(milliseconds(50));
  check_nothing_sent_since_disconnect();
  BOOST_TEST(freed_results() == 2U);
}

BOOST_AUTO_TEST_CASE(disconnect_before_first_event_cancels_call) {
  send_and_complete_stages(2);
  BOOST_TEST(all<start_call>().size() == 1U);
  disconnect();
  BOOST_TEST(last<cancel_call>().call == last<start_call>().call);
  check_nothing_sent_since_disconnect();
}

BOOST_AUTO_TEST_CASE(disconnect_during_stream_cancels_call) {
  send_and_complete_stages(2);
  const auto call = last<start_call>();
  deliver(stream_opened{call.call, good_head()});
  deliver(stream_bytes{call.call, "id: 1\ndata: x\n\n"});
  disconnect();
  BOOST_TEST(last<cancel_call>().call == call.call);
  // Later bytes of the cancelled call are dropped.
  deliver(stream_bytes{call.call, "id: 2\ndata: x\n\n"});
  deliver(stream_closed{call.call, false});
  check_nothing_sent_since_disconnect();
  BOOST_TEST(all<stream_data>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(disconnect_while_stream_resumes_cancels_new_call) {
  send_request(1, "/stream/x");
  const auto first = last<start_call>();
  deliver(stream_opened{first.call, good_head()});
  deliver(stream_bytes{first.call, "id: 1\ndata: x\n\n"});
  deliver(stream_closed{first.call, false});
  BOOST_TEST(all<start_call>().size() == 2U);
  disconnect();
  BOOST_TEST(last<cancel_call>().call == last<start_call>().call);
  check_nothing_sent_since_disconnect();
}

BOOST_AUTO_TEST_CASE(disconnect_during_stalled_call_sends_no_retry) {
  published.add_replica("llm-b", "llm", "b", true);
  subject.update(published.content, now);
  send_request(1, "/stream/x");
  advance_time(milliseconds(1500));
  disconnect();
  published.add_replica("llm-b", "llm", "b");
  subject.update(published.content, now);
  advance_time(seconds(1));
  check_nothing_sent_since_disconnect();
}

BOOST_AUTO_TEST_CASE(piece_cancelled_while_it_waits_at_another_node_is_not_called) {
  exchange_fleet fleet(3);
  // One piece runs at the zone's replica, and the next piece waits at the batcher.
  fleet.submit(*fleet.nodes[0]);
  fleet.run(milliseconds(100));
  auto* batcher_node = fleet.caller();
  BOOST_REQUIRE(batcher_node != nullptr);
  auto& origin = fleet.other_than(*batcher_node);
  const auto total_calls = [&] {
    std::size_t calls = 0;
    for (const auto& node : fleet.nodes) {
      calls += node->calls.size();
    }
    return calls;
  };
  const auto before = total_calls();
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
  BOOST_TEST(total_calls() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
