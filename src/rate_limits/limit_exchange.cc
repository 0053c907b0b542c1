#include "rate_limits/limit_exchange.h"

#include "base/hashing.h"

#include <algorithm>

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
/// Permits for replicas that name no limit any more are forgotten this often.
constexpr base::duration review_period = std::chrono::milliseconds(1000);

} // namespace

limit_exchange::limit_exchange(serving::fleet_peer self,
                               const replica_statements::statement_exchange& statements,
                               replica_statements::replica_lookup lookup, base::incarnation life)
    : self_(std::move(self)), statements_(&statements), lookup_(std::move(lookup)),
      next_question_(life) {
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
  const auto& records = book().all();
  return static_cast<std::size_t>(
      std::count_if(records.begin(), records.end(),
                    [](const auto& entry) { return entry.second.per_second.has_value(); }));
}

void limit_exchange::forget(const base::replica_id& replica) {
  stocks_.erase(replica);
  issuers_.erase(replica);
  issuer_by_replica_.erase(replica);
}

// --- permits -------------------------------------------------------------------------------------

bool limit_exchange::may_send(const base::replica_id& replica, base::time_point now) const {
  if (!book().limit_of(replica)) {
    return true;
  }
  const auto* stock = stock_of(replica);
  return stock != nullptr && stock->has_permit(now);
}

void limit_exchange::note_sent(const base::replica_id& replica, base::time_point now) {
  if (!book().limit_of(replica)) {
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
  *message.add_limits() = statements_->limit_message(replica, now);
  auto& wanted = *message.add_wanted();
  wanted.set_replica(replica.text());
  wanted.set_number(next_question_);
  wanted.set_count(count);
  wanted.set_is_waiting(is_waiting);
}

void limit_exchange::withdraw(message_map& messages, base::time_point now) {
  std::erase_if(waited_for_, [&](const base::replica_id& replica) {
    const auto stock = stocks_.find(replica);
    if (stock == stocks_.end() || !book().limit_of(replica)) {
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
    const bool is_limited = stock != stocks_.end() && book().limit_of(replica).has_value();
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
    const auto limit = book().limit_of(replica);
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

void limit_exchange::resume_after_suspension(base::time_point now) {
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

void limit_exchange::forget_unlimited(base::time_point now) {
  if (stocks_.empty() || now < next_review_) {
    return;
  }
  next_review_ = now + review_period;
  std::erase_if(stocks_, [&](const auto& entry) { return book().find(entry.first) == nullptr; });
}

void limit_exchange::advance(base::time_point now) {
  ask(now);
  issue(now);
  forget_unlimited(now);
}

std::optional<base::time_point> limit_exchange::next_wakeup() const {
  std::optional<base::time_point> earliest = next_issue_;
  const auto consider = [&](base::time_point when) {
    earliest = earliest ? std::min(*earliest, when) : when;
  };
  if (!wanted_.empty() || !waited_for_.empty()) {
    consider(next_ask_);
  }
  return earliest;
}

void limit_exchange::handle(const base::node_id& sender, const wire::rate_limits& message,
                            base::time_point now) {
  for (const auto& asked : message.wanted()) {
    const base::replica_id replica(asked.replica());
    if (!book().limit_of(replica) || issuer_of(replica) != self_.node) {
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
