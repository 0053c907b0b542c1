/// Simulated fleet: calls at replicas, the runs of requests, and the crashes of replicas.
#include "crash_fleet.h"

#include <utility>

namespace spurrack::quarantine {

void crash_fleet::crash(unsigned index) {
  auto& replica = replicas[index];
  if (!replica.is_up) {
    return;
  }
  replica.is_up = false;
  ++crashes;
  crash_times.push_back(now);
  connections.close_all_to(index);
  for (const auto& [node, call] : std::exchange(replica.calls, {})) {
    switch (settings.crashes_by) {
    case crash_kind::closes:
      end_call_of_ended_replica(node, call);
      break;
    case crash_kind::times_out:
      time_out_call(node, call);
      break;
    case crash_kind::stays_open:
      break;
    }
  }
  const base::replica_id id = replica.id;
  if (!settings.keeps_ids_on_restart) {
    schedule(milliseconds(1800) + settings.publication_delay, [this, id] {
      published.remove_replica(id.text());
      publish();
    });
  }
  schedule(settings.min_downtime + milliseconds(random.below(500)),
           [this, index] { start_replica(index); });
}

void crash_fleet::start_replica(unsigned index) {
  auto& replica = replicas[index];
  ++replica.incarnation;
  replica.is_up = true;
  replica.address = "10.1.0." + std::to_string(index + 1) + ":80";
  const auto name = replica.service + "-" + std::to_string(index);
  const auto id =
      settings.keeps_ids_on_restart ? name : name + "-" + std::to_string(replica.incarnation);
  replica.id = base::replica_id(id);
  const auto published_at =
      replica.incarnation > 1 ? settings.publication_delay : base::duration::zero();
  if (published_at == base::duration::zero()) {
    publish_replica(index);
  } else {
    schedule(published_at, [this, index, incarnation = replica.incarnation] {
      const bool is_current = replicas[index].incarnation == incarnation;
      if (is_current || settings.keeps_ids_on_restart) {
        publish_replica(index);
      }
    });
  }
}

void crash_fleet::publish_replica(unsigned index) {
  const auto& replica = replicas[index];
  published.add_incarnation(replica.id.text(), replica.service, index % 2 == 0 ? "a" : "b",
                            replica.address,
                            settings.keeps_ids_on_restart ? 1000 + replica.incarnation : 0);
  publish();
}

void crash_fleet::reach_stage_replica(std::size_t node, const start_stage_call& command) {
  auto* replica = replica_at(command.target.address);
  const auto number = static_cast<unsigned>(replica - replicas.data());
  if (replica != nullptr && !connections.passes_call(node, number)) {
    const bool hangs = connections.fault_of(node) == path_fault::hangs;
    schedule(hangs ? connect_timeout : base::duration::zero(), [this, node, call = command.call] {
      end_stage_call({node, call}, stage_call_ended::result::not_sent, 0);
    });
    return;
  }
  if (replica != nullptr) {
    connections.note_connected(node, number);
  }
  if (replica == nullptr || !replica->is_up || replica->id != command.target.replica) {
    const auto known_after = replica == nullptr ? base::duration::zero() : refusal_time(*replica);
    schedule(known_after, [this, key = std::pair{node, command.call}] {
      end_stage_call(key, stage_call_ended::result::not_sent, 0);
    });
    return;
  }
  const std::pair key{node, command.call};
  const auto index = static_cast<unsigned>(replica - replicas.data());
  replica->calls.insert(key);
  std::set<std::string> called_bodies;
  for (const auto& item : command.items) {
    called_bodies.insert(bodies_by_id.at(item.request));
  }
  for (const auto& body : called_bodies) {
    replica_arrivals[body].push_back(now);
    arrival_nodes[body].push_back(node);
    if (bodies_crashing_in_stages.contains(body)) {
      schedule_crash(index, body);
    }
  }
  schedule(milliseconds(200), [this, index, key, count = command.items.size()] {
    if (replicas[index].calls.erase(key) > 0) {
      end_stage_call(key, stage_call_ended::result::answered, count);
    }
  });
}

void crash_fleet::end_stage_call(std::pair<std::size_t, base::call_id> key,
                                 stage_call_ended::result how, std::size_t piece_count,
                                 bool has_timed_out) {
  auto& node = nodes[key.first];
  if (node.stage_calls.erase(key.second) == 0) {
    return;
  }
  stage_call_ended ended{key.second, how, {}};
  ended.has_timed_out = has_timed_out;
  for (std::size_t piece = 0; piece < piece_count; ++piece) {
    ended.pieces.push_back({piece_fault::none, "10.1.0.99:80/" + std::to_string(++handles)});
  }
  node.subject->handle(ended, now);
}

void crash_fleet::schedule_crash(unsigned index, const std::string& body) {
  const auto incarnation = replicas[index].incarnation;
  schedule(milliseconds(20 + random.below(100)), [this, index, incarnation, body] {
    if (replicas[index].is_up && replicas[index].incarnation == incarnation) {
      exits_under[body].push_back(now);
      crash(index);
    }
  });
}

void crash_fleet::end_at_replicas(std::size_t node, base::call_id call) {
  for (auto& replica : replicas) {
    replica.calls.erase({node, call});
  }
}

crash_fleet::emulated_replica* crash_fleet::replica_at(const base::network_address& address) {
  for (auto& replica : replicas) {
    if (replica.address == address.text()) {
      return &replica;
    }
  }
  return nullptr;
}

void crash_fleet::reach_replica(std::size_t node, const start_call& command) {
  if (!nodes[node].calls.contains(command.call)) {
    return;
  }
  auto* replica = replica_at(command.target.address);
  const auto number = static_cast<unsigned>(replica - replicas.data());
  if (replica != nullptr && connections.fault_of(node) == path_fault::hangs) {
    if (connections.has_open_connection(node, number)) {
      hang_up(node, command.call);
    } else {
      schedule(connect_timeout, [this, node, call = command.call] { fail_unsent(node, call); });
    }
    return;
  }
  if (replica == nullptr || !replica->is_up || !connections.passes_call(node, number)) {
    const auto known_after = replica == nullptr ? base::duration::zero() : refusal_time(*replica);
    schedule(known_after, [this, node, call = command.call] { fail_unsent(node, call); });
    return;
  }
  connections.note_connected(node, number);
  if (now < replica->silent_until) {
    schedule(replica->silent_until - now, [this, node, command] { reach_replica(node, command); });
    return;
  }
  if (replica->id != command.target.replica) {
    answer_head head = dispatcher_driver::good_head(421);
    head.misdirected = true;
    nodes[node].calls.erase(command.call);
    nodes[node].subject->handle(call_answered{command.call, head, ""}, now);
    return;
  }
  if (replica->brittle && replica->calls.size() >= replica->brittle->room) {
    reject_for_room(node, command, number);
    return;
  }
  const auto& body = command.content->body;
  replica_arrivals[body].push_back(now);
  arrival_nodes[body].push_back(node);
  for (const auto& part : command.content->prompt_parts) {
    replica_arrivals[part.id].push_back(now);
  }
  const std::pair key{node, command.call};
  replica->calls.insert(key);
  latest_event_ids[key] = command.resume_after.value_or(0);
  const auto index = static_cast<unsigned>(replica - replicas.data());
  schedule(milliseconds(50 + random.below(100)),
           [this, index, key, body] { begin_run(index, key, body); });
}

void crash_fleet::announce_brittleness(std::size_t node, unsigned index) {
  if (replicas[index].brittle) {
    replica_self_report report;
    report.brittleness.max_rejections = replicas[index].brittle->max_rejections;
    nodes[node].subject->handle(self_report_received{replicas[index].id, now, report}, now);
  }
}

void crash_fleet::reject_for_room(std::size_t node, const start_call& command, unsigned index) {
  nodes[node].calls.erase(command.call);
  ++rejections;
  const bool is_overrun = replicas[index].brittle->note_rejected(now);
  announce_brittleness(node, index);
  nodes[node].subject->handle(
      call_answered{command.call, dispatcher_driver::not_executed_head(), ""}, now);
  if (is_overrun) {
    ++falls;
    crash(index);
  }
}

void crash_fleet::fail_unsent(std::size_t node, base::call_id call) {
  if (nodes[node].calls.erase(call) > 0) {
    nodes[node].subject->handle(call_failed{call, call_failure::not_sent}, now);
  }
}

void crash_fleet::hang_up(std::size_t node, base::call_id call) {
  schedule(tcp_user_timeout, [this, node, call] {
    if (connections.fault_of(node) == path_fault::hangs) {
      abort_call(node, call, true);
    }
  });
}

void crash_fleet::time_out_call(std::size_t node, base::call_id call) {
  schedule(tcp_user_timeout, [this, node, call, incarnation = nodes[node].incarnation] {
    if (nodes[node].incarnation == incarnation) {
      abort_call(node, call, true);
    }
  });
}

base::duration crash_fleet::refusal_time(const emulated_replica& replica) const {
  const bool refuses = replica.is_up || settings.crashes_by == crash_kind::closes;
  return refuses ? base::duration::zero() : connect_timeout;
}

void crash_fleet::end_call_of_ended_replica(std::size_t node, base::call_id call) {
  if (connections.fault_of(node) == path_fault::hangs) {
    return;
  }
  const auto found = nodes[node].calls.find(call);
  const bool has_head = found != nodes[node].calls.end() && found->second;
  if (!settings.unframed_answers || !has_head) {
    abort_call(node, call);
    return;
  }
  nodes[node].calls.erase(found);
  const bool breaks_inside_event = random.below(3) == 0;
  if (breaks_inside_event) {
    nodes[node].subject->handle(stream_bytes{call, "id: 9\nda"}, now);
  }
  nodes[node].subject->handle(stream_closed{call, true, false, true}, now);
}

void crash_fleet::write_event(std::pair<std::size_t, base::call_id> key) {
  const auto id = std::to_string(++latest_event_ids[key]);
  nodes[key.first].subject->handle(stream_bytes{key.second, "id: " + id + "\ndata: x\n\n"}, now);
}

void crash_fleet::begin_run(unsigned index, std::pair<std::size_t, base::call_id> key,
                            const std::string& body) {
  if (!replicas[index].calls.contains(key)) {
    return;
  }
  if (now < replicas[index].silent_until) {
    schedule(replicas[index].silent_until - now,
             [this, index, key, body] { begin_run(index, key, body); });
    return;
  }
  const bool is_heard = connections.fault_of(key.first) != path_fault::hangs;
  if (is_heard && nodes[key.first].calls.contains(key.second)) {
    nodes[key.first].calls[key.second] = true;
    announce_brittleness(key.first, index);
    nodes[key.first].subject->handle(
        stream_opened{key.second, dispatcher_driver::good_head(), settings.unframed_answers}, now);
    if (settings.unframed_answers && random.below(2) == 0) {
      write_event(key);
    }
  }
  if (const auto cause = crash_cause_of(body)) {
    schedule_crash(index, *cause);
    return;
  }
  if (runs_per_unplanned_exit > 0 && random.below(runs_per_unplanned_exit) == 0) {
    schedule_crash(index, "unplanned");
  }
  schedule(milliseconds(300 + random.below(900)), [this, index, key] { end_run(index, key); });
}

void crash_fleet::end_run(unsigned index, std::pair<std::size_t, base::call_id> key) {
  if (now < replicas[index].silent_until) {
    schedule(replicas[index].silent_until - now, [this, index, key] { end_run(index, key); });
    return;
  }
  if (replicas[index].calls.erase(key) == 0) {
    return;
  }
  auto& node = nodes[key.first];
  if (connections.fault_of(key.first) == path_fault::hangs || node.calls.erase(key.second) == 0) {
    return;
  }
  write_event(key);
  node.subject->handle(stream_closed{key.second, true, false, settings.unframed_answers}, now);
}

void crash_fleet::abort_call(std::size_t index, base::call_id call, bool has_timed_out) {
  auto& node = nodes[index];
  end_stage_call({index, call}, stage_call_ended::result::failed, 0, has_timed_out);
  const auto found = node.calls.find(call);
  if (found == node.calls.end()) {
    return;
  }
  const bool has_head = found->second;
  node.calls.erase(found);
  if (has_head) {
    node.subject->handle(stream_closed{call, false, has_timed_out}, now);
  } else {
    node.subject->handle(call_failed{call, call_failure::may_have_run, has_timed_out}, now);
  }
}

} // namespace spurrack::quarantine
