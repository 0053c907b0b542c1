#include "streams/origin_exchange.h"

#include "streams/stream_ages.h"

#include <algorithm>
#include <limits>

namespace spurrack::streams {
namespace {

/// Time for which a record that is not urgent waits for others to the same node.
constexpr base::duration batch_wait = std::chrono::milliseconds(15);
/// Time for which an acknowledgement waits for other messages to the same node. Together with the
/// round trip it stays below the time after which a record is sent again.
constexpr base::duration acknowledgement_wait = std::chrono::milliseconds(30);
/// Time after which nodes that have not answered a query are queried again: that after which a node
/// connects anew to another one.
constexpr base::duration query_interval = std::chrono::milliseconds(100);
/// Time after which a look-up ends without the answers that are missing: a round trip between
/// regions on slow links.
constexpr base::duration look_up_timeout = std::chrono::milliseconds(300);
constexpr base::duration expiry_interval = std::chrono::seconds(1);
/// Time by which a record outlives the time that its client allowed, for clocks that run apart and
/// messages under way.
constexpr base::duration expiry_margin = std::chrono::seconds(1);

std::uint32_t in_milliseconds(base::duration span) {
  constexpr std::int64_t longest = std::numeric_limits<std::int32_t>::max();
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(base::to_milliseconds(span), 0, longest));
}

wire::stream_origin to_wire(const stream_key& stream, const origin_record& record,
                            base::time_point now) {
  wire::stream_origin told;
  told.set_stream(stream.bytes());
  if (record.origin) {
    told.set_service(record.origin->service);
    told.set_version(record.origin->version.text());
  }
  told.set_is_contradictory(!record.origin);
  told.set_is_bound(record.is_bound);
  told.set_call(record.call);
  told.set_lifetime_milliseconds(in_milliseconds(record.expires_at - now));
  told.set_age_milliseconds(in_milliseconds(now - record.recorded_at));
  return told;
}

stream_origin origin_in(const wire::stream_origin& told) {
  return {told.service(), base::software_version(told.version())};
}

/// @return what two statements say together, if their times overlap; otherwise the one that reaches
///         to the later time, or of two that reach to the same time the one that begins earlier.
sole_version joined(const sole_version& left, const sole_version& right) {
  const bool overlap =
      left.version == right.version && left.since <= right.through && right.since <= left.through;
  if (overlap) {
    return {left.version, std::min(left.since, right.since), std::max(left.through, right.through)};
  }
  if (left.through == right.through) {
    return left.since <= right.since ? left : right;
  }
  return left.through > right.through ? left : right;
}

} // namespace

origin_exchange::origin_exchange(const serving::fleet_peer& self, version_check evidence_of,
                                 base::incarnation incarnation)
    : witnesses_(self), evidence_of_(std::move(evidence_of)), delivery_(incarnation) {
  witnesses_.set_peers({});
}

// --- records -------------------------------------------------------------------------------------

void origin_exchange::note_bound(const stream_key& stream, const stream_origin& origin,
                                 std::uint32_t call, base::duration lifetime, bool is_shared,
                                 base::time_point now) {
  const auto expires_at = now + std::min(lifetime, max_stream_age) + expiry_margin;
  registry_.record(stream, {origin, call, true}, expires_at, true, now);
  if (is_shared) {
    queue_record(stream, now);
  }
}

void origin_exchange::queue_record(const stream_key& stream, base::time_point now) {
  if (registry_.find(stream, now) == nullptr) {
    return;
  }
  if (queued_records_.empty()) {
    send_records_at_ = now + batch_wait;
  }
  delivery_.start(stream, now);
  queue_for(delivery_.await(stream, witnesses_.keepers_of(stream)), stream);
}

void origin_exchange::queue_for(const std::vector<base::network_address>& receivers,
                                const stream_key& stream) {
  for (const auto& receiver : receivers) {
    queued_records_[receiver].insert(stream);
  }
}

void origin_exchange::share_open_streams(const std::string& service, base::time_point now) {
  for (const auto& stream : registry_.open_streams_of(service)) {
    queue_record(stream, now);
  }
}

void origin_exchange::send_records(base::time_point now) {
  for (const auto& [receiver, streams] : std::exchange(queued_records_, {})) {
    wire::stream_origins content;
    std::vector<stream_key> sent;
    for (const auto& stream : streams) {
      if (const auto* record = registry_.find(stream, now)) {
        *content.add_begun() = to_wire(stream, *record, now);
        sent.push_back(stream);
      }
    }
    if (sent.empty()) {
      continue;
    }
    counts_.sent_records += sent.size();
    content.set_record_number(delivery_.note_sent(receiver, std::move(sent), now));
    send(receiver, std::move(content));
  }
}

void origin_exchange::repeat_records(base::time_point now) {
  const auto due = delivery_.take_due(now);
  for (const auto& stream : due) {
    if (registry_.find(stream, now) == nullptr) {
      delivery_.stop(stream);
      continue;
    }
    // Nodes that have become witnesses since are told, too.
    const auto missing = delivery_.await(stream, witnesses_.keepers_of(stream));
    counts_.repeated_records += missing.size();
    queue_for(missing, stream);
  }
  if (!due.empty()) {
    send_records(now);
  }
}

void origin_exchange::queue_acknowledgement(const base::network_address& to, std::uint64_t number,
                                            base::time_point now) {
  if (queued_acknowledgements_.empty()) {
    send_acknowledgements_at_ = now + acknowledgement_wait;
  }
  queued_acknowledgements_[to].push_back(number);
}

void origin_exchange::send_acknowledgements() {
  while (!queued_acknowledgements_.empty()) {
    send(base::network_address(queued_acknowledgements_.begin()->first), {});
  }
}

void origin_exchange::send(const base::network_address& to, wire::stream_origins content) {
  if (const auto waiting = queued_acknowledgements_.extract(to)) {
    for (const auto number : waiting.mapped()) {
      content.add_acknowledged_numbers(number);
    }
  }
  wire::outgoing message{to, {}};
  *message.message.mutable_stream_origins() = std::move(content);
  messages_.push_back(std::move(message));
  ++counts_.sent_messages;
}

void origin_exchange::keep(const wire::stream_origin& told, base::time_point now) {
  const auto stream = stream_key::from_bytes(told.stream());
  if (!stream) {
    ++counts_.malformed;
    return;
  }
  const base::duration lifetime = std::chrono::milliseconds(told.lifetime_milliseconds());
  const auto expires_at = now + std::min(lifetime, max_stream_age);
  ++counts_.kept_records;
  if (told.is_contradictory()) {
    registry_.record_contradiction(*stream, told.call(), told.is_bound(), expires_at, now);
  } else {
    registry_.record(*stream, {origin_in(told), told.call(), told.is_bound()}, expires_at, false,
                     now);
  }
}

// --- look-ups ------------------------------------------------------------------------------------

std::optional<origin_finding> origin_exchange::find_here(const stream_key& stream,
                                                         base::time_point now) const {
  const auto* record = registry_.find(stream, now);
  if (record == nullptr || !record->is_bound) {
    return std::nullopt;
  }
  origin_finding finding;
  finding.is_contradictory = !record->origin;
  if (record->origin) {
    finding.origin = *record->origin;
  }
  finding.call = record->call;
  finding.source = "this node";
  finding.age = now - record->recorded_at;
  return finding;
}

std::optional<origin_finding> origin_exchange::look_up(const stream_key& stream,
                                                       const std::string& service,
                                                       base::time_point earliest_begin,
                                                       base::time_point now) {
  if (auto finding = find_here(stream, now)) {
    return finding;
  }
  if (const auto pending = look_ups_.find(stream); pending != look_ups_.end()) {
    pending->second.earliest_begin = std::min(pending->second.earliest_begin, earliest_begin);
    return std::nullopt;
  }
  pending_look_up started;
  started.service = service;
  started.earliest_begin = earliest_begin;
  started.begun_at = now;
  started.ends_at = now + look_up_timeout;
  for (const auto& queried : witnesses_.queried_for(stream)) {
    started.awaited.emplace(queried.address, queried.zone);
  }
  started.finding.queried = started.awaited.size();
  if (const auto* record = registry_.find(stream, now)) {
    note_origin(started.finding, witnesses_.self(), to_wire(stream, *record, now));
  }
  if (started.awaited.empty()) {
    return started.finding;
  }
  send_queries(stream, started, now);
  look_ups_.emplace(stream, std::move(started));
  return std::nullopt;
}

void origin_exchange::send_queries(const stream_key& stream, pending_look_up& look_up,
                                   base::time_point now) {
  wire::stream_origins content;
  auto& query = *content.add_queries();
  query.set_stream(stream.bytes());
  query.set_service(look_up.service);
  for (const auto& [address, zone] : look_up.awaited) {
    send(address, content);
  }
  counts_.sent_queries += look_up.awaited.size();
  look_up.next_query_at = now + query_interval;
}

wire::stream_origin_answer origin_exchange::answer_to(const wire::stream_origin_query& query,
                                                      base::time_point now) const {
  wire::stream_origin_answer answer;
  answer.set_stream(query.stream());
  const auto evidence = evidence_of_(query.service(), now);
  const auto knowledge = evidence.knowledge;
  answer.set_has_several_versions(knowledge == version_knowledge::several);
  // A node of an older build does not look at the time for which one version was known.
  answer.set_is_list_current(knowledge == version_knowledge::one ||
                             knowledge == version_knowledge::several);
  if (knowledge == version_knowledge::one) {
    answer.set_only_version(evidence.sole->version.text());
    answer.set_only_version_milliseconds(in_milliseconds(now - evidence.sole->since));
    answer.set_list_age_milliseconds(in_milliseconds(now - evidence.sole->through) + 1);
  }
  const auto stream = stream_key::from_bytes(query.stream());
  if (const auto* record = stream ? registry_.find(*stream, now) : nullptr) {
    *answer.mutable_origin() = to_wire(*stream, *record, now);
  }
  return answer;
}

void origin_exchange::process_answer(const base::node_id& sender,
                                     const base::network_address& address,
                                     const wire::stream_origin_answer& answer,
                                     base::time_point now) {
  const auto stream = stream_key::from_bytes(answer.stream());
  if (!stream) {
    ++counts_.malformed;
    return;
  }
  const auto found = look_ups_.find(*stream);
  if (found != look_ups_.end() && found->second.answered.contains(address)) {
    // Answer to a query that was sent again.
    return;
  }
  const auto awaited = found == look_ups_.end() ? std::map<base::network_address, base::zone_id>{}
                                                : found->second.awaited;
  const auto from = awaited.find(address);
  if (from == awaited.end()) {
    ++counts_.late_answers;
    return;
  }
  auto& look_up = found->second;
  look_up.answered.insert(address);
  look_up.answered_zones.insert(from->second);
  look_up.awaited.erase(address);
  auto& finding = look_up.finding;
  ++finding.answered;
  finding.peers_know_several_versions =
      finding.peers_know_several_versions || answer.has_several_versions();
  note_sole_version(look_up, answer, now);
  if (answer.has_origin()) {
    note_origin(finding, sender, answer.origin());
  }
  if (is_settled(look_up, now)) {
    end_look_up(*stream);
  }
}

void origin_exchange::note_origin(origin_finding& finding, const base::node_id& sender,
                                  const wire::stream_origin& told) {
  const bool is_latest = told.call() >= finding.call;
  finding.call = std::max(finding.call, told.call());
  if (!told.is_bound()) {
    if (told.is_contradictory()) {
      // The client may have events of either version, or of a third one.
      finding.peers_know_several_versions = true;
    } else if (is_latest || !finding.unbound_origin) {
      finding.unbound_origin = origin_in(told);
    }
    return;
  }
  finding.is_contradictory = told.is_contradictory();
  if (!finding.is_contradictory) {
    finding.origin = origin_in(told);
  }
  finding.source = sender.text();
  finding.age = std::chrono::milliseconds(told.age_milliseconds());
}

void origin_exchange::note_sole_version(pending_look_up& look_up,
                                        const wire::stream_origin_answer& answer,
                                        base::time_point now) {
  if (answer.only_version_milliseconds() == 0) {
    return;
  }
  sole_version told{base::software_version(answer.only_version()), {}, {}};
  // The answer may have been under way for any time. Reckoned from its receipt, `since` is too late
  // by that time, so that the statement claims less. `through` is reckoned from the sending of the
  // query, since a time that is too late would claim more.
  told.since = now - std::chrono::milliseconds(answer.only_version_milliseconds());
  if (answer.list_age_milliseconds() > 0) {
    told.through = look_up.begun_at - std::chrono::milliseconds(answer.list_age_milliseconds());
  }
  auto& finding = look_up.finding;
  if (finding.sole && finding.sole->version != told.version) {
    finding.peers_know_several_versions = true;
  }
  finding.sole = finding.sole ? joined(*finding.sole, told) : told;
}

bool origin_exchange::is_settled(const pending_look_up& look_up, base::time_point now) const {
  const auto& finding = look_up.finding;
  if (finding.origin || finding.is_contradictory || look_up.awaited.empty() ||
      look_up.ends_at <= now) {
    return true;
  }
  // If nobody knows of a second version since before the stream began, one answer from each zone
  // suffices: a dead node need not be waited for.
  const bool has_one_version =
      finding.sole && finding.sole->since <= look_up.earliest_begin &&
      !finding.peers_know_several_versions &&
      evidence_of_(look_up.service, now).knowledge != version_knowledge::several;
  const bool has_answers_of_all_zones =
      std::all_of(look_up.awaited.begin(), look_up.awaited.end(), [&](const auto& awaited) {
        return look_up.answered_zones.contains(awaited.second);
      });
  return has_one_version && has_answers_of_all_zones;
}

void origin_exchange::end_look_up(const stream_key& stream) {
  const auto found = look_ups_.find(stream);
  auto& finding = found->second.finding;
  for (const auto& [address, zone] : found->second.awaited) {
    finding.unanswered.push_back(address);
  }
  findings_.emplace_back(stream, std::move(finding));
  look_ups_.erase(found);
}

// --- messages and time ---------------------------------------------------------------------------

void origin_exchange::handle(const base::node_id& sender, const base::network_address& address,
                             const wire::stream_origins& message, base::time_point now) {
  for (const auto number : message.acknowledged_numbers()) {
    counts_.acknowledged_records += delivery_.note_acknowledged(address, number);
  }
  for (const auto& told : message.begun()) {
    keep(told, now);
  }
  if (message.record_number() != 0) {
    queue_acknowledgement(address, message.record_number(), now);
  }
  wire::stream_origins answers;
  for (const auto& query : message.queries()) {
    *answers.add_answers() = answer_to(query, now);
    ++counts_.answered_queries;
  }
  if (answers.answers_size() > 0) {
    send(address, std::move(answers));
  }
  for (const auto& answer : message.answers()) {
    process_answer(sender, address, answer, now);
  }
}

void origin_exchange::advance(base::time_point now) {
  if (!queued_records_.empty() && send_records_at_ <= now) {
    send_records(now);
  }
  repeat_records(now);
  advance_look_ups(now);
  if (!queued_acknowledgements_.empty() && send_acknowledgements_at_ <= now) {
    send_acknowledgements();
  }
  if (next_expiry_at_ <= now) {
    next_expiry_at_ = now + expiry_interval;
    registry_.drop_expired(now);
    delivery_.drop_old_messages(now);
  }
}

void origin_exchange::advance_look_ups(base::time_point now) {
  std::vector<stream_key> settled;
  for (auto& [stream, look_up] : look_ups_) {
    if (look_up.ends_at <= now) {
      settled.push_back(stream);
    } else if (look_up.next_query_at <= now) {
      counts_.repeated_queries += look_up.awaited.size();
      send_queries(stream, look_up, now);
    }
  }
  for (const auto& stream : settled) {
    end_look_up(stream);
  }
}

std::optional<base::time_point> origin_exchange::next_wakeup() const {
  auto earliest = delivery_.next_wakeup();
  const auto consider = [&](base::time_point due_at) {
    earliest = earliest ? std::min(*earliest, due_at) : due_at;
  };
  if (!queued_records_.empty()) {
    consider(send_records_at_);
  }
  if (!queued_acknowledgements_.empty()) {
    consider(send_acknowledgements_at_);
  }
  for (const auto& [stream, look_up] : look_ups_) {
    consider(std::min(look_up.ends_at, look_up.next_query_at));
  }
  return earliest;
}

} // namespace spurrack::streams
