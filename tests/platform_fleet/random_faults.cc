#include "random_faults.h"

#include <csignal>
#include <thread>

namespace spurrack::platform_tests {
namespace {

using std::chrono::milliseconds;

enum class fault : std::uint8_t {
  node_kill,
  node_stop,
  node_freeze,
  node_thaw,
  node_reload,
  peer_link,
  replica_link,
  store,
  store_return,
  replica_behaviour,
  replica_restart,
  foreign_entries,
  evacuation,
  drain,
};
constexpr std::size_t fault_kinds = static_cast<std::size_t>(fault::drain) + 1;

constexpr std::size_t replica_modes = static_cast<std::size_t>(replica_mode::slow) + 1;
constexpr std::size_t store_faults = static_cast<std::size_t>(store_mode::forgetful);
constexpr milliseconds fault_gap{300};
constexpr std::size_t fault_gap_spread_milliseconds = 500;
constexpr std::size_t longest_absence_milliseconds = 800;
constexpr int link_delay_milliseconds = 80;

} // namespace

void random_faults::strike_until(soak_clock::time_point end) {
  while (soak_clock::now() < end) {
    fleet_->unplanned_at = soak_clock::now();
    strike();
    std::this_thread::sleep_for(fault_gap +
                                milliseconds(random_->below(fault_gap_spread_milliseconds)));
  }
  fleet_->unplanned_at = soak_clock::now();
}

void random_faults::strike() {
  switch (static_cast<fault>(random_->below(fault_kinds))) {
  case fault::node_kill:
    kill(any_node());
    break;
  case fault::node_stop:
    thaw();
    stops_.begin(any_node());
    break;
  case fault::node_freeze:
    freeze(any_node());
    break;
  case fault::node_thaw:
    thaw();
    break;
  case fault::node_reload:
    reload(any_node());
    break;
  case fault::peer_link:
    disturb_peer_link(any_node());
    break;
  case fault::replica_link:
    disturb_replica_link(any_replica());
    break;
  case fault::store:
    ledger_->count("fault store");
    fleet_->store.set_mode(static_cast<store_mode>(1 + random_->below(store_faults)));
    break;
  case fault::store_return:
    fleet_->store.set_mode(store_mode::normal);
    break;
  case fault::replica_behaviour:
    ledger_->count("fault replica");
    any_replica().set_mode(static_cast<replica_mode>(random_->below(replica_modes)));
    break;
  case fault::replica_restart:
    restart(any_replica());
    break;
  case fault::foreign_entries:
    ledger_->count("fault foreign entries");
    foreign_->put_all();
    break;
  case fault::evacuation:
    ledger_->count("fault evacuation or its end");
    fleet_->set_evacuated(evacuated_zone, random_->below(2) == 0);
    break;
  case fault::drain:
    drain_or_return(any_replica());
    break;
  }
}

void random_faults::kill(soak_node& node) {
  if (node.is_stopping) {
    return;
  }
  if (!fleet_->is_running(node)) {
    ledger_->note_violation("LOST", node.name + " ended by itself");
  }
  ledger_->count("fault kill");
  fleet_->wait_for_end(node, milliseconds(0));
  fleet_->start_node(node);
}

void random_faults::freeze(soak_node& node) {
  if (node.is_stopping) {
    return;
  }
  ledger_->count("fault freeze");
  fleet_->signal(node, SIGSTOP);
  frozen_.push_back(&node);
}

void random_faults::thaw() {
  for (auto* node : frozen_) {
    fleet_->signal(*node, SIGCONT);
  }
  frozen_.clear();
}

void random_faults::reload(soak_node& node) {
  if (node.is_stopping) {
    return;
  }
  ledger_->count("fault reload");
  fleet_->reload(node, random_->below(2) == 0);
}

void random_faults::disturb_peer_link(const soak_node& node) {
  ledger_->count("fault peer link");
  fleet_->set_link(node.name, random_->below(2) == 0 ? "cut" : "black_hole");
  links_.push_back(node.name);
}

void random_faults::disturb_replica_link(const soak_replica& replica) {
  ledger_->count("fault replica link");
  const auto choice = random_->below(3);
  fleet_->set_link(replica.id(),
                   choice == 0   ? "cut"
                   : choice == 1 ? "black_hole"
                                 : "",
                   link_delay_milliseconds);
  links_.push_back(replica.id());
}

void random_faults::drain_or_return(soak_replica& replica) {
  ledger_->count("fault drain or return");
  replica.set_draining(random_->below(2) == 0);
  fleet_->publish(replica);
}

void random_faults::restart(soak_replica& replica) {
  ledger_->count("fault replica restart");
  fleet_->unplanned_at = soak_clock::now();
  replica.crash();
  // The entry of a replica that is away for long lapses before it is written again.
  if (random_->below(2) == 0) {
    std::this_thread::sleep_for(milliseconds(random_->below(longest_absence_milliseconds)));
    fleet_->unpublish(replica);
  }
  replica.start_again();
  fleet_->publish(replica);
  fleet_->unplanned_at = soak_clock::now();
}

soak_replica& random_faults::heal() {
  thaw();
  for (const auto& name : links_) {
    fleet_->set_link(name, "");
  }
  links_.clear();
  fleet_->store.set_mode(store_mode::normal);
  fleet_->set_evacuated(evacuated_zone, false);
  foreign_->remove_all();
  for (const auto& replica : fleet_->replicas) {
    replica->set_mode(replica_mode::normal);
    replica->set_draining(false);
    fleet_->publish(*replica);
  }
  fleet_->unplanned_at = soak_clock::now();
  auto& restarted = any_replica();
  restart(restarted);
  stops_.wait();
  for (const auto& node : fleet_->nodes) {
    if (!fleet_->is_running(*node)) {
      ledger_->note_violation("LOST", node->name + " ended by itself");
      fleet_->start_node(*node);
      fleet_->unplanned_at = soak_clock::now();
    }
  }
  return restarted;
}

} // namespace spurrack::platform_tests
