#include "idempotency/witness_store.h"

namespace spurrack::idempotency {

wire::record_key_reply witness_store::record(const wire::record_key& query,
                                             std::uint64_t own_list_hash, base::time_point now) {
  wire::record_key_reply reply;
  reply.set_key(query.key());
  reply.set_request(query.owner().request());
  const auto found = records_.find(query.key());
  const bool is_held = found != records_.end() && found->second.expires_at > now;
  if (is_held && found->second.owner.request() != query.owner().request()) {
    reply.set_verdict(wire::HELD);
    *reply.mutable_holder() = found->second.owner;
    return reply;
  }
  if (!may_grant(now)) {
    reply.set_verdict(wire::TOO_YOUNG);
    return reply;
  }
  if (query.node_list_hash() != own_list_hash) {
    reply.set_verdict(wire::LIST_DIFFERS);
    return reply;
  }
  const auto lifetime = std::chrono::milliseconds(query.lifetime_milliseconds());
  records_[query.key()] = {query.owner(), now + lifetime};
  reply.set_verdict(wire::GRANTED);
  return reply;
}

void witness_store::release(const wire::key_release& message) {
  const auto found = records_.find(message.key());
  if (found != records_.end() && found->second.owner.request() == message.request()) {
    records_.erase(found);
  }
}

void witness_store::expire(base::time_point now) {
  std::erase_if(records_, [&](const auto& entry) { return entry.second.expires_at <= now; });
}

} // namespace spurrack::idempotency
