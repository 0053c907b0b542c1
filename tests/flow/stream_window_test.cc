/// When the window of a stream closes and opens, and what counts as taking nothing.
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

constexpr auto widest = stream_window::max_window_bytes;

} // namespace

BOOST_FIXTURE_TEST_SUITE(stream_window_test, window_fixture)

BOOST_AUTO_TEST_CASE(a_small_pause_does_not_close_it) {
  BOOST_CHECK(add(widest - 1) == window_change::none);
  BOOST_CHECK(window.consume(widest - 1, now) == window_change::none);
  BOOST_TEST(window.is_open());
}

BOOST_AUTO_TEST_CASE(it_closes_once_and_opens_at_half) {
  BOOST_CHECK(add(widest) == window_change::closed);
  // What was on its way still comes.
  BOOST_CHECK(add(1'000) == window_change::none);
  BOOST_CHECK(window.consume(1'000 + widest / 2 - 1, now) == window_change::none);
  now += milliseconds(300);
  BOOST_CHECK(window.consume(1, now) == window_change::opened);
  BOOST_CHECK(window.closed_duration(now) == milliseconds(300));
}

BOOST_AUTO_TEST_CASE(it_is_narrower_where_memory_is_scarce) {
  BOOST_CHECK(window.add(widest / 2, 0.5, now) == window_change::closed);
  stream_window other(now);
  BOOST_CHECK(other.add(stream_window::min_window_bytes - 1, 1, now) == window_change::none);
  BOOST_CHECK(other.add(1, 1, now) == window_change::closed);
}

BOOST_AUTO_TEST_CASE(a_widened_one_closes_only_for_want_of_memory) {
  add(widest);
  BOOST_CHECK(window.start_read_ahead(now) == window_change::opened);
  BOOST_CHECK(add(10 * widest) == window_change::none);
  BOOST_CHECK(window.close(now) == window_change::closed);
  BOOST_CHECK(window.close(now) == window_change::none);
  BOOST_CHECK(window.consume(11 * widest, now) == window_change::opened);
}

BOOST_AUTO_TEST_CASE(only_bytes_that_wait_count_as_a_stall) {
  now += milliseconds(5'000);
  BOOST_CHECK(window.stall_duration(now) == base::duration::zero());
  add(100);
  now += milliseconds(400);
  BOOST_CHECK(window.stall_duration(now) == milliseconds(400));
  window.consume(1, now);
  BOOST_CHECK(window.stall_duration(now) == base::duration::zero());
}

BOOST_AUTO_TEST_CASE(changes_alternate_and_unread_bytes_add_up) {
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
        const auto taken = std::min<std::size_t>(bytes, unread);
        change = subject.consume(taken, now);
        unread -= taken;
      }
      if (change != window_change::none) {
        BOOST_REQUIRE(open != (change == window_change::opened));
        open = change == window_change::opened;
      }
      BOOST_REQUIRE(subject.is_open() == open);
      BOOST_REQUIRE(subject.unread() == unread);
      // Nothing unread never leaves a window closed: the stream could not go on.
      BOOST_REQUIRE(unread > 0 || open);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
