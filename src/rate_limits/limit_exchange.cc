#include "rate_limits/limit_exchange.h"

#include "base/hashing.h"

#include <algorithm>
#include <iterator>

namespace spurrack::rate_limits {
namespace {

/// Part of a limit that is issued. With what an issuer saves up and the lifetime of a permit, the
/// sends of any ten seconds stay below the limit.
constexpr double issued_part_of_limit = 0.97;
/// Permits a second for a replica that takes less, or nothing: only an answer tells that a limit is
/// lifted.
constexpr double least_pace = 0.1;
/// Permits are asked for this often, of so many nodes at once: 4 kB a second at the most, however
/// many replicas are limited.
constexpr base::duration ask_period = std::chrono::milliseconds(50);
constexpr std::size_t most_asked = 4;
/// Nodes that each node passes a change on to, so often, and the time between: of 300 nodes one in
/// some thousands misses it, and messages may be lost.
constexpr std::size_t fanout = 4;
constexpr std::size_t times_told = 2;
constexpr base::duration tell_period = std::chrono::milliseconds(100);
/// Random nodes are reminded of what all should know: one that started, or that missed a message,
/// hears of it within the three seconds in which nodes in contact learn of each other's news.
constexpr base::duration reminder_period = std::chrono::milliseconds(1000);
constexpr std::size_t reminded_at_once = 3;
/// A limit that cannot be read is told once in this time for each replica.
constexpr base::duration unreadable_period = std::chrono::minutes(1);
/// Records in one message, about 30 bytes each.
constexpr std::size_t most_records = 16;

wire::named_limit to_wire(const base::replica_id& replica, const limit_record& record,
                          base::time_point now) {
  wire::named_limit said;
  said.set_replica(replica.text());
  said.set_life_mark(record.life);
  said.set_per_second(record.per_second.value_or(0));
  said.set_lifted(!record.per_second);
  said.set_version(record.version);
  said.set_age_milliseconds(static_cast<std::uint32_t>(
      std::max<std::int64_t>(0, base::to_milliseconds(now - record.heard_at))));
  return said;
}

limit_record from_wire(const wire::named_limit& said, base::time_point now) {
  limit_record record;
  record.life = said.life_mark();
  if (!said.lifted()) {
    record.per_second = said.per_second();
  }
  record.version = said.version();
  record.heard_at = now - std::chrono::milliseconds(said.age_milliseconds());
  return record;
}

} // namespace

limit_exchange::limit_exchange(serving::fleet_peer self, replica_lookup lookup,
                               base::random_source& random, base::incarnation life)
    : self_(std::move(self)), lookup_(std::move(lookup)), random_(&random), next_question_(life) {
  set_peers({}, 0);
}

void limit_exchange::set_peers(const std::vector<serving::fleet_peer>& alive, std::size_t known) {
  peers_.clear();
  nodes_by_zone_.clear();
  nodes_.clear();
  const auto add = [&](const serving::fleet_peer& node) {
    nodes_by_zone_[node.zone].push_back(node.node);
    nodes_.push_back(node.node);
  };
  add(self_);
  for (const auto& peer : alive) {
    add(peer);
    peers_.emplace(peer.node, peer);
  }
  const double seen = static_cast<double>(nodes_.size()) / static_cast<double>(known + 1);
  issued_part_ = seen > 0.5 ? 1 : seen;
  issuer_by_replica_.clear();
  std::erase_if(issuers_, [&](const auto& entry) { return issuer_of(entry.first) != self_.node; });
}

double limit_exchange::pace_of(double per_second) const {
  return std::max(least_pace, per_second * issued_part_of_limit * issued_part_);
}

base::node_id limit_exchange::issuer_of(const base::replica_id& replica) const {
  const auto known = issuer_by_replica_.find(replica);
  if (known != issuer_by_replica_.end()) {
    return known->second;
  }
  const auto published = lookup_(replica);
  const auto near = published ? nodes_by_zone_.find(published->zone) : nodes_by_zone_.end();
  const auto& candidates = near == nodes_by_zone_.end() ? nodes_ : near->second;
  auto chosen = base::rendezvous_top("rate_limit/" + replica.text(), candidates, 1).front();
  issuer_by_replica_.emplace(replica, chosen);
  return chosen;
}

const permit_stock* limit_exchange::stock_of(const base::replica_id& replica) const {
  const auto found = stocks_.find(replica);
  return found == stocks_.end() ? nullptr : &found->second;
}

std::size_t limit_exchange::limited() const {
  const auto& records = book_.all();
  return static_cast<std::size_t>(
      std::count_if(records.begin(), records.end(),
                    [](const auto& entry) { return entry.second.per_second.has_value(); }));
}

// --- what replicas name --------------------------------------------------------------------------

void limit_exchange::note_changed(const base::replica_id& replica, const std::string& source) {
  changed_[replica] = times_told;
  changes_.push_back({replica, {book_.limit_of(replica)}, source});
}

void limit_exchange::note_unreadable(const base::replica_id& replica, base::time_point now) {
  ++counts_.unreadable;
  const auto [told, is_first] = unreadable_told_at_.try_emplace(replica, now);
  if (is_first || now - told->second >= unreadable_period) {
    told->second = now;
    changes_.push_back({replica, {book_.limit_of(replica), true}, "the replica"});
  }
}

void limit_exchange::hear(const base::replica_id& replica, const serving::named_limit& said,
                          base::time_point call_began, base::time_point now) {
  if (said.unreadable) {
    note_unreadable(replica, now);
    return;
  }
  if (!said.per_second && book_.find(replica) == nullptr) {
    return;
  }
  const auto published = lookup_(replica);
  if (published && book_.hear(replica, published->life, {said.per_second, call_began}, now)) {
    note_changed(replica, "the replica");
  }
}

void limit_exchange::merge(const base::node_id& sender, const wire::named_limit& told,
                           base::time_point now) {
  const base::replica_id replica(told.replica());
  const auto published = lookup_(replica);
  if (!published || published->life != told.life_mark()) {
    ++counts_.of_other_lives;
    return;
  }
  const auto before = book_.limit_of(replica);
  if (!book_.merge(replica, from_wire(told, now))) {
    return;
  }
  changed_[replica] = times_told;
  if (book_.limit_of(replica) != before) {
    changes_.push_back({replica, {book_.limit_of(replica)}, sender.text()});
  }
}

void limit_exchange::forget(const base::replica_id& replica) {
  book_.forget(replica);
  stocks_.erase(replica);
  issuers_.erase(replica);
  changed_.erase(replica);
  unreadable_told_at_.erase(replica);
  issuer_by_replica_.erase(replica);
}

// --- permits -------------------------------------------------------------------------------------

bool limit_exchange::may_send(const base::replica_id& replica, base::time_point now) const {
  if (!book_.limit_of(replica)) {
    return true;
  }
  const auto* stock = stock_of(replica);
  return stock != nullptr && stock->has_permit(now);
}

void limit_exchange::note_sent(const base::replica_id& replica, base::time_point now) {
  if (!book_.limit_of(replica)) {
    return;
  }
  stocks_[replica].take(now);
  enqueue(replica);
}

void limit_exchange::note_wanted(const base::replica_id& replica, base::time_point now) {
  stocks_[replica].note_wanted(now);
  enqueue(replica);
}

void limit_exchange::note_waiting(const base::replica_id& replica, std::uint32_t count,
                                  base::time_point now) {
  stocks_[replica].note_waiting(count, now);
  enqueue(replica);
}

void limit_exchange::enqueue(const base::replica_id& replica) {
  if (is_wanted_.insert(replica).second) {
    wanted_.push_back(replica);
  }
}

void limit_exchange::ask_for(const base::replica_id& replica, std::uint32_t count,
                             message_map& messages, base::time_point now) {
  const bool is_waiting = stocks_[replica].is_waited_for(now);
  const auto issuer = issuer_of(replica);
  if (issuer == self_.node) {
    issuers_.try_emplace(replica, now)
        .first->second.take({self_.node, next_question_, count, is_waiting}, now);
    next_issue_ = now;
    return;
  }
  auto& message = messages[issuer];
  *message.add_limits() = to_wire(replica, *book_.find(replica), now);
  auto& wanted = *message.add_wanted();
  wanted.set_replica(replica.text());
  wanted.set_number(next_question_);
  wanted.set_count(count);
  wanted.set_is_waiting(is_waiting);
}

void limit_exchange::withdraw(message_map& messages, base::time_point now) {
  std::erase_if(waited_for_, [&](const base::replica_id& replica) {
    const auto stock = stocks_.find(replica);
    if (stock == stocks_.end() || !book_.limit_of(replica)) {
      return true;
    }
    const bool in_vain = stock->second.asks_in_vain(now);
    if (in_vain) {
      stock->second.note_withdrawn();
      ask_for(replica, 0, messages, now);
    }
    return in_vain || !stock->second.is_waited_for(now);
  });
}

void limit_exchange::ask(base::time_point now) {
  if ((wanted_.empty() && waited_for_.empty()) || now < next_ask_) {
    return;
  }
  next_ask_ = now + ask_period;
  message_map messages;
  withdraw(messages, now);
  std::deque<base::replica_id> later;
  for (const auto& replica : std::exchange(wanted_, {})) {
    const auto stock = stocks_.find(replica);
    const bool is_limited = stock != stocks_.end() && book_.limit_of(replica).has_value();
    const auto count = is_limited ? stock->second.to_ask(now) : 0;
    const auto issuer = issuer_of(replica);
    const bool has_room =
        messages.size() < most_asked || messages.contains(issuer) || issuer == self_.node;
    if (count > 0 && !has_room) {
      later.push_back(replica);
      continue;
    }
    is_wanted_.erase(replica);
    if (count == 0) {
      continue;
    }
    stock->second.note_asked(++next_question_, count, now);
    if (stock->second.is_waited_for(now)) {
      waited_for_.insert(replica);
    }
    ask_for(replica, count, messages, now);
  }
  wanted_ = std::move(later);
  send(std::move(messages));
}

void limit_exchange::issue(base::time_point now) {
  if (!next_issue_ || now < *next_issue_) {
    return;
  }
  next_issue_.reset();
  message_map messages;
  for (auto& [replica, issuer] : issuers_) {
    const auto limit = book_.limit_of(replica);
    if (!limit) {
      continue;
    }
    issuer.set_rate(pace_of(*limit), now);
    for (const auto& [node, grant] : issuer.issue(now)) {
      counts_.permits_issued += grant.count;
      if (node == self_.node) {
        take_permits(replica, grant, now);
        continue;
      }
      auto& granted = *messages[node].add_granted();
      granted.set_replica(replica.text());
      granted.set_number(grant.number);
      granted.set_count(grant.count);
    }
    if (const auto next = issuer.next_issue()) {
      next_issue_ = next_issue_ ? std::min(*next_issue_, *next) : *next;
    }
  }
  send(std::move(messages));
}

void limit_exchange::take_permits(const base::replica_id& replica, const permit_grant& grant,
                                  base::time_point now) {
  const auto stock = stocks_.find(replica);
  const bool is_wanted = stock != stocks_.end() && stock->second.add(grant, now);
  (is_wanted ? counts_.permits_received : counts_.permits_void) += grant.count;
}

void limit_exchange::resume_after_pause(base::time_point now) {
  for (auto& [replica, stock] : stocks_) {
    stock.clear();
  }
  for (auto& [replica, issuer] : issuers_) {
    issuer.restart(now);
  }
}

// --- messages ------------------------------------------------------------------------------------

void limit_exchange::send(message_map messages) {
  while (!messages.empty()) {
    auto next = messages.extract(messages.begin());
    const auto peer = peers_.find(next.key());
    if (peer == peers_.end()) {
      continue;
    }
    wire::outgoing message{peer->second.address, {}};
    *message.message.mutable_rate_limits() = std::move(next.mapped());
    messages_.push_back(std::move(message));
    ++counts_.messages;
  }
}

std::vector<base::node_id> limit_exchange::random_peers(std::size_t count) {
  std::vector<base::node_id> left;
  for (const auto& [node, peer] : peers_) {
    left.push_back(node);
  }
  std::vector<base::node_id> chosen;
  while (chosen.size() < count && !left.empty()) {
    chosen.push_back(base::take_random(left, *random_));
  }
  return chosen;
}

void limit_exchange::tell(base::time_point now) {
  if (changed_.empty() || now < next_tell_) {
    return;
  }
  next_tell_ = now + tell_period;
  wire::rate_limits news;
  for (auto one = changed_.begin();
       one != changed_.end() && news.limits_size() < static_cast<int>(most_records);) {
    auto& [replica, times_left] = *one;
    if (const auto* record = book_.find(replica)) {
      *news.add_limits() = to_wire(replica, *record, now);
    }
    one = --times_left == 0 ? changed_.erase(one) : std::next(one);
  }
  if (news.limits_size() == 0) {
    return;
  }
  message_map messages;
  for (const auto& node : random_peers(fanout)) {
    messages[node] = news;
  }
  send(std::move(messages));
}

void limit_exchange::remind(base::time_point now) {
  if (book_.empty() || now < next_reminder_) {
    return;
  }
  next_reminder_ = now + reminder_period;
  book_.forget_lifted(now);
  std::erase_if(stocks_, [&](const auto& entry) { return book_.find(entry.first) == nullptr; });
  const auto& records = book_.all();
  wire::rate_limits news;
  auto next = records.upper_bound(reminded_last_);
  for (std::size_t taken = 0; taken < std::min(most_records, records.size()); ++taken) {
    if (next == records.end()) {
      next = records.begin();
    }
    *news.add_limits() = to_wire(next->first, next->second, now);
    reminded_last_ = next->first;
    ++next;
  }
  if (news.limits_size() == 0) {
    return;
  }
  message_map messages;
  for (const auto& node : random_peers(reminded_at_once)) {
    messages[node] = news;
  }
  send(std::move(messages));
}

void limit_exchange::advance(base::time_point now) {
  ask(now);
  issue(now);
  tell(now);
  remind(now);
}

std::optional<base::time_point> limit_exchange::next_wakeup() const {
  std::optional<base::time_point> earliest = next_issue_;
  const auto consider = [&](base::time_point when) {
    earliest = earliest ? std::min(*earliest, when) : when;
  };
  if (!wanted_.empty() || !waited_for_.empty()) {
    consider(next_ask_);
  }
  if (!changed_.empty()) {
    consider(next_tell_);
  }
  if (!book_.empty()) {
    consider(next_reminder_);
  }
  return earliest;
}

void limit_exchange::handle(const base::node_id& sender, const wire::rate_limits& message,
                            base::time_point now) {
  for (const auto& told : message.limits()) {
    merge(sender, told, now);
  }
  for (const auto& asked : message.wanted()) {
    const base::replica_id replica(asked.replica());
    if (!book_.limit_of(replica) || issuer_of(replica) != self_.node) {
      continue;
    }
    issuers_.try_emplace(replica, now)
        .first->second.take({sender, asked.number(), asked.count(), asked.is_waiting()}, now);
    next_issue_ = now;
  }
  for (const auto& granted : message.granted()) {
    take_permits(base::replica_id(granted.replica()), {granted.number(), granted.count()}, now);
  }
}

} // namespace spurrack::rate_limits
