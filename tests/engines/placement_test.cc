#include "engine_fleet.h"
#include "engine_table.h"
#include "engines/engine_chooser.h"
#include "engines/prefix_placement.h"
#include "replicas/least_loaded_chooser.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <utility>
#include <vector>

using namespace spurrack;
using namespace spurrack::serving;

namespace {

/// Chooses engines as production nodes do, with or without reports to other nodes.
class directory_caller final : public caller_strategy {
 public:
  directory_caller(const fleet_peer& self, const replica_table& table, base::random_source& random,
                   bool shares_reports)
      : shares_reports_(shares_reports), from_here_(self.zone, two_regions_of_zones()),
        fallback_(table, from_here_, random), directory_(self, two_regions_of_zones(), table),
        chooser_(table, directory_, from_here_, fallback_) {}

  replica_chooser& chooser() override { return chooser_; }
  void note_sent(const replica_state& engine, const request_content& content,
                 base::time_point now) override {
    if (shares_reports_) {
      directory_.note_sent(engine, sent_prompt_of(content), now);
    }
  }
  void note_first_event(const request_content& content, base::duration elapsed) override {
    directory_.note_first_event(content.own_tokens(), elapsed);
  }
  void set_peers(const std::vector<fleet_peer>& peers) override { directory_.set_peers(peers); }
  void handle(const wire::engine_news& news, base::time_point now) override {
    directory_.handle(news, now);
  }
  wire::outbox take_messages() override { return directory_.take_messages(); }

 private:
  bool shares_reports_;
  distance from_here_;
  least_loaded_chooser fallback_;
  engine_directory directory_;
  engine_chooser chooser_;
};

/// Chooses the first preferred engine by the hash of the last shared part, whatever its backlog.
class hash_only_caller final : public caller_strategy, private replica_chooser {
 public:
  explicit hash_only_caller(const replica_table& table) : table_(&table) {}
  replica_chooser& chooser() override { return *this; }

 private:
  const replica_state* choose(const replica_requirements& demand, base::time_point now) override {
    const auto prefix = shared_prompt_prefix_of(demand.content);
    const auto preferred = preferred_engines_of(prefix, table_->candidates_for(demand, now), 1);
    return preferred.empty() ? nullptr : preferred.front();
  }

  const replica_table* table_;
};

simulation_result simulate(const fleet_shape& shape, bool shares_reports) {
  engine_fleet fleet(shape, [&](const auto& self, const auto& table, auto& random) {
    return std::make_unique<directory_caller>(self, table, random, shares_reports);
  });
  return fleet.simulate();
}

simulation_result simulate_hash_only(const fleet_shape& shape) {
  engine_fleet fleet(shape, [](const auto& /*self*/, const auto& table, auto& /*random*/) {
    return std::make_unique<hash_only_caller>(table);
  });
  return fleet.simulate();
}

/// A third of the engines is evacuated while the load is 1.7 times the usual.
fleet_shape evacuated_under_a_burst(std::uint64_t seed) {
  auto shape = large_prompts(seed);
  shape.evacuation_begins_at = 12;
  shape.evacuation_ends_at = 20;
  for (auto& kind : shape.kinds) {
    kind.per_second *= 1.7;
  }
  return shape;
}

/// Very many engines, each of which gets one prompt every 16 seconds, so that no engine is ever
/// busy. The prompts that begin with one of four first parts make up more than half of the tokens.
fleet_shape large_and_idle(std::uint64_t seed) {
  auto shape = busy_region(seed);
  shape.callers = 100;
  shape.engines = 600;
  constexpr double load_factor = 0.17;
  for (auto& kind : shape.kinds) {
    kind.per_second *= load_factor;
  }
  return shape;
}

std::string text_of(const simulation_result& result) {
  return "prefilled again " + std::to_string(result.repeated_tokens / 1e6) +
         " M, busiest engine to mean " + std::to_string(result.max_to_mean_load) +
         ", late fraction " + std::to_string(result.late_fraction) + ", bytes per second " +
         std::to_string(result.mean_bytes_per_second) + ", at the busiest node " +
         std::to_string(result.max_bytes_per_second);
}

constexpr std::uint64_t seeds[] = {1, 2, 3};
constexpr double max_allowed_bytes_per_second = 2'000;

} // namespace

BOOST_AUTO_TEST_SUITE(placement_test)

BOOST_AUTO_TEST_CASE(popular_first_parts_overload_no_engine) {
  for (const auto seed : seeds) {
    const auto result = simulate(busy_region(seed), true);
    BOOST_TEST_MESSAGE("busy region: " << text_of(result));
    BOOST_TEST(result.max_to_mean_load <= 2.0);
    BOOST_TEST(result.max_zone_to_mean_load <= 1.1);
    BOOST_TEST(result.late_fraction <= 0.005);
  }
}

BOOST_AUTO_TEST_CASE(reports_between_nodes_make_fewer_prompts_with_a_hot_prefix_late) {
  double late_without_reports = 0;
  double late_with_reports = 0;
  for (const auto seed : seeds) {
    auto shape = busy_region(seed);
    // The prompts with the hot prefix alone exceed the prefill capacity of one engine.
    shape.kinds.front().hot_fraction = 0.2;
    const auto without_reports = simulate(shape, false);
    const auto with_reports = simulate(shape, true);
    BOOST_TEST_MESSAGE("hot prefix, without reports: " << text_of(without_reports));
    BOOST_TEST_MESSAGE("hot prefix, with reports: " << text_of(with_reports));
    late_without_reports += without_reports.late_fraction;
    late_with_reports += with_reports.late_fraction;
    BOOST_TEST(with_reports.repeated_tokens <= 1.3 * without_reports.repeated_tokens);
  }
  BOOST_TEST(late_with_reports <= 0.35 * late_without_reports);
}

BOOST_AUTO_TEST_CASE(a_zone_with_half_the_engines_gets_half_the_load) {
  for (const auto seed : seeds) {
    auto shape = busy_region(seed);
    shape.engines_missing_in_one_zone = 10;
    const auto result = simulate(shape, true);
    BOOST_TEST_MESSAGE("thin zone: " << result.max_zone_to_mean_load << ", " << text_of(result));
    BOOST_TEST(result.max_zone_to_mean_load <= 1.15);
    BOOST_TEST(result.max_to_mean_load <= 2.0);
    BOOST_TEST(result.late_fraction <= 0.01);
  }
}

BOOST_AUTO_TEST_CASE(reports_between_nodes_add_few_repeated_prefills) {
  for (const auto seed : seeds) {
    for (const auto& shape : {large_prompts(seed), busy_region(seed)}) {
      const auto hash_only = simulate_hash_only(shape);
      const auto with_reports = simulate(shape, true);
      BOOST_TEST_MESSAGE("hash only: " << text_of(hash_only));
      BOOST_TEST_MESSAGE("with reports: " << text_of(with_reports));
      BOOST_TEST(with_reports.repeated_tokens <= 1.3 * hash_only.repeated_tokens);
    }
  }
}

BOOST_AUTO_TEST_CASE(first_parts_are_prefilled_by_few_engines_of_a_large_idle_fleet) {
  for (const auto seed : seeds) {
    const auto shape = large_and_idle(seed);
    const auto hash_only = simulate_hash_only(shape);
    const auto with_reports = simulate(shape, true);
    BOOST_TEST_MESSAGE("large and idle, hash only: " << text_of(hash_only) << ", first parts "
                                                     << hash_only.repeated_first_part_tokens / 1e6);
    BOOST_TEST_MESSAGE("large and idle, with reports: "
                       << text_of(with_reports) << ", first parts "
                       << with_reports.repeated_first_part_tokens / 1e6);
    BOOST_TEST(with_reports.repeated_first_part_tokens <=
               0.7 * hash_only.repeated_first_part_tokens);
    BOOST_TEST(with_reports.repeated_tokens <= 0.75 * hash_only.repeated_tokens);
    BOOST_TEST(with_reports.late_fraction <= hash_only.late_fraction + 0.005);
  }
}

BOOST_AUTO_TEST_CASE(reports_between_nodes_make_fewer_prompts_late_during_an_evacuation) {
  double late_without_reports = 0;
  double late_with_reports = 0;
  for (const auto seed : seeds) {
    const auto shape = evacuated_under_a_burst(seed);
    const auto without_reports = simulate(shape, false);
    const auto with_reports = simulate(shape, true);
    BOOST_TEST_MESSAGE("without reports: " << text_of(without_reports));
    BOOST_TEST_MESSAGE("with reports: " << text_of(with_reports));
    late_without_reports += without_reports.late_fraction;
    late_with_reports += with_reports.late_fraction;
    BOOST_TEST(with_reports.repeated_tokens <= 1.3 * without_reports.repeated_tokens);
  }
  BOOST_TEST(late_with_reports <= 0.85 * late_without_reports);
}

BOOST_AUTO_TEST_CASE(what_nodes_tell_each_other_stays_small_at_any_size) {
  for (const std::size_t size : {6, 91, 300}) {
    auto shape = evacuated_under_a_burst(1);
    const double scale = static_cast<double>(size) / static_cast<double>(shape.callers);
    shape.callers = size;
    shape.engines = static_cast<std::size_t>(scale * static_cast<double>(shape.engines));
    for (auto& kind : shape.kinds) {
      kind.per_second *= scale;
    }
    const auto result = simulate(shape, true);
    BOOST_TEST_MESSAGE(size << " nodes: " << text_of(result));
    BOOST_TEST(result.mean_bytes_per_second <= max_allowed_bytes_per_second,
               size << " nodes: " << text_of(result));
    BOOST_TEST(result.max_bytes_per_second <= max_allowed_bytes_per_second,
               size << " nodes: " << text_of(result));
  }
}

BOOST_AUTO_TEST_SUITE_END()
