#include "silent_replicas.h"

#include <algorithm>
#include <array>

namespace spurrack::platform_tests {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds min_silence{500};
constexpr std::size_t silence_spread_milliseconds = 2'500;
/// Interval between the starts of two silences.
constexpr milliseconds min_silence_interval{700};
constexpr std::size_t silence_interval_spread_milliseconds = 1'300;
constexpr milliseconds poll_interval{20};

} // namespace

void silent_replicas::start() {
  thread_ = std::thread([this] { run(); });
}

void silent_replicas::stop() {
  should_stop_ = true;
  if (thread_.joinable()) {
    thread_.join();
  }
}

void silent_replicas::run() {
  auto next_start = soak_clock::now();
  while (!should_stop_) {
    const auto now = soak_clock::now();
    end_silences_due(now);
    if (now >= next_start) {
      begin_silences();
      next_start = now + min_silence_interval +
                   milliseconds(random_.below(silence_interval_spread_milliseconds));
    }
    if (!silences_.empty()) {
      fleet_->last_silence_at = soak_clock::now();
    }
    std::this_thread::sleep_for(poll_interval);
  }
  end_silences_due(soak_clock::time_point::max());
  fleet_->last_silence_at = soak_clock::now();
}

void silent_replicas::begin_silences() {
  const auto kind = static_cast<silence_kind>(random_.below(2));
  const auto duration = min_silence + milliseconds(random_.below(silence_spread_milliseconds + 1));
  for (auto* replica : random_group()) {
    if (is_silent(*replica)) {
      continue;
    }
    silences_.push_back({replica, kind, soak_clock::now() + duration});
    apply(silences_.back(), true);
    recorder_->count(std::string("silence of ") + replica->service() +
                     (kind == silence_kind::held_link ? " by its link" : " by its process"));
  }
}

std::vector<soak_replica*> silent_replicas::random_group() {
  std::vector<soak_replica*> all;
  for (const auto& replica : fleet_->replicas) {
    all.push_back(replica.get());
  }
  std::vector<soak_replica*> group;
  const auto choice = random_.below(4);
  if (choice < 3) {
    const auto size = choice < 2 ? 1 : all.size() / 3;
    while (group.size() < size) {
      group.push_back(base::take_random(all, random_));
    }
    return group;
  }
  constexpr std::array<const char*, 3> services{"plain", "pool", "model"};
  const std::string service = services[random_.below(services.size())];
  std::copy_if(all.begin(), all.end(), std::back_inserter(group),
               [&](const auto* replica) { return replica->service() == service; });
  return group;
}

bool silent_replicas::is_silent(const soak_replica& replica) const {
  return std::any_of(silences_.begin(), silences_.end(),
                     [&](const auto& other) { return other.replica == &replica; });
}

void silent_replicas::end_silences_due(soak_clock::time_point now) {
  std::erase_if(silences_, [&](const auto& candidate) {
    const bool is_due = candidate.end <= now;
    if (is_due) {
      apply(candidate, false);
    }
    return is_due;
  });
}

void silent_replicas::apply(const silence& changed, bool is_silent) const {
  if (changed.kind == silence_kind::stopped_process) {
    changed.replica->set_silent(is_silent);
  } else {
    fleet_->set_link_fault(changed.replica->id(), is_silent ? "held" : "");
  }
}

} // namespace spurrack::platform_tests
