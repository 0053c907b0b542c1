#include "dispatch/dispatcher.h"

#include "base/hashing.h"
#include "dispatch/dispatcher_constants.h"
#include "dispatch/return_time.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace spurrack::serving {
namespace {

/// Used where neither the client nor the route bounds a request.
constexpr base::duration longest_request = std::chrono::minutes(2);
/// A client that comes back after a refusal has less than this part of its route's time.
constexpr double first_attempt_time_part = 0.97;
/// Part of its time after which a request whose stages are not finished is judged again, and the
/// part between two judgements from then on: what it needs changes with every replica that is lost.
/// After the first, two in a row must agree: of seven looks at an estimate with an error one would
/// give up what can still be served.
constexpr double first_judgement_part = 0.42;
constexpr double judgement_step_part = 0.08;

/// A request that waits for a loan is looked at again after this time where no answer comes.
constexpr base::duration loan_check_period = std::chrono::milliseconds(25);

std::string seconds_text(base::duration span) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.3f", base::to_seconds(span));
  return text;
}

const char* reason_text(disconnect_reason why) {
  switch (why) {
  case disconnect_reason::unread:
    return "the client took nothing for too long";
  case disconnect_reason::no_memory:
    return "the client read slowest while memory was short";
  case disconnect_reason::closed:
    break;
  }
  return "the client left";
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

} // namespace

dispatcher::dispatcher(const fleet_peer& self, const serving_settings& settings,
                       base::random_source& random, base::incarnation life,
                       decision_recorder record)
    : self_(self), settings_(settings), record_(std::move(record)), random_(&random),
      from_here_(self.zone, settings.regions),
      self_reports_([this](const base::replica_id& id) { return find_published(id); }, random),
      limits_(
          self, self_reports_, [this](const base::replica_id& id) { return find_published(id); },
          life),
      replicas_(self.node, self.zone, settings, random),
      plain_replicas_(replicas_, from_here_, random), directory_(self, settings.regions, replicas_),
      engines_(replicas_, directory_, from_here_, plain_replicas_), retries_(settings.retry),
      lending_(retries_, self.zone, random, life),
      news_(replicas_, self.zone, settings.regions, random), crash_registry_(settings.quarantine),
      crash_report_exchange_(crash_registry_, self.node, random),
      stages_(
          self, replicas_, settings, [this] { return next_call_++; }, life, record_),
      stop_(settings.stop_admission) {
  replicas_.set_limits(limits_);
  replicas_.set_self_reports(self_reports_);
}

void dispatcher::set_peers(std::vector<fleet_peer> alive, std::size_t known) {
  retries_.set_fleet_size(known + 1);
  std::map<base::zone_id, std::vector<base::node_id>> nodes;
  nodes[self_.zone].push_back(self_.node);
  for (const auto& peer : alive) {
    nodes[peer.zone].push_back(peer.node);
  }
  replicas_.set_nodes(std::move(nodes));
  directory_.set_peers(alive);
  lending_.set_peers(alive);
  news_.set_peers(alive);
  crash_report_exchange_.set_peers(alive);
  self_reports_.set_peers(alive);
  limits_.set_peers(alive, known);
  stages_.set_peers(std::move(alive));
}

void dispatcher::handle_peer(const base::node_id& sender, const wire::stage_work& message,
                             base::time_point now) {
  stages_.handle(sender, message, now);
  take_piece_results(now);
}

void dispatcher::update(const catalog::catalog& content, base::time_point now) {
  lending_.begin(now);
  const bool is_configured_anew = configuration_ != content.serving();
  if (is_configured_anew) {
    configuration_ = content.serving();
    replicas_.set_configuration(configuration_);
    directory_.set_configuration(configuration_);
    stages_.set_configuration(configuration_);
  }
  update_replicas(content, is_configured_anew, now);
  replicas_.set_evacuated(content.evacuated_zones(), now);
  stages_.on_replicas_changed();
  give_up_earlier_lives(now);
  find_ended_replicas(now);
  report_unknown_services();
}

void dispatcher::update_replicas(const catalog::catalog& content, bool all, base::time_point now) {
  const auto changed = all ? std::nullopt : content.replicas_changed_since(seen_changes_);
  seen_changes_ = content.serving_changes();
  if (changed) {
    replicas_.update(content.replicas(), *changed, now);
  } else {
    replicas_.update(content.replicas(), now);
  }
  directory_.forget_removed_engines();
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
  if (!configuration_) {
    refuse(what.client, content.id, status::unavailable, "no configuration yet",
           settings_.retry_after);
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
  request.permitted_regions = route->permitted_regions;
  if (holder) {
    request.permitted_regions = request.permitted_regions.intersect(holder->permitted_regions);
  }
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
  if (refuse_in_quarantine(active, now)) {
    return;
  }
  if (turn_away(active) || refuse_too_large(active, now) || refuse_at_stop(active, now) ||
      refuse_without_outlook(active, now) || refuse_hopeless(active, now)) {
    return;
  }
  if (settings_.refuse_early && active.graph) {
    const auto allowed_by_client = client_leaves_at(active) - active.arrived;
    active.judge_at = active.arrived + base::scaled(allowed_by_client, first_judgement_part);
    schedule_check(active);
  }
  go_on(active, now);
}

std::optional<base::duration> dispatcher::expected_time(const active_request& request,
                                                        piece_order standing,
                                                        base::time_point now) const {
  return estimate_.time_left(*configuration_, *request.route, *request.graph, stages_,
                             {request.service, request.zone, request.permitted_regions},
                             request.content->own_tokens(), standing, now);
}

base::time_point dispatcher::client_leaves_at(const active_request& request) {
  const auto patience = request.route->client_patience;
  return patience ? std::min<base::time_point>(request.ends_at, request.arrived + *patience)
                  : request.ends_at;
}

bool dispatcher::refuse_too_large(active_request& request, base::time_point now) {
  const auto* service = configuration_->find_service(request.service);
  const auto memory = service != nullptr && service->engine ? service->engine->memory_tokens : 0;
  const auto& content = *request.content;
  const auto wanted = std::uint64_t{content.prompt_tokens} + content.output_tokens;
  if (memory == 0 || wanted <= memory) {
    return false;
  }
  const auto reason = "larger than the memory of an engine";
  refuse(request.client, content.id, status::unavailable, reason, {});
  finish(request, status::unavailable, reason, now);
  return true;
}

bool dispatcher::refuse_hopeless(active_request& request, base::time_point now) {
  if (!settings_.refuse_early || !request.graph || request.graph->is_done()) {
    return false;
  }
  stages_.refresh(now);
  const auto expected = expected_time(request, piece_order::in_time, now);
  const auto allowed = request.ends_at - request.arrived;
  // One that comes back has less time than its route gives; it is refused only without any hope.
  const bool comes_back =
      request.route->timeout && allowed < *request.route->timeout * first_attempt_time_part;
  const auto target = request.route->target_latency;
  const auto limit =
      comes_back || target <= base::duration::zero()
          ? allowed
          : std::min<base::duration>(allowed, base::scaled(target, admitted_target_part));
  if (expected && *expected <= limit) {
    return false;
  }
  const auto excess =
      expected ? *expected - base::scaled(limit, 0.8) : base::duration{settings_.retry_after};
  const auto wait = return_time(std::max<base::duration>(excess, settings_.retry_after),
                                request.ends_at - now, *random_);
  refuse(request.client, request.content->id, status::unavailable,
         "expected to take " +
             (expected ? std::to_string(base::to_milliseconds(*expected)) + " ms" : "for ever"),
         wait);
  finish(request, status::unavailable, "refused early", now);
  return true;
}

bool dispatcher::give_up_hopeless(active_request& request, base::time_point now) {
  if (!request.judge_at || now < *request.judge_at) {
    return false;
  }
  const auto allowed = client_leaves_at(request) - request.arrived;
  request.judge_at = now + base::scaled(allowed, judgement_step_part);
  if (request.graph->is_done() || request.may_have_run) {
    return false;
  }
  const auto target_at = request.arrived + request.route->target_latency;
  const auto in_time = expected_time(request, piece_order::in_time, now);
  const bool is_late = !in_time || now + *in_time > target_at;
  const auto expected = is_late ? expected_time(request, piece_order::past_due, now) : in_time;
  const bool is_hopeless = !expected || now + *expected > client_leaves_at(request) ||
                           !has_time_before_stop(request, now);
  const bool is_confirmed = request.looked_hopeless.value_or(true);
  request.looked_hopeless = is_hopeless;
  if (!is_hopeless || !is_confirmed) {
    return false;
  }
  answer_not_run(request, "its stages cannot end in time", now);
  return true;
}

void dispatcher::go_on(active_request& request, base::time_point now) {
  if (request.graph && !request.graph->is_done()) {
    submit_pieces(request, now);
  } else {
    send_to_replica(request, now);
  }
}

// --- ends ----------------------------------------------------------------------------------------

void dispatcher::on(const client_disconnected& what, base::time_point now) {
  const auto found = active_.find(what.client);
  if (found != active_.end()) {
    finish(found->second, status::client_gone, reason_text(what.reason), now);
  }
}

void dispatcher::answer_not_run(active_request& request, const std::string& reason,
                                base::time_point now) {
  if (request.may_have_run || request.stream_begun) {
    answer_failed(request, status::bad_gateway, reason, now);
    return;
  }
  refuse(request.client, request.content->id, status::unavailable, reason,
         return_time(least_return_time(request, now), request.ends_at - now, *random_));
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
    free(request.graph->take_unneeded_results(true));
  }
  const bool own_answer =
      code == status::unavailable || code == status::bad_gateway || code == status::timed_out;
  if (!own_answer) {
    ++counters_.answers[code];
    record(base::event_kind::request_answered, request, std::to_string(code),
           reason + " after " + std::to_string(base::to_milliseconds(now - request.arrived)) +
               " ms");
  }
  leave_place_queue(request);
  ends_.erase({request.ends_at, request.client});
  if (request.next_check) {
    checks_.erase({*request.next_check, request.client});
  }
  active_.erase(request.client);
}

void dispatcher::give_up(active_request& request, const std::string& reason, base::time_point now) {
  if (request.may_have_run || request.call) {
    answer_failed(request, status::timed_out, reason, now);
  } else {
    answer_not_run(request, reason, now);
  }
}

void dispatcher::expire(base::time_point now) {
  while (!ends_.empty() && ends_.begin()->first <= now) {
    give_up(active_.at(ends_.begin()->second), deadline_passed, now);
  }
}

std::optional<base::time_point> dispatcher::next_due(const active_request& request) {
  auto next = request.judge_at;
  const auto consider = [&](const std::optional<base::time_point>& when) {
    if (when) {
      next = next ? std::min(*next, *when) : *when;
    }
  };
  if (request.call) {
    consider(request.call->stalls_at);
    consider(request.call->inputs_fetched_at);
  }
  consider(request.slow_reader_due);
  return next;
}

void dispatcher::schedule_check(active_request& request) {
  const auto next = next_due(request);
  if (!next || (request.next_check && *request.next_check <= *next)) {
    return;
  }
  if (request.next_check) {
    checks_.erase({*request.next_check, request.client});
  }
  request.next_check = next;
  checks_.emplace(*next, request.client);
}

void dispatcher::check_requests(base::time_point now) {
  while (!checks_.empty() && checks_.begin()->first <= now) {
    const auto client = checks_.begin()->second;
    auto& request = active_.at(client);
    checks_.erase(checks_.begin());
    request.next_check.reset();
    if (!give_up_hopeless(request, now)) {
      free_fetched_inputs(request, now);
      if (request.call && request.call->stalls_at && *request.call->stalls_at <= now) {
        on_stalled(request, now);
      } else if (request.slow_reader_due && *request.slow_reader_due <= now) {
        decide_on_slow_reader(request, now);
      }
    }
    // Either may have ended it.
    if (const auto found = active_.find(client); found != active_.end()) {
      schedule_check(found->second);
    }
  }
}

void dispatcher::free_fetched_inputs(active_request& request, base::time_point now) {
  if (request.call && request.call->inputs_fetched_at && *request.call->inputs_fetched_at <= now) {
    request.call->inputs_fetched_at.reset();
    free(request.graph->take_unneeded_results(true));
  }
}

void dispatcher::advance(base::time_point now) {
  expire(now);
  advance_statements(now);
  go_on_with_loans(now);
  check_requests(now);
  stages_.dispatch_waiting(now);
  if (take_piece_results(now)) {
    // What was finished lets other stages begin.
    stages_.dispatch_waiting(now);
  }
  news_.advance(now);
  advance_crashes(now);
}

std::optional<base::time_point> dispatcher::next_wakeup(base::time_point now) const {
  auto earliest = stages_.next_wakeup(now);
  const auto consider = [&](base::time_point when) {
    earliest = earliest ? std::min(*earliest, when) : when;
  };
  if (!ends_.empty()) {
    consider(ends_.begin()->first);
  }
  if (!checks_.empty()) {
    consider(checks_.begin()->first);
  }
  if (const auto news = news_.next_wakeup()) {
    consider(*news);
  }
  if (const auto news = crash_report_exchange_.next_wakeup()) {
    consider(*news);
  }
  if (!awaiting_loans_.empty()) {
    consider(now + loan_check_period);
  }
  if (const auto limits = limits_.next_wakeup()) {
    consider(*limits);
  }
  if (const auto self_reports = self_reports_.next_wakeup()) {
    consider(*self_reports);
  }
  if (!awaiting_places_.empty()) {
    consider(next_place_check_);
  }
  return earliest;
}

wire::outbox dispatcher::take_messages() {
  auto messages = stages_.take_messages();
  auto engines = directory_.take_messages();
  auto lending = lending_.take_messages();
  auto news = news_.take_messages();
  auto crashes = crash_report_exchange_.take_messages();
  auto limits = limits_.take_messages();
  auto self_reports = self_reports_.take_messages();
  for (auto* more : {&engines, &lending, &news, &crashes, &limits, &self_reports}) {
    std::move(more->begin(), more->end(), std::back_inserter(messages));
  }
  return messages;
}

command_list dispatcher::take_commands() {
  auto wanted = std::exchange(commands_, {});
  auto pooled = stages_.take_commands();
  std::move(pooled.begin(), pooled.end(), std::back_inserter(wanted));
  return wanted;
}

} // namespace spurrack::serving
