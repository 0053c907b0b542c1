/// A machine that is suspended: the steady clock, by which the event loop's timers go, stands,
/// while the boot clock, by which all decisions go, counts on. So no timer fires when the machine
/// wakes; whatever waits in a socket comes first, and is judged by a clock that has moved on.
#include "driven_node.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace spurrack;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr base::duration suspended_for = seconds(30);

/// A node that has two requests under way.
struct suspended_node : driven_node {
  suspended_node() {
    pass(seconds(2));
    arrive(1, "/stream/", now, seconds(20));
    arrive(2, "/safe/", now, seconds(200));
    BOOST_REQUIRE(calls().size() == 2U);
  }

  static serving::answer_head good_head() { return serving::dispatcher_driver::good_head(); }

  /// The machine sleeps; only the boot clock goes on.
  void suspend() {
    now += suspended_for;
    commands.clear();
  }

  [[nodiscard]] std::vector<serving::start_call> calls() const {
    return all<serving::start_call>();
  }

  /// @return whether the pause stands in the time line before anything else that came with or
  ///         after the first event.
  [[nodiscard]] bool noted_pause_first(std::size_t events_before) const {
    const auto& entries = subject.events().entries();
    return entries.size() > events_before &&
           entries[events_before].kind == base::event_kind::node_resumed_after_pause;
  }

  [[nodiscard]] std::size_t asked_for_news() const {
    std::size_t asked = 0;
    for (const auto& command : commands) {
      const auto* message = std::get_if<wire::outgoing>(&command);
      asked += message != nullptr && message->message.crash_news().wants_all() ? 1 : 0;
    }
    return asked;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(suspension, suspended_node)

BOOST_AUTO_TEST_CASE(a_request_that_comes_first_is_handled_after_the_pause_is_noted) {
  suspend();
  const auto before = subject.events().entries().size();
  arrive(3, "/safe/", now, seconds(5));
  BOOST_TEST(noted_pause_first(before));
}

BOOST_AUTO_TEST_CASE(a_request_that_slept_along_in_its_socket_is_not_run_late) {
  const auto arrived_at = now;
  suspend();
  arrive(3, "/safe/", arrived_at, seconds(5));
  BOOST_TEST(calls().empty());
  const auto answers = all<serving::respond>();
  BOOST_TEST(std::any_of(answers.begin(), answers.end(),
                         [](const auto& answer) { return answer.client == 3U; }));
}

BOOST_AUTO_TEST_CASE(the_silence_of_replicas_in_the_sleep_is_not_held_against_them) {
  suspend();
  happen(node::time_passed{});
  // The call of the request that is still in time goes on where it is.
  BOOST_TEST(calls().empty());
  for (const auto& [id, state] : subject.serving()->replicas().all()) {
    BOOST_TEST((state.silent_at == base::time_point{}));
  }
  happen(serving::event(serving::call_answered{2, good_head(), "body"}));
  const auto answers = all<serving::respond>();
  BOOST_TEST(std::any_of(answers.begin(), answers.end(), [](const auto& answer) {
    return answer.client == 2U && answer.status == 200U;
  }));
}

BOOST_AUTO_TEST_CASE(bytes_of_a_stream_that_come_first_are_handled_after_the_pause_is_noted) {
  suspend();
  const auto before = subject.events().entries().size();
  happen(serving::event(serving::stream_bytes{1, "id: 1\ndata: x\n\n"}));
  BOOST_TEST(noted_pause_first(before));
}

BOOST_AUTO_TEST_CASE(a_request_whose_time_was_over_in_the_sleep_ends_with_the_first_event) {
  suspend();
  happen(node::time_passed{});
  const auto answers = all<serving::respond>();
  BOOST_TEST(std::any_of(answers.begin(), answers.end(),
                         [](const auto& answer) { return answer.client == 1U; }));
  BOOST_TEST(std::none_of(answers.begin(), answers.end(),
                          [](const auto& answer) { return answer.client == 2U; }));
}

BOOST_AUTO_TEST_CASE(a_message_of_a_peer_that_comes_first_is_handled_after_the_pause_is_noted) {
  suspend();
  const auto before = subject.events().entries().size();
  node::peer_message message;
  message.message.set_sender("other");
  message.message.set_sender_zone("a");
  message.message.set_sender_address("other:1");
  auto& evidence = *message.message.mutable_replica_news()->add_evidence();
  evidence.set_replica("plain-a");
  evidence.set_sign(wire::SIGN_SILENT);
  evidence.set_calls(1);
  happen(message);
  BOOST_TEST(noted_pause_first(before));
}

BOOST_AUTO_TEST_CASE(a_loss_of_a_call_in_the_sleep_is_laid_to_no_request_without_proof) {
  suspend();
  happen(serving::event(serving::call_failed{2, serving::call_failure::may_have_run}));
  BOOST_TEST(subject.serving()->crashes().empty());
  happen(serving::event(
      serving::replica_probed{base::replica_id("plain-a"), serving::probe_result::connected}));
  happen(serving::event(
      serving::replica_probed{base::replica_id("plain-b"), serving::probe_result::connected}));
  BOOST_TEST(subject.serving()->crashes().empty());
}

BOOST_AUTO_TEST_CASE(what_others_learned_of_requests_meanwhile_is_asked_for) {
  node::peer_message message;
  message.message.set_sender("other");
  message.message.set_sender_zone("a");
  message.message.set_sender_address("other:1");
  message.message.set_sender_incarnation(7);
  message.message.mutable_ping()->set_sequence(1);
  happen(message);
  pass(seconds(2));
  suspend();
  happen(message);
  pass(milliseconds(100));
  BOOST_TEST(asked_for_news() > 0U);
}

BOOST_AUTO_TEST_CASE(a_timer_that_stood_is_late_by_no_more_than_the_periodic_work_after_waking) {
  // The event loop sleeps at most until the next wake-up, so what is due fires that soon after the
  // steady clock goes on, however long the machine slept.
  for (int step = 0; step < 100; ++step) {
    now += milliseconds(7);
    happen(node::time_passed{});
    BOOST_TEST((subject.next_wakeup() - now <= milliseconds(100)));
  }
}

BOOST_AUTO_TEST_SUITE_END()
