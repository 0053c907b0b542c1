#include "random_faults.h"

#include <csignal>
#include <thread>

namespace spurrack::platform_tests {
namespace {

using std::chrono::milliseconds;

enum class fault : std::uint8_t {
  node_kill,
  node_stop,
  node_suspension,
  node_resumption,
  node_reload,
  peer_link,
  replica_link,
  store,
  store_recovery,
  replica_behaviour,
  replica_restart,
  foreign_entries,
  evacuation,
  drain,
};
constexpr std::size_t fault_kind_count = static_cast<std::size_t>(fault::drain) + 1;

constexpr std::size_t replica_mode_count = static_cast<std::size_t>(replica_mode::slow) + 1;
constexpr std::size_t store_fault_count = static_cast<std::size_t>(store_mode::expired_watches);
constexpr milliseconds min_fault_interval{300};
constexpr std::size_t fault_interval_spread_milliseconds = 500;
constexpr std::size_t max_extra_downtime_milliseconds = 800;
constexpr int link_delay_milliseconds = 80;

} // namespace

void random_faults::inject_until(soak_clock::time_point end) {
  while (soak_clock::now() < end) {
    fleet_->last_fault_at = soak_clock::now();
    inject_random_fault();
    std::this_thread::sleep_for(min_fault_interval +
                                milliseconds(random_->below(fault_interval_spread_milliseconds)));
  }
  fleet_->last_fault_at = soak_clock::now();
}

void random_faults::inject_random_fault() {
  switch (static_cast<fault>(random_->below(fault_kind_count))) {
  case fault::node_kill:
    kill(random_node());
    break;
  case fault::node_stop:
    resume_suspended_nodes();
    stops_.begin(random_node());
    break;
  case fault::node_suspension:
    suspend(random_node());
    break;
  case fault::node_resumption:
    resume_suspended_nodes();
    break;
  case fault::node_reload:
    reload(random_node());
    break;
  case fault::peer_link:
    inject_peer_link_fault(random_node());
    break;
  case fault::replica_link:
    inject_replica_link_fault(random_replica());
    break;
  case fault::store:
    recorder_->count("fault store");
    fleet_->store.set_mode(static_cast<store_mode>(1 + random_->below(store_fault_count)));
    break;
  case fault::store_recovery:
    fleet_->store.set_mode(store_mode::normal);
    break;
  case fault::replica_behaviour:
    recorder_->count("fault replica");
    random_replica().set_mode(static_cast<replica_mode>(random_->below(replica_mode_count)));
    break;
  case fault::replica_restart:
    restart(random_replica());
    break;
  case fault::foreign_entries:
    recorder_->count("fault foreign entries");
    foreign_entries_->put_all();
    break;
  case fault::evacuation:
    recorder_->count("fault evacuation or its end");
    fleet_->set_evacuated(evacuated_zone, random_->below(2) == 0);
    break;
  case fault::drain:
    set_random_draining(random_replica());
    break;
  }
}

void random_faults::kill(soak_node& node) {
  if (node.is_stopping) {
    return;
  }
  if (!fleet_->is_running(node)) {
    recorder_->note_violation("LOST", node.name + " exited unexpectedly");
  }
  recorder_->count("fault kill");
  fleet_->wait_for_exit(node, milliseconds(0));
  fleet_->start_node(node);
}

void random_faults::suspend(soak_node& node) {
  if (node.is_stopping) {
    return;
  }
  recorder_->count("fault freeze");
  fleet_->signal(node, SIGSTOP);
  suspended_nodes_.push_back(&node);
}

void random_faults::resume_suspended_nodes() {
  for (auto* node : suspended_nodes_) {
    fleet_->signal(*node, SIGCONT);
  }
  suspended_nodes_.clear();
}

void random_faults::reload(soak_node& node) {
  if (node.is_stopping) {
    return;
  }
  recorder_->count("fault reload");
  fleet_->reload(node, random_->below(2) == 0);
}

void random_faults::inject_peer_link_fault(const soak_node& node) {
  recorder_->count("fault peer link");
  fleet_->set_link_fault(node.name, random_->below(2) == 0 ? "cut" : "black_hole");
  faulty_links_.push_back(node.name);
}

void random_faults::inject_replica_link_fault(const soak_replica& replica) {
  recorder_->count("fault replica link");
  const auto choice = random_->below(3);
  fleet_->set_link_fault(replica.id(),
                         choice == 0   ? "cut"
                         : choice == 1 ? "black_hole"
                                       : "",
                         link_delay_milliseconds);
  faulty_links_.push_back(replica.id());
}

void random_faults::set_random_draining(soak_replica& replica) {
  recorder_->count("fault drain or return");
  replica.set_draining(random_->below(2) == 0);
  fleet_->publish(replica);
}

void random_faults::restart(soak_replica& replica) {
  recorder_->count("fault replica restart");
  fleet_->last_fault_at = soak_clock::now();
  replica.crash();
  // In half of the restarts, the replica stays down until its store entry has expired; `unpublish`
  // emulates the expiry.
  if (random_->below(2) == 0) {
    std::this_thread::sleep_for(milliseconds(random_->below(max_extra_downtime_milliseconds)));
    fleet_->unpublish(replica);
  }
  replica.restart();
  fleet_->publish(replica);
  fleet_->last_fault_at = soak_clock::now();
}

soak_replica& random_faults::end_faults() {
  resume_suspended_nodes();
  for (const auto& name : faulty_links_) {
    fleet_->set_link_fault(name, "");
  }
  faulty_links_.clear();
  fleet_->store.set_mode(store_mode::normal);
  fleet_->set_evacuated(evacuated_zone, false);
  foreign_entries_->remove_all();
  for (const auto& replica : fleet_->replicas) {
    replica->set_mode(replica_mode::normal);
    replica->set_draining(false);
    fleet_->publish(*replica);
  }
  fleet_->last_fault_at = soak_clock::now();
  auto& restarted = random_replica();
  restart(restarted);
  stops_.wait();
  for (const auto& node : fleet_->nodes) {
    if (!fleet_->is_running(*node)) {
      recorder_->note_violation("LOST", node->name + " exited unexpectedly");
      fleet_->start_node(*node);
      fleet_->last_fault_at = soak_clock::now();
    }
  }
  return restarted;
}

} // namespace spurrack::platform_tests
