/// Whole answers that lack memory: large ones, and several that hold memory and wait for more.
#include "flow/answer_memory_reservation.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace spurrack::flow;

namespace {

constexpr std::size_t capacity = 1'000;

struct answer_fixture {
  std::shared_ptr<byte_budget> budget = std::make_shared<byte_budget>(capacity);
  std::shared_ptr<answer_memory_queue> queue = std::make_shared<answer_memory_queue>(budget);

  /// @return an answer of a replica that sends no other answers.
  [[nodiscard]] std::unique_ptr<answer_memory_reservation> begin() {
    return begin_at("r" + std::to_string(++replicas));
  }
  [[nodiscard]] std::unique_ptr<answer_memory_reservation>
  begin_at(const std::string& replica) const {
    return std::make_unique<answer_memory_reservation>(queue, replica);
  }
  static bool is_granted(answer_memory_reservation& answer, std::size_t bytes) {
    return answer.grow(bytes) == memory_request_result::granted;
  }

  int replicas = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(answer_memory_reservation_test, answer_fixture)

BOOST_AUTO_TEST_CASE(a_single_answer_may_exceed_the_limit_of_whole_answers) {
  const auto answer = begin();
  BOOST_TEST(is_granted(*answer, 800));
}

BOOST_AUTO_TEST_CASE(a_single_growing_answer_may_exceed_the_limit_of_whole_answers) {
  const auto answer = begin();
  for (int step = 0; step < 8; ++step) {
    BOOST_TEST(is_granted(*answer, 100));
  }
  BOOST_TEST(answer->bytes() == 800U);
}

BOOST_AUTO_TEST_CASE(a_large_answer_waits_for_a_small_one_and_leaves_a_tenth_of_memory_to_events) {
  auto small = begin();
  BOOST_TEST(is_granted(*small, 200));
  const auto large = begin();
  BOOST_CHECK(large->grow(800) == memory_request_result::wait);
  small.reset();
  BOOST_TEST(is_granted(*large, 800));
  const auto next = begin();
  BOOST_CHECK(next->grow(1) == memory_request_result::wait);
  byte_reservation event(budget, byte_holder::unwritten_streams);
  BOOST_TEST(event.grow(byte_use::stream_event, 100));
}

BOOST_AUTO_TEST_CASE(small_answers_stay_within_their_limit) {
  const auto first = begin();
  BOOST_TEST(is_granted(*first, 500));
  const auto second = begin();
  BOOST_CHECK(second->grow(100) == memory_request_result::wait);
  // There is no deadlock: the answer `first` is not waiting and can complete.
  BOOST_CHECK(second->grow(100) == memory_request_result::wait);
}

BOOST_AUTO_TEST_CASE(if_all_answers_wait_the_first_may_exceed_the_limit_of_whole_answers) {
  const auto first = begin();
  const auto second = begin();
  BOOST_TEST(is_granted(*first, 270));
  BOOST_TEST(is_granted(*second, 270));
  BOOST_CHECK(first->grow(200) == memory_request_result::wait);
  BOOST_CHECK(second->grow(200) == memory_request_result::wait);
  BOOST_TEST(is_granted(*first, 200));
  // The answer `first` can complete now; the answer `second` waits and keeps its memory.
  BOOST_CHECK(second->grow(200) == memory_request_result::wait);
  BOOST_TEST(second->bytes() == 270U);
}

BOOST_AUTO_TEST_CASE(if_the_first_waiting_answer_cannot_get_enough_memory_the_last_one_is_aborted) {
  const auto first = begin();
  auto second = begin();
  auto third = begin();
  for (auto* waiting : {first.get(), second.get(), third.get()}) {
    BOOST_TEST(is_granted(*waiting, 180));
  }
  for (auto* waiting : {first.get(), second.get(), third.get()}) {
    BOOST_CHECK(waiting->grow(400) == memory_request_result::wait);
  }
  BOOST_CHECK(first->grow(400) == memory_request_result::wait);
  BOOST_CHECK(second->grow(400) == memory_request_result::wait);
  BOOST_CHECK(third->grow(400) == memory_request_result::abort_answer);
  third.reset();
  BOOST_TEST(is_granted(*first, 400));
}

BOOST_AUTO_TEST_CASE(no_answer_is_aborted_if_streams_hold_the_memory) {
  const auto first = begin();
  const auto second = begin();
  BOOST_TEST(is_granted(*first, 20));
  BOOST_TEST(is_granted(*second, 20));
  byte_reservation streams(budget, byte_holder::unwritten_streams);
  BOOST_TEST(streams.grow(byte_use::stream_event, 800));
  for (int turn = 0; turn < 3; ++turn) {
    BOOST_CHECK(first->grow(200) == memory_request_result::wait);
    BOOST_CHECK(second->grow(200) == memory_request_result::wait);
  }
  streams.shrink(400);
  BOOST_TEST(is_granted(*first, 200));
}

BOOST_AUTO_TEST_CASE(any_number_of_growing_answers_complete_or_are_aborted) {
  constexpr std::size_t full_size = 700;
  constexpr std::size_t answers = 20;
  std::vector<std::unique_ptr<answer_memory_reservation>> active;
  active.reserve(answers);
  for (std::size_t number = 0; number < answers; ++number) {
    active.push_back(begin());
  }
  std::size_t completed = 0;
  std::size_t aborted = 0;
  for (int turn = 0; turn < 1'000 && !active.empty(); ++turn) {
    for (auto& answer : active) {
      const auto verdict = answer->grow(10);
      completed += answer->bytes() >= full_size ? 1 : 0;
      aborted += verdict == memory_request_result::abort_answer ? 1 : 0;
      if (verdict == memory_request_result::abort_answer || answer->bytes() >= full_size) {
        answer.reset();
      }
    }
    std::erase(active, nullptr);
  }
  BOOST_TEST(active.empty());
  BOOST_TEST(completed + aborted == answers);
  // At least one answer completes: neither the first answer in the queue nor an answer without
  // memory is ever aborted.
  BOOST_TEST(completed >= 1U);
  BOOST_TEST(budget->held() == 0U);
}

/// Guards against one replica whose answers do not end: they held all memory of answers, and the
/// requests of all other clients were refused.
BOOST_AUTO_TEST_CASE(answers_of_one_replica_leave_memory_to_others) {
  const auto share = queue->replica_share_bytes();
  std::vector<std::unique_ptr<answer_memory_reservation>> endless;
  std::size_t aborted = 0;
  constexpr std::size_t calls = 60;
  endless.reserve(calls);
  while (endless.size() < calls) {
    endless.push_back(begin_at("faulty"));
  }
  for (int step = 0; step < 100; ++step) {
    for (auto& answer : endless) {
      if (!answer) {
        continue;
      }
      if (answer->bytes() >= queue->max_undeclared_bytes()) {
        answer.reset();
        continue;
      }
      if (answer->grow(10) == memory_request_result::abort_answer) {
        answer.reset();
        ++aborted;
      }
    }
    BOOST_TEST(budget->held() <= share + queue->max_undeclared_bytes());
  }
  BOOST_TEST(aborted > 0U);
  const auto sound = begin_at("sound");
  BOOST_TEST(is_granted(*sound, 200));
  byte_reservation body(budget, byte_holder::kept_bodies);
  BOOST_TEST(body.grow(byte_use::small_body, 50));
}

BOOST_AUTO_TEST_CASE(an_answer_that_holds_nothing_waits_for_the_share_of_its_replica) {
  auto first = begin_at("r");
  BOOST_TEST(is_granted(*first, 120));
  const auto second = begin_at("r");
  BOOST_CHECK(second->grow(50) == memory_request_result::wait);
  first->end_receipt();
  BOOST_TEST(is_granted(*second, 50));
}

BOOST_AUTO_TEST_CASE(the_oldest_answer_of_a_replica_may_exceed_its_share) {
  const auto first = begin_at("r");
  BOOST_TEST(is_granted(*first, 100));
  const auto second = begin_at("r");
  BOOST_TEST(is_granted(*second, 20));
  BOOST_TEST(is_granted(*first, 300));
  BOOST_CHECK(second->grow(20) == memory_request_result::abort_answer);
}

BOOST_AUTO_TEST_SUITE_END()
