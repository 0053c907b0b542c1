#include "streams/origin_exchange.h"

#include "streams/stream_ages.h"

#include <algorithm>
#include <limits>

namespace spurrack::streams {
namespace {

/// Time for which a record waits for others to the same node. Shorter than an engine usually takes
/// to the first event.
constexpr base::duration batch_wait = std::chrono::milliseconds(15);
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
  told.set_call(record.call);
  told.set_lifetime_milliseconds(in_milliseconds(record.expires_at - now));
  told.set_age_milliseconds(in_milliseconds(now - record.recorded_at));
  return told;
}

stream_origin origin_in(const wire::stream_origin& told) {
  return {told.service(), base::software_version(told.version())};
}

} // namespace

origin_exchange::origin_exchange(const serving::fleet_peer& self, version_check evidence_of)
    : witnesses_(self), evidence_of_(std::move(evidence_of)) {
  witnesses_.set_peers({});
}

// --- records -------------------------------------------------------------------------------------

void origin_exchange::note_sent(const stream_key& stream, const stream_origin& origin,
                                std::uint32_t call, base::duration lifetime, bool is_shared,
                                base::time_point now) {
  const auto expires_at = now + std::min(lifetime, max_stream_age) + expiry_margin;
  registry_.record(stream, origin, call, expires_at, true, now);
  if (is_shared) {
    queue_record(stream, now);
  }
}

void origin_exchange::queue_record(const stream_key& stream, base::time_point now) {
  const auto* record = registry_.find(stream, now);
  if (record == nullptr) {
    return;
  }
  if (queued_.empty()) {
    send_queued_at_ = now + batch_wait;
  }
  const auto told = to_wire(stream, *record, now);
  for (const auto& keeper : witnesses_.keepers_of(stream)) {
    *queued_[keeper].add_begun() = told;
    ++counts_.sent_records;
  }
}

void origin_exchange::share_open_streams(const std::string& service, base::time_point now) {
  for (const auto& stream : registry_.open_streams_of(service)) {
    queue_record(stream, now);
  }
}

void origin_exchange::send_records(base::time_point /*now*/) {
  for (auto& [receiver, content] : std::exchange(queued_, {})) {
    send(receiver, content);
  }
}

void origin_exchange::send(const base::network_address& to, const wire::stream_origins& content) {
  wire::outgoing message{to, {}};
  *message.message.mutable_stream_origins() = content;
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
    registry_.record_contradiction(*stream, told.call(), expires_at, now);
  } else {
    registry_.record(*stream, origin_in(told), told.call(), expires_at, false, now);
  }
}

// --- look-ups ------------------------------------------------------------------------------------

std::optional<origin_finding> origin_exchange::find_here(const stream_key& stream,
                                                         base::time_point now) const {
  const auto* record = registry_.find(stream, now);
  if (record == nullptr) {
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
  started.ends_at = now + look_up_timeout;
  for (const auto& queried : witnesses_.queried_for(stream)) {
    started.awaited.emplace(queried.address, queried.zone);
  }
  started.finding.queried = started.awaited.size();
  if (started.awaited.empty()) {
    return started.finding;
  }
  wire::stream_origins content;
  auto& query = *content.add_queries();
  query.set_stream(stream.bytes());
  query.set_service(service);
  for (const auto& [address, zone] : started.awaited) {
    send(address, content);
    ++counts_.sent_queries;
  }
  look_ups_.emplace(stream, std::move(started));
  return std::nullopt;
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
  const auto awaited = found == look_ups_.end() ? std::map<base::network_address, base::zone_id>{}
                                                : found->second.awaited;
  const auto from = awaited.find(address);
  if (from == awaited.end()) {
    ++counts_.late_answers;
    return;
  }
  auto& look_up = found->second;
  look_up.answered_zones.insert(from->second);
  look_up.awaited.erase(address);
  auto& finding = look_up.finding;
  ++finding.answered;
  finding.peers_know_several_versions =
      finding.peers_know_several_versions || answer.has_several_versions();
  note_sole_version(finding, answer, now);
  if (answer.has_origin()) {
    finding.is_contradictory = answer.origin().is_contradictory();
    if (!finding.is_contradictory) {
      finding.origin = origin_in(answer.origin());
    }
    finding.call = answer.origin().call();
    finding.source = sender.text();
    finding.age = std::chrono::milliseconds(answer.origin().age_milliseconds());
  }
  if (is_settled(look_up, now)) {
    end_look_up(*stream);
  }
}

void origin_exchange::note_sole_version(origin_finding& finding,
                                        const wire::stream_origin_answer& answer,
                                        base::time_point now) {
  if (answer.only_version_milliseconds() == 0) {
    return;
  }
  const base::software_version version(answer.only_version());
  const base::time_point since =
      now - std::chrono::milliseconds(answer.only_version_milliseconds());
  if (finding.sole && finding.sole->version != version) {
    finding.peers_know_several_versions = true;
  }
  if (!finding.sole || since < finding.sole->since) {
    finding.sole = {version, since, now};
  }
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
  for (const auto& told : message.begun()) {
    keep(told, now);
  }
  wire::stream_origins answers;
  for (const auto& query : message.queries()) {
    *answers.add_answers() = answer_to(query, now);
    ++counts_.answered_queries;
  }
  if (answers.answers_size() > 0) {
    send(address, answers);
  }
  for (const auto& answer : message.answers()) {
    process_answer(sender, address, answer, now);
  }
}

void origin_exchange::advance(base::time_point now) {
  if (!queued_.empty() && send_queued_at_ <= now) {
    send_records(now);
  }
  std::vector<stream_key> settled;
  for (const auto& [stream, look_up] : look_ups_) {
    if (look_up.ends_at <= now) {
      settled.push_back(stream);
    }
  }
  for (const auto& stream : settled) {
    end_look_up(stream);
  }
  if (next_expiry_at_ <= now) {
    next_expiry_at_ = now + expiry_interval;
    registry_.drop_expired(now);
  }
}

std::optional<base::time_point> origin_exchange::next_wakeup() const {
  std::optional<base::time_point> earliest;
  const auto consider = [&](base::time_point due_at) {
    earliest = earliest ? std::min(*earliest, due_at) : due_at;
  };
  if (!queued_.empty()) {
    consider(send_queued_at_);
  }
  for (const auto& [stream, look_up] : look_ups_) {
    consider(look_up.ends_at);
  }
  return earliest;
}

} // namespace spurrack::streams
