#include "replicas/replica_evidence.h"

#include <algorithm>
#include <cmath>

namespace spurrack::serving {
namespace {

/// Troubles last some seconds to a minute; a replica that has recovered is believed again soon.
constexpr base::duration tally_half_life = std::chrono::seconds(5);
/// Witnesses kept of a replica: more say nothing new.
constexpr std::size_t most_witnesses = 32;
/// Calls that are taken for good beside those seen: one failure alone says little.
constexpr double assumed_good_calls = 4;

} // namespace

double call_tally::kept_part(base::time_point now) const {
  return std::exp2(-base::to_seconds(now - noted_at_) / base::to_seconds(tally_half_life));
}

void call_tally::note(bool is_good, base::time_point now) {
  const double kept = kept_part(now);
  good_ *= kept;
  bad_ *= kept;
  noted_at_ = now;
  (is_good ? good_ : bad_) += 1;
}

void replica_evidence::record_report(const base::replica_id& replica, const base::node_id& witness,
                                     const replica_health_report& said) {
  auto& witnesses = said_[replica];
  witnesses[witness] = said;
  if (witnesses.size() > most_witnesses) {
    const auto oldest = std::min_element(witnesses.begin(), witnesses.end(),
                                         [](const auto& one, const auto& other) {
                                           return one.second.seen_at < other.second.seen_at;
                                         });
    witnesses.erase(oldest);
  }
}

std::size_t replica_evidence::count_down_reporters(const base::replica_id& replica,
                                                   base::time_point since,
                                                   base::time_point now) const {
  const auto found = said_.find(replica);
  if (found == said_.end()) {
    return 0;
  }
  return static_cast<std::size_t>(
      std::count_if(found->second.begin(), found->second.end(), [&](const auto& entry) {
        const auto& said = entry.second;
        return means_down(said.health) && said.seen_at >= since &&
               now - said.seen_at < down_report_lifetime;
      }));
}

replica_evidence::reported_backoffs replica_evidence::backoffs(const base::replica_id& replica,
                                                               base::time_point now) const {
  reported_backoffs told;
  const auto found = said_.find(replica);
  if (found == said_.end()) {
    return told;
  }
  for (const auto& [witness, said] : found->second) {
    if (said.backoff_ends_at > now) {
      ++told.nodes;
      told.until = std::max(told.until, said.backoff_ends_at);
    }
  }
  return told;
}

double replica_evidence::failure_share(const base::replica_id& replica, const call_tally& own,
                                       base::time_point now) const {
  double good = assumed_good_calls + own.good(now);
  double bad = own.bad(now);
  if (const auto found = said_.find(replica); found != said_.end()) {
    for (const auto& [witness, said] : found->second) {
      if (now - said.seen_at < failure_report_lifetime) {
        good += said.good_calls;
        bad += said.bad_calls;
      }
    }
  }
  return bad / (good + bad);
}

} // namespace spurrack::serving
