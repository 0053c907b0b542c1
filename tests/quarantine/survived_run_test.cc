/// Guards against a crashing request whose record is cleared by an answer that does not show that
/// the request ran to its end, so that the count of its exits begins anew.
#include "serving_fixture.h"

using namespace spurrack;
using namespace spurrack::serving;

namespace {

/// Records an exit under the request of the last call: the replica refuses a connection, and
/// another replica accepts one.
void lose_last_call(dispatcher_driver& node) {
  const auto call = node.last<start_call>();
  node.deliver(call_failed{call.call, call_failure::may_have_run});
  node.deliver(replica_probed{call.target.replica, probe_result::refused});
  node.advance_time(std::chrono::milliseconds(5));
  for (const auto& probe : node.all<probe_replica>()) {
    if (probe.target.replica != call.target.replica) {
      node.deliver(replica_probed{probe.target.replica, probe_result::connected});
    }
  }
}

std::size_t exits_of_only_record(const dispatcher_driver& node) {
  const auto& records = node.subject.crashes().all();
  BOOST_REQUIRE(records.size() == 1U);
  return records.begin()->second.exits.size();
}

} // namespace

BOOST_AUTO_TEST_SUITE(survived_run_test)

BOOST_AUTO_TEST_CASE(a_failure_of_a_replica_does_not_clear_a_record) {
  for (const unsigned status : {500U, 503U, 504U, 404U}) {
    dispatcher_driver node;
    node.send_request(1, "/safe/");
    lose_last_call(node);
    BOOST_TEST(exits_of_only_record(node) == 1U);
    const auto retry = node.last<start_call>();
    node.deliver(call_answered{retry.call, dispatcher_driver::good_head(status), ""});
    BOOST_TEST(exits_of_only_record(node) == 1U, "status " << status);
  }
}

BOOST_AUTO_TEST_CASE(a_success_clears_a_record) {
  dispatcher_driver node;
  node.send_request(1, "/safe/");
  lose_last_call(node);
  node.deliver(call_answered{node.last<start_call>().call, dispatcher_driver::good_head(), ""});
  BOOST_TEST(exits_of_only_record(node) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
