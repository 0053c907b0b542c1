/// Guards against a request that crashes replicas and is acquitted by the runs that crashed them:
/// the answers have no framing, the exit of a replica closes its connections as if the answer were
/// whole.
#include "crash_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace spurrack;
using namespace spurrack::quarantine;

namespace {

constexpr std::uint64_t seed_count = 20;
/// Maximum number of replicas that one request may crash.
constexpr std::size_t max_exits = 5;
/// Time within which nodes in contact learn of each other's crash reports.
constexpr base::duration contact_time = seconds(3);
/// Maximum number of times that a request may reach a replica once all nodes know of the third exit
/// under it.
constexpr std::size_t max_late_sends = 3;
constexpr base::duration observed_time = seconds(20);

crash_fleet_settings settings_of(std::uint64_t seed) {
  return {.seed = seed, .keeps_ids_on_restart = seed % 2 == 0, .unframed_answers = true};
}

void check_limits(const crash_fleet& fleet) {
  for (const auto& body : fleet.crashing_bodies) {
    const auto exits = fleet.exits_under.find(body);
    BOOST_TEST(fleet.sends_after_third_exit(body, contact_time) <= max_late_sends);
    BOOST_TEST((exits == fleet.exits_under.end() ? 0 : exits->second.size()) <= max_exits);
  }
  for (const auto& body : fleet.quarantined_bodies()) {
    BOOST_TEST(fleet.crashing_bodies.contains(body), body + " was quarantined");
  }
}

/// @return share of the harmless attempts that were served.
double harmless_served_share(const crash_fleet& fleet) {
  std::size_t attempts = 0;
  std::size_t served = 0;
  for (const auto& [body, count] : fleet.counts) {
    if (!fleet.crashing_bodies.contains(body)) {
      attempts += count.attempts;
      served += count.served;
    }
  }
  return static_cast<double>(served) / static_cast<double>(std::max<std::size_t>(1, attempts));
}

} // namespace

BOOST_AUTO_TEST_SUITE(unframed_crash_test)

BOOST_AUTO_TEST_CASE(few_replicas_crash_if_answers_end_with_their_connections) {
  for (const std::string path : {"/stream/", "/fixed/"}) {
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
      crash_fleet fleet(settings_of(seed));
      fleet.crashing_bodies = {"guilty"};
      fleet.harmless_per_second = 20;
      fleet.harmless_path = path;
      fleet.clients_retry = true;
      fleet.run(seconds(1));
      fleet.send_repeatedly(path, "guilty", observed_time);
      BOOST_TEST_CONTEXT(path << ", seed " << seed) {
        check_limits(fleet);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(no_crashing_request_looks_complete_to_its_client) {
  for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
    crash_fleet fleet(settings_of(seed));
    fleet.crashing_bodies = {"guilty"};
    fleet.harmless_per_second = 10;
    fleet.send_repeatedly("/fixed/", "guilty", observed_time);
    BOOST_TEST_CONTEXT("seed " << seed) {
      BOOST_TEST(fleet.counts["guilty"].served == 0U);
    }
  }
}

BOOST_AUTO_TEST_CASE(harmless_requests_are_served_if_answers_end_with_their_connections) {
  constexpr double min_served_share = 0.99;
  for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
    crash_fleet fleet(settings_of(seed));
    fleet.harmless_per_second = 20;
    fleet.run(observed_time);
    fleet.harmless_per_second = 0;
    fleet.run(seconds(3));
    BOOST_TEST_CONTEXT("seed " << seed) {
      BOOST_TEST(harmless_served_share(fleet) >= min_served_share);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
