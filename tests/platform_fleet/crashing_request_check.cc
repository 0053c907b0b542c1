#include "crashing_request_check.h"

#include "soak_request.h"

#include "fleet/http_client.h"

#include <algorithm>
#include <thread>

namespace spurrack::platform_tests {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t most_tries = 16;
/// Between two tries. Longer than a replica stays away: behind a proxy that takes every connection
/// only its new start shows that it had ended.
constexpr milliseconds try_period{700};
constexpr milliseconds away_time{400};
/// Replicas that one request may end in all, and later than nodes in contact know of three ends.
constexpr std::size_t most_ends = 5;
constexpr std::size_t most_late_ends = 3;
constexpr std::size_t ends_known = 3;
constexpr unsigned not_run = 503;

} // namespace

crashing_request::crashing_request(soak_fleet& fleet, soak_ledger& ledger,
                                   base::random_source& random)
    : fleet_(&fleet), ledger_(&ledger), random_(&random) {}

void crashing_request::check() {
  for (tries_ = 1; tries_ <= most_tries; ++tries_) {
    fleet_->unplanned_at = soak_clock::now();
    send();
    const auto until = soak_clock::now() + try_period;
    while (soak_clock::now() < until) {
      restart_ended();
      std::this_thread::sleep_for(milliseconds(20));
    }
  }
  fleet_->unplanned_at = soak_clock::now();
  check_bounds();
  std::this_thread::sleep_for(contact_time);
}

void crashing_request::send() {
  const auto& node = *fleet_->nodes[random_->below(fleet_->nodes.size())];
  const auto answer = fleet::call({node.clients,
                                   "POST",
                                   soak_request::crashing_path,
                                   {{"Host", "h"},
                                    {"X-Request-Id", "crash" + std::to_string(tries_)},
                                    {"X-Deadline-Ms", "3000"},
                                    {"Authorization", "Token base"}},
                                   "crash"});
  answers_.push_back(answer.status);
  ledger_->count_answer("crashing", std::to_string(answer.status));
}

void crashing_request::restart_ended() {
  const auto now = soak_clock::now();
  for (const auto& replica : fleet_->replicas) {
    if (replica->take_ended_by_request()) {
      ends_.push_back(now);
      away_[replica.get()] = now;
    }
  }
  std::erase_if(away_, [&](const auto& entry) {
    const auto& [replica, since] = entry;
    if (now - since < away_time) {
      return false;
    }
    replica->start_again();
    fleet_->publish(*replica);
    return true;
  });
}

void crashing_request::check_bounds() {
  ledger_->count("ends under the crashing request " + std::to_string(ends_.size()));
  if (ends_.size() > most_ends) {
    ledger_->note_violation("BUDGET",
                            "a request ended " + std::to_string(ends_.size()) + " replicas");
  }
  if (ends_.size() > ends_known) {
    const auto since = ends_[ends_known - 1] + contact_time;
    const auto late =
        std::count_if(ends_.begin(), ends_.end(), [&](auto at) { return at > since; });
    if (static_cast<std::size_t>(late) > most_late_ends) {
      ledger_->note_violation("BUDGET", "a request that had ended three replicas ended " +
                                            std::to_string(late) + " more when all nodes knew");
    }
  }
  if (answers_.back() != not_run) {
    ledger_->note_violation("BUDGET",
                            "a request that ends replicas was not held back but answered " +
                                std::to_string(answers_.back()));
  }
}

} // namespace spurrack::platform_tests
