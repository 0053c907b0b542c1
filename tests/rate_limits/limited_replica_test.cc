/// Replicas that name how many requests a second they take from all nodes together.
///
/// Seen: two of twelve model replicas named a limit of one request a second and went on getting as
/// many as the others; in four seconds 12 and 13 came from nodes that had passed such an answer on.
/// The same is brought about here by twelve replicas before six nodes under a light load.
#include "limited_fleet.h"

using namespace spurrack;
using namespace spurrack::rate_limits;

namespace {

/// News reaches all nodes in contact within this time.
constexpr base::duration contact_time = seconds(3);

/// @return what a replica with a constant limit may get in four seconds.
double allowed_in_four_seconds(double limit) {
  return 1.5 * 4 * limit + 5;
}

/// Checks what a replica got since its limit was known.
void check_kept(const limited_fleet& fleet, unsigned replica, double limit, base::time_point since,
                const std::string& what) {
  const auto most = fleet.most_within(replica, seconds(4), since, true);
  BOOST_TEST(static_cast<double>(most) <= allowed_in_four_seconds(limit),
             what << ": " << most << " in 4 s at a limit of " << limit);
}

} // namespace

BOOST_AUTO_TEST_SUITE(limited_replica_test)

BOOST_AUTO_TEST_CASE(a_replica_gets_no_more_than_it_names) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    limited_fleet fleet({.seed = seed});
    fleet.load(40, seconds(3));
    fleet.set_limit(0, 1);
    fleet.set_limit(1, 1);
    const auto known_at = fleet.now + contact_time;
    fleet.load(40, seconds(20));
    for (const unsigned replica : {0U, 1U}) {
      check_kept(fleet, replica, 1, known_at, "seed " + std::to_string(seed));
    }
    BOOST_TEST(fleet.counts.refused + fleet.counts.failed == 0U, "seed " << seed);
  }
}

BOOST_AUTO_TEST_SUITE_END()
