#include "dispatch/relay_exchange.h"

#include <algorithm>

namespace spurrack::serving {
namespace {

/// Interval between two questions while this node suspects a partition.
constexpr base::duration question_interval = std::chrono::milliseconds(400);
/// Maximum number of nodes that are asked at once; they are drawn at random.
constexpr std::size_t max_asked_nodes = 8;
/// Time for which an answer is used: two questions may be lost.
constexpr base::duration offer_lifetime = std::chrono::milliseconds(1500);

} // namespace

void relay_exchange::send(const base::network_address& to, const wire::relay_offer& content) {
  wire::outgoing message{to, {}};
  *message.message.mutable_relay_offer() = content;
  messages_.push_back(std::move(message));
}

void relay_exchange::advance(bool is_wanted, base::time_point now) {
  if (!is_wanted) {
    offers_.clear();
    return;
  }
  if (now < next_question_at_) {
    return;
  }
  next_question_at_ = now + question_interval;
  wire::relay_offer question;
  question.set_is_wanted(true);
  auto candidates = peers_;
  for (std::size_t asked = 0; asked < max_asked_nodes && !candidates.empty(); ++asked) {
    send(base::take_random(candidates, *random_).address, question);
  }
}

bool relay_exchange::handle(const base::node_id& sender, const base::network_address& address,
                            const wire::relay_offer& message, bool hears_replicas,
                            base::time_point now) {
  if (message.is_wanted()) {
    if (hears_replicas && !own_client_address_.empty()) {
      wire::relay_offer answer;
      answer.set_client_address(own_client_address_.text());
      send(address, answer);
    }
    return false;
  }
  const auto peer = std::find_if(peers_.begin(), peers_.end(),
                                 [&](const fleet_peer& known) { return known.node == sender; });
  if (peer == peers_.end() || message.client_address().empty()) {
    return false;
  }
  offers_[sender] = {{sender, peer->zone, base::network_address(message.client_address())}, now};
  return true;
}

std::optional<relay> relay_exchange::choose(const model::residency& permitted_regions,
                                            const model::zone_regions& regions,
                                            base::time_point now) {
  std::erase_if(
      offers_, [&](const auto& entry) { return now - entry.second.received_at >= offer_lifetime; });
  std::optional<relay> best;
  std::size_t fewest = 0;
  std::size_t ties = 0;
  for (const auto& [node, offered] : offers_) {
    const bool is_permitted = !permitted_regions.is_restricted() ||
                              permitted_regions.permits(regions.region_of(offered.node.zone));
    if (!is_permitted) {
      continue;
    }
    const auto under_way = requests_under_way_.find(node);
    const auto requests = under_way == requests_under_way_.end() ? 0 : under_way->second;
    if (!best || requests < fewest) {
      best = offered.node;
      fewest = requests;
      ties = 1;
    } else if (requests == fewest && random_->below(++ties) == 0) {
      best = offered.node;
    }
  }
  return best;
}

void relay_exchange::note_ended(const base::node_id& node) {
  const auto found = requests_under_way_.find(node);
  if (found != requests_under_way_.end() && --found->second == 0) {
    requests_under_way_.erase(found);
  }
}

} // namespace spurrack::serving
