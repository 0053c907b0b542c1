#include "self_reports/self_report_exchange.h"

#include <algorithm>
#include <iterator>

namespace spurrack::self_reports {
namespace {

/// Number of random nodes that receive a change each time that a node sends it. In a fleet of 300
/// nodes, one node in some thousands misses a change that each node sends `sends_per_change` times,
/// if no message is lost.
constexpr std::size_t fanout = 4;
/// Number of times that each node sends a change: more than once, since messages may be lost.
constexpr std::size_t sends_per_change = 2;
/// Minimum time between two batches of changes that a node sends, each to `fanout` nodes.
constexpr base::duration change_interval = std::chrono::milliseconds(100);
/// Time between two reminders of a node; a reminder repeats known reports. With `reminder_fanout`
/// receivers, a node that started or missed a message receives each report within three seconds,
/// the time within which nodes in contact are to learn of each other's reports.
constexpr base::duration reminder_interval = std::chrono::milliseconds(1000);
/// Number of random nodes that receive each reminder.
constexpr std::size_t reminder_fanout = 3;
/// Minimum time between two log records about unparsable self-reports of one replica on one topic.
constexpr base::duration unreadable_report_interval = std::chrono::minutes(1);
/// Maximum number of limits in one message, and also maximum number of drain announcements in it;
/// each takes about 30 bytes.
constexpr std::size_t max_records_per_message = 16;

/// Minimum interval between two reports on rejections by brittle replicas. Short, since such a
/// replica counts the rejections of one second.
constexpr base::duration rejections_interval = std::chrono::milliseconds(50);
/// Maximum number of nodes that a report on rejections is sent to; they are drawn at random in a
/// larger fleet, which then counts fewer rejections than there were.
constexpr std::size_t max_rejection_receivers = 32;

std::uint32_t age_in_milliseconds(base::time_point earlier, base::time_point now) {
  return static_cast<std::uint32_t>(
      std::max<std::int64_t>(0, base::to_milliseconds(now - earlier)));
}

wire::named_limit to_wire(const base::replica_id& replica, const limit_record& record,
                          base::time_point now) {
  wire::named_limit wire_record;
  wire_record.set_replica(replica.text());
  wire_record.set_life_mark(record.incarnation);
  wire_record.set_per_second(record.per_second.value_or(0));
  wire_record.set_lifted(!record.per_second);
  wire_record.set_version(record.version);
  wire_record.set_age_milliseconds(age_in_milliseconds(record.last_reported_at, now));
  return wire_record;
}

limit_record from_wire(const wire::named_limit& wire_record, base::time_point now) {
  limit_record record;
  record.incarnation = wire_record.life_mark();
  if (!wire_record.lifted()) {
    record.per_second = wire_record.per_second();
  }
  record.version = wire_record.version();
  record.last_reported_at = now - std::chrono::milliseconds(wire_record.age_milliseconds());
  return record;
}

wire::replica_departure to_wire(const drain_registry::key& draining,
                                const drain_announcement& known, base::time_point now) {
  wire::replica_departure wire_record;
  wire_record.set_replica(draining.replica.text());
  wire_record.set_process_mark(draining.process);
  wire_record.set_age_milliseconds(age_in_milliseconds(known.announced_at, now));
  return wire_record;
}

/// Visits up to `most` entries of a map, beginning after the key `last` and continuing at the
/// beginning of the map when its end is reached. Sets `last` to the key of the last visited entry.
template <typename map, typename key, typename visitor>
void visit_round_robin(const map& entries, key& last, std::size_t most, const visitor& visit) {
  auto next = entries.upper_bound(last);
  for (std::size_t visited = 0; visited < std::min(most, entries.size()); ++visited) {
    if (next == entries.end()) {
      next = entries.begin();
    }
    visit(*next);
    last = next->first;
    ++next;
  }
}

/// Visits up to `most` pending entries, decrements their remaining sends, and erases entries
/// without remaining sends.
template <typename map, typename visitor>
void visit_pending(map& pending, std::size_t most, const visitor& visit) {
  std::size_t visited = 0;
  for (auto next = pending.begin(); next != pending.end() && visited < most; ++visited) {
    visit(next->first);
    next = --next->second == 0 ? pending.erase(next) : std::next(next);
  }
}

} // namespace

self_report_exchange::self_report_exchange(replica_lookup lookup, base::random_source& random)
    : lookup_(std::move(lookup)), random_(&random) {}

void self_report_exchange::set_peers(const std::vector<serving::fleet_peer>& alive) {
  peers_.clear();
  for (const auto& peer : alive) {
    peers_.push_back(peer.address);
  }
}

// --- self-reports in answers ---------------------------------------------------------------------

void self_report_exchange::record_self_report(const base::replica_id& replica,
                                              const serving::replica_self_report& report,
                                              base::time_point call_started_at,
                                              base::time_point now) {
  using topic = self_report_change::topic;
  if (report.limit.is_unreadable) {
    note_unreadable(replica, topic::limit, counts_.unreadable_limits, now);
  }
  if (report.is_drain_unreadable) {
    note_unreadable(replica, topic::drain, counts_.unreadable_drain_announcements, now);
  }
  if (report.backoff.is_unreadable) {
    note_unreadable(replica, topic::backoff, counts_.unreadable_backoffs, now);
  }
  if (report.brittleness.max_rejections) {
    brittle_.note_announced(replica, *report.brittleness.max_rejections, now);
  }
  // Most answers report nothing that concerns other nodes; the replica of such an answer is not
  // looked up in the published list. An answer without a limit concerns other nodes if a limit of
  // the replica is known, since the answer may lift that limit.
  const bool concerns_limit =
      !report.limit.is_unreadable && (report.limit.per_second || limits_.find(replica) != nullptr);
  if (!concerns_limit && !report.is_draining) {
    return;
  }
  const auto published = lookup_(replica);
  if (published && concerns_limit) {
    record_limit(replica, *published, report.limit, call_started_at, now);
  }
  if (published && report.is_draining) {
    record_drain(replica, *published, now);
  }
}

void self_report_exchange::note_unreadable(const base::replica_id& replica,
                                           self_report_change::topic about, std::uint64_t& count,
                                           base::time_point now) {
  ++count;
  const auto [reported, is_first] = unreadable_reported_at_.try_emplace({replica, about}, now);
  if (is_first || now - reported->second >= unreadable_report_interval) {
    reported->second = now;
    unreported_changes_.push_back({about, replica, limits_.limit_of(replica), true, "the replica"});
  }
}

void self_report_exchange::record_limit(const base::replica_id& replica,
                                        const published_replica& published,
                                        const serving::announced_limit& announced,
                                        base::time_point call_started_at, base::time_point now) {
  if (limits_.record_answer(replica, published.incarnation, {announced.per_second, call_started_at},
                            now)) {
    pending_limits_[replica] = sends_per_change;
    unreported_changes_.push_back({self_report_change::topic::limit, replica,
                                   limits_.limit_of(replica), false, "the replica"});
  }
}

void self_report_exchange::record_drain(const base::replica_id& replica,
                                        const published_replica& published, base::time_point now) {
  const drain_registry::key draining{replica, published.process};
  if (!drains_.includes(draining)) {
    ++counts_.drain_announcements_from_replicas;
    add_drain_announcement(draining, now, "the replica", now);
  }
}

void self_report_exchange::add_drain_announcement(const drain_registry::key& draining,
                                                  base::time_point announced_at,
                                                  const std::string& source, base::time_point now) {
  if (drains_.note_drain(draining, announced_at, source, now)) {
    ++counts_.drain_announcements;
    pending_drains_[draining] = sends_per_change;
    unreported_changes_.push_back(
        {self_report_change::topic::drain, draining.replica, std::nullopt, false, source});
  }
}

void self_report_exchange::merge(const base::node_id& sender, const wire::named_limit& received,
                                 base::time_point now) {
  const base::replica_id replica(received.replica());
  const auto published = lookup_(replica);
  if (!published || published->incarnation != received.life_mark()) {
    ++counts_.limits_of_other_incarnations;
    return;
  }
  const auto before = limits_.limit_of(replica);
  if (!limits_.merge(replica, from_wire(received, now))) {
    return;
  }
  pending_limits_[replica] = sends_per_change;
  const auto known = limits_.limit_of(replica);
  if (known != before) {
    unreported_changes_.push_back(
        {self_report_change::topic::limit, replica, known, false, sender.text()});
  }
}

/// Announcements are recorded even if this node does not know the process: the published list of
/// replicas that this node has received may be older than the list of the sender.
void self_report_exchange::merge(const base::node_id& sender,
                                 const wire::replica_departure& received, base::time_point now) {
  if (received.process_mark() != 0) {
    const auto age = std::chrono::milliseconds(received.age_milliseconds());
    add_drain_announcement({base::replica_id(received.replica()), received.process_mark()},
                           now - age, sender.text(), now);
  }
}

void self_report_exchange::forget(const base::replica_id& replica) {
  limits_.forget(replica);
  pending_limits_.erase(replica);
  std::erase_if(unreadable_reported_at_,
                [&](const auto& entry) { return entry.first.first == replica; });
}

// --- messages ------------------------------------------------------------------------------------

wire::named_limit self_report_exchange::limit_message(const base::replica_id& replica,
                                                      base::time_point now) const {
  const auto* record = limits_.find(replica);
  return record == nullptr ? wire::named_limit{} : to_wire(replica, *record, now);
}

void self_report_exchange::send_to_random_peers(const wire::rate_limits& message,
                                                std::size_t receivers) {
  auto candidates = peers_;
  for (std::size_t sent = 0; sent < receivers && !candidates.empty(); ++sent) {
    wire::outgoing outgoing{base::take_random(candidates, *random_), {}};
    *outgoing.message.mutable_rate_limits() = message;
    outgoing_messages_.push_back(std::move(outgoing));
    ++counts_.sent_messages;
  }
}

void self_report_exchange::send_changes(base::time_point now) {
  if ((pending_limits_.empty() && pending_drains_.empty()) || now < next_changes_at_) {
    return;
  }
  next_changes_at_ = now + change_interval;
  wire::rate_limits message;
  visit_pending(pending_drains_, max_records_per_message, [&](const drain_registry::key& draining) {
    const auto known = drains_.all().find(draining);
    if (known != drains_.all().end()) {
      *message.add_departures() = to_wire(draining, known->second, now);
    }
  });
  visit_pending(pending_limits_, max_records_per_message, [&](const base::replica_id& replica) {
    if (const auto* record = limits_.find(replica)) {
      *message.add_limits() = to_wire(replica, *record, now);
    }
  });
  if (message.limits_size() + message.departures_size() > 0) {
    send_to_random_peers(message, fanout);
  }
}

void self_report_exchange::send_rejections(base::time_point now) {
  if (!brittle_.has_unsent() || now < next_rejections_at_) {
    return;
  }
  next_rejections_at_ = now + rejections_interval;
  brittle_.drop_expired(now);
  wire::rate_limits message;
  for (const auto& unsent : brittle_.take_unsent()) {
    auto& told = *message.add_rejections();
    told.set_replica(unsent.replica.text());
    told.set_max_rejections(unsent.max_rejections);
    told.set_count(unsent.count);
    told.set_age_milliseconds(age_in_milliseconds(unsent.last_at, now));
  }
  send_to_random_peers(message, max_rejection_receivers);
}

bool self_report_exchange::is_published(const drain_registry::key& process) const {
  const auto published = lookup_(process.replica);
  return published && published->process == process.process;
}

void self_report_exchange::refresh_drains(base::time_point now) {
  std::vector<drain_registry::key> published;
  for (const auto& [process, known] : drains_.all()) {
    if (is_published(process)) {
      published.push_back(process);
    }
  }
  for (const auto& process : published) {
    drains_.note_published(process, now);
  }
  drains_.drop_expired(now);
}

void self_report_exchange::add_limits_to_reminder(wire::rate_limits& message,
                                                  base::time_point now) {
  visit_round_robin(
      limits_.all(), last_reminded_limit_, max_records_per_message,
      [&](const auto& entry) { *message.add_limits() = to_wire(entry.first, entry.second, now); });
}

void self_report_exchange::add_drains_to_reminder(wire::rate_limits& message,
                                                  base::time_point now) {
  visit_round_robin(drains_.all(), last_reminded_drain_, max_records_per_message,
                    [&](const auto& entry) {
                      // Other nodes do not need the announcement of a process that is not
                      // published.
                      if (is_published(entry.first)) {
                        *message.add_departures() = to_wire(entry.first, entry.second, now);
                      }
                    });
}

void self_report_exchange::send_reminder(base::time_point now) {
  if ((limits_.empty() && drains_.empty()) || now < next_reminder_at_) {
    return;
  }
  next_reminder_at_ = now + reminder_interval;
  limits_.drop_lifted(now);
  refresh_drains(now);
  wire::rate_limits message;
  add_limits_to_reminder(message, now);
  add_drains_to_reminder(message, now);
  if (message.limits_size() + message.departures_size() > 0) {
    send_to_random_peers(message, reminder_fanout);
  }
}

void self_report_exchange::advance(base::time_point now) {
  send_changes(now);
  send_rejections(now);
  send_reminder(now);
}

std::optional<base::time_point> self_report_exchange::next_wakeup() const {
  std::optional<base::time_point> earliest;
  const auto consider = [&](base::time_point when) {
    earliest = earliest ? std::min(*earliest, when) : when;
  };
  if (!pending_limits_.empty() || !pending_drains_.empty()) {
    consider(next_changes_at_);
  }
  if (brittle_.has_unsent()) {
    consider(next_rejections_at_);
  }
  if (!limits_.empty() || !drains_.empty()) {
    consider(next_reminder_at_);
  }
  return earliest;
}

void self_report_exchange::handle(const base::node_id& sender, const wire::rate_limits& message,
                                  base::time_point now) {
  for (const auto& received : message.limits()) {
    merge(sender, received, now);
  }
  for (const auto& received : message.departures()) {
    merge(sender, received, now);
  }
  for (const auto& received : message.rejections()) {
    const auto age = std::chrono::milliseconds(received.age_milliseconds());
    brittle_.merge({base::replica_id(received.replica()), received.max_rejections(),
                    received.count(), now - age},
                   now);
  }
}

} // namespace spurrack::self_reports
