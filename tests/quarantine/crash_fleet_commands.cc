/// Simulated fleet: executes the commands of the nodes, and counts the outcomes that clients see.
#include "crash_fleet.h"

#include <algorithm>
#include <variant>

namespace spurrack::quarantine {

void crash_fleet::advance(std::size_t index) {
  auto& node = nodes[index];
  if (settings.publication_delay > base::duration::zero()) {
    node.subject->confirm_replica_list(now - settings.publication_delay);
  }
  node.subject->advance(now);
  for (auto& command : node.subject->take_commands()) {
    std::visit([&](const auto& typed_command) { execute(index, typed_command); }, command);
  }
  for (auto& message : node.subject->take_messages()) {
    schedule(milliseconds(2), [this, index, message] { deliver(index, message); });
  }
}

void crash_fleet::pass_on(std::size_t node, const start_call& command) {
  for (std::size_t target = 0; target < nodes.size(); ++target) {
    if (client_address_of(target) != command.target.address) {
      continue;
    }
    auto content = std::make_shared<request_content>(*command.content);
    content->was_passed_on = true;
    content->attempts_left = command.attempts_left;
    content->time_allowed = command.time_left;
    const auto client = ++requests;
    ++passed_on;
    bodies[client] = content->body;
    passed_requests[client] = {node, command.call, target};
    nodes[target].subject->handle(request_arrived{client, content, now}, now);
  }
}

template <typename make_event>
bool crash_fleet::deliver_to_origin(base::caller_id client, bool is_last,
                                    const make_event& event_for) {
  const auto found = passed_requests.find(client);
  if (found == passed_requests.end()) {
    return false;
  }
  const auto passed = found->second;
  if (is_last) {
    passed_requests.erase(found);
  }
  nodes[passed.from].subject->handle(event_for(passed.call), now);
  return true;
}

void crash_fleet::execute(std::size_t /*node*/, const open_stream& opened) {
  deliver_to_origin(opened.client, false, [&](base::call_id call) {
    return stream_opened{call, dispatcher_driver::good_head(), opened.ends_with_connection};
  });
}

void crash_fleet::execute(std::size_t /*node*/, const stream_data& data) {
  deliver_to_origin(data.client, false, [&](base::call_id call) {
    return stream_bytes{call, data.bytes};
  });
}

void crash_fleet::execute(std::size_t node, const start_call& command) {
  if (command.passes_on) {
    schedule(milliseconds(1), [this, node, command] { pass_on(node, command); });
    return;
  }
  const auto incarnation = nodes[node].incarnation;
  schedule(milliseconds(1), [this, node, incarnation, command] {
    if (nodes[node].incarnation == incarnation) {
      reach_replica(node, command);
    }
  });
  nodes[node].calls[command.call] = false;
}

void crash_fleet::execute(std::size_t node, const start_stage_call& command) {
  const auto incarnation = nodes[node].incarnation;
  schedule(milliseconds(1), [this, node, incarnation, command] {
    if (nodes[node].incarnation == incarnation) {
      reach_stage_replica(node, command);
    }
  });
  nodes[node].stage_calls.insert(command.call);
}

void crash_fleet::execute(std::size_t node, const cancel_call& command) {
  for (const auto& [client, passed] : std::map(passed_requests)) {
    if (passed.from == node && passed.call == command.call) {
      passed_requests.erase(client);
      nodes[passed.to].subject->handle(client_disconnected{client}, now);
    }
  }
  nodes[node].calls.erase(command.call);
  nodes[node].stage_calls.erase(command.call);
  // A replica that does not learn that the connection was closed goes on with the call.
  if (connections.fault_of(node) != path_fault::hangs) {
    end_at_replicas(node, command.call);
  }
}

void crash_fleet::execute(std::size_t node, const probe_replica& command) {
  const auto incarnation = nodes[node].incarnation;
  schedule(milliseconds(1), [this, node, incarnation, command] {
    if (nodes[node].incarnation != incarnation) {
      return;
    }
    if (connections.fault_of(node) == path_fault::hangs) {
      schedule(connect_timeout, [this, node, incarnation, command] {
        end_probe(node, incarnation, command.target.replica, probe_result::unresponsive);
      });
      return;
    }
    const auto* replica = replica_at(command.target.address);
    const bool is_up = replica != nullptr && replica->is_up;
    const bool is_reached = connections.fault_of(node) == path_fault::none;
    if (is_reached && replica != nullptr && refusal_time(*replica) > base::duration::zero()) {
      schedule(connect_timeout, [this, node, incarnation, command] {
        end_probe(node, incarnation, command.target.replica, probe_result::unresponsive);
      });
      return;
    }
    end_probe(node, incarnation, command.target.replica,
              is_up && is_reached ? probe_result::connected : probe_result::refused);
  });
}

void crash_fleet::end_probe(std::size_t node, base::incarnation incarnation,
                            const base::replica_id& replica, probe_result result) {
  const bool has_timed_out = result == probe_result::unresponsive;
  const auto began_at = now - (has_timed_out ? connect_timeout : base::duration::zero());
  if (nodes[node].incarnation == incarnation) {
    nodes[node].subject->handle(replica_probed{replica, result, began_at}, now);
  }
}

void crash_fleet::execute(std::size_t /*node*/, const respond& answer) {
  const bool is_passed = deliver_to_origin(answer.client, true, [&](base::call_id call) {
    auto head = dispatcher_driver::good_head(answer.status);
    head.sealed = !answer.locally_answered_request.has_value();
    head.headers = answer.headers;
    return call_answered{call, head, answer.body, nullptr, answer.ends_with_connection};
  });
  if (is_passed) {
    return;
  }
  auto& count = counts[bodies.at(answer.client)];
  if (answer.status != 200) {
    retry(answer.client);
  }
  note_outcome(answer.client, answer.status == 200);
  if (answer.status != 503) {
    ++(answer.status == 200 ? count.served : count.failed);
    return;
  }
  ++count.refused;
  if (answer.body.find("held back") != std::string::npos) {
    ++count.quarantined;
    count.quarantined_with_retry_after +=
        std::any_of(answer.headers.begin(), answer.headers.end(),
                    [](const auto& field) { return field.name == "Retry-After"; });
  }
}

void crash_fleet::execute(std::size_t /*node*/, const end_stream& end) {
  const bool is_passed = deliver_to_origin(end.client, true, [&](base::call_id call) {
    return stream_closed{call, end.complete, false, settings.unframed_answers};
  });
  if (is_passed) {
    return;
  }
  auto& count = counts[bodies.at(end.client)];
  ++(end.complete ? count.served : count.failed);
  note_outcome(end.client, end.complete);
  if (!end.complete) {
    retry(end.client);
  }
}

void crash_fleet::note_outcome(base::caller_id client, bool is_served) {
  if (const auto node = nodes_of_clients.find(client); node != nodes_of_clients.end()) {
    attempts_at[node->second].served += is_served ? 1 : 0;
  }
}

void crash_fleet::retry(base::caller_id client) {
  constexpr std::size_t max_attempts = 4;
  const auto body = bodies.at(client);
  if (!clients_retry || crash_cause_of(body) || counts[body].attempts >= max_attempts) {
    return;
  }
  schedule(milliseconds(50 + random.below(200)), [this, body, path = paths.at(client)] {
    send_request(random.below(nodes.size()), path, body, parts_by_body.at(body));
  });
}

} // namespace spurrack::quarantine
