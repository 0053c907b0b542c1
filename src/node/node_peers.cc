/// Processing of messages that a node receives from peers.
#include "node/node.h"

#include <utility>

namespace spurrack::node {
namespace {

/// Delivers a message to the part of the dispatcher that handles its kind.
void deliver_to_serving(serving::dispatcher& serving, const wire::envelope& message,
                        base::time_point now) {
  const base::node_id node(message.sender());
  const base::network_address address(message.sender_address());
  if (message.has_stage_work()) {
    serving.handle_peer(node, message.stage_work(), now);
  }
  if (message.has_engine_news()) {
    serving.handle_peer(message.engine_news(), now);
  }
  if (message.has_replica_news()) {
    serving.handle_peer(node, message.replica_news(), now);
  }
  if (message.has_crash_news()) {
    serving.handle_peer(address, message.crash_news(), now);
  }
  if (message.has_relay_offer()) {
    serving.handle_peer(node, address, message.relay_offer(), now);
  }
  if (message.has_stream_origins()) {
    serving.handle_peer(node, address, message.stream_origins(), now);
  }
  if (message.has_rate_limits()) {
    serving.handle_peer(node, message.rate_limits(), now);
  }
  if (message.has_retry_lending()) {
    serving.handle_peer(node, address, message.retry_lending(), now);
  }
}

} // namespace

void node::on(const peer_message& input_event, base::time_point now) {
  const auto& message = input_event.message;
  ++control_.messages_received;
  control_.bytes_received += message.ByteSizeLong();
  last_peer_message_at_ = now;
  clock_.observe({message.sent_at().wall_microseconds(), message.sent_at().logical()}, now);
  const base::node_id sender(message.sender());
  if (membership_.may_be_member(sender)) {
    membership_.observe(message, now);
  }
  dispatch_message(message, now);
  check_resync(message, now);
}

void node::dispatch_message(const wire::envelope& message, base::time_point now) {
  const base::network_address sender(message.sender_address());
  const bool is_from_own_zone = message.sender_zone() == settings_.self.zone.text();
  membership_.handle(message, now, outbox_);
  const bool has_entries = replicator_.handle(
      message, [this] { return replication_peers(); }, now, knowledge_, outbox_);
  if (serving_) {
    note_peer_knowledge(message, has_entries, now);
  }
  for (const auto& notice : message.acknowledgement().leaving()) {
    on_backend_notice(notice, true, now);
  }
  if (message.has_backend_notice()) {
    on_backend_notice(message.backend_notice(), is_from_own_zone, now);
  }
  for (const auto& notice : message.zone_digest().leaving()) {
    on_backend_notice(notice, false, now);
  }
  if (message.has_forwarded_request()) {
    on_forwarded_request(message, now);
  }
  guard_.handle(message, now);
  if (serving_) {
    deliver_to_serving(*serving_, message, now);
  }
  if (message.has_watch_handover()) {
    on_watch_handover(message.watch_handover(), now);
  }
  if (message.has_position_query()) {
    on_position_query(message, now);
  }
  if (message.has_position_answer()) {
    on_position_answer(message, now);
  }
  const bool is_membership_message =
      message.has_ping() || message.has_acknowledgement() || message.has_zone_digest();
  if (is_membership_message) {
    // This node compares its catalog with that of a node of another region only after the catalogs
    // have differed for `settle_time`, because traffic between regions is expensive.
    const bool is_near_sender = is_near(base::zone_id(message.sender_zone()));
    const bool is_catching_up = !is_ready_ || dispatch_pause_ends_at_.has_value();
    const bool is_eager = is_catching_up && is_near_sender && message.sender_is_ready();
    replicator_.compare(sender, message.catalog_hash(), is_eager, now, outbox_);
  }
  apply_machine_changes(now);
}

void node::on_backend_notice(const wire::backend_notice& notice, bool is_from_own_zone,
                             base::time_point /*now*/) {
  const base::backend_id backend(notice.backend());
  if (!backends_.mark_draining(backend, notice.generation())) {
    return;
  }
  record(base::event_kind::backend_leaving, {}, notice.backend(), "announced by a peer");
  if (is_from_own_zone) {
    announced_leave_generations_[backend] = notice.generation();
  }
}

void node::announce_new_leave_notices() {
  for (const auto& [backend, generation] : backends_.drain_notices()) {
    auto& announced = announced_leave_generations_[backend];
    if (announced < generation) {
      announced = generation;
      wire::backend_notice notice;
      notice.set_backend(backend.text());
      notice.set_generation(generation);
      broadcast_leave_notice(notice);
    }
  }
}

void node::broadcast_leave_notice(const wire::backend_notice& notice) {
  for (const auto& [name, other] : membership_.members()) {
    // Nodes of other zones receive the leave notice in the digests that relays send.
    if (other.zone != settings_.self.zone || other.state == wire::DEAD) {
      continue;
    }
    wire::outgoing message{other.address, {}};
    *message.message.mutable_backend_notice() = notice;
    outbox_.push_back(std::move(message));
  }
}

} // namespace spurrack::node
