/// Detection of restarts; a restart resets the observations on a replica. Published entries that
/// name no usable replica are ignored.
#include "replicas/replica_incarnations.h"

#include "base/random.h"
#include "model/residency.h"
#include "replicas/replica_chooser.h"
#include "replicas/replica_table.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace spurrack;
using namespace spurrack::serving;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

model::replica record_of(const std::string& id, std::optional<std::uint64_t> started_at,
                         const std::string& address = "10.0.0.1:80") {
  model::replica record;
  record.id = base::replica_id(id);
  record.service = "s";
  record.address = base::network_address(address);
  record.zone = base::zone_id("a");
  record.slots = 4;
  if (started_at) {
    record.incarnation = model::replica_incarnation{*started_at};
  }
  return record;
}

/// A table with three replicas in their first incarnation; `restart` restarts `r0`.
struct table_with_restart {
  table_with_restart() : table(base::node_id("n"), base::zone_id("a"), settings, random) {
    auto configuration = std::make_shared<model::serving_configuration>();
    model::service service;
    service.name = "s";
    service.cold_requests_per_second = 10;
    configuration->services["s"] = service;
    table.set_configuration(configuration);
    table.set_nodes({{base::zone_id("a"), {base::node_id("n")}}});
    for (unsigned index = 0; index < 3; ++index) {
      publish(record_of(name(index), 1000, "10.0.0." + std::to_string(index) + ":80"));
    }
    update();
  }

  static std::string name(unsigned index) { return "r" + std::to_string(index); }

  void publish(const model::replica& record) {
    published[record.id] = std::make_shared<model::replica>(record);
  }
  void update() { table.update(published, now); }
  void restart(base::duration cold_for = {}) {
    auto record = record_of("r0", 2000, "10.0.0.0:80");
    record.cold_for = cold_for;
    publish(record);
    update();
  }
  [[nodiscard]] const replica_state& state() const { return *table.find(r0); }
  [[nodiscard]] bool is_candidate(const base::replica_id& id) const {
    const auto found = table.candidates_for({service, content, anywhere, none}, now);
    return std::any_of(found.begin(), found.end(),
                       [&](const auto* candidate) { return candidate->record->id == id; });
  }

  const base::replica_id r0{"r0"};
  std::string service = "s";
  request_content content;
  model::residency anywhere = model::residency::everywhere();
  std::set<base::replica_id> none;
  serving_settings settings;
  base::seeded_random random{1};
  base::time_point now{std::chrono::hours(1)};
  std::map<base::replica_id, std::shared_ptr<const model::replica>> published;
  replica_table table;
};

} // namespace

BOOST_AUTO_TEST_SUITE(replica_incarnations_test)

BOOST_AUTO_TEST_CASE(another_start_time_under_the_same_id_is_a_restart) {
  replica_incarnations incarnations;
  BOOST_TEST(!incarnations.note_published(record_of("r", 1000, "a:1")).has_value());
  BOOST_TEST(!incarnations.note_published(record_of("r", 1000, "b:1")).has_value());
  const auto restart = incarnations.note_published(record_of("r", 500, "c:1"));
  BOOST_REQUIRE(restart.has_value());
  BOOST_TEST(restart->replica.text() == "r");
  BOOST_TEST(restart->earlier_address.text() == "b:1");
  BOOST_TEST(!incarnations.note_published(record_of("r", 500, "c:1")).has_value());
  BOOST_TEST(!incarnations.note_published(record_of("other", 7)).has_value());
}

BOOST_AUTO_TEST_CASE(a_record_without_incarnation_is_no_restart) {
  replica_incarnations incarnations;
  BOOST_TEST(!incarnations.note_published(record_of("r", std::nullopt)).has_value());
  BOOST_TEST(!incarnations.note_published(record_of("r", 1000)).has_value());
  BOOST_TEST(!incarnations.note_published(record_of("r", std::nullopt)).has_value());
  BOOST_TEST(!incarnations.note_published(record_of("r", 1000)).has_value());
  BOOST_TEST(incarnations.note_published(record_of("r", 2000)).has_value());
}

BOOST_AUTO_TEST_CASE(an_incarnation_is_kept_for_five_minutes_after_the_entry_is_removed) {
  replica_incarnations incarnations;
  const base::time_point now{std::chrono::hours(1)};
  incarnations.note_published(record_of("r", 1000));
  incarnations.note_unpublished(base::replica_id("r"), now);
  incarnations.forget_unpublished(now + minutes(2));
  BOOST_TEST(incarnations.note_published(record_of("r", 2000)).has_value());
  incarnations.note_unpublished(base::replica_id("r"), now);
  incarnations.forget_unpublished(now + minutes(5));
  BOOST_TEST(incarnations.size() == 0U);
}

BOOST_AUTO_TEST_CASE(fingerprints_differ_between_incarnations) {
  BOOST_TEST(incarnation_fingerprint_of(record_of("r", std::nullopt)) == 0U);
  const auto fingerprint = incarnation_fingerprint_of(record_of("r", 1'790'000'000'123));
  BOOST_TEST(fingerprint == incarnation_fingerprint_of(record_of("other", 1'790'000'000'123)));
  BOOST_TEST(fingerprint != incarnation_fingerprint_of(record_of("r", 1'790'000'000'124)));
  BOOST_TEST(fingerprint != incarnation_fingerprint_of(record_of("r", 1'790'000'060'123)));
  BOOST_TEST(fingerprint != 0U);
  BOOST_TEST(fingerprint < (1U << 21U));
}

BOOST_FIXTURE_TEST_CASE(a_restart_is_returned_once, table_with_restart) {
  BOOST_TEST(table.take_restarts().empty());
  restart();
  const auto restarts = table.take_restarts();
  BOOST_REQUIRE(restarts.size() == 1U);
  BOOST_TEST(restarts.front().replica == r0);
  BOOST_TEST(restarts.front().earlier_address.text() == "10.0.0.0:80");
  update();
  BOOST_TEST(table.take_restarts().empty());
}

BOOST_FIXTURE_TEST_CASE(a_changed_field_of_the_same_incarnation_keeps_observations,
                        table_with_restart) {
  table.note_failure(r0, now);
  auto record = record_of("r0", 1000, "10.0.0.0:80");
  record.slots = 8;
  publish(record);
  update();
  BOOST_TEST(table.take_restarts().empty());
  BOOST_TEST(state().failure_share > 0);
}

BOOST_FIXTURE_TEST_CASE(a_restart_ends_the_pause, table_with_restart) {
  table.note_unreachable(r0, now);
  table.note_unreachable(r0, now);
  BOOST_TEST(!is_candidate(r0));
  restart();
  BOOST_TEST(is_candidate(r0));
  table.note_unreachable(r0, now);
  BOOST_TEST((state().paused_until == now + settings.unreachable_backoff));
}

BOOST_FIXTURE_TEST_CASE(a_replaced_replica_accepts_work_after_a_restart, table_with_restart) {
  table.note_replaced(r0);
  BOOST_TEST(!is_candidate(r0));
  restart();
  BOOST_TEST(is_candidate(r0));
}

BOOST_FIXTURE_TEST_CASE(a_restart_resets_failures_slowdown_and_load, table_with_restart) {
  table.note_failure(r0, now);
  table.note_call_time(r0, seconds(9), seconds(1), now);
  table.note_load(r0, {50, 9, 4}, now);
  restart();
  BOOST_TEST(replica_table::failure_share_of(state(), now) == 0);
  BOOST_TEST(replica_table::slowdown_of(state(), now) == 1);
  BOOST_TEST(!state().reported_load.has_value());
  BOOST_TEST(replica_table::load_of(state(), now) == 0);
  BOOST_TEST(state().calls.bad(now) == 0);
  BOOST_TEST(!table.was_active_after(r0, {}));
}

BOOST_FIXTURE_TEST_CASE(a_restart_discards_health_reports_on_the_earlier_incarnation,
                        table_with_restart) {
  table.record_report(r0, base::node_id("x"), {replica_health::unresponsive, 0, 0, now}, now);
  table.record_report(r0, base::node_id("y"), {replica_health::unreachable, 0, 9, now}, now);
  BOOST_TEST(table.is_declared_down(r0, now));
  BOOST_TEST(!is_candidate(r0));
  restart();
  BOOST_TEST(!table.is_declared_down(r0, now));
  BOOST_TEST(is_candidate(r0));
  BOOST_TEST(replica_table::failure_share_of(state(), now) == 0);
  // A single report on the new incarnation, after two reports on the earlier incarnation.
  table.record_report(r0, base::node_id("x"), {replica_health::unresponsive, 0, 0, now}, now);
  BOOST_TEST(!table.is_declared_down(r0, now));
}

BOOST_FIXTURE_TEST_CASE(the_health_of_an_earlier_incarnation_is_not_reported, table_with_restart) {
  table.note_unresponsive(r0, now, now);
  restart();
  BOOST_TEST(!table.has_changed_health());
  BOOST_TEST(!replica_table::own_health_report(state(), now).has_value());
}

BOOST_FIXTURE_TEST_CASE(a_restart_empties_the_cold_bucket, table_with_restart) {
  restart(seconds(10));
  BOOST_TEST((state().cold_until == now + seconds(10)));
  BOOST_TEST(!is_candidate(r0));
  now += seconds(3);
  BOOST_TEST(is_candidate(r0));
  // Another restart empties the token bucket that limits the calls to the cold replica: the token
  // that was saved for the earlier incarnation cannot be used.
  auto record = record_of("r0", 3000, "10.0.0.0:80");
  record.cold_for = seconds(4);
  publish(record);
  update();
  BOOST_TEST(!is_candidate(r0));
  BOOST_TEST((state().cold_until == now + seconds(4)));
}

BOOST_FIXTURE_TEST_CASE(a_warm_restart_ends_the_cold_time, table_with_restart) {
  table.note_cold(r0, seconds(60), now);
  BOOST_TEST(!is_candidate(r0));
  restart();
  BOOST_TEST(is_candidate(r0));
}

BOOST_FIXTURE_TEST_CASE(calls_in_flight_stay_counted_across_a_restart, table_with_restart) {
  table.call_started(r0, now);
  table.call_started(r0, now);
  restart();
  BOOST_TEST(state().in_flight == 2U);
  table.call_ended(r0);
  table.call_ended(r0);
  BOOST_TEST(state().in_flight == 0U);
}

BOOST_FIXTURE_TEST_CASE(calls_begun_before_a_restart_is_seen_were_sent_to_the_earlier_incarnation,
                        table_with_restart) {
  const auto began_at = now;
  BOOST_TEST(!table.was_sent_to_earlier_incarnation(r0, began_at));
  now += seconds(1);
  restart();
  BOOST_TEST(table.was_sent_to_earlier_incarnation(r0, began_at));
  now += milliseconds(1);
  BOOST_TEST(!table.was_sent_to_earlier_incarnation(r0, now));
  BOOST_TEST(!table.was_sent_to_earlier_incarnation(base::replica_id("r1"), began_at));
  BOOST_TEST(!table.was_sent_to_earlier_incarnation(base::replica_id("nobody"), began_at));
}

BOOST_FIXTURE_TEST_CASE(calls_begun_after_a_failed_connection_were_sent_to_the_new_incarnation,
                        table_with_restart) {
  const auto at_earlier_incarnation = now;
  now += seconds(1);
  table.note_unreachable(r0, now);
  now += seconds(1);
  const auto at_new_incarnation = now;
  now += seconds(1);
  table.note_activity(r0, now);
  now += seconds(2);
  restart();
  BOOST_TEST(table.was_sent_to_earlier_incarnation(r0, at_earlier_incarnation));
  BOOST_TEST(!table.was_sent_to_earlier_incarnation(r0, at_new_incarnation));
}

BOOST_FIXTURE_TEST_CASE(a_failed_connection_a_minute_ago_is_not_taken_as_the_time_of_a_restart,
                        table_with_restart) {
  table.note_unreachable(r0, now);
  now += seconds(1);
  table.note_activity(r0, now);
  now += minutes(1);
  const auto began_at = now;
  restart();
  BOOST_TEST(table.was_sent_to_earlier_incarnation(r0, began_at));
}

BOOST_FIXTURE_TEST_CASE(a_restart_is_seen_after_the_entry_was_unpublished, table_with_restart) {
  published.erase(r0);
  update();
  now += seconds(20);
  restart();
  BOOST_TEST(table.take_restarts().size() == 1U);
  BOOST_TEST(table.was_sent_to_earlier_incarnation(r0, now - seconds(1)));
}

BOOST_FIXTURE_TEST_CASE(the_same_incarnation_published_again_is_no_restart, table_with_restart) {
  published.erase(r0);
  update();
  now += seconds(20);
  publish(record_of("r0", 1000, "10.0.0.0:80"));
  update();
  BOOST_TEST(table.take_restarts().empty());
}

BOOST_FIXTURE_TEST_CASE(a_replica_of_an_unknown_service_is_ignored, table_with_restart) {
  auto unknown = record_of("x", 1000, "10.0.0.0:80");
  unknown.service = "unknown";
  publish(unknown);
  update();
  BOOST_TEST(table.find(base::replica_id("x")) == nullptr);
  BOOST_TEST(table.accepting_calls("unknown", now).empty());
  // The ignored replica has the address of r0; `find_at` still returns r0.
  BOOST_TEST(table.find_at(base::network_address("10.0.0.0:80"))->record->id == r0);
  // A replica that changes to an unknown service is removed.
  auto moved = record_of("r1", 1000, "10.0.0.1:80");
  moved.service = "unknown";
  publish(moved);
  update();
  BOOST_TEST(table.find(base::replica_id("r1")) == nullptr);
  BOOST_TEST(is_candidate(r0));
}

BOOST_FIXTURE_TEST_CASE(a_replica_stays_after_its_service_is_removed_from_the_configuration,
                        table_with_restart) {
  table.set_configuration(std::make_shared<model::serving_configuration>());
  publish(record_of("late", 1000, "10.0.0.8:80"));
  update();
  BOOST_TEST(is_candidate(r0));
  BOOST_TEST(table.find(base::replica_id("late")) == nullptr);
}

BOOST_FIXTURE_TEST_CASE(replicas_with_one_address_are_both_candidates_until_one_is_replaced,
                        table_with_restart) {
  publish(record_of("r9", 1000, "10.0.0.0:80"));
  update();
  BOOST_TEST(is_candidate(r0));
  BOOST_TEST(is_candidate(base::replica_id("r9")));
  table.note_replaced(base::replica_id("r9"));
  BOOST_TEST(is_candidate(r0));
  BOOST_TEST(!is_candidate(base::replica_id("r9")));
  published.erase(base::replica_id("r9"));
  update();
  BOOST_TEST(table.find_at(base::network_address("10.0.0.0:80"))->record->id == r0);
}

BOOST_AUTO_TEST_SUITE_END()
