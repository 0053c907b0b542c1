/// Origins of resumed streams: a stream goes on only at the service and the software version that
/// began it, within one answer and over all attempts of its client.
#include "dispatch/dispatcher.h"

#include "dispatch/dispatcher_constants.h"
#include "dispatch/retry_after.h"

#include <algorithm>
#include <utility>

namespace spurrack::serving {
namespace {

/// Time for which a request waits until the list of replicas is verified: enough for several
/// attempts at different nodes, and half of the shortest time for which a client waits for an
/// event.
constexpr base::duration list_verification_timeout = std::chrono::seconds(1);
/// Time after which the list is no longer verified for a request that was refused.
constexpr base::duration list_wish_lifetime = std::chrono::seconds(5);
/// Interval at which this node checks whether the witnesses of its open streams must be told.
constexpr base::duration share_check_interval = std::chrono::milliseconds(250);

bool has_service(const model::route& route, const std::string& service) {
  return std::any_of(route.services.begin(), route.services.end(),
                     [&](const auto& target) { return target.service == service; });
}

/// @return text for the log: who knew the origin of a stream, or how many nodes did not.
std::string evidence_text(const streams::origin_finding& finding) {
  if (finding.is_contradictory) {
    return "contradictory origins, told by " + finding.source;
  }
  if (finding.origin) {
    return "begun by " + finding.origin->service + " " + finding.origin->version.text() +
           ", told by " + finding.source + " " +
           std::to_string(base::to_milliseconds(finding.age)) + " ms after it was recorded";
  }
  auto text = "origin not known, " + std::to_string(finding.answered) + " of " +
              std::to_string(finding.queried) + " nodes answered" +
              (finding.peers_know_several_versions ? ", one knows several versions" : "");
  for (const auto& address : finding.unanswered) {
    text += ", no answer from " + address.text();
  }
  return text;
}

} // namespace

bool dispatcher::is_resumable_stream(const active_request& request) {
  return request.route->kind == model::route_kind::streaming && request.route->resumable;
}

bool dispatcher::needs_origin(const active_request& request) {
  return request.stream_key && request.events.last_id() && !request.bound_version &&
         !request.has_settled_origin;
}

// --- look-up -------------------------------------------------------------------------------------

bool dispatcher::settle_origin(active_request& request, base::time_point now) {
  const auto waiting = awaiting_origin_.find(*request.stream_key);
  const bool awaits_origin =
      waiting != awaiting_origin_.end() && std::find(waiting->second.begin(), waiting->second.end(),
                                                     request.client) != waiting->second.end();
  if (awaits_origin || awaiting_list_.contains(request.client)) {
    return false;
  }
  request.origin_asked_at = now;
  return look_up_origin(request, now);
}

bool dispatcher::look_up_origin(active_request& request, base::time_point now) {
  const auto& stream = *request.stream_key;
  const auto finding =
      origins_.look_up(stream, request.service, earliest_begin_of(request, now), now);
  if (!finding) {
    awaiting_origin_[stream].push_back(request.client);
    return false;
  }
  return apply_origin(request, *finding, now);
}

void dispatcher::process_origin_findings(base::time_point now) {
  for (const auto& [stream, finding] : origins_.take_findings()) {
    if (apply_version_answers(stream, finding, now)) {
      continue;
    }
    const auto waiting = awaiting_origin_.find(stream);
    if (waiting == awaiting_origin_.end()) {
      continue;
    }
    const auto clients = std::move(waiting->second);
    awaiting_origin_.erase(waiting);
    for (const auto client : clients) {
      const auto found = active_.find(client);
      if (found != active_.end() && apply_origin(found->second, finding, now)) {
        continue_with_origin(found->second, now);
      }
    }
  }
}

void dispatcher::continue_with_origin(active_request& request, base::time_point now) {
  if (request.has_passed_admission) {
    send_to_replica(request, now);
  } else {
    start_request(request, now);
  }
}

streams::version_case dispatcher::version_case_of(const active_request& request,
                                                  const streams::origin_finding& finding,
                                                  base::time_point now) const {
  const bool has_gap = !list_coverage_.is_current(now);
  return {.is_route_split = request.route->services.size() > 1,
          .published = replicas_.versions().published(request.service),
          .own = version_evidence_of(request.service, now),
          .finding = finding,
          .earliest_begin = earliest_begin_of(request, now),
          .lost_by = request.origin_asked_at,
          .unbroken_since = has_gap ? std::optional(now) : list_coverage_.unbroken_since(),
          .verified_at = list_coverage_.verified_at(),
          .max_gap = list_coverage::max_gap};
}

bool dispatcher::wait_for_verified_list(const active_request& request,
                                        const streams::origin_finding& finding,
                                        base::time_point now) {
  // Verification goes on for later requests even if this one is refused.
  list_wanted_at_ = std::max(list_wanted_at_, std::optional(request.origin_asked_at));
  const base::time_point ends_at = request.origin_asked_at + list_verification_timeout;
  if (now >= ends_at) {
    failed_list_wait_ = std::max(failed_list_wait_, std::optional(request.origin_asked_at));
  }
  if (now >= ends_at || list_coverage_.verified_at() < failed_list_wait_) {
    return false;
  }
  awaiting_list_[request.client] = {finding, ends_at};
  return true;
}

void dispatcher::process_list_waits(base::time_point now) {
  if (awaiting_list_.empty() && list_wanted_at_ && now - *list_wanted_at_ > list_wish_lifetime) {
    list_wanted_at_.reset();
  }
  const auto is_over = [&](const auto& entry) {
    const auto found = active_.find(entry.first);
    return found == active_.end() || entry.second.ends_at <= now ||
           list_coverage_.verified_at() >= found->second.origin_asked_at;
  };
  std::vector<std::pair<base::caller_id, streams::origin_finding>> ended;
  for (const auto& entry : awaiting_list_) {
    if (is_over(entry)) {
      ended.emplace_back(entry.first, entry.second.finding);
    }
  }
  for (const auto& [client, finding] : ended) {
    awaiting_list_.erase(client);
    const auto found = active_.find(client);
    if (found != active_.end() && settle_by_verified_list(found->second, finding, now)) {
      continue_with_origin(found->second, now);
    }
  }
}

bool dispatcher::settle_by_verified_list(active_request& request,
                                         const streams::origin_finding& finding,
                                         base::time_point now) {
  const auto own = version_evidence_of(request.service, now);
  if (own.knowledge == streams::version_knowledge::several) {
    // The nodes that knew of one version alone, and of no record, may know better now.
    return look_up_origin(request, now);
  }
  return apply_origin(request, finding, now);
}

base::time_point dispatcher::earliest_begin_of(const active_request& request,
                                               base::time_point now) const {
  const auto& allowed = request.content->time_allowed;
  const auto remaining =
      allowed ? std::optional<base::duration>(request.arrived_at + *allowed - now) : std::nullopt;
  return stream_ages_.earliest_begin(*request.route, remaining, now);
}

std::string dispatcher::version_evidence_text(const active_request& request,
                                              const streams::version_case& known,
                                              base::time_point now) const {
  const auto age_of = [now](base::time_point at) {
    return std::to_string(base::to_milliseconds(now - at)) + " ms";
  };
  std::string text = ", begun at most " + age_of(known.earliest_begin) + " ago, asked " +
                     age_of(request.origin_asked_at) + " ago, list ";
  const auto confirmed_at = list_coverage_.confirmed_at();
  text += confirmed_at ? "known without a gap for " + age_of(*known.unbroken_since) +
                             ", last confirmed " + age_of(*confirmed_at) + " ago"
                       : "never confirmed";
  text +=
      known.verified_at ? ", verified " + age_of(*known.verified_at) + " ago" : ", never verified";
  if (latest_stand_ended_at_ >= known.earliest_begin) {
    text += ", this process stood for " + std::to_string(base::to_milliseconds(latest_stand_)) +
            " ms until " + age_of(latest_stand_ended_at_) + " ago";
  }
  if (known.own.knowledge == streams::version_knowledge::several) {
    text += ", several versions known here";
  }
  if (const auto& sole = known.finding.sole) {
    text += ", other nodes know " + sole->version.text() + " alone for " + age_of(sole->since) +
            " until " + age_of(sole->through) + " ago";
  }
  return text;
}

bool dispatcher::apply_origin(active_request& request, const streams::origin_finding& finding,
                              base::time_point now) {
  const auto& origin = finding.origin;
  if (!origin) {
    return apply_only_version(request, finding, now);
  }
  request.has_settled_origin = true;
  // Where the stream goes on now replaces its recorded origin.
  request.calls = std::max(request.calls, finding.call);
  if (!has_service(*request.route, origin->service)) {
    // The route was moved to another service, of which the client has no event.
    record(base::event_kind::stream_resumed, request, request.service,
           evidence_text(finding) + ", the route now leads to " + request.service);
    return true;
  }
  request.service = origin->service;
  request.bound_version = origin->version;
  record(base::event_kind::stream_resumed, request, request.service,
         evidence_text(finding) + ", " + version_text(request, now));
  if (refuse_if_version_left(request, now)) {
    return false;
  }
  ++counters_.resumptions_bound;
  return true;
}

bool dispatcher::apply_only_version(active_request& request, const streams::origin_finding& finding,
                                    base::time_point now) {
  using streams::version_verdict;
  const auto known = version_case_of(request, finding, now);
  const auto verdict = streams::judge(known);
  if (verdict == version_verdict::needs_verified_list &&
      wait_for_verified_list(request, finding, now)) {
    return false;
  }
  request.has_settled_origin = true;
  request.calls = std::max(request.calls, finding.call);
  if (known.published.empty()) {
    refuse_resumption(request, "no replica", settings_.retry_after, now);
    return false;
  }
  const auto evidence = evidence_text(finding) + version_evidence_text(request, known, now) + ", " +
                        streams::text_of(verdict);
  if (!streams::is_proven(verdict)) {
    record(base::event_kind::stream_resumed, request, request.service, evidence + ", refused");
    refuse_unknown_origin(request, verdict, now);
    return false;
  }
  request.bound_version = known.published.front();
  record(base::event_kind::stream_resumed, request, request.service,
         evidence + ", " + version_text(request, now));
  if (refuse_if_version_left(request, now)) {
    return false;
  }
  ++counters_.resumptions_at_only_version;
  ++(verdict == version_verdict::proven_by_own_list ? counters_.resumptions_proven_by_own_list
                                                    : counters_.resumptions_proven_by_other_nodes);
  return true;
}

std::string dispatcher_state::version_text(const active_request& request,
                                           base::time_point now) const {
  const auto available = replicas_.version_availability_of(request.service, *request.bound_version,
                                                           request.permitted_regions, now);
  return "goes on at " + request.bound_version->text() + ": " + std::to_string(available.serving) +
         " replicas serve, " + std::to_string(available.full) + " are full, " +
         std::to_string(available.leaving) + " are leaving";
}

// --- refusal -------------------------------------------------------------------------------------

void dispatcher::refuse_unknown_origin(active_request& request, streams::version_verdict verdict,
                                       base::time_point now) {
  const bool may_be_verified_later = verdict == streams::version_verdict::needs_verified_list;
  if (may_be_verified_later) {
    ++counters_.resumptions_without_verified_list;
  } else if (verdict == streams::version_verdict::several_versions ||
             verdict == streams::version_verdict::several_services) {
    ++counters_.resumptions_of_unknown_origin;
  } else {
    ++counters_.resumptions_without_evidence;
  }
  refuse_resumption(request, "it is not known which software version began the stream",
                    may_be_verified_later ? settings_.retry_after : base::duration{}, now);
}

bool dispatcher_state::has_version_left(const active_request& request) const {
  return request.bound_version &&
         replicas_.presence_of(request.service, request.permitted_regions,
                               &*request.bound_version) != replica_presence::accepts_work;
}

bool dispatcher::refuse_if_version_left(active_request& request, base::time_point now) {
  if (!has_version_left(request)) {
    return false;
  }
  ++counters_.resumptions_of_left_version;
  // A version that was never listed here is new, and its replicas will be listed soon.
  const bool is_new = !replicas_.versions().has_seen(request.service, *request.bound_version, now);
  refuse_resumption(request, "no replica of the software version that began the stream serves",
                    is_new ? settings_.retry_after : base::duration{}, now);
  return true;
}

void dispatcher::refuse_resumption(active_request& request, const std::string& reason,
                                   base::duration retry_after, base::time_point now) {
  if (request.may_have_run || request.has_begun_stream) {
    const bool was_moved = request.lost_call == end_evidence::silence;
    answer_failed(request, status::bad_gateway, reason,
                  was_moved ? end_evidence::silence : end_evidence::version_left, now);
    return;
  }
  answer_with_error(request.client, request.content->id, status::unavailable, reason,
                    jittered_retry_after(retry_after, request.deadline - now, *random_));
  finish(request, status::unavailable, reason, now);
}

void dispatcher::end_streams_of_left_versions(base::time_point now) {
  std::vector<base::caller_id> ended;
  for (const auto& [client, request] : active_) {
    if (request.is_suspended && has_version_left(request)) {
      ended.push_back(client);
    }
  }
  for (const auto client : ended) {
    ++counters_.resumptions_of_left_version;
    answer_failed(active_.at(client), status::bad_gateway,
                  "no replica of the software version that began the stream serves",
                  end_evidence::version_left, now);
  }
}

bool dispatcher::end_call_at_other_software(active_request& request, base::time_point now) {
  const auto* replica = replicas_.find(request.call->replica);
  if (!request.stream_key || replica == nullptr ||
      replica->record->version == request.call->version) {
    return false;
  }
  const bool has_events = request.latest_event_at > request.call->started_at;
  commands_.emplace_back(cancel_call{request.call->id});
  const auto call = close_call(request, call_end::restarted_replica, now);
  request.may_have_run = true;
  request.lost_call = end_evidence::replica_restarted;
  record(base::event_kind::stage_retried, request, call.replica.text(),
         "its replica restarted with software " + replica->record->version.text());
  if (has_events) {
    // The events may be of either version, so the origin is not known from now on.
    origins_.note_bound(*request.stream_key, {request.service, replica->record->version},
                        request.calls, request.deadline - now, is_origin_shared(request), now);
    // The client may resume at once, and must not find the earlier record.
    origins_.note_first_event(now);
    answer_failed(request, status::bad_gateway, "its replica restarted with other software",
                  end_evidence::replica_restarted, now);
  } else {
    retry_or_fail(request, now);
  }
  return true;
}

// --- records -------------------------------------------------------------------------------------

void dispatcher::note_stream_sent(active_request& request, base::time_point now) {
  if (!request.stream_key) {
    return;
  }
  ++request.calls;
  if (request.bound_version) {
    note_bound_origin(request, now);
  }
}

void dispatcher::note_bound_origin(const active_request& request, base::time_point now) {
  const auto allowed =
      request.content->time_allowed.value_or(request.deadline - request.arrived_at);
  origins_.note_bound(*request.stream_key, {request.service, *request.bound_version}, request.calls,
                      request.arrived_at + allowed - now, is_origin_shared(request), now);
}

bool dispatcher::is_origin_shared(const active_request& request) const {
  return shared_services_.contains(request.service) || request.route->services.size() > 1;
}

void dispatcher::bind_stream(active_request& request, base::time_point now) {
  if (!request.stream_key || request.bound_version || request.call->relay_node) {
    return;
  }
  request.bound_version = request.call->version;
  note_bound_origin(request, now);
  origins_.note_first_event(now);
}

void dispatcher::share_origins(base::time_point now) {
  next_share_check_at_ = now + share_check_interval;
  if (!configuration_) {
    return;
  }
  for (const auto& [name, service] : configuration_->services) {
    if (version_evidence_of(name, now).knowledge == streams::version_knowledge::one) {
      shared_services_.erase(name);
    } else if (shared_services_.insert(name).second) {
      origins_.share_open_streams(name, now);
    }
  }
}

void dispatcher::handle_peer(const base::node_id& sender, const base::network_address& address,
                             const wire::stream_origins& message, base::time_point now) {
  origins_.handle(sender, address, message, now);
  process_origin_findings(now);
}

} // namespace spurrack::serving
