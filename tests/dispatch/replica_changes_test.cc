/// Replicas that change one after the other before a node that knows very many: what a change
/// costs, and that nothing is missed.
#include "serving_fixture.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace spurrack;
using namespace spurrack::serving;

namespace {

/// A dispatcher that knows many replicas.
struct large_table : dispatcher_driver {
  explicit large_table(int size) {
    for (int number = 0; number < size; ++number) {
      world.add_replica(name_of(number), "llm", number % 2 == 0 ? "a" : "b");
    }
    subject.update(world.content, now);
  }

  static std::string name_of(int number) { return "r" + std::to_string(number); }
  /// @return records compared while an update is taken over.
  std::uint64_t cost_of_update() {
    const auto before = subject.replicas().records_compared();
    subject.update(world.content, now);
    return subject.replicas().records_compared() - before;
  }
};

/// Both tables find the same replicas, by id, by service and by address.
void check_equal(const replica_table& changed, const replica_table& whole) {
  BOOST_REQUIRE_EQUAL(changed.all().size(), whole.all().size());
  for (const auto& [id, state] : whole.all()) {
    const auto* other = changed.find(id);
    BOOST_REQUIRE(other != nullptr);
    BOOST_TEST((other->record == state.record));
    // Several may name one address.
    const auto& address = state.record->address;
    BOOST_TEST((changed.find_at(address)->record == whole.find_at(address)->record));
  }
  for (const std::string service : {"llm", "plain", "pool", "other"}) {
    const auto& found = changed.of_service(service);
    const auto& expected = whole.of_service(service);
    BOOST_TEST(std::equal(
        found.begin(), found.end(), expected.begin(), expected.end(),
        [](const auto* left, const auto* right) { return left->record == right->record; }));
  }
  BOOST_TEST((changed.of_unknown_services() == whole.of_unknown_services()));
}

} // namespace

BOOST_AUTO_TEST_SUITE(replica_changes_test)

BOOST_AUTO_TEST_CASE(one_replica_that_changes_costs_what_one_replica_costs) {
  for (const int size : {250, 1'000}) {
    large_table node(size);
    node.world.add_replica(large_table::name_of(7), "llm", "a", true);
    BOOST_TEST(node.cost_of_update() == 1U);
    BOOST_TEST(node.subject.replicas().find(base::replica_id("r7"))->record->draining);
    node.world.remove_replica(large_table::name_of(8));
    BOOST_TEST(node.cost_of_update() == 0U);
    BOOST_TEST(node.subject.replicas().find(base::replica_id("r8")) == nullptr);
    BOOST_TEST(node.cost_of_update() == 0U);
  }
}

BOOST_AUTO_TEST_CASE(a_new_configuration_looks_at_each_replica_once) {
  large_table node(250);
  node.world.publish_configuration();
  BOOST_TEST(node.cost_of_update() == node.world.content.replicas().size());
}

BOOST_AUTO_TEST_CASE(more_changes_than_are_kept_are_taken_over_all_the_same) {
  large_table node(10);
  for (std::size_t change = 0; change <= catalog::change_log::most_kept; ++change) {
    node.world.add_replica("r3", "llm", change % 2 == 0 ? "a" : "b");
  }
  node.world.remove_replica("r4");
  node.subject.update(node.world.content, node.now);
  const auto& replicas = node.subject.replicas();
  BOOST_TEST(replicas.find(base::replica_id("r4")) == nullptr);
  BOOST_TEST((replicas.find(base::replica_id("r3"))->record ==
              node.world.content.replicas().at(base::replica_id("r3"))));
}

BOOST_AUTO_TEST_CASE(changes_in_any_order_lead_to_the_table_that_a_look_at_all_leads_to) {
  const std::string services[] = {"llm", "plain", "pool", "other"};
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    base::seeded_random random(seed);
    large_table node(20);
    for (int round = 0; round < 60; ++round) {
      for (std::uint64_t change = random.below(6); change > 0; --change) {
        const auto id = large_table::name_of(static_cast<int>(random.below(24)));
        if (random.below(4) == 0 && node.world.content.replicas().contains(base::replica_id(id))) {
          node.world.remove_replica(id);
        } else {
          // Some take the address of another, or of one that is gone.
          node.world.add_incarnation(id, services[random.below(4)], "a",
                                     "10.1.0." + std::to_string(random.below(12)) + ":80",
                                     1 + random.below(3));
        }
      }
      if (random.below(20) == 0) {
        node.world.publish_configuration();
      }
      node.subject.update(node.world.content, node.now);
    }
    node.world.publish_configuration();
    node.subject.update(node.world.content, node.now);
    serving_settings settings;
    replica_table whole(base::node_id("n"), base::zone_id("a"), settings, random);
    whole.set_configuration(node.world.content.serving());
    whole.update(node.world.content.replicas(), node.now);
    for (const auto& [id, state] : node.subject.replicas().all()) {
      // One whose service was configured once is kept; here none loses its configuration.
      BOOST_TEST(whole.find(id) != nullptr);
    }
    check_equal(node.subject.replicas(), whole);
  }
}

BOOST_AUTO_TEST_SUITE_END()
