#include "self_report_check.h"

#include <algorithm>
#include <string>
#include <thread>

namespace spurrack::platform_tests {
namespace {

using std::chrono::milliseconds;

/// Maximum time after a drain announcement for which nodes may still send requests to the replica:
/// the node that received the announcement must first inform the others.
constexpr milliseconds drain_timeout{2'000};
/// Time for which the check observes whether the replica receives requests. Begins `drain_timeout`
/// after the first announcement.
constexpr milliseconds observation_time{1'500};
/// Length of the first part of a backoff, measured from the arrival of the first request that the
/// replica rejects with the backoff. Requests in this part are not counted, because they may have
/// been sent before any node knew of the backoff.
constexpr milliseconds in_flight_time{500};
/// Maximum number of requests that each node may send during the backoff: one request whose
/// rejection informs the node of the backoff, and two more.
constexpr std::size_t max_requests_per_node = 3;
/// Maximum time to wait for the first request to the replica. The answer to this request contains
/// the self-report.
constexpr milliseconds first_request_timeout{5'000};
constexpr milliseconds poll_interval{10};

/// @return number of arrivals from `from` (included) to `until` (excluded).
std::size_t count_arrivals_between(const std::vector<soak_clock::time_point>& arrivals,
                                   soak_clock::time_point from, soak_clock::time_point until) {
  return static_cast<std::size_t>(std::count_if(arrivals.begin(), arrivals.end(),
                                                [&](auto at) { return from <= at && at < until; }));
}

/// Waits for a request to the replica.
/// @return whether a request arrived within `first_request_timeout`.
bool wait_for_request(const soak_replica& replica) {
  const auto started_at = soak_clock::now();
  while (replica.last_arrival_at() < started_at &&
         soak_clock::now() - started_at < first_request_timeout) {
    std::this_thread::sleep_for(poll_interval);
  }
  return replica.last_arrival_at() >= started_at;
}

} // namespace

void self_report_check::check_drain_announcement() {
  // The start and the end of this check are recorded as faults, because the store is down during
  // the check and the replica crashes at its end. An incomplete answer to a request that was sent
  // less than `settle_time` after a fault is no violation.
  fleet_->last_fault_at = soak_clock::now();
  fleet_->store.set_mode(store_mode::refusing);
  replica_->set_drain_announced(true);
  if (wait_for_request(*replica_)) {
    std::this_thread::sleep_for(drain_timeout);
    const auto observation_started_at = soak_clock::now();
    replica_->take_arrivals();
    std::this_thread::sleep_for(observation_time);
    const auto arrivals = replica_->take_arrivals();
    recorder_->count("observed a replica that announced a drain");
    if (!arrivals.empty() && arrivals.back() > observation_started_at) {
      recorder_->note_violation("DRAIN", replica_->id() + " got " +
                                             std::to_string(arrivals.size()) +
                                             " requests 2 s after its drain announcement");
    }
  }
  replica_->crash();
  fleet_->store.set_mode(store_mode::normal);
  replica_->set_drain_announced(false);
  replica_->restart();
  fleet_->publish(*replica_);
  fleet_->last_fault_at = soak_clock::now();
}

void self_report_check::check_requested_backoff() {
  const milliseconds backoff(1'000 + static_cast<int>(random_->below(2'000)));
  replica_->take_arrivals();
  replica_->set_backoff(backoff);
  if (wait_for_request(*replica_)) {
    const auto started_at = replica_->last_arrival_at();
    std::this_thread::sleep_until(started_at + backoff);
    const auto arrivals_during_backoff = count_arrivals_between(
        replica_->take_arrivals(), started_at + in_flight_time, started_at + backoff);
    recorder_->count("observed a replica that requested a backoff");
    if (arrivals_during_backoff > max_requests_per_node * fleet_->nodes.size()) {
      recorder_->note_violation("BUDGET", replica_->id() + " got " +
                                              std::to_string(arrivals_during_backoff) +
                                              " requests in a requested backoff of " +
                                              std::to_string(backoff.count()) + " ms");
    }
  }
  replica_->set_backoff(milliseconds(0));
  std::this_thread::sleep_for(backoff);
}

} // namespace spurrack::platform_tests
