#include "dispatch/dispatcher.h"

#include "base/hashing.h"
#include "dispatch/dispatcher_constants.h"
#include "dispatch/retry_after.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace spurrack::serving {
namespace {

/// Timeout of a request if neither the client nor the route sets one.
constexpr base::duration default_request_timeout = std::chrono::minutes(2);
/// If a client allows a request less than this fraction of the route's timeout, this node assumes
/// that the request was refused before and sent again: the refusal has used up part of the client's
/// time. Such a request is refused early only if its first byte is not expected within the time
/// allowed; it is not refused for missing the target latency.
constexpr double first_attempt_time_fraction = 0.97;
/// A request is checked repeatedly for whether its unfinished stages can still end in time, because
/// the expected time changes with every replica that goes down. The constants are the time from the
/// arrival of the request to the first check, and the interval between two checks, as fractions of
/// the time allowed by the client. The first check can abort a request alone. A later check aborts
/// the request only if the check before it found the same: up to seven checks follow the first, and
/// one wrong estimate among them must not abort a request that can still be served.
constexpr double first_check_fraction = 0.42;
constexpr double check_interval_fraction = 0.08;

/// Interval at which this node checks whether requests that wait for a transfer of retry budget can
/// be retried or must fail. If an answer of another node arrives earlier, they are checked at once.
constexpr base::duration budget_check_interval = std::chrono::milliseconds(25);

std::string seconds_text(base::duration span) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.3f", base::to_seconds(span));
  return text;
}

const char* reason_text(disconnect_reason reason) {
  switch (reason) {
  case disconnect_reason::unread:
    return "the client took nothing for too long";
  case disconnect_reason::no_memory:
    return "the client read slowest while memory was short";
  case disconnect_reason::closed:
    break;
  }
  return "the client left";
}

/// @return text for the log on what a request resumes; empty if it resumes nothing.
std::string resumption_text(const request_content& content) {
  if (!content.resume_after) {
    return {};
  }
  return ", resumes after event " + std::to_string(*content.resume_after) + " what " +
         (content.first_attempt ? content.first_attempt->text() : "an unnamed attempt") + " began";
}

/// Picks one of the route's services by weight; every node picks the same service for a request.
const std::string& pick_service(const model::route& route, const base::request_id& id) {
  std::uint64_t total = 0;
  for (const auto& target : route.services) {
    total += target.weight;
  }
  auto point = base::stable_hash(id.text()) % total;
  for (const auto& target : route.services) {
    if (point < target.weight) {
      return target.service;
    }
    point -= target.weight;
  }
  return route.services.front().service;
}

} // namespace

dispatcher::dispatcher(const fleet_peer& self, const serving_settings& settings,
                       base::random_source& random, base::incarnation incarnation,
                       decision_recorder record)
    : self_(self), settings_(settings), record_(std::move(record)), random_(&random),
      distance_from_self_(self.zone, settings.regions),
      self_reports_([this](const base::replica_id& id) { return find_published(id); }, random),
      limits_(
          self, self_reports_, [this](const base::replica_id& id) { return find_published(id); },
          incarnation),
      replicas_(self.node, self.zone, settings, random),
      plain_chooser_(replicas_, distance_from_self_, random),
      engine_directory_(self, settings.regions, replicas_),
      engine_chooser_(replicas_, engine_directory_, distance_from_self_, plain_chooser_),
      retry_budget_(settings.retry),
      budget_exchange_(retry_budget_, self.zone, random, incarnation),
      replica_reports_(replicas_, self.zone, settings.regions, random),
      relays_(settings.client_address, random),
      origins_(self, [this](const auto& service,
                            auto now) { return version_knowledge_of(service, now); }),
      crash_registry_(settings.quarantine), crash_reports_(crash_registry_, self.node, random),
      stages_(
          self, replicas_, settings, [this] { return next_call_++; }, incarnation, record_),
      stop_plan_(settings.stop_admission) {
  replicas_.set_limits(limits_);
  replicas_.set_self_reports(self_reports_);
}

void dispatcher::set_peers(std::vector<fleet_peer> alive, std::size_t known_peers) {
  retry_budget_.set_fleet_size(known_peers + 1);
  std::map<base::zone_id, std::vector<base::node_id>> nodes;
  nodes[self_.zone].push_back(self_.node);
  for (const auto& peer : alive) {
    nodes[peer.zone].push_back(peer.node);
  }
  replicas_.set_nodes(std::move(nodes));
  engine_directory_.set_peers(alive);
  budget_exchange_.set_peers(alive);
  replica_reports_.set_peers(alive);
  relays_.set_peers(alive);
  origins_.set_peers(alive);
  crash_reports_.set_peers(alive);
  self_reports_.set_peers(alive);
  limits_.set_peers(alive, known_peers);
  stages_.set_peers(std::move(alive));
}

void dispatcher::handle_peer(const base::node_id& sender, const wire::stage_work& message,
                             base::time_point now) {
  stages_.handle(sender, message, now);
  process_piece_results(now);
}

void dispatcher::update(const catalog::catalog& content, base::time_point now) {
  budget_exchange_.start(now);
  const bool has_new_configuration = configuration_ != content.serving();
  if (has_new_configuration) {
    configuration_ = content.serving();
    replicas_.set_configuration(configuration_);
    engine_directory_.set_configuration(configuration_);
    stages_.set_configuration(configuration_);
  }
  update_replicas(content, has_new_configuration, now);
  replicas_.set_evacuated(content.evacuated_zones(), now);
  stages_.on_replicas_changed();
  handle_replica_restarts(now);
  find_exited_replicas(now);
  report_unknown_services();
  share_origins(now);
  end_streams_of_left_versions(now);
}

void dispatcher::update_replicas(const catalog::catalog& content, bool all, base::time_point now) {
  const auto changed = all ? std::nullopt : content.replicas_changed_since(applied_changes_);
  applied_changes_ = content.serving_changes();
  if (changed) {
    replicas_.update(content.replicas(), *changed, now);
  } else {
    replicas_.update(content.replicas(), now);
  }
  engine_directory_.forget_removed_engines();
}

void dispatcher::handle(const event& input_event, base::time_point now) {
  std::visit([&](const auto& typed_event) { on_event(typed_event, now); }, input_event);
}

void dispatcher::record(base::event_kind kind, const active_request& request,
                        const std::string& subject, const std::string& detail) {
  record_(kind, request.content->id, subject, detail);
}

active_request* dispatcher::find_by_call(base::call_id call) {
  const auto found = clients_by_call_.find(call);
  return found == clients_by_call_.end() ? nullptr : &active_.at(found->second);
}

// --- arrival -------------------------------------------------------------------------------------

void dispatcher::answer_with_error(base::caller_id client, const base::request_id& id,
                                   unsigned http_status, const std::string& reason,
                                   base::duration retry_after, const std::string& log_detail) {
  respond answer{client, id, http_status, {}, "{\"error\":\"" + reason + "\"}\n"};
  answer.headers.push_back({"Content-Type", "application/json"});
  if (retry_after > base::duration::zero()) {
    answer.headers.push_back({"Retry-After", seconds_text(retry_after)});
  }
  ++counters_.answers[http_status];
  record_(base::event_kind::request_answered, id, std::to_string(http_status), reason + log_detail);
  commands_.emplace_back(std::move(answer));
}

void dispatcher::refuse_by_configuration(const request_arrived& arrival, unsigned http_status,
                                         const std::string& reason) {
  const auto& known = configuration_knowledge_;
  const auto detail =
      ", configuration " + std::to_string(configuration_->version) + ", era " +
      std::to_string(known.era) + ", " +
      (known.age ? "confirmed " + std::to_string(base::to_milliseconds(*known.age)) + " ms ago"
                 : "never confirmed");
  if (known.is_overdue) {
    // A later configuration may allow the request, so the refusal must not be final.
    answer_with_error(arrival.client, arrival.content->id, status::unavailable,
                      "the configuration may be outdated", settings_.retry_after,
                      ": " + reason + detail);
    return;
  }
  answer_with_error(arrival.client, arrival.content->id, http_status, reason, {}, detail);
}

void dispatcher::on_event(const request_arrived& arrival, base::time_point now) {
  const auto& content = *arrival.content;
  if (!configuration_) {
    answer_with_error(arrival.client, content.id, status::unavailable, "no configuration yet",
                      settings_.retry_after);
    return;
  }
  auto route = configuration_->find_route(content.host, content.path);
  if (!route) {
    refuse_by_configuration(arrival, status::not_found, "no such route");
    return;
  }
  std::optional<model::access_key_holder> holder;
  if (const auto found = configuration_->keys.find(content.api_key);
      found != configuration_->keys.end()) {
    holder = found->second;
  }
  if (!holder && !route->is_public && !configuration_->keys.empty()) {
    refuse_by_configuration(arrival, status::unauthorized, "unknown key");
    return;
  }
  admit(arrival, std::move(route), holder, now);
}

void dispatcher::admit(const request_arrived& arrival, std::shared_ptr<const model::route> route,
                       const std::optional<model::access_key_holder>& holder,
                       base::time_point now) {
  active_request request;
  request.client = arrival.client;
  request.content = arrival.content;
  const auto& content = *arrival.content;
  const bool resumes = content.resume_after && content.first_attempt;
  const auto& first_attempt = resumes ? *content.first_attempt : content.id;
  request.service = pick_service(*route, first_attempt);
  request.tenant = holder ? holder->tenant.text() : "";
  request.priority = holder && holder->priority ? *holder->priority : route->priority;
  request.permitted_regions = route->permitted_regions;
  if (holder) {
    request.permitted_regions = request.permitted_regions.intersect(holder->permitted_regions);
  }
  request.configuration_version = configuration_->version;
  request.arrived_at = arrival.arrived_at;
  const auto allowed = std::min(arrival.content->time_allowed.value_or(default_request_timeout),
                                route->timeout.value_or(default_request_timeout));
  request.deadline = arrival.arrived_at + allowed;
  request.events = event_stream(arrival.content->resume_after);
  request.route = std::move(route);
  if (is_resumable_stream(request)) {
    request.stream_key = streams::key_of(request.tenant, first_attempt);
  }
  if (!request.route->stages.empty()) {
    request.graph = std::make_unique<stage_graph>(*request.route, arrival.content->pieces);
    request.expected_zone = preferred_zone(request, now);
  }
  // A request that is passed on is counted by the node that serves it.
  if (!is_partitioned()) {
    retry_budget_.count_request(request.service, now);
  }
  deadlines_.emplace(request.deadline, arrival.client);
  auto& active = active_[arrival.client] = std::move(request);
  record(base::event_kind::request_received, active, active.route->name,
         "configuration " + std::to_string(active.configuration_version) + ", " +
             std::to_string(base::to_milliseconds(allowed)) + " ms" +
             resumption_text(*active.content));
  if (active.deadline <= now) {
    answer_not_run(active, "deadline passed on arrival", now);
    return;
  }
  if (refuse_if_quarantined(active, now)) {
    return;
  }
  if (pass_on(active, now) || (needs_origin(active) && !settle_origin(active, now))) {
    return;
  }
  start_request(active, now);
}

void dispatcher::start_request(active_request& active, base::time_point now) {
  active.has_passed_admission = true;
  if (refuse_while_partitioned(active, now) || refuse_by_residency(active) ||
      refuse_too_large(active, now) || refuse_while_stopping(active, now) ||
      refuse_without_expected_slot(active, now) || refuse_infeasible(active, now)) {
    return;
  }
  if (settings_.refuse_early && active.graph) {
    const auto allowed_by_client = client_deadline_of(active) - active.arrived_at;
    active.next_feasibility_check_at =
        active.arrived_at + base::scaled(allowed_by_client, first_check_fraction);
    schedule_check(active);
  }
  continue_request(active, now);
}

std::optional<base::duration> dispatcher::expected_time_to_first_byte(const active_request& request,
                                                                      piece_order order,
                                                                      base::time_point now) const {
  return admission_estimate_.time_to_first_byte(
      *configuration_, *request.route, *request.graph, stages_,
      {request.service, request.expected_zone, request.permitted_regions},
      request.content->own_tokens(), order, now);
}

base::time_point dispatcher::client_deadline_of(const active_request& request) {
  const auto patience = request.route->client_patience;
  return patience ? std::min<base::time_point>(request.deadline, request.arrived_at + *patience)
                  : request.deadline;
}

bool dispatcher::refuse_too_large(active_request& request, base::time_point now) {
  const auto* service = configuration_->find_service(request.service);
  const auto memory_tokens =
      service != nullptr && service->engine ? service->engine->memory_tokens : 0;
  const auto& content = *request.content;
  const auto needed_tokens = std::uint64_t{content.prompt_tokens} + content.output_tokens;
  if (memory_tokens == 0 || needed_tokens <= memory_tokens) {
    return false;
  }
  const auto reason = "larger than the memory of an engine";
  answer_with_error(request.client, content.id, status::unavailable, reason, {});
  finish(request, status::unavailable, reason, now);
  return true;
}

bool dispatcher::refuse_infeasible(active_request& request, base::time_point now) {
  if (!settings_.refuse_early || !request.graph || request.graph->is_done()) {
    return false;
  }
  stages_.refresh(now);
  const auto expected = expected_time_to_first_byte(request, piece_order::in_time, now);
  const auto allowed = request.deadline - request.arrived_at;
  const bool is_returning_client =
      request.route->timeout && allowed < *request.route->timeout * first_attempt_time_fraction;
  const auto target = request.route->target_latency;
  const auto time_limit =
      is_returning_client || target <= base::duration::zero()
          ? allowed
          : std::min<base::duration>(allowed, base::scaled(target, admission_target_factor));
  if (expected && *expected <= time_limit) {
    return false;
  }
  const auto excess =
      expected ? *expected - base::scaled(time_limit, 0.8) : base::duration{settings_.retry_after};
  const auto retry_after = jittered_retry_after(
      std::max<base::duration>(excess, settings_.retry_after), request.deadline - now, *random_);
  answer_with_error(
      request.client, request.content->id, status::unavailable,
      "expected to take " +
          (expected ? std::to_string(base::to_milliseconds(*expected)) + " ms" : "for ever"),
      retry_after);
  finish(request, status::unavailable, "refused early", now);
  return true;
}

bool dispatcher::abort_if_infeasible(active_request& request, base::time_point now) {
  if (!request.next_feasibility_check_at || now < *request.next_feasibility_check_at) {
    return false;
  }
  const auto allowed = client_deadline_of(request) - request.arrived_at;
  request.next_feasibility_check_at = now + base::scaled(allowed, check_interval_fraction);
  if (request.graph->is_done() || request.may_have_run) {
    return false;
  }
  const auto target_at = request.arrived_at + request.route->target_latency;
  const auto expected_in_time = expected_time_to_first_byte(request, piece_order::in_time, now);
  const bool is_late = !expected_in_time || now + *expected_in_time > target_at;
  const auto expected =
      is_late ? expected_time_to_first_byte(request, piece_order::past_due, now) : expected_in_time;
  const bool is_infeasible = !expected || now + *expected > client_deadline_of(request) ||
                             !has_time_before_stop(request, now);
  const bool is_confirmed = request.was_infeasible_at_last_check.value_or(true);
  request.was_infeasible_at_last_check = is_infeasible;
  if (!is_infeasible || !is_confirmed) {
    return false;
  }
  answer_not_run(request, "its stages cannot end in time", now);
  return true;
}

void dispatcher::continue_request(active_request& request, base::time_point now) {
  if (request.graph && !request.graph->is_done()) {
    submit_pieces(request, now);
  } else {
    send_to_replica(request, now);
  }
}

// --- answers and removal -------------------------------------------------------------------------

void dispatcher::on_event(const client_disconnected& disconnection, base::time_point now) {
  const auto found = active_.find(disconnection.client);
  if (found != active_.end()) {
    finish(found->second, status::client_gone, reason_text(disconnection.reason), now);
  }
}

void dispatcher::answer_not_run(active_request& request, const std::string& reason,
                                base::time_point now) {
  if (request.may_have_run || request.has_begun_stream) {
    answer_failed(request, status::bad_gateway, reason, now);
    return;
  }
  answer_with_error(
      request.client, request.content->id, status::unavailable, reason,
      jittered_retry_after(shortest_retry_after(request, now), request.deadline - now, *random_));
  finish(request, status::unavailable, reason, now);
}

void dispatcher::answer_failed(active_request& request, unsigned http_status,
                               const std::string& reason, base::time_point now) {
  if (request.has_begun_stream) {
    commands_.emplace_back(end_stream{request.client, false});
    record(base::event_kind::request_answered, request, "broken off", reason);
  } else {
    answer_with_error(request.client, request.content->id, http_status, reason, {});
  }
  finish(request, http_status, reason, now);
}

void dispatcher::finish(active_request& request, unsigned http_status, const std::string& reason,
                        base::time_point now) {
  if (request.call) {
    commands_.emplace_back(cancel_call{request.call->id});
    close_call(request);
  }
  for (const auto& [ticket, position] : request.pieces) {
    stages_.cancel(ticket);
    clients_by_ticket_.erase(ticket);
  }
  if (request.graph) {
    release_results(request.graph->take_unneeded_results(true));
  }
  const bool is_own_answer = http_status == status::unavailable ||
                             http_status == status::bad_gateway || http_status == status::timed_out;
  if (!is_own_answer) {
    ++counters_.answers[http_status];
    record(base::event_kind::request_answered, request, std::to_string(http_status),
           reason + " after " + std::to_string(base::to_milliseconds(now - request.arrived_at)) +
               " ms");
  }
  leave_admission_queue(request);
  deadlines_.erase({request.deadline, request.client});
  if (request.next_check_at) {
    due_checks_.erase({*request.next_check_at, request.client});
  }
  active_.erase(request.client);
}

void dispatcher::abort_request(active_request& request, const std::string& reason,
                               base::time_point now) {
  if (request.may_have_run || request.call) {
    answer_failed(request, status::timed_out, reason, now);
  } else {
    answer_not_run(request, reason, now);
  }
}

void dispatcher::abort_expired_requests(base::time_point now) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    abort_request(active_.at(deadlines_.begin()->second), deadline_passed, now);
  }
}

std::optional<base::time_point> dispatcher::next_due_check(const active_request& request) {
  auto next = request.next_feasibility_check_at;
  const auto consider = [&](const std::optional<base::time_point>& due_at) {
    if (due_at) {
      next = next ? std::min(*next, *due_at) : *due_at;
    }
  };
  if (request.call) {
    consider(request.call->stalls_at);
    consider(request.call->inputs_fetched_at);
  }
  consider(request.slow_client_check_at);
  return next;
}

void dispatcher::schedule_check(active_request& request) {
  const auto next = next_due_check(request);
  if (!next || (request.next_check_at && *request.next_check_at <= *next)) {
    return;
  }
  if (request.next_check_at) {
    due_checks_.erase({*request.next_check_at, request.client});
  }
  request.next_check_at = next;
  due_checks_.emplace(*next, request.client);
}

void dispatcher::check_requests(base::time_point now) {
  while (!due_checks_.empty() && due_checks_.begin()->first <= now) {
    const auto client = due_checks_.begin()->second;
    auto& request = active_.at(client);
    due_checks_.erase(due_checks_.begin());
    request.next_check_at.reset();
    if (!abort_if_infeasible(request, now)) {
      free_fetched_inputs(request, now);
      if (request.call && request.call->stalls_at && *request.call->stalls_at <= now) {
        on_stalled(request, now);
      } else if (request.slow_client_check_at && *request.slow_client_check_at <= now) {
        handle_slow_client(request, now);
      }
    }
    // Both on_stalled and handle_slow_client may have removed the request.
    if (const auto found = active_.find(client); found != active_.end()) {
      schedule_check(found->second);
    }
  }
}

void dispatcher::free_fetched_inputs(active_request& request, base::time_point now) {
  if (request.call && request.call->inputs_fetched_at && *request.call->inputs_fetched_at <= now) {
    request.call->inputs_fetched_at.reset();
    release_results(request.graph->take_unneeded_results(true));
  }
}

void dispatcher::advance(base::time_point now) {
  abort_expired_requests(now);
  advance_self_reports(now);
  check_requests_awaiting_budget(now);
  origins_.advance(now);
  process_origin_findings(now);
  if (next_share_check_at_ <= now) {
    share_origins(now);
  }
  check_requests(now);
  stages_.dispatch_waiting(now);
  if (process_piece_results(now)) {
    // Finished pieces may allow other stages to begin.
    stages_.dispatch_waiting(now);
  }
  check_paths(now);
  replica_reports_.advance(now);
  advance_crashes(now);
}

std::optional<base::time_point> dispatcher::next_wakeup(base::time_point now) const {
  auto earliest = stages_.next_wakeup(now);
  const auto consider = [&](base::time_point due_at) {
    earliest = earliest ? std::min(*earliest, due_at) : due_at;
  };
  if (!deadlines_.empty()) {
    consider(deadlines_.begin()->first);
  }
  if (!due_checks_.empty()) {
    consider(due_checks_.begin()->first);
  }
  if (const auto next_report_at = replica_reports_.next_wakeup()) {
    consider(*next_report_at);
  }
  if (const auto next_report_at = crash_reports_.next_wakeup()) {
    consider(*next_report_at);
  }
  if (const auto next_round_at = paths_.next_wakeup()) {
    consider(*next_round_at);
  }
  if (crash_detector_.has_refused_replicas(now)) {
    consider(next_path_check_at_);
  }
  if (!clients_awaiting_budget_.empty()) {
    consider(now + budget_check_interval);
  }
  if (const auto next_origin_at = origins_.next_wakeup()) {
    consider(*next_origin_at);
  }
  if (const auto next_limit_at = limits_.next_wakeup()) {
    consider(*next_limit_at);
  }
  if (const auto next_self_report_at = self_reports_.next_wakeup()) {
    consider(*next_self_report_at);
  }
  if (!admission_queues_.empty()) {
    consider(next_queue_check_at_);
  }
  return earliest;
}

wire::outbox dispatcher::take_messages() {
  auto messages = stages_.take_messages();
  auto engine_messages = engine_directory_.take_messages();
  auto budget_messages = budget_exchange_.take_messages();
  auto report_messages = replica_reports_.take_messages();
  auto crash_messages = crash_reports_.take_messages();
  auto relay_messages = relays_.take_messages();
  auto origin_messages = origins_.take_messages();
  auto limit_messages = limits_.take_messages();
  auto self_report_messages = self_reports_.take_messages();
  for (auto* list : {&engine_messages, &budget_messages, &report_messages, &crash_messages,
                     &limit_messages, &self_report_messages, &relay_messages, &origin_messages}) {
    std::move(list->begin(), list->end(), std::back_inserter(messages));
  }
  return messages;
}

command_list dispatcher::take_commands() {
  auto commands = std::exchange(commands_, {});
  auto stage_commands = stages_.take_commands();
  std::move(stage_commands.begin(), stage_commands.end(), std::back_inserter(commands));
  return commands;
}

} // namespace spurrack::serving
