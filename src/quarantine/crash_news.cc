#include "quarantine/crash_news.h"

#include "base/hashing.h"

#include <algorithm>

namespace spurrack::quarantine {
namespace {

/// Nodes that are told of a first end: one may be lost or cut off, and views of the fleet differ.
constexpr std::size_t keeper_count = 3;
/// Nodes that each node passes a change on to. Of a large fleet one in 400 misses it, and hears the
/// reminder.
constexpr std::size_t fanout = 6;
/// The first change is told at once, the next after this time: with the bounds on nodes and records
/// 15 kB a second at the most, and only while replicas go on ending.
constexpr base::duration message_period = std::chrono::milliseconds(200);
/// Records in one message, 50 to 100 bytes each.
constexpr std::size_t most_records_a_message = 8;
/// A random node is reminded of what all should know; a third of the time within which nodes in
/// contact learn of each other's news.
constexpr base::duration reminder_period = std::chrono::milliseconds(1000);
/// A node that starts or was paused asks this many nodes, so often and this long apart.
constexpr std::size_t asked_at_once = 2;
constexpr std::size_t question_count = 3;
constexpr base::duration question_period = std::chrono::milliseconds(300);
/// Ends of replicas in one message, 15 bytes each: those of some seconds where a replica ends twice
/// a second.
constexpr std::size_t most_ends_a_message = 12;
/// Records that a node which asks is told.
constexpr std::size_t most_records_told = 32;

std::uint32_t age_of(base::time_point when, base::time_point now) {
  return static_cast<std::uint32_t>(std::max<std::int64_t>(0, base::to_milliseconds(now - when)));
}

void add_to(wire::replica_crash& said, const end_sighting& seen, base::time_point now) {
  said.set_replica_end(seen.end);
  said.set_age_milliseconds(age_of(seen.at, now));
  said.set_replica(seen.replica.text());
}

void add_to(wire::crash_news& news, const crash_record& record, base::time_point now) {
  auto& said = *news.add_records();
  said.set_request_digest(record.digest.bytes());
  for (const auto& seen : record.ends) {
    add_to(*said.add_crashes(), seen, now);
  }
  if (record.survived_at) {
    said.set_survived(true);
    said.set_survived_age_milliseconds(age_of(*record.survived_at, now));
  }
}

base::time_point before(base::time_point now, std::uint32_t age_milliseconds) {
  return now - std::chrono::milliseconds(age_milliseconds);
}

template <typename crash_list>
std::vector<end_sighting> ends_of(const crash_list& crashes, base::time_point now) {
  std::vector<end_sighting> ends;
  for (const auto& crash : crashes) {
    ends.push_back({crash.replica_end(), before(now, crash.age_milliseconds()),
                    base::replica_id(crash.replica())});
  }
  return ends;
}

/// @return nothing where the message holds no digest.
std::optional<crash_record> from_wire(const wire::crash_record& said, base::time_point now) {
  const auto digest = request_digest::from_bytes(said.request_digest());
  if (!digest) {
    return std::nullopt;
  }
  crash_record record;
  record.digest = *digest;
  record.ends = ends_of(said.crashes(), now);
  if (said.survived()) {
    record.survived_at = before(now, said.survived_age_milliseconds());
  }
  return record;
}

} // namespace

crash_news::crash_news(crash_ledger& ledger, base::node_id self, base::random_source& random)
    : ledger_(&ledger), self_(std::move(self)), random_(&random) {}

void crash_news::set_peers(const std::vector<serving::fleet_peer>& alive) {
  nodes_.assign({self_});
  addresses_.clear();
  for (const auto& peer : alive) {
    nodes_.push_back(peer.node);
    addresses_[peer.node] = peer.address;
  }
}

void crash_news::begin_asking(base::time_point now) {
  has_asked_ = true;
  questions_left_ = question_count;
  next_question_ = now;
}

void crash_news::ask(base::time_point now) {
  if (!has_asked_ && !addresses_.empty()) {
    begin_asking(now);
  }
  if (!next_question_ || now < *next_question_) {
    return;
  }
  --questions_left_;
  next_question_ = questions_left_ > 0 ? std::optional(now + question_period) : std::nullopt;
  for (const auto& to : random_peers(asked_at_once)) {
    wire::crash_news question;
    question.set_wants_all(true);
    send(to, std::move(question), now);
  }
}

std::vector<base::network_address> crash_news::random_peers(std::size_t count) const {
  std::vector<base::network_address> left;
  for (const auto& [node, address] : addresses_) {
    left.push_back(address);
  }
  std::vector<base::network_address> chosen;
  while (chosen.size() < count && !left.empty()) {
    chosen.push_back(base::take_random(left, *random_));
  }
  return chosen;
}

std::vector<base::network_address> crash_news::keepers_of(const request_digest& digest) const {
  std::vector<base::network_address> keepers;
  for (const auto& node : base::rendezvous_top(digest.bytes(), nodes_, keeper_count)) {
    if (node != self_) {
      keepers.push_back(addresses_.at(node));
    }
  }
  return keepers;
}

void crash_news::tell_changed(base::time_point now) {
  if (changed_.empty() || now < next_message_) {
    return;
  }
  next_message_ = now + message_period;
  std::map<base::network_address, wire::crash_news> news;
  const auto to_all = random_peers(fanout);
  for (std::size_t taken = 0; taken < most_records_a_message && !changed_.empty(); ++taken) {
    const auto* record = ledger_->find(*changed_.begin());
    if (record != nullptr) {
      for (const auto& to : record->was_shared ? to_all : keepers_of(record->digest)) {
        add_to(news[to], *record, now);
      }
    }
    changed_.erase(changed_.begin());
  }
  for (auto& [to, message] : news) {
    send(to, std::move(message), now);
  }
}

std::vector<const crash_record*> crash_news::shared_records(std::size_t most) const {
  std::vector<const crash_record*> shared;
  for (const auto& [digest, record] : ledger_->all()) {
    if (record.was_shared) {
      shared.push_back(&record);
    }
  }
  std::sort(shared.begin(), shared.end(),
            [](const auto* left, const auto* right) { return left->newest() > right->newest(); });
  shared.resize(std::min(shared.size(), most));
  return shared;
}

void crash_news::remind(base::time_point now) {
  if (now < next_reminder_ || ledger_->empty()) {
    return;
  }
  next_reminder_ = now + reminder_period;
  wire::crash_news news;
  for (const auto* record : shared_records(most_records_a_message)) {
    add_to(news, *record, now);
  }
  if (news.records_size() == 0) {
    return;
  }
  for (const auto& to : random_peers(1)) {
    send(to, news, now);
  }
}

void crash_news::send(const base::network_address& to, wire::crash_news news,
                      base::time_point now) {
  for (const auto& seen : ledger_->latest_ends(most_ends_a_message, now)) {
    add_to(*news.add_latest_ends(), seen, now);
  }
  wire::outgoing message{to, {}};
  *message.message.mutable_crash_news() = std::move(news);
  messages_.push_back(std::move(message));
  ++counts_.messages;
}

void crash_news::advance(base::time_point now) {
  ask(now);
  tell_changed(now);
  remind(now);
}

std::optional<base::time_point> crash_news::next_wakeup() const {
  std::optional<base::time_point> earliest = next_question_;
  const auto consider = [&](base::time_point when) {
    earliest = earliest ? std::min(*earliest, when) : when;
  };
  if (!changed_.empty()) {
    consider(next_message_);
  }
  if (!ledger_->empty()) {
    consider(next_reminder_);
  }
  return earliest;
}

std::vector<learned_record> crash_news::handle(const base::network_address& sender,
                                               const wire::crash_news& message,
                                               base::time_point now) {
  std::vector<learned_record> learned;
  wire::crash_news reply;
  ledger_->merge_ends(ends_of(message.latest_ends(), now), now);
  for (const auto& said : message.records()) {
    const auto record = from_wire(said, now);
    if (!record) {
      ++counts_.malformed;
      continue;
    }
    ++counts_.taken_in;
    const auto change = ledger_->merge(*record, now);
    const auto* known = ledger_->find(record->digest);
    if (change.is_refuted && known != nullptr) {
      add_to(reply, *known, now);
    }
    if (!change.is_news) {
      continue;
    }
    learned.push_back({record->digest, change.begins_quarantine});
    if (known != nullptr && known->was_shared) {
      note_changed(record->digest);
    }
  }
  if (message.wants_all()) {
    for (const auto* record : shared_records(most_records_told)) {
      add_to(reply, *record, now);
    }
  }
  if (reply.records_size() > 0) {
    send(sender, std::move(reply), now);
  }
  return learned;
}

} // namespace spurrack::quarantine
