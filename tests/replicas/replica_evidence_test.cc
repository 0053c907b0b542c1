/// Health reports of other nodes on replicas and their effect on the choice of replicas.
#include "base/random.h"
#include "model/residency.h"
#include "replicas/least_loaded_chooser.h"
#include "replicas/replica_chooser.h"
#include "replicas/replica_table.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace spurrack;
using namespace spurrack::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct health_report_fixture {
  health_report_fixture() : table(base::node_id("n"), base::zone_id("a"), settings, random) {
    publish(6);
  }

  void publish(unsigned count) {
    for (unsigned index = 0; index < count; ++index) {
      auto replica = std::make_shared<model::replica>();
      replica->id = id(index);
      replica->service = "s";
      replica->address = base::network_address("10.0.0." + std::to_string(index) + ":80");
      replica->zone = base::zone_id("a");
      replica->slots = 4;
      published[replica->id] = replica;
    }
    table.update(published, now);
  }

  static base::replica_id id(unsigned index) {
    return base::replica_id("r" + std::to_string(index));
  }

  void report(unsigned replica, const std::string& reporter, replica_health health, double bad = 0,
              double good = 0) {
    table.record_report(id(replica), base::node_id(reporter), {health, good, bad, now}, now);
  }

  [[nodiscard]] bool is_available(unsigned replica) const {
    return table.is_available(*table.find(id(replica)), now);
  }

  [[nodiscard]] replica_requirements demand() const { return {service, content, anywhere, none}; }

  [[nodiscard]] bool is_candidate(unsigned replica) const {
    const auto found = table.candidates_for(demand(), now);
    return std::any_of(found.begin(), found.end(),
                       [&](const auto* state) { return state->record->id == id(replica); });
  }

  [[nodiscard]] unsigned available_replicas() const {
    unsigned count = 0;
    for (const auto& [name, state] : table.all()) {
      count += table.is_available(state, now) ? 1 : 0;
    }
    return count;
  }

  const std::string service = "s";
  const request_content content;
  const model::residency anywhere;
  const std::set<base::replica_id> none;
  serving_settings settings;
  base::seeded_random random{1};
  std::map<base::replica_id, std::shared_ptr<const model::replica>> published;
  replica_table table;
  base::time_point now{std::chrono::hours(1)};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(replica_evidence_test, health_report_fixture)

BOOST_AUTO_TEST_CASE(two_reporters_eject_a_replica_and_one_does_not) {
  report(0, "x", replica_health::unresponsive);
  report(0, "x", replica_health::unresponsive);
  BOOST_TEST(is_available(0));
  report(0, "y", replica_health::unreachable);
  BOOST_TEST(!is_available(0));
  BOOST_TEST(table.ejections() == 1U);
}

BOOST_AUTO_TEST_CASE(an_observation_of_this_node_counts_as_one_reporter) {
  table.note_unresponsive(id(0), now, now);
  BOOST_TEST(!table.is_declared_down(id(0), now));
  report(0, "x", replica_health::unresponsive);
  BOOST_TEST(table.is_declared_down(id(0), now));
}

BOOST_AUTO_TEST_CASE(a_replica_with_later_activity_is_not_declared_down) {
  report(0, "x", replica_health::unresponsive);
  now += milliseconds(10);
  table.note_activity(id(0), now);
  now += milliseconds(10);
  report(0, "y", replica_health::unresponsive);
  BOOST_TEST(!table.is_declared_down(id(0), now));
  BOOST_TEST(is_available(0));
}

BOOST_AUTO_TEST_CASE(down_reports_expire) {
  report(0, "x", replica_health::unresponsive);
  now += down_report_lifetime;
  report(0, "y", replica_health::unresponsive);
  BOOST_TEST(!table.is_declared_down(id(0), now));
}

BOOST_AUTO_TEST_CASE(a_healthy_report_replaces_the_down_report_of_its_reporter) {
  report(0, "x", replica_health::unresponsive);
  report(0, "x", replica_health::healthy);
  report(0, "y", replica_health::unresponsive);
  BOOST_TEST(is_available(0));
}

BOOST_AUTO_TEST_CASE(at_most_a_third_of_a_service_is_ejected) {
  for (unsigned replica = 0; replica < 6; ++replica) {
    report(replica, "x", replica_health::unresponsive);
    report(replica, "y", replica_health::unresponsive);
  }
  BOOST_TEST(available_replicas() == 4U);
}

BOOST_AUTO_TEST_CASE(one_probe_is_sent_after_an_ejection) {
  report(0, "x", replica_health::unresponsive);
  report(0, "y", replica_health::unresponsive);
  now += settings.unreachable_backoff;
  BOOST_TEST(is_candidate(0));
  table.call_started(id(0), now);
  BOOST_TEST(!is_candidate(0));
  table.note_success(id(0), now + milliseconds(20));
  BOOST_TEST(is_candidate(0));
}

BOOST_AUTO_TEST_CASE(a_replica_that_fails_for_other_nodes_is_avoided) {
  report(0, "x", replica_health::failing, 3, 0);
  least_loaded_chooser chooser(table, distance(base::zone_id("a"), {}), random);
  for (int choice = 0; choice < 100; ++choice) {
    const auto* chosen = chooser.choose(demand(), now);
    BOOST_REQUIRE(chosen != nullptr);
    BOOST_TEST(chosen->record->id != id(0));
  }
}

BOOST_AUTO_TEST_CASE(equal_failures_at_all_replicas_add_no_failure_share) {
  for (int round = 0; round < 3; ++round) {
    for (unsigned replica = 0; replica < 6; ++replica) {
      report(replica, "x", replica_health::failing, 4, 6);
    }
  }
  for (unsigned replica = 0; replica < 6; ++replica) {
    BOOST_TEST(replica_table::failure_share_of(*table.find(id(replica)), now) == 0);
  }
  report(0, "y", replica_health::failing, 20, 0);
  BOOST_TEST(replica_table::failure_share_of(*table.find(id(0)), now) > 0.3);
}

BOOST_AUTO_TEST_CASE(many_successful_calls_outweigh_one_reported_failure) {
  for (int call = 0; call < 50; ++call) {
    table.note_success(id(0), now);
  }
  report(0, "x", replica_health::failing, 1, 0);
  BOOST_TEST(replica_table::failure_share_of(*table.find(id(0)), now) < 0.03);
}

BOOST_AUTO_TEST_CASE(a_replica_without_activity_is_not_reported_healthy) {
  table.note_unreachable(id(0), now);
  const auto down_report = replica_table::own_health_report(*table.find(id(0)), now);
  BOOST_REQUIRE(down_report.has_value());
  BOOST_TEST((down_report->health == replica_health::unreachable));
  now += down_report_lifetime + seconds(1);
  BOOST_TEST(!replica_table::own_health_report(*table.find(id(0)), now).has_value());
  table.note_success(id(0), now);
  const auto active_at = now;
  now += seconds(1);
  const auto healthy_report = replica_table::own_health_report(*table.find(id(0)), now);
  BOOST_REQUIRE(healthy_report.has_value());
  BOOST_TEST((healthy_report->health == replica_health::healthy));
  BOOST_TEST((healthy_report->seen_at == active_at));
}

BOOST_AUTO_TEST_CASE(failure_reports_survive_an_update_of_the_published_replicas) {
  for (unsigned replica = 0; replica < 6; ++replica) {
    report(replica, "w", replica_health::failing, 8, 2);
  }
  publish(6);
  report(0, "v", replica_health::failing, 8, 2);
  BOOST_TEST(replica_table::failure_share_of(*table.find(id(0)), now) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
