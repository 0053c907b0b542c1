/// The emulated network of a fleet: messages between nodes, reads of the platform's store, and
/// calls to back ends.
#include "simulation/fleet_simulation.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace spurrack::simulation {
namespace {

constexpr base::duration connect_timeout = std::chrono::milliseconds(400);
/// Time after which a read without an answer fails, counted from the end of its hold time.
constexpr base::duration unanswered_call_timeout = std::chrono::seconds(1);
constexpr base::duration platform_delay = std::chrono::milliseconds(3);
/// Number of bytes that TCP and ZeroMQ add to each message.
constexpr double transport_overhead_bytes = 80;

} // namespace

// --- network -------------------------------------------------------------------------------------

void fleet_simulation::partition_zone(const std::string& zone, bool includes_platform) {
  partitions_[zone] = includes_platform;
}
void fleet_simulation::heal_zone(const std::string& zone) {
  partitions_.erase(zone);
}

bool fleet_simulation::are_connected(const std::string& zone, const std::string& other_zone) const {
  return zone == other_zone || (!partitions_.contains(zone) && !partitions_.contains(other_zone));
}

base::duration fleet_simulation::network_delay() {
  return settings_.network.delay +
         base::from_seconds(base::to_seconds(settings_.network.jitter) * random_.next_fraction());
}

base::duration fleet_simulation::delay_between(const std::string& zone,
                                               const std::string& other_zone) {
  const auto& serving = settings_.node.serving;
  const bool are_in_one_region = !serving || serving->regions.are_in_same_region(
                                                 base::zone_id(zone), base::zone_id(other_zone));
  return network_delay() + (are_in_one_region ? base::duration{} : settings_.network.region_delay);
}

void fleet_simulation::send_message(node_instance& sender, wire::outgoing& message) {
  const auto found = nodes_.find(message.to.text());
  if (found == nodes_.end() || random_.next_fraction() < settings_.network.loss_probability) {
    return;
  }
  if (sender.access_to_peers == peer_access::none ||
      sender.access_to_peers == peer_access::receives_only) {
    return;
  }
  const auto message_bytes = message.message.ByteSizeLong();
  traffic_.add({message.message.body_case(), sender.profile.name, found->first}, message_bytes);
  const double transmitted_bytes = static_cast<double>(message_bytes) + transport_overhead_bytes;
  const auto sent_at = sender.uplink.transmit(transmitted_bytes, now());
  if (!sent_at) {
    return;
  }
  const auto arrives_at = *sent_at + delay_between(sender.profile.zone, found->second.profile.zone);
  events_.schedule_at(arrives_at, [this, transmitted_bytes, sender_zone = sender.profile.zone,
                                   name = found->first, incarnation = found->second.incarnation,
                                   envelope = std::move(message.message)] {
    auto& receiver = nodes_.at(name);
    const auto received_at = receiver.downlink.transmit(transmitted_bytes, now());
    if (!received_at || !are_connected(sender_zone, receiver.profile.zone) ||
        receiver.access_to_peers == peer_access::none ||
        receiver.access_to_peers == peer_access::sends_only ||
        receiver.ignored_kinds.contains(envelope.body_case())) {
      return;
    }
    events_.schedule_at(*received_at, [this, name, incarnation, envelope] {
      deliver(name, incarnation, node::peer_message{envelope});
    });
  });
}

bool fleet_simulation::can_reach_platform(const node_instance& instance) const {
  const auto partition = partitions_.find(instance.profile.zone);
  return !zones_without_platform_.contains(instance.profile.zone) &&
         (partition == partitions_.end() || !partition->second) &&
         instance.access_to_store == store_access::reachable;
}

void fleet_simulation::set_store_access(const std::string& name, store_access access) {
  auto& instance = nodes_.at(name);
  instance.access_to_store = access;
  if (access == store_access::silent) {
    instance.silenced_at = now();
  }
  for (std::size_t source = 0; source < node::source_count; ++source) {
    if (access == store_access::refused && instance.has_pending_read[source]) {
      // The counter is increased so that the result of the pending read is dropped.
      ++instance.service_reads_started[source];
      instance.has_pending_read[source] = false;
      events_.schedule_after(platform_delay, [this, name, incarnation = instance.incarnation,
                                              source] {
        deliver(name, incarnation, node::service_failed{static_cast<node::source_kind>(source)});
      });
    }
  }
}

void fleet_simulation::probe_platform(const node_instance& instance,
                                      const node::probe_service& request) {
  const bool is_answered =
      can_reach_platform(instance) && now() >= platform_hangs_until_ && platform_.answer_probe();
  if (!is_answered) {
    events_.schedule_after(connect_timeout, [=, this, name = instance.profile.name,
                                             incarnation = instance.incarnation] {
      deliver(name, incarnation, node::service_failed{request.source});
    });
  }
}

void fleet_simulation::read_platform(node_instance& instance, const node::read_service& request) {
  const auto name = instance.profile.name;
  const auto incarnation = instance.incarnation;
  const auto is_reachable = [this, name] { return can_reach_platform(nodes_.at(name)); };
  const auto source = static_cast<std::size_t>(request.source);
  const auto read_number = ++instance.service_reads_started[source];
  // If the node has started a later read of the same source before the platform answers, the result
  // of this read is dropped, as in the daemon's client of the platform's store.
  instance.has_pending_read[source] = true;
  const auto is_latest = [this, name, source, read_number] {
    return nodes_.at(name).service_reads_started[source] == read_number;
  };
  const auto fail_after = [=, this](base::duration delay) {
    events_.schedule_after(delay, [=, this] {
      if (is_latest()) {
        nodes_.at(name).has_pending_read[source] = false;
        deliver(name, incarnation, node::service_failed{request.source});
      }
    });
  };
  const auto fail = [=, this] {
    const bool is_refused = nodes_.at(name).access_to_store == store_access::refused;
    fail_after(is_refused ? platform_delay : connect_timeout);
  };
  const auto started_at = now();
  const auto is_silenced = [this, name, started_at] {
    const auto& reader = nodes_.at(name);
    return platform_hangs_until_ > started_at || reader.silenced_at > started_at ||
           reader.access_to_store == store_access::silent;
  };
  events_.schedule_after(platform_delay, [=, this] {
    if (is_silenced()) {
      fail_after(request.max_hold_time + unanswered_call_timeout);
      return;
    }
    if (!is_reachable()) {
      fail();
      return;
    }
    platform_.read(request, [=, this](const std::optional<node::service_answered>& answer) {
      if (!is_latest()) {
        return;
      }
      if (is_silenced()) {
        const base::duration elapsed = now() - started_at;
        fail_after(std::max<base::duration>(request.max_hold_time - elapsed, base::duration{}) +
                   unanswered_call_timeout);
        return;
      }
      if (!answer || !is_reachable()) {
        fail();
        return;
      }
      nodes_.at(name).has_pending_read[source] = false;
      auto transfer = std::make_shared<store_transfer>(
          store_transfer{name, incarnation, *answer, answer->entries.size()});
      transfer_pages(transfer);
    });
  });
}

void fleet_simulation::transfer_pages(const std::shared_ptr<store_transfer>& transfer) {
  const auto page_entries = std::min(transfer->entries_left, settings_.store.entries_per_page);
  const double page_bytes = static_cast<double>(page_entries) * settings_.store.bytes_per_entry;
  const auto deadline = now() + settings_.store.page_timeout;
  const auto fail = [this, transfer, deadline] {
    events_.schedule_at(deadline, [this, transfer] {
      deliver(transfer->node, transfer->incarnation, node::service_failed{transfer->answer.source});
    });
  };
  const auto sent_at = store_link_.transmit(page_bytes, now());
  if (!sent_at || *sent_at > deadline) {
    fail();
    return;
  }
  events_.schedule_at(*sent_at, [this, transfer, page_entries, page_bytes, deadline, fail] {
    const auto received_at = nodes_.at(transfer->node).downlink.transmit(page_bytes, now());
    if (!received_at || *received_at > deadline) {
      fail();
      return;
    }
    transfer->entries_left -= page_entries;
    events_.schedule_at(*received_at + platform_delay, [this, transfer] {
      if (transfer->entries_left > 0) {
        transfer_pages(transfer);
      } else {
        deliver(transfer->node, transfer->incarnation, transfer->answer);
      }
    });
  });
}

// --- back ends -----------------------------------------------------------------------------------

std::vector<std::string> fleet_simulation::backend_names() const {
  std::vector<std::string> names;
  for (const auto& [name, target] : backends_) {
    names.push_back(name);
  }
  return names;
}

void fleet_simulation::crash_backend(const std::string& name) {
  backends_.at(name)->crash();
  std::vector<open_call_ref> broken_calls;
  for (const auto& [key, open] : open_calls_) {
    if (open->call.backend.text() == name && open->is_written) {
      broken_calls.push_back(open);
    }
  }
  for (const auto& open : broken_calls) {
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

void fleet_simulation::publish_node(const std::string& name, bool is_listed) {
  const auto& profile = nodes_.at(name).profile;
  const auto record =
      "{name: " + name + ", role: node, zone: " + profile.zone + ", address: " + name + "}";
  platform_.publish("machines/" + name, is_listed ? std::optional(record) : std::nullopt);
}

void fleet_simulation::start_call(node_instance& instance, const execution::stage_call& call) {
  auto open = std::make_shared<open_call>(
      open_call{call, instance.profile.name, instance.incarnation, false, false});
  open_calls_[{instance.profile.name, call.call}] = open;
  auto& target = *backends_.at(call.backend.text());
  const bool is_reachable = are_connected(instance.profile.zone, target.profile().zone);
  if (!is_reachable || !target.is_alive()) {
    const auto delay = is_reachable ? network_delay() : connect_timeout;
    events_.schedule_after(delay,
                           [this, open] { end_call(open, execution::call_status::never_sent); });
    return;
  }
  // Connecting takes one round trip; then the node writes the request to the connection.
  events_.schedule_after(network_delay() + network_delay(), [this, open] {
    run_at_node(open->node, open->incarnation, [this, open] { write_call(open); });
  });
}

void fleet_simulation::write_call(const open_call_ref& open) {
  if (open->is_cancelled) {
    return;
  }
  if (now() >= open->call.not_after && settings_.node.switches.expiry_check_before_send) {
    end_call(open, execution::call_status::never_sent);
    return;
  }
  open->is_written = true;
  events_.schedule_after(network_delay(), [this, open] {
    auto& target = *backends_.at(open->call.backend.text());
    const auto zone = target.profile().zone;
    if (!are_connected(nodes_.at(open->node).profile.zone, zone)) {
      return;
    }
    if (!target.is_alive()) {
      end_call(open, execution::call_status::broken);
      return;
    }
    target.receive(
        open->call,
        [this, open, zone](backend_reply reply) { deliver_reply(open, zone, std::move(reply)); },
        [this, open, zone](const execution::call_token& token) {
          deliver_first_token(open, zone, token);
        });
  });
}

void fleet_simulation::deliver_first_token(const open_call_ref& open,
                                           const std::string& backend_zone,
                                           const execution::call_token& token) {
  events_.schedule_after(network_delay(), [this, open, backend_zone, token] {
    if (!open->is_cancelled && are_connected(nodes_.at(open->node).profile.zone, backend_zone)) {
      deliver(open->node, open->incarnation, token);
    }
  });
}

void fleet_simulation::deliver_reply(const open_call_ref& open, const std::string& backend_zone,
                                     backend_reply reply) {
  events_.schedule_after(network_delay(), [this, open, backend_zone, reply = std::move(reply)] {
    const auto& zone = nodes_.at(open->node).profile.zone;
    if (open->is_cancelled || !are_connected(zone, backend_zone)) {
      return;
    }
    open_calls_.erase({open->node, open->call.call});
    for (const auto& token : reply.tokens) {
      deliver(open->node, open->incarnation, token);
    }
    deliver(open->node, open->incarnation, reply.result);
  });
}

void fleet_simulation::end_call(const open_call_ref& open, execution::call_status status) {
  if (open->is_cancelled) {
    return;
  }
  open_calls_.erase({open->node, open->call.call});
  execution::call_result result;
  result.call = open->call.call;
  result.status = status;
  deliver(open->node, open->incarnation, result);
}

} // namespace spurrack::simulation
