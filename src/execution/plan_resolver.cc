#include "execution/plan_resolver.h"

#include <algorithm>
#include <utility>

namespace spurrack::execution {

std::variant<resolved_request, reason> resolve_request(const catalog::catalog& content,
                                                       const caller_request& request,
                                                       base::time_point arrived_at) {
  const auto tenant = content.find_tenant_by_token(request.token_sha256);
  if (!tenant) {
    return reason::unknown_token;
  }
  const auto pipeline = content.find_template(request.pipeline);
  if (!pipeline) {
    return reason::unknown_template;
  }
  auto plan = model::resolve(*pipeline, *tenant);
  if (!plan) {
    return reason::unknown_template;
  }
  const auto timeout = std::min(request.deadline.value_or(plan->deadline), plan->deadline);
  if (timeout <= base::duration::zero()) {
    return reason::invalid_deadline;
  }
  return resolved_request{std::make_shared<const model::pipeline_plan>(std::move(*plan)),
                          arrived_at + timeout};
}

} // namespace spurrack::execution
