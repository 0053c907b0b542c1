/// Account of one engine at its account holder: what all nodes have sent it.
#pragma once

#include "base/time.h"
#include "engines/prefill_backlog.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>
#include <utility>

namespace spurrack::serving {

/// A prompt on its way to an engine.
struct sent_prompt {
  std::uint32_t own_tokens = 0;
  /// Hash of the last shared part, 0 where nothing is shared, and tokens of all shared parts.
  std::uint64_t shared_prefix = 0;
  std::uint32_t shared_tokens = 0;
};

/// Shared parts that an engine likely keeps: those used the longest ago give way. Not thread-safe.
class prefix_cache_model {
 public:
  /// @param capacity tokens, those of running requests among them.
  explicit prefix_cache_model(std::uint64_t capacity) : capacity_(capacity) {}

  /// The engine was sent a prompt: its parts and its own tokens are kept from now on.
  /// @return whether the shared parts were kept before.
  bool use(const sent_prompt& prompt);
  [[nodiscard]] std::uint64_t used_tokens() const { return used_tokens_; }

 private:
  struct entry {
    std::uint64_t prefix = 0;
    std::uint64_t tokens = 0;
  };

  std::uint64_t capacity_;
  std::uint64_t used_tokens_ = 0;
  /// Used last first. Own tokens of prompts stand in it as part 0, which nothing finds.
  std::list<entry> lru_;
  std::unordered_map<std::uint64_t, std::list<entry>::iterator> entry_by_prefix_;
};

/// Not thread-safe.
class engine_accounting {
 public:
  /// @param memory_tokens of the engine.
  explicit engine_accounting(std::uint64_t memory_tokens) : prefix_cache_(memory_tokens) {}

  /// @param rate tokens that the engine reads in a second.
  /// @return tokens that it has to read of the prompt.
  std::uint64_t record_send(const sent_prompt& prompt, double rate, base::time_point now);
  /// @return the unread tokens where they are to be reported: they are many, and clearly more than
  ///         the other nodes assume.
  [[nodiscard]] std::optional<std::uint32_t> backlog_to_report(double rate,
                                                               base::time_point now) const;
  /// The backlog was reported to the other nodes.
  void note_reported(std::uint32_t tokens, double rate, base::time_point now);

 private:
  prefix_cache_model prefix_cache_;
  prefill_backlog backlog_;
  /// What the other nodes assume, from the last report.
  prefill_backlog reported_backlog_;
};

} // namespace spurrack::serving
