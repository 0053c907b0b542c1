/// Spillover between three regions. The nodes that send calls (callers) learn the loads of the
/// replicas late, and not all callers know the same loads. Checks how many calls leave a region,
/// and whether these calls overload another region or come in bursts.
#include "replicas/distance.h"
#include "replicas/least_loaded_chooser.h"

#include "base/random.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

using namespace spurrack;
using namespace spurrack::serving;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int region_count = 3;
constexpr int zone_count = 6;
constexpr int replicas_per_zone = 4;
constexpr std::uint32_t slots = 4;
constexpr base::duration call_time = milliseconds(100);
/// Calls per second that the replicas of one region sustain.
const double region_capacity = 2 * replicas_per_zone * slots / base::to_seconds(call_time);
const std::string service_name = "plain";

/// Zones `a` and `b` are region 0, `c` and `d` region 1, `e` and `f` region 2.
std::string zone_name(int zone) {
  return std::string(1, static_cast<char>('a' + zone));
}

model::zone_regions three_regions() {
  std::map<base::zone_id, base::region_id> regions;
  for (int zone = 0; zone < zone_count; ++zone) {
    regions[base::zone_id(zone_name(zone))] = base::region_id("region" + std::to_string(zone / 2));
  }
  return model::zone_regions(std::move(regions));
}

base::duration network_delay_of(model::locality locality) {
  switch (locality) {
  case model::locality::zone:
    return microseconds(100);
  case model::locality::region:
    return microseconds(500);
  case model::locality::elsewhere:
    break;
  }
  return milliseconds(12);
}

/// A node that sends calls, with its observations of the replicas.
struct caller {
  caller(int number, const serving_settings& settings)
      : zone(number % zone_count), random(static_cast<std::uint64_t>(number) + 1),
        replicas(base::node_id("n" + std::to_string(number)), base::zone_id(zone_name(zone)),
                 settings, random),
        chooser(replicas, distance(base::zone_id(zone_name(zone)), settings.regions), random) {}

  int zone;
  base::seeded_random random;
  replica_table replicas;
  least_loaded_chooser chooser;
};

/// A call that a caller sent to a replica.
struct sent_call {
  std::size_t caller = 0;
  base::replica_id replica;
  base::time_point sent_at;
  base::duration network_delay{};
};

struct simulated_replica {
  int zone = 0;
  std::uint32_t running = 0;
  std::deque<sent_call> waiting;
  std::size_t max_waiting = 0;
};

struct spillover_figures {
  std::uint64_t calls = 0;
  /// Number of calls to a region other than that of the caller.
  std::uint64_t elsewhere = 0;
  /// Sum of the times for which calls waited at the replicas.
  double wait_seconds = 0;
  /// Calls from region 0 to other regions, by window of a quarter of a second.
  std::map<std::int64_t, double> spilled;
  /// Maximum number of calls that waited at one replica of region 0 at the same time.
  std::size_t max_waiting_in_first = 0;
  /// Maximum number of calls that waited at one replica of another region at the same time.
  std::size_t max_waiting_elsewhere = 0;

  [[nodiscard]] double elsewhere_share() const {
    return static_cast<double>(elsewhere) / static_cast<double>(calls);
  }
  [[nodiscard]] double mean_wait() const { return wait_seconds / static_cast<double>(calls); }
  /// @return the number of calls from region 0 to other regions in the busiest window, as a
  ///         multiple of the mean number in a window.
  [[nodiscard]] double busiest_window_ratio() const {
    double sum = 0;
    double maximum = 0;
    for (const auto& [window, count] : spilled) {
      sum += count;
      maximum = std::max(maximum, count);
    }
    return spilled.empty() ? 0 : maximum / (sum / static_cast<double>(spilled.size()));
  }
};

/// Simulation of callers and replicas; the policy of each caller chooses the replica of its calls.
class region_fleet {
 public:
  explicit region_fleet(std::size_t callers) : draws_(42) {
    serving_settings settings;
    settings.regions = three_regions();
    std::map<base::replica_id, std::shared_ptr<const model::replica>> published;
    for (int zone = 0; zone < zone_count; ++zone) {
      for (int index = 0; index < replicas_per_zone; ++index) {
        auto record = std::make_shared<model::replica>();
        record->id = base::replica_id(zone_name(zone) + std::to_string(index));
        record->service = service_name;
        record->address = base::network_address(record->id.text() + ":1");
        record->zone = base::zone_id(zone_name(zone));
        record->slots = slots;
        published[record->id] = record;
        simulated_replicas_[record->id].zone = zone;
      }
    }
    for (std::size_t number = 0; number < callers; ++number) {
      callers_.push_back(std::make_unique<caller>(static_cast<int>(number), settings));
      callers_.back()->replicas.update(published, now_);
      in_region_[static_cast<std::size_t>(callers_.back()->zone / 2)].push_back(number);
    }
  }

  /// @param loads calls that arrive in each region, as a fraction of the capacity of its replicas.
  void begin(const std::array<double, region_count>& loads) {
    for (int region = 0; region < region_count; ++region) {
      schedule_arrival(region, loads);
    }
  }

  /// Simulates the given time.
  /// @return the figures of only this time, without those of earlier calls of this function.
  spillover_figures run_for(base::duration span) {
    figures_ = {};
    for (auto& [id, replica] : simulated_replicas_) {
      replica.max_waiting = replica.waiting.size();
    }
    const auto ends_at = now_ + span;
    while (!events_.empty() && events_.top().at < ends_at) {
      const auto next = events_.top();
      events_.pop();
      now_ = next.at;
      next.action();
    }
    now_ = ends_at;
    for (const auto& [id, replica] : simulated_replicas_) {
      auto& maximum =
          replica.zone / 2 == 0 ? figures_.max_waiting_in_first : figures_.max_waiting_elsewhere;
      maximum = std::max(maximum, replica.max_waiting);
    }
    return figures_;
  }

  /// Sets the evacuated zones at every caller. Each caller learns them at its own random time
  /// within the next second.
  void spread_evacuation(const std::set<base::zone_id>& evacuated) {
    for (auto& sender : callers_) {
      at(now_ + base::from_seconds(draws_.next_fraction()),
         [this, &sender, evacuated] { sender->replicas.set_evacuated(evacuated, now_); });
    }
  }

 private:
  struct event {
    base::time_point at;
    std::uint64_t number = 0;
    std::function<void()> action;
    bool operator>(const event& other) const {
      return std::tie(at, number) > std::tie(other.at, other.number);
    }
  };

  void at(base::time_point when, std::function<void()> action) {
    events_.push({when, ++event_number_, std::move(action)});
  }

  void schedule_arrival(int region, const std::array<double, region_count>& loads) {
    const double rate = loads[static_cast<std::size_t>(region)] * region_capacity;
    const auto gap = base::from_seconds(-std::log(1 - draws_.next_fraction()) / rate);
    at(now_ + gap, [this, region, loads] {
      const auto& near = in_region_[static_cast<std::size_t>(region)];
      send(near[draws_.below(near.size())]);
      schedule_arrival(region, loads);
    });
  }

  void send(std::size_t number) {
    auto& sender = *callers_[number];
    const request_content content;
    const model::residency anywhere;
    const std::set<base::replica_id> none;
    const auto* target = sender.chooser.choose({service_name, content, anywhere, none}, now_);
    const auto id = target->record->id;
    sender.replicas.call_started(id, now_);
    auto& target_replica = simulated_replicas_.at(id);
    const auto locality = three_regions().locality_between(base::zone_id(zone_name(sender.zone)),
                                                           target->record->zone);
    ++figures_.calls;
    if (locality == model::locality::elsewhere) {
      ++figures_.elsewhere;
    }
    if (sender.zone / 2 == 0) {
      const auto window = now_.time_since_epoch() / milliseconds(250);
      figures_.spilled[window] += target_replica.zone / 2 == 0 ? 0 : 1;
    }
    const sent_call call{number, id, now_, network_delay_of(locality)};
    at(now_ + call.network_delay, [this, call] { arrive(call); });
  }

  void arrive(const sent_call& call) {
    auto& replica = simulated_replicas_.at(call.replica);
    if (replica.running < slots) {
      ++replica.running;
      start(call);
    } else {
      replica.waiting.push_back(call);
      replica.max_waiting = std::max(replica.max_waiting, replica.waiting.size());
    }
  }

  void start(const sent_call& call) {
    figures_.wait_seconds += base::to_seconds(now_ - call.sent_at - call.network_delay);
    at(now_ + call_time, [this, call] { finish(call); });
  }

  void finish(const sent_call& call) {
    auto& replica = simulated_replicas_.at(call.replica);
    --replica.running;
    if (!replica.waiting.empty()) {
      const auto next = replica.waiting.front();
      replica.waiting.pop_front();
      ++replica.running;
      start(next);
    }
    const replica_load load{replica.running, static_cast<std::uint32_t>(replica.waiting.size()),
                            slots};
    at(now_ + call.network_delay, [this, call, load] {
      auto& sender = *callers_[call.caller];
      sender.replicas.note_load(call.replica, load, now_);
      sender.replicas.call_ended(call.replica);
    });
  }

  base::seeded_random draws_;
  base::time_point now_{std::chrono::hours(1)};
  std::uint64_t event_number_ = 0;
  std::vector<std::unique_ptr<caller>> callers_;
  std::array<std::vector<std::size_t>, region_count> in_region_;
  std::map<base::replica_id, simulated_replica> simulated_replicas_;
  std::priority_queue<event, std::vector<event>, std::greater<>> events_;
  spillover_figures figures_;
};

constexpr std::array<std::size_t, 3> fleet_sizes{6, 91, 300};
constexpr base::duration simulated_time = seconds(20);

spillover_figures simulate(std::size_t callers, const std::array<double, region_count>& loads) {
  region_fleet fleet(callers);
  fleet.begin(loads);
  auto figures = fleet.run_for(simulated_time);
  BOOST_TEST_MESSAGE(callers << " callers, loads " << loads[0] << " " << loads[1] << " " << loads[2]
                             << ": elsewhere " << figures.elsewhere_share() << ", mean wait "
                             << figures.mean_wait() << " s, busiest window "
                             << figures.busiest_window_ratio() << ", most waiting elsewhere "
                             << figures.max_waiting_elsewhere);
  return figures;
}

} // namespace

BOOST_AUTO_TEST_SUITE(region_spill_test)

BOOST_AUTO_TEST_CASE(no_call_spills_over_below_capacity) {
  for (const auto callers : fleet_sizes) {
    BOOST_TEST(simulate(callers, {0.6, 0.6, 0.6}).elsewhere == 0U);
  }
}

BOOST_AUTO_TEST_CASE(few_calls_spill_over_if_all_regions_are_equally_busy) {
  constexpr double max_elsewhere = 0.01;
  for (const auto callers : fleet_sizes) {
    BOOST_TEST(simulate(callers, {0.85, 0.85, 0.85}).elsewhere_share() < max_elsewhere);
  }
}

BOOST_AUTO_TEST_CASE(an_overloaded_region_spills_over_its_excess_without_bursts) {
  // A third of the calls that arrive in the first region exceed its capacity: 0.22 of all calls.
  // The callers must send these calls to other regions neither all at once nor to the same replica.
  constexpr double min_elsewhere = 0.15;
  constexpr double max_elsewhere = 0.3;
  constexpr double max_mean_wait = 0.12;
  constexpr double max_window_ratio = 2.5;
  constexpr std::size_t max_waiting = std::size_t{3} * slots;
  for (const auto callers : fleet_sizes) {
    const auto figures = simulate(callers, {1.5, 0.4, 0.4});
    BOOST_TEST(figures.elsewhere_share() > min_elsewhere);
    BOOST_TEST(figures.elsewhere_share() < max_elsewhere);
    BOOST_TEST(figures.mean_wait() < max_mean_wait);
    BOOST_TEST(figures.busiest_window_ratio() < max_window_ratio);
    BOOST_TEST(figures.max_waiting_elsewhere <= max_waiting);
  }
}

BOOST_AUTO_TEST_CASE(no_region_is_overloaded_if_little_capacity_is_free_elsewhere) {
  // The load of all regions together is 0.97 of their capacity.
  constexpr double max_mean_wait = 0.25;
  constexpr double max_window_ratio = 2.5;
  for (const auto callers : fleet_sizes) {
    const auto figures = simulate(callers, {1.5, 0.7, 0.7});
    BOOST_TEST(figures.mean_wait() < max_mean_wait);
    BOOST_TEST(figures.busiest_window_ratio() < max_window_ratio);
  }
}

BOOST_AUTO_TEST_CASE(few_calls_spill_over_if_all_regions_are_overloaded) {
  // Spillover gains nothing here; the few calls that leave a region only sample the load elsewhere.
  constexpr double max_elsewhere = 0.1;
  for (const auto callers : fleet_sizes) {
    BOOST_TEST(simulate(callers, {1.2, 1.2, 1.2}).elsewhere_share() < max_elsewhere);
  }
}

BOOST_AUTO_TEST_CASE(evacuating_and_restoring_a_region_causes_no_long_queues) {
  constexpr std::size_t max_waiting = std::size_t{3} * slots;
  const std::set<base::zone_id> first_region{base::zone_id("a"), base::zone_id("b")};
  for (const auto callers : fleet_sizes) {
    region_fleet fleet(callers);
    fleet.begin({0.5, 0.5, 0.5});
    fleet.run_for(seconds(3));
    fleet.spread_evacuation(first_region);
    fleet.run_for(seconds(1));
    const auto evacuated = fleet.run_for(seconds(3));
    BOOST_TEST(evacuated.max_waiting_in_first == 0U);
    BOOST_TEST(evacuated.max_waiting_elsewhere <= max_waiting);
    fleet.spread_evacuation({});
    const auto restored = fleet.run_for(seconds(1));
    BOOST_TEST(restored.max_waiting_in_first <= max_waiting);
    BOOST_TEST(restored.max_waiting_elsewhere <= max_waiting);
    fleet.run_for(seconds(1));
    BOOST_TEST(fleet.run_for(seconds(3)).elsewhere == 0U);
  }
}

BOOST_AUTO_TEST_SUITE_END()
