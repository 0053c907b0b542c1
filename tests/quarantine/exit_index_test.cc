/// Guards against exits that are counted twice or not at all: reports of one process are one exit,
/// reports of several processes of an incarnation that is published late are several exits, and a
/// withdrawn exit stays withdrawn.
#include "quarantine/exit_index.h"

#include <boost/test/unit_test.hpp>

using namespace spurrack;
using namespace spurrack::quarantine;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr replica_exit some_exit = 7;

struct index_fixture {
  /// @return exit of a process that ran a call from one time to another, both after `start`.
  [[nodiscard]] exit_observation timed(milliseconds call_started, milliseconds exited) const {
    return {some_exit, start + exited, base::replica_id("r"), start + call_started};
  }

  base::time_point start{std::chrono::hours(1)};
  exit_index subject;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(exit_index_test, index_fixture)

BOOST_AUTO_TEST_CASE(lost_calls_that_overlap_are_one_exit) {
  BOOST_TEST(subject.add(timed(milliseconds(0), milliseconds(900))) == 0U);
  BOOST_TEST(subject.add(timed(milliseconds(400), milliseconds(800))) == 0U);
  BOOST_TEST(subject.all().size() == 1U);
  BOOST_TEST((subject.exit_time_of(some_exit) == start + milliseconds(800)));
}

BOOST_AUTO_TEST_CASE(a_lost_call_that_began_after_an_exit_is_an_exit_of_a_later_process) {
  subject.add(timed(milliseconds(0), milliseconds(500)));
  BOOST_TEST(subject.add(timed(milliseconds(600), milliseconds(900))) == 0U);
  BOOST_TEST(subject.add(timed(milliseconds(1'000), milliseconds(1'400))) == 1U);
  BOOST_TEST(subject.all().size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_report_without_times_is_the_known_exit) {
  subject.add({some_exit, start});
  BOOST_TEST(subject.add(timed(milliseconds(0), milliseconds(500))) == 0U);
  BOOST_TEST(subject.add({some_exit, start + seconds(9)}) == 0U);
  BOOST_TEST((subject.exit_time_of(some_exit) == start + milliseconds(500)));
}

BOOST_AUTO_TEST_CASE(a_withdrawn_exit_is_ignored_until_the_incarnation_exits_again) {
  subject.add({some_exit, start});
  BOOST_TEST(subject.withdraw(some_exit, start + seconds(1)));
  BOOST_TEST(!subject.exit_time_of(some_exit).has_value());
  BOOST_TEST(!subject.withdraw(some_exit, start + seconds(1)));
  subject.add_recent({{some_exit, start}}, start + seconds(2));
  BOOST_TEST(subject.all().empty());
  subject.add_recent({{some_exit, start + seconds(2)}}, start + seconds(2));
  BOOST_TEST(subject.all().size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_overrun_is_marked_once) {
  BOOST_TEST(!subject.mark_overrun({some_exit, 0}));
  subject.add({some_exit, start});
  BOOST_TEST(subject.mark_overrun({some_exit, 0}));
  BOOST_TEST(!subject.mark_overrun({some_exit, 0}));
  BOOST_TEST(subject.is_overrun({some_exit, 0}));
  BOOST_TEST(!subject.is_overrun({some_exit, 1}));
}

BOOST_AUTO_TEST_CASE(only_recent_exits_are_accepted_and_listed_the_latest_first) {
  const auto now = start + exit_index::recent_window;
  subject.add_recent({{1, start}, {2, start + seconds(1)}, {3, start + seconds(2)}}, now);
  const auto latest = subject.latest(8, now);
  BOOST_REQUIRE(latest.size() == 2U);
  BOOST_TEST(latest.front().exit == 3U);
  BOOST_TEST(subject.latest(1, now).size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_full_index_drops_further_exits_until_known_ones_expire) {
  for (replica_exit exit = 0; exit < exit_index::max_exits + 10; ++exit) {
    subject.add({exit, start});
  }
  BOOST_TEST(subject.all().size() == exit_index::max_exits);
  subject.expire(start + minutes(10));
  BOOST_TEST(subject.all().empty());
}

BOOST_AUTO_TEST_SUITE_END()
