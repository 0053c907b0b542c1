#include "simulation/fleet_simulation.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace spurrack::simulation {
namespace {

constexpr base::duration connect_timeout = std::chrono::milliseconds(400);
constexpr base::duration platform_delay = std::chrono::milliseconds(3);
constexpr base::duration poll_step = std::chrono::milliseconds(10);
/// What TCP and ZeroMQ add to a message.
constexpr double transport_overhead_bytes = 80;
constexpr std::uint64_t seed_stride = 0x9E3779B97F4A7C15;

std::uint64_t microseconds_of(base::time_point moment) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(moment.time_since_epoch()).count());
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
        [this](const emulated_backend& where, const execution::stage_call& call) {
          executions_.push_back({where.profile().name, call.identity, call.repeatable, call.input,
                                 events_.now(), call.not_after});
        });
    publish_backend(profile.name, "live", 1);
  }
}

bool fleet_simulation::run_until(const std::function<bool()>& condition, base::duration limit) {
  const auto end = now() + limit;
  while (now() < end) {
    if (condition()) {
      return true;
    }
    run_for(poll_step);
  }
  return condition();
}

// --- nodes ---------------------------------------------------------------------------------------

void fleet_simulation::start_node(const std::string& name) {
  auto& slot = nodes_.at(name);
  ++slot.life;
  slot.alive = true;
  slot.exited = false;
  slot.frozen_until = {};
  slot.freeze_before_effect.reset();
  slot.random =
      std::make_unique<base::seeded_random>(settings_.seed * seed_stride + random_.next());
  auto node_settings = settings_.node;
  node_settings.self.node = base::node_id(name);
  node_settings.self.zone = base::zone_id(slot.profile.zone);
  node_settings.self.address = base::network_address(name);
  node_settings.self.process_start = microseconds_of(now());
  node_settings.self.processor_share = static_cast<float>(slot.profile.processor_share);
  for (const auto& seed : settings_.seeds) {
    node_settings.seeds.emplace_back(seed);
  }
  for (const auto& other : settings_.nodes) {
    if (settings_.seeds.empty()) {
      node_settings.seeds.emplace_back(other.name);
    }
  }
  slot.sending = link(slot.profile.link_bytes_per_second);
  slot.receiving = link(slot.profile.link_bytes_per_second);
  slot.logic = std::make_unique<node::node>(node_settings, *slot.random, now());
  slot.wake_scheduled = base::time_point::max();
  deliver(name, slot.life, node::time_passed{});
}

void fleet_simulation::start_all_nodes() {
  for (const auto& profile : settings_.nodes) {
    start_node(profile.name);
  }
}

void fleet_simulation::kill_node(const std::string& name) {
  auto& slot = nodes_.at(name);
  if (!slot.alive) {
    return;
  }
  slot.alive = false;
  past_control_.messages_sent += slot.logic->control().messages_sent;
  past_control_.bytes_sent += slot.logic->control().bytes_sent;
  for (auto& [id, record] : callers_) {
    record.connection_lost = record.connection_lost || (record.node == name && record.answers == 0);
  }
  for (auto& [key, open] : open_calls_) {
    if (key.first == name) {
      open->cancelled = true;
    }
  }
}

void fleet_simulation::freeze_node(const std::string& name, base::duration span) {
  auto& slot = nodes_.at(name);
  slot.frozen_until = std::max(slot.frozen_until, now() + span);
}

void fleet_simulation::freeze_before_next_effect(const std::string& name, base::duration span) {
  nodes_.at(name).freeze_before_effect = span;
}

void fleet_simulation::stop_node(const std::string& name) {
  auto& slot = nodes_.at(name);
  if (slot.alive) {
    deliver(name, slot.life, node::stop_requested{});
  }
}

bool fleet_simulation::is_alive(const std::string& name) const {
  return nodes_.at(name).alive;
}
bool fleet_simulation::is_frozen(const std::string& name) const {
  return nodes_.at(name).frozen_until > events_.now();
}
bool fleet_simulation::has_exited(const std::string& name) const {
  return nodes_.at(name).exited;
}
const node::node& fleet_simulation::node(const std::string& name) const {
  return *nodes_.at(name).logic;
}

std::vector<std::string> fleet_simulation::node_names() const {
  std::vector<std::string> names;
  for (const auto& [name, slot] : nodes_) {
    names.push_back(name);
  }
  return names;
}

bool fleet_simulation::all_ready() const {
  return std::all_of(nodes_.begin(), nodes_.end(), [](const auto& entry) {
    return entry.second.alive && entry.second.logic->is_ready();
  });
}

void fleet_simulation::at_node(const std::string& name, std::uint64_t life,
                               std::function<void()> what) {
  auto& slot = nodes_.at(name);
  if (!slot.alive || slot.life != life) {
    return;
  }
  if (slot.frozen_until > now()) {
    events_.schedule_at(slot.frozen_until,
                        [this, name, life, what = std::move(what)] { at_node(name, life, what); });
    return;
  }
  what();
}

void fleet_simulation::deliver(const std::string& name, std::uint64_t life,
                               const node::event& what) {
  at_node(name, life, [this, name, what] {
    auto& slot = nodes_.at(name);
    auto commands = slot.logic->handle(what, now());
    for (auto& wanted : commands) {
      carry_out(slot, wanted);
    }
    schedule_wakeup(slot);
  });
}

void fleet_simulation::schedule_wakeup(node_slot& slot) {
  const auto when = std::max(slot.logic->next_wakeup(), now() + std::chrono::microseconds(1));
  if (!slot.alive || (slot.wake_scheduled > now() && slot.wake_scheduled <= when)) {
    return;
  }
  slot.wake_scheduled = when;
  events_.schedule_at(when, [this, name = slot.profile.name, life = slot.life, when] {
    auto& due = nodes_.at(name);
    if (due.life == life && due.wake_scheduled == when) {
      due.wake_scheduled = base::time_point::max();
      deliver(name, life, node::time_passed{});
    }
  });
}

void fleet_simulation::carry_out(node_slot& slot, node::command& wanted) {
  if (auto* message = std::get_if<wire::outgoing>(&wanted)) {
    send_message(slot, *message);
  } else if (auto* start = std::get_if<execution::start_call>(&wanted)) {
    if (slot.freeze_before_effect && !start->call.repeatable) {
      slot.frozen_until = now() + *slot.freeze_before_effect;
      slot.freeze_before_effect.reset();
    }
    start_call(slot, start->call);
  } else if (auto* cancel = std::get_if<execution::cancel_call>(&wanted)) {
    auto found = open_calls_.extract({slot.profile.name, cancel->call});
    if (!found.empty()) {
      auto& open = *found.mapped();
      open.cancelled = true;
      auto& target = *backends_.at(open.call.backend.text());
      if (connected(slot.profile.zone, target.profile().zone)) {
        events_.schedule_after(
            network_delay(), [&target, identity = open.call.identity] { target.cancel(identity); });
      }
    }
  } else if (auto* token = std::get_if<execution::send_token>(&wanted)) {
    auto& record = callers_.at(token->caller);
    record.streamed += token->text;
    record.first_token_at = record.first_token_at.value_or(now());
  } else if (auto* answer = std::get_if<execution::send_answer>(&wanted)) {
    answer_caller(*answer);
  } else if (auto* ticket = std::get_if<node::send_ticket>(&wanted)) {
    tickets_[ticket->caller] = ticket->ticket;
  } else if (auto* read = std::get_if<node::read_service>(&wanted)) {
    read_platform(slot, *read);
  } else if (auto* probe = std::get_if<node::probe_service>(&wanted)) {
    probe_platform(slot, *probe);
  } else if (std::holds_alternative<node::stop_completed>(wanted)) {
    for (auto& [id, record] : callers_) {
      record.cut_by_stop =
          record.cut_by_stop || (record.node == slot.profile.name && record.arrived &&
                                 record.answers == 0 && !record.connection_lost);
    }
    kill_node(slot.profile.name);
    slot.exited = true;
  }
}

node::control_counters fleet_simulation::control_totals() const {
  auto totals = past_control_;
  for (const auto& [name, slot] : nodes_) {
    if (slot.alive) {
      totals.messages_sent += slot.logic->control().messages_sent;
      totals.bytes_sent += slot.logic->control().bytes_sent;
    }
  }
  return totals;
}

// --- network -------------------------------------------------------------------------------------

void fleet_simulation::partition_zone(const std::string& zone, bool from_platform) {
  cuts_[zone] = from_platform;
}
void fleet_simulation::heal_zone(const std::string& zone) {
  cuts_.erase(zone);
}

bool fleet_simulation::connected(const std::string& zone, const std::string& other) const {
  return zone == other || (!cuts_.contains(zone) && !cuts_.contains(other));
}

base::duration fleet_simulation::network_delay() {
  return settings_.network.delay +
         base::from_seconds(base::to_seconds(settings_.network.jitter) * random_.unit());
}

base::duration fleet_simulation::delay_between(const std::string& zone, const std::string& other) {
  const auto& serving = settings_.node.serving;
  const bool near =
      !serving || serving->regions.same_region(base::zone_id(zone), base::zone_id(other));
  return network_delay() + (near ? base::duration{} : settings_.network.region_delay);
}

void fleet_simulation::send_message(node_slot& from, wire::outgoing& message) {
  const auto to = nodes_.find(message.to.text());
  if (to == nodes_.end() || random_.unit() < settings_.network.loss) {
    return;
  }
  const auto size = message.message.ByteSizeLong();
  traffic_.add({message.message.body_case(), from.profile.name, to->first}, size);
  const double carried = static_cast<double>(size) + transport_overhead_bytes;
  const auto sent = from.sending.transmit(carried, now());
  if (!sent) {
    return;
  }
  const auto arrival = *sent + delay_between(from.profile.zone, to->second.profile.zone);
  events_.schedule_at(arrival, [this, carried, from_zone = from.profile.zone, name = to->first,
                                life = to->second.life, content = std::move(message.message)] {
    auto& receiver = nodes_.at(name);
    const auto received = receiver.receiving.transmit(carried, now());
    if (!received || !connected(from_zone, receiver.profile.zone)) {
      return;
    }
    events_.schedule_at(*received, [this, name, life, content] {
      deliver(name, life, node::peer_message{content});
    });
  });
}

bool fleet_simulation::reaches_platform(const node_slot& slot) const {
  const auto cut = cuts_.find(slot.profile.zone);
  return !turned_away_.contains(slot.profile.zone) && (cut == cuts_.end() || !cut->second);
}

void fleet_simulation::probe_platform(const node_slot& slot, const node::probe_service& what) {
  const bool answers =
      reaches_platform(slot) && now() >= platform_silent_until_ && platform_.answer_probe();
  if (!answers) {
    events_.schedule_after(connect_timeout, [=, this, name = slot.profile.name, life = slot.life] {
      deliver(name, life, node::service_failed{what.source});
    });
  }
}

void fleet_simulation::read_platform(node_slot& slot, const node::read_service& what) {
  const auto name = slot.profile.name;
  const auto life = slot.life;
  const auto reachable = [this, name] { return reaches_platform(nodes_.at(name)); };
  const auto source = static_cast<std::size_t>(what.source);
  const auto number = ++slot.reads[source];
  // Of reads of a source only the latest counts, as with the platform's client.
  const auto is_latest = [this, name, source, number] {
    return nodes_.at(name).reads[source] == number;
  };
  const auto fail_after = [=, this](base::duration span) {
    events_.schedule_after(span, [=, this] {
      if (is_latest()) {
        deliver(name, life, node::service_failed{what.source});
      }
    });
  };
  const auto fail = [fail_after] { fail_after(connect_timeout); };
  const auto began = now();
  events_.schedule_after(platform_delay, [=, this] {
    if (platform_silent_until_ > began) {
      fail_after(what.hold + connect_timeout);
      return;
    }
    if (!reachable()) {
      fail();
      return;
    }
    platform_.read(what, [=, this](const std::optional<node::service_answered>& answer) {
      if (!is_latest()) {
        return;
      }
      if (platform_silent_until_ > began) {
        const base::duration held = now() - began;
        fail_after(std::max<base::duration>(what.hold - held, base::duration{}) + connect_timeout);
        return;
      }
      if (!answer || !reachable()) {
        fail();
        return;
      }
      auto transfer = std::make_shared<store_transfer>(
          store_transfer{name, life, *answer, answer->entries.size()});
      carry_pages(transfer);
    });
  });
}

void fleet_simulation::carry_pages(const std::shared_ptr<store_transfer>& transfer) {
  const auto page = std::min(transfer->entries_left, settings_.store.entries_per_page);
  const double bytes = static_cast<double>(page) * settings_.store.bytes_per_entry;
  const auto limit = now() + settings_.store.page_timeout;
  const auto fail = [this, transfer, limit] {
    events_.schedule_at(limit, [this, transfer] {
      deliver(transfer->node, transfer->life, node::service_failed{transfer->answer.source});
    });
  };
  const auto sent = store_link_.transmit(bytes, now());
  if (!sent || *sent > limit) {
    fail();
    return;
  }
  events_.schedule_at(*sent, [this, transfer, page, bytes, limit, fail] {
    const auto received = nodes_.at(transfer->node).receiving.transmit(bytes, now());
    if (!received || *received > limit) {
      fail();
      return;
    }
    transfer->entries_left -= page;
    events_.schedule_at(*received + platform_delay, [this, transfer] {
      if (transfer->entries_left > 0) {
        carry_pages(transfer);
      } else {
        deliver(transfer->node, transfer->life, transfer->answer);
      }
    });
  });
}

// --- back ends -----------------------------------------------------------------------------------

std::vector<std::string> fleet_simulation::backend_names() const {
  std::vector<std::string> names;
  for (const auto& [name, where] : backends_) {
    names.push_back(name);
  }
  return names;
}

void fleet_simulation::crash_backend(const std::string& name) {
  backends_.at(name)->crash();
  std::vector<open_call_ref> lost;
  for (const auto& [key, open] : open_calls_) {
    if (open->call.backend.text() == name && open->written) {
      lost.push_back(open);
    }
  }
  for (const auto& open : lost) {
    events_.schedule_after(network_delay(),
                           [this, open] { end_call(open, execution::call_status::broken); });
  }
}

std::string fleet_simulation::machine_record(const backend_profile& profile,
                                             const std::string& state, int generation) const {
  std::ostringstream text;
  text << "{name: " << profile.name << ", role: backend, zone: " << profile.zone
       << ", address: " << profile.name << ", pool: " << profile.pool
       << ", concurrency: " << profile.concurrency << ", state: " << state
       << ", generation: " << generation << "}";
  return text.str();
}

void fleet_simulation::publish_backend(const std::string& name, const std::string& state,
                                       int generation) {
  platform_.publish("machines/" + name,
                    machine_record(backends_.at(name)->profile(), state, generation));
}

void fleet_simulation::publish_node(const std::string& name, bool listed) {
  const auto& profile = nodes_.at(name).profile;
  const auto value =
      "{name: " + name + ", role: node, zone: " + profile.zone + ", address: " + name + "}";
  platform_.publish("machines/" + name, listed ? std::optional(value) : std::nullopt);
}

void fleet_simulation::start_call(node_slot& slot, const execution::stage_call& call) {
  auto open =
      std::make_shared<open_call>(open_call{call, slot.profile.name, slot.life, false, false});
  open_calls_[{slot.profile.name, call.call}] = open;
  auto& target = *backends_.at(call.backend.text());
  const bool reachable = connected(slot.profile.zone, target.profile().zone);
  if (!reachable || !target.is_alive()) {
    const auto wait = reachable ? network_delay() : connect_timeout;
    events_.schedule_after(wait,
                           [this, open] { end_call(open, execution::call_status::never_sent); });
    return;
  }
  // A round trip to connect, then the adapter writes.
  events_.schedule_after(network_delay() + network_delay(), [this, open] {
    at_node(open->node, open->life, [this, open] { write_call(open); });
  });
}

void fleet_simulation::write_call(const open_call_ref& open) {
  if (open->cancelled) {
    return;
  }
  if (now() >= open->call.not_after && settings_.node.switches.expiry_check_before_send) {
    end_call(open, execution::call_status::never_sent);
    return;
  }
  open->written = true;
  events_.schedule_after(network_delay(), [this, open] {
    auto& target = *backends_.at(open->call.backend.text());
    const auto zone = target.profile().zone;
    if (!connected(nodes_.at(open->node).profile.zone, zone)) {
      return;
    }
    if (!target.is_alive()) {
      end_call(open, execution::call_status::broken);
      return;
    }
    target.receive(
        open->call,
        [this, open, zone](backend_reply reply) { reply_to_call(open, zone, std::move(reply)); },
        [this, open, zone](const execution::call_token& token) {
          send_first_token(open, zone, token);
        });
  });
}

void fleet_simulation::send_first_token(const open_call_ref& open, const std::string& backend_zone,
                                        const execution::call_token& token) {
  events_.schedule_after(network_delay(), [this, open, backend_zone, token] {
    if (!open->cancelled && connected(nodes_.at(open->node).profile.zone, backend_zone)) {
      deliver(open->node, open->life, token);
    }
  });
}

void fleet_simulation::reply_to_call(const open_call_ref& open, const std::string& backend_zone,
                                     backend_reply reply) {
  events_.schedule_after(network_delay(), [this, open, backend_zone, reply = std::move(reply)] {
    const auto& zone = nodes_.at(open->node).profile.zone;
    if (open->cancelled || !connected(zone, backend_zone)) {
      return;
    }
    open_calls_.erase({open->node, open->call.call});
    for (const auto& token : reply.tokens) {
      deliver(open->node, open->life, token);
    }
    deliver(open->node, open->life, reply.result);
  });
}

void fleet_simulation::end_call(const open_call_ref& open, execution::call_status status) {
  if (open->cancelled) {
    return;
  }
  open_calls_.erase({open->node, open->call.call});
  execution::call_result result;
  result.call = open->call.call;
  result.status = status;
  deliver(open->node, open->life, result);
}

// --- callers -------------------------------------------------------------------------------------

base::caller_id fleet_simulation::send(const std::string& name, execution::caller_request request) {
  const auto id = next_caller_++;
  auto& record = callers_[id];
  record.id = id;
  record.node = name;
  record.request = request;
  record.sent_at = now();
  const auto& slot = nodes_.at(name);
  if (!slot.alive) {
    record.connection_lost = true;
    return id;
  }
  record.deadline = now() + request.deadline.value_or(std::chrono::seconds(3));
  events_.schedule_after(network_delay(),
                         [this, name, life = slot.life, id, request = std::move(request)] {
                           const auto& target = nodes_.at(name);
                           callers_.at(id).arrived = target.alive && target.life == life;
                           deliver(name, life, node::caller_arrived{id, request, now()});
                         });
  return id;
}

std::string fleet_simulation::take_ticket(const std::string& name,
                                          const std::string& token_sha256) {
  const auto id = next_caller_++;
  callers_[id].id = id;
  callers_[id].node = name;
  deliver(name, nodes_.at(name).life, node::ticket_wanted{id, token_sha256});
  run_until([&] { return tickets_.contains(id); }, std::chrono::seconds(1));
  callers_.erase(id);
  return tickets_[id];
}

void fleet_simulation::hang_up(base::caller_id caller) {
  const auto& record = callers_.at(caller);
  deliver(record.node, nodes_.at(record.node).life, node::caller_left{caller});
}

void fleet_simulation::answer_caller(const execution::send_answer& wanted) {
  const auto found = callers_.find(std::get<execution::local_caller>(wanted.caller).id);
  if (found == callers_.end()) {
    return;
  }
  auto& record = found->second;
  ++record.answers;
  record.answer = wanted.content;
  record.answered_at = now();
}

void fleet_simulation::forget_records() {
  std::erase_if(callers_, [](const auto& entry) { return entry.second.answers > 0; });
  executions_.clear();
}

} // namespace spurrack::simulation
