#include "out_of_step_phase.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <thread>

namespace spurrack::platform_tests {
namespace {

using std::chrono::milliseconds;

/// Longer than the time that clients give their requests. With a timeout, nodes know how long ago a
/// stream can have begun.
constexpr milliseconds route_timeout{9'000};
/// Time in which nodes learn the configuration, and clients begin streams at each node.
constexpr milliseconds time_before{4'000};
/// Maximum time from the begin of the software change to the fault. The first replica with other
/// software is published 0.8 s after the begin.
constexpr milliseconds max_fault_delay{1'000};
constexpr milliseconds min_fault_time{500};
constexpr milliseconds max_fault_time{5'000};
constexpr milliseconds min_stand{300};
constexpr milliseconds max_stand_in_series{1'500};
constexpr milliseconds max_time_between_stands{120};
/// Time after the fault in which clients still prefer the node.
constexpr milliseconds time_after{2'000};

} // namespace

void out_of_step_phase::run() {
  fleet_->publish_configuration(configuration_contents{.route_timeout = route_timeout});
  fleet_->should_break_streams = true;
  std::this_thread::sleep_for(time_before);
  auto& node = *fleet_->nodes[random_.below(fleet_->nodes.size())];
  node.is_out_of_step = true;
  roll_.start();
  std::this_thread::sleep_for(drawn_time(milliseconds(0), max_fault_delay));
  const auto span = drawn_time(min_fault_time, max_fault_time);
  note_fault();
  if (random_.below(2) == 0) {
    isolate(node, span);
  } else {
    stop(node, span);
  }
  note_fault();
  std::this_thread::sleep_for(time_after);
  node.is_out_of_step = false;
  roll_.stop();
  fleet_->should_break_streams = false;
  fleet_->publish_configuration(true);
}

void out_of_step_phase::isolate(const soak_node& node, milliseconds span) {
  constexpr std::array<const char*, 3> faults{"cut", "black_hole", "held"};
  const std::string fault = faults[random_.below(faults.size())];
  recorder_->count("node out of step by " + fault);
  set_links(node, fault);
  std::this_thread::sleep_for(span);
  set_links(node, "");
}

void out_of_step_phase::set_links(const soak_node& node, const std::string& fault) {
  fleet_->set_link_fault(soak_fleet::store_link_of(node), fault);
  fleet_->set_link_fault(node.name, fault);
}

void out_of_step_phase::stop(soak_node& node, milliseconds span) {
  const bool is_series = random_.below(2) == 0;
  recorder_->count(is_series ? "node out of step by stands" : "node out of step by a stand");
  const auto end = soak_clock::now() + span;
  while (soak_clock::now() < end) {
    fleet_->signal(node, SIGSTOP);
    std::this_thread::sleep_for(is_series ? drawn_time(min_stand, max_stand_in_series) : span);
    fleet_->signal(node, SIGCONT);
    std::this_thread::sleep_for(drawn_time(milliseconds(1), max_time_between_stands));
  }
}

milliseconds out_of_step_phase::drawn_time(milliseconds least, milliseconds most) {
  return least + milliseconds(random_.below(static_cast<std::size_t>((most - least).count()) + 1));
}

} // namespace spurrack::platform_tests
