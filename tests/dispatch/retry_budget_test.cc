#include "dispatch/retry_budget.h"

#include <boost/test/unit_test.hpp>

using namespace spurrack;
using serving::retry_budget;

namespace {

const base::time_point start{std::chrono::hours(1)};

std::size_t take_all_retries(retry_budget& budget, base::time_point now) {
  std::size_t granted = 0;
  while (budget.try_take("s", now)) {
    ++granted;
  }
  return granted;
}

} // namespace

BOOST_AUTO_TEST_SUITE(retry_budget_test)

BOOST_AUTO_TEST_CASE(shares_of_all_nodes_stay_within_the_bound_of_the_fleet) {
  constexpr std::size_t nodes = 6;
  constexpr double allowance = 52;
  constexpr double ratio = 0.2;
  constexpr std::size_t requests_each = 100;
  std::size_t granted = 0;
  for (std::size_t index = 0; index < nodes; ++index) {
    retry_budget budget({ratio, allowance, std::chrono::seconds(10)});
    budget.set_fleet_size(nodes);
    for (std::size_t request = 0; request < requests_each; ++request) {
      budget.count_request("s", start);
    }
    granted += take_all_retries(budget, start);
  }
  BOOST_TEST(granted > 0);
  BOOST_TEST(static_cast<double>(granted) <= ratio * nodes * requests_each + allowance);
}

BOOST_AUTO_TEST_CASE(retries_are_granted_again_after_the_window) {
  retry_budget budget({0, 10, std::chrono::seconds(10)});
  const auto first = take_all_retries(budget, start);
  BOOST_TEST(first > 0);
  BOOST_TEST(take_all_retries(budget, start + std::chrono::seconds(9)) == 0);
  BOOST_TEST(take_all_retries(budget, start + std::chrono::seconds(11)) == first);
}

BOOST_AUTO_TEST_SUITE_END()
