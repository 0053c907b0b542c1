/// Judges a caller's request against the catalog: who asks, for what, until when.
#pragma once

#include "catalog/catalog.h"
#include "execution/answer.h"
#include "model/records.h"

#include <memory>
#include <variant>

namespace spurrack::execution {

/// A request that may go on.
struct resolved_request {
  std::shared_ptr<const model::pipeline_plan> plan;
  base::time_point deadline;
};

/// @param arrived_at when the request reached this machine; its deadline counts from then.
/// @return the plan with the request's deadline, or the reason of a refusal. A caller's deadline
/// can
///         only shorten the published one.
std::variant<resolved_request, reason> resolve_request(const catalog::catalog& content,
                                                       const caller_request& request,
                                                       base::time_point arrived_at);

} // namespace spurrack::execution
