#include "simulation/emulated_backend.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace spurrack::simulation {
namespace {

std::string token_text(const std::string& input, std::uint32_t offset) {
  return offset == 0 ? "generate(" + input + ")" : " w" + std::to_string(offset);
}

execution::call_result refusal(const execution::stage_call& call, execution::call_status status) {
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
  if (!alive_) {
    return;
  }
  if (faults_.leaving) {
    reply({refusal(call, execution::call_status::refused_leaving), {}});
    return;
  }
  if (running_.size() + waiting_.size() >= profile_.max_calls) {
    reply({refusal(call, execution::call_status::refused_overloaded), {}});
    return;
  }
  held_call held{call, std::move(reply), std::move(first_token), {}};
  if (running_.size() < profile_.concurrency) {
    start(std::move(held));
  } else {
    waiting_.push_back(std::move(held));
  }
}

base::duration emulated_backend::sample(const execution::stage_call& call) {
  const double exponential = -std::log(1.0 - random_->unit());
  const double factor = (1.0 - profile_.variation) + profile_.variation * exponential;
  const auto tokens =
      static_cast<double>(call.max_tokens - std::min(call.max_tokens, call.resume_offset));
  const double mean =
      base::to_seconds(profile_.service_time) + tokens * base::to_seconds(profile_.time_per_token);
  return base::from_seconds(mean * factor * faults_.slowdown);
}

void emulated_backend::start(held_call held) {
  ++executions_;
  observer_(*this, held.call);
  const auto slot = next_slot_++;
  held.started = events_->now();
  const auto takes = sample(held.call);
  running_.emplace(slot, std::move(held));
  if (!faults_.is_hanging) {
    schedule_first_token(slot, takes);
    events_->schedule_after(takes, [this, slot] { finish(slot); });
  }
}

void emulated_backend::schedule_first_token(std::uint64_t slot, base::duration takes) {
  const auto& call = running_.at(slot).call;
  if (!profile_.early_first_token || call.kind != model::stage_kind::generate) {
    return;
  }
  // The prompt takes its part of the whole time, as the means say.
  const double prompt = base::to_seconds(profile_.service_time);
  const double tokens = call.max_tokens * base::to_seconds(profile_.time_per_token);
  const auto delay = base::from_seconds(base::to_seconds(takes) * prompt / (prompt + tokens));
  events_->schedule_after(delay, [this, slot] {
    const auto found = running_.find(slot);
    if (alive_ && found != running_.end() && found->second.call.resume_offset == 0) {
      const auto& held = found->second;
      held.first_token({held.call.call, 0, token_text(held.call.input, 0)});
    }
  });
}

backend_reply emulated_backend::make_reply(const held_call& held) {
  const auto& call = held.call;
  backend_reply reply;
  reply.result = refusal(call, execution::call_status::completed);
  reply.result.backend_time = events_->now() - held.started;
  reply.result.reported_in_flight =
      static_cast<std::uint32_t>(running_.size() + waiting_.size()) + 1;
  if (call.kind == model::stage_kind::generate) {
    reply.result.tokens = call.max_tokens;
    for (auto offset = call.resume_offset; offset < call.max_tokens; ++offset) {
      reply.tokens.push_back({call.call, offset, token_text(call.input, offset)});
    }
  } else {
    reply.result.output = expected_output(call.kind, call.input, 0);
  }
  if (random_->unit() < faults_.crossed) {
    reply.result.identity.request = base::request_id("another-request");
    reply.result.output = "another answer";
  } else if (random_->unit() < faults_.truncated) {
    reply.result.status = execution::call_status::broken;
    reply.tokens.resize(reply.tokens.size() / 2);
  }
  return reply;
}

void emulated_backend::finish(std::uint64_t slot) {
  auto found = running_.extract(slot);
  if (found.empty() || !alive_) {
    return;
  }
  const auto& held = found.mapped();
  busy_time_ += events_->now() - held.started;
  auto reply = make_reply(held);
  held.reply(std::move(reply));
  start_waiting();
}

void emulated_backend::start_waiting() {
  while (!waiting_.empty() && running_.size() < profile_.concurrency) {
    auto next = std::move(waiting_.front());
    waiting_.pop_front();
    start(std::move(next));
  }
}

void emulated_backend::cancel(const execution::call_identity& identity) {
  std::erase_if(waiting_, [&](const held_call& held) { return held.call.identity == identity; });
  const auto found = std::find_if(running_.begin(), running_.end(), [&](const auto& entry) {
    return entry.second.call.identity == identity;
  });
  if (found != running_.end()) {
    busy_time_ += events_->now() - found->second.started;
    running_.erase(found);
    start_waiting();
  }
}

void emulated_backend::crash() {
  alive_ = false;
  running_.clear();
  waiting_.clear();
}

void emulated_backend::restart() {
  alive_ = true;
}

} // namespace spurrack::simulation
