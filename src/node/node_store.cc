/// Reads of the platform services: which nodes read a service at which time, and how a node
/// processes the answers of the services.
#include "catalog/entry_packing.h"
#include "node/node.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace spurrack::node {
namespace {

/// A starting node that serves published routes first waits for peers to send the catalog. If it is
/// not ready when the wait ends, it reads the platform services itself. The base time of the wait
/// is `peer_wait_time_per_member` for each known member. A strong node, which has at least
/// `min_strong_node_fraction` of the cores of the strongest known node, waits for a random time up
/// to half of the base time. Any other node waits for the base time plus a random fraction of it.
/// Therefore only a few nodes read the services if a large fleet starts as a whole, and a small
/// fleet loses little time.
///
/// Only a few nodes should read, because each reading node occupies the link of the store for 12
/// ms, at the expense of all other nodes. Strong nodes read first, because reading 3,000 replicas
/// takes more than a second on a link of 10 Mbit/s.
constexpr base::duration peer_wait_time_per_member = std::chrono::milliseconds(12);
/// Maximum base time of the wait for peers.
constexpr base::duration max_peer_wait_time = std::chrono::milliseconds(1200);
/// Minimum number of cores of a strong node, as a fraction of the number of cores of the strongest
/// known node.
constexpr float min_strong_node_fraction = 0.5F;
/// Time between the addition of the first member by a starting node and the start of the wait for
/// peers to send the catalog: two rounds of requests for members. In these rounds, the node learns
/// the size of the fleet and whether the node itself is strong. Without this time, 178 of 300 nodes
/// that restarted together read the store (control_traffic_test).
constexpr base::duration discovery_time = std::chrono::milliseconds(200);
/// Time for which a starting node that knows no member waits for a seed to send members.
constexpr base::duration join_timeout = std::chrono::milliseconds(300);
/// Maximum number of times that a watch is handed over from node to node. If a third of the nodes
/// cannot read the service, one watch in 27 reaches no node that can read the service. This is
/// acceptable because several nodes watch each service.
constexpr std::uint32_t max_handovers = 2;
/// Minimum interval between two times at which a node hands over the watch that is its own job.
constexpr base::duration handover_interval = std::chrono::seconds(5);

/// @return range of the service's entries that an answer contains completely; std::nullopt if it is
///         unknown, or for a listing, which may contain more entries than are gossiped.
std::optional<wire::entry_range> range_of(const service_answered& answer,
                                          const catalog::answer_meaning& meaning) {
  if (answer.is_listing || !meaning.after) {
    return std::nullopt;
  }
  return catalog::make_entry_range(answer.source, *meaning.after,
                                   {meaning.era, answer.service_revision});
}

constexpr std::array<const char*, source_count> watch_jobs{"watch/configuration", "watch/machines"};

} // namespace

// --- reading -------------------------------------------------------------------------------------

bool node::has_watch_job(source_kind source, base::time_point now) const {
  const auto* job = watch_jobs[static_cast<std::size_t>(source)];
  return serving_ ? reader_rank(source, now).has_value()
                  : membership_.has_zone_job(job, catalog::service_watch::watchers_per_zone);
}

std::optional<std::size_t> node::reader_rank(source_kind source, base::time_point now) const {
  using catalog::service_watch;
  return membership_.region_job_rank(watch_jobs[static_cast<std::size_t>(source)],
                                     service_watch::watching_zones_per_region,
                                     service_watch::watchers_per_zone, now);
}

std::vector<base::network_address> node::other_readers(source_kind source,
                                                       base::time_point now) const {
  using catalog::service_watch;
  return membership_.other_region_job_nodes(watch_jobs[static_cast<std::size_t>(source)],
                                            service_watch::watching_zones_per_region,
                                            service_watch::watchers_per_zone, now);
}

catalog::turn_order node::turn_order_of(source_kind source, base::time_point now) const {
  using catalog::service_watch;
  const auto* job = watch_jobs[static_cast<std::size_t>(source)];
  const auto position = membership_.position_besides_job(
      job, job, service_watch::watching_zones_per_region, service_watch::watchers_per_zone, now);
  catalog::turn_order order;
  order.reader_rank = reader_rank(source, now);
  order.zone_rank = position.zone_rank;
  order.zone_nodes = position.zone_nodes;
  order.zone_index = position.zone_index;
  order.zones = position.zones;
  order.is_isolated = is_isolated(now);
  return order;
}

base::duration node::hold_time_of(source_kind source, bool is_immediate,
                                  base::time_point now) const {
  const auto index = static_cast<std::size_t>(source);
  const auto longest = watches_[index].max_hold_time();
  if (!serving_) {
    return longest;
  }
  const auto age = knowledge_[index].age(now);
  const bool is_too_old = !age || *age >= settings_.knowledge_limits.max_age;
  if (is_immediate || is_too_old) {
    return catalog::service_watch::immediate_hold_time;
  }
  // The first reader confirms the knowledge of all nodes at short intervals, and so does a node
  // that took over. The other readers only have to report changes at once if the first reader
  // fails.
  const bool is_confirming =
      now < substitutions_[index].ends_at || reader_rank(source, now) == std::size_t{0};
  if (!is_confirming) {
    return longest;
  }
  const auto interval = std::min(longest, settings_.knowledge_limits.confirm_interval);
  return watches_[index].remaining_hold_time(interval, now);
}

bool node::should_read_service(source_kind source, base::time_point now) const {
  if (!is_ready_) {
    return now - started_at_ >= peer_wait_time();
  }
  const auto& substitution = substitutions_[static_cast<std::size_t>(source)];
  return now < substitution.ends_at || has_watch_job(source, now);
}

void node::read_services(base::time_point now) {
  for (const auto source : all_sources) {
    auto& watch = watches_[static_cast<std::size_t>(source)];
    const auto latest = catalog_.latest_position(source);
    watch.note_latest_revision(latest.era, latest.revision, now);
    watch.note_known_through(knowledge(source).known_through(), now);
    end_superfluous_substitution(source);
    end_outdated_attempt(source);
    const bool is_turn = is_turn_to_read(source, now);
    if (is_turn) {
      begin_turn(source, now);
    }
    const bool is_list = source == source_kind::machine_list;
    const bool is_verification_due = is_list && list_reads_.is_due(now);
    if (is_turn || is_verification_due) {
      watch.request_read(now);
    }
    const bool may_read = is_turn || is_verification_due || should_read_service(source, now);
    if (const auto after = watch.next_read(may_read, now)) {
      // A read that replaces one which verifies the list verifies the list in its place.
      const bool is_verifying = is_verification_due || (is_list && list_reads_.is_under_way());
      if (is_verifying) {
        list_reads_.note_sent(now);
      }
      const auto hold_time = hold_time_of(source, is_turn || is_verifying, now);
      watch.set_hold_time(hold_time);
      commands_.emplace_back(
          read_service{source, *after, watch.allows_stale(), hold_time, watch.read_number()});
    }
    if (serving_ && watch.start_probe_if_due(now)) {
      commands_.emplace_back(probe_service{source});
    }
  }
}

void node::end_superfluous_substitution(source_kind source) {
  const auto index = static_cast<std::size_t>(source);
  const auto& confirmed = knowledge_[index].confirmed();
  const bool has_other_reader = confirmed && confirmed->reader != settings_.self.node.text();
  if (serving_ && has_other_reader && !watches_[index].is_pending()) {
    substitutions_[index].ends_at = {};
  }
}

base::duration node::peer_wait_time() const {
  if (!serving_) {
    return {};
  }
  const auto known = static_cast<int>(membership_.members().size());
  if (known == 0) {
    return membership_.gossip_seeds().empty() ? base::duration{} : join_timeout;
  }
  const auto max_wait = std::min(peer_wait_time_per_member * known, max_peer_wait_time);
  const double fraction = is_strong() ? peer_wait_fraction_ / 2 : 1 + peer_wait_fraction_;
  const auto time_to_first_member =
      membership_.first_member_added_at().value_or(started_at_) - started_at_;
  return time_to_first_member + discovery_time +
         base::from_seconds(base::to_seconds(max_wait) * fraction);
}

bool node::is_strong() const {
  const auto own_processor_share = settings_.self.processor_share;
  const auto& known = membership_.members();
  return std::none_of(known.begin(), known.end(), [&](const auto& entry) {
    return own_processor_share < entry.second.processor_share * min_strong_node_fraction;
  });
}

// --- answers -------------------------------------------------------------------------------------

void node::on(const service_answered& answer, base::time_point now) {
  auto& watch = watches_[static_cast<std::size_t>(answer.source)];
  if (answer.read_number > 0 && answer.read_number < watch.read_number()) {
    // The answer waited in a queue while a later read replaced its read.
    return;
  }
  auto meaning = watch.on_answer({answer.era, answer.service_revision, answer.is_listing},
                                 !answer.entries.empty(), now);
  note_era(answer, meaning);
  if (answer.read_number != watch.read_number()) {
    meaning.verified_at.reset();
  }
  if (meaning.is_outdated || meaning.is_implausible) {
    answer_position_queries(answer, meaning, now);
    return;
  }
  auto entries = answer.entries;
  for (auto& entry : entries) {
    entry.set_era(meaning.era);
  }
  if (meaning.should_delete_unlisted) {
    std::set<std::string> listed;
    for (const auto& entry : entries) {
      listed.insert(entry.key());
    }
    const catalog::store_position position{meaning.era, answer.service_revision};
    auto deletions = answer.source == source_kind::machine_list
                         ? catalog_.deletions_of_unlisted_replicas(listed, position)
                         : catalog_.deletions_of_unlisted_evacuations(listed, position);
    std::move(deletions.begin(), deletions.end(), std::back_inserter(entries));
  }
  replicator_.apply_and_gossip(entries, range_of(answer, meaning),
                               {one_relay_per_zone(), replication_peers()}, outbox_);
  note_read(answer, meaning, now);
  answer_position_queries(answer, meaning, now);
  apply_machine_changes(now);
  update_readiness(now);
  read_services(now);
}

void node::note_era(const service_answered& answer, const catalog::answer_meaning& meaning) {
  const std::string era = std::to_string(meaning.era);
  if (answer.is_era_unreadable) {
    ++store_.unreadable_eras;
    record(base::event_kind::service_era, {}, "", "unreadable, treated as " + era);
  }
  if (meaning.is_implausible) {
    ++store_.unreadable_eras;
    record(base::event_kind::service_era, {}, std::to_string(*answer.era),
           "implausibly far beyond " + era + ", ignored");
  }
  if (meaning.is_outdated) {
    ++store_.outdated_answers;
    record(base::event_kind::service_era, {}, std::to_string(*answer.era),
           "answer of an era before " + era + ", ignored");
  }
  if (meaning.is_new_era) {
    ++store_.era_changes;
    record(base::event_kind::service_era, {}, era,
           "the service was restored from an older copy, now at revision " +
               std::to_string(answer.service_revision) + "; listing it again");
  }
  if (meaning.has_earlier_revision) {
    record(base::event_kind::service_behind, {}, "",
           "service went back to revision " + std::to_string(answer.service_revision));
  }
}

void node::on(const service_failed& failure, base::time_point now) {
  watches_[static_cast<std::size_t>(failure.source)].on_failure(now);
  if (failure.source == source_kind::machine_list) {
    list_reads_.note_failure(now);
  }
  if (!serving_) {
    hand_over_watch(failure.source, now);
  }
}

// --- watches in place of other nodes -------------------------------------------------------------

void node::hand_over_watch(source_kind source, base::time_point now) {
  auto& substitution = substitutions_[static_cast<std::size_t>(source)];
  std::uint32_t handovers = now < substitution.ends_at ? substitution.handovers_left : 0;
  substitution.ends_at = {};
  if (is_ready_ && now >= substitution.next_handover_at && has_watch_job(source, now)) {
    substitution.next_handover_at = now + handover_interval;
    handovers = max_handovers;
  }
  auto peers = handovers == 0 ? std::vector<base::network_address>{} : replication_peers();
  if (peers.empty()) {
    return;
  }
  wire::outgoing message{base::take_random(peers, *random_), {}};
  auto& handover = *message.message.mutable_watch_handover();
  handover.set_source(static_cast<std::uint32_t>(source));
  handover.set_handovers_left(handovers - 1);
  outbox_.push_back(std::move(message));
}

void node::on_watch_handover(const wire::watch_handover& handover, base::time_point now) {
  if (handover.source() >= source_count || !is_ready_) {
    return;
  }
  auto& substitution = substitutions_[handover.source()];
  substitution.ends_at = now + watch_substitution::duration;
  substitution.handovers_left = std::min(handover.handovers_left(), max_handovers - 1);
  read_services(now);
}

} // namespace spurrack::node
