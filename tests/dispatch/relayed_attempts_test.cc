/// Guards against a request that runs more often than its route allows because the node that it was
/// passed on to begins with all attempts again.
#include "serving_fixture.h"

#include <boost/test/data/test_case.hpp>

using namespace spurrack;
using namespace spurrack::serving;

namespace {

/// Attempts that the other node sends along, and the calls that this node may make for a route that
/// allows two.
struct relayed_attempts {
  std::optional<std::uint32_t> attempts_left;
  std::size_t expected_calls;
};

std::ostream& operator<<(std::ostream& out, const relayed_attempts& example) {
  return out << (example.attempts_left ? std::to_string(*example.attempts_left) : "none")
             << " sent";
}

} // namespace

BOOST_AUTO_TEST_SUITE(relayed_attempts_test)

/// Builds before this field send none: the attempts of the route hold then.
BOOST_DATA_TEST_CASE(a_relayed_request_is_called_as_often_as_it_has_attempts_left,
                     (std::vector<relayed_attempts>{{1, 1}, {2, 2}, {9, 2}, {std::nullopt, 2}}),
                     example) {
  dispatcher_driver driver;
  const auto content = driver.content_for(1, "/safe/");
  content->was_passed_on = true;
  content->attempts_left = example.attempts_left;
  driver.deliver(request_arrived{1, content, driver.now});
  for (std::size_t call = 1; call <= example.expected_calls; ++call) {
    BOOST_REQUIRE(driver.all<start_call>().size() == call);
    BOOST_TEST(driver.last<start_call>().is_last_attempt == (call == example.expected_calls));
    driver.deliver(call_failed{driver.last<start_call>().call, call_failure::may_have_run});
  }
  BOOST_TEST(driver.all<start_call>().size() == example.expected_calls);
  BOOST_TEST(driver.last<respond>().status == 502U);
}

BOOST_AUTO_TEST_SUITE_END()
