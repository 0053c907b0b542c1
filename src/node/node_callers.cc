/// Processing of requests that callers send or peers forward to a node: checks on arrival,
/// execution and answers.
#include "node/node.h"

#include "execution/plan_resolver.h"

#include <sstream>
#include <utility>

namespace spurrack::node {
namespace {

/// Time after which a caller should retry, stated in the refusal by a starting or stopping node.
constexpr base::duration not_ready_retry_after = std::chrono::milliseconds(500);

} // namespace

base::request_id node::next_request_id() {
  std::ostringstream text;
  text << settings_.self.node.text() << '-' << std::hex << settings_.self.process_start << '-'
       << std::dec << next_request_number_++;
  return base::request_id(text.str());
}

void node::refuse(const execution::caller_ref& caller, const base::request_id& id,
                  execution::reason why, base::duration retry_after, bool may_be_resent) {
  execution::answer content;
  content.outcome = may_be_resent ? model::outcome::unknown : model::outcome::not_run;
  content.failure_reason = why;
  content.request = id;
  content.retry_after = retry_after;
  execution::answer_decision decision{caller, std::move(content), {}};
  execute(decision, last_event_at_);
}

void node::on(const caller_arrived& arrival, base::time_point now) {
  const execution::local_caller caller{arrival.caller};
  const auto id = next_request_id();
  quiet_since_ = now;
  record(base::event_kind::request_received, id, arrival.request.pipeline.text(), "");
  const bool may_be_resent =
      !arrival.request.ticket.empty() || !arrival.request.idempotency_key.empty();
  if (is_stopping_ || !is_ready_) {
    refuse(caller, id,
           is_stopping_ ? execution::reason::node_stopping : execution::reason::node_not_ready,
           not_ready_retry_after, may_be_resent);
    return;
  }
  auto resolution = execution::resolve_request(catalog_, arrival.request, arrival.arrived_at);
  if (const auto* why = std::get_if<execution::reason>(&resolution)) {
    refuse(caller, id, *why, {}, may_be_resent && *why != execution::reason::unknown_token);
    return;
  }
  auto& resolved = std::get<execution::resolved_request>(resolution);
  if (resolved.deadline <= now) {
    refuse(caller, id, execution::reason::deadline_passed, {}, may_be_resent);
    return;
  }
  execution::admitted_request request{
      id, resolved.plan, arrival.request.input, resolved.deadline, caller, arrival.request.stream};
  if (resolved.plan->has_non_repeatable_stage() && may_be_resent) {
    guard_.submit({std::move(request), arrival.request.idempotency_key, arrival.request.ticket},
                  now);
    execute_guard_decisions(now);
    return;
  }
  execution::run_decision decision{std::move(request)};
  execute(decision, now);
}

void node::on(const caller_disconnected& input_event, base::time_point now) {
  executor_.on_caller_gone(input_event.caller, now);
}

void node::on(const ticket_requested& request, base::time_point now) {
  const auto id = next_request_id();
  const execution::local_caller caller{request.caller};
  if (is_stopping_ || !is_ready_) {
    refuse(caller, id, execution::reason::node_not_ready, not_ready_retry_after, false);
  } else if (!catalog_.find_tenant_by_token(request.token_sha256)) {
    refuse(caller, id, execution::reason::unknown_token, {}, false);
  } else {
    commands_.emplace_back(
        send_ticket{request.caller, guard_.issue_ticket(now), settings_.guard.ticket_lifetime});
  }
}

void node::on_forwarded_request(const wire::envelope& message, base::time_point now) {
  const auto& body = message.forwarded_request();
  const execution::remote_caller caller{base::network_address(message.sender_address()),
                                        body.forward_id()};
  const auto id = next_request_id();
  const auto tenant = catalog_.find_tenant(base::tenant_id(body.tenant()));
  const auto pipeline = catalog_.find_template(base::template_id(body.pipeline()));
  auto plan = tenant && pipeline ? model::resolve(*pipeline, *tenant) : std::nullopt;
  if (body.owner_incarnation() != settings_.self.process_start || !plan) {
    answer_peer(caller, {}, false);
    return;
  }
  const auto deadline = now + std::chrono::milliseconds(body.deadline_milliseconds());
  execution::admitted_request request{
      id,           std::make_shared<const model::pipeline_plan>(std::move(*plan)),
      body.input(), deadline,
      caller,       false};
  guard_.submit_forwarded({std::move(request), body.idempotency_key(), body.ticket()}, now);
}

void node::answer_peer(const execution::remote_caller& peer, const execution::answer& content,
                       bool is_owner) {
  wire::outgoing message{peer.peer, {}};
  auto& body = *message.message.mutable_forwarded_reply();
  body.set_forward_id(peer.forward_id);
  body.set_is_owner(is_owner);
  *body.mutable_answer() = execution::to_wire(content);
  outbox_.push_back(std::move(message));
}

void node::execute_guard_decisions(base::time_point now) {
  // Executing a decision of the guard may answer a request, and the answer may lead to further
  // decisions of the guard.
  for (auto decisions = guard_.take_decisions(); !decisions.empty();
       decisions = guard_.take_decisions()) {
    for (auto& decision : decisions) {
      std::visit([&](auto& chosen) { execute(chosen, now); }, decision);
    }
  }
}

void node::execute(execution::run_decision& decision, base::time_point now) {
  auto& request = decision.request;
  const auto refusal = scheduler_.check_admission(*request.plan, request.deadline, now);
  if (!refusal) {
    executor_.start(std::move(request), now);
    return;
  }
  execution::answer content;
  content.failure_reason =
      refusal->no_backend ? execution::reason::no_backend : execution::reason::deadline_unreachable;
  content.request = request.id;
  content.retry_after = refusal->retry_after;
  guard_.on_answer(content);
  execution::answer_decision answered{
      request.caller, std::move(content), {request.plan->tenant, request.plan->template_name}};
  execute(answered, now);
}

void node::execute(execution::attach_decision& decision, base::time_point /*now*/) {
  if (!executor_.attach(decision.running_request, decision.caller)) {
    execution::answer content;
    content.outcome = model::outcome::unknown;
    content.failure_reason = execution::reason::key_in_use;
    content.request = decision.running_request;
    execution::answer_decision answered{decision.caller, std::move(content), {}};
    execute(answered, last_event_at_);
  }
}

void node::execute(execution::answer_decision& decision, base::time_point /*now*/) {
  executor_.count_refusal(decision.counted_pipeline, decision.content);
  record(base::event_kind::request_answered, decision.content.request,
         std::string(model::name_of(decision.content.outcome)),
         std::string(execution::name_of(decision.content.failure_reason)));
  emit(execution::send_answer{decision.caller, std::move(decision.content)});
}

} // namespace spurrack::node
