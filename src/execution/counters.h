/// Counts of the requests that one node executed or refused, for metrics and reports.
#pragma once

#include "base/time.h"
#include "execution/answer.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace spurrack::execution {

/// Outcome counts and costs of the requests of one tenant and template.
struct pipeline_counters {
  /// Number of answers, indexed by `model::outcome`.
  std::array<std::uint64_t, 4> outcomes{};
  /// Summed costs by stage name.
  std::map<std::string, stage_cost> stages;
};

/// Tenant and template by which requests are counted.
struct pipeline_key {
  base::tenant_id tenant;
  base::template_id pipeline;
  auto operator<=>(const pipeline_key&) const = default;
};

/// Counts of requests, calls and results at one node since its start.
struct counters {
  std::map<pipeline_key, pipeline_counters> pipelines;
  /// Number of requests that were not completed, by reason.
  std::map<reason, std::uint64_t> refusals;
  std::uint64_t retries = 0;
  /// Number of results that arrived for calls that had already ended or been cancelled.
  std::uint64_t late_answers = 0;
  /// Number of `completed` results that echoed the identity of another call, or that reported
  /// another number of generated tokens than this node received.
  std::uint64_t misdirected_answers = 0;
  std::uint64_t cancelled_calls = 0;
};

} // namespace spurrack::execution
