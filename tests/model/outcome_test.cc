/// Outcome that a call tracker derives for a failed request. Guards against reporting `not_run` for
/// a request that may have run.
#include "model/outcome.h"

#include <boost/test/unit_test.hpp>

using spurrack::model::call_tracker;
using spurrack::model::outcome;

BOOST_AUTO_TEST_SUITE(call_tracker_outcomes)

BOOST_AUTO_TEST_CASE(failure_outcome_is_not_run_only_if_no_started_call_may_have_run) {
  call_tracker tracker;
  BOOST_CHECK(tracker.failure_outcome() == outcome::not_run);
  tracker.call_started(true);
  BOOST_CHECK(tracker.failure_outcome() == outcome::failed);
  tracker.call_never_sent(true);
  BOOST_CHECK(tracker.failure_outcome() == outcome::not_run);
  tracker.call_started(true);
  tracker.call_completed(true);
  BOOST_CHECK(tracker.failure_outcome() == outcome::failed);
  tracker.call_started(false);
  BOOST_CHECK(tracker.failure_outcome() == outcome::unknown);
  tracker.call_refused(false);
  BOOST_CHECK(tracker.failure_outcome() == outcome::failed);
  tracker.call_started(false);
  tracker.call_completed(false);
  BOOST_CHECK(tracker.failure_outcome() == outcome::failed);
}

BOOST_AUTO_TEST_SUITE_END()
