#include "simulation/emulated_backend.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace spurrack::simulation {
namespace {

std::string token_text(const std::string& input, std::uint32_t offset) {
  return offset == 0 ? "generate(" + input + ")" : " w" + std::to_string(offset);
}

execution::call_result make_result(const execution::stage_call& call,
                                   execution::call_status status) {
  execution::call_result result;
  result.call = call.call;
  result.status = status;
  result.identity = call.identity;
  return result;
}

} // namespace

std::string expected_output(model::stage_kind kind, const std::string& input,
                            std::uint32_t max_tokens) {
  if (kind != model::stage_kind::generate) {
    return std::string(model::name_of(kind)) + "(" + input + ")";
  }
  std::string text;
  for (std::uint32_t offset = 0; offset < max_tokens; ++offset) {
    text += token_text(input, offset);
  }
  return text;
}

emulated_backend::emulated_backend(backend_profile profile, event_queue& events,
                                   base::random_source& random, execution_observer observer)
    : profile_(std::move(profile)), events_(&events), random_(&random),
      observer_(std::move(observer)) {}

void emulated_backend::receive(const execution::stage_call& call, reply_handler reply,
                               token_handler first_token) {
  if (!is_alive_) {
    return;
  }
  if (faults_.is_draining) {
    reply({make_result(call, execution::call_status::refused_leaving), {}});
    return;
  }
  if (running_.size() + queued_.size() >= profile_.max_calls) {
    reply({make_result(call, execution::call_status::refused_overloaded), {}});
    return;
  }
  accepted_call accepted{call, std::move(reply), std::move(first_token), {}};
  if (running_.size() < profile_.concurrency) {
    start_call(std::move(accepted));
  } else {
    queued_.push_back(std::move(accepted));
  }
}

base::duration emulated_backend::sample_call_time(const execution::stage_call& call) {
  const double exponential = -std::log(1.0 - random_->next_fraction());
  const double factor = (1.0 - profile_.variation) + profile_.variation * exponential;
  const auto tokens =
      static_cast<double>(call.max_tokens - std::min(call.max_tokens, call.resume_offset));
  const double mean =
      base::to_seconds(profile_.service_time) + tokens * base::to_seconds(profile_.time_per_token);
  return base::from_seconds(mean * factor * faults_.slowdown);
}

void emulated_backend::start_call(accepted_call accepted) {
  ++executions_;
  observer_(*this, accepted.call);
  const auto slot_id = next_slot_id_++;
  accepted.started_at = events_->now();
  const auto call_time = sample_call_time(accepted.call);
  running_.emplace(slot_id, std::move(accepted));
  if (!faults_.is_hanging) {
    schedule_first_token(slot_id, call_time);
    events_->schedule_after(call_time, [this, slot_id] { finish(slot_id); });
  }
}

void emulated_backend::schedule_first_token(std::uint64_t slot_id, base::duration call_time) {
  const auto& call = running_.at(slot_id).call;
  if (!profile_.has_early_first_token || call.kind != model::stage_kind::generate) {
    return;
  }
  // Processing the prompt takes the same fraction of the sampled call time as of the mean call
  // time.
  const double prompt_seconds = base::to_seconds(profile_.service_time);
  const double token_seconds = call.max_tokens * base::to_seconds(profile_.time_per_token);
  const auto delay = base::from_seconds(base::to_seconds(call_time) * prompt_seconds /
                                        (prompt_seconds + token_seconds));
  events_->schedule_after(delay, [this, slot_id] {
    const auto found = running_.find(slot_id);
    if (is_alive_ && found != running_.end() && found->second.call.resume_offset == 0) {
      const auto& accepted = found->second;
      accepted.first_token({accepted.call.call, 0, token_text(accepted.call.input, 0)});
    }
  });
}

backend_reply emulated_backend::make_reply(const accepted_call& accepted) {
  const auto& call = accepted.call;
  backend_reply reply;
  reply.result = make_result(call, execution::call_status::completed);
  reply.result.backend_time = events_->now() - accepted.started_at;
  reply.result.reported_in_flight =
      static_cast<std::uint32_t>(running_.size() + queued_.size()) + 1;
  if (call.kind == model::stage_kind::generate) {
    reply.result.tokens = call.max_tokens;
    for (auto offset = call.resume_offset; offset < call.max_tokens; ++offset) {
      reply.tokens.push_back({call.call, offset, token_text(call.input, offset)});
    }
  } else {
    reply.result.output = expected_output(call.kind, call.input, 0);
  }
  if (random_->next_fraction() < faults_.misdirected_answer_probability) {
    reply.result.identity.request = base::request_id("another-request");
    reply.result.output = "another answer";
  } else if (random_->next_fraction() < faults_.truncated_answer_probability) {
    reply.result.status = execution::call_status::broken;
    reply.tokens.resize(reply.tokens.size() / 2);
  }
  return reply;
}

void emulated_backend::finish(std::uint64_t slot_id) {
  auto found = running_.extract(slot_id);
  if (found.empty() || !is_alive_) {
    return;
  }
  const auto& accepted = found.mapped();
  busy_time_ += events_->now() - accepted.started_at;
  auto reply = make_reply(accepted);
  accepted.reply(std::move(reply));
  start_queued_calls();
}

void emulated_backend::start_queued_calls() {
  while (!queued_.empty() && running_.size() < profile_.concurrency) {
    auto next = std::move(queued_.front());
    queued_.pop_front();
    start_call(std::move(next));
  }
}

void emulated_backend::cancel(const execution::call_identity& identity) {
  std::erase_if(queued_,
                [&](const accepted_call& accepted) { return accepted.call.identity == identity; });
  const auto found = std::find_if(running_.begin(), running_.end(), [&](const auto& entry) {
    return entry.second.call.identity == identity;
  });
  if (found != running_.end()) {
    busy_time_ += events_->now() - found->second.started_at;
    running_.erase(found);
    start_queued_calls();
  }
}

void emulated_backend::crash() {
  is_alive_ = false;
  running_.clear();
  queued_.clear();
}

void emulated_backend::restart() {
  is_alive_ = true;
}

} // namespace spurrack::simulation
