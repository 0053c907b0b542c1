/// What other nodes say of replicas, and how far it is believed.
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

struct told_table {
  told_table() : table(base::node_id("n"), base::zone_id("a"), settings, random) { publish(6); }

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

  void say(unsigned replica, const std::string& witness, replica_health health, double bad = 0,
           double good = 0) {
    table.record_report(id(replica), base::node_id(witness), {sign, good, bad, now}, now);
  }

  [[nodiscard]] bool is_available(unsigned replica) const {
    return table.is_available(*table.find(id(replica)), now);
  }

  [[nodiscard]] replica_demand demand() const { return {service, content, anywhere, none}; }

  [[nodiscard]] bool is_candidate(unsigned replica) const {
    const auto found = table.candidates_for(demand(), now);
    return std::any_of(found.begin(), found.end(),
                       [&](const auto* state) { return state->record->id == id(replica); });
  }

  [[nodiscard]] unsigned accepting_calls() const {
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

BOOST_FIXTURE_TEST_SUITE(replica_evidence_test, told_table)

BOOST_AUTO_TEST_CASE(two_words_make_a_replica_rest_and_one_does_not) {
  say(0, "x", replica_health::unresponsive);
  say(0, "x", replica_health::unresponsive);
  BOOST_TEST(is_available(0));
  say(0, "y", replica_health::unreachable);
  BOOST_TEST(!is_available(0));
  BOOST_TEST(table.ejections() == 1U);
}

BOOST_AUTO_TEST_CASE(own_silence_counts_as_one_word) {
  table.note_unresponsive(id(0), now);
  BOOST_TEST(!table.is_declared_down(id(0), now));
  say(0, "x", replica_health::unresponsive);
  BOOST_TEST(table.is_declared_down(id(0), now));
}

BOOST_AUTO_TEST_CASE(who_hears_a_replica_does_not_believe_that_it_is_lost) {
  say(0, "x", replica_health::unresponsive);
  now += milliseconds(10);
  table.note_activity(id(0), now);
  now += milliseconds(10);
  say(0, "y", replica_health::unresponsive);
  BOOST_TEST(!table.is_declared_down(id(0), now));
  BOOST_TEST(is_available(0));
}

BOOST_AUTO_TEST_CASE(words_expire) {
  say(0, "x", replica_health::unresponsive);
  now += down_report_lifetime;
  say(0, "y", replica_health::unresponsive);
  BOOST_TEST(!table.is_declared_down(id(0), now));
}

BOOST_AUTO_TEST_CASE(a_witness_takes_its_word_back) {
  say(0, "x", replica_health::unresponsive);
  say(0, "x", replica_health::healthy);
  say(0, "y", replica_health::unresponsive);
  BOOST_TEST(is_available(0));
}

BOOST_AUTO_TEST_CASE(never_more_than_a_third_of_a_service_rest_on_the_word_of_others) {
  for (unsigned replica = 0; replica < 6; ++replica) {
    say(replica, "x", replica_health::unresponsive);
    say(replica, "y", replica_health::unresponsive);
  }
  BOOST_TEST(accepting_calls() == 4U);
}

BOOST_AUTO_TEST_CASE(the_way_back_is_one_request) {
  say(0, "x", replica_health::unresponsive);
  say(0, "y", replica_health::unresponsive);
  now += settings.unreachable_pause;
  BOOST_TEST(is_candidate(0));
  table.call_started(id(0), now);
  BOOST_TEST(!is_candidate(0));
  table.note_success(id(0), now + milliseconds(20));
  BOOST_TEST(is_candidate(0));
}

BOOST_AUTO_TEST_CASE(a_request_avoids_what_fails_for_others) {
  say(0, "x", replica_health::failing, 3, 0);
  least_loaded_chooser chooser(table, distance(base::zone_id("a"), {}), random);
  for (int choice = 0; choice < 100; ++choice) {
    const auto* chosen = chooser.choose(demand(), now);
    BOOST_REQUIRE(chosen != nullptr);
    BOOST_TEST(chosen->record->id != id(0));
  }
}

BOOST_AUTO_TEST_CASE(what_fails_everywhere_alike_says_nothing_of_a_replica) {
  for (int round = 0; round < 3; ++round) {
    for (unsigned replica = 0; replica < 6; ++replica) {
      say(replica, "x", replica_health::failing, 4, 6);
    }
  }
  for (unsigned replica = 0; replica < 6; ++replica) {
    BOOST_TEST(replica_table::failure_share_of(*table.find(id(replica)), now) == 0);
  }
  say(0, "y", replica_health::failing, 20, 0);
  BOOST_TEST(replica_table::failure_share_of(*table.find(id(0)), now) > 0.3);
}

BOOST_AUTO_TEST_CASE(many_good_calls_outweigh_a_failure_that_another_saw) {
  for (int call = 0; call < 50; ++call) {
    table.note_success(id(0), now);
  }
  say(0, "x", replica_health::failing, 1, 0);
  BOOST_TEST(replica_table::failure_share_of(*table.find(id(0)), now) < 0.03);
}

BOOST_AUTO_TEST_CASE(a_replica_that_was_never_heard_is_not_reported_as_well) {
  table.note_unreachable(id(0), now);
  const auto lost = replica_table::own_health_report(*table.find(id(0)), now);
  BOOST_REQUIRE(lost.has_value());
  BOOST_TEST((lost->health == replica_health::unreachable));
  now += down_report_lifetime + seconds(1);
  BOOST_TEST(!replica_table::own_health_report(*table.find(id(0)), now).has_value());
  table.note_success(id(0), now);
  const auto heard_at = now;
  now += seconds(1);
  const auto well = replica_table::own_health_report(*table.find(id(0)), now);
  BOOST_REQUIRE(well.has_value());
  BOOST_TEST((well->health == replica_health::healthy));
  BOOST_TEST((well->seen_at == heard_at));
}

BOOST_AUTO_TEST_CASE(a_new_publication_forgets_no_reports_of_failures) {
  for (unsigned replica = 0; replica < 6; ++replica) {
    say(replica, "w", replica_health::failing, 8, 2);
  }
  publish(6);
  say(0, "v", replica_health::failing, 8, 2);
  BOOST_TEST(replica_table::failure_share_of(*table.find(id(0)), now) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
