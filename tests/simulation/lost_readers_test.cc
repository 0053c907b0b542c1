/// Simulated fleets whose readers lose the platform's store during or soon after an outage of the
/// store. Guards against nodes that have access to the store and do not read it, since their turns
/// to read were used up in the outage.
#include "disturbed_fleet.h"
#include "one_region_fleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <functional>
#include <string>

namespace {

using namespace spurrack;
using node::source_kind;
using simulation::fleet_simulation;
using simulation::node_names;
using simulation::peer_access;
using simulation::platform_mode;
using simulation::store_access;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time limit of a change while the store was up for all when the readers were lost.
constexpr base::duration change_limit = seconds(2);
/// Time limit of a change after the return of the store if the readers were lost in the outage:
/// nodes count as connected 3 s after the return, and the time limit of a change follows.
constexpr base::duration limit_after_return = seconds(5);

/// Maximum number of reads per second of a whole region while the store refuses or does not answer
/// them, for each node that has the job of reading it.
constexpr double max_refused_reads_per_reader = 1.525;
constexpr double max_unanswered_reads_per_reader = 1.1;

struct fleet_shape {
  int nodes;
  int zones;
};
constexpr std::array shapes{fleet_shape{3, 1}, fleet_shape{8, 4}, fleet_shape{12, 4},
                            fleet_shape{30, 3}};

/// @return the number in an environment variable; `usual` if it is not set.
std::uint64_t number_from(const char* variable, std::uint64_t usual) {
  const char* text = std::getenv(variable);
  return text == nullptr ? usual : std::strtoull(text, nullptr, 10);
}

/// Number of seeds of each case; more are run by hand.
std::uint64_t seed_count() {
  return number_from("SPURRACK_LOST_READERS_SEEDS", 4);
}

std::string text_of(const fleet_shape& shape, std::uint64_t seed) {
  return std::to_string(shape.nodes) + " nodes in " + std::to_string(shape.zones) +
         " zones, seed " + std::to_string(seed);
}

/// Ways in which the readers of a service lose the store or their peers.
enum class reader_loss : std::uint8_t { refused, silent, cut_from_all, cut_zone, killed };
constexpr std::array losses{reader_loss::refused, reader_loss::silent, reader_loss::cut_from_all,
                            reader_loss::cut_zone, reader_loss::killed};

/// Fleet in which changes of one platform service are published.
struct lost_readers_fleet {
  lost_readers_fleet(const fleet_shape& shape, std::uint64_t seed, source_kind source)
      : changed(source),
        fleet(simulation::one_region_settings(shape.nodes, shape.zones, seed % 2 == 0, seed)) {
    fleet.start_all_nodes();
    BOOST_REQUIRE(fleet.run_until([&] { return fleet.all_ready(); }, seconds(10)));
    fleet.run_for(seconds(4) + milliseconds(fleet.random().below(1'000)));
  }

  void begin_outage() { fleet.platform().set_mode(platform_mode::down); }
  void end_outage() { fleet.platform().set_mode(platform_mode::up); }

  /// Fewer than half of the nodes are lost, so that others remain that have access to the store.
  [[nodiscard]] node_names lost_nodes() {
    auto names = simulation::readers_of(fleet, changed);
    names.resize(std::min(names.size(), (fleet.node_names().size() - 1) / 2));
    return names;
  }

  void lose_readers(reader_loss loss) {
    const auto names = lost_nodes();
    switch (loss) {
    case reader_loss::refused:
      simulation::set_access(fleet, names, store_access::refused);
      break;
    case reader_loss::silent:
      simulation::set_access(fleet, names, store_access::silent);
      break;
    case reader_loss::cut_from_all:
      simulation::set_access(fleet, names, store_access::silent);
      simulation::set_access(fleet, names, peer_access::none);
      break;
    case reader_loss::cut_zone:
      fleet.partition_zone(fleet.node(names.front()).settings().self.zone.text(), false);
      simulation::set_access(fleet, names, store_access::refused);
      break;
    case reader_loss::killed:
      for (const auto& name : names) {
        fleet.kill_node(name);
      }
      break;
    }
  }

  /// Publishes a change of the service.
  /// @return time until all unimpaired nodes know it; at most 30 s.
  base::duration time_until_known() {
    constexpr base::duration max_time = seconds(30);
    const auto published_at = fleet.now();
    const bool is_configuration = changed == source_kind::configuration;
    const auto revision = fleet.platform().publish(
        is_configuration ? std::string(model::configuration_key)
                         : std::string(model::replica_prefix) + "i-" + std::to_string(++changes),
        is_configuration ? simulation::configuration_of(++version) : replica_record());
    auto missing = simulation::unimpaired_nodes(fleet);
    while (!missing.empty() && fleet.now() - published_at < max_time) {
      fleet.run_for(milliseconds(10));
      std::erase_if(missing, [&](const auto& name) {
        return !fleet.is_alive(name) ||
               fleet.node(name).knowledge(changed).known_through().revision >= revision;
      });
    }
    return fleet.now() - published_at;
  }

  [[nodiscard]] std::string replica_record() const {
    wire::published_replica record;
    record.set_id("i-" + std::to_string(changes));
    record.set_service("service");
    record.set_address("10.0.0.1:" + std::to_string(changes));
    record.set_zone("z0");
    record.set_version("v1");
    record.set_slots(1);
    return record.SerializeAsString();
  }

  source_kind changed;
  fleet_simulation fleet;
  std::uint64_t version = 1;
  int changes = 0;
};

base::duration drawn_between(fleet_simulation& fleet, base::duration least, base::duration most) {
  return least + base::scaled(most - least, fleet.random().next_fraction());
}

void check_losses_after_outages(const fleet_shape& shape, std::uint64_t seed, source_kind source,
                                reader_loss loss) {
  lost_readers_fleet subject(shape, seed, source);
  auto& fleet = subject.fleet;
  const auto outages = 1 + fleet.random().below(10);
  for (std::uint64_t outage = 0; outage < outages; ++outage) {
    subject.begin_outage();
    fleet.run_for(drawn_between(fleet, milliseconds(500), seconds(20)));
    subject.end_outage();
    fleet.run_for(drawn_between(fleet, milliseconds(1'500), seconds(6)));
  }
  subject.lose_readers(loss);
  fleet.run_for(milliseconds(100));
  const auto time = subject.time_until_known();
  BOOST_TEST(time <= change_limit, text_of(shape, seed)
                                       << ", loss " << static_cast<int>(loss) << ", " << outages
                                       << " outages: " << base::to_milliseconds(time) << " ms");
}

void check_losses_during_an_outage(const fleet_shape& shape, std::uint64_t seed,
                                   source_kind source) {
  lost_readers_fleet subject(shape, seed, source);
  auto& fleet = subject.fleet;
  subject.begin_outage();
  fleet.run_for(drawn_between(fleet, seconds(3), seconds(20)));
  simulation::set_access(fleet, subject.lost_nodes(), store_access::refused);
  fleet.run_for(milliseconds(500));
  subject.end_outage();
  const auto time = subject.time_until_known();
  BOOST_TEST(time <= limit_after_return,
             text_of(shape, seed) << ": " << base::to_milliseconds(time) << " ms after the return");
}

void for_each_fleet(const std::function<void(const fleet_shape&, std::uint64_t)>& check) {
  for (const auto& shape : shapes) {
    for (std::uint64_t seed = 1; seed <= seed_count(); ++seed) {
      check(shape, seed);
    }
  }
}

/// Number of reads per second, of all nodes of a fleet, in the second half of an outage of 60 s.
double reads_per_second_in_outage(const fleet_shape& shape, bool is_silent) {
  lost_readers_fleet subject(shape, 2, source_kind::configuration);
  auto& fleet = subject.fleet;
  const auto reads = [&] {
    std::uint64_t sum = 0;
    for (const auto& name : fleet.node_names()) {
      const auto& calls = fleet.node(name).watch(source_kind::configuration).calls();
      sum += calls.listings + calls.watches;
    }
    return sum;
  };
  if (is_silent) {
    simulation::set_access(fleet, fleet.node_names(), store_access::silent);
  } else {
    subject.begin_outage();
  }
  fleet.run_for(seconds(30));
  const auto reads_before = reads();
  fleet.run_for(seconds(60));
  return static_cast<double>(reads() - reads_before) / 60;
}

} // namespace

BOOST_AUTO_TEST_SUITE(lost_readers)

BOOST_AUTO_TEST_CASE(a_change_is_known_in_time_if_the_readers_are_lost_soon_after_outages) {
  for (const auto source : node::all_sources) {
    for (const auto loss : losses) {
      for_each_fleet([&](const auto& shape, auto seed) {
        check_losses_after_outages(shape, seed, source, loss);
      });
    }
  }
}

BOOST_AUTO_TEST_CASE(a_change_is_known_in_time_if_the_next_readers_are_lost_too) {
  for_each_fleet([](const auto& shape, auto seed) {
    lost_readers_fleet subject(shape, seed, source_kind::configuration);
    auto& fleet = subject.fleet;
    subject.begin_outage();
    fleet.run_for(milliseconds(4'500));
    subject.end_outage();
    fleet.run_for(seconds(4));
    simulation::set_access(fleet, simulation::third_with(fleet, subject.lost_nodes()),
                           store_access::refused);
    fleet.run_for(milliseconds(100));
    const auto time = subject.time_until_known();
    BOOST_TEST(time <= change_limit, text_of(shape, seed)
                                         << ": " << base::to_milliseconds(time) << " ms");
  });
}

BOOST_AUTO_TEST_CASE(a_change_is_known_in_time_if_the_readers_are_lost_during_an_outage) {
  for (const auto source : node::all_sources) {
    for_each_fleet(
        [&](const auto& shape, auto seed) { check_losses_during_an_outage(shape, seed, source); });
  }
}

BOOST_AUTO_TEST_CASE(reads_in_an_outage_do_not_grow_with_the_fleet) {
  const auto most_nodes = static_cast<int>(number_from("SPURRACK_LOST_READERS_NODES", 40));
  for (const fleet_shape shape : {fleet_shape{3, 1}, fleet_shape{8, 4}, fleet_shape{40, 4},
                                  fleet_shape{300, 6}, fleet_shape{1'168, 6}}) {
    if (shape.nodes > most_nodes) {
      continue;
    }
    const auto refused = reads_per_second_in_outage(shape, false);
    const auto silent = reads_per_second_in_outage(shape, true);
    BOOST_TEST_MESSAGE(shape.nodes << " nodes in " << shape.zones << " zones: " << refused
                                   << " reads a second refused, " << silent << " unanswered");
    const double readers = shape.zones == 1 ? 2 : 4;
    BOOST_TEST(refused <= readers * max_refused_reads_per_reader);
    BOOST_TEST(silent <= readers * max_unanswered_reads_per_reader);
  }
}

BOOST_AUTO_TEST_SUITE_END()
