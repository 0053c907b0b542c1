#include "execution/effect_guard.h"

#include <algorithm>
#include <utility>

namespace spurrack::execution {
namespace {

constexpr base::duration young_witness_retry_after = std::chrono::seconds(5);
/// Interval at which unanswered queries to witnesses and unanswered forwarded requests are sent
/// again, because messages may be lost. Witnesses and owners recognize the duplicates.
constexpr base::duration resend_interval = std::chrono::milliseconds(100);
constexpr base::duration no_majority_retry_after = std::chrono::seconds(1);

} // namespace

effect_guard::effect_guard(guard_settings settings, membership::identity self,
                           base::random_source& random, address_lookup lookup_address,
                           event_recorder record, base::time_point started_at)
    : settings_(settings), self_(std::move(self)), random_(&random),
      lookup_address_(std::move(lookup_address)), record_(std::move(record)),
      witness_store_(started_at, settings.switches.young_witness_wait ? settings.key_lifetime
                                                                      : base::duration::zero()),
      witness_lists_(settings.replaced_list_lifetime) {}

void effect_guard::update_node_list(const catalog::machine_map& machines, base::time_point now) {
  witness_lists_.update(machines, now);
}

std::string effect_guard::key_of(const guarded_request& guarded) {
  if (!guarded.ticket.empty()) {
    return "ticket/" + guarded.ticket;
  }
  return "key/" + guarded.request.plan->tenant.text() + "/" + guarded.idempotency_key;
}

std::string effect_guard::issue_ticket(base::time_point now) {
  const auto issued = idempotency::issue_ticket(self_.node, self_.process_start, *random_);
  effects_.add_ticket("ticket/" + issued.text(), now + settings_.ticket_lifetime);
  return issued.text();
}

void effect_guard::submit(guarded_request request, base::time_point now) {
  if (join_known_effect(key_of(request), request)) {
    return;
  }
  if (!request.ticket.empty()) {
    submit_with_ticket(std::move(request), now);
  } else {
    submit_with_key(std::move(request), now);
  }
}

void effect_guard::submit_forwarded(guarded_request request, base::time_point now) {
  const auto key = key_of(request);
  if (join_known_effect(key, request)) {
    return;
  }
  const auto pending = acquiring_requests_.find(key);
  if (pending != acquiring_requests_.end()) {
    pending->second.attached_callers.push_back(request.request.caller);
  } else if (!request.ticket.empty()) {
    submit_with_ticket(std::move(request), now);
  } else {
    // A witness named this node as the holder of the key. But a majority of the witnesses did not
    // grant the key to the request of this node, so this node has released the key. Another node
    // may have run an earlier request with the key.
    refuse(request, {}, model::outcome::unknown, reason::key_in_use, no_majority_retry_after);
  }
}

bool effect_guard::join_known_effect(const std::string& key, const guarded_request& guarded) {
  const auto* known = effects_.find(key);
  if (known == nullptr || known->state == idempotency::effect_state::issued) {
    return false;
  }
  if (known->state == idempotency::effect_state::running) {
    decisions_.emplace_back(attach_decision{known->request, guarded.request.caller});
    return true;
  }
  const bool may_run_again = known->answer->outcome == model::outcome::not_run &&
                             guarded.request.deadline < known->expires_at;
  if (may_run_again) {
    add_run_decision(guarded.request, key, {}, known->expires_at);
  } else {
    add_answer_decision(guarded, guarded.request.caller, *known->answer);
  }
  return true;
}

void effect_guard::submit_with_ticket(guarded_request guarded, base::time_point now) {
  const auto parsed = idempotency::ticket::parse(guarded.ticket);
  if (!parsed) {
    refuse(guarded, {}, model::outcome::not_run, reason::ticket_invalid, {});
    return;
  }
  if (parsed->node != self_.node) {
    const auto owner = lookup_address_(parsed->node);
    if (!owner) {
      refuse(guarded, {}, model::outcome::unknown, reason::owner_unreachable, {});
      return;
    }
    forward_to_owner(std::move(guarded), {}, *owner, parsed->process_start, now);
    return;
  }
  const auto key = key_of(guarded);
  const auto* known = effects_.find(key);
  const bool is_outdated =
      parsed->process_start != self_.process_start || known == nullptr || known->expires_at <= now;
  if (is_outdated && settings_.switches.ticket_binds_process) {
    // An earlier incarnation of this node, or this incarnation before its record of the ticket
    // expired, may have run the request.
    refuse(guarded, {}, model::outcome::unknown, reason::ticket_expired, {});
    return;
  }
  add_run_decision(std::move(guarded.request), key, {}, now + settings_.key_lifetime);
}

void effect_guard::submit_with_key(guarded_request guarded, base::time_point now) {
  const auto key = key_of(guarded);
  const auto pending = acquiring_requests_.find(key);
  if (pending != acquiring_requests_.end()) {
    pending->second.attached_callers.push_back(guarded.request.caller);
    return;
  }
  if (!settings_.switches.witness_majority) {
    add_run_decision(std::move(guarded.request), key, {}, now + settings_.key_lifetime);
    return;
  }
  idempotency::key_acquisition acquisition(key, witness_lists_.sets_for(key, now));
  const auto acquisition_deadline =
      std::min(now + settings_.witness_timeout, guarded.request.deadline);
  const auto inserted = acquiring_requests_
                            .emplace(key, acquiring_request{std::move(guarded),
                                                            std::move(acquisition),
                                                            {},
                                                            acquisition_deadline,
                                                            now + resend_interval})
                            .first;
  query_witnesses(inserted->second, key);
  resolve_acquisition(key, now);
}

void effect_guard::query_witnesses(const acquiring_request& acquiring, const std::string& key) {
  for (const auto& witness : acquiring.acquisition.unanswered_witnesses()) {
    const auto address = witness == self_.node ? self_.address : lookup_address_(witness);
    if (!address) {
      continue;
    }
    wire::outgoing query{*address, {}};
    auto& body = *query.message.mutable_record_key();
    body.set_key(key);
    body.mutable_owner()->set_node(self_.node.text());
    body.mutable_owner()->set_incarnation(self_.process_start);
    body.mutable_owner()->set_request(acquiring.guarded.request.id.text());
    body.mutable_owner()->set_address(self_.address.text());
    body.set_lifetime_milliseconds(
        static_cast<std::uint64_t>(base::to_milliseconds(settings_.key_lifetime)));
    body.set_node_list_hash(witness_lists_.current_hash());
    messages_.push_back(std::move(query));
  }
}

void effect_guard::handle(const wire::envelope& message, base::time_point now) {
  if (message.has_record_key()) {
    wire::outgoing reply{base::network_address(message.sender_address()), {}};
    *reply.message.mutable_record_key_reply() =
        witness_store_.record(message.record_key(), witness_lists_.current_hash(), now);
    messages_.push_back(std::move(reply));
  } else if (message.has_record_key_reply()) {
    on_record_reply(message, now);
  } else if (message.has_key_release()) {
    witness_store_.release(message.key_release());
  } else if (message.has_forwarded_reply()) {
    on_forwarded_reply(message.forwarded_reply());
  }
}

void effect_guard::on_record_reply(const wire::envelope& message, base::time_point now) {
  const auto& reply = message.record_key_reply();
  const auto found = acquiring_requests_.find(reply.key());
  if (found == acquiring_requests_.end() ||
      found->second.guarded.request.id.text() != reply.request()) {
    return;
  }
  found->second.acquisition.on_reply(base::node_id(message.sender()), reply);
  resolve_acquisition(reply.key(), now);
}

void effect_guard::resolve_acquisition(const std::string& key, base::time_point now) {
  const auto state = acquiring_requests_.at(key).acquisition.state();
  if (state == idempotency::acquisition_state::pending) {
    return;
  }
  auto entry = std::move(acquiring_requests_.extract(key).mapped());
  if (state == idempotency::acquisition_state::acquired) {
    record_(base::event_kind::key_recorded, entry.guarded.request.id, key, "majority of witnesses");
    add_run_decision(std::move(entry.guarded.request), key, entry.attached_callers,
                     now + settings_.key_lifetime);
    return;
  }
  release_key(entry);
  record_(base::event_kind::key_refused, entry.guarded.request.id, key,
          state == idempotency::acquisition_state::held ? "held by another request"
                                                        : "no majority of witnesses");
  const auto& holder = entry.acquisition.holder();
  if (state == idempotency::acquisition_state::held && holder->node() != self_.node.text()) {
    forward_to_owner(std::move(entry.guarded), std::move(entry.attached_callers),
                     base::network_address(holder->address()), holder->incarnation(), now);
    return;
  }
  // This node did not get the key from a majority of the witnesses, so another node may have run an
  // earlier request with the same key.
  if (state == idempotency::acquisition_state::held) {
    refuse(entry.guarded, entry.attached_callers, model::outcome::unknown, reason::key_in_use,
           no_majority_retry_after);
    return;
  }
  const bool has_young_witness = entry.acquisition.has_young_witness();
  refuse(entry.guarded, entry.attached_callers, model::outcome::unknown,
         has_young_witness ? reason::key_witnesses_young : reason::key_no_majority,
         has_young_witness ? young_witness_retry_after : no_majority_retry_after);
}

void effect_guard::release_key(const acquiring_request& acquiring) {
  for (const auto& witness : acquiring.acquisition.witnesses()) {
    const auto address = witness == self_.node ? self_.address : lookup_address_(witness);
    if (address) {
      wire::outgoing message{*address, {}};
      message.message.mutable_key_release()->set_key(acquiring.acquisition.key());
      message.message.mutable_key_release()->set_request(acquiring.guarded.request.id.text());
      messages_.push_back(std::move(message));
    }
  }
}

void effect_guard::forward_to_owner(guarded_request guarded,
                                    std::vector<caller_ref> attached_callers,
                                    const base::network_address& owner,
                                    base::incarnation owner_incarnation, base::time_point now) {
  const auto id = next_forward_id_++;
  record_(base::event_kind::request_forwarded, guarded.request.id, owner.text(), "");
  const auto inserted = forwarded_requests_
                            .emplace(id, forwarded_entry{std::move(guarded),
                                                         std::move(attached_callers),
                                                         owner,
                                                         owner_incarnation,
                                                         {}})
                            .first;
  send_forwarded_request(id, inserted->second, now);
}

void effect_guard::send_forwarded_request(std::uint64_t id, forwarded_entry& entry,
                                          base::time_point now) {
  const auto& guarded = entry.guarded;
  wire::outgoing message{entry.owner, {}};
  auto& body = *message.message.mutable_forwarded_request();
  body.set_forward_id(id);
  body.set_tenant(guarded.request.plan->tenant.text());
  body.set_pipeline(guarded.request.plan->template_name.text());
  body.set_input(guarded.request.input);
  body.set_deadline_milliseconds(
      static_cast<std::uint64_t>(base::to_milliseconds(guarded.request.deadline - now)));
  body.set_ticket(guarded.ticket);
  body.set_idempotency_key(guarded.idempotency_key);
  body.set_owner_incarnation(entry.owner_incarnation);
  messages_.push_back(std::move(message));
  entry.resend_at = now + resend_interval;
}

void effect_guard::on_forwarded_reply(const wire::forwarded_reply& reply) {
  auto found = forwarded_requests_.extract(reply.forward_id());
  if (found.empty()) {
    return;
  }
  const auto& entry = found.mapped();
  if (!reply.is_owner()) {
    refuse(entry.guarded, entry.attached_callers, model::outcome::unknown,
           reason::owner_unreachable, {});
    return;
  }
  const auto content = from_wire(reply.answer());
  add_answer_decision(entry.guarded, entry.guarded.request.caller, content);
  for (const auto& caller : entry.attached_callers) {
    add_answer_decision(entry.guarded, caller, content);
  }
}

void effect_guard::add_run_decision(admitted_request request, const std::string& key,
                                    const std::vector<caller_ref>& attached_callers,
                                    base::time_point expires_at) {
  const auto id = request.id;
  effects_.mark_running(key, id, expires_at);
  decisions_.emplace_back(run_decision{std::move(request)});
  for (const auto& caller : attached_callers) {
    decisions_.emplace_back(attach_decision{id, caller});
  }
}

void effect_guard::refuse(const guarded_request& guarded,
                          const std::vector<caller_ref>& attached_callers, model::outcome outcome,
                          reason failure_reason, base::duration retry_after) {
  answer content;
  content.outcome = outcome;
  content.failure_reason = failure_reason;
  content.request = guarded.request.id;
  content.retry_after = retry_after;
  add_answer_decision(guarded, guarded.request.caller, content);
  for (const auto& caller : attached_callers) {
    add_answer_decision(guarded, caller, content);
  }
}

void effect_guard::add_answer_decision(const guarded_request& guarded, const caller_ref& caller,
                                       const answer& content) {
  decisions_.emplace_back(answer_decision{
      caller, content, {guarded.request.plan->tenant, guarded.request.plan->template_name}});
}

void effect_guard::on_answer(const answer& content) {
  effects_.record_answer(content.request, content);
}

void effect_guard::tick(base::time_point now) {
  witness_store_.expire(now);
  effects_.expire(now);
  tick_acquisitions(now);
  tick_forwards(now);
}

void effect_guard::tick_acquisitions(base::time_point now) {
  std::vector<std::string> expired;
  for (auto& [key, entry] : acquiring_requests_) {
    if (entry.acquisition_deadline <= now) {
      expired.push_back(key);
    } else if (entry.resend_at <= now) {
      entry.resend_at = now + resend_interval;
      query_witnesses(entry, key);
    }
  }
  for (const auto& key : expired) {
    const auto entry = std::move(acquiring_requests_.extract(key).mapped());
    release_key(entry);
    record_(base::event_kind::key_refused, entry.guarded.request.id, key,
            "witnesses did not answer");
    refuse(entry.guarded, entry.attached_callers, model::outcome::unknown, reason::key_no_majority,
           no_majority_retry_after);
  }
}

void effect_guard::tick_forwards(base::time_point now) {
  std::vector<std::uint64_t> expired;
  for (auto& [id, entry] : forwarded_requests_) {
    if (entry.guarded.request.deadline <= now) {
      expired.push_back(id);
    } else if (entry.resend_at <= now) {
      send_forwarded_request(id, entry, now);
    }
  }
  for (const auto id : expired) {
    const auto entry = std::move(forwarded_requests_.extract(id).mapped());
    refuse(entry.guarded, entry.attached_callers, model::outcome::unknown,
           reason::owner_unreachable, {});
  }
}

std::optional<base::time_point> effect_guard::next_deadline() const {
  std::optional<base::time_point> earliest;
  const auto consider = [&](base::time_point when) {
    earliest = earliest ? std::min(*earliest, when) : when;
  };
  for (const auto& [key, entry] : acquiring_requests_) {
    consider(std::min(entry.acquisition_deadline, entry.resend_at));
  }
  for (const auto& [id, entry] : forwarded_requests_) {
    consider(std::min(entry.guarded.request.deadline, entry.resend_at));
  }
  return earliest;
}

std::vector<guard_decision> effect_guard::take_decisions() {
  return std::exchange(decisions_, {});
}

wire::outbox effect_guard::take_messages() {
  return std::exchange(messages_, {});
}

} // namespace spurrack::execution
