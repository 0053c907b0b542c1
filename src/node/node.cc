#include "node/node.h"

#include <algorithm>
#include <utility>

namespace spurrack::node {
namespace {

constexpr base::duration periodic_interval = std::chrono::milliseconds(100);
/// Longest regular interval between two events; a longer interval is a gap. A node that runs
/// without interruption processes an event at least every `periodic_interval`.
constexpr base::duration max_regular_event_interval = 2 * periodic_interval;
/// Shortest time that counts as a stand of this process: replicas pause for less inside a stream.
constexpr base::duration min_stand = std::chrono::milliseconds(50);
/// Time after a stand of this process within which it reads the messages that waited in its
/// sockets.
constexpr base::duration unread_input_time = std::chrono::milliseconds(50);
/// Maximum numbers of members of other zones among the peers that `replication_peers` returns.
/// Members in the region of this node are near; members in other regions are far, and traffic to
/// far members is expensive. If no far member is known, near members take the places of far
/// members.
constexpr std::size_t max_near_replication_peers = 2;
constexpr std::size_t max_far_replication_peers = 1;
/// Maximum number of random peers to which a resync request is sent at once. With 10 peers, at
/// least one very likely sends the missed state even if half of the fleet is starting, and the
/// requests do not overload a fleet that starts as a whole.
constexpr std::size_t max_resync_peers = 10;
/// Maximum number of rounds, within one event, in which messages from this node to itself are
/// processed; prevents endless loops.
constexpr std::size_t max_loopback_rounds = 8;
/// Time for which a starting node waits for a confirmation that its catalog is current. The store
/// may be down for longer, and a node that restarts meanwhile must serve nevertheless.
constexpr base::duration confirmation_timeout = std::chrono::milliseconds(1'500);

/// Copies the safety switches of a node to the settings of the guard and of routing.
node_settings with_switches(node_settings settings) {
  settings.guard.switches = settings.switches;
  settings.routing.switches = settings.switches;
  return settings;
}

base::event_kind event_kind_of(wire::member_state state) {
  switch (state) {
  case wire::ALIVE:
    return base::event_kind::member_alive;
  case wire::SUSPECT:
    return base::event_kind::member_suspected;
  default:
    return base::event_kind::member_dead;
  }
}

base::event_kind event_kind_of(catalog::apply_verdict verdict) {
  switch (verdict) {
  case catalog::apply_verdict::accepted:
    return base::event_kind::entry_accepted;
  case catalog::apply_verdict::rejected:
    return base::event_kind::entry_rejected;
  default:
    return base::event_kind::entry_older_ignored;
  }
}

} // namespace

node::node(node_settings settings, base::random_source& random, base::time_point now)
    : settings_(with_switches(std::move(settings))), started_at_(now), last_event_at_(now),
      clock_(settings_.wall_offset_microseconds), events_(settings_.event_log_capacity),
      catalog_(settings_.switches),
      replicator_(catalog_, random,
                  [this](const wire::catalog_entry& entry, const catalog::apply_result& result) {
                    record(event_kind_of(result.verdict), {}, entry.key(),
                           "revision " + std::to_string(entry.revision()) +
                               (result.reason.empty() ? "" : ": " + result.reason));
                  }),
      watches_{catalog::service_watch(settings_.service_timing),
               catalog::service_watch(settings_.service_timing)},
      turns_{catalog::read_turns(settings_.knowledge_limits),
             catalog::read_turns(settings_.knowledge_limits)},
      list_queries_(random, static_cast<std::uint64_t>(settings_.self.process_start)),
      last_peer_message_at_(now),
      membership_(
          settings_.self, settings_.membership_timing, random,
          [this](const membership::member& subject) {
            record(event_kind_of(subject.state), {}, subject.node.text(), "");
          },
          settings_.serving ? settings_.serving->regions : model::zone_regions()),
      backends_(settings_.self.zone, settings_.routing),
      scheduler_(settings_.scheduling, backends_, random),
      executor_(
          backends_, scheduler_,
          [this](base::event_kind kind, const base::request_id& request, const std::string& subject,
                 const std::string& detail) { record(kind, request, subject, detail); },
          [this](const execution::answer& content) { guard_.on_answer(content); },
          settings_.switches),
      guard_(
          settings_.guard, settings_.self, random,
          [this](const base::node_id& other) { return address_of(other); },
          [this](base::event_kind kind, const base::request_id& request, const std::string& subject,
                 const std::string& detail) { record(kind, request, subject, detail); },
          now),
      random_(&random), next_periodic_at_(now) {
  if (settings_.serving) {
    peer_wait_fraction_ = random.next_fraction();
    const serving::fleet_peer self{settings_.self.node, settings_.self.zone, settings_.self.address,
                                   settings_.self.processor_share};
    serving_.emplace(self, *settings_.serving, random, settings_.self.process_start,
                     [this](base::event_kind kind, const base::request_id& request,
                            const std::string& subject,
                            const std::string& detail) { record(kind, request, subject, detail); });
  }
  for (const auto& seed : settings_.seeds) {
    membership_.add_gossip_seed(seed);
  }
  record(base::event_kind::node_started, {}, settings_.self.node.text(), "");
}

std::uint64_t control_counters::bytes_sent_of(wire::envelope::BodyCase kind) const {
  std::uint64_t sum = 0;
  for (const auto& [flow, bytes] : bytes_sent_by_class) {
    sum += flow.kind == kind ? bytes : 0;
  }
  return sum;
}

command_list node::handle(const event& input_event, base::time_point now) {
  detect_suspension(now);
  last_event_at_ = now;
  // Expired requests are aborted before the event is processed.
  executor_.expire(now);
  guard_.tick(now);
  std::visit([&](const auto& concrete_event) { on(concrete_event, now); }, input_event);
  flush(now);
  return std::exchange(commands_, {});
}

command_list node::handle_unread(const std::vector<event>& events, base::time_point now) {
  detect_suspension(now);
  last_event_at_ = now;
  // Deadlines and leases of own pipelines count on while the process stands.
  executor_.expire(now);
  guard_.tick(now);
  for (const auto& input_event : events) {
    std::visit([&](const auto& concrete_event) { on(concrete_event, now); }, input_event);
  }
  flush(now);
  return std::exchange(commands_, {});
}

base::time_point node::next_wakeup() const {
  auto earliest = next_periodic_at_;
  const auto consider = [&](const std::optional<base::time_point>& wakeup_at) {
    earliest = wakeup_at ? std::min(earliest, *wakeup_at) : earliest;
  };
  consider(executor_.next_deadline());
  consider(guard_.next_deadline());
  consider(scheduler_.next_wakeup(last_event_at_));
  for (const auto& missing : missing_entries_) {
    consider(missing ? std::optional(missing->request_at) : std::nullopt);
  }
  consider(list_reads_.due_at());
  if (list_verification_wanted()) {
    consider(list_queries_.due_at());
  }
  if (serving_) {
    consider(serving_->next_wakeup(last_event_at_));
  }
  return earliest;
}

void node::record(base::event_kind kind, const base::request_id& request,
                  const std::string& subject, const std::string& detail) {
  base::event entry{clock_.next(last_event_at_), kind, request, subject, detail};
  if (settings_.serving) {
    commands_.emplace_back(log_event{entry});
  }
  events_.add(std::move(entry));
}

// --- suspension and readiness --------------------------------------------------------------------

void node::detect_suspension(base::time_point now) {
  // Requests may have waited in sockets during a gap, even if the gap is too short to count as a
  // suspension. Therefore `stop_linger_time` starts again after each gap.
  if (now - last_event_at_ > max_regular_event_interval) {
    quiet_since_ = now;
  }
  // A stand that the caller has noted is not counted again.
  const auto stand = now - std::max(last_event_at_, stand_noted_at_) - periodic_interval;
  if (stand >= min_stand) {
    note_unread_messages(std::max(last_event_at_, stand_noted_at_), now);
    forward_stand(stand, now);
  }
  if (now - last_event_at_ <= settings_.suspension_threshold) {
    return;
  }
  const auto gap = now - last_event_at_;
  last_event_at_ = now;
  record(base::event_kind::node_resumed_after_pause, {}, settings_.self.node.text(),
         std::to_string(base::to_milliseconds(gap)) + " ms");
  membership_.resume_after_suspension(now);
  executor_.set_dispatch_paused(true);
  dispatch_pause_ends_at_ = now + settings_.resync_timeout;
  if (serving_) {
    serving_->resume_after_suspension(now);
  }
  request_resync(now);
}

void node::note_stand(base::duration stand, base::time_point now) {
  const bool is_suspension = now - last_event_at_ > settings_.suspension_threshold;
  if (is_suspension) {
    // The next event detects the suspension, whose treatment includes that of a stand.
    return;
  }
  stand_noted_at_ = now;
  note_unread_messages(now - stand, now);
  forward_stand(stand, now);
}

void node::note_unread_messages(base::time_point since, base::time_point now) {
  const bool follows_another_stand = since <= unread_until_;
  unread_since_ = follows_another_stand ? std::min(unread_since_, since) : since;
  unread_until_ = now + unread_input_time;
}

void node::forward_stand(base::duration stand, base::time_point now) {
  membership_.note_stand(stand, now);
  for (auto& watch : watches_) {
    watch.note_stand();
  }
  if (serving_) {
    serving_->note_stand(stand, now);
  }
}

void node::request_resync(base::time_point /*now*/) {
  auto peers = replication_peers();
  for (std::size_t sent = 0; sent < max_resync_peers && !peers.empty(); ++sent) {
    wire::outgoing message{base::take_random(peers, *random_), {}};
    message.message.mutable_ping()->set_resync(true);
    outbox_.push_back(std::move(message));
  }
}

void node::check_resync(const wire::envelope& message, base::time_point now) {
  const bool is_equal = message.catalog_hash() == catalog_.content_hash() && catalog_.size() > 0;
  if (!is_equal) {
    return;
  }
  is_synced_with_peer_ = true;
  if (dispatch_pause_ends_at_ && message.has_acknowledgement() &&
      message.acknowledgement().resync()) {
    dispatch_pause_ends_at_.reset();
    executor_.set_dispatch_paused(false);
  }
  update_readiness(now);
}

void node::update_readiness(base::time_point now) {
  if (is_ready_) {
    return;
  }
  const bool have_services_answered = watches_[0].has_answered() && watches_[1].has_answered();
  const bool has_waited = now - started_at_ >= settings_.resync_timeout;
  const bool is_up_to_date = is_synced_with_peer_ || (have_services_answered && has_waited);
  const bool has_content = serving_ ? catalog_.serving() != nullptr : catalog_.size() > 0;
  // A peer with the same catalog may be as outdated as a stale listing. Only if the services
  // confirm nothing to any node, for example because they are down, does such a catalog suffice.
  const bool is_confirmed = !serving_ || now - started_at_ >= confirmation_timeout ||
                            std::none_of(all_sources.begin(), all_sources.end(), [&](auto source) {
                              return is_knowledge_overdue(source, now);
                            });
  // Without a list of replicas, a node that serves published routes refuses every request.
  constexpr auto machine_list = source_kind::machine_list;
  const bool knows_replicas = !serving_ || !catalog_.replicas().empty() ||
                              knowledge(machine_list).confirmed().has_value() ||
                              watches_[static_cast<std::size_t>(machine_list)].has_answered();
  if (has_content && is_up_to_date && is_confirmed && knows_replicas) {
    is_ready_ = true;
    record(base::event_kind::node_ready, {}, settings_.self.node.text(), "");
  }
}

// --- periodic work -------------------------------------------------------------------------------

void node::on(const time_passed& /*input_event*/, base::time_point now) {
  if (now >= next_periodic_at_) {
    next_periodic_at_ = now + periodic_interval;
    run_periodic(now);
  }
  request_missing_entries(now);
}

void node::run_periodic(base::time_point now) {
  membership_.tick(now, outbox_);
  update_limit_sharing();
  update_serving_peers(now);
  executor_.retry_stalled_calls(now);
  read_services(now);
  log_knowledge_changes(now);
  if (!is_ready_) {
    request_resync(now);
  }
  if (dispatch_pause_ends_at_ && now >= *dispatch_pause_ends_at_) {
    dispatch_pause_ends_at_.reset();
    executor_.set_dispatch_paused(false);
  }
  update_readiness(now);
}

bool node::is_near(const base::zone_id& zone) const {
  const auto& own_zone = settings_.self.zone;
  return !serving_ || !settings_.serving->regions.are_in_different_regions(own_zone, zone);
}

model::locality node::peer_locality(const base::network_address& peer) const {
  const auto* zone = membership_.zone_at(peer);
  if (zone == nullptr) {
    return model::locality::elsewhere;
  }
  if (!settings_.serving) {
    return *zone == settings_.self.zone ? model::locality::zone : model::locality::elsewhere;
  }
  return settings_.serving->regions.locality_between(settings_.self.zone, *zone);
}

void node::update_limit_sharing() {
  const auto nodes = membership_.live_zone_nodes();
  const auto own_entry = std::find(nodes.begin(), nodes.end(), settings_.self.node);
  backends_.set_sharing_nodes(static_cast<std::uint32_t>(nodes.size()),
                              static_cast<std::uint32_t>(own_entry - nodes.begin()));
}

// --- catalog -------------------------------------------------------------------------------------

void node::apply_serving_changes(base::time_point now) {
  if (serving_ && catalog_.serving_changes() != seen_serving_changes_) {
    seen_serving_changes_ = catalog_.serving_changes();
    serving_->update(catalog_, now);
  }
}

void node::update_serving_peers(base::time_point now) {
  if (!serving_) {
    return;
  }
  serving_->set_unreachable_zones(membership_.zones().unreachable_zones(now));
  if (membership_.version() == seen_membership_version_) {
    return;
  }
  seen_membership_version_ = membership_.version();
  std::vector<serving::fleet_peer> alive;
  for (const auto& [name, other] : membership_.members()) {
    if (other.state != wire::DEAD) {
      alive.push_back({name, other.zone, other.address, other.processor_share});
    }
  }
  serving_->set_peers(std::move(alive), membership_.members().size());
}

void node::apply_machine_changes(base::time_point now) {
  apply_serving_changes(now);
  if (catalog_.machine_changes() == seen_machine_changes_) {
    return;
  }
  seen_machine_changes_ = catalog_.machine_changes();
  membership_.set_published_nodes(catalog_.machines(), now);
  backends_.update(catalog_.machines());
  guard_.update_node_list(catalog_.machines(), now);
  update_limit_sharing();
}

// --- back ends -----------------------------------------------------------------------------------

void node::on(const execution::call_result& input_event, base::time_point now) {
  executor_.on_result(input_event, now);
}

void node::on(const execution::call_token& input_event, base::time_point now) {
  executor_.on_token(input_event, now);
}

void node::on(const seeds_changed& input_event, base::time_point /*now*/) {
  membership_.set_gossip_seeds(input_event.seeds);
}

void node::on(const release_requested& input_event, base::time_point now) {
  if (serving_) {
    serving_->release_suspect(input_event.digest, now);
  }
}

void node::on(const serving::event& input_event, base::time_point now) {
  if (!serving_) {
    return;
  }
  if (std::holds_alternative<serving::request_arrived>(input_event)) {
    quiet_since_ = now;
    const auto& configuration = knowledge(source_kind::configuration);
    serving_->set_configuration_knowledge({configuration.known_through().era,
                                           configuration.age(now),
                                           is_knowledge_overdue(source_kind::configuration, now)});
    update_replica_list_age();
  }
  serving_->handle(input_event, now);
}

void node::update_replica_list_age() {
  const auto& replica_list = knowledge(source_kind::machine_list).confirmed();
  if (replica_list) {
    serving_->confirm_replica_list(replica_list->at);
  }
  if (const auto verified_at = knowledge(source_kind::machine_list).verified_at()) {
    serving_->verify_replica_list(*verified_at);
  }
}

// --- graceful stop -------------------------------------------------------------------------------

void node::on(const stop_requested& /*input_event*/, base::time_point now) {
  if (!is_stopping_) {
    is_stopping_ = true;
    stop_started_at_ = now;
    quiet_since_ = now;
    if (serving_) {
      serving_->begin_stop(now, now + settings_.serving->max_stop_duration);
    }
    record(base::event_kind::node_stopping, {}, settings_.self.node.text(), "");
  }
}

// --- output --------------------------------------------------------------------------------------

void node::flush(base::time_point now) {
  for (std::size_t round = 0; round < max_loopback_rounds; ++round) {
    execute_guard_decisions(now);
    executor_.dispatch_waiting(now);
    if (serving_) {
      update_replica_list_age();
      serving_->advance(now);
      advance_list_verification(now);
      for (auto& queued : serving_->take_commands()) {
        commands_.emplace_back(std::move(queued));
      }
      auto serving_messages = serving_->take_messages();
      std::move(serving_messages.begin(), serving_messages.end(), std::back_inserter(outbox_));
    }
    for (auto& queued : executor_.take_commands()) {
      std::visit([&](auto& concrete_command) { emit(std::move(concrete_command)); }, queued);
    }
    announce_new_leave_notices();
    auto messages = guard_.take_messages();
    std::move(messages.begin(), messages.end(), std::back_inserter(outbox_));
    if (outbox_.empty()) {
      break;
    }
    flush_messages(now);
  }
  check_stop(now);
}

void node::check_stop(base::time_point now) {
  if (!is_stopping_) {
    return;
  }
  // Requests may still arrive on open connections after `stop_completed` was emitted. Therefore
  // requests that are still active after the maximum duration of the stop are aborted even then.
  abort_overdue_requests(now);
  if (is_stop_reported_) {
    return;
  }
  const bool is_idle = executor_.active_requests() == 0 && guard_.pending_requests() == 0 &&
                       (!serving_ || !serving_->is_busy());
  const bool is_quiet = now - quiet_since_ >= settings_.stop_linger_time ||
                        now - stop_started_at_ >= settings_.max_stop_linger_time;
  if ((is_idle && is_quiet) || must_abort_requests(now) || !settings_.switches.drain_before_stop) {
    is_stop_reported_ = true;
    commands_.emplace_back(stop_completed{});
  }
}

bool node::must_abort_requests(base::time_point now) const {
  return serving_ && now - stop_started_at_ >= settings_.serving->max_stop_duration;
}

void node::abort_overdue_requests(base::time_point now) {
  if (must_abort_requests(now) && serving_->active_requests() > 0) {
    serving_->abort_all_requests(now);
    for (auto& queued : serving_->take_commands()) {
      commands_.emplace_back(std::move(queued));
    }
  }
}

void node::emit(execution::send_answer&& answer) {
  if (const auto* peer = std::get_if<execution::remote_caller>(&answer.caller)) {
    answer_peer(*peer, answer.content, true);
  } else {
    commands_.emplace_back(std::move(answer));
  }
}

void node::add_leave_notices(wire::envelope& message) const {
  const bool carries_notices = message.has_zone_digest() || (message.has_acknowledgement() &&
                                                             message.acknowledgement().resync());
  if (!carries_notices) {
    return;
  }
  for (const auto& [backend, generation] : backends_.drain_notices()) {
    auto& notice = message.has_zone_digest() ? *message.mutable_zone_digest()->add_leaving()
                                             : *message.mutable_acknowledgement()->add_leaving();
    notice.set_backend(backend.text());
    notice.set_generation(generation);
  }
}

void node::flush_messages(base::time_point now) {
  auto messages = std::exchange(outbox_, {});
  const auto hash = catalog_.content_hash();
  for (auto& message : messages) {
    auto& envelope = message.message;
    envelope.set_sender(settings_.self.node.text());
    envelope.set_sender_incarnation(membership_.incarnation());
    envelope.set_sender_zone(settings_.self.zone.text());
    envelope.set_sender_address(settings_.self.address.text());
    envelope.set_catalog_hash(hash);
    envelope.set_sender_is_ready(is_ready_);
    add_leave_notices(envelope);
    add_knowledge(envelope, now);
    const auto sent_at = clock_.next(now);
    envelope.mutable_sent_at()->set_wall_microseconds(sent_at.wall_microseconds);
    envelope.mutable_sent_at()->set_logical(sent_at.logical);
    if (message.to == settings_.self.address) {
      dispatch_message(envelope, now);
      continue;
    }
    envelope.set_sender_processor_share(settings_.self.processor_share);
    membership_.piggyback(envelope);
    ++control_.messages_sent;
    const auto size = envelope.ByteSizeLong();
    control_.bytes_sent += size;
    control_.bytes_sent_by_class[{envelope.body_case(), peer_locality(message.to)}] += size;
    commands_.emplace_back(std::move(message));
  }
}

std::vector<base::network_address> node::zone_peer_addresses() const {
  std::vector<base::network_address> addresses;
  for (const auto& peer : membership_.live_peers()) {
    addresses.push_back(peer.address);
  }
  return addresses;
}

std::vector<base::network_address> node::replication_peers() {
  auto addresses = zone_peer_addresses();
  if (!serving_) {
    return addresses;
  }
  std::vector<base::network_address> near;
  std::vector<base::network_address> far;
  for (const auto& [name, other] : membership_.members()) {
    if (other.zone != settings_.self.zone) {
      (is_near(other.zone) ? near : far).push_back(other.address);
    }
  }
  const auto near_count = far.empty() ? max_near_replication_peers + max_far_replication_peers
                                      : max_near_replication_peers;
  for (std::size_t added = 0; added < near_count && !near.empty(); ++added) {
    addresses.push_back(base::take_random(near, *random_));
  }
  for (std::size_t added = 0; added < max_far_replication_peers && !far.empty(); ++added) {
    addresses.push_back(base::take_random(far, *random_));
  }
  return addresses;
}

std::optional<base::network_address> node::address_of(const base::node_id& other) const {
  const auto found = membership_.members().find(other);
  if (found == membership_.members().end()) {
    return std::nullopt;
  }
  return found->second.address;
}

} // namespace spurrack::node
