/// Clients, the ends of their requests, and the check of these ends.
#include "silence_fleet.h"

#include <algorithm>
#include <charconv>

namespace spurrack::silence {
namespace {

constexpr base::duration time_allowed = seconds(10);
/// Time by which an end counts as that at the deadline: the interval of a node's work.
constexpr base::duration deadline_tolerance = milliseconds(6);

const std::vector<std::string> paths{"/stream/", "/stream/", "/fixed/",  "/fixed/", "/staged/",
                                     "/staged/", "/safe/",   "/unsafe/", "/moved/"};

std::string text_of(request_end end) {
  switch (end) {
  case request_end::failed_at_live_replica:
    return "failed";
  case request_end::cut_at_live_replica:
    return "cut";
  default:
    return "ended";
  }
}

} // namespace

void silence_fleet::send_request() {
  std::vector<std::size_t> serving;
  for (std::size_t index = 0; index < nodes_.size(); ++index) {
    if (nodes_[index].subject && !nodes_[index].is_stopping) {
      serving.push_back(index);
    }
  }
  if (serving.empty()) {
    return;
  }
  constexpr std::size_t unframed_odds = 5;
  auto& client = clients_[++last_client_];
  client.number = last_client_;
  client.path = paths[random.below(paths.size())];
  client.node = serving[random.below(serving.size())];
  client.events = static_cast<unsigned>(5 + random.below(15));
  client.is_unframed = random.below(unframed_odds) == 0;
  ++results.requests;
  results.requests_beside_change += is_beside_change() ? 1 : 0;
  auto content = std::make_shared<request_content>();
  content->method = "POST";
  content->host = "h";
  content->path = content->target = client.path;
  content->body = "request " + std::to_string(client.number);
  content->has_body = true;
  content->id = base::request_id("r" + std::to_string(client.number));
  content->api_key = "key";
  content->time_allowed = time_allowed;
  content->prompt_tokens = 10;
  if (client.path == "/staged/") {
    content->pieces = {1, 2};
    content->piece_key = "k" + std::to_string(client.number);
  }
  clients_by_request_[content->id.text()] = client.number;
  client.deadline = now + time_allowed;
  at_node(client.node, nodes_[client.node].incarnation,
          [this, number = client.number, content, arrived_at = now] {
            auto& sender = clients_.at(number);
            auto& node = nodes_[sender.node];
            sender.deadline =
                arrived_at + std::min<base::duration>(time_allowed, node.route_timeout);
            node.subject->handle(request_arrived{number, content, arrived_at}, now);
          });
}

void silence_fleet::pause_some_clients(client_record& client, std::size_t node) {
  constexpr std::size_t pause_odds = 15;
  if (random.below(pause_odds) != 0) {
    return;
  }
  const auto set_window = [this, number = client.number, node,
                           incarnation = nodes_[node].incarnation](bool is_open) {
    at_node(node, incarnation, [this, number, node, is_open] {
      auto& slow = clients_.at(number);
      if (slow.has_ended) {
        return;
      }
      slow.is_paused = !is_open;
      slow.was_paused = true;
      nodes_[node].subject->handle(client_window{number, is_open}, now);
    });
  };
  const auto begin = draw_span(milliseconds(1), milliseconds(500));
  const auto span = draw_span(milliseconds(300), milliseconds(3'000));
  schedule(begin, [set_window] { set_window(false); });
  schedule(begin + span, [set_window] { set_window(true); });
}

// --- commands ------------------------------------------------------------------------------------

void silence_fleet::execute(std::size_t node, const open_stream& command) {
  auto& client = clients_.at(command.client);
  client.has_begun = true;
  pause_some_clients(client, node);
}

void silence_fleet::execute(std::size_t /*node*/, const stream_data& command) {
  receive_events(clients_.at(command.client), command.bytes);
}

void silence_fleet::receive_events(client_record& client, std::string_view bytes) {
  constexpr std::string_view id_field = "id: ";
  while (!bytes.empty()) {
    const auto end = bytes.find("\n\n");
    const auto event = bytes.substr(0, end);
    std::uint64_t id = 0;
    if (event.size() > id_field.size()) {
      std::from_chars(event.data() + id_field.size(), event.data() + event.size(), id);
    }
    if (id != client.last_event + 1) {
      ++results.out_of_order;
      results.add_trace("out of order", client.path + client.trace);
    }
    client.last_event = id;
    bytes.remove_prefix(end == std::string_view::npos ? bytes.size() : end + 2);
  }
}

void silence_fleet::execute(std::size_t node, const end_stream& command) {
  auto& client = clients_.at(command.client);
  if (command.complete && client.last_event != client.events) {
    ++results.truncated;
    results.add_trace("truncated", client.path + client.trace);
  }
  end_request(node, command.client, command.complete ? request_end::whole : early_end_of(client),
              "stream");
}

void silence_fleet::execute(std::size_t node, const respond& command) {
  constexpr unsigned first_failure = 500;
  constexpr unsigned unavailable = 503;
  auto end = request_end::refused;
  if (command.status == 200) {
    end = request_end::whole;
  } else if (command.status >= first_failure && command.status != unavailable) {
    end = early_end_of(clients_.at(command.client));
    end = end == request_end::cut_at_live_replica ? request_end::failed_at_live_replica : end;
  }
  end_request(node, command.client, end, std::to_string(command.status) + " " + command.body);
}

void silence_fleet::execute(std::size_t node, const pause_call& command) {
  nodes_[node].unread[command.call];
}

void silence_fleet::execute(std::size_t node, const resume_call& command) {
  auto found = nodes_[node].unread.extract(command.call);
  if (found) {
    for (auto& action : found.mapped()) {
      action();
    }
  }
}

void silence_fleet::execute(std::size_t node, const read_ahead& command) {
  for (auto found = nodes_[node].unread.begin(); found != nodes_[node].unread.end(); ++found) {
    const auto client = clients_by_call_.find({node, nodes_[node].incarnation, found->first});
    if (client != clients_by_call_.end() && client->second == command.client) {
      execute(node, resume_call{found->first});
      return;
    }
  }
}

// --- ends ----------------------------------------------------------------------------------------

request_end silence_fleet::early_end_of(const client_record& client) const {
  if (now + deadline_tolerance >= client.deadline) {
    return request_end::at_deadline;
  }
  const bool has_exited = std::any_of(client.replicas.begin(), client.replicas.end(),
                                      [this](auto replica) { return !replicas_[replica].is_up; });
  if (has_exited) {
    return request_end::replica_exited;
  }
  constexpr std::string_view label = "evidence ";
  const auto evidence_at = client.trace.rfind(label);
  const auto evidence =
      evidence_at == std::string::npos ? "" : client.trace.substr(evidence_at + label.size());
  if (client.was_paused && evidence.starts_with("version_left")) {
    return request_end::version_left_while_paused;
  }
  return nodes_[client.node].is_stopping && evidence.starts_with("node_stopping")
             ? request_end::node_stopped
             : request_end::cut_at_live_replica;
}

void silence_fleet::end_request(std::size_t /*node*/, base::caller_id number, request_end end,
                                const std::string& detail) {
  auto& client = clients_.at(number);
  client.has_ended = true;
  ++results.ends[end];
  if (client.path == "/unsafe/" && client.runs > 1) {
    ++results.ran_twice;
    results.add_trace("ran twice", client.trace);
  }
  if (end == request_end::cut_at_live_replica || end == request_end::failed_at_live_replica) {
    ++(is_beside_change() ? results.cuts_beside_change : results.cuts_elsewhere);
    ++results.failures[text_of(end) + " " + client.path + ", " + detail];
    results.add_trace(text_of(end) + " at a live replica",
                      detail + ": " + client.path + (client.is_unframed ? " unframed" : "") +
                          client.trace);
  }
  if (end == request_end::at_deadline) {
    const bool was_moved = client.trace.find("no progress") != std::string::npos;
    results.late_after_move += client.has_begun && was_moved ? 1 : 0;
    ++results.failures["at its deadline " + client.path + (client.has_begun ? ", begun" : "") +
                       (client.was_paused ? ", paused" : "")];
    results.add_trace("at its deadline", detail + ": " + client.path + client.trace);
  }
  client.trace.clear();
}

} // namespace spurrack::silence
