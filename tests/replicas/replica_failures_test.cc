/// Replicas that failed and are well again.
///
/// Seen: under a light load a replica of which a node saw one call fail got nothing more from that
/// node, although it was good for seconds: its share of failures fell with calls only, and it got
/// no calls for its share of failures.
#include "serving_fixture.h"

using namespace spurrack;
using namespace spurrack::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Asks once every 200 ms. @return requests that each replica got.
std::map<std::string, std::size_t> ask_for(dispatcher_driver& driver, base::duration span,
                                           const std::string& failing, base::caller_id& client) {
  std::map<std::string, std::size_t> sent;
  for (const auto end = driver.now + span; driver.now < end;) {
    driver.arrive(++client, "/unsafe/");
    const auto call = driver.last<start_call>();
    const auto& replica = call.target.replica.text();
    ++sent[replica];
    driver.pass(milliseconds(20));
    auto head = dispatcher_driver::good_head(replica == failing ? 500 : 200);
    driver.happen(call_answered{call.call, head, ""});
    driver.pass(milliseconds(180));
  }
  return sent;
}

} // namespace

BOOST_AUTO_TEST_SUITE(replica_failures_test)

BOOST_AUTO_TEST_CASE(a_replica_that_failed_is_tried_again_under_a_light_load) {
  dispatcher_driver driver;
  // Alike but for its failures: the other one is not nearer.
  driver.world.remove_replica("plain-b");
  driver.world.add_replica("plain-c", "plain", "a");
  driver.subject.update(driver.world.content, driver.now);
  base::caller_id client = 0;
  const auto while_failing = ask_for(driver, seconds(10), "plain-c", client);
  ask_for(driver, seconds(3), "", client);
  auto sent = ask_for(driver, seconds(5), "", client);
  BOOST_TEST(sent["plain-c"] >= 5U, sent["plain-c"] << " requests in 5 s when it was good again");
  const auto failed = while_failing.find("plain-c");
  BOOST_REQUIRE(failed != while_failing.end());
  BOOST_TEST(failed->second <= 13U, failed->second << " of 50 requests while it failed all");
}

BOOST_AUTO_TEST_SUITE_END()
