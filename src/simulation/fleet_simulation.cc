#include "simulation/fleet_simulation.h"

#include <algorithm>
#include <utility>

namespace spurrack::simulation {
namespace {

constexpr base::duration poll_interval = std::chrono::milliseconds(10);
constexpr std::uint64_t seed_stride = 0x9E3779B97F4A7C15;

std::uint64_t microseconds_of(base::time_point instant) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(instant.time_since_epoch()).count());
}

} // namespace

fleet_simulation::fleet_simulation(simulation_settings settings)
    : settings_(std::move(settings)), random_(settings_.seed), platform_(events_),
      store_link_(settings_.store.bytes_per_second) {
  for (const auto& [key, value] : settings_.records) {
    platform_.publish(key, value);
  }
  for (const auto& profile : settings_.nodes) {
    nodes_[profile.name].profile = profile;
    if (settings_.should_publish_node_list) {
      publish_node(profile.name, true);
    }
  }
  for (const auto& profile : settings_.backends) {
    backends_[profile.name] = std::make_unique<emulated_backend>(
        profile, events_, random_,
        [this](const emulated_backend& target, const execution::stage_call& call) {
          executions_.push_back({target.profile().name, call.identity, call.repeatable, call.input,
                                 events_.now(), call.not_after});
        });
    publish_backend(profile.name, "live", 1);
  }
}

bool fleet_simulation::run_until(const std::function<bool()>& condition, base::duration timeout) {
  const auto deadline = now() + timeout;
  while (now() < deadline) {
    if (condition()) {
      return true;
    }
    run_for(poll_interval);
  }
  return condition();
}

// --- nodes ---------------------------------------------------------------------------------------

void fleet_simulation::start_node(const std::string& name) {
  auto& instance = nodes_.at(name);
  ++instance.incarnation;
  instance.is_alive = true;
  instance.has_exited = false;
  instance.frozen_until = {};
  instance.freeze_before_effect.reset();
  instance.random =
      std::make_unique<base::seeded_random>(settings_.seed * seed_stride + random_.next());
  auto node_settings = settings_.node;
  node_settings.self.node = base::node_id(name);
  node_settings.self.zone = base::zone_id(instance.profile.zone);
  node_settings.self.address = base::network_address(name);
  node_settings.self.process_start = microseconds_of(now());
  node_settings.self.processor_share = static_cast<float>(instance.profile.processor_cores);
  for (const auto& seed : settings_.seeds) {
    node_settings.seeds.emplace_back(seed);
  }
  for (const auto& other : settings_.nodes) {
    if (settings_.seeds.empty()) {
      node_settings.seeds.emplace_back(other.name);
    }
  }
  instance.has_pending_read = {};
  instance.uplink = link(instance.profile.link_bytes_per_second);
  instance.downlink = link(instance.profile.link_bytes_per_second);
  instance.logic = std::make_unique<node::node>(node_settings, *instance.random, now());
  instance.wakeup_at = base::time_point::max();
  deliver(name, instance.incarnation, node::time_passed{});
}

void fleet_simulation::start_all_nodes() {
  for (const auto& profile : settings_.nodes) {
    start_node(profile.name);
  }
}

void fleet_simulation::kill_node(const std::string& name) {
  auto& instance = nodes_.at(name);
  if (!instance.is_alive) {
    return;
  }
  instance.is_alive = false;
  earlier_control_totals_.messages_sent += instance.logic->message_counters().messages_sent;
  earlier_control_totals_.bytes_sent += instance.logic->message_counters().bytes_sent;
  for (auto& [id, record] : callers_) {
    record.is_connection_lost =
        record.is_connection_lost || (record.node == name && record.answer_count == 0);
  }
  for (auto& [key, open] : open_calls_) {
    if (key.first == name) {
      open->is_cancelled = true;
    }
  }
}

void fleet_simulation::freeze_node(const std::string& name, base::duration duration) {
  auto& instance = nodes_.at(name);
  instance.frozen_until = std::max(instance.frozen_until, now() + duration);
}

void fleet_simulation::freeze_before_next_effect(const std::string& name, base::duration duration) {
  nodes_.at(name).freeze_before_effect = duration;
}

void fleet_simulation::stop_node(const std::string& name) {
  auto& instance = nodes_.at(name);
  if (instance.is_alive) {
    deliver(name, instance.incarnation, node::stop_requested{});
  }
}

bool fleet_simulation::is_alive(const std::string& name) const {
  return nodes_.at(name).is_alive;
}
bool fleet_simulation::is_frozen(const std::string& name) const {
  return nodes_.at(name).frozen_until > events_.now();
}
bool fleet_simulation::has_exited(const std::string& name) const {
  return nodes_.at(name).has_exited;
}
const node::node& fleet_simulation::node(const std::string& name) const {
  return *nodes_.at(name).logic;
}

std::vector<std::string> fleet_simulation::node_names() const {
  std::vector<std::string> names;
  for (const auto& [name, instance] : nodes_) {
    names.push_back(name);
  }
  return names;
}

bool fleet_simulation::all_ready() const {
  return std::all_of(nodes_.begin(), nodes_.end(), [](const auto& entry) {
    return entry.second.is_alive && entry.second.logic->is_ready();
  });
}

void fleet_simulation::run_at_node(const std::string& name, std::uint64_t incarnation,
                                   std::function<void()> action) {
  auto& instance = nodes_.at(name);
  if (!instance.is_alive || instance.incarnation != incarnation) {
    return;
  }
  if (instance.frozen_until > now()) {
    events_.schedule_at(instance.frozen_until,
                        [this, name, incarnation, action = std::move(action)] {
                          run_at_node(name, incarnation, action);
                        });
    return;
  }
  action();
}

void fleet_simulation::deliver(const std::string& name, std::uint64_t incarnation,
                               const node::event& event) {
  run_at_node(name, incarnation, [this, name, event] {
    auto& instance = nodes_.at(name);
    auto commands = instance.logic->handle(event, now());
    for (auto& command : commands) {
      execute_command(instance, command);
    }
    schedule_wakeup(instance);
  });
}

void fleet_simulation::require_verified_list(const std::string& name) {
  auto& instance = nodes_.at(name);
  instance.logic->require_verified_list(now());
  deliver(name, instance.incarnation, node::time_passed{});
}

void fleet_simulation::schedule_wakeup(node_instance& instance) {
  const auto next_wakeup =
      std::max(instance.logic->next_wakeup(), now() + std::chrono::microseconds(1));
  if (!instance.is_alive || (instance.wakeup_at > now() && instance.wakeup_at <= next_wakeup)) {
    return;
  }
  instance.wakeup_at = next_wakeup;
  events_.schedule_at(next_wakeup, [this, name = instance.profile.name,
                                    incarnation = instance.incarnation, next_wakeup] {
    auto& current = nodes_.at(name);
    if (current.incarnation == incarnation && current.wakeup_at == next_wakeup) {
      current.wakeup_at = base::time_point::max();
      deliver(name, incarnation, node::time_passed{});
    }
  });
}

void fleet_simulation::execute_command(node_instance& instance, node::command& command) {
  if (auto* message = std::get_if<wire::outgoing>(&command)) {
    send_message(instance, *message);
  } else if (auto* start = std::get_if<execution::start_call>(&command)) {
    if (instance.freeze_before_effect && !start->call.repeatable) {
      instance.frozen_until = now() + *instance.freeze_before_effect;
      instance.freeze_before_effect.reset();
    }
    start_call(instance, start->call);
  } else if (auto* cancel = std::get_if<execution::cancel_call>(&command)) {
    auto found = open_calls_.extract({instance.profile.name, cancel->call});
    if (!found.empty()) {
      auto& open = *found.mapped();
      open.is_cancelled = true;
      auto& target = *backends_.at(open.call.backend.text());
      if (are_connected(instance.profile.zone, target.profile().zone)) {
        events_.schedule_after(
            network_delay(), [&target, identity = open.call.identity] { target.cancel(identity); });
      }
    }
  } else if (auto* token = std::get_if<execution::send_token>(&command)) {
    auto& record = callers_.at(token->caller);
    record.streamed_text += token->text;
    record.first_token_at = record.first_token_at.value_or(now());
  } else if (auto* answer = std::get_if<execution::send_answer>(&command)) {
    record_answer(*answer);
  } else if (auto* ticket = std::get_if<node::send_ticket>(&command)) {
    tickets_[ticket->caller] = ticket->ticket;
  } else if (auto* read = std::get_if<node::read_service>(&command)) {
    read_platform(instance, *read);
  } else if (auto* probe = std::get_if<node::probe_service>(&command)) {
    probe_platform(instance, *probe);
  } else if (std::holds_alternative<node::stop_completed>(command)) {
    for (auto& [id, record] : callers_) {
      record.is_dropped_by_stop = record.is_dropped_by_stop ||
                                  (record.node == instance.profile.name && record.has_arrived &&
                                   record.answer_count == 0 && !record.is_connection_lost);
    }
    kill_node(instance.profile.name);
    instance.has_exited = true;
  }
}

node::control_counters fleet_simulation::control_totals() const {
  auto totals = earlier_control_totals_;
  for (const auto& [name, instance] : nodes_) {
    if (instance.is_alive) {
      totals.messages_sent += instance.logic->message_counters().messages_sent;
      totals.bytes_sent += instance.logic->message_counters().bytes_sent;
    }
  }
  return totals;
}

// --- callers -------------------------------------------------------------------------------------

base::caller_id fleet_simulation::send(const std::string& name, execution::caller_request request) {
  const auto id = next_caller_++;
  auto& record = callers_[id];
  record.id = id;
  record.node = name;
  record.request = request;
  record.sent_at = now();
  const auto& instance = nodes_.at(name);
  if (!instance.is_alive) {
    record.is_connection_lost = true;
    return id;
  }
  record.deadline = now() + request.deadline.value_or(std::chrono::seconds(3));
  events_.schedule_after(network_delay(), [this, name, incarnation = instance.incarnation, id,
                                           request = std::move(request)] {
    const auto& target = nodes_.at(name);
    callers_.at(id).has_arrived = target.is_alive && target.incarnation == incarnation;
    deliver(name, incarnation, node::caller_arrived{id, request, now()});
  });
  return id;
}

std::string fleet_simulation::request_ticket(const std::string& name,
                                             const std::string& token_sha256) {
  const auto id = next_caller_++;
  callers_[id].id = id;
  callers_[id].node = name;
  deliver(name, nodes_.at(name).incarnation, node::ticket_requested{id, token_sha256});
  run_until([&] { return tickets_.contains(id); }, std::chrono::seconds(1));
  callers_.erase(id);
  return tickets_[id];
}

void fleet_simulation::disconnect_caller(base::caller_id caller) {
  const auto& record = callers_.at(caller);
  deliver(record.node, nodes_.at(record.node).incarnation, node::caller_disconnected{caller});
}

void fleet_simulation::record_answer(const execution::send_answer& answer) {
  const auto found = callers_.find(std::get<execution::local_caller>(answer.caller).id);
  if (found == callers_.end()) {
    return;
  }
  auto& record = found->second;
  ++record.answer_count;
  record.answer = answer.content;
  record.answered_at = now();
}

void fleet_simulation::clear_settled_records() {
  std::erase_if(callers_, [](const auto& entry) { return entry.second.answer_count > 0; });
  executions_.clear();
}

} // namespace spurrack::simulation
