#include "replica_statements/statement_exchange.h"

#include <algorithm>
#include <iterator>

namespace spurrack::replica_statements {
namespace {

/// Nodes that each node passes a change on to, so often, and the time between: of 300 nodes one in
/// some thousands misses it, and messages may be lost.
constexpr std::size_t fanout = 4;
constexpr std::size_t times_told = 2;
constexpr base::duration tell_period = std::chrono::milliseconds(100);
/// Random nodes are reminded of what all should know: one that started, or that missed a message,
/// hears of it within the three seconds in which nodes in contact learn of each other's news.
constexpr base::duration reminder_period = std::chrono::milliseconds(1000);
constexpr std::size_t reminded_at_once = 3;
/// What cannot be read is reported once in this time for each replica.
constexpr base::duration unreadable_period = std::chrono::minutes(1);
/// Records of each kind in one message, about 30 bytes each.
constexpr std::size_t most_records = 16;

std::uint32_t age_in_milliseconds(base::time_point since, base::time_point now) {
  return static_cast<std::uint32_t>(std::max<std::int64_t>(0, base::to_milliseconds(now - since)));
}

wire::named_limit to_wire(const base::replica_id& replica, const limit_record& record,
                          base::time_point now) {
  wire::named_limit said;
  said.set_replica(replica.text());
  said.set_life_mark(record.life);
  said.set_per_second(record.per_second.value_or(0));
  said.set_lifted(!record.per_second);
  said.set_version(record.version);
  said.set_age_milliseconds(age_in_milliseconds(record.heard_at, now));
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

wire::replica_departure to_wire(const departure_book::key& leaving, const departure& known,
                                base::time_point now) {
  wire::replica_departure said;
  said.set_replica(leaving.replica.text());
  said.set_process_mark(leaving.process);
  said.set_age_milliseconds(age_in_milliseconds(known.since, now));
  return said;
}

/// Takes up to `most` entries of a map after `last`, from its begin on after its end, and moves
/// `last` to the latest.
template <typename map, typename key, typename taker>
void take_in_turn(const map& entries, key& last, std::size_t most, const taker& take) {
  auto next = entries.upper_bound(last);
  for (std::size_t taken = 0; taken < std::min(most, entries.size()); ++taken) {
    if (next == entries.end()) {
      next = entries.begin();
    }
    take(*next);
    last = next->first;
    ++next;
  }
}

/// Takes up to `most` entries that are to be told, and drops those that were told often enough.
template <typename map, typename teller>
void tell_some(map& untold, std::size_t most, const teller& tell) {
  std::size_t told = 0;
  for (auto one = untold.begin(); one != untold.end() && told < most; ++told) {
    tell(one->first);
    one = --one->second == 0 ? untold.erase(one) : std::next(one);
  }
}

} // namespace

statement_exchange::statement_exchange(replica_lookup lookup, base::random_source& random)
    : lookup_(std::move(lookup)), random_(&random) {}

void statement_exchange::set_peers(const std::vector<serving::fleet_peer>& alive) {
  peers_.clear();
  for (const auto& peer : alive) {
    peers_.push_back(peer.address);
  }
}

// --- what replicas say ---------------------------------------------------------------------------

void statement_exchange::hear(const base::replica_id& replica,
                              const serving::replica_statement& said, base::time_point call_began,
                              base::time_point now) {
  using matter = belief_change::matter;
  if (said.limit.unreadable) {
    note_unreadable(replica, matter::limit, counts_.unreadable, now);
  }
  if (said.leaving_unreadable) {
    note_unreadable(replica, matter::leaving, counts_.leaving_unreadable, now);
  }
  if (said.backoff.unreadable) {
    note_unreadable(replica, matter::backoff, counts_.backoff_unreadable, now);
  }
  // Most answers say nothing that all nodes should know.
  const bool concerns_limit =
      !said.limit.unreadable && (said.limit.per_second || limits_.find(replica) != nullptr);
  if (!concerns_limit && !said.leaving) {
    return;
  }
  const auto published = lookup_(replica);
  if (published && concerns_limit) {
    hear_limit(replica, *published, said.limit, call_began, now);
  }
  if (published && said.leaving) {
    hear_leaving(replica, *published, now);
  }
}

void statement_exchange::note_unreadable(const base::replica_id& replica,
                                         belief_change::matter what, std::uint64_t& count,
                                         base::time_point now) {
  ++count;
  const auto [told, is_first] = unreadable_told_at_.try_emplace({replica, what}, now);
  if (is_first || now - told->second >= unreadable_period) {
    told->second = now;
    changes_.push_back({what, replica, limits_.limit_of(replica), true, "the replica"});
  }
}

void statement_exchange::hear_limit(const base::replica_id& replica,
                                    const published_replica& published,
                                    const serving::named_limit& said, base::time_point call_began,
                                    base::time_point now) {
  if (limits_.hear(replica, published.life, {said.per_second, call_began}, now)) {
    changed_limits_[replica] = times_told;
    changes_.push_back(
        {belief_change::matter::limit, replica, limits_.limit_of(replica), false, "the replica"});
  }
}

void statement_exchange::hear_leaving(const base::replica_id& replica,
                                      const published_replica& published, base::time_point now) {
  const departure_book::key leaving{replica, published.process};
  if (!departures_.includes(leaving)) {
    ++counts_.departures_heard;
    note_departure(leaving, now, "the replica", now);
  }
}

void statement_exchange::note_departure(const departure_book::key& leaving, base::time_point since,
                                        const std::string& source, base::time_point now) {
  if (departures_.note(leaving, since, source, now)) {
    ++counts_.departures;
    changed_departures_[leaving] = times_told;
    changes_.push_back(
        {belief_change::matter::leaving, leaving.replica, std::nullopt, false, source});
  }
}

void statement_exchange::merge(const base::node_id& sender, const wire::named_limit& told,
                               base::time_point now) {
  const base::replica_id replica(told.replica());
  const auto published = lookup_(replica);
  if (!published || published->life != told.life_mark()) {
    ++counts_.of_other_incarnations;
    return;
  }
  const auto before = limits_.limit_of(replica);
  if (!limits_.merge(replica, from_wire(told, now))) {
    return;
  }
  changed_limits_[replica] = times_told;
  const auto known = limits_.limit_of(replica);
  if (known != before) {
    changes_.push_back({belief_change::matter::limit, replica, known, false, sender.text()});
  }
}

/// Also of processes that this node does not know: its list may be older than the sender's.
void statement_exchange::merge(const base::node_id& sender, const wire::replica_departure& told,
                               base::time_point now) {
  if (told.process_mark() != 0) {
    const auto age = std::chrono::milliseconds(told.age_milliseconds());
    note_departure({base::replica_id(told.replica()), told.process_mark()}, now - age,
                   sender.text(), now);
  }
}

void statement_exchange::forget(const base::replica_id& replica) {
  limits_.forget(replica);
  changed_limits_.erase(replica);
  std::erase_if(unreadable_told_at_,
                [&](const auto& entry) { return entry.first.first == replica; });
}

// --- messages ------------------------------------------------------------------------------------

wire::named_limit statement_exchange::limit_message(const base::replica_id& replica,
                                                    base::time_point now) const {
  const auto* record = limits_.find(replica);
  return record == nullptr ? wire::named_limit{} : to_wire(replica, *record, now);
}

void statement_exchange::send_to_some(const wire::rate_limits& news, std::size_t receivers) {
  auto left = peers_;
  for (std::size_t sent = 0; sent < receivers && !left.empty(); ++sent) {
    wire::outgoing message{base::take_random(left, *random_), {}};
    *message.message.mutable_rate_limits() = news;
    messages_.push_back(std::move(message));
    ++counts_.messages;
  }
}

void statement_exchange::tell(base::time_point now) {
  if ((changed_limits_.empty() && changed_departures_.empty()) || now < next_tell_) {
    return;
  }
  next_tell_ = now + tell_period;
  wire::rate_limits news;
  tell_some(changed_departures_, most_records, [&](const departure_book::key& leaving) {
    const auto known = departures_.all().find(leaving);
    if (known != departures_.all().end()) {
      *news.add_departures() = to_wire(leaving, known->second, now);
    }
  });
  tell_some(changed_limits_, most_records, [&](const base::replica_id& replica) {
    if (const auto* record = limits_.find(replica)) {
      *news.add_limits() = to_wire(replica, *record, now);
    }
  });
  if (news.limits_size() + news.departures_size() > 0) {
    send_to_some(news, fanout);
  }
}

bool statement_exchange::is_published(const departure_book::key& process) const {
  const auto published = lookup_(process.replica);
  return published && published->process == process.process;
}

void statement_exchange::review_departures(base::time_point now) {
  std::vector<departure_book::key> published;
  for (const auto& [process, known] : departures_.all()) {
    if (is_published(process)) {
      published.push_back(process);
    }
  }
  for (const auto& process : published) {
    departures_.note_published(process, now);
  }
  departures_.forget_old(now);
}

void statement_exchange::add_limits_to_remind(wire::rate_limits& news, base::time_point now) {
  take_in_turn(limits_.all(), limit_reminded_last_, most_records, [&](const auto& entry) {
    *news.add_limits() = to_wire(entry.first, entry.second, now);
  });
}

void statement_exchange::add_departures_to_remind(wire::rate_limits& news, base::time_point now) {
  take_in_turn(departures_.all(), departure_reminded_last_, most_records, [&](const auto& entry) {
    // Of one that no list names any more nobody needs to be told.
    if (is_published(entry.first)) {
      *news.add_departures() = to_wire(entry.first, entry.second, now);
    }
  });
}

void statement_exchange::remind(base::time_point now) {
  if ((limits_.empty() && departures_.empty()) || now < next_reminder_) {
    return;
  }
  next_reminder_ = now + reminder_period;
  limits_.forget_lifted(now);
  review_departures(now);
  wire::rate_limits news;
  add_limits_to_remind(news, now);
  add_departures_to_remind(news, now);
  if (news.limits_size() + news.departures_size() > 0) {
    send_to_some(news, reminded_at_once);
  }
}

void statement_exchange::advance(base::time_point now) {
  tell(now);
  remind(now);
}

std::optional<base::time_point> statement_exchange::next_wakeup() const {
  std::optional<base::time_point> earliest;
  const auto consider = [&](base::time_point when) {
    earliest = earliest ? std::min(*earliest, when) : when;
  };
  if (!changed_limits_.empty() || !changed_departures_.empty()) {
    consider(next_tell_);
  }
  if (!limits_.empty() || !departures_.empty()) {
    consider(next_reminder_);
  }
  return earliest;
}

void statement_exchange::handle(const base::node_id& sender, const wire::rate_limits& message,
                                base::time_point now) {
  for (const auto& told : message.limits()) {
    merge(sender, told, now);
  }
  for (const auto& told : message.departures()) {
    merge(sender, told, now);
  }
}

} // namespace spurrack::replica_statements
