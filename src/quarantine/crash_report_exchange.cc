#include "quarantine/crash_report_exchange.h"

#include <algorithm>
#include <iterator>

namespace spurrack::quarantine {
namespace {

/// Number of aggregators of a request: nodes that combine the exits that all nodes observed under
/// the request. More than one, since an aggregator may be down or partitioned, and nodes with
/// different views of the fleet choose different aggregators.
constexpr std::size_t aggregator_count = 3;
/// Number of random nodes to which each node forwards a change of a record. In a large fleet, one
/// node in 400 misses the change and receives it with a reminder.
constexpr std::size_t fanout = 6;
/// Minimum time between two batches of changed records that a node sends; a change that follows a
/// longer pause is sent at once. `fanout` and `max_records_per_message` limit the changes that a
/// node sends to 15 kB per second, and changes are sent only while replicas continue to exit.
constexpr base::duration change_interval = std::chrono::milliseconds(200);
/// Maximum number of records, of 50 to 100 bytes each, in one message with changes or one reminder.
constexpr std::size_t max_records_per_message = 8;
/// Time between two reminders of a node, each sent to one random node. It is a third of the three
/// seconds within which nodes in contact are to learn of each other's crash reports.
constexpr base::duration reminder_interval = std::chrono::milliseconds(1000);
/// Number of random nodes that a node queries, in each round of queries, for the records that it
/// missed.
constexpr std::size_t query_fanout = 2;
/// Number of rounds of queries for missed records after a node started or its process was
/// suspended.
constexpr std::size_t query_count = 3;
/// Time between two rounds of queries for missed records.
constexpr base::duration query_interval = std::chrono::milliseconds(300);
/// Maximum number of exits, of 15 bytes each, that a message carries beside its records. If two
/// replicas exit per second, these are the exits of the last six seconds.
constexpr std::size_t max_exits_per_message = 12;
/// Maximum number of disproved suspicions that a message carries, and the time for which they are
/// sent.
constexpr std::size_t max_disproved_per_message = 12;
constexpr base::duration disproved_report_time = std::chrono::seconds(5);
/// Maximum number of records in the reply to a node that queries missed records.
constexpr std::size_t max_records_per_reply = 32;

std::uint32_t age_of(base::time_point when, base::time_point now) {
  return static_cast<std::uint32_t>(std::max<std::int64_t>(0, base::to_milliseconds(now - when)));
}

void add_to(wire::replica_crash& wire_record, const exit_observation& observation,
            base::time_point now) {
  wire_record.set_replica_end(observation.exit);
  wire_record.set_age_milliseconds(age_of(observation.at, now));
  wire_record.set_replica(observation.replica.text());
  if (observation.call_started_at != base::time_point{}) {
    wire_record.set_call_milliseconds(1 + age_of(observation.call_started_at, observation.at));
  }
  wire_record.set_request(observation.request);
}

void add_to(wire::replica_crash& wire_record, const suspected_exit& suspicion,
            base::time_point now) {
  wire_record.set_replica_end(suspicion.exit);
  wire_record.set_replica(suspicion.replica.text());
  wire_record.set_age_milliseconds(age_of(suspicion.silent_since, now));
  wire_record.set_call_milliseconds(1 + age_of(suspicion.call_started_at, suspicion.silent_since));
  wire_record.set_noted_age_milliseconds(age_of(suspicion.noted_at, now));
}

void add_to(wire::crash_news& report, const crash_record& record, const suspected_exits& suspected,
            base::time_point now) {
  auto& wire_record = *report.add_records();
  wire_record.set_request_digest(record.digest.bytes());
  wire_record.set_suspect(record.kind == suspect_kind::request ? wire::SUSPECT_REQUEST
                                                               : wire::SUSPECT_PROMPT_PART);
  for (const auto& observation : record.exits) {
    add_to(*wire_record.add_crashes(), observation, now);
  }
  wire_record.set_was_suspected(record.was_suspected);
  for (const auto& key : record.suspected) {
    const auto found = suspected.all().find(key);
    if (found != suspected.all().end()) {
      add_to(*wire_record.add_suspected(), found->second, now);
    }
  }
  if (record.survived_at) {
    wire_record.set_survived(true);
    wire_record.set_survived_age_milliseconds(age_of(*record.survived_at, now));
  }
}

base::time_point time_at_age(base::time_point now, std::uint32_t age_milliseconds) {
  return now - std::chrono::milliseconds(age_milliseconds);
}

template <typename crash_list>
std::vector<exit_observation> exits_from_wire(const crash_list& crashes, base::time_point now) {
  std::vector<exit_observation> exits;
  for (const auto& crash : crashes) {
    exit_observation exit{crash.replica_end(), time_at_age(now, crash.age_milliseconds()),
                          base::replica_id(crash.replica())};
    if (crash.call_milliseconds() > 0) {
      exit.call_started_at = time_at_age(exit.at, crash.call_milliseconds() - 1);
    }
    exit.request = crash.request();
    exits.push_back(std::move(exit));
  }
  return exits;
}

suspected_exit suspicion_from_wire(const wire::replica_crash& wire_record, base::time_point now) {
  suspected_exit suspicion;
  suspicion.exit = wire_record.replica_end();
  suspicion.replica = base::replica_id(wire_record.replica());
  suspicion.silent_since = time_at_age(now, wire_record.age_milliseconds());
  const auto call_time = std::max<std::uint32_t>(1, wire_record.call_milliseconds()) - 1;
  suspicion.call_started_at = time_at_age(suspicion.silent_since, call_time);
  suspicion.noted_at = time_at_age(now, wire_record.noted_age_milliseconds());
  return suspicion;
}

/// @return std::nullopt if the record holds no valid digest.
std::optional<crash_record> from_wire(const wire::crash_record& wire_record, base::time_point now) {
  const auto digest = suspect_digest::from_bytes(wire_record.request_digest());
  if (!digest) {
    return std::nullopt;
  }
  crash_record record;
  record.digest = *digest;
  record.kind = wire_record.suspect() == wire::SUSPECT_PROMPT_PART ? suspect_kind::prompt_part
                                                                   : suspect_kind::request;
  record.was_suspected = wire_record.was_suspected();
  record.exits = exits_from_wire(wire_record.crashes(), now);
  if (wire_record.survived()) {
    record.survived_at = time_at_age(now, wire_record.survived_age_milliseconds());
  }
  return record;
}

} // namespace

crash_report_exchange::crash_report_exchange(crash_registry& registry, base::node_id self,
                                             base::random_source& random)
    : registry_(&registry), random_(&random), nodes_(std::move(self)) {}

void crash_report_exchange::begin_queries(base::time_point now) {
  has_queried_ = true;
  queries_left_ = query_count;
  next_query_at_ = now;
}

void crash_report_exchange::send_queries(base::time_point now) {
  if (!has_queried_ && !nodes_.addresses().empty()) {
    begin_queries(now);
  }
  if (!next_query_at_ || now < *next_query_at_) {
    return;
  }
  --queries_left_;
  next_query_at_ = queries_left_ > 0 ? std::optional(now + query_interval) : std::nullopt;
  for (const auto& to : random_peers(query_fanout)) {
    wire::crash_news query;
    query.set_wants_all(true);
    send(to, std::move(query), now);
  }
}

std::vector<base::network_address> crash_report_exchange::random_peers(std::size_t count) const {
  std::vector<base::network_address> candidates;
  for (const auto& [node, address] : nodes_.addresses()) {
    candidates.push_back(address);
  }
  std::vector<base::network_address> chosen;
  while (chosen.size() < count && !candidates.empty()) {
    chosen.push_back(base::take_random(candidates, *random_));
  }
  return chosen;
}

std::vector<base::network_address>
crash_report_exchange::aggregators_of(const suspect_digest& digest) const {
  std::vector<base::network_address> aggregators;
  for (const auto& node : nodes_.ranked(digest, aggregator_count)) {
    if (node != nodes_.self()) {
      aggregators.push_back(nodes_.addresses().at(node));
    }
  }
  return aggregators;
}

std::vector<const crash_record*> crash_report_exchange::take_changed_records(std::size_t most) {
  std::vector<const crash_record*> changed;
  for (const auto& digest : changed_digests_) {
    if (const auto* record = registry_->find(digest)) {
      changed.push_back(record);
    }
  }
  // One exit of a replica changes the records of all that it ran; suspects with more exits go
  // first.
  std::stable_sort(changed.begin(), changed.end(), [](const auto* left, const auto* right) {
    return left->exits.size() > right->exits.size();
  });
  const auto left_over =
      changed.begin() + static_cast<std::ptrdiff_t>(std::min(most, changed.size()));
  changed_digests_.clear();
  for (auto next = left_over; next != changed.end(); ++next) {
    changed_digests_.insert((*next)->digest);
  }
  changed.erase(left_over, changed.end());
  return changed;
}

void crash_report_exchange::send_changes(base::time_point now) {
  if (changed_digests_.empty() || now < next_changes_at_) {
    return;
  }
  next_changes_at_ = now + change_interval;
  std::map<base::network_address, wire::crash_news> reports;
  const auto gossip_receivers = random_peers(fanout);
  for (const auto* record : take_changed_records(max_records_per_message)) {
    for (const auto& to :
         record->was_broadcast ? gossip_receivers : aggregators_of(record->digest)) {
      add_to(reports[to], *record, registry_->suspected(), now);
    }
  }
  for (auto& [to, message] : reports) {
    send(to, std::move(message), now);
  }
}

std::vector<const crash_record*> crash_report_exchange::broadcast_records(std::size_t most) const {
  std::vector<const crash_record*> broadcast;
  for (const auto& [digest, record] : registry_->all()) {
    if (record.was_broadcast) {
      broadcast.push_back(&record);
    }
  }
  std::sort(broadcast.begin(), broadcast.end(), [](const auto* left, const auto* right) {
    return left->last_update_at() > right->last_update_at();
  });
  broadcast.resize(std::min(broadcast.size(), most));
  return broadcast;
}

void crash_report_exchange::send_reminder(base::time_point now) {
  if (now < next_reminder_at_ || registry_->empty()) {
    return;
  }
  next_reminder_at_ = now + reminder_interval;
  wire::crash_news reminder;
  for (const auto* record : broadcast_records(max_records_per_message)) {
    add_to(reminder, *record, registry_->suspected(), now);
  }
  if (reminder.records_size() == 0) {
    return;
  }
  for (const auto& to : random_peers(1)) {
    send(to, reminder, now);
  }
}

void crash_report_exchange::send(const base::network_address& to, wire::crash_news report,
                                 base::time_point now) {
  for (const auto& observation : registry_->latest_exits(max_exits_per_message, now)) {
    add_to(*report.add_latest_ends(), observation, now);
  }
  for (const auto& disproved : registry_->suspected().latest_disproved(max_disproved_per_message)) {
    if (now - disproved.heard_at < disproved_report_time) {
      auto& told = *report.add_disproved();
      told.set_replica_end(disproved.exit);
      told.set_age_milliseconds(age_of(disproved.heard_at, now));
      if (disproved.call_started_at != base::time_point{}) {
        told.set_call_milliseconds(1 + age_of(disproved.call_started_at, disproved.heard_at));
      }
    }
  }
  wire::outgoing message{to, {}};
  *message.message.mutable_crash_news() = std::move(report);
  outgoing_messages_.push_back(std::move(message));
  ++counts_.sent_messages;
}

void crash_report_exchange::send_at_once(const suspect_digest& digest, base::time_point now) {
  const auto* record = registry_->find(digest);
  if (record == nullptr) {
    return;
  }
  for (const auto& to : aggregators_of(digest)) {
    wire::crash_news report;
    add_to(report, *record, registry_->suspected(), now);
    send(to, std::move(report), now);
  }
}

void crash_report_exchange::advance(base::time_point now) {
  send_queries(now);
  send_changes(now);
  send_reminder(now);
}

std::optional<base::time_point> crash_report_exchange::next_wakeup() const {
  std::optional<base::time_point> earliest = next_query_at_;
  const auto consider = [&](base::time_point when) {
    earliest = earliest ? std::min(*earliest, when) : when;
  };
  if (!changed_digests_.empty()) {
    consider(next_changes_at_);
  }
  if (!registry_->empty()) {
    consider(next_reminder_at_);
  }
  return earliest;
}

std::vector<learned_record> crash_report_exchange::handle(const base::network_address& sender,
                                                          const wire::crash_news& message,
                                                          base::time_point now) {
  std::vector<learned_record> learned;
  wire::crash_news reply;
  const auto note_told = [&](const std::vector<exit_observation>& exits) {
    std::copy_if(exits.begin(), exits.end(), std::back_inserter(told_exits_),
                 [](const exit_observation& told) { return told.is_timed(); });
  };
  const auto latest_exits = exits_from_wire(message.latest_ends(), now);
  registry_->merge_exits(latest_exits, now);
  note_told(latest_exits);
  for (const auto& told : message.disproved()) {
    disproved_exit disproved{told.replica_end(), {}, time_at_age(now, told.age_milliseconds())};
    if (told.call_milliseconds() > 0) {
      disproved.call_started_at = time_at_age(disproved.heard_at, told.call_milliseconds() - 1);
    }
    for (const auto& digest : registry_->disprove_suspected(disproved)) {
      learned.push_back({digest, false});
    }
  }
  for (const auto& wire_record : message.records()) {
    const auto record = from_wire(wire_record, now);
    if (!record) {
      ++counts_.malformed_records;
      continue;
    }
    ++counts_.received_records;
    note_told(record->exits);
    auto change = registry_->merge(*record, now);
    bool is_suspected = false;
    for (const auto& wire_suspicion : wire_record.suspected()) {
      const auto suspicion = suspicion_from_wire(wire_suspicion, now);
      const auto noted =
          registry_->note_suspected({record->digest, suspect_kind::request}, suspicion);
      is_suspected = is_suspected || noted.has_new_information;
    }
    change.has_new_information = change.has_new_information || is_suspected;
    const auto* known = registry_->find(record->digest);
    if (change.is_refuted && known != nullptr) {
      add_to(reply, *known, registry_->suspected(), now);
    }
    if (!change.has_new_information) {
      continue;
    }
    learned.push_back({record->digest, change.begins_quarantine, is_suspected});
    if (known != nullptr && known->was_broadcast) {
      note_changed(record->digest);
    }
  }
  if (message.wants_all()) {
    for (const auto* record : broadcast_records(max_records_per_reply)) {
      add_to(reply, *record, registry_->suspected(), now);
    }
  }
  if (reply.records_size() > 0) {
    send(sender, std::move(reply), now);
  }
  return learned;
}

} // namespace spurrack::quarantine
