/// `not_run` can only come out of a ledger in which nothing was handed out.
#include "model/outcome.h"

#include <boost/test/unit_test.hpp>

using spurrack::model::call_tracker;
using spurrack::model::outcome;

BOOST_AUTO_TEST_SUITE(dispatch_ledger_outcomes)

BOOST_AUTO_TEST_CASE(follows_what_was_handed_out) {
  call_tracker ledger;
  BOOST_CHECK(ledger.give_up() == outcome::not_run);
  ledger.call_started(true);
  BOOST_CHECK(ledger.give_up() == outcome::failed);
  ledger.call_never_sent(true);
  BOOST_CHECK(ledger.give_up() == outcome::not_run);
  ledger.call_started(true);
  ledger.call_completed(true);
  BOOST_CHECK(ledger.give_up() == outcome::failed);
  ledger.call_started(false);
  BOOST_CHECK(ledger.give_up() == outcome::unknown);
  ledger.call_refused(false);
  BOOST_CHECK(ledger.give_up() == outcome::failed);
  ledger.call_started(false);
  ledger.call_completed(false);
  BOOST_CHECK(ledger.give_up() == outcome::failed);
}

BOOST_AUTO_TEST_SUITE_END()
