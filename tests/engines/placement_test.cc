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

/// Chooses as the product does; tells others what it sends, or says no word.
class directory_caller final : public engine_caller {
 public:
  directory_caller(const fleet_peer& self, const replica_table& table, base::random_source& random,
                   bool talks)
      : talks_(talks), from_here_(self.zone, two_regions_of_zones()),
        plain_(table, from_here_, random), directory_(self, two_regions_of_zones(), table),
        engines_(table, directory_, from_here_, plain_) {}

  replica_chooser& chooser() override { return engines_; }
  void sent(const replica_state& engine, const request_content& content,
            base::time_point now) override {
    if (talks_) {
      directory_.note_sent(engine, sent_prompt_of(content), now);
    }
  }
  void begun(const request_content& content, base::duration took) override {
    directory_.note_first_event(content.own_tokens(), took);
  }
  void set_peers(const std::vector<fleet_peer>& peers) override { directory_.set_peers(peers); }
  void handle(const wire::engine_news& news, base::time_point now) override {
    directory_.handle(news, now);
  }
  wire::outbox take_messages() override { return directory_.take_messages(); }

 private:
  bool talks_;
  distance from_here_;
  least_loaded_chooser plain_;
  engine_directory directory_;
  engine_chooser engines_;
};

/// The home by the last shared part alone, whatever anybody has sent.
class last_part_caller final : public engine_caller, private replica_chooser {
 public:
  explicit last_part_caller(const replica_table& table) : table_(&table) {}
  replica_chooser& chooser() override { return *this; }

 private:
  const replica_state* choose(const replica_demand& demand, base::time_point now) override {
    const auto beginning = shared_prompt_prefix_of(demand.content);
    const auto homes = preferred_engines_of(beginning, table_->candidates_for(demand, now), 1);
    return homes.empty() ? nullptr : homes.front();
  }

  const replica_table* table_;
};

fleet_figures play(const fleet_shape& shape, bool talks) {
  engine_fleet fleet(shape, [&](const auto& self, const auto& table, auto& random) {
    return std::make_unique<directory_caller>(self, table, random, talks);
  });
  return fleet.play();
}

fleet_figures play_last_part(const fleet_shape& shape) {
  engine_fleet fleet(shape, [](const auto& /*self*/, const auto& table, auto& /*random*/) {
    return std::make_unique<last_part_caller>(table);
  });
  return fleet.play();
}

/// A third of the engines is evacuated while 1.7 times as much is asked for.
fleet_shape evacuated_under_a_burst(std::uint64_t seed) {
  auto shape = large_prompts(seed);
  shape.evacuated_from = 12;
  shape.evacuated_until = 20;
  for (auto& kind : shape.kinds) {
    kind.per_second *= 1.7;
  }
  return shape;
}

/// Very many engines, each of which gets a prompt in 16 seconds: four first parts serve half of the
/// tokens, and no engine is ever busy.
fleet_shape large_and_idle(std::uint64_t seed) {
  auto shape = crowded_all_day(seed);
  shape.callers = 100;
  shape.engines = 600;
  constexpr double part = 0.17;
  for (auto& kind : shape.kinds) {
    kind.per_second *= part;
  }
  return shape;
}

std::string text_of(const fleet_figures& figures) {
  return "read again " + std::to_string(figures.again_tokens / 1e6) + " M, busiest to mean " +
         std::to_string(figures.busiest_to_mean) + ", begun late " +
         std::to_string(figures.late_share) + ", bytes a second " +
         std::to_string(figures.bytes_a_second) + ", at the busiest node " +
         std::to_string(figures.most_bytes_a_second);
}

constexpr std::uint64_t seeds[] = {1, 2, 3};
constexpr double most_bytes = 2'000;

} // namespace

BOOST_AUTO_TEST_SUITE(placement_test)

BOOST_AUTO_TEST_CASE(first_parts_that_many_prompts_share_crowd_no_engine) {
  for (const auto seed : seeds) {
    const auto figures = play(crowded_all_day(seed), true);
    BOOST_TEST_MESSAGE("crowded: " << text_of(figures));
    BOOST_TEST(figures.busiest_to_mean <= 2.0);
    BOOST_TEST(figures.busiest_zone_to_mean <= 1.1);
    BOOST_TEST(figures.late_share <= 0.005);
  }
}

BOOST_AUTO_TEST_CASE(a_hot_part_under_such_a_load_is_read_by_more_engines) {
  double silent_late = 0;
  double late = 0;
  for (const auto seed : seeds) {
    auto shape = crowded_all_day(seed);
    // Its prompts alone are more than one engine reads.
    shape.kinds.front().hot_share = 0.2;
    const auto silent = play(shape, false);
    const auto told = play(shape, true);
    BOOST_TEST_MESSAGE("hot part, without a word: " << text_of(silent));
    BOOST_TEST_MESSAGE("hot part, told: " << text_of(told));
    silent_late += silent.late_share;
    late += told.late_share;
    BOOST_TEST(told.again_tokens <= 1.3 * silent.again_tokens);
  }
  BOOST_TEST(late <= 0.35 * silent_late);
}

BOOST_AUTO_TEST_CASE(a_zone_with_half_the_engines_gets_half_the_work) {
  for (const auto seed : seeds) {
    auto shape = crowded_all_day(seed);
    shape.missing_in_one_zone = 10;
    const auto figures = play(shape, true);
    BOOST_TEST_MESSAGE("thin zone: " << figures.busiest_zone_to_mean << ", " << text_of(figures));
    BOOST_TEST(figures.busiest_zone_to_mean <= 1.15);
    BOOST_TEST(figures.busiest_to_mean <= 2.0);
    BOOST_TEST(figures.late_share <= 0.01);
  }
}

BOOST_AUTO_TEST_CASE(what_others_have_sent_has_few_tokens_read_again) {
  for (const auto seed : seeds) {
    for (const auto& shape : {large_prompts(seed), crowded_all_day(seed)}) {
      const auto alone = play_last_part(shape);
      const auto told = play(shape, true);
      BOOST_TEST_MESSAGE("last part: " << text_of(alone));
      BOOST_TEST_MESSAGE("told: " << text_of(told));
      BOOST_TEST(told.again_tokens <= 1.3 * alone.again_tokens);
    }
  }
}

BOOST_AUTO_TEST_CASE(first_parts_are_read_by_few_engines_of_a_large_idle_fleet) {
  for (const auto seed : seeds) {
    const auto shape = large_and_idle(seed);
    const auto alone = play_last_part(shape);
    const auto told = play(shape, true);
    BOOST_TEST_MESSAGE("large and idle, last part: " << text_of(alone) << ", first parts "
                                                     << alone.again_first_level / 1e6);
    BOOST_TEST_MESSAGE("large and idle, told: " << text_of(told) << ", first parts "
                                                << told.again_first_level / 1e6);
    BOOST_TEST(told.again_first_level <= 0.7 * alone.again_first_level);
    BOOST_TEST(told.again_tokens <= 0.75 * alone.again_tokens);
    BOOST_TEST(told.late_share <= alone.late_share + 0.005);
  }
}

BOOST_AUTO_TEST_CASE(what_others_have_sent_makes_fewer_prompts_late) {
  double silent_late = 0;
  double late = 0;
  for (const auto seed : seeds) {
    const auto shape = evacuated_under_a_burst(seed);
    const auto silent = play(shape, false);
    const auto talking = play(shape, true);
    BOOST_TEST_MESSAGE("without a word: " << text_of(silent));
    BOOST_TEST_MESSAGE("told: " << text_of(talking));
    silent_late += silent.late_share;
    late += talking.late_share;
    BOOST_TEST(talking.again_tokens <= 1.3 * silent.again_tokens);
  }
  BOOST_TEST(late <= 0.85 * silent_late);
}

BOOST_AUTO_TEST_CASE(what_nodes_tell_each_other_stays_small_at_any_size) {
  for (const std::size_t size : {6, 91, 300}) {
    auto shape = evacuated_under_a_burst(1);
    const double times = static_cast<double>(size) / static_cast<double>(shape.callers);
    shape.callers = size;
    shape.engines = static_cast<std::size_t>(times * static_cast<double>(shape.engines));
    for (auto& kind : shape.kinds) {
      kind.per_second *= times;
    }
    const auto figures = play(shape, true);
    BOOST_TEST_MESSAGE(size << " nodes: " << text_of(figures));
    BOOST_TEST(figures.bytes_a_second <= most_bytes, size << " nodes: " << text_of(figures));
    BOOST_TEST(figures.most_bytes_a_second <= most_bytes, size << " nodes: " << text_of(figures));
  }
}

BOOST_AUTO_TEST_SUITE_END()
