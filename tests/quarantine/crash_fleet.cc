/// Simulated fleet: nodes, clients, messages between nodes, and the published list of replicas.
#include "crash_fleet.h"

#include "peer_messages.h"

#include <algorithm>

namespace spurrack::quarantine {

crash_fleet::crash_fleet(const crash_fleet_settings& initial)
    : settings(initial), random(initial.seed) {
  for (const std::string id : {"llm-a", "llm-b", "pool-a", "pool-b"}) {
    published.remove_replica(id);
  }
  for (unsigned index = 0; index < settings.replicas + settings.stage_replicas; ++index) {
    replicas.push_back({});
    replicas.back().service = index < settings.replicas ? "llm" : "pool";
    start_replica(index);
  }
  for (std::size_t index = 0; index < settings.nodes; ++index) {
    nodes.push_back({});
    start_node(index);
  }
}

void crash_fleet::start_node(std::size_t index) {
  auto& node = nodes[index];
  ++node.incarnation;
  node.calls.clear();
  node.stage_calls.clear();
  node.random =
      std::make_unique<base::seeded_random>(settings.seed * 1000 + index * 10 + node.incarnation);
  serving_settings limits;
  limits.client_address = client_address_of(index);
  limits.retry = {0.2, 40, seconds(10)};
  limits.quarantine = settings.limits;
  node.subject =
      std::make_unique<dispatcher>(peer_number(index), limits, *node.random, node.incarnation,
                                   [](auto, const auto&, const auto&, const auto&) {});
  node.subject->update(published.content, now);
  for (std::size_t other = 0; other < nodes.size(); ++other) {
    update_peers(other);
  }
}

base::caller_id crash_fleet::send_request(std::size_t node, const std::string& path,
                                          const std::string& body,
                                          const std::vector<std::string>& parts) {
  parts_by_body[body] = parts;
  auto content = std::make_shared<request_content>();
  for (const auto& part : parts) {
    content->prompt_parts.push_back({part, 10});
  }
  content->method = "POST";
  content->host = "h";
  content->path = content->target = path;
  content->body = body;
  content->has_body = true;
  content->id = base::request_id("r" + std::to_string(++requests));
  content->api_key = "key";
  content->time_allowed = crash_cause_of(body) ? settings.crashing_time_allowed : seconds(10);
  content->prompt_tokens = 10;
  if (path == "/staged/") {
    content->pieces = {2, 1};
    content->piece_key = "key";
  }
  bodies[requests] = body;
  bodies_by_id[content->id] = body;
  ++counts[body].attempts;
  paths[requests] = path;
  nodes_of_clients[requests] = node;
  ++attempts_at[node].attempts;
  if (route_is_paused()) {
    ++counts[body].refused;
    ++refused_by_route_pause;
    return requests;
  }
  const auto client = requests;
  nodes[node].subject->handle(request_arrived{client, content, now}, now);
  if (settings.client_patience > base::duration::zero() && crash_cause_of(body)) {
    schedule(settings.client_patience, [this, node, client] {
      nodes[node].subject->handle(client_disconnected{client}, now);
    });
  }
  return client;
}

void crash_fleet::send_repeatedly(const std::string& path, const std::string& body,
                                  base::duration span) {
  const auto end = now + span;
  while (now < end) {
    send_request(random.below(nodes.size()), path, body);
    run(milliseconds(100 + random.below(400)));
  }
}

void crash_fleet::run(base::duration span) {
  const auto end = now + span;
  while (now < end) {
    now += milliseconds(1);
    send_harmless_requests();
    run_due();
    for (std::size_t index = 0; index < nodes.size(); ++index) {
      advance(index);
    }
  }
}

void crash_fleet::set_path_fault(std::size_t node, path_fault fault) {
  connections.set_fault(node, fault);
  for (const auto& [call, has_head] : std::map(nodes[node].calls)) {
    if (fault == path_fault::is_reset) {
      end_at_replicas(node, call);
      abort_call(node, call);
    } else if (fault == path_fault::hangs) {
      hang_up(node, call);
    }
  }
}

void crash_fleet::reset(unsigned index) {
  for (const auto& [node, call] : std::exchange(replicas[index].calls, {})) {
    abort_call(node, call);
  }
}

std::optional<std::string> crash_fleet::crash_cause_of(const std::string& body) const {
  if (crashing_bodies.contains(body)) {
    return body;
  }
  const auto& parts = parts_by_body.at(body);
  const auto found = std::find_if(parts.begin(), parts.end(),
                                  [&](const auto& part) { return crashing_parts.contains(part); });
  return found == parts.end() ? std::nullopt : std::optional(*found);
}

std::set<std::string> crash_fleet::quarantined_bodies() const {
  std::set<std::string> found;
  for (const auto& [body, count] : counts) {
    if (count.quarantined > 0) {
      found.insert(body);
    }
  }
  return found;
}

std::size_t crash_fleet::sends_after_exit(std::size_t number, const std::string& cause,
                                          base::duration span) const {
  const auto exits = exits_under.find(cause);
  if (exits == exits_under.end() || exits->second.size() < number) {
    return 0;
  }
  const auto since = exits->second[number - 1] + span;
  const auto& sent = replica_arrivals.at(cause);
  return static_cast<std::size_t>(
      std::count_if(sent.begin(), sent.end(), [&](auto at) { return at > since; }));
}

bool crash_fleet::ran_at_once(const std::string& body) const {
  const auto exits = exits_under.find(body);
  if (exits == exits_under.end()) {
    return false;
  }
  const auto& arrivals = replica_arrivals.at(body);
  const auto& senders = arrival_nodes.at(body);
  const auto runs = std::min(arrivals.size(), exits->second.size());
  for (std::size_t run = 1; run < runs; ++run) {
    if (arrivals[run] < exits->second[run - 1] && senders[run] != senders[run - 1]) {
      return true;
    }
  }
  return false;
}

bool crash_fleet::route_is_paused() const {
  constexpr std::size_t crashes_for_pause = 2;
  return crash_times.size() >= crashes_for_pause &&
         now - *(crash_times.end() - crashes_for_pause) < settings.route_pause;
}

void crash_fleet::update_peers(std::size_t index) {
  std::vector<fleet_peer> others;
  for (std::size_t other = 0; other < nodes.size(); ++other) {
    if (other != index && nodes[other].subject) {
      others.push_back(peer_number(other));
    }
  }
  const auto known = others.size();
  nodes[index].subject->set_peers(std::move(others), known);
}

void crash_fleet::publish() {
  for (auto& node : nodes) {
    node.subject->update(published.content, now);
  }
}

void crash_fleet::send_harmless_requests() {
  if (harmless_per_second > 0 && random.below(1000) < harmless_per_second) {
    send_request(random.below(nodes.size()), harmless_path,
                 "innocent-" + std::to_string(requests + 1));
  }
}

void crash_fleet::deliver(std::size_t from, const wire::outgoing& sent) {
  const auto sender = peer_number(from);
  for (std::size_t index = 0; index < nodes.size(); ++index) {
    const bool is_reached = !partitioned.contains(from) && !partitioned.contains(index);
    const bool is_lost = sent.message.has_crash_news() && (nodes_of_older_build.contains(from) ||
                                                           nodes_of_older_build.contains(index));
    if (peer_number(index).address == sent.to && is_reached && !is_lost) {
      deliver_peer_message(*nodes[index].subject, sender, sent.message, now);
    }
  }
}

} // namespace spurrack::quarantine
