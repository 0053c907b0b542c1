/// Which engines keep the shared parts of a prompt: an order that every node computes alike,
/// without a message between them. Pure; docs/design/engines.md compares the ways.
#pragma once

#include "engines/engine_accounting.h"
#include "replicas/replica_table.h"
#include "serving/request.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace spurrack::serving {

/// The parts of a prompt that others share.
struct shared_prompt_prefix {
  /// Hashes of the first and the last shared part; 0 where nothing is shared.
  std::uint64_t first_part_hash = 0;
  std::uint64_t last_part_hash = 0;
  /// Tokens of all shared parts.
  std::uint32_t tokens = 0;
};

[[nodiscard]] shared_prompt_prefix shared_prompt_prefix_of(const request_content& content);

/// @return what is reported of a prompt to the account holder of its engine.
[[nodiscard]] sent_prompt sent_prompt_of(const request_content& content);

/// The engines that read the first part of a prompt, for all prompts that begin with it. Which they
/// are depends on the others as little as homes do.
/// @param beginning shares something.
/// @param most how many read it; all where there are no more.
[[nodiscard]] std::vector<const replica_state*>
engines_for_first_part(const shared_prompt_prefix& prefix,
                       std::vector<const replica_state*> engines, std::size_t max_count);

/// @param beginning shares something.
/// @param engines may all be given the prompt; their order does not matter.
/// @param most how many are wanted.
/// @return the homes of the prompt, the first one first. Only the last shared part decides
///         among the engines given, so that the work is even. An engine that comes or goes changes
///         the homes of no other prompts.
[[nodiscard]] std::vector<const replica_state*>
preferred_engines_of(const shared_prompt_prefix& prefix,
                     const std::vector<const replica_state*>& engines, std::size_t max_count);

} // namespace spurrack::serving
