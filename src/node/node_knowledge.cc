/// Knowledge of the platform services: how this node learns from its own reads and from peers that
/// its entries are current, and when it reads a service itself because nobody confirms that.
#include "catalog/entry_packing.h"
#include "node/node.h"

#include <algorithm>
#include <limits>

namespace spurrack::node {
namespace {

constexpr std::array<const char*, source_count> source_names{"configuration", "machine list"};

/// Time without any message from a peer after which this node counts as isolated. In a connected
/// fleet, a node receives several messages in each probe period.
constexpr base::duration isolation_time = std::chrono::milliseconds(600);
/// Time for which this node waits for gossip in flight before it requests missing entries, and the
/// maximum random time that is added so that few nodes request the same entries together.
constexpr base::duration entry_request_delay = std::chrono::milliseconds(80);
constexpr base::duration max_entry_request_jitter = std::chrono::milliseconds(60);
/// Time after which missing entries are requested again, from another peer.
constexpr base::duration entry_request_timeout = std::chrono::milliseconds(150);
/// Maximum number of nodes of its zone to which a reader sends its read reports directly.
constexpr std::size_t max_report_receivers = 20;
/// Part of `knowledge_limits::confirm_interval` that must lie between two confirmations for the
/// later one to be reported, if it comes from a read that verifies the list.
constexpr int reports_per_confirm_interval = 2;
/// Minimum time by which a confirmation must be later than the known one for a relay to forward it.
constexpr base::duration min_forwarded_progress = std::chrono::milliseconds(50);

wire::outgoing read_report_to(const base::network_address& relay) {
  wire::outgoing message{relay, {}};
  message.message.mutable_read_report()->set_forward_to_zone(true);
  return message;
}

/// Returns, for each service whose knowledge has changed since `reported`, the range from its
/// latest entry through the position known, which contains no entries. A receiver that has the
/// latest entry then has all entries through the position, whatever the other service has written
/// meanwhile. Updates `reported`.
template <typename reported_table>
std::vector<wire::entry_range>
take_unreported_ranges(const catalog::source_knowledge_table& knowledge, reported_table& reported,
                       const catalog::catalog& content) {
  std::vector<wire::entry_range> ranges;
  for (std::size_t source = 0; source < source_count; ++source) {
    const auto& known = knowledge[source];
    const auto through = known.known_through();
    const auto confirmed_at = known.confirmed() ? known.confirmed()->at : base::time_point{};
    if (through <= reported[source].through &&
        confirmed_at - reported[source].confirmed_at < min_forwarded_progress) {
      continue;
    }
    reported[source] = {through, confirmed_at};
    const auto kind = static_cast<source_kind>(source);
    const auto after = std::min(content.latest_position(kind), through);
    ranges.push_back(catalog::make_entry_range(kind, after, through));
  }
  return ranges;
}

void push_ranges(const std::vector<wire::entry_range>& ranges,
                 const base::network_address& receiver, wire::outbox& out) {
  for (const auto& range : ranges) {
    wire::outgoing message{receiver, {}};
    *message.message.mutable_catalog_push()->mutable_range() = range;
    out.push_back(std::move(message));
  }
}

/// @return whether a message carries knowledge: messages that are sent often and to many nodes, and
///         messages with entries.
bool spreads_knowledge(const wire::envelope& message) {
  return message.has_ping() || message.has_acknowledgement() || message.has_zone_digest() ||
         message.has_catalog_push() || message.has_read_report() || message.has_position_answer();
}

catalog::store_position position_of(const wire::service_knowledge& told) {
  return {told.era(), told.revision()};
}

} // namespace

bool node::is_knowledge_overdue(source_kind source, base::time_point now) const {
  const auto age = knowledge(source).age(now);
  return age.value_or(now - started_at_) > settings_.knowledge_limits.change_bound ||
         (!age && !is_ready_);
}

bool node::is_isolated(base::time_point now) const {
  return now - last_peer_message_at_ >= isolation_time;
}

bool node::is_turn_to_read(source_kind source, base::time_point now) const {
  const auto index = static_cast<std::size_t>(source);
  const auto age = knowledge_[index].age(now);
  const auto& limits = settings_.knowledge_limits;
  if (!serving_ || !is_ready_ || (age && *age < limits.confirm_interval)) {
    return false;
  }
  const auto order = turn_order_of(source, now);
  if (order.reader_rank && !watches_[index].is_held()) {
    // A read that must be answered at once ends by itself, and the watch retries a failed read.
    return false;
  }
  return turns_[index].is_due(order, age, now);
}

std::optional<base::duration> node::time_until_own_turn(source_kind source,
                                                        base::time_point now) const {
  const auto index = static_cast<std::size_t>(source);
  const auto age = knowledge_[index].age(now);
  if (!serving_ || !is_ready_ || !age) {
    return std::nullopt;
  }
  const auto order = turn_order_of(source, now);
  return turns_[index].is_due(order, age, now) ? base::duration::zero()
                                               : turns_[index].next_turn_after(order, *age) - *age;
}

void node::begin_turn(source_kind source, base::time_point now) {
  const auto index = static_cast<std::size_t>(source);
  turns_[index].note_attempt(now);
  record(base::event_kind::knowledge_turn, {}, source_names[index],
         "reads it for the others: " + describe_knowledge(source, now));
}

void node::end_outdated_attempt(source_kind source) {
  const auto index = static_cast<std::size_t>(source);
  if (const auto& confirmed = knowledge_[index].confirmed()) {
    turns_[index].note_confirmation(confirmed->at);
  }
}

std::string node::describe_knowledge(source_kind source, base::time_point now) const {
  const auto index = static_cast<std::size_t>(source);
  const auto& known = knowledge_[index];
  const auto milliseconds = [](base::duration span) {
    return std::to_string(base::to_milliseconds(span)) + " ms";
  };
  std::string text = "known through revision " + std::to_string(known.known_through().revision) +
                     " of era " + std::to_string(known.known_through().era);
  if (const auto age = known.age(now)) {
    text += ", confirmed " + milliseconds(*age) + " ago by " + known.confirmed()->reader;
  } else {
    text += ", never confirmed";
  }
  if (const auto attempted_at = turns_[index].open_attempt()) {
    text += ", own read " + milliseconds(now - *attempted_at) + " ago without an answer";
  }
  const auto order = turn_order_of(source, now);
  if (order.reader_rank) {
    text += ", reader " + std::to_string(*order.reader_rank) + " of the region";
  }
  if (const auto until_turn = time_until_own_turn(source, now)) {
    text += ", own turn in " + milliseconds(*until_turn) + " (node " +
            std::to_string(order.zone_rank) + " of " + std::to_string(order.zone_nodes) +
            " in zone " + std::to_string(order.zone_index) + " of " + std::to_string(order.zones) +
            ")";
  }
  return text;
}

void node::note_read(const service_answered& answer, const catalog::answer_meaning& meaning,
                     base::time_point now) {
  if (!serving_) {
    return;
  }
  const auto index = static_cast<std::size_t>(answer.source);
  const catalog::store_position through{meaning.era, answer.service_revision};
  end_outdated_attempt(answer.source);
  if (turns_[index].open_attempt()) {
    turns_[index].note_answer();
    // Goes on reading the service until another node confirms the knowledge of the service.
    substitutions_[index].ends_at = now + watch_substitution::duration;
  }
  if (meaning.after) {
    knowledge_[index].add_range(*meaning.after, through);
  }
  knowledge_[index].note_peer_position(through);
  if (meaning.confirmed_at) {
    knowledge_[index].confirm({through, *meaning.confirmed_at, settings_.self.node.text()});
    if (should_report(answer.source, through, *meaning.confirmed_at)) {
      send_read_report();
    }
  }
  if (meaning.verified_at) {
    knowledge_[index].verify(through, *meaning.verified_at);
  }
}

bool node::should_report(source_kind source, catalog::store_position through,
                         base::time_point confirmed_at) const {
  const auto& reported = last_forwarded_[static_cast<std::size_t>(source)];
  const bool is_verifying = source == source_kind::machine_list && list_reads_.is_under_way();
  return !is_verifying || through > reported.through ||
         confirmed_at - reported.confirmed_at >=
             settings_.knowledge_limits.confirm_interval / reports_per_confirm_interval;
}

void node::send_read_report() {
  const auto ranges = take_unreported_ranges(knowledge_, last_forwarded_, catalog_);
  auto zone_peers = zone_peer_addresses();
  for (std::size_t sent = 0; sent < max_report_receivers && !zone_peers.empty(); ++sent) {
    push_ranges(ranges, base::take_random(zone_peers, *random_), outbox_);
  }
  const auto report_to_relay = [&](const base::network_address& relay) {
    push_ranges(ranges, relay, outbox_);
    outbox_.push_back(read_report_to(relay));
  };
  for (const auto& relay : membership_.relays_of_own_zone()) {
    report_to_relay(relay);
  }
  for (const auto& relays : membership_.relays_of_other_zones()) {
    std::for_each(relays.begin(), relays.end(), report_to_relay);
  }
}

std::vector<base::network_address> node::one_relay_per_zone() {
  std::vector<base::network_address> chosen;
  if (!serving_) {
    return chosen;
  }
  if (auto own = membership_.relays_of_own_zone(); !own.empty()) {
    chosen.push_back(base::take_random(own, *random_));
  }
  for (auto& relays : membership_.relays_of_other_zones()) {
    if (!relays.empty()) {
      chosen.push_back(base::take_random(relays, *random_));
    }
  }
  return chosen;
}

void node::note_peer_knowledge(const wire::envelope& message, bool has_entries,
                               base::time_point now) {
  const auto& push = message.catalog_push();
  if (has_entries && push.has_range() && push.range().source() < source_count) {
    const auto& range = push.range();
    knowledge_[range.source()].add_range({range.after_era(), range.after_revision()},
                                         {range.through_era(), range.through_revision()});
  }
  const bool is_content_equal =
      (has_entries && push.is_complete()) || message.catalog_hash() == catalog_.content_hash();
  for (const auto& told : message.knowledge()) {
    if (told.source() >= source_count) {
      continue;
    }
    note_peer_knowledge(told, message.sender(), is_content_equal, now);
    note_missing_entries(told, base::network_address(message.sender_address()), now);
  }
  request_missing_entries(now);
  if (message.read_report().forward_to_zone()) {
    forward_read_report();
  }
}

void node::forward_read_report() {
  const auto ranges = take_unreported_ranges(knowledge_, last_forwarded_, catalog_);
  for (const auto& peer : membership_.live_peers()) {
    push_ranges(ranges, peer.address, outbox_);
  }
}

void node::note_peer_knowledge(const wire::service_knowledge& told, const std::string& sender,
                               bool is_content_equal, base::time_point now) {
  auto& known = knowledge_[told.source()];
  const auto through = position_of(told);
  if (is_content_equal) {
    known.advance(through);
  }
  known.note_peer_position(through);
  if (told.age_milliseconds() > 0) {
    const base::time_point at =
        earliest_arrival(now) - std::chrono::milliseconds(told.age_milliseconds() - 1);
    known.confirm({through, at, told.confirmed_by().empty() ? sender : told.confirmed_by()});
  }
}

void node::note_missing_entries(const wire::service_knowledge& told,
                                const base::network_address& sender, base::time_point now) {
  const auto& known = knowledge_[told.source()];
  // A starting node receives all entries by a comparison of catalogs instead.
  if (!is_ready_ || position_of(told) <= known.known_through()) {
    return;
  }
  auto& missing = missing_entries_[told.source()];
  if (!missing) {
    const auto jitter = base::scaled(max_entry_request_jitter, random_->next_fraction());
    missing = missing_entries{sender, now + entry_request_delay + jitter};
  }
  missing->peer = sender;
}

void node::request_missing_entries(base::time_point now) {
  for (std::size_t source = 0; source < source_count; ++source) {
    const auto& known = knowledge_[source];
    auto& missing = missing_entries_[source];
    if (missing && !known.is_behind()) {
      missing.reset();
    }
    if (missing && now >= missing->request_at) {
      request_entries(static_cast<source_kind>(source), missing->peer, now);
    }
  }
}

void node::request_entries(source_kind source, const base::network_address& peer,
                           base::time_point now) {
  const auto index = static_cast<std::size_t>(source);
  missing_entries_[index] = missing_entries{peer, now + entry_request_timeout};
  const auto through = knowledge_[index].known_through();
  wire::outgoing request{peer, {}};
  auto& body = *request.message.mutable_entry_request();
  body.set_source(static_cast<std::uint32_t>(source));
  body.set_after_era(through.era);
  body.set_after_revision(through.revision);
  outbox_.push_back(std::move(request));
}

void node::add_knowledge(wire::envelope& message, base::time_point now) const {
  if (!serving_ || !spreads_knowledge(message)) {
    return;
  }
  for (std::size_t source = 0; source < source_count; ++source) {
    const auto& known = knowledge_[source];
    if (known.known_through() == catalog::store_position{}) {
      continue;
    }
    auto& told = *message.add_knowledge();
    told.set_source(static_cast<std::uint32_t>(source));
    told.set_era(known.known_through().era);
    told.set_revision(known.known_through().revision);
    const auto age = known.age(now);
    constexpr std::int64_t max_age = std::numeric_limits<std::int32_t>::max();
    if (age) {
      told.set_age_milliseconds(
          static_cast<std::uint32_t>(std::min(base::to_milliseconds(*age), max_age)) + 1);
      told.set_confirmed_by(known.confirmed()->reader);
    }
  }
}

void node::log_knowledge_changes(base::time_point now) {
  for (const auto source : all_sources) {
    const auto index = static_cast<std::size_t>(source);
    const bool is_overdue = serving_ && is_ready_ && is_knowledge_overdue(source, now);
    if (is_overdue == was_overdue_[index]) {
      continue;
    }
    was_overdue_[index] = is_overdue;
    record(is_overdue ? base::event_kind::knowledge_overdue : base::event_kind::knowledge_confirmed,
           {}, source_names[index], describe_knowledge(source, now));
  }
}

} // namespace spurrack::node
