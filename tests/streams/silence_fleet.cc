/// Time, nodes and the messages between them.
#include "silence_fleet.h"

#include <algorithm>

namespace spurrack::silence {
namespace {

const std::vector<std::string> zones{"a", "b", "c"};
constexpr base::duration advance_interval = milliseconds(5);
/// Interval at which an idle node handles its timer, and the shortest stand that it notes beyond
/// it, as in `node`.
constexpr base::duration timer_interval = milliseconds(100);
constexpr base::duration min_stand = milliseconds(50);
constexpr base::duration suspension_threshold = milliseconds(1'000);
constexpr base::duration client_patience = seconds(10);
/// Time from the begin of a node's stop to its end, and until it starts again.
constexpr base::duration grace = milliseconds(7'300);
constexpr base::duration downtime = seconds(6);

fleet_peer peer_number(std::size_t index) {
  const auto name = "n" + std::to_string(index);
  return {base::node_id(name), base::zone_id(zones[index % zones.size()]),
          base::network_address(name + ":1"), 1};
}

} // namespace

silence_fleet::silence_fleet(fleet_settings initial) : random(initial.seed), settings_(initial) {
  for (const std::string id : {"llm-a", "llm-b", "pool-a", "pool-b", "plain-a", "plain-b"}) {
    published_.remove_replica(id);
  }
  auto& staged = *std::find_if(published_.configuration.mutable_routes()->begin(),
                               published_.configuration.mutable_routes()->end(),
                               [](const auto& route) { return route.name() == "/staged/"; });
  staged.set_resumable(true);
  published_.add_route("/moved/", wire::ROUTE_STREAMING, "llm").set_resumable(true);
  auto& pieces = *std::find_if(published_.configuration.mutable_services()->begin(),
                               published_.configuration.mutable_services()->end(),
                               [](const auto& service) { return service.name() == "pool"; });
  pieces.mutable_pieces()->set_call_milliseconds(50);
  pieces.mutable_pieces()->set_slots(4);
  published_.add_service("other").mutable_engine()->set_slots(8);
  for (auto& route : *published_.configuration.mutable_routes()) {
    route.set_timeout_milliseconds(
        static_cast<std::uint32_t>(base::to_milliseconds(route_timeout_)));
  }
  published_.publish_configuration();
  for (const auto& zone : zones) {
    for (unsigned number = 0; number < 3; ++number) {
      add_replica("llm", zone, "v1");
      add_replica("plain", zone, "v1");
    }
    add_replica("pool", zone, "v1");
    add_replica("pool", zone, "v1");
    add_replica("other", zone, "v1");
  }
  nodes_.resize(settings_.nodes);
  for (std::size_t index = 0; index < nodes_.size(); ++index) {
    start_node(index);
  }
  update_peers();
}

void silence_fleet::run(base::duration span) {
  const auto end = now + span;
  while (now < end) {
    now += milliseconds(1);
    if (is_loaded && random.below(1'000) < settings_.requests_per_second) {
      send_request();
    }
    run_due();
    const bool is_due = now.time_since_epoch() % advance_interval == base::duration::zero();
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
      auto& node = nodes_[index];
      if (node.subject && node.is_standing && now >= node.stands_until) {
        go_on_after_stand(index);
      }
      if (node.subject && !node.is_standing && is_due) {
        advance_node(index);
      }
    }
  }
}

void silence_fleet::finish() {
  is_loaded = false;
  run(client_patience + seconds(4));
  for (const auto& [number, client] : clients_) {
    if (!client.has_ended) {
      ++results.unanswered;
      results.add_trace("unanswered", client.trace);
    }
  }
}

base::duration silence_fleet::draw_span(base::duration shortest, base::duration longest) {
  const auto steps = static_cast<std::size_t>(base::to_milliseconds(longest - shortest)) + 1;
  return shortest + milliseconds(random.below(steps));
}

// --- nodes ---------------------------------------------------------------------------------------

void silence_fleet::start_node(std::size_t index) {
  auto& node = nodes_[index];
  ++node.incarnation;
  node.is_stopping = false;
  node.is_standing = false;
  node.route_timeout = route_timeout_;
  node.random =
      std::make_unique<base::seeded_random>(settings_.seed * 1000 + index * 10 + node.incarnation);
  serving_settings limits;
  limits.client_address = base::network_address("n" + std::to_string(index) + ":80");
  limits.retry = settings_.retry;
  std::map<base::zone_id, base::region_id> regions;
  for (const auto& zone : zones) {
    regions[base::zone_id(zone)] = base::region_id("region");
  }
  limits.regions = model::zone_regions(regions);
  node.subject = std::make_unique<dispatcher>(
      peer_number(index), limits, *node.random, node.incarnation,
      [this, index](base::event_kind kind, const base::request_id& request,
                    const std::string& subject, const std::string& detail) {
        const auto found = clients_by_request_.find(request.text());
        if (found != clients_by_request_.end()) {
          clients_.at(found->second).trace +=
              "\n  " + std::to_string(base::to_milliseconds(now.time_since_epoch()) % 1'000'000) +
              " n" + std::to_string(index) + " " + std::string(base::name_of(kind)) + " " +
              subject + ": " + detail;
        }
      });
  node.latest_input_at = now;
  node.subject->update(published_.content, now);
}

void silence_fleet::update_peers() {
  for (std::size_t index = 0; index < nodes_.size(); ++index) {
    if (!nodes_[index].subject) {
      continue;
    }
    std::vector<fleet_peer> others;
    for (std::size_t other = 0; other < nodes_.size(); ++other) {
      if (other != index && nodes_[other].subject) {
        others.push_back(peer_number(other));
      }
    }
    at_node(index, nodes_[index].incarnation,
            [this, index, others] { nodes_[index].subject->set_peers(others, nodes_.size() - 1); });
  }
}

void silence_fleet::at_node(std::size_t node, base::incarnation incarnation,
                            std::function<void()> action) {
  auto& receiver = nodes_[node];
  if (!receiver.subject || receiver.incarnation != incarnation) {
    return;
  }
  if (receiver.is_standing) {
    receiver.input.push_back(std::move(action));
    return;
  }
  receiver.latest_input_at = now;
  action();
}

void silence_fleet::deliver(const run_key& key, event input_event) {
  auto& node = nodes_[key.node];
  auto handle = [this, key, input = std::move(input_event)] {
    at_node(key.node, key.incarnation,
            [this, key, input] { nodes_[key.node].subject->handle(input, now); });
  };
  if (const auto unread = node.unread.find(key.call);
      node.incarnation == key.incarnation && unread != node.unread.end()) {
    unread->second.emplace_back(std::move(handle));
    return;
  }
  handle();
}

void silence_fleet::stand(std::size_t index, base::duration span) {
  auto& node = nodes_[index];
  if (!node.subject || node.is_standing) {
    return;
  }
  node.is_standing = true;
  node.stands_until = now + span;
}

void silence_fleet::go_on_after_stand(std::size_t index) {
  auto& node = nodes_[index];
  node.is_standing = false;
  // The clock is looked at first, then the input that waited is read.
  const auto gap = now - node.latest_input_at;
  const auto noted = gap - timer_interval;
  if (noted >= min_stand) {
    node.subject->note_stand(noted, now);
  }
  if (gap > suspension_threshold) {
    node.subject->resume_after_suspension(now);
  }
  advance_node(index);
  for (auto& action : std::exchange(node.input, {})) {
    if (node.subject) {
      action();
    }
  }
}

void silence_fleet::advance_node(std::size_t index) {
  auto& node = nodes_[index];
  node.latest_input_at = now;
  node.subject->confirm_replica_list(now);
  node.subject->advance(now);
  const auto commands = node.subject->take_commands();
  check_cancelled_calls(index, commands);
  for (const auto& command : commands) {
    std::visit([&](const auto& typed_command) { execute(index, typed_command); }, command);
  }
  for (const auto& message : node.subject->take_messages()) {
    deliver_later(index, message);
  }
}

void silence_fleet::check_cancelled_calls(std::size_t node, const command_list& commands) {
  std::set<base::caller_id> followed;
  for (const auto& command : commands) {
    if (const auto* started = std::get_if<start_call>(&command)) {
      followed.insert(clients_by_request_.at(started->content->id.text()));
    } else if (const auto* answered = std::get_if<respond>(&command)) {
      followed.insert(answered->client);
    } else if (const auto* ended = std::get_if<end_stream>(&command)) {
      followed.insert(ended->client);
    }
  }
  for (const auto& command : commands) {
    const auto* cancelled = std::get_if<cancel_call>(&command);
    const auto found =
        cancelled == nullptr
            ? clients_by_call_.end()
            : clients_by_call_.find({node, nodes_[node].incarnation, cancelled->call});
    if (found == clients_by_call_.end() || followed.contains(found->second)) {
      continue;
    }
    const auto& client = clients_.at(found->second);
    const bool has_exited = std::any_of(client.replicas.begin(), client.replicas.end(),
                                        [this](auto replica) { return !replicas_[replica].is_up; });
    if (!client.is_paused && !has_exited) {
      ++results.cancelled_without_successor;
      results.add_trace("cancelled without successor", client.path + client.trace);
    }
  }
}

void silence_fleet::publish() {
  for (std::size_t index = 0; index < nodes_.size(); ++index) {
    at_node(index, nodes_[index].incarnation, [this, index] {
      nodes_[index].route_timeout = route_timeout_;
      nodes_[index].subject->update(published_.content, now);
    });
  }
}

void silence_fleet::deliver_later(std::size_t from, const wire::outgoing& sent) {
  for (std::size_t index = 0; index < nodes_.size(); ++index) {
    if (!nodes_[index].subject || peer_number(index).address != sent.to) {
      continue;
    }
    schedule(milliseconds(1),
             [this, from, index, incarnation = nodes_[index].incarnation, message = sent.message] {
               at_node(index, incarnation, [this, from, index, message] {
                 deliver_peer_message(*nodes_[index].subject, peer_number(from), message, now);
               });
             });
  }
}

void silence_fleet::stop_node(std::size_t index) {
  auto& node = nodes_[index];
  if (!node.subject || node.is_stopping) {
    return;
  }
  changed_at_ = now;
  node.is_stopping = true;
  const auto incarnation = node.incarnation;
  at_node(index, incarnation,
          [this, index] { nodes_[index].subject->begin_stop(now, now + grace); });
  schedule(grace, [this, index, incarnation] {
    at_node(index, incarnation, [this, index] {
      nodes_[index].subject->abort_all_requests(now);
      advance_node(index);
      end_node(index);
    });
  });
  schedule(grace + downtime, [this, index] {
    if (!nodes_[index].subject) {
      start_node(index);
      update_peers();
    }
  });
}

void silence_fleet::end_node(std::size_t index) {
  nodes_[index].subject.reset();
  nodes_[index].input.clear();
  nodes_[index].unread.clear();
  for (auto& replica : replicas_) {
    std::erase_if(replica.runs, [&](const auto& run) { return run.first.node == index; });
  }
  schedule(seconds(1), [this] { update_peers(); });
}

} // namespace spurrack::silence
