#include "execution/effect_guard.h"

#include <algorithm>

namespace spurrack::execution {
namespace {

std::uint64_t microseconds(base::duration span) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(span).count());
}

} // namespace

wire::request_answer to_wire(const answer& content) {
  wire::request_answer message;
  message.set_outcome(static_cast<std::uint32_t>(content.outcome));
  message.set_reason(static_cast<std::uint32_t>(content.failure_reason));
  message.set_request(content.request.text());
  message.set_retry_after_milliseconds(
      static_cast<std::uint64_t>(base::to_milliseconds(content.retry_after)));
  for (const auto& output : content.outputs) {
    auto& added = *message.add_outputs();
    added.set_stage(output.stage);
    added.set_text(output.text);
  }
  for (const auto& cost : content.costs) {
    auto& added = *message.add_costs();
    added.set_stage(cost.stage);
    added.set_backend_microseconds(microseconds(cost.backend_time));
    added.set_wasted_microseconds(microseconds(cost.wasted_time));
    added.set_tokens(cost.tokens);
    added.set_attempts(cost.attempts);
  }
  return message;
}

answer from_wire(const wire::request_answer& message) {
  constexpr auto last_outcome = static_cast<std::uint32_t>(model::outcome::unknown);
  constexpr auto last_reason = static_cast<std::uint32_t>(reason::caller_gone);
  answer content;
  content.outcome = static_cast<model::outcome>(std::min(message.outcome(), last_outcome));
  content.failure_reason = static_cast<reason>(std::min(message.reason(), last_reason));
  content.request = base::request_id(message.request());
  content.retry_after = std::chrono::milliseconds(message.retry_after_milliseconds());
  for (const auto& output : message.outputs()) {
    content.outputs.push_back({output.stage(), output.text()});
  }
  for (const auto& cost : message.costs()) {
    content.costs.push_back({cost.stage(), std::chrono::microseconds(cost.backend_microseconds()),
                             std::chrono::microseconds(cost.wasted_microseconds()), cost.tokens(),
                             cost.attempts()});
  }
  return content;
}

} // namespace spurrack::execution
