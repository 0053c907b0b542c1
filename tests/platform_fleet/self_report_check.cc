#include "self_report_check.h"

#include <algorithm>
#include <string>
#include <thread>

namespace spurrack::platform_tests {
namespace {

using std::chrono::milliseconds;

/// A node that was told sends nothing later than this, and others hear of it in that time.
constexpr milliseconds leaving_bound{2'000};
constexpr milliseconds leaving_watch{1'500};
/// What was under way when a pause was asked for has arrived by then.
constexpr milliseconds pause_slack{500};
/// Each node may have to be told once, and two more requests of it are allowed.
constexpr std::size_t most_per_node = 3;
/// Requests that arrive while a replica is told of by nobody are waited for.
constexpr milliseconds first_word_patience{5'000};
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
  while (replica.last_arrival() < begun && soak_clock::now() - begun < first_word_patience) {
    std::this_thread::sleep_for(poll_interval);
  }
  return replica.last_arrival() >= begun;
}

} // namespace

void stating_replica::check_leaving() {
  // What clients lose by the store and by the end of the replica is no fault of the nodes.
  fleet_->unplanned_at = soak_clock::now();
  fleet_->store.set_mode(store_mode::refusing);
  subject_->set_leaving(true);
  if (wait_for_request(*subject_)) {
    std::this_thread::sleep_for(leaving_bound);
    const auto bound = soak_clock::now();
    subject_->take_arrivals();
    std::this_thread::sleep_for(leaving_watch);
    const auto arrivals = subject_->take_arrivals();
    ledger_->count("watched a replica that said it leaves");
    if (!arrivals.empty() && arrivals.back() > bound) {
      ledger_->note_violation("DRAIN", subject_->id() + " got " + std::to_string(arrivals.size()) +
                                           " requests 2 s after its word that it leaves");
    }
  }
  subject_->crash();
  fleet_->store.set_mode(store_mode::normal);
  subject_->set_leaving(false);
  subject_->start_again();
  fleet_->publish(*subject_);
  fleet_->unplanned_at = soak_clock::now();
}

void stating_replica::check_pauses() {
  const milliseconds pause(1'000 + static_cast<int>(random_->below(2'000)));
  subject_->take_arrivals();
  subject_->set_pause(pause);
  if (wait_for_request(*subject_)) {
    const auto begun = subject_->last_arrival();
    std::this_thread::sleep_until(begun + pause);
    const auto arrived =
        arrived_between(subject_->take_arrivals(), begun + pause_slack, begun + pause);
    ledger_->count("watched a replica that asked for pauses");
    if (arrived > most_per_node * fleet_->nodes.size()) {
      ledger_->note_violation("BUDGET", subject_->id() + " got " + std::to_string(arrived) +
                                            " requests in a pause of " +
                                            std::to_string(pause.count()) + " ms");
    }
  }
  subject_->set_pause(milliseconds(0));
  std::this_thread::sleep_for(pause);
}

} // namespace spurrack::platform_tests
