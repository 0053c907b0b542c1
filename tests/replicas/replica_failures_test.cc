/// Replicas that have recovered from failures.
///
/// Guards against a recovered replica that gets no more calls from a node at which one call to the
/// replica failed: under a light load, the replica got no calls because of its failure share, and
/// the failure share decayed only with calls.
#include "serving_fixture.h"

using namespace spurrack;
using namespace spurrack::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Sends a request every 200 ms; the replica `failing` answers with status 500.
/// @return the number of requests that each replica got.
std::map<std::string, std::size_t> send_requests_for(dispatcher_driver& driver, base::duration span,
                                                     const std::string& failing,
                                                     base::caller_id& client) {
  std::map<std::string, std::size_t> requests;
  for (const auto end = driver.now + span; driver.now < end;) {
    driver.send_request(++client, "/unsafe/");
    const auto call = driver.last<start_call>();
    const auto& replica = call.target.replica.text();
    ++requests[replica];
    driver.advance_time(milliseconds(20));
    auto head = dispatcher_driver::good_head(replica == failing ? 500 : 200);
    driver.deliver(call_answered{call.call, head, ""});
    driver.advance_time(milliseconds(180));
  }
  return requests;
}

} // namespace

BOOST_AUTO_TEST_SUITE(replica_failures_test)

BOOST_AUTO_TEST_CASE(a_recovered_replica_gets_calls_again_under_light_load) {
  dispatcher_driver driver;
  // Both replicas are in the zone of the node, so that the replicas differ only in their failures.
  driver.published.remove_replica("plain-b");
  driver.published.add_replica("plain-c", "plain", "a");
  driver.subject.update(driver.published.content, driver.now);
  base::caller_id client = 0;
  const auto while_failing = send_requests_for(driver, seconds(10), "plain-c", client);
  send_requests_for(driver, seconds(3), "", client);
  auto requests = send_requests_for(driver, seconds(5), "", client);
  BOOST_TEST(requests["plain-c"] >= 5U,
             requests["plain-c"] << " requests in 5 s after it recovered");
  const auto failed = while_failing.find("plain-c");
  BOOST_REQUIRE(failed != while_failing.end());
  BOOST_TEST(failed->second <= 13U, failed->second << " of 50 requests while it failed all");
}

BOOST_AUTO_TEST_SUITE_END()
