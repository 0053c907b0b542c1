/// Counts of one node's executions, for metrics and reports.
#pragma once

#include "base/time.h"
#include "execution/answer.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace spurrack::execution {

/// Outcome counts and cost of one (tenant, template).
struct pipeline_counters {
  std::array<std::uint64_t, 4> outcomes{};
  std::map<std::string, stage_cost> stages;
};

/// What a pipeline's counts are kept by.
struct pipeline_key {
  base::tenant_id tenant;
  base::template_id pipeline;
  auto operator<=>(const pipeline_key&) const = default;
};

struct counters {
  std::map<pipeline_key, pipeline_counters> pipelines;
  std::map<reason, std::uint64_t> refusals;
  std::uint64_t retries = 0;
  std::uint64_t late_answers = 0;
  std::uint64_t misdirected_answers = 0;
  std::uint64_t cancelled_calls = 0;
};

} // namespace spurrack::execution
