/// What a node keeps of a replica ends with its life; entries that name no usable replica.
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

/// A table with three replicas in their first life; `r0` starts again.
struct reborn_table {
  reborn_table() : table(base::node_id("n"), base::zone_id("a"), settings, random) {
    auto configuration = std::make_shared<model::serving_configuration>();
    model::service service;
    service.name = "s";
    service.cold_requests_per_second = 10;
    configuration->services["s"] = service;
    table.set_configuration(configuration);
    table.set_nodes({{base::zone_id("a"), {base::node_id("n")}}});
    for (unsigned index = 0; index < 3; ++index) {
      put(record_of(name(index), 1000, "10.0.0." + std::to_string(index) + ":80"));
    }
    update();
  }

  static std::string name(unsigned index) { return "r" + std::to_string(index); }

  void put(const model::replica& record) {
    published[record.id] = std::make_shared<model::replica>(record);
  }
  void update() { table.update(published, now); }
  void restart(base::duration cold_for = {}) {
    auto record = record_of("r0", 2000, "10.0.0.0:80");
    record.cold_for = cold_for;
    put(record);
    update();
  }
  [[nodiscard]] const replica_state& state() const { return *table.find(r0); }
  [[nodiscard]] bool is_candidate(const base::replica_id& id) const {
    const auto found = table.candidates_for({service, content, anywhere, none}, now);
    return std::any_of(found.begin(), found.end(),
                       [&](const auto* one) { return one->record->id == id; });
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

BOOST_AUTO_TEST_SUITE(replica_lives_test)

BOOST_AUTO_TEST_CASE(another_start_under_the_same_id_is_a_restart) {
  replica_incarnations lives;
  BOOST_TEST(!lives.note_published(record_of("r", 1000, "a:1")).has_value());
  BOOST_TEST(!lives.note_published(record_of("r", 1000, "b:1")).has_value());
  const auto restart = lives.note_published(record_of("r", 500, "c:1"));
  BOOST_REQUIRE(restart.has_value());
  BOOST_TEST(restart->replica.text() == "r");
  BOOST_TEST(restart->earlier_address.text() == "b:1");
  BOOST_TEST(!lives.note_published(record_of("r", 500, "c:1")).has_value());
  BOOST_TEST(!lives.note_published(record_of("other", 7)).has_value());
}

BOOST_AUTO_TEST_CASE(a_replica_that_does_not_tell_its_life_goes_on_with_the_one_told_last) {
  replica_incarnations lives;
  BOOST_TEST(!lives.note_published(record_of("r", std::nullopt)).has_value());
  BOOST_TEST(!lives.note_published(record_of("r", 1000)).has_value());
  BOOST_TEST(!lives.note_published(record_of("r", std::nullopt)).has_value());
  BOOST_TEST(!lives.note_published(record_of("r", 1000)).has_value());
  BOOST_TEST(lives.note_published(record_of("r", 2000)).has_value());
}

BOOST_AUTO_TEST_CASE(a_life_is_remembered_for_a_while_after_the_entry_is_gone) {
  replica_incarnations lives;
  const base::time_point now{std::chrono::hours(1)};
  lives.note_published(record_of("r", 1000));
  lives.note_gone(base::replica_id("r"), now);
  lives.forget_gone(now + minutes(2));
  BOOST_TEST(lives.note_published(record_of("r", 2000)).has_value());
  lives.note_gone(base::replica_id("r"), now);
  lives.forget_gone(now + minutes(5));
  BOOST_TEST(lives.size() == 0U);
}

BOOST_AUTO_TEST_CASE(marks_tell_lives_apart) {
  BOOST_TEST(incarnation_fingerprint_of(record_of("r", std::nullopt)) == 0U);
  const auto mark = incarnation_fingerprint_of(record_of("r", 1'790'000'000'123));
  BOOST_TEST(mark == incarnation_fingerprint_of(record_of("other", 1'790'000'000'123)));
  BOOST_TEST(mark != incarnation_fingerprint_of(record_of("r", 1'790'000'000'124)));
  BOOST_TEST(mark != incarnation_fingerprint_of(record_of("r", 1'790'000'060'123)));
  BOOST_TEST(mark != 0U);
  BOOST_TEST(mark < (1U << 21U));
}

BOOST_FIXTURE_TEST_CASE(a_restart_is_told_once, reborn_table) {
  BOOST_TEST(table.take_restarts().empty());
  restart();
  const auto restarts = table.take_restarts();
  BOOST_REQUIRE(restarts.size() == 1U);
  BOOST_TEST(restarts.front().replica == r0);
  BOOST_TEST(restarts.front().earlier_address.text() == "10.0.0.0:80");
  update();
  BOOST_TEST(table.take_restarts().empty());
}

BOOST_FIXTURE_TEST_CASE(another_field_of_the_same_life_keeps_what_was_seen, reborn_table) {
  table.note_failure(r0, now);
  auto record = record_of("r0", 1000, "10.0.0.0:80");
  record.slots = 8;
  put(record);
  update();
  BOOST_TEST(table.take_restarts().empty());
  BOOST_TEST(state().failure_share > 0);
}

BOOST_FIXTURE_TEST_CASE(a_pause_ends_with_the_life_it_was_for, reborn_table) {
  table.note_unreachable(r0, now);
  table.note_unreachable(r0, now);
  BOOST_TEST(!is_candidate(r0));
  restart();
  BOOST_TEST(is_candidate(r0));
  table.note_unreachable(r0, now);
  BOOST_TEST((state().paused_until == now + settings.unreachable_pause));
}

BOOST_FIXTURE_TEST_CASE(one_that_left_takes_work_in_its_next_life, reborn_table) {
  table.note_replaced(r0);
  BOOST_TEST(!is_candidate(r0));
  restart();
  BOOST_TEST(is_candidate(r0));
}

BOOST_FIXTURE_TEST_CASE(failures_speed_and_load_are_those_of_one_life, reborn_table) {
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

BOOST_FIXTURE_TEST_CASE(what_others_said_of_one_life_is_no_evidence_on_the_next, reborn_table) {
  table.record_report(r0, base::node_id("x"), {replica_health::unresponsive, 0, 0, now}, now);
  table.record_report(r0, base::node_id("y"), {replica_health::unreachable, 0, 9, now}, now);
  BOOST_TEST(table.is_declared_down(r0, now));
  BOOST_TEST(!is_candidate(r0));
  restart();
  BOOST_TEST(!table.is_declared_down(r0, now));
  BOOST_TEST(is_candidate(r0));
  BOOST_TEST(replica_table::failure_share_of(state(), now) == 0);
  // One vote alone, after two in the earlier life.
  table.record_report(r0, base::node_id("x"), {replica_health::unresponsive, 0, 0, now}, now);
  BOOST_TEST(!table.is_declared_down(r0, now));
}

BOOST_FIXTURE_TEST_CASE(nothing_of_an_earlier_life_is_reported_to_other_nodes, reborn_table) {
  table.note_unresponsive(r0, now);
  restart();
  BOOST_TEST(!table.has_changed());
  BOOST_TEST(!replica_table::own_health_report(state(), now).has_value());
}

BOOST_FIXTURE_TEST_CASE(the_bound_on_a_cold_replica_begins_anew, reborn_table) {
  restart(seconds(10));
  BOOST_TEST((state().cold_until == now + seconds(10)));
  BOOST_TEST(!is_candidate(r0));
  now += seconds(3);
  BOOST_TEST(is_candidate(r0));
  // It starts once more; what was gathered for the life before is not spent on this one.
  auto record = record_of("r0", 3000, "10.0.0.0:80");
  record.cold_for = seconds(4);
  put(record);
  update();
  BOOST_TEST(!is_candidate(r0));
  BOOST_TEST((state().cold_until == now + seconds(4)));
}

BOOST_FIXTURE_TEST_CASE(a_warm_start_ends_the_cold_time_of_the_life_before, reborn_table) {
  table.note_cold(r0, seconds(60), now);
  BOOST_TEST(!is_candidate(r0));
  restart();
  BOOST_TEST(is_candidate(r0));
}

BOOST_FIXTURE_TEST_CASE(calls_that_are_not_ended_stay_counted_until_they_are, reborn_table) {
  table.call_started(r0, now);
  table.call_started(r0, now);
  restart();
  BOOST_TEST(state().in_flight == 2U);
  table.call_ended(r0);
  table.call_ended(r0);
  BOOST_TEST(state().in_flight == 0U);
}

BOOST_FIXTURE_TEST_CASE(calls_begun_before_the_news_are_at_the_earlier_life, reborn_table) {
  const auto began = now;
  BOOST_TEST(!table.is_at_earlier_incarnation(r0, began));
  now += seconds(1);
  restart();
  BOOST_TEST(table.is_at_earlier_incarnation(r0, began));
  now += milliseconds(1);
  BOOST_TEST(!table.is_at_earlier_incarnation(r0, now));
  BOOST_TEST(!table.is_at_earlier_incarnation(base::replica_id("r1"), began));
  BOOST_TEST(!table.is_at_earlier_incarnation(base::replica_id("nobody"), began));
}

BOOST_FIXTURE_TEST_CASE(calls_after_it_came_back_unlisted_are_at_the_new_life, reborn_table) {
  const auto at_old_life = now;
  now += seconds(1);
  table.note_unreachable(r0, now);
  now += seconds(1);
  const auto at_new_life = now;
  now += seconds(1);
  table.note_activity(r0, now);
  now += seconds(2);
  restart();
  BOOST_TEST(table.is_at_earlier_incarnation(r0, at_old_life));
  BOOST_TEST(!table.is_at_earlier_incarnation(r0, at_new_life));
}

BOOST_FIXTURE_TEST_CASE(a_break_of_long_ago_says_nothing_of_a_restart, reborn_table) {
  table.note_unreachable(r0, now);
  now += seconds(1);
  table.note_activity(r0, now);
  now += minutes(1);
  const auto began = now;
  restart();
  BOOST_TEST(table.is_at_earlier_incarnation(r0, began));
}

BOOST_FIXTURE_TEST_CASE(one_that_was_gone_from_the_list_comes_back_in_another_life, reborn_table) {
  published.erase(r0);
  update();
  now += seconds(20);
  restart();
  BOOST_TEST(table.take_restarts().size() == 1U);
  BOOST_TEST(table.is_at_earlier_incarnation(r0, now - seconds(1)));
}

BOOST_FIXTURE_TEST_CASE(one_that_was_gone_from_the_list_comes_back_in_the_same_life, reborn_table) {
  published.erase(r0);
  update();
  now += seconds(20);
  put(record_of("r0", 1000, "10.0.0.0:80"));
  update();
  BOOST_TEST(table.take_restarts().empty());
}

BOOST_FIXTURE_TEST_CASE(a_replica_of_a_service_that_nobody_knows_is_none, reborn_table) {
  auto stranger = record_of("x", 1000, "10.0.0.0:80");
  stranger.service = "unknown";
  put(stranger);
  update();
  BOOST_TEST(table.find(base::replica_id("x")) == nullptr);
  BOOST_TEST(table.accepting_calls("unknown", now).empty());
  // It claims the address of another and shadows it nowhere.
  BOOST_TEST(table.find_at(base::network_address("10.0.0.0:80"))->record->id == r0);
  // One that changes to such a service is a replica no longer.
  auto moved = record_of("r1", 1000, "10.0.0.1:80");
  moved.service = "unknown";
  put(moved);
  update();
  BOOST_TEST(table.find(base::replica_id("r1")) == nullptr);
  BOOST_TEST(is_candidate(r0));
}

BOOST_FIXTURE_TEST_CASE(a_replica_whose_service_is_configured_no_longer_stays_for_its_requests,
                        reborn_table) {
  table.set_configuration(std::make_shared<model::serving_configuration>());
  put(record_of("late", 1000, "10.0.0.8:80"));
  update();
  BOOST_TEST(is_candidate(r0));
  BOOST_TEST(table.find(base::replica_id("late")) == nullptr);
}

BOOST_FIXTURE_TEST_CASE(of_two_that_claim_an_address_both_are_tried_until_one_is_refused,
                        reborn_table) {
  put(record_of("r9", 1000, "10.0.0.0:80"));
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
