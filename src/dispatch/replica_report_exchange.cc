#include "dispatch/replica_report_exchange.h"

#include <algorithm>
#include <cmath>

namespace spurrack::serving {
namespace {

/// Nodes of the region that one message goes to, drawn at random where there are more. In a region
/// of 100 nodes a report of two nodes reaches about half of the others at once.
constexpr std::size_t most_receivers = 32;
/// Replicas in one message, about 300 bytes; those that only fail come last.
constexpr std::size_t most_replicas = 8;
/// The first report is sent at once, the next after this time: 32 messages of 300 bytes a second
/// are the most a node sends, and only while its calls fail.
constexpr base::duration message_period = std::chrono::milliseconds(1000);

wire::replica_sign to_wire(replica_sign sign) {
  switch (sign) {
  case replica_sign::silent:
    return wire::SIGN_SILENT;
  case replica_sign::unreachable:
    return wire::SIGN_UNREACHABLE;
  case replica_sign::failing:
    return wire::SIGN_FAILING;
  case replica_sign::well:
    break;
  }
  return wire::SIGN_WELL;
}

/// Signs that only a newer version knows are taken for `well`.
replica_sign from_wire(wire::replica_sign sign) {
  switch (sign) {
  case wire::SIGN_SILENT:
    return replica_sign::silent;
  case wire::SIGN_UNREACHABLE:
    return replica_sign::unreachable;
  case wire::SIGN_FAILING:
    return replica_sign::failing;
  default:
    return replica_sign::well;
  }
}

std::uint32_t rounded(double calls) {
  return static_cast<std::uint32_t>(std::lround(calls));
}

} // namespace

replica_news::replica_news(replica_table& replicas, base::zone_id own_zone,
                           const model::zone_regions& regions, base::random_source& random)
    : replicas_(&replicas), own_zone_(std::move(own_zone)), regions_(regions), random_(&random) {}

void replica_news::set_peers(const std::vector<fleet_peer>& alive) {
  near_.clear();
  for (const auto& peer : alive) {
    if (regions_.same_region(peer.zone, own_zone_)) {
      near_.push_back(peer.address);
    }
  }
}

std::optional<base::time_point> replica_news::next_wakeup() const {
  const bool has_news = !unreported_.empty() || replicas_->has_changed();
  return has_news ? std::optional(next_message_) : std::nullopt;
}

wire::replica_news replica_news::collect(base::time_point now) {
  unreported_.merge(replicas_->take_changed());
  std::vector<std::pair<base::replica_id, replica_testimony>> signs;
  for (const auto& id : unreported_) {
    const auto* state = replicas_->find(id);
    const auto own = state == nullptr ? std::nullopt : replica_table::own_testimony(*state, now);
    if (own) {
      signs.emplace_back(id, *own);
    }
  }
  std::stable_partition(signs.begin(), signs.end(), [](const auto& entry) {
    return entry.second.sign != replica_sign::failing;
  });
  unreported_.clear();
  wire::replica_news news;
  for (const auto& [id, own] : signs) {
    if (news.evidence_size() == static_cast<int>(most_replicas)) {
      unreported_.insert(id);
      continue;
    }
    auto& said = *news.add_evidence();
    said.set_replica(id.text());
    said.set_sign(to_wire(own.sign));
    said.set_calls(rounded(own.bad_calls));
    said.set_good_calls(rounded(own.good_calls));
    said.set_life_mark(life_mark_of(*replicas_->find(id)->record));
    said.set_age_milliseconds(static_cast<std::uint32_t>(base::to_milliseconds(now - own.seen_at)));
    said.set_backoff_milliseconds(static_cast<std::uint32_t>(
        std::max<std::int64_t>(0, base::to_milliseconds(own.backs_off_until - now))));
  }
  return news;
}

void replica_news::advance(base::time_point now) {
  if (now < next_message_ || (unreported_.empty() && !replicas_->has_changed())) {
    return;
  }
  const auto news = collect(now);
  if (news.evidence_size() == 0) {
    return;
  }
  next_message_ = now + message_period;
  auto places = near_;
  for (std::size_t sent = 0; sent < most_receivers && !places.empty(); ++sent) {
    wire::outgoing message{base::take_random(places, *random_), {}};
    *message.message.mutable_replica_news() = news;
    messages_.push_back(std::move(message));
    ++counts_.messages;
  }
}

bool replica_news::is_of_another_life(const wire::replica_evidence& said) const {
  const auto* state = replicas_->find(base::replica_id(said.replica()));
  if (state == nullptr) {
    return false;
  }
  const auto known = life_mark_of(*state->record);
  const auto told = said.life_mark();
  return known != 0 && told != 0 && known != told;
}

std::vector<base::replica_id> replica_news::handle(const base::node_id& sender,
                                                   const wire::replica_news& message,
                                                   base::time_point now) {
  std::vector<base::replica_id> lost;
  for (const auto& said : message.evidence()) {
    const base::replica_id replica(said.replica());
    if (is_of_another_life(said)) {
      ++counts_.of_other_incarnations;
      continue;
    }
    const base::duration age = std::chrono::milliseconds(said.age_milliseconds());
    const base::duration backoff = std::chrono::milliseconds(said.backoff_milliseconds());
    replicas_->take_in(replica, sender,
                       {from_wire(said.sign()), static_cast<double>(said.good_calls()),
                        static_cast<double>(said.calls()), now - age, now + backoff},
                       now);
    ++counts_.taken_in;
    if (replicas_->is_lost(replica, now)) {
      lost.push_back(replica);
    }
  }
  return lost;
}

} // namespace spurrack::serving
