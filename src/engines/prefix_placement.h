/// Maps the shared prefix of a prompt to the engines that cache it, in an order that every node
/// computes alike without messages. Pure functions; docs/design/engines.md compares alternatives.
#pragma once

#include "engines/engine_accounting.h"
#include "replicas/replica_table.h"
#include "serving/request.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace spurrack::serving {

/// The leading parts of a prompt that it has in common with other prompts.
struct shared_prompt_prefix {
  /// Hashes of the first and the last shared part; 0 if the prompt shares no part.
  std::uint64_t first_part_hash = 0;
  std::uint64_t last_part_hash = 0;
  /// Tokens of all shared parts.
  std::uint32_t tokens = 0;
};

/// Returns the shared prefix of a request's prompt: all parts but the last, or the only part.
[[nodiscard]] shared_prompt_prefix shared_prompt_prefix_of(const request_content& content);

/// Returns the report on a request's prompt to the accounting node of its engine.
[[nodiscard]] sent_prompt sent_prompt_of(const request_content& content);

/// Returns the engines among which all prompts with the same first part are distributed; all
/// engines if the first part is the only shared part. An engine that is added or removed replaces
/// at most one of the engines returned.
/// @param prefix must not be empty.
/// @param max_count number of engines to return; all engines are returned if there are no more.
[[nodiscard]] std::vector<const replica_state*>
engines_for_first_part(const shared_prompt_prefix& prefix,
                       std::vector<const replica_state*> engines, std::size_t max_count);

/// Returns the preferred engines of a prompt, in order of preference. Only the hash of the last
/// shared part decides among the engines, so that the load is even. An engine that is added or
/// removed does not change the order of the other engines, so that only the prompts that prefer it
/// are sent to a different engine.
/// @param prefix must not be empty.
/// @param engines that the prompt may be sent to, in any order.
/// @param max_count number of engines to return; fewer are returned if there are no more.
[[nodiscard]] std::vector<const replica_state*>
preferred_engines_of(const shared_prompt_prefix& prefix,
                     const std::vector<const replica_state*>& engines, std::size_t max_count);

} // namespace spurrack::serving
