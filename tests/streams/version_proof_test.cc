/// Guards against a stream that goes on at the only version that a node knows of although another
/// one may have begun it: age and silence count as evidence of what they cannot show.
#include "streams/version_proof.h"

#include <boost/test/unit_test.hpp>

using namespace spurrack;
using namespace spurrack::streams;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const base::software_version v1{"v1"};
const base::software_version v2{"v2"};
const base::time_point lost_by{std::chrono::hours(1)};

/// @return a stream that may have begun ten seconds before its client lost it, at a node that knows
///         of one version for longer and has verified its list since.
version_case proven_case() {
  version_case known;
  known.published = {v1};
  known.own = {version_knowledge::one, sole_version{v1, lost_by - seconds(20), lost_by}};
  known.earliest_begin = lost_by - seconds(10);
  known.lost_by = lost_by;
  known.unbroken_since = lost_by - seconds(23);
  known.verified_at = lost_by;
  known.max_gap = seconds(3);
  return known;
}

} // namespace

BOOST_AUTO_TEST_SUITE(version_proof_test)

BOOST_AUTO_TEST_CASE(a_list_that_reaches_back_and_was_verified_since_is_a_proof) {
  BOOST_TEST((judge(proven_case()) == version_verdict::proven_by_own_list));
}

// Guards against a list that was complete before the stream may have begun at a newer version.
BOOST_AUTO_TEST_CASE(a_list_of_any_age_proves_nothing_of_the_time_since) {
  for (const auto age : {1, 100, 2900, 60'000}) {
    auto known = proven_case();
    known.verified_at = lost_by - milliseconds(age);
    BOOST_TEST((judge(known) == version_verdict::needs_verified_list), age << " ms");
  }
  auto known = proven_case();
  known.verified_at.reset();
  BOOST_TEST((judge(known) == version_verdict::needs_verified_list));
}

// Guards against nodes that vouch for each other by lists that are equally old.
BOOST_AUTO_TEST_CASE(other_nodes_do_not_replace_a_verified_list) {
  auto known = proven_case();
  known.finding.sole = sole_version{v1, lost_by - seconds(100), lost_by};
  known.finding.queried = known.finding.answered = 4;
  known.verified_at = lost_by - milliseconds(1);
  BOOST_TEST((judge(known) == version_verdict::needs_verified_list));
}

BOOST_AUTO_TEST_CASE(other_nodes_prove_the_time_before_the_own_list_without_a_gap) {
  auto known = proven_case();
  known.own.sole->since = lost_by - seconds(5);
  known.unbroken_since = lost_by - seconds(8);
  BOOST_TEST((judge(known) == version_verdict::begun_too_early));
  known.finding.sole = sole_version{v1, lost_by - seconds(60), lost_by - seconds(9)};
  BOOST_TEST((judge(known) == version_verdict::proven_by_other_nodes));
  known.finding.sole->through = lost_by - seconds(12);
  BOOST_TEST((judge(known) == version_verdict::begun_too_early));
  known.finding.sole = sole_version{v1, lost_by - seconds(9), lost_by};
  BOOST_TEST((judge(known) == version_verdict::begun_too_early));
}

// Guards against a wait for a verified list that then turns out to have a gap.
BOOST_AUTO_TEST_CASE(a_list_that_is_too_old_settles_nothing_by_a_later_confirmation) {
  auto known = proven_case();
  known.own.knowledge = version_knowledge::outdated;
  known.unbroken_since = lost_by;
  known.verified_at = lost_by - seconds(5);
  BOOST_TEST((judge(known) == version_verdict::begun_too_early));
  known.finding.sole = sole_version{v1, lost_by - seconds(60), lost_by - seconds(1)};
  BOOST_TEST((judge(known) == version_verdict::needs_verified_list));
}

BOOST_AUTO_TEST_CASE(a_second_version_that_anyone_knows_refutes) {
  auto known = proven_case();
  known.own = {version_knowledge::several, std::nullopt};
  BOOST_TEST((judge(known) == version_verdict::several_versions));
  known = proven_case();
  known.published = {v1, v2};
  BOOST_TEST((judge(known) == version_verdict::several_versions));
  known = proven_case();
  known.finding.peers_know_several_versions = true;
  BOOST_TEST((judge(known) == version_verdict::several_versions));
  known = proven_case();
  known.finding.is_contradictory = true;
  BOOST_TEST((judge(known) == version_verdict::several_versions));
  known = proven_case();
  known.finding.sole = sole_version{v2, lost_by - seconds(60), lost_by};
  BOOST_TEST((judge(known) == version_verdict::several_versions));
  known = proven_case();
  known.finding.unbound_origin = stream_origin{"llm", v2};
  BOOST_TEST((judge(known) == version_verdict::several_versions));
}

// Guards against a stream that goes on at the service that today's weights choose, and not at the
// one that began it.
BOOST_AUTO_TEST_CASE(the_only_version_of_one_of_several_services_proves_nothing) {
  auto known = proven_case();
  known.is_route_split = true;
  BOOST_TEST((judge(known) == version_verdict::several_services));
}

BOOST_AUTO_TEST_CASE(without_a_published_version_nothing_is_proven) {
  auto known = proven_case();
  known.published.clear();
  BOOST_TEST((judge(known) == version_verdict::begun_too_early));
}

BOOST_AUTO_TEST_SUITE_END()
