#include "rate_limits/limit_exchange.h"

#include "base/hashing.h"

#include <algorithm>

namespace spurrack::rate_limits {
namespace {

/// Fraction of a replica's limit for which permits are issued. The rest is a margin for two kinds
/// of permits: those that an issuer accumulates, and those that are spent only at the end of their
/// lifetime. The margin keeps the sends of any ten seconds below the limit.
constexpr double issued_fraction_of_limit = 0.97;
/// Lowest rate at which permits are issued, in permits per second. It also applies if the replica
/// accepts fewer requests or none: only an answer of the replica shows that its limit is lifted.
constexpr double min_issue_rate = 0.1;
/// Interval between rounds of queries to issuers, and maximum number of issuers that a node queries
/// in one round. They limit the queries of a node to 4 kB/s, whatever the number of limited
/// replicas.
constexpr base::duration query_interval = std::chrono::milliseconds(50);
constexpr std::size_t max_queried_nodes = 4;
/// Interval between removals of permits for replicas that no longer announce a limit.
constexpr base::duration cleanup_interval = std::chrono::milliseconds(1000);

} // namespace

limit_exchange::limit_exchange(serving::fleet_peer self,
                               const self_reports::self_report_exchange& reports,
                               self_reports::replica_lookup lookup, base::incarnation incarnation)
    : self_(std::move(self)), self_reports_(&reports), lookup_(std::move(lookup)),
      query_number_(incarnation) {
  set_peers({}, 0);
}

void limit_exchange::set_peers(const std::vector<serving::fleet_peer>& alive,
                               std::size_t known_peers) {
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
  const double visible_fraction =
      static_cast<double>(nodes_.size()) / static_cast<double>(known_peers + 1);
  issued_fraction_ = visible_fraction > 0.5 ? 1 : visible_fraction;
  issuer_by_replica_.clear();
  std::erase_if(issuers_, [&](const auto& entry) { return issuer_of(entry.first) != self_.node; });
}

double limit_exchange::issue_rate_of(double per_second) const {
  return std::max(min_issue_rate, per_second * issued_fraction_of_limit * issued_fraction_);
}

base::node_id limit_exchange::issuer_of(const base::replica_id& replica) const {
  const auto cached = issuer_by_replica_.find(replica);
  if (cached != issuer_by_replica_.end()) {
    return cached->second;
  }
  const auto published = lookup_(replica);
  const auto same_zone = published ? nodes_by_zone_.find(published->zone) : nodes_by_zone_.end();
  const auto& candidates = same_zone == nodes_by_zone_.end() ? nodes_ : same_zone->second;
  auto issuer = base::rendezvous_top("rate_limit/" + replica.text(), candidates, 1).front();
  issuer_by_replica_.emplace(replica, issuer);
  return issuer;
}

const permit_stock* limit_exchange::stock_of(const base::replica_id& replica) const {
  const auto found = stocks_.find(replica);
  return found == stocks_.end() ? nullptr : &found->second;
}

std::size_t limit_exchange::limited_replicas() const {
  const auto& records = announced_limits().all();
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
  if (!announced_limits().limit_of(replica)) {
    return true;
  }
  const auto* stock = stock_of(replica);
  return stock != nullptr && stock->has_permit(now);
}

void limit_exchange::note_sent(const base::replica_id& replica, base::time_point now) {
  if (!announced_limits().limit_of(replica)) {
    return;
  }
  stocks_[replica].note_sent(now);
  enqueue_query(replica);
}

void limit_exchange::note_unmet_demand(const base::replica_id& replica, base::time_point now) {
  stocks_[replica].note_unmet_demand(now);
  enqueue_query(replica);
}

void limit_exchange::note_waiting(const base::replica_id& replica, std::uint32_t count,
                                  base::time_point now) {
  stocks_[replica].note_waiting(count, now);
  enqueue_query(replica);
}

void limit_exchange::enqueue_query(const base::replica_id& replica) {
  if (queued_replicas_.insert(replica).second) {
    replicas_to_query_.push_back(replica);
  }
}

void limit_exchange::add_query(const base::replica_id& replica, std::uint32_t count,
                               message_map& messages, base::time_point now) {
  const bool has_waiting_requests = stocks_[replica].has_waiting_requests(now);
  const auto issuer = issuer_of(replica);
  if (issuer == self_.node) {
    issuers_.try_emplace(replica, now)
        .first->second.record_query({self_.node, query_number_, count, has_waiting_requests}, now);
    next_issue_at_ = now;
    return;
  }
  auto& message = messages[issuer];
  *message.add_limits() = self_reports_->limit_message(replica, now);
  auto& wanted = *message.add_wanted();
  wanted.set_replica(replica.text());
  wanted.set_number(query_number_);
  wanted.set_count(count);
  wanted.set_is_waiting(has_waiting_requests);
}

void limit_exchange::withdraw_queries(message_map& messages, base::time_point now) {
  std::erase_if(replicas_with_waiting_requests_, [&](const base::replica_id& replica) {
    const auto stock = stocks_.find(replica);
    if (stock == stocks_.end() || !announced_limits().limit_of(replica)) {
      return true;
    }
    const bool is_unneeded = stock->second.has_unneeded_query(now);
    if (is_unneeded) {
      stock->second.note_query_withdrawn();
      add_query(replica, 0, messages, now);
    }
    return is_unneeded || !stock->second.has_waiting_requests(now);
  });
}

void limit_exchange::query_issuers(base::time_point now) {
  if ((replicas_to_query_.empty() && replicas_with_waiting_requests_.empty()) ||
      now < next_query_at_) {
    return;
  }
  next_query_at_ = now + query_interval;
  message_map messages;
  withdraw_queries(messages, now);
  std::deque<base::replica_id> deferred;
  for (const auto& replica : std::exchange(replicas_to_query_, {})) {
    const auto stock = stocks_.find(replica);
    const bool is_limited =
        stock != stocks_.end() && announced_limits().limit_of(replica).has_value();
    const auto count = is_limited ? stock->second.permits_to_request(now) : 0;
    const auto issuer = issuer_of(replica);
    const bool has_capacity =
        messages.size() < max_queried_nodes || messages.contains(issuer) || issuer == self_.node;
    if (count > 0 && !has_capacity) {
      deferred.push_back(replica);
      continue;
    }
    queued_replicas_.erase(replica);
    if (count == 0) {
      continue;
    }
    stock->second.note_query_sent(++query_number_, count, now);
    if (stock->second.has_waiting_requests(now)) {
      replicas_with_waiting_requests_.insert(replica);
    }
    add_query(replica, count, messages, now);
  }
  replicas_to_query_ = std::move(deferred);
  send(std::move(messages));
}

void limit_exchange::issue_permits(base::time_point now) {
  if (!next_issue_at_ || now < *next_issue_at_) {
    return;
  }
  next_issue_at_.reset();
  message_map messages;
  for (auto& [replica, issuer] : issuers_) {
    const auto limit = announced_limits().limit_of(replica);
    if (!limit) {
      continue;
    }
    issuer.set_rate(issue_rate_of(*limit), now);
    for (const auto& [node, grant] : issuer.issue(now)) {
      counts_.permits_issued += grant.count;
      if (node == self_.node) {
        record_grant(replica, grant, now);
        continue;
      }
      auto& granted = *messages[node].add_granted();
      granted.set_replica(replica.text());
      granted.set_number(grant.number);
      granted.set_count(grant.count);
    }
    if (const auto next = issuer.next_issue_at()) {
      next_issue_at_ = next_issue_at_ ? std::min(*next_issue_at_, *next) : *next;
    }
  }
  send(std::move(messages));
}

void limit_exchange::record_grant(const base::replica_id& replica, const permit_grant& grant,
                                  base::time_point now) {
  const auto stock = stocks_.find(replica);
  const bool answers_query = stock != stocks_.end() && stock->second.add(grant, now);
  (answers_query ? counts_.permits_received : counts_.permits_expired) += grant.count;
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

void limit_exchange::forget_stocks_without_limit(base::time_point now) {
  if (stocks_.empty() || now < next_cleanup_at_) {
    return;
  }
  next_cleanup_at_ = now + cleanup_interval;
  std::erase_if(stocks_,
                [&](const auto& entry) { return announced_limits().find(entry.first) == nullptr; });
}

void limit_exchange::advance(base::time_point now) {
  query_issuers(now);
  issue_permits(now);
  forget_stocks_without_limit(now);
}

std::optional<base::time_point> limit_exchange::next_wakeup() const {
  std::optional<base::time_point> earliest = next_issue_at_;
  const auto consider = [&](base::time_point at) {
    earliest = earliest ? std::min(*earliest, at) : at;
  };
  if (!replicas_to_query_.empty() || !replicas_with_waiting_requests_.empty()) {
    consider(next_query_at_);
  }
  return earliest;
}

void limit_exchange::handle(const base::node_id& sender, const wire::rate_limits& message,
                            base::time_point now) {
  for (const auto& query : message.wanted()) {
    const base::replica_id replica(query.replica());
    if (!announced_limits().limit_of(replica) || issuer_of(replica) != self_.node) {
      continue;
    }
    issuers_.try_emplace(replica, now)
        .first->second.record_query({sender, query.number(), query.count(), query.is_waiting()},
                                    now);
    next_issue_at_ = now;
  }
  for (const auto& granted : message.granted()) {
    record_grant(base::replica_id(granted.replica()), {granted.number(), granted.count()}, now);
  }
}

} // namespace spurrack::rate_limits
