/// Guards against answers that are aborted for want of memory although their clients read, or
/// although the answers of slower readers free enough.
#include "http/slow_readers.h"

#include "flow/stream_window.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace spurrack;
using namespace spurrack::http;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t budget_bytes = 20'000;
/// Bytes that a search frees at least from a budget of `budget_bytes`.
constexpr std::size_t min_freed_bytes = 1'000;
constexpr std::size_t two_windows = flow::stream_window::max_window_bytes * 2;

std::vector<base::caller_id> select_for_event(std::vector<unread_answer> answers,
                                              std::size_t requested_bytes = 1) {
  return select_slowest_readers(std::move(answers),
                                {flow::byte_use::stream_event, requested_bytes, budget_bytes});
}

} // namespace

BOOST_AUTO_TEST_SUITE(slow_readers_test)

BOOST_AUTO_TEST_CASE(a_client_that_read_within_two_seconds_is_not_selected) {
  BOOST_TEST(select_for_event({{1, 5'000, milliseconds(1'999)}}).empty());
  BOOST_TEST(select_for_event({{1, 5'000, seconds(2)}}) == std::vector<base::caller_id>{1},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_client_without_unread_bytes_is_not_selected) {
  BOOST_TEST(select_for_event({{1, 0, seconds(20)}}).empty());
}

BOOST_AUTO_TEST_CASE(clients_are_selected_by_bytes_times_time_until_enough_is_freed) {
  const std::vector<unread_answer> answers{
      {1, 400, seconds(3)}, {2, 700, seconds(2)}, {3, 300, seconds(10)}, {4, 100, seconds(4)}};
  const std::vector<base::caller_id> expected{3, 2};
  BOOST_TEST(select_for_event(answers) == expected, boost::test_tools::per_element());
  const std::vector<base::caller_id> expected_of_more{3, 2, 1};
  BOOST_TEST(select_for_event(answers, min_freed_bytes + 1) == expected_of_more,
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_new_request_ends_only_answers_of_more_than_two_windows) {
  const std::vector<unread_answer> answers{{1, two_windows, seconds(9)},
                                           {2, two_windows + 1, seconds(2)}};
  const auto selected =
      select_slowest_readers(answers, {flow::byte_use::large_body, 1'000'000, budget_bytes});
  BOOST_TEST(selected == std::vector<base::caller_id>{2}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
