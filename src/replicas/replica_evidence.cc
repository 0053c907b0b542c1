#include "replicas/replica_evidence.h"

#include <algorithm>
#include <cmath>

namespace spurrack::serving {
namespace {

/// Half-life of the counts of a `call_tally`. Faults last between some seconds and a minute; the
/// half-life is short so that a replica that has recovered is used again soon.
constexpr base::duration tally_half_life = std::chrono::seconds(5);
/// Maximum number of reporters whose reports are stored per replica; more would not add
/// information.
constexpr std::size_t max_reporters = 32;
/// Number of successful calls that are added to the counted calls when a failure share is computed,
/// so that a single failure has little weight.
constexpr double assumed_good_calls = 4;

} // namespace

double call_tally::decay_factor(base::time_point now) const {
  return std::exp2(-base::to_seconds(now - noted_at_) / base::to_seconds(tally_half_life));
}

void call_tally::note(bool is_good, base::time_point now) {
  const double factor = decay_factor(now);
  good_ *= factor;
  bad_ *= factor;
  noted_at_ = now;
  (is_good ? good_ : bad_) += 1;
}

void replica_evidence::record_report(const base::replica_id& replica, const base::node_id& reporter,
                                     const replica_health_report& report) {
  auto& reports = reports_[replica];
  reports[reporter] = report;
  if (reports.size() > max_reporters) {
    const auto oldest =
        std::min_element(reports.begin(), reports.end(), [](const auto& one, const auto& other) {
          return one.second.seen_at < other.second.seen_at;
        });
    reports.erase(oldest);
  }
}

std::vector<base::replica_id> replica_evidence::discard_reports_of(const base::node_id& reporter) {
  std::vector<base::replica_id> reported;
  for (auto& [replica, reports] : reports_) {
    if (reports.erase(reporter) > 0) {
      reported.push_back(replica);
    }
  }
  return reported;
}

std::size_t replica_evidence::count_down_reporters(const base::replica_id& replica,
                                                   base::time_point since,
                                                   base::time_point now) const {
  const auto found = reports_.find(replica);
  if (found == reports_.end()) {
    return 0;
  }
  return static_cast<std::size_t>(
      std::count_if(found->second.begin(), found->second.end(), [&](const auto& entry) {
        const auto& report = entry.second;
        return means_down(report.health) && report.seen_at >= since &&
               now - report.seen_at < down_report_lifetime;
      }));
}

replica_evidence::reported_backoffs
replica_evidence::reported_backoffs_of(const base::replica_id& replica,
                                       base::time_point now) const {
  reported_backoffs backoffs_in_effect;
  const auto found = reports_.find(replica);
  if (found == reports_.end()) {
    return backoffs_in_effect;
  }
  for (const auto& [reporter, report] : found->second) {
    if (report.backoff_ends_at > now) {
      ++backoffs_in_effect.nodes;
      backoffs_in_effect.last_ends_at =
          std::max(backoffs_in_effect.last_ends_at, report.backoff_ends_at);
    }
  }
  return backoffs_in_effect;
}

double replica_evidence::failure_share(const base::replica_id& replica, const call_tally& own,
                                       base::time_point now) const {
  double good = assumed_good_calls + own.good(now);
  double bad = own.bad(now);
  if (const auto found = reports_.find(replica); found != reports_.end()) {
    for (const auto& [reporter, report] : found->second) {
      if (now - report.seen_at < failure_report_lifetime) {
        good += report.good_calls;
        bad += report.bad_calls;
      }
    }
  }
  return bad / (good + bad);
}

} // namespace spurrack::serving
