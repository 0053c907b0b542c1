#include "serving/dispatcher.h"

#include "base/hashing.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace spurrack::serving {
namespace {

namespace status {
constexpr unsigned unauthorized = 401;
constexpr unsigned not_found = 404;
constexpr unsigned conflict = 409;
constexpr unsigned bad_gateway = 502;
constexpr unsigned unavailable = 503;
constexpr unsigned timed_out = 504;
constexpr unsigned first_server_error = 500;
constexpr unsigned client_gone = 0;
} // namespace status

/// Used where neither the client nor the route bounds a request.
constexpr base::duration longest_request = std::chrono::minutes(2);
/// Replicas that could not be reached before a request is refused.
constexpr std::uint32_t most_unreached = 4;
/// Times the stages of a request are made again because results were lost.
constexpr std::uint32_t most_restarts = 2;
/// A repeatable plain call is made elsewhere after this part of the target latency.
constexpr double plain_stall_part = 0.7;
/// A resumable stream is taken up elsewhere after this many times the longest pause in time.
constexpr double stream_stall_factor = 2.5;
/// Time a stage is expected to take, for the order of pieces.
constexpr base::duration usual_stage_time = std::chrono::milliseconds(400);

/// A client that comes back after a refusal has less than this part of its route's time.
constexpr double first_attempt_time_part = 0.97;
/// A request is admitted up to this part of its target latency.
constexpr double admitted_target_part = 2.0;
/// Clients stay away for a third of the time they have left at the most.
constexpr double longest_retry_after_part = 0.3;
/// Part of its time after which a request whose stages are not finished is looked at again.
constexpr double recheck_part = 0.42;
constexpr base::duration hopeless_check_period = std::chrono::milliseconds(50);

base::duration scaled(base::duration span, double factor) {
  return base::from_seconds(base::to_seconds(span) * factor);
}

bool is_success(unsigned code) {
  return code >= 200 && code < 300;
}

std::string seconds_text(base::duration span) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.3f", base::to_seconds(span));
  return text;
}

/// Service of a route with several, the same for the same request on every node.
const std::string& pick_service(const model::route& route, const base::request_id& id) {
  std::uint64_t total = 0;
  for (const auto& target : route.services) {
    total += target.weight;
  }
  auto place = base::stable_hash(id.text()) % total;
  for (const auto& target : route.services) {
    if (place < target.weight) {
      return target.service;
    }
    place -= target.weight;
  }
  return route.services.front().service;
}

/// Hash of the last part of a prompt that others share; 0 where there is none.
std::uint64_t affinity_of(const request_content& content) {
  if (content.prompt_parts.empty()) {
    return 0;
  }
  const auto last = content.prompt_parts.size() - 1;
  const auto& shared = content.prompt_parts[last > 0 ? last - 1 : 0];
  return base::stable_hash(shared.id, base::stable_hash(content.model)) | 1U;
}

} // namespace

dispatcher::dispatcher(const fleet_peer& self, const serving_settings& settings,
                       base::random_source& random, base::incarnation life,
                       decision_recorder record)
    : own_zone_(self.zone), settings_(settings), record_(std::move(record)),
      replicas_(self.zone, settings, random), retries_(settings.retry),
      stages_(
          self, replicas_, settings, [this] { return next_call_++; }, life, record_) {}

void dispatcher::set_peers(std::vector<fleet_peer> alive, std::size_t known) {
  retries_.set_fleet_size(known + 1);
  stages_.set_peers(std::move(alive));
}

void dispatcher::handle_peer(const base::node_id& sender, const wire::stage_work& message,
                             base::time_point now) {
  stages_.handle(sender, message, now);
  take_piece_results(now);
}

void dispatcher::update(const catalog::catalog& content) {
  configuration_ = content.serving();
  replicas_.update(content.replicas());
  stages_.set_configuration(configuration_);
}

void dispatcher::handle(const event& what, base::time_point now) {
  std::visit([&](const auto& happened) { on(happened, now); }, what);
}

void dispatcher::record(base::event_kind kind, const active_request& request,
                        const std::string& subject, const std::string& detail) {
  record_(kind, request.content->id, subject, detail);
}

dispatcher::active_request* dispatcher::find_by_call(base::call_id call) {
  const auto found = calls_.find(call);
  return found == calls_.end() ? nullptr : &active_.at(found->second);
}

// --- arrival -------------------------------------------------------------------------------------

void dispatcher::refuse(base::caller_id client, const base::request_id& id, unsigned code,
                        const std::string& reason, base::duration retry_after) {
  respond answer{client, id, code, {}, "{\"error\":\"" + reason + "\"}\n"};
  answer.headers.push_back({"Content-Type", "application/json"});
  if (retry_after > base::duration::zero()) {
    answer.headers.push_back({"Retry-After", seconds_text(retry_after)});
  }
  ++counters_.answers[code];
  record_(base::event_kind::request_answered, id, std::to_string(code), reason);
  commands_.emplace_back(std::move(answer));
}

void dispatcher::on(const request_arrived& what, base::time_point now) {
  const auto& content = *what.content;
  if (!accepting_ || !configuration_) {
    refuse(what.client, content.id, status::unavailable,
           accepting_ ? "no configuration yet" : "stopping", settings_.retry_after);
    return;
  }
  auto route = configuration_->find_route(content.host, content.path);
  if (!route) {
    refuse(what.client, content.id, status::not_found, "no such route", {});
    return;
  }
  std::optional<model::key_holder> holder;
  if (const auto found = configuration_->keys.find(content.api_key);
      found != configuration_->keys.end()) {
    holder = found->second;
  }
  if (!holder && !route->is_public && !configuration_->keys.empty()) {
    refuse(what.client, content.id, status::unauthorized, "unknown key", {});
    return;
  }
  admit(what, std::move(route), holder, now);
}

void dispatcher::admit(const request_arrived& what, std::shared_ptr<const model::route> route,
                       const std::optional<model::key_holder>& holder, base::time_point now) {
  active_request request;
  request.client = what.client;
  request.content = what.content;
  request.service = pick_service(*route, what.content->id);
  request.tenant = holder ? holder->tenant.text() : "";
  request.priority = holder && holder->priority ? *holder->priority : route->priority;
  request.configuration_version = configuration_->version;
  request.arrived = what.arrived_at;
  const auto allowed = std::min(what.content->time_allowed.value_or(longest_request),
                                route->timeout.value_or(longest_request));
  request.ends_at = what.arrived_at + allowed;
  request.events = event_stream(what.content->resume_after);
  request.route = std::move(route);
  if (!request.route->stages.empty()) {
    request.graph = std::make_unique<stage_graph>(*request.route, what.content->pieces);
    request.zone = wanted_zone(request, now);
  }
  retries_.count_request(request.service, now);
  ends_.emplace(request.ends_at, what.client);
  auto& active = active_[what.client] = std::move(request);
  record(base::event_kind::request_received, active, active.route->name,
         "configuration " + std::to_string(active.configuration_version) + ", " +
             std::to_string(base::to_milliseconds(allowed)) + " ms");
  if (active.ends_at <= now) {
    answer_not_run(active, "deadline passed on arrival", now);
    return;
  }
  if (!refuse_hopeless(active, now)) {
    go_on(active, now);
  }
}

std::optional<base::duration> dispatcher::expected_time(const active_request& request) const {
  return estimate_.time_left(*configuration_, *request.route, *request.graph, stages_,
                             request.service);
}

bool dispatcher::refuse_hopeless(active_request& request, base::time_point now) {
  if (!settings_.refuse_early || !request.graph || request.graph->done()) {
    return false;
  }
  stages_.refresh(now);
  const auto expected = expected_time(request);
  const auto allowed = request.ends_at - request.arrived;
  // One that comes back has less time than its route gives; it is refused only without any hope.
  const bool comes_back =
      request.route->timeout && allowed < *request.route->timeout * first_attempt_time_part;
  const auto target = request.route->target_latency;
  const auto limit = comes_back || target <= base::duration::zero()
                         ? allowed
                         : std::min<base::duration>(allowed, scaled(target, admitted_target_part));
  if (expected && *expected <= limit) {
    return false;
  }
  const auto excess =
      expected ? *expected - scaled(limit, 0.8) : base::duration{settings_.retry_after};
  const auto wait = std::clamp<base::duration>(excess, settings_.retry_after,
                                               scaled(allowed, longest_retry_after_part));
  refuse(request.client, request.content->id, status::unavailable,
         "expected to take " +
             (expected ? std::to_string(base::to_milliseconds(*expected)) + " ms" : "for ever"),
         wait);
  finish(request, status::unavailable, "refused early", now);
  return true;
}

void dispatcher::give_up_hopeless(base::time_point now) {
  if (!settings_.refuse_early || now < next_hopeless_check_) {
    return;
  }
  next_hopeless_check_ = now + hopeless_check_period;
  std::vector<base::caller_id> hopeless;
  for (auto& [client, request] : active_) {
    const auto allowed = request.ends_at - request.arrived;
    const bool halfway = now - request.arrived >= scaled(allowed, recheck_part);
    if (!request.graph || request.graph->done() || request.rechecked || !halfway ||
        request.may_have_run) {
      continue;
    }
    request.rechecked = true;
    const auto expected = expected_time(request);
    if (!expected || now + *expected > request.ends_at) {
      hopeless.push_back(client);
    }
  }
  for (const auto client : hopeless) {
    answer_not_run(active_.at(client), "its stages cannot end in time", now);
  }
}

void dispatcher::go_on(active_request& request, base::time_point now) {
  if (request.graph && !request.graph->done()) {
    submit_pieces(request, now);
  } else {
    send_to_replica(request, now);
  }
}

// --- stages --------------------------------------------------------------------------------------

void dispatcher::submit_pieces(active_request& request, base::time_point now) {
  std::map<std::uint32_t, std::vector<piece_position>> by_stage;
  for (const auto where : request.graph->take_ready()) {
    by_stage[where.stage].push_back(where);
  }
  for (const auto& [stage, positions] : by_stage) {
    submit_stage(request, positions, now);
  }
}

void dispatcher::submit_stage(active_request& request, const std::vector<piece_position>& positions,
                              base::time_point now) {
  const auto stage = positions.front().stage;
  const auto& step = request.route->stages[stage];
  const auto left = usual_stage_time * (1 + request.graph->steps_after(stage));
  piece_work common;
  common.request = request.content->id;
  common.service = step.service;
  common.stage = stage;
  common.result_bytes = step.result_bytes;
  common.due = request.arrived + request.route->target_latency - left;
  common.deadline = request.ends_at;
  if (step.start_after.empty()) {
    common.piece_key = request.content->piece_key;
  } else {
    common.inputs = request.graph->inputs_of(stage);
  }
  counters_.stage_pieces += positions.size();
  choose_zone(request, stage, common);
  std::vector<piece_work> pieces;
  for (const auto where : positions) {
    pieces.push_back(common);
    pieces.back().piece = where.piece;
  }
  const auto tickets = stages_.submit(std::move(pieces), common.zone, now);
  for (std::size_t index = 0; index < positions.size(); ++index) {
    request.pieces[tickets[index]] = positions[index];
    tickets_[tickets[index]] = request.client;
  }
}

void dispatcher::choose_zone(const active_request& request, std::uint32_t stage,
                             piece_work& work) const {
  const auto& route = *request.route;
  double result_bytes = 0;
  if (request.graph->is_last(stage)) {
    result_bytes = work.result_bytes;
  }
  // Each piece reads every input.
  std::map<base::zone_id, double> read_in;
  for (const auto before : route.stages[stage].start_after) {
    for (const auto& handle : request.graph->results_of(before)) {
      const auto* maker =
          replicas_.find_at(base::network_address(handle.substr(0, handle.find('/'))));
      if (maker != nullptr) {
        read_in[maker->record->zone] += route.stages[before].result_bytes;
      }
    }
  }
  work.zone = request.zone;
  work.carried_bytes = result_bytes;
  for (const auto& [zone, bytes] : read_in) {
    if (bytes > work.carried_bytes) {
      work.zone = zone;
      work.carried_bytes = bytes;
    }
  }
}

void dispatcher::take_piece_results(base::time_point now) {
  for (const auto& finished : stages_.take_finished()) {
    const auto owner = tickets_.find(finished.ticket);
    if (owner == tickets_.end()) {
      continue;
    }
    auto& request = active_.at(owner->second);
    tickets_.erase(owner);
    on_piece_finished(request, finished.ticket, finished.outcome, now);
  }
}

void dispatcher::on_piece_finished(active_request& request, piece_ticket ticket,
                                   const piece_outcome& outcome, base::time_point now) {
  const auto where = request.pieces.at(ticket);
  request.pieces.erase(ticket);
  if (outcome.fault == piece_fault::none) {
    request.graph->complete(where, outcome.handle);
    free(request.graph->take_unneeded(false));
    go_on(request, now);
    return;
  }
  if (outcome.fault == piece_fault::input_gone && request.graph->restarts() < most_restarts) {
    restart_stages(request, now);
    return;
  }
  answer_not_run(request, "stage " + std::to_string(where.stage) + " brought no result", now);
}

void dispatcher::restart_stages(active_request& request, base::time_point now) {
  for (const auto& [ticket, where] : request.pieces) {
    stages_.cancel(ticket);
    tickets_.erase(ticket);
  }
  request.pieces.clear();
  free(request.graph->restart());
  record(base::event_kind::stage_retried, request, request.route->name, "results were gone");
  submit_pieces(request, now);
}

void dispatcher::on(const stage_call_ended& what, base::time_point now) {
  if (stages_.on_call_ended(what, now)) {
    take_piece_results(now);
  }
}

void dispatcher::free(const std::vector<std::string>& handles) {
  counters_.results_freed += handles.size();
  stages_.release(handles);
}

base::zone_id dispatcher::wanted_zone(const active_request& request, base::time_point now) {
  const auto* expected = choose_replica(request, now);
  return expected == nullptr ? own_zone_ : expected->record->zone;
}

// --- the call at a replica -----------------------------------------------------------------------

const replica_state* dispatcher::choose_replica(const active_request& request,
                                                base::time_point now) {
  const auto* service = configuration_ ? configuration_->find_service(request.service) : nullptr;
  if (service != nullptr && service->engine) {
    return replicas_.choose_engine(request.service, affinity_of(*request.content), request.tried,
                                   now);
  }
  return replicas_.choose(request.service, request.tried, now);
}

void dispatcher::send_to_replica(active_request& request, base::time_point now) {
  if (request.ends_at <= now) {
    give_up(request, now);
    return;
  }
  if (request.graph && request.graph->has_freed_final_inputs()) {
    // An attempt before this one had them; they are made again for the next.
    restart_stages(request, now);
    return;
  }
  const auto* chosen = choose_replica(request, now);
  if (chosen == nullptr) {
    if (request.may_have_run) {
      answer_failed(request, status::bad_gateway, "no replica is left", now);
    } else {
      answer_not_run(request, "no replica", now);
    }
    return;
  }
  start_call wanted;
  wanted.call = next_call_++;
  wanted.target = {chosen->record->id, chosen->record->address};
  wanted.content = request.content;
  wanted.time_left = request.ends_at - now;
  wanted.tenant = request.tenant;
  wanted.streaming = request.route->kind == model::route_kind::streaming;
  wanted.runs_at_most_once = !request.route->may_repeat();
  wanted.resume_after = request.events.last_id();
  if (request.graph) {
    wanted.inputs = request.graph->final_inputs();
  }
  request.tried.insert(chosen->record->id);
  ++request.sent;
  request.call = open_call{wanted.call, chosen->record->id, now, std::nullopt, std::nullopt};
  const bool runs_at_once = !chosen->told || chosen->told->waiting == 0;
  if (!wanted.inputs.empty() && runs_at_once &&
      settings_.input_fetch_time > base::duration::zero()) {
    request.call->inputs_fetched_at = now + settings_.input_fetch_time;
  }
  calls_[wanted.call] = request.client;
  record(base::event_kind::stage_dispatched, request, chosen->record->id.text(),
         "attempt " + std::to_string(request.sent) + ", own calls " +
             std::to_string(chosen->in_flight) + ", " +
             std::to_string(base::to_milliseconds(wanted.time_left)) + " ms left");
  replicas_.call_started(chosen->record->id);
  ++counters_.calls;
  commands_.emplace_back(std::move(wanted));
  watch_progress(request, request.route->target_latency, now);
}

void dispatcher::watch_progress(active_request& request, base::duration allowed,
                                base::time_point now) {
  request.call->stalls_at.reset();
  if (!request.route->may_repeat() || allowed <= base::duration::zero()) {
    return;
  }
  const bool plain = request.route->kind == model::route_kind::safe;
  const double factor = plain ? plain_stall_part : 1.0;
  request.call->stalls_at = now + std::chrono::duration_cast<base::duration>(allowed * factor);
}

dispatcher::open_call dispatcher::close_call(active_request& request) {
  auto call = *request.call;
  calls_.erase(call.id);
  replicas_.call_ended(call.replica);
  request.call.reset();
  return call;
}

bool dispatcher::may_send_again(active_request& request, base::time_point now) {
  if (request.sent >= request.route->max_attempts || request.ends_at <= now) {
    return false;
  }
  if (!retries_.take(request.service, now)) {
    ++counters_.repeats_denied;
    return false;
  }
  ++counters_.repeats;
  return true;
}

void dispatcher::on(const call_failed& what, base::time_point now) {
  auto* request = find_by_call(what.call);
  if (request == nullptr) {
    return;
  }
  const auto call = close_call(*request);
  if (what.fate == call_fate::not_sent) {
    replicas_.note_unreachable(call.replica, now);
    --request->sent;
    record(base::event_kind::stage_retried, *request, call.replica.text(), "not reached");
    if (++request->not_sent < most_unreached) {
      send_to_replica(*request, now);
    } else if (request->may_have_run) {
      answer_failed(*request, status::bad_gateway, "replicas cannot be reached", now);
    } else {
      answer_not_run(*request, "replicas cannot be reached", now);
    }
    return;
  }
  replicas_.note_failure(call.replica, now);
  request->may_have_run = true;
  record(base::event_kind::stage_retried, *request, call.replica.text(), "no answer");
  repeat_or_fail(*request, now);
}

void dispatcher::repeat_or_fail(active_request& request, base::time_point now) {
  if (request.route->may_repeat() && may_send_again(request, now)) {
    request.events.restart();
    counters_.streams_resumed += request.stream_begun ? 1 : 0;
    send_to_replica(request, now);
    return;
  }
  answer_failed(request, status::bad_gateway, "the replica gave no whole answer", now);
}

void dispatcher::on_not_executed(active_request& request, const answer_head& head,
                                 base::time_point now) {
  const auto call = close_call(request);
  if (head.misdirected) {
    replicas_.note_left(call.replica);
  } else {
    replicas_.note_full(call.replica, now);
  }
  record(base::event_kind::stage_retried, request, call.replica.text(),
         "not executed, status " + std::to_string(head.status));
  if (head.status == status::conflict && request.graph &&
      request.graph->restarts() < most_restarts && request.sent < request.route->max_attempts) {
    restart_stages(request, now);
    return;
  }
  if (may_send_again(request, now)) {
    send_to_replica(request, now);
  } else if (request.may_have_run) {
    answer_failed(request, status::bad_gateway, "replicas are full", now);
  } else {
    answer_not_run(request, "replicas are full", now);
  }
}

void dispatcher::on(const call_answered& what, base::time_point now) {
  auto* request = find_by_call(what.call);
  if (request == nullptr) {
    return;
  }
  const auto& replica = request->call->replica;
  if (what.head.load) {
    replicas_.note_load(replica, *what.head.load, now);
  }
  if (what.head.not_executed || what.head.misdirected) {
    on_not_executed(*request, what.head, now);
    return;
  }
  request->may_have_run = true;
  const bool unusable = is_success(what.head.status) && (!what.head.sealed || what.head.encoded);
  const bool failed = unusable || what.head.status >= status::first_server_error;
  if (!failed) {
    replicas_.note_success(replica, now - request->call->started);
    pass_on(*request, what, now);
    return;
  }
  const auto call = close_call(*request);
  replicas_.note_failure(call.replica, now);
  if (request->route->may_repeat() && may_send_again(*request, now)) {
    record(base::event_kind::stage_retried, *request, call.replica.text(),
           "status " + std::to_string(what.head.status));
    send_to_replica(*request, now);
  } else if (unusable || request->stream_begun) {
    answer_failed(*request, status::bad_gateway, "the replica's answer is not valid", now);
  } else {
    pass_on(*request, what, now);
  }
}

void dispatcher::pass_on(active_request& request, const call_answered& answer,
                         base::time_point now) {
  if (request.stream_begun) {
    commands_.emplace_back(end_stream{request.client, false});
  } else {
    commands_.emplace_back(respond{request.client, std::nullopt, answer.head.status,
                                   answer.head.headers, answer.body});
    counters_.first_byte.add(now - request.arrived);
  }
  finish(request, answer.head.status, "the replica's answer", now);
}

// --- streams -------------------------------------------------------------------------------------

void dispatcher::on(const stream_opened& what, base::time_point now) {
  auto* request = find_by_call(what.call);
  if (request == nullptr) {
    return;
  }
  const auto replica = request->call->replica;
  if (what.head.load) {
    replicas_.note_load(replica, *what.head.load, now);
  }
  request->may_have_run = true;
  if (!what.head.sealed || what.head.encoded) {
    commands_.emplace_back(cancel_call{what.call});
    replicas_.note_failure(replica, now);
    close_call(*request);
    repeat_or_fail(*request, now);
    return;
  }
  if (!request->stream_begun) {
    request->stream_head = what.head;
  }
  record(base::event_kind::stage_completed, *request, replica.text(),
         "head of the stream after " +
             std::to_string(base::to_milliseconds(now - request->call->started)) + " ms");
}

void dispatcher::begin_stream(active_request& request, base::time_point now) {
  if (request.stream_begun) {
    return;
  }
  request.stream_begun = true;
  commands_.emplace_back(
      open_stream{request.client, request.stream_head->status, request.stream_head->headers});
  counters_.first_byte.add(now - request.arrived);
  record(base::event_kind::stage_completed, request, "",
         "first event after " + std::to_string(base::to_milliseconds(now - request.arrived)) +
             " ms");
  if (request.call) {
    estimate_.note_first_byte(request.service, now - request.call->started);
  }
  if (request.graph) {
    free(request.graph->take_unneeded(true));
  }
}

void dispatcher::on(const stream_bytes& what, base::time_point now) {
  auto* request = find_by_call(what.call);
  if (request == nullptr) {
    return;
  }
  auto whole = request->events.feed(what.bytes);
  if (whole.empty()) {
    return;
  }
  begin_stream(*request, now);
  commands_.emplace_back(stream_data{request->client, std::move(whole)});
  const auto pause =
      std::chrono::duration_cast<base::duration>(request->route->gap_target * stream_stall_factor);
  watch_progress(*request, pause, now);
}

void dispatcher::on(const stream_closed& what, base::time_point now) {
  auto* request = find_by_call(what.call);
  if (request == nullptr) {
    return;
  }
  const auto call = close_call(*request);
  if (what.complete && !request->events.has_partial()) {
    begin_stream(*request, now);
    replicas_.note_success(call.replica, now - call.started);
    commands_.emplace_back(end_stream{request->client, true});
    finish(*request, request->stream_head->status, "the stream is complete", now);
    return;
  }
  replicas_.note_failure(call.replica, now);
  record(base::event_kind::stage_retried, *request, call.replica.text(), "the stream broke off");
  repeat_or_fail(*request, now);
}

// --- ends ----------------------------------------------------------------------------------------

void dispatcher::on(const client_left& what, base::time_point now) {
  const auto found = active_.find(what.client);
  if (found != active_.end()) {
    finish(found->second, status::client_gone, "the client left", now);
  }
}

void dispatcher::answer_not_run(active_request& request, const std::string& reason,
                                base::time_point now) {
  if (request.may_have_run || request.stream_begun) {
    answer_failed(request, status::bad_gateway, reason, now);
    return;
  }
  const bool time_is_over = request.ends_at <= now;
  refuse(request.client, request.content->id, status::unavailable, reason,
         time_is_over ? base::duration{} : settings_.retry_after);
  finish(request, status::unavailable, reason, now);
}

void dispatcher::answer_failed(active_request& request, unsigned code, const std::string& reason,
                               base::time_point now) {
  if (request.stream_begun) {
    commands_.emplace_back(end_stream{request.client, false});
    record(base::event_kind::request_answered, request, "broken off", reason);
  } else {
    refuse(request.client, request.content->id, code, reason, {});
  }
  finish(request, code, reason, now);
}

void dispatcher::finish(active_request& request, unsigned code, const std::string& reason,
                        base::time_point now) {
  if (request.call) {
    commands_.emplace_back(cancel_call{request.call->id});
    close_call(request);
  }
  for (const auto& [ticket, where] : request.pieces) {
    stages_.cancel(ticket);
    tickets_.erase(ticket);
  }
  if (request.graph) {
    free(request.graph->take_unneeded(true));
  }
  const bool own_answer =
      code == status::unavailable || code == status::bad_gateway || code == status::timed_out;
  if (!own_answer) {
    ++counters_.answers[code];
    record(base::event_kind::request_answered, request, std::to_string(code),
           reason + " after " + std::to_string(base::to_milliseconds(now - request.arrived)) +
               " ms");
  }
  ends_.erase({request.ends_at, request.client});
  active_.erase(request.client);
}

void dispatcher::give_up(active_request& request, base::time_point now) {
  if (request.may_have_run || request.call) {
    answer_failed(request, status::timed_out, "deadline passed", now);
  } else {
    answer_not_run(request, "deadline passed", now);
  }
}

void dispatcher::expire(base::time_point now) {
  while (!ends_.empty() && ends_.begin()->first <= now) {
    give_up(active_.at(ends_.begin()->second), now);
  }
}

void dispatcher::give_up_stalled(base::time_point now) {
  std::vector<base::caller_id> stalled;
  for (const auto& [client, request] : active_) {
    if (request.call && request.call->stalls_at && *request.call->stalls_at <= now) {
      stalled.push_back(client);
    }
  }
  for (const auto client : stalled) {
    auto& request = active_.at(client);
    request.call->stalls_at.reset();
    if (choose_replica(request, now) == nullptr || !may_send_again(request, now)) {
      continue;
    }
    commands_.emplace_back(cancel_call{request.call->id});
    const auto call = close_call(request);
    replicas_.note_failure(call.replica, now);
    request.may_have_run = true;
    request.events.restart();
    record(base::event_kind::stage_retried, request, call.replica.text(), "no progress");
    send_to_replica(request, now);
  }
}

void dispatcher::free_fetched_inputs(base::time_point now) {
  for (auto& [client, request] : active_) {
    if (request.call && request.call->inputs_fetched_at &&
        *request.call->inputs_fetched_at <= now) {
      request.call->inputs_fetched_at.reset();
      free(request.graph->take_unneeded(true));
    }
  }
}

void dispatcher::advance(base::time_point now) {
  expire(now);
  give_up_stalled(now);
  give_up_hopeless(now);
  free_fetched_inputs(now);
  stages_.pump(now);
  take_piece_results(now);
  stages_.pump(now);
}

void dispatcher::give_up_all(base::time_point now) {
  while (!active_.empty()) {
    give_up(active_.begin()->second, now);
  }
}

std::optional<base::time_point> dispatcher::next_wakeup(base::time_point now) const {
  auto earliest = stages_.next_wakeup(now);
  const auto consider = [&](base::time_point when) {
    earliest = earliest ? std::min(*earliest, when) : when;
  };
  if (!ends_.empty()) {
    consider(ends_.begin()->first);
  }
  for (const auto& [client, request] : active_) {
    if (request.call && request.call->stalls_at) {
      consider(*request.call->stalls_at);
    }
    if (request.call && request.call->inputs_fetched_at) {
      consider(*request.call->inputs_fetched_at);
    }
  }
  return earliest;
}

command_list dispatcher::take_commands() {
  auto wanted = std::exchange(commands_, {});
  auto pooled = stages_.take_commands();
  std::move(pooled.begin(), pooled.end(), std::back_inserter(wanted));
  return wanted;
}

} // namespace spurrack::serving
