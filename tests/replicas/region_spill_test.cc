/// Callers of three regions whose views of the replicas are stale and differ: how much work leaves
/// a region, and whether what leaves runs to one place or comes and goes.
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
/// Calls a second that the replicas of one region bear.
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

base::duration way_of(model::locality locality) {
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

/// One node that sends calls, with what it alone has seen.
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

/// A call on its way.
struct sent_call {
  std::size_t caller = 0;
  base::replica_id replica;
  base::time_point sent;
  base::duration way{};
};

struct server {
  int zone = 0;
  std::uint32_t running = 0;
  std::deque<sent_call> waiting;
  std::size_t most_waiting = 0;
};

struct spill_figures {
  std::uint64_t calls = 0;
  std::uint64_t elsewhere = 0;
  double wait_seconds = 0;
  /// Calls that left region 0, by window of a quarter of a second.
  std::map<std::int64_t, double> spilled;
  /// Most calls that waited at a replica of region 0, and of the others.
  std::size_t most_waiting_in_first = 0;
  std::size_t most_waiting_elsewhere = 0;

  [[nodiscard]] double elsewhere_share() const {
    return static_cast<double>(elsewhere) / static_cast<double>(calls);
  }
  [[nodiscard]] double mean_wait() const { return wait_seconds / static_cast<double>(calls); }
  /// @return most calls that left in a window, as a multiple of the mean.
  [[nodiscard]] double busiest_window() const {
    double sum = 0;
    double most = 0;
    for (const auto& [window, count] : spilled) {
      sum += count;
      most = std::max(most, count);
    }
    return spilled.empty() ? 0 : most / (sum / static_cast<double>(spilled.size()));
  }
};

/// Callers and replicas; each call is made as the policy of its caller says.
class region_fleet {
 public:
  explicit region_fleet(std::size_t callers) : draws_(42) {
    serving_settings settings;
    settings.regions = three_regions();
    std::map<base::replica_id, std::shared_ptr<const model::replica>> published;
    for (int zone = 0; zone < zone_count; ++zone) {
      for (int index = 0; index < replicas_per_zone; ++index) {
        auto made = std::make_shared<model::replica>();
        made->id = base::replica_id(zone_name(zone) + std::to_string(index));
        made->service = service_name;
        made->address = base::network_address(made->id.text() + ":1");
        made->zone = base::zone_id(zone_name(zone));
        made->slots = slots;
        published[made->id] = made;
        servers_[made->id].zone = zone;
      }
    }
    for (std::size_t number = 0; number < callers; ++number) {
      callers_.push_back(std::make_unique<caller>(static_cast<int>(number), settings));
      callers_.back()->replicas.update(published, now_);
      in_region_[static_cast<std::size_t>(callers_.back()->zone / 2)].push_back(number);
    }
  }

  /// @param loads calls that arrive in each region, in parts of what its replicas bear.
  void begin(const std::array<double, region_count>& loads) {
    for (int region = 0; region < region_count; ++region) {
      arrive_later(region, loads);
    }
  }

  /// @return what happened within the span.
  spill_figures play(base::duration span) {
    figures_ = {};
    for (auto& [id, one] : servers_) {
      one.most_waiting = one.waiting.size();
    }
    const auto end = now_ + span;
    while (!events_.empty() && events_.top().at < end) {
      const auto next = events_.top();
      events_.pop();
      now_ = next.at;
      next.happen();
    }
    now_ = end;
    for (const auto& [id, one] : servers_) {
      auto& most =
          one.zone / 2 == 0 ? figures_.most_waiting_in_first : figures_.most_waiting_elsewhere;
      most = std::max(most, one.most_waiting);
    }
    return figures_;
  }

  /// Callers hear within a second, each at its own time, that zones are evacuated or given back.
  void spread(const std::set<base::zone_id>& evacuated) {
    for (auto& one : callers_) {
      at(now_ + base::from_seconds(draws_.unit()),
         [this, &one, evacuated] { one->replicas.set_evacuated(evacuated, now_); });
    }
  }

 private:
  struct event {
    base::time_point at;
    std::uint64_t number = 0;
    std::function<void()> happen;
    bool operator>(const event& other) const {
      return std::tie(at, number) > std::tie(other.at, other.number);
    }
  };

  void at(base::time_point when, std::function<void()> happen) {
    events_.push({when, ++event_number_, std::move(happen)});
  }

  void arrive_later(int region, const std::array<double, region_count>& loads) {
    const double rate = loads[static_cast<std::size_t>(region)] * region_capacity;
    const auto gap = base::from_seconds(-std::log(1 - draws_.unit()) / rate);
    at(now_ + gap, [this, region, loads] {
      const auto& near = in_region_[static_cast<std::size_t>(region)];
      send(near[draws_.below(near.size())]);
      arrive_later(region, loads);
    });
  }

  void send(std::size_t number) {
    auto& from = *callers_[number];
    const request_content content;
    const model::residency anywhere;
    const std::set<base::replica_id> none;
    const auto* chosen = from.chooser.choose({service_name, content, anywhere, none}, now_);
    const auto id = chosen->record->id;
    from.replicas.call_started(id, now_);
    auto& to = servers_.at(id);
    const auto locality =
        three_regions().locality_between(base::zone_id(zone_name(from.zone)), chosen->record->zone);
    ++figures_.calls;
    if (locality == model::locality::elsewhere) {
      ++figures_.elsewhere;
    }
    if (from.zone / 2 == 0) {
      const auto window = now_.time_since_epoch() / milliseconds(250);
      figures_.spilled[window] += to.zone / 2 == 0 ? 0 : 1;
    }
    const sent_call made{number, id, now_, way_of(locality)};
    at(now_ + made.way, [this, made] { take(made); });
  }

  void take(const sent_call& made) {
    auto& here = servers_.at(made.replica);
    if (here.running < slots) {
      ++here.running;
      run(made);
    } else {
      here.waiting.push_back(made);
      here.most_waiting = std::max(here.most_waiting, here.waiting.size());
    }
  }

  void run(const sent_call& made) {
    figures_.wait_seconds += base::to_seconds(now_ - made.sent - made.way);
    at(now_ + call_time, [this, made] { end(made); });
  }

  void end(const sent_call& made) {
    auto& here = servers_.at(made.replica);
    --here.running;
    if (!here.waiting.empty()) {
      const auto next = here.waiting.front();
      here.waiting.pop_front();
      ++here.running;
      run(next);
    }
    const replica_load load{here.running, static_cast<std::uint32_t>(here.waiting.size()), slots};
    at(now_ + made.way, [this, made, load] {
      auto& from = *callers_[made.caller];
      from.replicas.note_load(made.replica, load, now_);
      from.replicas.call_ended(made.replica);
    });
  }

  base::seeded_random draws_;
  base::time_point now_{std::chrono::hours(1)};
  std::uint64_t event_number_ = 0;
  std::vector<std::unique_ptr<caller>> callers_;
  std::array<std::vector<std::size_t>, region_count> in_region_;
  std::map<base::replica_id, server> servers_;
  std::priority_queue<event, std::vector<event>, std::greater<>> events_;
  spill_figures figures_;
};

constexpr std::array<std::size_t, 3> fleet_sizes{6, 91, 300};
constexpr base::duration played = seconds(20);

spill_figures figures_of(std::size_t callers, const std::array<double, region_count>& loads) {
  region_fleet fleet(callers);
  fleet.begin(loads);
  auto found = fleet.play(played);
  BOOST_TEST_MESSAGE(callers << " callers, loads " << loads[0] << " " << loads[1] << " " << loads[2]
                             << ": elsewhere " << found.elsewhere_share() << ", mean wait "
                             << found.mean_wait() << " s, busiest window " << found.busiest_window()
                             << ", most waiting elsewhere " << found.most_waiting_elsewhere);
  return found;
}

} // namespace

BOOST_AUTO_TEST_SUITE(region_spill_test)

BOOST_AUTO_TEST_CASE(nothing_leaves_a_region_that_bears_its_work) {
  for (const auto callers : fleet_sizes) {
    BOOST_TEST(figures_of(callers, {0.6, 0.6, 0.6}).elsewhere == 0U);
  }
}

BOOST_AUTO_TEST_CASE(next_to_nothing_leaves_where_all_regions_are_as_busy) {
  constexpr double most_elsewhere = 0.01;
  for (const auto callers : fleet_sizes) {
    BOOST_TEST(figures_of(callers, {0.85, 0.85, 0.85}).elsewhere_share() < most_elsewhere);
  }
}

BOOST_AUTO_TEST_CASE(a_region_that_is_short_sends_what_it_cannot_bear_and_no_rush) {
  // A third of what arrives in the first region is more than it bears: 0.22 of all calls. They
  // leave neither at once nor to one place, whatever each caller has seen.
  constexpr double least_elsewhere = 0.15;
  constexpr double most_elsewhere = 0.3;
  constexpr double longest_mean_wait = 0.12;
  constexpr double most_in_window = 2.5;
  constexpr std::size_t most_waiting = std::size_t{3} * slots;
  for (const auto callers : fleet_sizes) {
    const auto found = figures_of(callers, {1.5, 0.4, 0.4});
    BOOST_TEST(found.elsewhere_share() > least_elsewhere);
    BOOST_TEST(found.elsewhere_share() < most_elsewhere);
    BOOST_TEST(found.mean_wait() < longest_mean_wait);
    BOOST_TEST(found.busiest_window() < most_in_window);
    BOOST_TEST(found.most_waiting_elsewhere <= most_waiting);
  }
}

BOOST_AUTO_TEST_CASE(where_little_is_free_elsewhere_no_region_is_overrun) {
  // 0.97 of what all bear.
  constexpr double longest_mean_wait = 0.25;
  constexpr double most_in_window = 2.5;
  for (const auto callers : fleet_sizes) {
    const auto found = figures_of(callers, {1.5, 0.7, 0.7});
    BOOST_TEST(found.mean_wait() < longest_mean_wait);
    BOOST_TEST(found.busiest_window() < most_in_window);
  }
}

BOOST_AUTO_TEST_CASE(where_all_regions_are_short_little_leaves) {
  // Nothing is gained by leaving; what does leave asks whether that is still so.
  constexpr double most_elsewhere = 0.1;
  for (const auto callers : fleet_sizes) {
    BOOST_TEST(figures_of(callers, {1.2, 1.2, 1.2}).elsewhere_share() < most_elsewhere);
  }
}

BOOST_AUTO_TEST_CASE(a_region_that_is_lost_and_returns_is_neither_missed_nor_rushed) {
  constexpr std::size_t most_waiting = std::size_t{3} * slots;
  const std::set<base::zone_id> first_region{base::zone_id("a"), base::zone_id("b")};
  for (const auto callers : fleet_sizes) {
    region_fleet fleet(callers);
    fleet.begin({0.5, 0.5, 0.5});
    fleet.play(seconds(3));
    fleet.spread(first_region);
    fleet.play(seconds(1));
    const auto without = fleet.play(seconds(3));
    BOOST_TEST(without.most_waiting_in_first == 0U);
    BOOST_TEST(without.most_waiting_elsewhere <= most_waiting);
    fleet.spread({});
    const auto returning = fleet.play(seconds(1));
    BOOST_TEST(returning.most_waiting_in_first <= most_waiting);
    BOOST_TEST(returning.most_waiting_elsewhere <= most_waiting);
    fleet.play(seconds(1));
    BOOST_TEST(fleet.play(seconds(3)).elsewhere == 0U);
  }
}

BOOST_AUTO_TEST_SUITE_END()
