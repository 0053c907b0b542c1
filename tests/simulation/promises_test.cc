/// The promises under seeded faults; and each safety mechanism switched off breaks one of them, so
/// the checks are known to be able to fail.
#include "simulation/random_faults.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

namespace {

using namespace spurrack;
using base::safety_switches;
using simulation::fault_kind;

void require_kept(const simulation::run_options& options) {
  const auto report = simulation::run_with_faults(options);
  for (const auto& broken : report.violations) {
    BOOST_ERROR("seed " << options.seed << ": " << broken.invariant << ": " << broken.detail);
  }
  if (!report.violations.empty()) {
    BOOST_TEST_MESSAGE(report.timeline);
  }
  BOOST_TEST(report.completed > 0U);
}

/// Seeds that once found a fault: a stale request run after a pause (8, 10, 20, 37), requests cut
/// by a stop with a pause (998, 1126, 1308, 20112), a chain of pauses (41).
constexpr std::uint64_t regression_seeds[] = {8, 10, 20, 37, 41, 998, 1126, 1308, 20112};

constexpr std::uint64_t first_ci_seed = 1;
constexpr std::uint64_t ci_seeds = 150;

struct switched_off {
  const char* name;
  bool safety_switches::*mechanism;
  fault_kind fault;
  const char* broken;
};

std::ostream& operator<<(std::ostream& out, const switched_off& row) {
  return out << row.name;
}

const switched_off switched_off_rows[] = {
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

BOOST_DATA_TEST_CASE(hold_for_regression_seeds, boost::unit_test::data::make(regression_seeds),
                     seed) {
  simulation::run_options options;
  options.seed = seed;
  require_kept(options);
}

BOOST_AUTO_TEST_CASE(hold_for_many_seeds) {
  for (auto seed = first_ci_seed; seed < first_ci_seed + ci_seeds; ++seed) {
    simulation::run_options options;
    options.seed = seed;
    require_kept(options);
  }
}

BOOST_AUTO_TEST_CASE(hold_for_each_fault_alone_and_each_pair) {
  std::uint64_t seed = 50'000;
  for (std::size_t first = 0; first < simulation::fault_kind_count; ++first) {
    for (std::size_t second = first; second < simulation::fault_kind_count; ++second) {
      simulation::run_options options;
      options.seed = ++seed;
      options.faults = {static_cast<fault_kind>(first), static_cast<fault_kind>(second)};
      require_kept(options);
    }
  }
}

BOOST_DATA_TEST_CASE(break_with_a_mechanism_off, boost::unit_test::data::make(switched_off_rows),
                     row) {
  constexpr std::uint64_t most_seeds = 20;
  bool found = false;
  for (std::uint64_t seed = 1; seed <= most_seeds && !found; ++seed) {
    simulation::run_options options;
    options.seed = seed;
    options.faults = {row.fault};
    options.switches.*row.mechanism = false;
    for (const auto& broken : simulation::run_with_faults(options).violations) {
      found = found || broken.invariant == row.broken;
    }
  }
  BOOST_TEST(found, row.name << " off breaks nothing");
}

BOOST_AUTO_TEST_SUITE_END()
