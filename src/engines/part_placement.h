/// Which engines keep the shared parts of a prompt: an order that every node computes alike,
/// without a message between them. Pure; docs/design/engines.md compares the ways.
#pragma once

#include "engines/engine_account.h"
#include "replicas/replica_table.h"
#include "serving/request.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace spurrack::serving {

/// The parts of a prompt that others share.
struct shared_beginning {
  /// Hash of the last shared part; 0 where nothing is shared.
  std::uint64_t last_key = 0;
  /// Tokens of all shared parts.
  std::uint32_t tokens = 0;
};

[[nodiscard]] shared_beginning shared_beginning_of(const request_content& content);

/// @return what is reported of a prompt to the account holder of its engine.
[[nodiscard]] prompt_send prompt_send_of(const request_content& content);

/// @param beginning shares something.
/// @param engines may all be given the prompt; their order does not matter.
/// @param most how many are wanted.
/// @return the homes of the prompt, the first one first. Only the last shared part decides: where
///         prompts that differ share a first part, it is read by every engine that serves one of
///         them, which costs about 1 in 100 of all tokens read, and keeps the work even. With such
///         prompts gathered on a third of the engines the busiest had 2.2 times the mean instead of
///         1.75 (crowded callers of placement_test). An engine that comes or goes changes the homes
///         of no other prompts.
[[nodiscard]] std::vector<const replica_state*>
homes_of(const shared_beginning& beginning, const std::vector<const replica_state*>& engines,
         std::size_t most);

} // namespace spurrack::serving
