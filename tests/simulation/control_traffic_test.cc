/// What a fleet in three regions sends for control: by kind, by node, by zones and regions; in
/// steady state and after all nodes were lost at once.
#include "regional_fleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdint>
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
    BOOST_TEST_MESSAGE(nodes_ << " nodes, " << label << ": middle "
                              << nodes[nodes.size() / 2].first << ", busiest "
                              << nodes.back().first << " kB/s (" << nodes.back().second
                              << "), between regions " << between_regions() << " kB/s in all");
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

/// How a fleet came up, in milliseconds after the first node started.
struct time_line {
  std::vector<double> introduced; ///< Knew another node.
  std::vector<double> whole;      ///< Knew all nodes.
  std::vector<double> has_content; ///< Held the configuration.
  std::vector<double> ready;

  static std::string quantiles(std::vector<double> times) {
    std::sort(times.begin(), times.end());
    if (times.empty()) {
      return "none";
    }
    std::string text;
    for (const double part : {0.0, 0.1, 0.5, 0.9, 1.0}) {
      const auto place = static_cast<std::size_t>(part * static_cast<double>(times.size() - 1));
      text += std::to_string(static_cast<int>(times[place])) + " ";
    }
    return text + "(" + std::to_string(times.size()) + " nodes)";
  }
};

void start_all_within(fleet_simulation& fleet, int spread_milliseconds) {
  for (const auto& name : fleet.node_names()) {
    const auto wait = fleet.random().below(static_cast<std::uint64_t>(spread_milliseconds) + 1);
    fleet.events().after(milliseconds(wait), [&fleet, name] { fleet.start_node(name); });
  }
}

time_line watch_start(fleet_simulation& fleet, base::duration limit) {
  constexpr base::duration step = milliseconds(20);
  const auto began = fleet.now();
  start_all_within(fleet, start_spread_milliseconds);
  const auto names = fleet.node_names();
  std::map<std::string, int> stage;
  time_line line;
  while (fleet.now() - began < limit) {
    fleet.run_for(step);
    const auto at = base::to_milliseconds(fleet.now() - began);
    for (const auto& name : names) {
      if (!fleet.is_alive(name)) {
        continue;
      }
      const auto& node = fleet.node(name);
      const auto known = node.members().members().size();
      const auto note = [&](int bit, bool holds, std::vector<double>& times) {
        if (holds && (stage[name] & bit) == 0) {
          stage[name] |= bit;
          times.push_back(static_cast<double>(at));
        }
      };
      note(1, known > 0, line.introduced);
      note(2, known + 1 == names.size(), line.whole);
      note(4, node.content().serving() != nullptr, line.has_content);
      note(8, node.is_ready(), line.ready);
    }
  }
  return line;
}

void print(const time_line& line) {
  BOOST_TEST_MESSAGE("  ms until (first, 0.1, middle, 0.9, last): introduced "
                     << time_line::quantiles(line.introduced) << "; all known "
                     << time_line::quantiles(line.whole) << "; configuration "
                     << time_line::quantiles(line.has_content) << "; ready "
                     << time_line::quantiles(line.ready));
}

} // namespace

BOOST_AUTO_TEST_SUITE(control_traffic)

BOOST_AUTO_TEST_CASE(all_nodes_return_at_once) {
  for (const int nodes : {30, 100, 300}) {
    fleet_simulation fleet(simulation::regional_fleet_settings(nodes));
    print(watch_start(fleet, seconds(20)));
    fleet.traffic().clear();
    fleet.run_for(seconds(10));
    traffic_report(fleet, 10).print("steady");
    for (const auto& name : fleet.node_names()) {
      fleet.kill_node(name);
    }
    fleet.run_for(seconds(1));
    fleet.traffic().clear();
    const auto calls = fleet.platform().calls();
    const auto line = watch_start(fleet, seconds(10));
    traffic_report(fleet, 10).print("return of all, 10 s");
    print(line);
    BOOST_TEST_MESSAGE("  reads of the store: " << fleet.platform().calls() - calls);
    BOOST_TEST(line.ready.size() == static_cast<std::size_t>(nodes));
  }
}

BOOST_AUTO_TEST_SUITE_END()
