/// Requests that a stopping node accepts and sends.
#include "dispatch/stop_plan.h"

#include <boost/test/unit_test.hpp>

using namespace spurrack;
using namespace spurrack::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A stop that began at `begun_at` and must end seven seconds later.
struct stop_fixture {
  stop_fixture() { subject.begin(begun_at, begun_at + seconds(7)); }

  [[nodiscard]] remaining_work work(bool is_stream, std::optional<base::duration> expected) const {
    return {is_stream, false, begun_at + seconds(60), expected};
  }

  base::time_point begun_at{std::chrono::hours(1)};
  stop_plan subject;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(stop_plan_test, stop_fixture)

BOOST_AUTO_TEST_CASE(without_stop_everything_is_accepted) {
  const stop_plan idle;
  BOOST_TEST(!idle.has_begun());
  BOOST_TEST(idle.accepts(work(true, seconds(60)), begun_at));
  BOOST_TEST(idle.may_send(work(true, std::nullopt), begun_at));
}

BOOST_AUTO_TEST_CASE(stream_is_accepted_early_in_stop_if_it_can_end_in_time) {
  BOOST_TEST(subject.accepts(work(true, seconds(6)), begun_at));
  BOOST_TEST(!subject.accepts(work(true, seconds(6)), begun_at + seconds(1)));
  BOOST_TEST(subject.accepts(work(true, seconds(1)), begun_at + seconds(2)));
  BOOST_TEST(!subject.accepts(work(true, seconds(1)), begun_at + seconds(3)));
}

BOOST_AUTO_TEST_CASE(stream_without_enough_time_left_is_not_sent) {
  BOOST_TEST(subject.may_send(work(true, seconds(3)), begun_at + milliseconds(3'800)));
  BOOST_TEST(!subject.may_send(work(true, seconds(3)), begun_at + milliseconds(3'900)));
}

BOOST_AUTO_TEST_CASE(short_request_is_accepted_longer_and_sent_if_it_can_end_in_time) {
  BOOST_TEST(subject.accepts(work(false, milliseconds(200)), begun_at + milliseconds(3'400)));
  BOOST_TEST(!subject.accepts(work(false, milliseconds(200)), begun_at + milliseconds(3'600)));
  BOOST_TEST(subject.may_send(work(false, milliseconds(200)), begun_at + milliseconds(6'500)));
  BOOST_TEST(!subject.may_send(work(false, milliseconds(200)), begun_at + milliseconds(6'700)));
}

BOOST_AUTO_TEST_CASE(request_that_cannot_be_served_now_is_refused) {
  BOOST_TEST(!subject.accepts(work(false, std::nullopt), begun_at));
  BOOST_TEST(!subject.accepts(work(true, std::nullopt), begun_at));
}

BOOST_AUTO_TEST_CASE(request_with_deadline_before_stop_end_is_sent) {
  remaining_work short_deadline = work(true, std::nullopt);
  short_deadline.answer_deadline = begun_at + seconds(5);
  BOOST_TEST(subject.accepts(short_deadline, begun_at + seconds(2)));
  BOOST_TEST(subject.may_send(short_deadline, begun_at + seconds(4)));
}

/// Guards against a request that may run only once, is passed on in a stop since earlier ones were
/// short, and is aborted at the end of the stop: its client does not know whether it ran.
BOOST_AUTO_TEST_CASE(request_that_runs_at_most_once_is_sent_only_if_its_deadline_is_in_time) {
  remaining_work single_run = work(false, milliseconds(100));
  single_run.runs_at_most_once = true;
  BOOST_TEST(!subject.accepts(single_run, begun_at));
  BOOST_TEST(!subject.may_send(single_run, begun_at));
  single_run.answer_deadline = begun_at + seconds(7);
  BOOST_TEST(subject.accepts(single_run, begun_at + seconds(3)));
  single_run.answer_deadline = begun_at + milliseconds(7'001);
  BOOST_TEST(!subject.accepts(single_run, begun_at + seconds(3)));
}

BOOST_AUTO_TEST_CASE(nothing_is_accepted_after_stop_end) {
  BOOST_TEST(!subject.accepts(work(false, base::duration::zero()), begun_at + seconds(7)));
  BOOST_TEST(!subject.accepts(work(false, std::nullopt), begun_at + seconds(7)));
}

BOOST_AUTO_TEST_SUITE_END()
