#include "self_report_check.h"

#include <algorithm>
#include <string>
#include <thread>

namespace spurrack::platform_tests {
namespace {

using std::chrono::milliseconds;

/// A node that was told sends nothing later than this, and others hear of it in that time.
constexpr milliseconds drain_timeout{2'000};
constexpr milliseconds observation_time{1'500};
/// What was under way when a pause was asked for has arrived by then.
constexpr milliseconds in_flight_time{500};
/// Each node may have to be told once, and two more requests of it are allowed.
constexpr std::size_t max_requests_per_node = 3;
/// Requests that arrive while a replica is told of by nobody are waited for.
constexpr milliseconds first_request_timeout{5'000};
constexpr milliseconds poll_interval{10};

/// @return arrivals in a span of time.
std::size_t arrived_between(const std::vector<soak_clock::time_point>& arrivals,
                            soak_clock::time_point from, soak_clock::time_point until) {
  return static_cast<std::size_t>(std::count_if(arrivals.begin(), arrivals.end(),
                                                [&](auto at) { return from <= at && at < until; }));
}

/// Waits until the replica has answered some request from now on. @return whether it has.
bool wait_for_request(const soak_replica& replica) {
  const auto begun = soak_clock::now();
  while (replica.last_arrival_at() < begun && soak_clock::now() - begun < first_request_timeout) {
    std::this_thread::sleep_for(poll_interval);
  }
  return replica.last_arrival_at() >= begun;
}

} // namespace

void self_report_check::check_drain_announcement() {
  // What clients lose by the store and by the end of the replica is no fault of the nodes.
  fleet_->last_fault_at = soak_clock::now();
  fleet_->store.set_mode(store_mode::refusing);
  replica_->set_drain_announced(true);
  if (wait_for_request(*replica_)) {
    std::this_thread::sleep_for(drain_timeout);
    const auto deadline = soak_clock::now();
    replica_->take_arrivals();
    std::this_thread::sleep_for(observation_time);
    const auto arrivals = replica_->take_arrivals();
    recorder_->count("watched a replica that said it leaves");
    if (!arrivals.empty() && arrivals.back() > deadline) {
      recorder_->note_violation("DRAIN", replica_->id() + " got " +
                                             std::to_string(arrivals.size()) +
                                             " requests 2 s after its word that it leaves");
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
    const auto begun = replica_->last_arrival_at();
    std::this_thread::sleep_until(begun + backoff);
    const auto arrivals_during_backoff =
        arrived_between(replica_->take_arrivals(), begun + in_flight_time, begun + backoff);
    recorder_->count("watched a replica that asked for pauses");
    if (arrivals_during_backoff > max_requests_per_node * fleet_->nodes.size()) {
      recorder_->note_violation(
          "BUDGET", replica_->id() + " got " + std::to_string(arrivals_during_backoff) +
                        " requests in a pause of " + std::to_string(backoff.count()) + " ms");
    }
  }
  replica_->set_backoff(milliseconds(0));
  std::this_thread::sleep_for(backoff);
}

} // namespace spurrack::platform_tests
