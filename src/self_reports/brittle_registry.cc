#include "self_reports/brittle_registry.h"

namespace spurrack::self_reports {
namespace {

/// Span over which a brittle replica counts the requests that it rejects.
constexpr base::duration counted_span = std::chrono::seconds(1);
/// Maximum error of the time of a reported rejection: the interval between two reports of a node.
constexpr base::duration report_time_error = std::chrono::milliseconds(50);
/// Time for which announcements and rejections are kept: the exit of a replica may become known
/// from the list of replicas only, some seconds later.
constexpr base::duration kept_span = std::chrono::seconds(15);

} // namespace

void brittle_registry::note_announced(const base::replica_id& replica, std::uint32_t max_rejections,
                                      base::time_point now) {
  auto& known = replicas_[replica];
  known.max_rejections = max_rejections;
  known.announced_at = now;
}

void brittle_registry::note_rejected(const base::replica_id& replica, base::time_point now) {
  const auto found = replicas_.find(replica);
  if (found == replicas_.end()) {
    return;
  }
  found->second.rejections.push_back({now, 1});
  ++found->second.unsent;
  found->second.last_unsent_at = now;
  has_unsent_ = true;
}

void brittle_registry::merge(const replica_rejections& received, base::time_point now) {
  note_announced(received.replica, received.max_rejections, now);
  replicas_[received.replica].rejections.push_back({received.last_at, received.count});
}

bool brittle_registry::was_overrun(const base::replica_id& replica,
                                   base::time_point exited_at) const {
  const auto found = replicas_.find(replica);
  if (found == replicas_.end()) {
    return false;
  }
  std::uint32_t rejected = 0;
  for (const auto& [at, count] : found->second.rejections) {
    const bool is_counted = at > exited_at - counted_span && at <= exited_at + report_time_error;
    rejected += is_counted ? count : 0;
  }
  return rejected > found->second.max_rejections;
}

std::vector<replica_rejections> brittle_registry::take_unsent() {
  has_unsent_ = false;
  std::vector<replica_rejections> unsent;
  for (auto& [id, known] : replicas_) {
    if (known.unsent > 0) {
      unsent.push_back({id, known.max_rejections, known.unsent, known.last_unsent_at});
      known.unsent = 0;
    }
  }
  return unsent;
}

void brittle_registry::drop_expired(base::time_point now) {
  for (auto& [id, known] : replicas_) {
    while (!known.rejections.empty() && now - known.rejections.front().at >= kept_span) {
      known.rejections.pop_front();
    }
  }
  std::erase_if(replicas_, [&](const auto& entry) {
    return entry.second.rejections.empty() && now - entry.second.announced_at >= kept_span;
  });
}

} // namespace spurrack::self_reports
