#include "stage_work/stage_exchange.h"

#include "stage_work/result_messages.h"

#include <algorithm>
#include <utility>

namespace spurrack::serving {
namespace {

/// Time after which a piece that its receiver did not acknowledge is sent to another node.
constexpr base::duration acceptance_timeout = std::chrono::milliseconds(250);
/// If this time has passed since the holder of a piece last confirmed that it has the piece, this
/// node asks the holder again.
constexpr base::duration confirmation_interval = std::chrono::milliseconds(700);
/// If this time has passed since the holder of a piece last confirmed that it has the piece, this
/// node assumes that the holder lost the piece, and moves the piece.
constexpr base::duration confirmation_timeout = std::chrono::milliseconds(1500);
/// Minimum time for which this node keeps the outcome of a piece that another node forwarded, to
/// answer queries of that node.
constexpr base::duration reported_result_lifetime = std::chrono::seconds(3);
/// Interval at which this node checks, for the pieces of its requests that other nodes hold,
/// whether the holder is responsive and has confirmed the piece in time. The interval is a tenth of
/// `acceptance_timeout`, the shortest of the times above.
constexpr base::duration placement_check_interval = std::chrono::milliseconds(25);
/// Maximum number of times that a piece is sent to a batcher again after it was first sent. After
/// that, the piece is submitted to this node's own pool.
constexpr std::uint32_t max_moves = 3;

std::int64_t milliseconds_until(base::time_point when, base::time_point now) {
  return base::to_milliseconds(when - now);
}

/// @return residency of a piece that another node forwarded. An empty list of regions in the
///         message means no restriction, since a piece for which no region is permitted is never
///         sent.
model::residency residency_of(const wire::piece_request& request) {
  std::set<base::region_id> regions;
  for (const auto& region : request.permitted_regions()) {
    regions.insert(base::region_id(region));
  }
  return regions.empty() ? model::residency::everywhere()
                         : model::residency::within(std::move(regions));
}

} // namespace

stage_exchange::stage_exchange(fleet_peer self, replica_table& replicas,
                               const serving_settings& settings,
                               std::function<base::call_id()> next_call, piece_ticket first_ticket,
                               decision_recorder record)
    : self_(std::move(self)), regions_(settings.regions), replicas_(&replicas),
      pool_(replicas, settings, std::move(next_call), std::move(record)), peers_(self_, regions_),
      shards_(self_, regions_, replicas, peers_), incarnation_(first_ticket),
      next_ticket_(first_ticket) {
  pool_.set_filter([this](const replica_state& replica, const model::residency& permitted_regions) {
    return may_call(replica, permitted_regions);
  });
}

bool stage_exchange::may_call(const replica_state& replica,
                              const model::residency& permitted_regions) const {
  if (shards_.own_replicas().contains(replica.record->id)) {
    return true;
  }
  // If the pieces may use no replica of this node's own shards, this node calls replicas of other
  // batchers for them: without this rule, the pieces would wait here forever.
  const auto own = shards_.own_services().find(replica.record->service);
  return own == shards_.own_services().end() ||
         std::none_of(own->second.begin(), own->second.end(), [&](const auto& effective_region) {
           return permitted_regions.permits(effective_region.region);
         });
}

report_audience stage_exchange::load_report_audience() const {
  if (shards_.batches_for_other_zones()) {
    return report_audience::everybody;
  }
  const bool for_zone =
      !shards_.own_replicas().empty() || !forwarded_pool_tickets_.empty() || hands_over_pieces();
  return for_zone ? report_audience::own_zone : report_audience::nobody;
}

void stage_exchange::set_configuration(
    std::shared_ptr<const model::serving_configuration> configuration) {
  configuration_ = std::move(configuration);
  pool_.set_configuration(configuration_);
  are_shards_stale_ = true;
}

void stage_exchange::set_peers(std::vector<fleet_peer> peers) {
  peers_.update(std::move(peers));
  note_peers_changed();
}

void stage_exchange::begin_stop(base::time_point now) {
  is_stopping_ = true;
  are_shards_stale_ = true;
  next_load_report_at_ = {};
  return_forwarded(pool_.waiting_tickets(), now);
}

void stage_exchange::set_partitioned(bool is_partitioned, base::time_point now) {
  is_partitioned_ = is_partitioned;
  are_shards_stale_ = true;
  next_load_report_at_ = {};
  if (is_partitioned) {
    return_forwarded(pool_.waiting_tickets(), now);
  }
}

void stage_exchange::move_waiting_pieces(const std::string& service, base::time_point now) {
  const auto waiting = pool_.waiting_tickets(service);
  return_forwarded(waiting, now);
  for (const auto ticket : waiting) {
    const auto own = own_ticket_by_pool_ticket_.find(ticket);
    if (own == own_ticket_by_pool_ticket_.end()) {
      continue;
    }
    auto& placed = placements_.at(own->second);
    const auto chosen = choose_batcher(placed.work, placed.work.result_bytes, now);
    if (chosen && *chosen != self_.node) {
      const auto moved = own->second;
      own_ticket_by_pool_ticket_.erase(own);
      pool_.cancel(ticket);
      place(moved, placed, chosen, now);
    }
  }
}

void stage_exchange::return_forwarded(const std::vector<piece_ticket>& waiting,
                                      base::time_point now) {
  for (const auto ticket : waiting) {
    const auto forwarded = forwarded_by_pool_ticket_.find(ticket);
    if (forwarded != forwarded_by_pool_ticket_.end()) {
      pool_.cancel(ticket);
      finish_forwarded(forwarded->second, {piece_fault::not_run, {}}, {}, now);
      forwarded_pool_tickets_.erase({forwarded->second.origin, forwarded->second.origin_ticket});
      forwarded_by_pool_ticket_.erase(forwarded);
    }
  }
}

// --- pieces of this node -------------------------------------------------------------------------

std::vector<piece_ticket> stage_exchange::submit(std::vector<piece_work> pieces,
                                                 const base::zone_id& zone, base::time_point now) {
  refresh(now);
  double result_bytes = 0;
  for (auto& piece : pieces) {
    result_bytes += piece.result_bytes;
    piece.zone = zone;
  }
  const auto chosen =
      pieces.empty() ? std::nullopt : choose_batcher(pieces.front(), result_bytes, now);
  std::vector<piece_ticket> tickets;
  for (auto& piece : pieces) {
    const auto ticket = next_ticket_++;
    auto& placed = placements_[ticket];
    placed.work = std::move(piece);
    place(ticket, placed, chosen, now);
    tickets.push_back(ticket);
  }
  return tickets;
}

void stage_exchange::place(piece_ticket ticket, placement& placed,
                           const std::optional<base::node_id>& chosen, base::time_point now) {
  placed.sent_at = now;
  placed.confirmed_at.reset();
  auto* holder = chosen ? peers_.find(*chosen) : nullptr;
  if (holder == nullptr) {
    placed.holder = {};
    placed.pool_ticket = pool_.submit(placed.work, now);
    own_ticket_by_pool_ticket_[placed.pool_ticket] = ticket;
    return;
  }
  placed.holder = *chosen;
  ++holder->sent_since_report[placed.work.service];
  auto& request = *message_to(*chosen).add_wanted();
  request.set_ticket(ticket);
  request.set_request(placed.work.request.text());
  request.set_service(placed.work.service);
  request.set_stage(placed.work.stage);
  request.set_piece(placed.work.piece);
  request.set_piece_key(placed.work.piece_key);
  write_inputs(placed.work.inputs, request);
  request.set_due_in_milliseconds(milliseconds_until(placed.work.due, now));
  request.set_expires_in_milliseconds(milliseconds_until(placed.work.deadline, now));
  request.set_result_bytes(placed.work.result_bytes);
  request.set_zone(placed.work.zone.text());
  request.set_carried_bytes(placed.work.carried_bytes);
  request.set_single_attempt(placed.work.single_attempt);
  for (const auto& region : placed.work.permitted_regions.regions()) {
    request.add_permitted_regions(region.text());
  }
}

void stage_exchange::check_placements(base::time_point now) {
  if (now < next_placement_check_at_) {
    return;
  }
  next_placement_check_at_ = now + placement_check_interval;
  for (auto& [ticket, placed] : placements_) {
    if (placed.holder.empty()) {
      continue;
    }
    const auto* peer = peers_.find(placed.holder);
    if (peer == nullptr || peer->unresponsive_since) {
      move_piece(ticket, placed, now);
    } else if (placed.confirmed_at) {
      query_or_move(ticket, placed, now);
    } else if (now - placed.sent_at > acceptance_timeout) {
      peers_.mark_unresponsive(placed.holder, now);
      note_peers_changed();
      refresh(now);
      move_piece(ticket, placed, now);
    }
  }
}

void stage_exchange::query_or_move(piece_ticket ticket, placement& placed, base::time_point now) {
  const auto time_since_confirmation = now - *placed.confirmed_at;
  if (time_since_confirmation >= confirmation_timeout) {
    move_piece(ticket, placed, now);
  } else if (time_since_confirmation >= confirmation_interval &&
             now - placed.queried_at >= acceptance_timeout) {
    placed.queried_at = now;
    message_to(placed.holder).add_asked(ticket);
  }
}

void stage_exchange::move_piece(piece_ticket ticket, placement& placed, base::time_point now) {
  ++placed.moves;
  const auto chosen = placed.moves <= max_moves
                          ? choose_batcher(placed.work, placed.work.result_bytes, now)
                          : std::nullopt;
  if (!chosen || *chosen != placed.holder) {
    message_to(placed.holder).add_cancelled(ticket);
  }
  place(ticket, placed, chosen, now);
}

void stage_exchange::cancel(piece_ticket ticket) {
  const auto found = placements_.find(ticket);
  if (found == placements_.end()) {
    return;
  }
  if (found->second.holder.empty()) {
    own_ticket_by_pool_ticket_.erase(found->second.pool_ticket);
    pool_.cancel(found->second.pool_ticket);
  } else {
    message_to(found->second.holder).add_cancelled(ticket);
  }
  placements_.erase(found);
}

void stage_exchange::release(const std::vector<stage_result>& results) {
  for (const auto& result : results) {
    const auto known = result_accounting_nodes_.find(result.handle);
    const auto* accounting_peer =
        known == result_accounting_nodes_.end() ? nullptr : peers_.find(known->second);
    if (accounting_peer == nullptr || accounting_peer->unresponsive_since) {
      // This node frees the result itself, which any node may do. If another node accounts for the
      // memory of the result, that node is unresponsive or no longer known, and is not told: it
      // counts the memory as used until the result expires.
      pool_.release(result);
    } else {
      message_to(accounting_peer->peer.node).add_released(result.handle);
    }
    if (known != result_accounting_nodes_.end()) {
      result_accounting_nodes_.erase(known);
    }
  }
}

// --- pieces batched here -------------------------------------------------------------------------

void stage_exchange::note_incarnation(peer_state& peer, const wire::stage_work& message,
                                      base::time_point now) {
  const bool has_restarted = peer.incarnation != 0 && peer.incarnation != message.life();
  const bool has_changed_availability = message.leaving() != peer.is_stopping;
  peer.incarnation = message.life();
  peer.is_stopping = message.leaving();
  if (has_restarted || has_changed_availability) {
    note_peers_changed();
    refresh(now);
  }
  if (!has_restarted) {
    return;
  }
  for (auto& [ticket, placed] : placements_) {
    if (placed.holder == peer.peer.node) {
      move_piece(ticket, placed, now);
    }
  }
}

void stage_exchange::send_piece_state(const base::node_id& sender, piece_ticket ticket) {
  if (forwarded_pool_tickets_.contains({sender, ticket})) {
    message_to(sender).add_accepted(ticket);
    return;
  }
  const auto reported = std::find_if(
      reported_results_.begin(), reported_results_.end(), [&](const reported_result& candidate) {
        return candidate.forwarded.origin == sender && candidate.forwarded.origin_ticket == ticket;
      });
  if (reported != reported_results_.end()) {
    send_result(reported->forwarded, reported->outcome, reported->producer);
  } else {
    send_result({sender, ticket}, {piece_fault::not_run, {}}, {});
  }
}

void stage_exchange::accept_piece(const base::node_id& sender, const wire::piece_request& request,
                                  base::time_point now) {
  if (forwarded_pool_tickets_.contains({sender, request.ticket()})) {
    message_to(sender).add_accepted(request.ticket());
    return;
  }
  piece_work work;
  work.request = base::request_id(request.request());
  work.service = request.service();
  work.stage = request.stage();
  work.piece = request.piece();
  work.piece_key = request.piece_key();
  work.inputs = read_inputs(request);
  work.due = now + std::chrono::milliseconds(request.due_in_milliseconds());
  work.deadline = now + std::chrono::milliseconds(request.expires_in_milliseconds());
  work.result_bytes = request.result_bytes();
  work.zone = base::zone_id(request.zone());
  work.carried_bytes = request.carried_bytes();
  work.single_attempt = request.single_attempt();
  work.permitted_regions = residency_of(request);
  const auto pool_ticket = pool_.submit(std::move(work), now);
  forwarded_by_pool_ticket_[pool_ticket] = {sender, request.ticket()};
  forwarded_pool_tickets_[{sender, request.ticket()}] = pool_ticket;
  message_to(sender).add_accepted(request.ticket());
}

void stage_exchange::apply_result(const base::node_id& sender, const wire::piece_result& result,
                                  base::time_point now) {
  const auto found = placements_.find(result.ticket());
  if (found == placements_.end() || found->second.holder != sender) {
    if (!result.handle().empty()) {
      message_to(sender).add_released(result.handle());
    }
    return;
  }
  const auto fault = static_cast<piece_fault>(result.fault());
  if (fault == piece_fault::not_run && found->second.moves <= max_moves) {
    move_piece(result.ticket(), found->second, now);
    return;
  }
  result_producer producer;
  if (!result.handle().empty()) {
    result_accounting_nodes_[result.handle()] = sender;
    producer = result.has_producer()
                   ? read_producer(result.producer())
                   : producer_by_address(*replicas_, result.handle(), found->second.work.service);
  }
  placements_.erase(found);
  finished_.push_back({result.ticket(), {fault, result.handle()}, std::move(producer)});
}

void stage_exchange::handle(const base::node_id& sender, const wire::stage_work& message,
                            base::time_point now) {
  auto* peer = peers_.find(sender);
  if (peer == nullptr) {
    return;
  }
  if (peers_.note_contact(*peer, now)) {
    note_peers_changed();
  }
  note_incarnation(*peer, message, now);
  peers_.record_loads(*peer, message, now);
  for (const auto& request : message.wanted()) {
    accept_piece(sender, request, now);
  }
  for (const auto ticket : message.accepted()) {
    const auto placed = placements_.find(ticket);
    if (placed != placements_.end() && placed->second.holder == sender) {
      placed->second.confirmed_at = now;
    }
  }
  for (const auto ticket : message.fetched()) {
    const auto placed = placements_.find(ticket);
    if (placed != placements_.end() && placed->second.holder == sender) {
      fetched_.push_back(ticket);
    }
  }
  for (const auto& lost : message.lost()) {
    const auto placed = placements_.find(lost.ticket());
    if (placed != placements_.end() && placed->second.holder == sender) {
      lost_piece piece{lost.ticket(), base::replica_id(lost.replica()), lost.replica_end()};
      if (lost.call_milliseconds() > 0) {
        piece.call_time = std::chrono::milliseconds(lost.call_milliseconds() - 1);
      }
      lost_.push_back(std::move(piece));
    }
  }
  for (const auto& result : message.made()) {
    apply_result(sender, result, now);
  }
  for (const auto ticket : message.cancelled()) {
    cancel_forwarded(sender, ticket);
  }
  for (const auto ticket : message.asked()) {
    send_piece_state(sender, ticket);
  }
  for (const auto& handle : message.released()) {
    pool_.release_own(handle);
  }
  if (hands_over_pieces()) {
    return_forwarded(pool_.waiting_tickets(), now);
  }
}

void stage_exchange::cancel_forwarded(const base::node_id& sender, piece_ticket ticket) {
  const auto forwarded = forwarded_pool_tickets_.find({sender, ticket});
  if (forwarded != forwarded_pool_tickets_.end()) {
    pool_.cancel(forwarded->second);
    forwarded_by_pool_ticket_.erase(forwarded->second);
    forwarded_pool_tickets_.erase(forwarded);
  }
}

void stage_exchange::on_replica_restarted(const base::replica_id& replica, base::time_point now) {
  pool_.on_replica_restarted(replica, now);
  collect_pool_results(now);
}

bool stage_exchange::on_call_ended(const stage_call_ended& ended, base::time_point now) {
  const bool is_pool_call = pool_.on_call_ended(ended, now);
  collect_pool_results(now);
  return is_pool_call;
}

void stage_exchange::collect_fetched_pieces() {
  for (const auto ticket : pool_.take_fetched()) {
    if (const auto own = own_ticket_by_pool_ticket_.find(ticket);
        own != own_ticket_by_pool_ticket_.end()) {
      fetched_.push_back(own->second);
    } else if (const auto forwarded = forwarded_by_pool_ticket_.find(ticket);
               forwarded != forwarded_by_pool_ticket_.end()) {
      message_to(forwarded->second.origin).add_fetched(forwarded->second.origin_ticket);
    }
  }
}

void stage_exchange::collect_lost_pieces() {
  for (const auto& lost : pool_.take_lost()) {
    if (const auto own = own_ticket_by_pool_ticket_.find(lost.ticket);
        own != own_ticket_by_pool_ticket_.end()) {
      lost_.push_back({own->second, lost.replica, lost.incarnation_exit, lost.call_time});
    } else if (const auto forwarded = forwarded_by_pool_ticket_.find(lost.ticket);
               forwarded != forwarded_by_pool_ticket_.end()) {
      auto& reported = *message_to(forwarded->second.origin).add_lost();
      reported.set_ticket(forwarded->second.origin_ticket);
      reported.set_replica(lost.replica.text());
      reported.set_replica_end(lost.incarnation_exit);
      if (lost.call_time) {
        reported.set_call_milliseconds(
            1 + static_cast<std::uint32_t>(base::to_milliseconds(*lost.call_time)));
      }
    }
  }
}

void stage_exchange::collect_pool_results(base::time_point now) {
  collect_fetched_pieces();
  collect_lost_pieces();
  for (auto& finished : pool_.take_finished()) {
    const auto own = own_ticket_by_pool_ticket_.find(finished.ticket);
    if (own != own_ticket_by_pool_ticket_.end()) {
      placements_.erase(own->second);
      finished_.push_back({own->second, std::move(finished.outcome), std::move(finished.producer)});
      own_ticket_by_pool_ticket_.erase(own);
      continue;
    }
    const auto forwarded = forwarded_by_pool_ticket_.find(finished.ticket);
    if (forwarded != forwarded_by_pool_ticket_.end()) {
      if (finished.outcome.fault == piece_fault::not_configured) {
        // The origin may have an earlier or a later configuration, and decides by its own.
        finished.outcome.fault = piece_fault::not_run;
      }
      finish_forwarded(forwarded->second, finished.outcome, finished.producer, now);
      forwarded_pool_tickets_.erase({forwarded->second.origin, forwarded->second.origin_ticket});
      forwarded_by_pool_ticket_.erase(forwarded);
    }
  }
}

void stage_exchange::finish_forwarded(const forwarded_piece& forwarded,
                                      const piece_outcome& outcome, const result_producer& producer,
                                      base::time_point now) {
  while (!reported_results_.empty() &&
         now - reported_results_.front().reported_at >= reported_result_lifetime) {
    reported_results_.pop_front();
  }
  reported_results_.push_back({now, forwarded, outcome, producer});
  send_result(forwarded, outcome, producer);
}

void stage_exchange::send_result(const forwarded_piece& forwarded, const piece_outcome& outcome,
                                 const result_producer& producer) {
  auto& result = *message_to(forwarded.origin).add_made();
  result.set_ticket(forwarded.origin_ticket);
  result.set_fault(static_cast<std::uint32_t>(outcome.fault));
  result.set_handle(outcome.handle);
  if (producer.is_known()) {
    write_producer(producer, *result.mutable_producer());
  }
}

// --- time and messages ---------------------------------------------------------------------------

void stage_exchange::resume_after_suspension(base::duration gap) {
  pool_.resume_after_suspension(gap);
  peers_.resume_after_suspension(gap);
  for (auto& [ticket, placed] : placements_) {
    placed.sent_at += gap;
    placed.queried_at += gap;
    if (placed.confirmed_at) {
      *placed.confirmed_at += gap;
    }
  }
}

void stage_exchange::send_loads(base::time_point now) {
  if (now < next_load_report_at_ || !configuration_) {
    return;
  }
  next_load_report_at_ = now + load_report_interval;
  const auto receivers = peers_.next_receivers(load_report_audience());
  if (receivers.empty()) {
    return;
  }
  wire::stage_work report;
  for (const auto& [name, service] : configuration_->services) {
    if (!service.pieces) {
      continue;
    }
    auto& load = *report.add_loads();
    load.set_service(name);
    const auto in_time = pool_.waiting_in_time_count(name, now);
    load.set_waiting(static_cast<std::uint32_t>(in_time));
    load.set_waiting_past_due(static_cast<std::uint32_t>(pool_.waiting_count(name) - in_time));
    load.set_calls_under_way(static_cast<std::uint32_t>(pool_.calls_under_way(name)));
    load.set_drain_rate(pool_.drain_rate_of(name, now).value_or(0));
    describe_own_shards(load, now);
  }
  if (report.loads_size() == 0) {
    return;
  }
  for (const auto& node : receivers) {
    *message_to(node).mutable_loads() = report.loads();
  }
}

void stage_exchange::dispatch_waiting(base::time_point now) {
  refresh(now);
  check_placements(now);
  pool_.dispatch_waiting(now);
  collect_pool_results(now);
  send_loads(now);
}

std::optional<base::time_point> stage_exchange::next_wakeup(base::time_point now) const {
  return pool_.next_wakeup(now);
}

wire::stage_work& stage_exchange::message_to(const base::node_id& node) {
  return messages_[node];
}

wire::outbox stage_exchange::take_messages() {
  wire::outbox out;
  for (auto& [node, content] : messages_) {
    const auto* peer = peers_.find(node);
    if (peer != nullptr) {
      wire::outgoing message{peer->peer.address, {}};
      content.set_life(incarnation_);
      content.set_leaving(hands_over_pieces());
      *message.message.mutable_stage_work() = std::move(content);
      out.push_back(std::move(message));
    }
  }
  messages_.clear();
  return out;
}

} // namespace spurrack::serving
