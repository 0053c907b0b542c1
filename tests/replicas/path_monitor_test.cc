/// Guards against a node that takes its own partition for the fault of the replicas, and against a
/// node that takes replicas that are down, or single broken paths, for its own partition.
#include "replicas/path_monitor.h"

#include <boost/test/unit_test.hpp>

using namespace spurrack;
using namespace spurrack::serving;
using std::chrono::milliseconds;

namespace {

const base::time_point start{std::chrono::hours(1)};

base::replica_id replica(unsigned number) {
  return base::replica_id("r" + std::to_string(number));
}

/// Begins doubt, and lets `count` probes fail.
void fail_probes(path_monitor& paths, unsigned count, base::time_point now) {
  paths.note_failure(now);
  for (unsigned number = 0; number < count; ++number) {
    paths.begin_round({replica(number)}, now);
    paths.note_probed(replica(number), false, now);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(path_monitor_test)

BOOST_AUTO_TEST_CASE(a_failure_raises_doubt_until_a_replica_accepts_a_connection) {
  path_monitor paths;
  BOOST_TEST(!paths.is_round_due(start));
  paths.note_failure(start);
  BOOST_TEST((paths.state() == path_state::in_doubt));
  BOOST_TEST(paths.is_round_due(start));
  paths.begin_round({replica(1)}, start);
  paths.note_probed(replica(1), true, start + milliseconds(1));
  BOOST_TEST((paths.state() == path_state::working));
  BOOST_TEST(!paths.next_wakeup().has_value());
}

BOOST_AUTO_TEST_CASE(a_node_is_partitioned_only_if_another_node_hears_from_replicas) {
  path_monitor paths;
  fail_probes(paths, 8, start);
  BOOST_TEST((paths.state() == path_state::suspected));
  paths.note_heard_by_peer(start - milliseconds(1));
  BOOST_TEST((paths.state() == path_state::suspected));
  paths.note_heard_by_peer(start + milliseconds(1));
  BOOST_TEST((paths.state() == path_state::partitioned));
}

BOOST_AUTO_TEST_CASE(one_path_that_works_disproves_a_partition) {
  path_monitor paths;
  paths.note_heard_by_peer(start + milliseconds(500));
  fail_probes(paths, 3, start);
  paths.begin_round({replica(4)}, start + milliseconds(100));
  paths.note_probed(replica(4), true, start + milliseconds(101));
  BOOST_TEST((paths.state() == path_state::working));
}

BOOST_AUTO_TEST_CASE(a_partition_ends_with_the_first_connection) {
  path_monitor paths;
  fail_probes(paths, 4, start);
  paths.note_heard_by_peer(start + milliseconds(1));
  BOOST_REQUIRE((paths.state() == path_state::partitioned));
  BOOST_TEST(paths.is_round_due(start + milliseconds(200)));
  paths.begin_round({replica(9)}, start + milliseconds(200));
  paths.note_probed(replica(9), true, start + milliseconds(201));
  BOOST_TEST((paths.state() == path_state::working));
}

BOOST_AUTO_TEST_CASE(failures_soon_after_a_connection_cost_no_further_probes) {
  path_monitor paths;
  paths.note_probed(replica(1), true, start);
  paths.note_failure(start + milliseconds(100));
  BOOST_TEST((paths.state() == path_state::working));
  paths.note_failure(start + milliseconds(300));
  BOOST_TEST((paths.state() == path_state::in_doubt));
}

BOOST_AUTO_TEST_SUITE_END()
