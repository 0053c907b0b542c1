/// Replicas that fall silent, and the calls at them.
#include "silence_fleet.h"

#include <algorithm>

namespace spurrack::silence {
namespace {

constexpr base::duration connect_timeout = milliseconds(500);
constexpr base::duration network_delay = milliseconds(1);
constexpr base::duration event_interval = milliseconds(150);
/// Time between the two parts of an event that arrives in two parts.
constexpr base::duration part_interval = milliseconds(40);
/// Target latency of all routes.
constexpr base::duration target_latency = milliseconds(1'000);
constexpr base::duration shortest_silence = milliseconds(500);
constexpr base::duration longest_silence = milliseconds(3'000);
constexpr std::size_t max_runs = 16;

/// @return address of the replica that produced a result.
base::network_address address_in(const std::string& handle) {
  return base::network_address(handle.substr(0, handle.find('/')));
}

} // namespace

// --- silences ------------------------------------------------------------------------------------

bool silence_fleet::silence(std::size_t index, silence_kind kind, base::duration span) {
  auto& replica = replicas_[index];
  if (!replica.is_up || is_silent(replica)) {
    return false;
  }
  ++results.silences;
  results.silences_with_calls += replica.runs.empty() ? 0 : 1;
  replica.kind = kind;
  replica.silent_from = now;
  replica.silent_until = now + span;
  replica.is_whole_service_silent = false;
  replica.awaited_since = replica.runs.empty() ? base::time_point{} : now;
  schedule(span, [this, index] {
    results.silences_awaited += replicas_[index].awaited_since == base::time_point{} ? 0 : 1;
    for (auto& action : std::exchange(replicas_[index].held, {})) {
      action();
    }
    check_work_after(index);
  });
  return true;
}

void silence_fleet::draw_silence() {
  constexpr std::size_t one_odds = 20;
  const std::vector<std::string> services{"llm", "llm", "plain", "pool", "other"};
  auto candidates = replicas_of(services[random.below(services.size())]);
  const auto draw = random.below(one_odds);
  const auto kind = random.below(2) == 0 ? silence_kind::stopped_process : silence_kind::held_link;
  if (candidates.empty()) {
    return;
  }
  if (draw > 1) {
    silence(candidates[random.below(candidates.size())], kind,
            draw_span(shortest_silence, longest_silence));
    return;
  }
  const bool is_all = draw == 0;
  const auto count = is_all ? candidates.size() : (candidates.size() + 2) / 3;
  const auto span = draw_span(shortest_silence, longest_silence);
  for (std::size_t done = 0; done < count; ++done) {
    const auto chosen = base::take_random(candidates, random);
    silence(chosen, kind, span);
    replicas_[chosen].is_whole_service_silent = is_all;
  }
}

void silence_fleet::check_work_after(std::size_t index) {
  constexpr base::duration work_again_time = milliseconds(500);
  const auto since = now;
  schedule(work_again_time, [this, index, since] {
    const auto has_got_work = [&](const emulated_replica& replica) {
      return replica.called_at >= since ? 1U : 0U;
    };
    const auto& replica = replicas_[index];
    if (!replica.is_up || replica.is_draining || is_silent(replica) || is_evacuated_ ||
        replica.announced_limit > 0) {
      return;
    }
    ++results.went_on;
    results.got_work_again += has_got_work(replica);
    for (const auto& other : replicas_) {
      const bool spoke = other.silent_until + seconds(5) < now;
      if (other.service == replica.service && other.is_up && !other.is_draining && spoke) {
        ++results.never_silent;
        results.never_silent_got_work += has_got_work(other);
      }
    }
  });
}

void silence_fleet::note_called(std::size_t index, const start_call* command) {
  auto& replica = replicas_[index];
  replica.called_at = now;
  if (!is_silent(replica)) {
    return;
  }
  if (replica.awaited_since == base::time_point{}) {
    replica.awaited_since = now;
  }
  const auto awaited = now - replica.awaited_since;
  if (command == nullptr || replica.is_whole_service_silent || awaited <= target_latency) {
    return;
  }
  ++results.calls_after_one_target;
  if (awaited > 2 * target_latency) {
    ++results.calls_after_two_targets;
    note_call_at_silent(replica, *command);
  }
}

std::string silence_fleet::open_calls_text(const emulated_replica& replica) const {
  std::string text;
  for (const auto& [key, run] : replica.runs) {
    const auto client = clients_.find(run.client);
    text += " n" + std::to_string(key.node) + " " +
            (client == clients_.end() ? "pieces" : client->second.path);
  }
  return text;
}

void silence_fleet::note_call_at_silent(const emulated_replica& replica,
                                        const start_call& command) {
  const auto& client = clients_.at(clients_by_request_.at(command.content->id.text()));
  std::size_t speaking = 0;
  for (const auto& other : replicas_) {
    speaking += other.service == replica.service && other.is_up && !is_silent(other) ? 1 : 0;
  }
  const auto& known = *nodes_[client.node].subject->replicas().find(replica.id);
  const auto found_silent_at = std::max(known.unresponsive_at, known.unreachable_at);
  results.calls_by_knowing_nodes += found_silent_at > replica.silent_from ? 1 : 0;
  const auto age = [this](base::time_point when) {
    return when == base::time_point{} ? std::string("never")
                                      : std::to_string(base::to_milliseconds(now - when));
  };
  results.add_trace(
      "call to a silent replica",
      replica.id.text() + ", silent for " + age(replica.silent_from) + " ms, awaited for " +
          age(replica.awaited_since) + ", " + std::to_string(speaking) +
          " others speak; at the node: active " + age(known.last_activity_at) + ", at a peer " +
          age(known.peer_reported_activity_at) + ", unresponsive " + age(known.unresponsive_at) +
          ", unreachable " + age(known.unreachable_at) + ", reported down " +
          age(known.peer_reported_down_at) + ", ejection ended " + age(known.ejected_until) +
          ", pause ended " + age(known.paused_until) + ", its stand ended " +
          age(nodes_[client.node].stands_until) + "; open calls there:" + open_calls_text(replica) +
          ": " + client.path + client.trace);
}

// --- entries -------------------------------------------------------------------------------------

std::vector<std::size_t> silence_fleet::replicas_of(const std::string& service) const {
  std::vector<std::size_t> found;
  for (std::size_t index = 0; index < replicas_.size(); ++index) {
    if (replicas_[index].service == service && replicas_[index].is_up) {
      found.push_back(index);
    }
  }
  return found;
}

std::optional<std::size_t> silence_fleet::replica_at(const base::network_address& address) const {
  for (std::size_t index = 0; index < replicas_.size(); ++index) {
    if (replicas_[index].address == address.text()) {
      return index;
    }
  }
  return std::nullopt;
}

std::size_t silence_fleet::add_replica(const std::string& service, const std::string& zone,
                                       const std::string& version) {
  const auto index = replicas_.size();
  auto& replica = replicas_.emplace_back();
  replica.service = service;
  replica.zone = zone;
  replica.version = version;
  replica.id = base::replica_id(service + "-" + std::to_string(index));
  replica.address =
      "10.1." + std::to_string(index / 200) + "." + std::to_string(index % 200 + 1) + ":80";
  publish_replica(index);
  return index;
}

void silence_fleet::publish_replica(std::size_t index) {
  const auto& replica = replicas_[index];
  wire::published_replica record;
  record.set_id(replica.id.text());
  record.set_service(replica.service);
  record.set_address(replica.address);
  record.set_zone(replica.zone);
  record.set_version(replica.version);
  record.set_slots(8);
  record.set_draining(replica.is_draining);
  published_.put(std::string(model::replica_prefix) + replica.id.text(), record.SerializeAsString(),
                 false);
}

void silence_fleet::drain(std::size_t index) {
  constexpr base::duration shortest_drain = seconds(2);
  constexpr base::duration longest_drain = seconds(15);
  if (!replicas_[index].is_up || std::exchange(replicas_[index].is_draining, true)) {
    return;
  }
  changed_at_ = now;
  publish_replica(index);
  publish();
  schedule(shortest_drain, [this, index, end = now + longest_drain] { exit_if_idle(index, end); });
}

void silence_fleet::exit_if_idle(std::size_t index, base::time_point must_exit_at) {
  auto& replica = replicas_[index];
  if ((replica.runs.empty() && !is_silent(replica)) || now >= must_exit_at) {
    exit_replica(index);
  } else {
    schedule(milliseconds(200), [this, index, must_exit_at] { exit_if_idle(index, must_exit_at); });
  }
}

void silence_fleet::exit_replica(std::size_t index) {
  auto& replica = replicas_[index];
  replica.is_up = false;
  replica.silent_until = now;
  for (auto& action : std::exchange(replica.held, {})) {
    action();
  }
  for (const auto& [key, run] : std::exchange(replica.runs, {})) {
    deliver(key, stream_closed{.call = key.call, .complete = false});
    deliver(key, call_failed{key.call, call_failure::may_have_run});
    stage_call_ended ended;
    ended.call = key.call;
    deliver(key, ended);
  }
  schedule(milliseconds(500), [this, index] {
    published_.remove_replica(replicas_[index].id.text());
    publish();
  });
}

// --- connections ---------------------------------------------------------------------------------

void silence_fleet::at_replica(std::size_t index, std::function<void()> action) {
  if (is_stopped(replicas_[index])) {
    schedule(replicas_[index].silent_until - now,
             [this, index, action = std::move(action)] { at_replica(index, action); });
    return;
  }
  action();
}

void silence_fleet::send_from(std::size_t index, const run_key& key, const event& sent) {
  auto& replica = replicas_[index];
  if (is_silent(replica) || !replica.held.empty()) {
    replica.held.emplace_back([this, key, sent] { deliver(key, sent); });
  } else {
    deliver(key, sent);
  }
}

void silence_fleet::reach(std::size_t index, const run_key& key, bool is_reused, bool is_stage_call,
                          std::function<void()> begin) {
  const auto& replica = replicas_[index];
  const bool is_held = is_silent(replica) && replica.kind == silence_kind::held_link;
  const auto wait = is_held ? replica.silent_until - now : base::duration{};
  const bool times_out = is_held && !is_reused && wait >= connect_timeout;
  if (!replica.is_up || times_out) {
    schedule(times_out ? connect_timeout : network_delay, [this, index, key, is_stage_call] {
      if (replicas_[index].runs.erase(key) == 0) {
        return;
      }
      if (is_stage_call) {
        stage_call_ended ended;
        ended.call = key.call;
        ended.outcome = stage_call_ended::result::not_sent;
        deliver(key, ended);
      } else {
        deliver(key, call_failed{key.call, call_failure::not_sent});
      }
    });
    return;
  }
  schedule(wait + network_delay, [this, index, key, begin = std::move(begin)] {
    at_replica(index, [this, index, key, begin] {
      if (replicas_[index].runs.contains(key)) {
        begin();
      }
    });
  });
}

void silence_fleet::execute(std::size_t node, const probe_replica& command) {
  const auto index = replica_at(command.target.address);
  const auto& replica = replicas_[*index];
  // A replica may fall silent at the moment of the probe.
  constexpr std::size_t silence_odds = 20;
  if (replica.is_up && is_loaded && random.below(silence_odds) == 0) {
    silence(*index, silence_kind::held_link, draw_span(shortest_silence, longest_silence));
  }
  const bool is_held = is_silent(replica) && replica.kind == silence_kind::held_link;
  const auto wait = is_held ? replica.silent_until - now : base::duration{};
  auto result = wait >= connect_timeout ? probe_result::unresponsive : probe_result::connected;
  result = replica.is_up ? result : probe_result::refused;
  schedule(
      std::min<base::duration>(wait, connect_timeout) + network_delay,
      [this, key = run_key{node, nodes_[node].incarnation, 0},
       probed = replica_probed{command.target.replica, result, now}] { deliver(key, probed); });
}

// --- requests ------------------------------------------------------------------------------------

void silence_fleet::execute(std::size_t node, const start_call& command) {
  const run_key key{node, nodes_[node].incarnation, command.call};
  const auto number = clients_by_request_.at(command.content->id.text());
  auto& client = clients_.at(number);
  clients_by_call_[key] = number;
  if (command.passes_on) {
    // No node of this fleet is cut off from the replicas, so none should need another one.
    ++results.passed_on;
    results.add_trace("passed on", client.path + client.trace);
    schedule(network_delay, [this, key] {
      deliver(key, call_failed{key.call, call_failure::not_sent});
    });
    return;
  }
  const auto index = *replica_at(command.target.address);
  note_called(index, &command);
  client.replicas.insert(index);
  replicas_[index].runs[key] = {number, command.resume_after.value_or(0) + 1, client.events,
                                client.is_unframed};
  const bool is_reused = !command.runs_at_most_once && random.below(2) == 0;
  reach(index, key, is_reused, false,
        [this, index, key, command] { begin_run(index, key, command); });
}

void silence_fleet::begin_run(std::size_t index, const run_key& key, const start_call& command) {
  auto& replica = replicas_[index];
  auto& client = clients_.at(replica.runs.at(key).client);
  const bool lacks_input = std::any_of(command.inputs.begin(), command.inputs.end(),
                                       [&](const auto& handle) { return !has_result(handle); });
  if (lacks_input || replica.runs.size() > max_runs) {
    replica.runs.erase(key);
    auto head = dispatcher_driver::not_executed_head();
    head.status = lacks_input ? 409 : 503;
    send_from(index, key, call_answered{key.call, head, ""});
    return;
  }
  ++client.runs;
  const auto time = wait_for_results(command.inputs) + milliseconds(20 + random.below(100));
  schedule(time, [this, index, key, is_streaming = command.streaming] {
    at_replica(index, [this, index, key, is_streaming] {
      if (!replicas_[index].runs.contains(key)) {
        return;
      }
      if (is_streaming) {
        open_answer(index, key);
      } else {
        answer_plain(index, key);
      }
    });
  });
}

void silence_fleet::answer_plain(std::size_t index, const run_key& key) {
  auto& replica = replicas_[index];
  const auto run = replica.runs.at(key);
  replica.runs.erase(key);
  replica_self_report report;
  if (replica.announced_limit > 0) {
    report.limit.per_second = replica.announced_limit;
  }
  send_from(index, key, self_report_received{replica.id, now, report});
  send_from(index, key,
            call_answered{.call = key.call,
                          .head = dispatcher_driver::good_head(),
                          .body = "body",
                          .ends_with_connection = run.is_unframed});
}

void silence_fleet::open_answer(std::size_t index, const run_key& key) {
  auto& replica = replicas_[index];
  replica_self_report report;
  if (replica.announced_limit > 0) {
    report.limit.per_second = replica.announced_limit;
  }
  send_from(index, key, self_report_received{replica.id, now, report});
  send_from(
      index, key,
      stream_opened{key.call, dispatcher_driver::good_head(), replica.runs.at(key).is_unframed});
  send_event(index, key);
}

void silence_fleet::send_event(std::size_t index, const run_key& key) {
  const auto found = replicas_[index].runs.find(key);
  if (found == replicas_[index].runs.end()) {
    return;
  }
  auto& run = found->second;
  const auto number = run.next_event++;
  if (number > run.events) {
    end_answer(index, key);
    return;
  }
  const auto text = "id: " + std::to_string(number) + "\ndata: x\n\n";
  const auto split_at = random.below(2) == 0 ? text.size() / 2 : text.size();
  send_from(index, key, stream_bytes{key.call, text.substr(0, split_at)});
  if (split_at < text.size()) {
    schedule(part_interval, [this, index, key, rest = text.substr(split_at)] {
      at_replica(index, [this, index, key, rest] {
        if (replicas_[index].runs.contains(key)) {
          send_from(index, key, stream_bytes{key.call, rest});
        }
      });
    });
  }
  schedule(event_interval, [this, index, key] {
    at_replica(index, [this, index, key] { send_event(index, key); });
  });
}

void silence_fleet::end_answer(std::size_t index, const run_key& key) {
  auto& replica = replicas_[index];
  const auto run = replica.runs.at(key);
  replica.runs.erase(key);
  send_from(
      index, key,
      stream_closed{.call = key.call, .complete = true, .ends_with_connection = run.is_unframed});
  // A replica may fall silent at the end of an answer that its connection ends.
  constexpr std::size_t silence_odds = 10;
  if (run.is_unframed && is_loaded && random.below(silence_odds) == 0) {
    const auto kind =
        random.below(2) == 0 ? silence_kind::stopped_process : silence_kind::held_link;
    silence(index, kind, draw_span(shortest_silence, longest_silence));
  }
}

void silence_fleet::execute(std::size_t node, const cancel_call& command) {
  const run_key key{node, nodes_[node].incarnation, command.call};
  nodes_[node].unread.erase(command.call);
  for (auto& replica : replicas_) {
    replica.runs.erase(key);
  }
}

// --- stage workers -------------------------------------------------------------------------------

void silence_fleet::execute(std::size_t node, const start_stage_call& command) {
  const run_key key{node, nodes_[node].incarnation, command.call};
  const auto index = *replica_at(command.target.address);
  note_called(index, nullptr);
  replicas_[index].runs[key] = {};
  std::vector<std::string> inputs;
  for (const auto& item : command.items) {
    inputs.insert(inputs.end(), item.inputs.begin(), item.inputs.end());
  }
  reach(index, key, random.below(2) == 0, true,
        [this, index, key, inputs, pieces = command.items.size()] {
          schedule(wait_for_results(inputs) + milliseconds(40 + 5 * pieces), [this, index, key,
                                                                              pieces] {
            at_replica(index, [this, index, key, pieces] { compute_pieces(index, key, pieces); });
          });
        });
}

void silence_fleet::compute_pieces(std::size_t index, const run_key& key, std::size_t pieces) {
  auto& replica = replicas_[index];
  if (replica.runs.erase(key) == 0) {
    return;
  }
  stage_call_ended ended;
  ended.call = key.call;
  ended.outcome = stage_call_ended::result::answered;
  for (std::size_t piece = 0; piece < pieces; ++piece) {
    ended.pieces.push_back(
        {piece_fault::none, replica.address + "/r" + std::to_string(++replica.results)});
  }
  send_from(index, key, ended);
}

void silence_fleet::execute(std::size_t /*node*/, const free_results& command) {
  freed_results_.insert(command.handles.begin(), command.handles.end());
}

bool silence_fleet::has_result(const std::string& handle) const {
  const auto producer = replica_at(address_in(handle));
  return producer && replicas_[*producer].is_up && !freed_results_.contains(handle);
}

base::duration silence_fleet::wait_for_results(const std::vector<std::string>& handles) const {
  base::duration longest{};
  for (const auto& handle : handles) {
    const auto producer = replica_at(address_in(handle));
    if (producer && is_silent(replicas_[*producer])) {
      longest = std::max<base::duration>(longest, replicas_[*producer].silent_until - now);
    }
  }
  return longest;
}

} // namespace spurrack::silence
