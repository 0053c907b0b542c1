/// Resolves a caller's request against the catalog: tenant, pipeline and deadline.
#pragma once

#include "catalog/catalog.h"
#include "execution/answer.h"
#include "model/records.h"

#include <memory>
#include <variant>

namespace spurrack::execution {

/// Request whose tenant, template and deadline are valid.
struct resolved_request {
  std::shared_ptr<const model::pipeline_plan> plan;
  base::time_point deadline;
};

/// @param arrived_at time at which the request reached this machine. The deadline is counted from
///        this time.
/// @return the plan and the deadline of the request, or the reason for its refusal. The deadline
///         that the caller sent can only shorten the published deadline of the template.
std::variant<resolved_request, reason> resolve_request(const catalog::catalog& content,
                                                       const caller_request& request,
                                                       base::time_point arrived_at);

} // namespace spurrack::execution
