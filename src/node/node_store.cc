/// Who reads the platform's services when, and what becomes of their answers.
#include "node/node.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace spurrack::node {
namespace {

/// A starting node that serves published routes reads the services itself after a random part of
/// this time for each member it knows, unless peers have told it everything by then: of a large
/// fleet that starts as a whole, few nodes read, and a small one loses no time. Strong nodes read
/// in the first half of the time, others after all of it: on a link of 10 Mbit/s 3,000 replicas
/// take more than a second, and each node that reads them takes 12 ms of the store's link from all
/// others.
constexpr base::duration wait_for_peers_per_member = std::chrono::milliseconds(12);
constexpr base::duration longest_wait_for_peers = std::chrono::milliseconds(1200);
/// Nodes with at least this part of the processor of the strongest one known are strong.
constexpr float least_share_of_strong_node = 0.5F;
/// Until then after its introduction a starting node knows neither how large the fleet is nor
/// whether it is a strong one: two rounds of questions for members. Without it 178 of 300 nodes
/// that returned together read the store (control_traffic_test).
constexpr base::duration time_to_meet = std::chrono::milliseconds(200);
/// A starting node that knows nobody waits this long to be introduced at a seed.
constexpr base::duration introduction_wait = std::chrono::milliseconds(300);
/// A watch that a node cannot hold goes from node to node so many times. While a third of the nodes
/// are turned away, one in 27 is then held by none of them, and there are several.
constexpr std::uint32_t most_handovers = 2;
/// A node watches for another so long; asked again before, it goes on. The store is asked no more
/// often than by the nodes whose job it is while it answers nobody.
constexpr base::duration substitution_time = std::chrono::seconds(10);
constexpr base::duration handover_period = substitution_time / 2;

constexpr std::array<const char*, source_count> watch_jobs{"watch/configuration", "watch/machines"};

} // namespace

// --- reading -------------------------------------------------------------------------------------

bool node::has_watch_job(source_kind source, base::time_point now) const {
  using catalog::service_watch;
  const auto* job = watch_jobs[static_cast<std::size_t>(source)];
  return serving_ ? membership_.has_region_job(job, service_watch::watching_zones_per_region,
                                               service_watch::watchers_per_zone, now)
                  : membership_.has_zone_job(job, service_watch::watchers_per_zone);
}

bool node::reads_service(source_kind source, base::time_point now) const {
  if (!ready_) {
    return now - started_ >= wait_for_peers();
  }
  const auto& substitution = substitutions_[static_cast<std::size_t>(source)];
  return now < substitution.until || has_watch_job(source, now);
}

void node::read_services(base::time_point now) {
  for (const auto source : {source_kind::configuration, source_kind::machine_list}) {
    auto& watch = watches_[static_cast<std::size_t>(source)];
    const auto newest = source == source_kind::machine_list ? catalog_.latest_replica_position()
                                                            : catalog_.latest_operator_position();
    watch.note_latest_revision(newest.era, newest.revision, now);
    if (const auto after = watch.next_read(reads_service(source, now), now)) {
      // What a first listing lacks the watch that goes on from it tells at once.
      const bool may_be_old = *after == 0 && !watch.has_answered();
      commands_.emplace_back(read_service{source, *after, may_be_old, watch.max_hold_time()});
    }
    if (serving_ && watch.start_probe_if_due(now)) {
      commands_.emplace_back(probe_service{source});
    }
  }
}

base::duration node::wait_for_peers() const {
  if (!serving_) {
    return {};
  }
  const auto known = static_cast<int>(membership_.members().size());
  if (known == 0) {
    return membership_.seeds().empty() ? base::duration{} : introduction_wait;
  }
  const auto longest = std::min(wait_for_peers_per_member * known, longest_wait_for_peers);
  const double part = is_strong() ? wait_for_peers_part_ / 2 : 1 + wait_for_peers_part_;
  const auto introduced = membership_.first_member_added_at().value_or(started_) - started_;
  return introduced + time_to_meet + base::from_seconds(base::to_seconds(longest) * part);
}

bool node::is_strong() const {
  const auto own = settings_.self.processor_share;
  const auto& known = membership_.members();
  return std::none_of(known.begin(), known.end(), [&](const auto& entry) {
    return own < entry.second.processor_share * least_share_of_strong_node;
  });
}

// --- answers -------------------------------------------------------------------------------------

void node::on(const service_answered& what, base::time_point now) {
  auto& watch = watches_[static_cast<std::size_t>(what.source)];
  const auto meaning =
      watch.on_answer({what.era, what.service_revision, what.complete}, !what.entries.empty(), now);
  note_era(what, meaning);
  if (meaning.is_outdated || meaning.is_implausible) {
    return;
  }
  auto entries = what.entries;
  for (auto& entry : entries) {
    entry.set_era(meaning.era);
  }
  if (meaning.should_delete_unlisted) {
    std::set<std::string> listed;
    for (const auto& entry : entries) {
      listed.insert(entry.key());
    }
    const catalog::store_position at{meaning.era, what.service_revision};
    auto gone = what.source == source_kind::machine_list
                    ? catalog_.deletions_of_unlisted_replicas(listed, at)
                    : catalog_.deletions_of_unlisted_evacuations(listed, at);
    std::move(gone.begin(), gone.end(), std::back_inserter(entries));
  }
  replicator_.offer(entries, replication_peers(), outbox_);
  apply_machine_changes(now);
  check_ready(now);
  read_services(now);
}

void node::note_era(const service_answered& what, const catalog::answer_meaning& meaning) {
  const std::string era = std::to_string(meaning.era);
  if (what.era_unreadable) {
    ++store_.eras_unreadable;
    record(base::event_kind::service_era, {}, "", "unreadable, taken for " + era);
  }
  if (meaning.is_implausible) {
    ++store_.eras_unreadable;
    record(base::event_kind::service_era, {}, std::to_string(*what.era),
           "too far beyond " + era + " to be one, passed over");
  }
  if (meaning.is_outdated) {
    ++store_.answers_outdated;
    record(base::event_kind::service_era, {}, std::to_string(*what.era),
           "an answer of an era before " + era + ", passed over");
  }
  if (meaning.is_new_era) {
    ++store_.eras_begun;
    record(base::event_kind::service_era, {}, era,
           "the service came back from an older copy, now at revision " +
               std::to_string(what.service_revision) + "; it is listed anew");
  }
  if (meaning.has_earlier_revision) {
    record(base::event_kind::service_behind, {}, "",
           "service went back to revision " + std::to_string(what.service_revision));
  }
}

void node::on(const service_failed& what, base::time_point now) {
  watches_[static_cast<std::size_t>(what.source)].on_failure(now);
  hand_over_watch(what.source, now);
}

// --- watches that others hold --------------------------------------------------------------------

void node::hand_over_watch(source_kind source, base::time_point now) {
  auto& substitution = substitutions_[static_cast<std::size_t>(source)];
  std::uint32_t handovers = now < substitution.until ? substitution.handovers_left : 0;
  substitution.until = {};
  if (ready_ && now >= substitution.next_handover && has_watch_job(source, now)) {
    substitution.next_handover = now + handover_period;
    handovers = most_handovers;
  }
  auto peers = handovers == 0 ? std::vector<base::network_address>{} : replication_peers();
  if (peers.empty()) {
    return;
  }
  wire::outgoing message{base::take_random(peers, *random_), {}};
  auto& asked = *message.message.mutable_watch_handover();
  asked.set_source(static_cast<std::uint32_t>(source));
  asked.set_handovers_left(handovers - 1);
  outbox_.push_back(std::move(message));
}

void node::on_watch_handover(const wire::watch_handover& asked, base::time_point now) {
  if (asked.source() >= source_count || !ready_) {
    return;
  }
  auto& substitution = substitutions_[asked.source()];
  substitution.until = now + substitution_time;
  substitution.handovers_left = std::min(asked.handovers_left(), most_handovers - 1);
  read_services(now);
}

} // namespace spurrack::node
