/// Simulated fleets in three regions: control traffic (messages between nodes) by kind of message,
/// by node and between regions. Measured in steady state, and after all nodes exited at once and
/// were started again.
#include "regional_fleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace spurrack;
using simulation::fleet_simulation;
using simulation::traffic_flow;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time within which all nodes of a fleet are started.
constexpr int start_spread_milliseconds = 300;
constexpr double kilobyte = 1000;

std::string name_of(wire::envelope::BodyCase kind) {
  const auto* field = wire::envelope::descriptor()->FindFieldByNumber(kind);
  return field == nullptr ? "none" : field->name();
}

/// Mean rates of the messages of a fleet over a measured time.
class traffic_report {
 public:
  traffic_report(fleet_simulation& fleet, double measured_seconds)
      : fleet_(&fleet), measured_seconds_(measured_seconds),
        node_count_(fleet.node_names().size()) {}

  /// @return for each node, the sum of its sent and received bytes in kilobytes per second, and its
  ///         name; in ascending order of the sums.
  [[nodiscard]] std::vector<std::pair<double, std::string>> by_node() const {
    std::map<std::string, std::uint64_t> sums;
    for (const auto& [flow, bytes] : fleet_->traffic().flows()) {
      sums[flow.sender] += bytes;
      sums[flow.receiver] += bytes;
    }
    std::vector<std::pair<double, std::string>> rates;
    rates.reserve(sums.size());
    for (const auto& [node, bytes] : sums) {
      rates.emplace_back(static_cast<double>(bytes) / measured_seconds_ / kilobyte, node);
    }
    std::sort(rates.begin(), rates.end());
    return rates;
  }
  /// @return kilobytes per second that the whole fleet sends between regions.
  [[nodiscard]] double between_regions() const {
    const auto sums = fleet_->traffic().sum_by([&](const traffic_flow& flow) {
      return region_of(flow.sender) != region_of(flow.receiver);
    });
    return sums.contains(true) ? static_cast<double>(sums.at(true)) / measured_seconds_ / kilobyte
                               : 0;
  }
  void print(const std::string& label) const {
    const auto nodes = by_node();
    BOOST_TEST_MESSAGE(node_count_
                       << " nodes, " << label << ": median " << nodes[nodes.size() / 2].first
                       << ", busiest " << nodes.back().first << " kB/s (" << nodes.back().second
                       << "), between regions " << between_regions() << " kB/s in total");
    print_kinds("  all", [](const traffic_flow&) { return true; });
    print_kinds("  between regions", [&](const traffic_flow& flow) {
      return region_of(flow.sender) != region_of(flow.receiver);
    });
    print_kinds("  busiest node", [&](const traffic_flow& flow) {
      return flow.sender == nodes.back().second || flow.receiver == nodes.back().second;
    });
  }

 private:
  [[nodiscard]] std::string region_of(const std::string& node) const {
    return simulation::region_of_zone(fleet_->node(node).settings().self.zone.text());
  }
  template <typename flow_filter>
  void print_kinds(const std::string& label, const flow_filter& is_selected) const {
    std::map<wire::envelope::BodyCase, double> sums;
    for (const auto& [flow, bytes] : fleet_->traffic().flows()) {
      if (is_selected(flow)) {
        sums[flow.kind] += static_cast<double>(bytes) / measured_seconds_ / kilobyte;
      }
    }
    std::string text;
    for (const auto& [kind, rate] : sums) {
      text += " " + name_of(kind) + " " + std::to_string(rate);
    }
    BOOST_TEST_MESSAGE(label << ", kB/s:" << text);
  }

  fleet_simulation* fleet_;
  double measured_seconds_;
  std::size_t node_count_;
};

/// State that every node of a starting fleet reaches, and the times at which the nodes reached it.
struct milestone {
  std::string label;
  std::function<bool(const node::node&)> is_reached;
  /// Time at which each node reached the state, by name of the node, in milliseconds after the
  /// start of the fleet.
  std::map<std::string, double> reached_at{};

  [[nodiscard]] std::vector<double> sorted_times() const {
    std::vector<double> times;
    for (const auto& [name, time] : reached_at) {
      times.push_back(time);
    }
    std::sort(times.begin(), times.end());
    return times;
  }
  [[nodiscard]] double last() const { return reached_at.empty() ? 0 : sorted_times().back(); }
  void print() const {
    std::string text;
    const auto times = sorted_times();
    for (const double quantile : {0.0, 0.1, 0.5, 0.9, 1.0}) {
      const auto index = static_cast<std::size_t>(quantile * static_cast<double>(times.size() - 1));
      text += times.empty() ? "" : " " + std::to_string(static_cast<int>(times[index]));
    }
    BOOST_TEST_MESSAGE("  " << label << " after" << text << " ms (first, 0.1, median, 0.9, last of "
                            << times.size() << " nodes)");
  }
};

/// Milestones of the start of a fleet.
struct start_timeline {
  milestone first_member_known{"knows another node",
                               [](const auto& node) { return !node.members().members().empty(); }};
  milestone all_members_known;
  milestone configured{"has the configuration", [](const auto& node) {
                         return node.published_catalog().serving() != nullptr;
                       }};
  milestone ready{"ready", [](const auto& node) { return node.is_ready(); }};

  explicit start_timeline(std::size_t nodes)
      : all_members_known{"knows all nodes", [nodes](const auto& node) {
                            return node.members().members().size() + 1 == nodes;
                          }} {}
  std::vector<milestone*> all() {
    return {&first_member_known, &all_members_known, &configured, &ready};
  }
};

void start_all_within(fleet_simulation& fleet, int spread_milliseconds) {
  for (const auto& name : fleet.node_names()) {
    const auto delay = fleet.random().below(static_cast<std::uint64_t>(spread_milliseconds) + 1);
    fleet.events().schedule_after(milliseconds(delay), [&fleet, name] { fleet.start_node(name); });
  }
}

start_timeline observe_start(fleet_simulation& fleet, base::duration duration) {
  constexpr base::duration step = milliseconds(20);
  const auto names = fleet.node_names();
  start_timeline timeline(names.size());
  const auto started_at = fleet.now();
  start_all_within(fleet, start_spread_milliseconds);
  while (fleet.now() - started_at < duration) {
    fleet.run_for(step);
    const auto elapsed = static_cast<double>(base::to_milliseconds(fleet.now() - started_at));
    for (const auto& name : names) {
      for (auto* each : timeline.all()) {
        if (fleet.is_alive(name) && each->is_reached(fleet.node(name))) {
          each->reached_at.try_emplace(name, elapsed);
        }
      }
    }
  }
  return timeline;
}

/// Checks for each node that its counts of sent bytes, one for each kind of message and locality of
/// the receiver, add up to its total count of sent bytes.
void check_counters(const fleet_simulation& fleet) {
  for (const auto& name : fleet.node_names()) {
    const auto& control = fleet.node(name).message_counters();
    std::uint64_t sum = 0;
    for (const auto& [flow, bytes] : control.bytes_sent_by_class) {
      sum += bytes;
    }
    BOOST_TEST(sum == control.bytes_sent);
  }
}

/// @return maximum traffic between regions, in kilobytes per second of the whole fleet: messages
///         between the relays of each pair of regions, and one report per second to each node from
///         each other region.
double max_kilobytes_between_regions(int nodes) {
  return 20 + 0.4 * nodes;
}

void check_steady_state(fleet_simulation& fleet, int nodes) {
  constexpr double measured_seconds = 10;
  fleet.traffic().clear();
  fleet.run_for(base::from_seconds(measured_seconds));
  const traffic_report report(fleet, measured_seconds);
  report.print("steady");
  BOOST_TEST(report.between_regions() <= max_kilobytes_between_regions(nodes));
  check_counters(fleet);
}

void check_restart_of_all(fleet_simulation& fleet, int nodes) {
  constexpr double measured_seconds = 10;
  for (const auto& name : fleet.node_names()) {
    fleet.kill_node(name);
  }
  fleet.run_for(seconds(1));
  fleet.traffic().clear();
  const auto listings_before = fleet.platform().listings();
  auto timeline = observe_start(fleet, base::from_seconds(measured_seconds));
  const traffic_report report(fleet, measured_seconds);
  report.print("restart of all nodes");
  for (const auto* each : timeline.all()) {
    each->print();
  }
  const auto listings = fleet.platform().listings() - listings_before;
  BOOST_TEST_MESSAGE("  listings read from the store: " << listings);
  // The store has two sources: configuration and machine list. At any size of the fleet most nodes
  // receive the entries of a source from the nodes that read the store.
  constexpr std::uint64_t sources = 2;
  BOOST_TEST(listings <= sources * (20 + static_cast<std::uint64_t>(nodes) / 5));
  constexpr double max_restart_milliseconds = 3'000;
  BOOST_TEST(timeline.ready.reached_at.size() == static_cast<std::size_t>(nodes));
  BOOST_TEST(timeline.ready.last() <= max_restart_milliseconds);
  BOOST_TEST(timeline.all_members_known.reached_at.size() == static_cast<std::size_t>(nodes));
  BOOST_TEST(timeline.all_members_known.last() <= max_restart_milliseconds);
  BOOST_TEST(report.between_regions() <= 2 * max_kilobytes_between_regions(nodes));
  // A fifth of the rate of a 10 Mbit/s link, for sent and received bytes together.
  constexpr double max_kilobytes_per_node = 250;
  BOOST_TEST(report.by_node().back().first <= max_kilobytes_per_node);
}

} // namespace

BOOST_AUTO_TEST_SUITE(control_traffic)

BOOST_AUTO_TEST_CASE(
    traffic_is_limited_and_all_nodes_are_ready_within_three_seconds_after_all_restarted) {
  for (const int nodes : {30, 100, 300}) {
    fleet_simulation fleet(simulation::regional_fleet_settings(nodes));
    start_all_within(fleet, start_spread_milliseconds);
    fleet.run_for(seconds(12));
    check_steady_state(fleet, nodes);
    check_restart_of_all(fleet, nodes);
  }
}

BOOST_AUTO_TEST_SUITE_END()
