#include "dispatch/retry_budget_exchange.h"

#include <algorithm>

namespace spurrack::serving {
namespace {

/// Numbers of peers to which one query is sent: `nearby_donors` peers in this node's zone and
/// `remote_donors` peers in other zones. If this node's zone has too few peers, more peers in other
/// zones are queried instead. Each peer transfers at most half of its remaining budget. Two peers
/// with unspent budgets therefore suffice for a whole retry, even if the budget of one node is
/// little more than one retry.
constexpr std::size_t nearby_donors = 2;
constexpr std::size_t remote_donors = 1;
/// Time for which requests wait for answers to a query: three round trips between regions. A
/// transfer that arrives later serves the next request, unless a newer query about the service was
/// sent in the meantime.
constexpr base::duration answer_timeout = std::chrono::milliseconds(150);
/// Minimum and maximum interval between two queries about a service. With three peers per query, a
/// node that has spent its budget sends less than 2 kB a second, and a tenth of that if no peer has
/// budget left.
constexpr base::duration shortest_query_interval = std::chrono::milliseconds(200);
constexpr base::duration longest_query_interval = std::chrono::milliseconds(3200);

/// Appends up to `count` randomly drawn peers to `chosen`.
void choose_random_peers(const std::vector<fleet_peer>& peers, std::size_t count,
                         base::random_source& random, std::vector<const fleet_peer*>& chosen) {
  std::vector<std::size_t> indexes(peers.size());
  for (std::size_t index = 0; index < indexes.size(); ++index) {
    indexes[index] = index;
  }
  for (std::size_t drawn = 0; drawn < count && !indexes.empty(); ++drawn) {
    chosen.push_back(&peers[base::take_random(indexes, random)]);
  }
}

} // namespace

retry_budget_exchange::retry_budget_exchange(retry_budget& budget, base::zone_id own_zone,
                                             base::random_source& random,
                                             base::incarnation incarnation)
    : budget_(&budget), own_zone_(std::move(own_zone)), random_(&random),
      incarnation_(incarnation) {}

void retry_budget_exchange::start(base::time_point now) {
  if (!started_at_) {
    started_at_ = now;
  }
}

void retry_budget_exchange::set_peers(const std::vector<fleet_peer>& alive) {
  nearby_peers_.clear();
  remote_peers_.clear();
  for (const auto& peer : alive) {
    (peer.zone == own_zone_ ? nearby_peers_ : remote_peers_).push_back(peer);
  }
}

std::vector<const fleet_peer*> retry_budget_exchange::choose_donors() {
  std::vector<const fleet_peer*> chosen;
  choose_random_peers(nearby_peers_, nearby_donors, *random_, chosen);
  choose_random_peers(remote_peers_, remote_donors + nearby_donors - chosen.size(), *random_,
                      chosen);
  return chosen;
}

bool retry_budget_exchange::is_awaiting_answers(const std::string& service,
                                                base::time_point now) const {
  const auto found = queries_.find(service);
  return found != queries_.end() && !found->second.awaited_donors.empty() &&
         now - found->second.sent_at < answer_timeout;
}

bool retry_budget_exchange::query_peers(const std::string& service, std::size_t retries,
                                        base::time_point now) {
  if (is_awaiting_answers(service, now)) {
    return true;
  }
  auto& latest = queries_[service];
  if (latest.number != 0 && now - latest.sent_at < latest.interval) {
    return false;
  }
  const auto donors = choose_donors();
  const auto shortfall = budget_->shortfall(service, now);
  if (donors.empty() || shortfall <= 0) {
    return false;
  }
  const auto requested = shortfall + static_cast<milli_retries>(retries - 1) * one_retry;
  const bool previous_was_insufficient = latest.number != 0 && !latest.is_sufficient;
  latest.interval = previous_was_insufficient
                        ? std::min<base::duration>(latest.interval * 2, longest_query_interval)
                        : shortest_query_interval;
  latest.number = next_query_number_++;
  latest.sent_at = now;
  latest.is_sufficient = false;
  latest.awaited_donors.clear();
  ++counts_.queries;
  for (const auto* donor : donors) {
    latest.awaited_donors.push_back(donor->node);
    wire::outgoing message{donor->address, {}};
    auto& body = *message.message.mutable_retry_lending();
    body.set_question(latest.number);
    body.set_borrower_life(incarnation_);
    body.mutable_asked()->set_service(service);
    body.mutable_asked()->set_thousandths(static_cast<std::uint32_t>(requested));
    messages_.push_back(std::move(message));
  }
  return true;
}

void retry_budget_exchange::handle(const base::node_id& sender,
                                   const base::network_address& address,
                                   const wire::retry_lending& message, base::time_point now) {
  if (message.has_asked()) {
    answer_query(address, message, now);
  } else if (message.has_lent()) {
    receive_transfer(sender, message, now);
  }
}

void retry_budget_exchange::answer_query(const base::network_address& recipient,
                                         const wire::retry_lending& query, base::time_point now) {
  const bool may_transfer =
      started_at_ && now - *started_at_ >= budget_->window() + transfer_lifetime;
  const auto granted =
      may_transfer ? budget_->donate(query.asked().service(), query.asked().thousandths(), now) : 0;
  counts_.sent_milli_retries += static_cast<std::uint64_t>(granted);
  wire::outgoing answer{recipient, {}};
  auto& body = *answer.message.mutable_retry_lending();
  body.set_question(query.question());
  body.set_borrower_life(query.borrower_life());
  body.mutable_lent()->set_service(query.asked().service());
  body.mutable_lent()->set_thousandths(static_cast<std::uint32_t>(granted));
  messages_.push_back(std::move(answer));
}

void retry_budget_exchange::receive_transfer(const base::node_id& donor,
                                             const wire::retry_lending& answer,
                                             base::time_point now) {
  const auto found = queries_.find(answer.lent().service());
  if (answer.borrower_life() != incarnation_ || found == queries_.end() ||
      found->second.number != answer.question()) {
    return;
  }
  auto& latest = found->second;
  const auto answered_donor =
      std::find(latest.awaited_donors.begin(), latest.awaited_donors.end(), donor);
  if (answered_donor == latest.awaited_donors.end()) {
    return;
  }
  latest.awaited_donors.erase(answered_donor);
  // The lifetime of the transfer starts when this node sent the query. The donor starts to count
  // the transfer later, when the query arrives, and therefore still counts it in every window in
  // which this node spends it.
  const base::time_point expires_at = latest.sent_at + transfer_lifetime;
  const auto amount = static_cast<milli_retries>(answer.lent().thousandths());
  if (amount == 0 || expires_at < now) {
    return;
  }
  counts_.received_milli_retries += answer.lent().thousandths();
  budget_->add_transfer(answer.lent().service(), amount, expires_at);
  latest.is_sufficient =
      latest.is_sufficient || budget_->shortfall(answer.lent().service(), now) == 0;
}

} // namespace spurrack::serving
