#include "dispatch/retry_budget_exchange.h"

#include <algorithm>

namespace spurrack::serving {
namespace {

/// Peers asked at once in the own zone and elsewhere. Each lends half of what it has left at most,
/// so two that have spent nothing bring a whole repeat even where a share is little more than one.
constexpr std::size_t near_lenders = 2;
constexpr std::size_t far_lenders = 1;
/// Answers later than this are not waited for: three round trips between regions. A loan that comes
/// later serves the next request, unless the service was asked about anew since.
constexpr base::duration answer_wait = std::chrono::milliseconds(150);
/// Pause between two questions about a service. With three peers asked, a node that has spent its
/// share sends less than 2 kB a second, and a tenth of it where nobody has anything left.
constexpr base::duration shortest_pause = std::chrono::milliseconds(200);
constexpr base::duration longest_pause = std::chrono::milliseconds(3200);

/// Takes `count` of the peers by chance.
void choose_some(const std::vector<fleet_peer>& from, std::size_t count,
                 base::random_source& random, std::vector<const fleet_peer*>& chosen) {
  std::vector<std::size_t> places(from.size());
  for (std::size_t place = 0; place < places.size(); ++place) {
    places[place] = place;
  }
  for (std::size_t taken = 0; taken < count && !places.empty(); ++taken) {
    chosen.push_back(&from[base::take_random(places, random)]);
  }
}

} // namespace

retry_lending::retry_lending(retry_share& share, base::zone_id own_zone,
                             base::random_source& random, base::incarnation life)
    : share_(&share), own_zone_(std::move(own_zone)), random_(&random), life_(life) {}

void retry_lending::begin(base::time_point now) {
  if (!begun_at_) {
    begun_at_ = now;
  }
}

void retry_lending::set_peers(const std::vector<fleet_peer>& alive) {
  near_.clear();
  far_.clear();
  for (const auto& peer : alive) {
    (peer.zone == own_zone_ ? near_ : far_).push_back(peer);
  }
}

std::vector<const fleet_peer*> retry_lending::choose_lenders() {
  std::vector<const fleet_peer*> chosen;
  choose_some(near_, near_lenders, *random_, chosen);
  choose_some(far_, far_lenders + near_lenders - chosen.size(), *random_, chosen);
  return chosen;
}

bool retry_lending::is_awaiting(const std::string& service, base::time_point now) const {
  const auto found = questions_.find(service);
  return found != questions_.end() && !found->second.awaited.empty() &&
         now - found->second.asked_at < answer_wait;
}

bool retry_lending::ask(const std::string& service, std::size_t repeats, base::time_point now) {
  if (is_awaiting(service, now)) {
    return true;
  }
  auto& latest = questions_[service];
  if (latest.number != 0 && now - latest.asked_at < latest.pause) {
    return false;
  }
  const auto lenders = choose_lenders();
  const auto missing = share_->missing(service, now);
  if (lenders.empty() || missing <= 0) {
    return false;
  }
  const auto wanted = missing + static_cast<milli_retries>(repeats - 1) * one_retry;
  const bool was_in_vain = latest.number != 0 && !latest.sufficed;
  latest.pause =
      was_in_vain ? std::min<base::duration>(latest.pause * 2, longest_pause) : shortest_pause;
  latest.number = next_question_++;
  latest.asked_at = now;
  latest.sufficed = false;
  latest.awaited.clear();
  ++counts_.questions;
  for (const auto* lender : lenders) {
    latest.awaited.push_back(lender->node);
    wire::outgoing asked{lender->address, {}};
    auto& body = *asked.message.mutable_retry_lending();
    body.set_question(latest.number);
    body.set_borrower_life(life_);
    body.mutable_asked()->set_service(service);
    body.mutable_asked()->set_thousandths(static_cast<std::uint32_t>(wanted));
    messages_.push_back(std::move(asked));
  }
  return true;
}

void retry_lending::handle(const base::node_id& sender, const base::network_address& address,
                           const wire::retry_lending& message, base::time_point now) {
  if (message.has_asked()) {
    lend(address, message, now);
  } else if (message.has_lent()) {
    take_loan(sender, message, now);
  }
}

void retry_lending::lend(const base::network_address& borrower, const wire::retry_lending& asked,
                         base::time_point now) {
  const bool may_lend = begun_at_ && now - *begun_at_ >= share_->window() + transfer_lifetime;
  const auto given =
      may_lend ? share_->lend(asked.asked().service(), asked.asked().thousandths(), now) : 0;
  counts_.sent_milli_retries += static_cast<std::uint64_t>(given);
  wire::outgoing answer{borrower, {}};
  auto& body = *answer.message.mutable_retry_lending();
  body.set_question(asked.question());
  body.set_borrower_life(asked.borrower_life());
  body.mutable_lent()->set_service(asked.asked().service());
  body.mutable_lent()->set_thousandths(static_cast<std::uint32_t>(given));
  messages_.push_back(std::move(answer));
}

void retry_lending::take_loan(const base::node_id& lender, const wire::retry_lending& answer,
                              base::time_point now) {
  const auto found = questions_.find(answer.lent().service());
  if (answer.borrower_life() != life_ || found == questions_.end() ||
      found->second.number != answer.question()) {
    return;
  }
  auto& latest = found->second;
  const auto waited_for = std::find(latest.awaited.begin(), latest.awaited.end(), lender);
  if (waited_for == latest.awaited.end()) {
    return;
  }
  latest.awaited.erase(waited_for);
  // The lender counts from when it heard the question, which was later than this.
  const base::time_point usable_until = latest.asked_at + transfer_lifetime;
  const auto amount = static_cast<milli_retries>(answer.lent().thousandths());
  if (amount == 0 || usable_until < now) {
    return;
  }
  counts_.received_milli_retries += answer.lent().thousandths();
  share_->add_loan(answer.lent().service(), amount, usable_until);
  latest.sufficed = latest.sufficed || share_->missing(answer.lent().service(), now) == 0;
}

} // namespace spurrack::serving
