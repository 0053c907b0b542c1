/// Guards against suspicions that are ended by signs of another process, or not ended by signs of
/// the same one.
#include "quarantine/suspected_exits.h"

#include <boost/test/unit_test.hpp>

using namespace spurrack;
using namespace spurrack::quarantine;
using std::chrono::milliseconds;
using std::chrono::minutes;

namespace {

constexpr replica_exit some_exit = 7;

struct suspicion_fixture {
  /// @return suspicion of a replica that was last heard 100 ms after the begin of the call, noted
  ///         one second after it.
  [[nodiscard]] suspected_exit suspicion(milliseconds begun) const {
    return {some_exit, base::replica_id("r"), start + begun, start + begun + milliseconds(100),
            start + begun + milliseconds(1'000)};
  }

  base::time_point start{std::chrono::hours(1)};
  suspected_exits subject;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(suspected_exits_test, suspicion_fixture)

BOOST_AUTO_TEST_CASE(two_calls_at_one_silent_replica_are_one_suspicion) {
  const auto first = subject.add(suspicion(milliseconds(0)));
  const auto second = subject.add(suspicion(milliseconds(300)));
  BOOST_TEST((first == second));
  BOOST_TEST(subject.all().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_silence_of_a_later_process_is_another_suspicion) {
  subject.add(suspicion(milliseconds(0)));
  subject.add(suspicion(milliseconds(3'000)));
  BOOST_TEST(subject.all().size() == 2U);
}

BOOST_AUTO_TEST_CASE(bytes_on_an_older_call_disprove_and_later_reports_are_ignored) {
  subject.add(suspicion(milliseconds(0)));
  const disproved_exit sign{some_exit, start - milliseconds(50), start + milliseconds(1'200)};
  BOOST_TEST(subject.is_disproved_by(sign));
  BOOST_TEST(subject.disprove(sign).size() == 1U);
  BOOST_TEST(!subject.add(suspicion(milliseconds(0))).has_value());
}

BOOST_AUTO_TEST_CASE(bytes_on_a_call_to_a_later_process_disprove_nothing) {
  subject.add(suspicion(milliseconds(0)));
  const disproved_exit sign{some_exit, start + milliseconds(2'000), start + milliseconds(2'100)};
  BOOST_TEST(!subject.is_disproved_by(sign));
  BOOST_TEST(subject.disprove(sign).empty());
}

BOOST_AUTO_TEST_CASE(an_exit_proves_no_later_silence) {
  subject.add(suspicion(milliseconds(0)));
  subject.add(suspicion(milliseconds(3'000)));
  BOOST_TEST(subject.take(some_exit, start + milliseconds(200)).size() == 1U);
  BOOST_TEST(subject.take(some_exit, std::nullopt).size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_suspicion_that_nothing_decides_expires) {
  subject.add(suspicion(milliseconds(0)));
  BOOST_TEST(subject.take_expired(start + minutes(1)).empty());
  BOOST_TEST(subject.take_expired(start + minutes(3)).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
