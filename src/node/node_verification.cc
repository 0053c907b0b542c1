/// Verification of the list of replicas: position queries to the readers of the region, their
/// answers, and reads of this node (position_queries.h, shared_reads.h).
#include "node/node.h"

#include <algorithm>
#include <utility>

namespace spurrack::node {

std::optional<base::time_point> node::list_verification_wanted() const {
  if (!serving_ || !is_ready_) {
    return std::nullopt;
  }
  auto wanted = serving_->list_verification_wanted();
  const auto verified_at = knowledge(source_kind::machine_list).verified_at();
  if (list_required_at_ && (!verified_at || *verified_at < *list_required_at_)) {
    wanted = std::max(wanted.value_or(*list_required_at_), *list_required_at_);
  }
  return wanted;
}

void node::require_verified_list(base::time_point since) {
  list_required_at_ = std::max(list_required_at_.value_or(since), since);
}

position_queries::reader_list node::readers_of_list(base::time_point now) const {
  position_queries::reader_list readers;
  readers.others = other_readers(source_kind::machine_list, now);
  readers.is_reader = has_watch_job(source_kind::machine_list, now);
  readers.is_isolated = is_isolated(now);
  readers.region_nodes = membership_.own_region_size().nodes;
  return readers;
}

void node::advance_list_verification(base::time_point now) {
  if (!list_verification_wanted()) {
    list_queries_.rest();
  } else if (list_queries_.is_due(now)) {
    const auto heard_through = knowledge(source_kind::machine_list).heard_through();
    const auto step = list_queries_.next_step(readers_of_list(now), heard_through, now);
    if (step.to_send) {
      wire::outgoing query{step.to_send->reader, {}};
      auto& body = *query.message.mutable_position_query();
      body.set_source(static_cast<std::uint32_t>(source_kind::machine_list));
      body.set_number(step.to_send->number);
      outbox_.push_back(std::move(query));
    }
    if (step.should_read) {
      list_reads_.request(now);
    }
  }
  if (list_reads_.is_due(now)) {
    read_services(now);
  }
}

void node::on_position_query(const wire::envelope& message, base::time_point now) {
  const auto& query = message.position_query();
  const bool is_of_list = query.source() == static_cast<std::uint32_t>(source_kind::machine_list);
  if (serving_ && is_ready_ && is_of_list) {
    list_reads_.add({base::network_address(message.sender_address()), query.number(), now});
  }
}

void node::answer_position_queries(const service_answered& answer,
                                   const catalog::answer_meaning& meaning, base::time_point now) {
  if (answer.source != source_kind::machine_list) {
    return;
  }
  if (meaning.verified_at) {
    list_queries_.note_verified(*meaning.verified_at, now);
  }
  for (const auto& query : list_reads_.take_answered(meaning.verified_at)) {
    wire::outgoing reply{query.sender, {}};
    auto& body = *reply.message.mutable_position_answer();
    body.set_source(static_cast<std::uint32_t>(answer.source));
    body.set_number(query.number);
    body.set_era(meaning.era);
    body.set_revision(answer.service_revision);
    outbox_.push_back(std::move(reply));
  }
}

void node::on_position_answer(const wire::envelope& message, base::time_point now) {
  const auto& answer = message.position_answer();
  if (!serving_ || answer.source() != static_cast<std::uint32_t>(source_kind::machine_list)) {
    return;
  }
  const base::network_address sender(message.sender_address());
  const auto verified =
      list_queries_.on_answer(sender, answer.number(), {answer.era(), answer.revision()}, now);
  if (!verified) {
    return;
  }
  auto& known = knowledge_[static_cast<std::size_t>(source_kind::machine_list)];
  known.note_peer_position(verified->through);
  known.verify(verified->through, verified->at);
  if (known.known_through() < verified->through) {
    list_queries_.await_entries(now);
    request_entries(source_kind::machine_list, sender, now);
  }
}

} // namespace spurrack::node
