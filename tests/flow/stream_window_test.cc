/// Conditions under which the window of a stream closes and reopens, and the duration of a stall.
#include "flow/stream_window.h"

#include "base/random.h"

#include <boost/test/unit_test.hpp>

using namespace spurrack;
using namespace spurrack::flow;
using std::chrono::milliseconds;

namespace {

struct window_fixture {
  base::time_point now{std::chrono::hours(1)};
  stream_window window{now};

  /// Adds bytes while memory is plentiful.
  window_change add(std::size_t bytes) { return window.add(bytes, 0, now); }
};

constexpr auto max_bytes = stream_window::max_window_bytes;

} // namespace

BOOST_FIXTURE_TEST_SUITE(stream_window_test, window_fixture)

BOOST_AUTO_TEST_CASE(a_window_stays_open_below_its_size) {
  BOOST_CHECK(add(max_bytes - 1) == window_change::none);
  BOOST_CHECK(window.consume(max_bytes - 1, now) == window_change::none);
  BOOST_TEST(window.is_open());
}

BOOST_AUTO_TEST_CASE(a_window_closes_once_and_reopens_at_half_its_size) {
  BOOST_CHECK(add(max_bytes) == window_change::closed);
  // Bytes that were in transit from the replica when the window closed still count as unread.
  BOOST_CHECK(add(1'000) == window_change::none);
  BOOST_CHECK(window.consume(1'000 + max_bytes / 2 - 1, now) == window_change::none);
  now += milliseconds(300);
  BOOST_CHECK(window.consume(1, now) == window_change::opened);
  BOOST_CHECK(window.closed_duration(now) == milliseconds(300));
}

BOOST_AUTO_TEST_CASE(a_window_is_smaller_if_memory_is_scarce) {
  BOOST_CHECK(window.add(max_bytes / 2, 0.5, now) == window_change::closed);
  stream_window small_window(now);
  BOOST_CHECK(small_window.add(stream_window::min_window_bytes - 1, 1, now) == window_change::none);
  BOOST_CHECK(small_window.add(1, 1, now) == window_change::closed);
}

BOOST_AUTO_TEST_CASE(a_window_that_reads_ahead_closes_only_for_lack_of_memory) {
  add(max_bytes);
  BOOST_CHECK(window.start_read_ahead(now) == window_change::opened);
  BOOST_CHECK(add(10 * max_bytes) == window_change::none);
  BOOST_CHECK(window.close(now) == window_change::closed);
  BOOST_CHECK(window.close(now) == window_change::none);
  BOOST_CHECK(window.consume(11 * max_bytes, now) == window_change::opened);
}

BOOST_AUTO_TEST_CASE(a_stall_lasts_only_while_bytes_are_unread) {
  now += milliseconds(5'000);
  BOOST_CHECK(window.stall_duration(now) == base::duration::zero());
  add(100);
  now += milliseconds(400);
  BOOST_CHECK(window.stall_duration(now) == milliseconds(400));
  window.consume(1, now);
  BOOST_CHECK(window.stall_duration(now) == base::duration::zero());
}

BOOST_AUTO_TEST_CASE(a_window_closes_and_opens_in_turn_and_counts_unread_bytes) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    base::seeded_random random(seed);
    stream_window subject(now);
    std::size_t unread = 0;
    bool open = true;
    for (int step = 0; step < 2'000; ++step) {
      const auto bytes = random.below(40'000);
      auto change = window_change::none;
      if (random.below(2) == 0) {
        const auto utilization = static_cast<double>(random.below(101)) / 100;
        change = subject.add(bytes, utilization, now);
        unread += bytes;
      } else {
        const auto consumed = std::min<std::size_t>(bytes, unread);
        change = subject.consume(consumed, now);
        unread -= consumed;
      }
      if (change != window_change::none) {
        BOOST_REQUIRE(open != (change == window_change::opened));
        open = change == window_change::opened;
      }
      BOOST_REQUIRE(subject.is_open() == open);
      BOOST_REQUIRE(subject.unread() == unread);
      // Without unread bytes the window must be open: nothing else would reopen it.
      BOOST_REQUIRE(unread > 0 || open);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
