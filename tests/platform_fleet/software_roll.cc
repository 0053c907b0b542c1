#include "software_roll.h"

namespace spurrack::platform_tests {
namespace {

using std::chrono::milliseconds;

/// Time from the drain of a replica to its end.
constexpr milliseconds brief_drain_time{800};
/// As above; longer than the longest time that clients give their requests.
constexpr milliseconds long_drain_time{9'000};
constexpr milliseconds replacement_interval{300};

} // namespace

void software_roll::start() {
  thread_ = std::thread([this] { replace_replicas(); });
}

void software_roll::stop() {
  should_stop_ = true;
  if (thread_.joinable()) {
    thread_.join();
  }
}

void software_roll::replace_replicas() {
  for (const auto& replica : fleet_->replicas) {
    if (should_stop_) {
      return;
    }
    if (replica->service() == "model") {
      replace(*replica);
      std::this_thread::sleep_for(replacement_interval);
    }
  }
}

void software_roll::replace(soak_replica& replica) {
  recorder_->count("software change");
  note_change();
  replica.set_draining(true);
  fleet_->publish(replica);
  std::this_thread::sleep_for(drain_ == drain::brief ? brief_drain_time : long_drain_time);
  replica.crash();
  fleet_->unpublish(replica);
  const auto earlier = replica.version();
  replica.restart_with(earlier == software_version(1) ? software_version(2) : software_version(1));
  fleet_->publish(replica);
  note_change();
}

void software_roll::note_change() {
  (drain_ == drain::brief ? fleet_->last_fault_at : fleet_->last_change_at) = soak_clock::now();
}

} // namespace spurrack::platform_tests
