/// Whole answers that find no memory: large ones, and several that hold what the others need.
#include "flow/answer_memory.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <vector>

using namespace spurrack::flow;

namespace {

constexpr std::size_t capacity = 1'000;

struct gathering {
  std::shared_ptr<byte_budget> budget = std::make_shared<byte_budget>(capacity);
  std::shared_ptr<answer_queue> queue = std::make_shared<answer_queue>(budget);

  [[nodiscard]] std::unique_ptr<answer_memory> begin() const {
    return std::make_unique<answer_memory>(queue);
  }
  static bool is_granted(answer_memory& answer, std::size_t bytes) {
    return answer.grow(bytes) == memory_verdict::granted;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(answer_memory_test, gathering)

BOOST_AUTO_TEST_CASE(an_answer_larger_than_its_part_fits_by_itself) {
  const auto announced = begin();
  BOOST_TEST(is_granted(*announced, 800));
}

BOOST_AUTO_TEST_CASE(an_answer_that_grows_beyond_its_part_fits_by_itself) {
  const auto answer = begin();
  for (int step = 0; step < 8; ++step) {
    BOOST_TEST(is_granted(*answer, 100));
  }
  BOOST_TEST(answer->bytes() == 800U);
}

BOOST_AUTO_TEST_CASE(a_large_answer_waits_while_others_are_read_and_leaves_the_last_reserve) {
  auto read_now = begin();
  BOOST_TEST(is_granted(*read_now, 200));
  const auto large = begin();
  BOOST_CHECK(large->grow(800) == memory_verdict::wait);
  read_now.reset();
  BOOST_TEST(is_granted(*large, 800));
  const auto next = begin();
  BOOST_CHECK(next->grow(1) == memory_verdict::wait);
  byte_reservation event(budget, byte_holder::unwritten_streams);
  BOOST_TEST(event.grow(byte_use::stream_event, 100));
}

BOOST_AUTO_TEST_CASE(small_answers_keep_to_their_part) {
  const auto first = begin();
  BOOST_TEST(is_granted(*first, 500));
  const auto second = begin();
  BOOST_CHECK(second->grow(100) == memory_verdict::wait);
  // The first can end by itself, so nothing is stuck.
  BOOST_CHECK(second->grow(100) == memory_verdict::wait);
}

BOOST_AUTO_TEST_CASE(of_answers_that_wait_for_one_another_the_first_gets_the_reserve) {
  const auto first = begin();
  const auto second = begin();
  BOOST_TEST(is_granted(*first, 270));
  BOOST_TEST(is_granted(*second, 270));
  BOOST_CHECK(first->grow(200) == memory_verdict::wait);
  BOOST_CHECK(second->grow(200) == memory_verdict::wait);
  BOOST_TEST(is_granted(*first, 200));
  // It may go on to its end; the second waits with what it has.
  BOOST_CHECK(second->grow(200) == memory_verdict::wait);
  BOOST_TEST(second->bytes() == 270U);
}

BOOST_AUTO_TEST_CASE(where_the_reserve_is_too_small_the_youngest_gives_up) {
  const auto first = begin();
  auto second = begin();
  auto third = begin();
  for (auto* each : {first.get(), second.get(), third.get()}) {
    BOOST_TEST(is_granted(*each, 180));
  }
  for (auto* each : {first.get(), second.get(), third.get()}) {
    BOOST_CHECK(each->grow(400) == memory_verdict::wait);
  }
  BOOST_CHECK(first->grow(400) == memory_verdict::wait);
  BOOST_CHECK(second->grow(400) == memory_verdict::wait);
  BOOST_CHECK(third->grow(400) == memory_verdict::abort_answer);
  third.reset();
  BOOST_TEST(is_granted(*first, 400));
}

BOOST_AUTO_TEST_CASE(no_answer_gives_up_where_streams_hold_the_memory) {
  const auto first = begin();
  const auto second = begin();
  BOOST_TEST(is_granted(*first, 20));
  BOOST_TEST(is_granted(*second, 20));
  byte_reservation streams(budget, byte_holder::unwritten_streams);
  BOOST_TEST(streams.grow(byte_use::stream_event, 800));
  for (int turn = 0; turn < 3; ++turn) {
    BOOST_CHECK(first->grow(200) == memory_verdict::wait);
    BOOST_CHECK(second->grow(200) == memory_verdict::wait);
  }
  streams.shrink(400);
  BOOST_TEST(is_granted(*first, 200));
}

BOOST_AUTO_TEST_CASE(any_number_of_growing_answers_end_one_after_another) {
  constexpr std::size_t whole_size = 700;
  constexpr std::size_t answers = 20;
  std::vector<std::unique_ptr<answer_memory>> under_way;
  under_way.reserve(answers);
  for (std::size_t number = 0; number < answers; ++number) {
    under_way.push_back(begin());
  }
  std::size_t whole = 0;
  std::size_t given_up = 0;
  for (int turn = 0; turn < 1'000 && !under_way.empty(); ++turn) {
    for (auto& answer : under_way) {
      const auto verdict = answer->grow(10);
      whole += answer->bytes() >= whole_size ? 1 : 0;
      given_up += verdict == memory_verdict::abort_answer ? 1 : 0;
      if (verdict == memory_verdict::abort_answer || answer->bytes() >= whole_size) {
        answer.reset();
      }
    }
    std::erase(under_way, nullptr);
  }
  BOOST_TEST(under_way.empty());
  BOOST_TEST(whole + given_up == answers);
  // The memory is the first one's until it is whole; who holds nothing yet does not give up.
  BOOST_TEST(whole >= 1U);
  BOOST_TEST(budget->held() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
