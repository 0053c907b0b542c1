/// The budget never grants more than its capacity, and every byte is returned on every path by
/// which a reservation ends.
#include "flow/byte_budget.h"

#include "base/random.h"
#include "flow/resource_plan.h"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <vector>

using namespace spurrack;
using namespace spurrack::flow;

namespace {

constexpr std::size_t capacity = 1'000;

std::size_t sum_of_accounts(const byte_budget& budget) {
  std::size_t sum = 0;
  for (std::size_t holder = 0; holder < byte_holders; ++holder) {
    sum += budget.held(static_cast<byte_holder>(holder));
  }
  return sum;
}

} // namespace

BOOST_AUTO_TEST_SUITE(byte_budget_test)

BOOST_AUTO_TEST_CASE(uses_are_refused_in_the_order_of_their_limits) {
  const auto budget = std::make_shared<byte_budget>(capacity);
  std::vector<std::size_t> granted;
  for (std::size_t use = 0; use < byte_uses; ++use) {
    byte_reservation reservation(budget, byte_holder::kept_bodies);
    while (reservation.grow(static_cast<byte_use>(use), 1)) {
    }
    granted.push_back(reservation.bytes());
  }
  BOOST_TEST(granted == (std::vector<std::size_t>{300, 400, 500, 550, 900, 1000}),
             boost::test_tools::per_element());
  BOOST_TEST(budget->held() == 0U);
  BOOST_TEST(budget->refusals(byte_use::large_body) == 1U);
}

BOOST_AUTO_TEST_CASE(a_refused_growth_changes_nothing) {
  const auto budget = std::make_shared<byte_budget>(capacity);
  byte_reservation reservation(budget, byte_holder::request_bodies);
  BOOST_TEST(reservation.grow(byte_use::large_body, 250));
  BOOST_TEST(!reservation.grow(byte_use::large_body, 51));
  // A size whose sum with the bytes held overflows is refused.
  BOOST_TEST(!reservation.grow(byte_use::stream_event, std::size_t{0} - 1));
  BOOST_TEST(reservation.bytes() == 250U);
  BOOST_TEST(budget->held() == 250U);
}

BOOST_AUTO_TEST_CASE(moving_a_reservation_keeps_the_sum_of_bytes_held) {
  const auto budget = std::make_shared<byte_budget>(capacity);
  {
    byte_reservation first(budget, byte_holder::request_bodies);
    BOOST_TEST(first.grow(byte_use::large_body, 300));
    first.move_to(byte_holder::kept_bodies);
    BOOST_TEST(budget->held(byte_holder::request_bodies) == 0U);
    BOOST_TEST(budget->held(byte_holder::kept_bodies) == 300U);
    byte_reservation second(std::move(first));
    byte_reservation third(budget, byte_holder::gathered_answers);
    BOOST_TEST(third.grow(byte_use::whole_answer, 200));
    third = std::move(second);
    BOOST_TEST(budget->held() == 300U);
    BOOST_TEST(budget->held(byte_holder::gathered_answers) == 0U);
  }
  BOOST_TEST(budget->held() == 0U);
}

BOOST_AUTO_TEST_CASE(answers_request_relief_and_new_requests_do_not) {
  const auto budget = std::make_shared<byte_budget>(capacity);
  std::optional<byte_reservation> slowest(std::in_place, budget, byte_holder::unwritten_streams);
  BOOST_TEST(slowest->grow(byte_use::stream_event, 900));
  int relief_calls = 0;
  budget->set_relief([&](byte_use use, std::size_t bytes) {
    BOOST_CHECK(use == byte_use::whole_answer);
    BOOST_TEST(bytes == 200U);
    ++relief_calls;
    slowest.reset();
  });
  byte_reservation body(budget, byte_holder::request_bodies);
  BOOST_TEST(!body.grow(byte_use::small_body, 200));
  BOOST_TEST(relief_calls == 0);
  byte_reservation answer(budget, byte_holder::gathered_answers);
  BOOST_TEST(answer.grow(byte_use::whole_answer, 200));
  BOOST_TEST(relief_calls == 1);
  BOOST_TEST(budget->held() == 200U);
}

BOOST_AUTO_TEST_CASE(events_request_relief_before_the_budget_is_exhausted) {
  const auto budget = std::make_shared<byte_budget>(capacity);
  int relief_calls = 0;
  budget->set_relief([&](byte_use, std::size_t) { ++relief_calls; });
  byte_reservation stream(budget, byte_holder::unwritten_streams);
  BOOST_TEST(stream.grow(byte_use::stream_event, 900));
  BOOST_TEST(relief_calls == 0);
  BOOST_TEST(stream.grow(byte_use::stream_event, 100));
  BOOST_TEST(relief_calls == 1);
  BOOST_TEST(!stream.grow(byte_use::stream_event, 1));
}

BOOST_AUTO_TEST_CASE(random_steps_never_exceed_the_capacity_and_return_every_byte) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    base::seeded_random random(seed);
    const auto budget = std::make_shared<byte_budget>(capacity);
    std::vector<byte_reservation> reservations;
    for (int step = 0; step < 2'000; ++step) {
      const auto holder = static_cast<byte_holder>(random.below(byte_holders));
      const auto use = static_cast<byte_use>(random.below(byte_uses));
      switch (random.below(5)) {
      case 0:
        reservations.emplace_back(budget, holder);
        break;
      case 1:
        if (!reservations.empty()) {
          std::ignore =
              reservations[random.below(reservations.size())].grow(use, random.below(300));
        }
        break;
      case 2:
        if (!reservations.empty()) {
          reservations[random.below(reservations.size())].shrink(random.below(300));
        }
        break;
      case 3:
        if (!reservations.empty()) {
          reservations[random.below(reservations.size())].move_to(holder);
        }
        break;
      default:
        if (!reservations.empty()) {
          // Overwrites a random reservation with the last one. The bytes of the overwritten
          // reservation are returned to the budget.
          reservations[random.below(reservations.size())] = std::move(reservations.back());
          reservations.pop_back();
        }
      }
      std::size_t sum = 0;
      for (const auto& reservation : reservations) {
        sum += reservation.bytes();
      }
      BOOST_REQUIRE(sum == budget->held());
      BOOST_REQUIRE(sum_of_accounts(*budget) == budget->held());
      BOOST_REQUIRE(budget->held() <= capacity);
    }
    reservations.clear();
    BOOST_REQUIRE(budget->held() == 0U);
    BOOST_REQUIRE(sum_of_accounts(*budget) == 0U);
  }
}

BOOST_AUTO_TEST_CASE(machine_limits_determine_budget_and_connections) {
  BOOST_TEST(budget_capacity(160'000'000) == 36'800'000U);
  BOOST_TEST(budget_capacity(260'000'000) == 68'800'000U);
  BOOST_TEST(budget_capacity(20'000'000) == 10'000'000U);
  BOOST_TEST(client_connections(4'100) == 1'500U);
  BOOST_TEST(client_connections(8'192) == 3'546U);
  BOOST_TEST(client_connections(100) == 16U);
}

BOOST_AUTO_TEST_SUITE_END()
