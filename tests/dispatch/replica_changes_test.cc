/// Incremental updates of a large replica table: the cost of a change, and equality with a full
/// update.
#include "serving_fixture.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace spurrack;
using namespace spurrack::serving;

namespace {

/// A dispatcher that knows `size` replicas besides those of `published_catalog`.
struct large_fleet_driver : dispatcher_driver {
  explicit large_fleet_driver(int size) {
    for (int number = 0; number < size; ++number) {
      published.add_replica(replica_name(number), "llm", number % 2 == 0 ? "a" : "b");
    }
    subject.update(published.content, now);
  }

  static std::string replica_name(int number) { return "r" + std::to_string(number); }
  /// Updates the dispatcher with the published catalog.
  /// @return number of replica records that the update compared.
  std::uint64_t records_compared_by_update() {
    const auto before = subject.replicas().records_compared();
    subject.update(published.content, now);
    return subject.replicas().records_compared() - before;
  }
};

/// Checks that both tables find the same replicas by id, service and address.
void check_same_tables(const replica_table& incremental, const replica_table& full) {
  BOOST_REQUIRE_EQUAL(incremental.all().size(), full.all().size());
  for (const auto& [id, state] : full.all()) {
    const auto* incremental_state = incremental.find(id);
    BOOST_REQUIRE(incremental_state != nullptr);
    BOOST_TEST((incremental_state->record == state.record));
    // Several replicas may have the same address.
    const auto& address = state.record->address;
    BOOST_TEST((incremental.find_at(address)->record == full.find_at(address)->record));
  }
  for (const std::string service : {"llm", "plain", "pool", "other"}) {
    const auto& found = incremental.of_service(service);
    const auto& expected = full.of_service(service);
    BOOST_TEST(std::equal(
        found.begin(), found.end(), expected.begin(), expected.end(),
        [](const auto* left, const auto* right) { return left->record == right->record; }));
  }
  BOOST_TEST((incremental.replicas_of_unknown_services() == full.replicas_of_unknown_services()));
}

} // namespace

BOOST_AUTO_TEST_SUITE(replica_changes_test)

BOOST_AUTO_TEST_CASE(update_with_one_changed_replica_compares_one_record) {
  for (const int size : {250, 1'000}) {
    large_fleet_driver node(size);
    node.published.add_replica(large_fleet_driver::replica_name(7), "llm", "a", true);
    BOOST_TEST(node.records_compared_by_update() == 1U);
    BOOST_TEST(node.subject.replicas().find(base::replica_id("r7"))->record->draining);
    node.published.remove_replica(large_fleet_driver::replica_name(8));
    BOOST_TEST(node.records_compared_by_update() == 0U);
    BOOST_TEST(node.subject.replicas().find(base::replica_id("r8")) == nullptr);
    BOOST_TEST(node.records_compared_by_update() == 0U);
  }
}

BOOST_AUTO_TEST_CASE(update_with_new_configuration_compares_each_record_once) {
  large_fleet_driver node(250);
  node.published.publish_configuration();
  BOOST_TEST(node.records_compared_by_update() == node.published.content.replicas().size());
}

BOOST_AUTO_TEST_CASE(more_changes_than_the_change_log_keeps_are_applied) {
  large_fleet_driver node(10);
  for (std::size_t change = 0; change <= catalog::change_log::max_kept_changes; ++change) {
    node.published.add_replica("r3", "llm", change % 2 == 0 ? "a" : "b");
  }
  node.published.remove_replica("r4");
  node.subject.update(node.published.content, node.now);
  const auto& replicas = node.subject.replicas();
  BOOST_TEST(replicas.find(base::replica_id("r4")) == nullptr);
  BOOST_TEST((replicas.find(base::replica_id("r3"))->record ==
              node.published.content.replicas().at(base::replica_id("r3"))));
}

BOOST_AUTO_TEST_CASE(incremental_updates_equal_full_update) {
  const std::string services[] = {"llm", "plain", "pool", "other"};
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    base::seeded_random random(seed);
    large_fleet_driver node(20);
    for (int round = 0; round < 60; ++round) {
      for (std::uint64_t change = random.below(6); change > 0; --change) {
        const auto id = large_fleet_driver::replica_name(static_cast<int>(random.below(24)));
        if (random.below(4) == 0 &&
            node.published.content.replicas().contains(base::replica_id(id))) {
          node.published.remove_replica(id);
        } else {
          // Some replicas get the address of another replica or of a removed replica.
          node.published.add_incarnation(id, services[random.below(4)], "a",
                                         "10.1.0." + std::to_string(random.below(12)) + ":80",
                                         1 + random.below(3));
        }
      }
      if (random.below(20) == 0) {
        node.published.publish_configuration();
      }
      node.subject.update(node.published.content, node.now);
    }
    node.published.publish_configuration();
    node.subject.update(node.published.content, node.now);
    serving_settings settings;
    replica_table full(base::node_id("n"), base::zone_id("a"), settings, random);
    full.set_configuration(node.published.content.serving());
    full.update(node.published.content.replicas(), node.now);
    for (const auto& [id, state] : node.subject.replicas().all()) {
      // Replicas whose service is no longer configured are kept; here all services stay configured.
      BOOST_TEST(full.find(id) != nullptr);
    }
    check_same_tables(node.subject.replicas(), full);
  }
}

BOOST_AUTO_TEST_SUITE_END()
