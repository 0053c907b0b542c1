/// What a fleet in three regions sends for control: by kind, by node, by zones and regions; in
/// steady state and after all nodes were lost at once.
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

/// Every machine of a fleet starts within this time of the others.
constexpr int start_spread_milliseconds = 300;
constexpr double kilobyte = 1000;

std::string name_of(wire::envelope::BodyCase kind) {
  const auto* field = wire::envelope::descriptor()->FindFieldByNumber(kind);
  return field == nullptr ? "none" : field->name();
}

/// Messages of a fleet over a time.
class traffic_report {
 public:
  traffic_report(fleet_simulation& fleet, double span_seconds)
      : fleet_(&fleet), span_(span_seconds), nodes_(fleet.node_names().size()) {}

  /// @return kilobytes a second of each node, sent and received together, in rising order.
  [[nodiscard]] std::vector<std::pair<double, std::string>> by_node() const {
    std::map<std::string, std::uint64_t> sums;
    for (const auto& [flow, bytes] : fleet_->traffic().flows()) {
      sums[flow.sender] += bytes;
      sums[flow.receiver] += bytes;
    }
    std::vector<std::pair<double, std::string>> found;
    found.reserve(sums.size());
    for (const auto& [node, bytes] : sums) {
      found.emplace_back(static_cast<double>(bytes) / span_ / kilobyte, node);
    }
    std::sort(found.begin(), found.end());
    return found;
  }
  /// @return kilobytes a second of the whole fleet between regions.
  [[nodiscard]] double between_regions() const {
    const auto sums = fleet_->traffic().sum_by([&](const traffic_flow& flow) {
      return region_of(flow.sender) != region_of(flow.receiver);
    });
    return sums.contains(true) ? static_cast<double>(sums.at(true)) / span_ / kilobyte : 0;
  }
  void print(const std::string& label) const {
    const auto nodes = by_node();
    BOOST_TEST_MESSAGE(nodes_ << " nodes, " << label << ": middle " << nodes[nodes.size() / 2].first
                              << ", busiest " << nodes.back().first << " kB/s ("
                              << nodes.back().second << "), between regions " << between_regions()
                              << " kB/s in all");
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
  template <typename filter>
  void print_kinds(const std::string& label, const filter& wanted) const {
    std::map<wire::envelope::BodyCase, double> sums;
    for (const auto& [flow, bytes] : fleet_->traffic().flows()) {
      if (wanted(flow)) {
        sums[flow.kind] += static_cast<double>(bytes) / span_ / kilobyte;
      }
    }
    std::string line;
    for (const auto& [kind, rate] : sums) {
      line += " " + name_of(kind) + " " + std::to_string(rate);
    }
    BOOST_TEST_MESSAGE(label << ", kB/s:" << line);
  }

  fleet_simulation* fleet_;
  double span_;
  std::size_t nodes_;
};

/// Something each node of a starting fleet reaches, and when it did.
struct milestone {
  std::string label;
  std::function<bool(const node::node&)> is_reached;
  /// Milliseconds after the first node started, by node.
  std::map<std::string, double> reached_at{};

  [[nodiscard]] std::vector<double> times() const {
    std::vector<double> found;
    for (const auto& [name, time] : reached_at) {
      found.push_back(time);
    }
    std::sort(found.begin(), found.end());
    return found;
  }
  [[nodiscard]] double last() const { return reached_at.empty() ? 0 : times().back(); }
  void print() const {
    std::string text;
    const auto sorted = times();
    for (const double part : {0.0, 0.1, 0.5, 0.9, 1.0}) {
      const auto place = static_cast<std::size_t>(part * static_cast<double>(sorted.size() - 1));
      text += sorted.empty() ? "" : " " + std::to_string(static_cast<int>(sorted[place]));
    }
    BOOST_TEST_MESSAGE("  " << label << " at" << text << " ms (first, 0.1, middle, 0.9, last of "
                            << sorted.size() << " nodes)");
  }
};

/// How a fleet came up.
struct time_line {
  milestone introduced{"knows another node",
                       [](const auto& node) { return !node.members().members().empty(); }};
  milestone whole;
  milestone configured{"holds the configuration",
                       [](const auto& node) { return node.content().serving() != nullptr; }};
  milestone ready{"ready", [](const auto& node) { return node.is_ready(); }};

  explicit time_line(std::size_t nodes)
      : whole{"knows all",
              [nodes](const auto& node) { return node.members().members().size() + 1 == nodes; }} {}
  std::vector<milestone*> all() { return {&introduced, &whole, &configured, &ready}; }
};

void start_all_within(fleet_simulation& fleet, int spread_milliseconds) {
  for (const auto& name : fleet.node_names()) {
    const auto wait = fleet.random().below(static_cast<std::uint64_t>(spread_milliseconds) + 1);
    fleet.events().schedule_after(milliseconds(wait), [&fleet, name] { fleet.start_node(name); });
  }
}

time_line watch_start(fleet_simulation& fleet, base::duration span) {
  constexpr base::duration step = milliseconds(20);
  const auto names = fleet.node_names();
  time_line line(names.size());
  const auto began = fleet.now();
  start_all_within(fleet, start_spread_milliseconds);
  while (fleet.now() - began < span) {
    fleet.run_for(step);
    const auto at = static_cast<double>(base::to_milliseconds(fleet.now() - began));
    for (const auto& name : names) {
      for (auto* one : line.all()) {
        if (fleet.is_alive(name) && one->is_reached(fleet.node(name))) {
          one->reached_at.try_emplace(name, at);
        }
      }
    }
  }
  return line;
}

/// Every byte that was counted as sent went somewhere.
void check_counters(const fleet_simulation& fleet) {
  for (const auto& name : fleet.node_names()) {
    const auto& control = fleet.node(name).control();
    std::uint64_t sum = 0;
    for (const auto& [flow, bytes] : control.bytes_sent_by_flow) {
      sum += bytes;
    }
    BOOST_TEST(sum == control.bytes_sent);
  }
}

/// Kilobytes a second of a whole fleet between regions: what the relays of the pairs of regions say
/// to one another, and a report a second to each node from each other region.
double most_between_regions(int nodes) {
  return 20 + 0.4 * nodes;
}

void check_steady_state(fleet_simulation& fleet, int nodes) {
  constexpr double seconds_watched = 10;
  fleet.traffic().clear();
  fleet.run_for(base::from_seconds(seconds_watched));
  const traffic_report report(fleet, seconds_watched);
  report.print("steady");
  BOOST_TEST(report.between_regions() <= most_between_regions(nodes));
  check_counters(fleet);
}

void check_return(fleet_simulation& fleet, int nodes) {
  constexpr double seconds_watched = 10;
  for (const auto& name : fleet.node_names()) {
    fleet.kill_node(name);
  }
  fleet.run_for(seconds(1));
  fleet.traffic().clear();
  const auto listings = fleet.platform().listings();
  auto line = watch_start(fleet, base::from_seconds(seconds_watched));
  const traffic_report report(fleet, seconds_watched);
  report.print("return of all");
  for (const auto* one : line.all()) {
    one->print();
  }
  const auto read = fleet.platform().listings() - listings;
  BOOST_TEST_MESSAGE("  listings read from the store: " << read);
  // Two sources: most nodes learn from those that read, however many they are.
  constexpr std::uint64_t sources = 2;
  BOOST_TEST(read <= sources * (20 + static_cast<std::uint64_t>(nodes) / 5));
  constexpr double longest_return_milliseconds = 3'000;
  BOOST_TEST(line.ready.reached_at.size() == static_cast<std::size_t>(nodes));
  BOOST_TEST(line.ready.last() <= longest_return_milliseconds);
  BOOST_TEST(line.whole.reached_at.size() == static_cast<std::size_t>(nodes));
  BOOST_TEST(line.whole.last() <= longest_return_milliseconds);
  BOOST_TEST(report.between_regions() <= 2 * most_between_regions(nodes));
  // A fifth of a link of 10 Mbit/s, each way together.
  constexpr double most_of_a_node = 250;
  BOOST_TEST(report.by_node().back().first <= most_of_a_node);
}

} // namespace

BOOST_AUTO_TEST_SUITE(control_traffic)

BOOST_AUTO_TEST_CASE(bytes_between_regions_are_few_and_all_nodes_return_at_once) {
  for (const int nodes : {30, 100, 300}) {
    fleet_simulation fleet(simulation::regional_fleet_settings(nodes));
    start_all_within(fleet, start_spread_milliseconds);
    fleet.run_for(seconds(12));
    check_steady_state(fleet, nodes);
    check_return(fleet, nodes);
  }
}

BOOST_AUTO_TEST_SUITE_END()
