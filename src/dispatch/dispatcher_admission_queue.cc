/// Requests that no replica accepts now because each replica announces a limit or requested a
/// backoff: they wait for a slot in the order of their priorities, and are refused at once if no
/// slot is expected in time.
#include "dispatch/dispatcher.h"

#include "base/hashing.h"
#include "dispatch/dispatcher_constants.h"
#include "dispatch/retry_after.h"

#include <algorithm>
#include <iterator>

namespace spurrack::serving {
namespace {

/// Interval at which the admission queues are processed, besides when permits arrive.
constexpr base::duration queue_check_interval = std::chrono::milliseconds(25);
/// A queued request is refused only if even this fraction of its expected wait is longer than the
/// client will still wait. The whole expected wait would be too strict: the actual wait may differ
/// from it by about its own length, and a refusal wastes the time that the request has already
/// waited.
constexpr double certain_wait_fraction = 0.5;
/// Maximum expected wait for a permit, and the expected wait if all limits are zero. It stands for
/// an endless wait: no request is meant to wait as long.
constexpr base::duration unbounded_wait = std::chrono::hours(1);

/// @return whether two requests may run at the same replicas.
/// @param left software version that one of them is bound to; @param right that of the other.
bool may_share_replicas(const std::optional<base::software_version>& left,
                        const std::optional<base::software_version>& right) {
  return !left || !right || *left == *right;
}

/// Counts queued requests by the software version that they are bound to.
class waiting_counts {
 public:
  void add(const std::optional<base::software_version>& bound_version) { ++counts_[bound_version]; }
  /// @return number of counted requests that may run at the same replicas as a request.
  /// @param bound_version version that the request is bound to.
  [[nodiscard]] std::size_t
  competing_with(const std::optional<base::software_version>& bound_version) const {
    std::size_t competing = 0;
    for (const auto& [version, count] : counts_) {
      competing += may_share_replicas(version, bound_version) ? count : 0;
    }
    return competing;
  }

 private:
  std::map<std::optional<base::software_version>, std::size_t> counts_;
};

} // namespace

void dispatcher::advance_self_reports(base::time_point now) {
  self_reports_.advance(now);
  limits_.advance(now);
  const auto received = limits_.counts().permits_received;
  if (received != counted_permits_) {
    counted_permits_ = received;
    next_queue_check_at_ = now;
  }
  process_admission_queues(now);
}

replica_requirements dispatcher::requirements_of(const active_request& request) {
  const auto* results_zone = request.graph ? &request.expected_zone : nullptr;
  return {.service = request.service,
          .content = *request.content,
          .permitted_regions = request.permitted_regions,
          .excluded_replicas = request.tried_replicas,
          .results_zone = results_zone,
          .version = request.bound_version ? &*request.bound_version : nullptr};
}

// --- permits -------------------------------------------------------------------------------------

void dispatcher::request_permit(const active_request& request, base::time_point now) {
  if (!limits_.has_limits()) {
    return;
  }
  auto limited = replicas_.candidates_without_permit(requirements_of(request), now);
  if (request.graph) {
    // A permit for a replica in another zone is of no use: the results of the request's stages
    // would have to be transferred to that zone.
    std::erase_if(limited, [&](const replica_state* state) {
      return state->record->zone != request.expected_zone;
    });
  }
  if (!limited.empty()) {
    limits_.note_unmet_demand(base::take_random(limited, *random_)->record->id, now);
  }
}

void dispatcher::request_permits_for_waiting(const std::string& service, base::time_point now) {
  // Permits are requested for the replicas that could serve the first request of each group. These
  // replicas could also serve the other requests of the group, unless those have other permitted
  // regions or have already tried some of the replicas.
  struct waiting_group {
    const active_request* first = nullptr;
    std::size_t requests = 0;
  };
  std::map<std::optional<base::software_version>, waiting_group> groups;
  for (const auto& entry : admission_queues_.at(service)) {
    const auto& request = active_.at(entry.client);
    auto& group = groups[request.bound_version];
    group.first = group.first == nullptr ? &request : group.first;
    ++group.requests;
  }
  for (const auto& [bound_version, group] : groups) {
    request_permits_for(*group.first, group.requests, now);
  }
}

void dispatcher::request_permits_for(const active_request& first, std::size_t waiting_requests,
                                     base::time_point now) {
  const auto limited = replicas_.candidates_without_permit(requirements_of(first), now);
  if (limited.empty()) {
    return;
  }
  // A permit for any of the replicas suffices for a request. The permits requested of all replicas
  // together are therefore as many as the queued requests, apart from rounding up for each replica.
  // The chosen replicas rotate with time: the nodes that issue the permits of some of them may be
  // down, and other replicas are then chosen next.
  const auto replica_count = std::min(limited.size(), waiting_requests);
  const auto permits_per_replica =
      static_cast<std::uint32_t>((waiting_requests + replica_count - 1) / replica_count);
  const auto rotation =
      static_cast<std::uint64_t>(now.time_since_epoch() / rate_limits::query_lifetime);
  const auto start = (base::stable_hash(self_.node.text()) + rotation) % limited.size();
  for (std::size_t index = 0; index < replica_count; ++index) {
    const auto* replica = limited[(start + index) % limited.size()];
    limits_.note_waiting(replica->record->id, permits_per_replica, now);
  }
}

// --- queue ---------------------------------------------------------------------------------------

std::optional<base::duration> dispatcher::expected_queue_wait(const active_request& request,
                                                              std::size_t requests_ahead,
                                                              base::time_point now) const {
  const auto demand = requirements_of(request);
  std::optional<base::duration> shortest_wait;
  if (const auto backoff_wait = replicas_.time_until_backoff_ends(demand, now)) {
    shortest_wait = expected_backoff_wait(request.service, *backoff_wait, requests_ahead, now);
  }
  const auto limited = replicas_.candidates_without_permit(demand, now);
  if (!limited.empty()) {
    const auto wait = expected_permit_wait(request.service, limited, requests_ahead, now);
    shortest_wait = std::min(shortest_wait.value_or(wait), wait);
  }
  return shortest_wait;
}

base::duration dispatcher::expected_permit_wait(const std::string& service,
                                                const std::vector<const replica_state*>& limited,
                                                std::size_t requests_ahead,
                                                base::time_point now) const {
  double per_second = 0;
  for (const auto* replica : limited) {
    per_second += replicas_.limit_of(*replica).value_or(0);
  }
  if (per_second <= 0) {
    return unbounded_wait;
  }
  // Other nodes get permits for these replicas too. If requests were queued at this node recently,
  // the rate at which they were sent is a better estimate than the sum of the limits.
  const auto rate = std::min(per_second, drain_rate_of(service, now).value_or(per_second));
  return base::from_seconds(
      std::min(static_cast<double>(requests_ahead + 1) / rate, base::to_seconds(unbounded_wait)));
}

std::optional<double> dispatcher::drain_rate_of(const std::string& service,
                                                base::time_point now) const {
  const auto drain = drain_rates_.find(service);
  return drain == drain_rates_.end() ? std::nullopt : drain->second.per_second(now);
}

base::duration dispatcher::expected_backoff_wait(const std::string& service,
                                                 base::duration backoff_wait,
                                                 std::size_t requests_ahead,
                                                 base::time_point now) const {
  // After a backoff, calls to the replica begin slowly. The rate at which queued requests are sent
  // is known only after some were sent; until then, the requests ahead are left out of the
  // estimate.
  const auto recent_rate = drain_rate_of(service, now);
  return recent_rate
             ? backoff_wait + base::from_seconds(static_cast<double>(requests_ahead) / *recent_rate)
             : backoff_wait;
}

void dispatcher::refuse_without_slot(active_request& request, base::duration wait,
                                     base::time_point now) {
  ++counters_.refused_without_slot;
  counters_.resumptions_without_slot += request.bound_version ? 1 : 0;
  leave_admission_queue(request);
  const auto reason = "replicas take no more now, a place is expected after " +
                      std::to_string(base::to_milliseconds(wait)) + " ms";
  if (request.may_have_run || request.has_begun_stream) {
    answer_failed(request, status::bad_gateway, reason, request.lost_call, now);
    return;
  }
  answer_with_error(request.client, request.content->id, status::unavailable, reason,
                    jittered_retry_after(wait, request.deadline - now, *random_));
  finish(request, status::unavailable, reason, now);
}

bool dispatcher::refuse_without_expected_slot(active_request& request, base::time_point now) {
  const bool is_unlimited = !limits_.has_limits() && !replicas_.has_backoffs(now);
  if (is_unlimited || !request.graph) {
    return false;
  }
  auto demand = requirements_of(request);
  demand.is_planned = true;
  if (choose_replica_for(demand, now) != nullptr) {
    return false;
  }
  // Requests whose stages are still being computed also count as ahead, because they will need the
  // same slots.
  const auto requests_ahead = std::count_if(active_.begin(), active_.end(), [&](const auto& entry) {
    const auto& other = entry.second;
    return other.client != request.client && other.service == request.service && !other.call;
  });
  const auto wait = expected_queue_wait(request, static_cast<std::size_t>(requests_ahead), now);
  const auto target = request.route->target_latency;
  const auto target_deadline = request.arrived_at + base::scaled(target, admission_target_factor);
  const auto client_deadline = client_deadline_of(request);
  const auto latest_useful_at = target > base::duration::zero()
                                    ? std::min<base::time_point>(target_deadline, client_deadline)
                                    : client_deadline;
  if (!wait || now + *wait <= latest_useful_at) {
    return false;
  }
  refuse_without_slot(request, *wait, now);
  return true;
}

bool dispatcher::is_behind_waiting_requests(const active_request& request, base::time_point now) {
  const auto queue = admission_queues_.find(request.service);
  if (is_processing_queue_ || queue == admission_queues_.end()) {
    return false;
  }
  const auto first =
      std::find_if(queue->second.begin(), queue->second.end(), [&](const auto& queued) {
        return may_share_replicas(active_.at(queued.client).bound_version, request.bound_version);
      });
  return first != queue->second.end() && *first < queue_entry_of(request) &&
         choose_replica(active_.at(first->client), now) != nullptr;
}

const replica_state* dispatcher::choose_in_turn(active_request& request, base::time_point now) {
  if (is_behind_waiting_requests(request, now)) {
    // Free slots go to the waiting requests first; this request joins the queue.
    enqueue(request);
    process_admission_queue(request.service, now);
    return nullptr;
  }
  const auto* chosen = choose_replica(request, now);
  if (chosen == nullptr && !refuse_if_version_left(request, now) &&
      !queue_or_refuse(request, now)) {
    answer_not_run(request, request.may_have_run ? "no replica is left" : "no replica", now);
  }
  return chosen;
}

waiting_request dispatcher::queue_entry_of(const active_request& request) {
  return {request.priority, !request.bound_version, request.deadline, request.client};
}

bool dispatcher::queue_or_refuse(active_request& request, base::time_point now) {
  const auto entry = queue_entry_of(request);
  const auto queue = admission_queues_.find(request.service);
  waiting_counts ahead;
  if (queue != admission_queues_.end()) {
    const auto own_position = queue->second.lower_bound(entry);
    for (auto queued = queue->second.begin(); queued != own_position; ++queued) {
      ahead.add(active_.at(queued->client).bound_version);
    }
  }
  const auto requests_ahead = ahead.competing_with(request.bound_version);
  const auto wait = expected_queue_wait(request, requests_ahead, now);
  if (!wait) {
    return false;
  }
  if (now + *wait > client_deadline_of(request)) {
    refuse_without_slot(request, *wait, now);
    return true;
  }
  ++counters_.slot_waits;
  record(base::event_kind::replica_limit, request, request.service,
         "waits for a slot behind " + std::to_string(requests_ahead) + " requests, " +
             std::to_string(base::to_milliseconds(*wait)) + " ms expected");
  enqueue(request);
  request_permits_for_waiting(request.service, now);
  return true;
}

base::duration dispatcher::shortest_retry_after(const active_request& request,
                                                base::time_point now) const {
  const std::set<base::replica_id> no_tried_replicas;
  const replica_requirements demand{.service = request.service,
                                    .content = *request.content,
                                    .permitted_regions = request.permitted_regions,
                                    .excluded_replicas = no_tried_replicas,
                                    .version =
                                        request.bound_version ? &*request.bound_version : nullptr};
  const auto backoff_wait = replicas_.time_until_backoff_ends(demand, now);
  const bool can_be_called_now = !backoff_wait || !replicas_.candidates_for(demand, now).empty();
  return can_be_called_now ? base::duration{settings_.retry_after}
                           : std::max<base::duration>(settings_.retry_after, *backoff_wait);
}

void dispatcher::enqueue(active_request& request) {
  const auto entry = queue_entry_of(request);
  request.queue_entry = entry;
  admission_queues_[request.service].insert(entry);
}

void dispatcher::leave_admission_queue(active_request& request) {
  if (!request.queue_entry) {
    return;
  }
  const auto queue = admission_queues_.find(request.service);
  queue->second.erase(*request.queue_entry);
  if (queue->second.empty()) {
    admission_queues_.erase(queue);
  }
  request.queue_entry.reset();
}

void dispatcher::process_admission_queues(base::time_point now) {
  if (admission_queues_.empty() || now < next_queue_check_at_) {
    return;
  }
  next_queue_check_at_ = now + queue_check_interval;
  std::vector<std::string> services;
  for (const auto& [service, queue] : admission_queues_) {
    services.push_back(service);
  }
  for (const auto& service : services) {
    process_admission_queue(service, now);
  }
}

void dispatcher::process_admission_queue(const std::string& service, base::time_point now) {
  const auto waiting = admission_queues_.at(service);
  is_processing_queue_ = true;
  waiting_counts still_waiting;
  for (const auto& entry : waiting) {
    auto& request = active_.at(entry.client);
    if (abort_if_late_for_stop(request, now)) {
      continue;
    }
    if (choose_replica(request, now) != nullptr) {
      leave_admission_queue(request);
      drain_rates_[service].note_dispatched(1, waiting.size() - 1, now);
      send_to_replica(request, now);
      continue;
    }
    const auto requests_ahead = still_waiting.competing_with(request.bound_version);
    const auto wait = expected_queue_wait(request, requests_ahead, now);
    if (!wait) {
      // No replica will accept the request later: it is answered like any request without a
      // replica.
      leave_admission_queue(request);
      send_to_replica(request, now);
    } else if (now + base::scaled(*wait, certain_wait_fraction) > client_deadline_of(request)) {
      refuse_without_slot(request, *wait, now);
    } else {
      still_waiting.add(request.bound_version);
    }
  }
  is_processing_queue_ = false;
  if (admission_queues_.contains(service)) {
    request_permits_for_waiting(service, now);
  }
}

} // namespace spurrack::serving
