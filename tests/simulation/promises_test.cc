/// Checks the invariants of simulated fleets under seeded random faults. Also checks that a run
/// with any single safety mechanism switched off violates an invariant, to show that the checks can
/// fail.
#include "simulation/random_faults.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

namespace {

using namespace spurrack;
using base::safety_switches;
using simulation::fault_kind;

void require_no_violations(const simulation::run_options& options) {
  const auto report = simulation::run_with_faults(options);
  for (const auto& violation : report.violations) {
    BOOST_ERROR("seed " << options.seed << ": " << violation.invariant << ": " << violation.detail);
  }
  if (!report.violations.empty()) {
    BOOST_TEST_MESSAGE(report.timeline);
  }
  BOOST_TEST(report.completed > 0U);
}

/// Seeds that once found a fault in the code: a stale request was executed after a suspension of
/// its node (8, 10, 20, 37); a node that was suspended during its graceful stop exited without
/// answering requests (998, 1126, 1308, 20112); several suspensions in a row (41).
constexpr std::uint64_t regression_seeds[] = {8, 10, 20, 37, 41, 998, 1126, 1308, 20112};

constexpr std::uint64_t first_ci_seed = 1;
constexpr std::uint64_t ci_seed_count = 150;

/// Safety mechanism, the fault for which the mechanism is needed, and the invariant that is
/// violated if the mechanism is switched off.
struct disabled_mechanism {
  const char* name;
  bool safety_switches::*safety_switch;
  fault_kind fault;
  const char* violated_invariant;
};

std::ostream& operator<<(std::ostream& out, const disabled_mechanism& row) {
  return out << row.name;
}

const disabled_mechanism disabled_mechanisms[] = {
    {"witness_majority", &safety_switches::witness_majority, fault_kind::node_kill, "at most once"},
    {"young_witness_wait", &safety_switches::young_witness_wait, fault_kind::node_kill,
     "at most once"},
    {"ticket_binds_process", &safety_switches::ticket_binds_process, fault_kind::node_kill,
     "at most once"},
    {"no_repeat_after_send", &safety_switches::no_repeat_after_send, fault_kind::bad_answers,
     "at most once"},
    {"answer_identity_check", &safety_switches::answer_identity_check, fault_kind::bad_answers,
     "the whole answer to its own request"},
    {"revision_order", &safety_switches::revision_order, fault_kind::platform_restored,
     "configuration never reverts"},
    {"leave_notices", &safety_switches::leave_notices, fault_kind::backend_leaving,
     "a leaving back end gets no new work"},
    {"truthful_outcome", &safety_switches::truthful_outcome, fault_kind::freeze_before_effect,
     "'not run' is true"},
    {"expiry_check_before_send", &safety_switches::expiry_check_before_send,
     fault_kind::freeze_before_effect, "no effect after its deadline"},
    {"drain_before_stop", &safety_switches::drain_before_stop, fault_kind::node_stop,
     "a planned stop cuts no request"}};

} // namespace

BOOST_AUTO_TEST_SUITE(promises)

BOOST_DATA_TEST_CASE(invariants_hold_for_regression_seeds,
                     boost::unit_test::data::make(regression_seeds), seed) {
  simulation::run_options options;
  options.seed = seed;
  require_no_violations(options);
}

BOOST_AUTO_TEST_CASE(invariants_hold_for_many_seeds) {
  for (auto seed = first_ci_seed; seed < first_ci_seed + ci_seed_count; ++seed) {
    simulation::run_options options;
    options.seed = seed;
    require_no_violations(options);
  }
}

BOOST_AUTO_TEST_CASE(invariants_hold_for_each_fault_alone_and_each_pair_of_faults) {
  std::uint64_t seed = 50'000;
  for (std::size_t first = 0; first < simulation::fault_kind_count; ++first) {
    for (std::size_t second = first; second < simulation::fault_kind_count; ++second) {
      simulation::run_options options;
      options.seed = ++seed;
      options.faults = {static_cast<fault_kind>(first), static_cast<fault_kind>(second)};
      require_no_violations(options);
    }
  }
}

BOOST_DATA_TEST_CASE(an_invariant_is_violated_if_a_safety_mechanism_is_off,
                     boost::unit_test::data::make(disabled_mechanisms), row) {
  constexpr std::uint64_t max_seeds = 20;
  bool is_found = false;
  for (std::uint64_t seed = 1; seed <= max_seeds && !is_found; ++seed) {
    simulation::run_options options;
    options.seed = seed;
    options.faults = {row.fault};
    options.switches.*row.safety_switch = false;
    for (const auto& violation : simulation::run_with_faults(options).violations) {
      is_found = is_found || violation.invariant == row.violated_invariant;
    }
  }
  BOOST_TEST(is_found, row.name << " switched off violates no invariant");
}

BOOST_AUTO_TEST_SUITE_END()
