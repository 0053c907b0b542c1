#include "crashing_request_check.h"

#include "soak_request.h"

#include "fleet/http_client.h"

#include <algorithm>
#include <thread>

namespace spurrack::platform_tests {
namespace {

using std::chrono::milliseconds;

/// Number of times that the check sends the crashing request.
constexpr std::size_t max_sends = 16;
/// Interval between two sends of the crashing request. Longer than the downtime of a crashed
/// replica, so that the replica has been restarted and nodes can detect its crash before the next
/// send. Nodes detect a crash only after the restart, because the fault proxy accepts connections
/// for a replica that is down.
constexpr milliseconds send_interval{700};
constexpr milliseconds downtime{400};
/// Maximum number of replicas that the crashing request may crash.
constexpr std::size_t max_crashes = 5;
/// Maximum number of further replicas that the crashing request may crash once all nodes know of
/// the first three crashes (`known_crashes`).
constexpr std::size_t max_late_crashes = 3;
constexpr std::size_t known_crashes = 3;
constexpr unsigned not_executed_status = 503;

} // namespace

crashing_request_check::crashing_request_check(soak_fleet& fleet, soak_recorder& recorder,
                                               base::random_source& random)
    : fleet_(&fleet), recorder_(&recorder), random_(&random) {}

void crashing_request_check::check() {
  for (send_number_ = 1; send_number_ <= max_sends; ++send_number_) {
    fleet_->last_fault_at = soak_clock::now();
    send();
    const auto next_send_at = soak_clock::now() + send_interval;
    while (soak_clock::now() < next_send_at) {
      restart_crashed_replicas();
      std::this_thread::sleep_for(milliseconds(20));
    }
  }
  fleet_->last_fault_at = soak_clock::now();
  check_limits();
  std::this_thread::sleep_for(settle_time);
}

void crashing_request_check::send() {
  const auto& node = *fleet_->nodes[random_->below(fleet_->nodes.size())];
  const auto answer = fleet::call({node.client_address,
                                   "POST",
                                   soak_request::crashing_path,
                                   {{"Host", "h"},
                                    {"X-Request-Id", "crash" + std::to_string(send_number_)},
                                    {"X-Deadline-Ms", "3000"},
                                    {"Authorization", "Token base"}},
                                   "crash"});
  answer_statuses_.push_back(answer.status);
  recorder_->count_answer("crashing", std::to_string(answer.status));
}

void crashing_request_check::restart_crashed_replicas() {
  const auto now = soak_clock::now();
  for (const auto& replica : fleet_->replicas) {
    if (replica->take_crashed_by_request()) {
      crash_times_.push_back(now);
      crashed_at_[replica.get()] = now;
    }
  }
  std::erase_if(crashed_at_, [&](const auto& entry) {
    const auto& [replica, crashed_at] = entry;
    if (now - crashed_at < downtime) {
      return false;
    }
    replica->restart();
    fleet_->publish(*replica);
    return true;
  });
}

void crashing_request_check::check_limits() {
  recorder_->count("exits under the crashing request " + std::to_string(crash_times_.size()));
  if (crash_times_.size() > max_crashes) {
    recorder_->note_violation("BUDGET", "a request crashed " + std::to_string(crash_times_.size()) +
                                            " replicas");
  }
  if (crash_times_.size() > known_crashes) {
    const auto known_at = crash_times_[known_crashes - 1] + settle_time;
    const auto late_crashes = std::count_if(crash_times_.begin(), crash_times_.end(),
                                            [&](auto at) { return at > known_at; });
    if (static_cast<std::size_t>(late_crashes) > max_late_crashes) {
      recorder_->note_violation("BUDGET", "a request that had crashed three replicas crashed " +
                                              std::to_string(late_crashes) +
                                              " more after all nodes knew");
    }
  }
  if (answer_statuses_.back() != not_executed_status) {
    recorder_->note_violation("BUDGET",
                              "a request that crashes replicas was not quarantined but answered " +
                                  std::to_string(answer_statuses_.back()));
  }
}

} // namespace spurrack::platform_tests
