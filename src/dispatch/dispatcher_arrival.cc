/// Requests on arrival: route and tenant, refusals, and checks whether a request can still be
/// served in time.
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

std::string seconds_text(base::duration span) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.3f", base::to_seconds(span));
  return text;
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
  if (!holder && !route->is_public && configuration_->has_tenants) {
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
  request.max_attempts =
      std::min(route->max_attempts, content.attempts_left.value_or(route->max_attempts));
  request.events = event_stream(arrival.content->resume_after);
  request.route = std::move(route);
  if (is_resumable_stream(request)) {
    request.stream_key = streams::key_of(request.tenant, first_attempt);
    if (!content.resume_after && content.time_allowed) {
      stream_ages_.note_begun(request.route->name, *content.time_allowed);
    }
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
  if (request.graph->is_done() || request.may_have_run || request.call) {
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

bool dispatcher::waits_for_other_reason(const active_request& request) {
  return request.pending_failure || request.unsettled_end || request.send_again_at ||
         request.is_suspended || request.queue_entry || request.trial_wait;
}

void dispatcher::continue_request(active_request& request, base::time_point now) {
  if (request.graph && !request.graph->is_done()) {
    if (!wait_for_trial_of_stages(request, now)) {
      submit_pieces(request, now);
    }
  } else if (request.call) {
    if (!request.is_window_closed) {
      // The next check of the stalled call moves it.
      request.call->stalls_at = now;
      schedule_check(request);
    }
  } else if (!waits_for_other_reason(request)) {
    send_to_replica(request, now);
  }
}

} // namespace spurrack::serving
