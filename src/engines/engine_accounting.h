/// Estimates the cached prefixes and the prefill backlog of one engine at its accounting node, to
/// which all nodes report the prompts that they send to the engine.
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

struct sent_prompt {
  /// Tokens that no other request shares.
  std::uint32_t own_tokens = 0;
  /// Hash of the last shared part, which identifies the prefix; 0 if the prompt shares no part.
  std::uint64_t shared_prefix = 0;
  /// Tokens of all shared parts.
  std::uint32_t shared_tokens = 0;
};

/// Estimates which shared prefixes an engine has cached. Evicts the least recently used entries.
/// Not thread-safe.
class prefix_cache_model {
 public:
  /// @param capacity in tokens, including the tokens of running requests.
  explicit prefix_cache_model(std::uint64_t capacity) : capacity_(capacity) {}

  /// Records a prompt that was sent to the engine, which caches the shared prefix and the own
  /// tokens of the prompt.
  /// @return whether the shared prefix was cached before.
  bool use(const sent_prompt& prompt);
  [[nodiscard]] std::uint64_t used_tokens() const { return used_tokens_; }

 private:
  struct entry {
    std::uint64_t prefix = 0;
    std::uint64_t tokens = 0;
  };

  std::uint64_t capacity_;
  std::uint64_t used_tokens_ = 0;
  /// Most recently used first. The own tokens of a prompt are an entry with prefix 0, which no
  /// lookup finds.
  std::list<entry> lru_;
  std::unordered_map<std::uint64_t, std::list<entry>::iterator> entry_by_prefix_;
};

/// Not thread-safe.
class engine_accounting {
 public:
  /// @param memory_tokens capacity of the engine's memory, in tokens.
  explicit engine_accounting(std::uint64_t memory_tokens) : prefix_cache_(memory_tokens) {}

  /// Records a prompt that a node sent to the engine.
  /// @param rate tokens that the engine prefills per second, here and below.
  /// @return tokens of the prompt that the engine has to prefill.
  std::uint64_t record_send(const sent_prompt& prompt, double rate, base::time_point now);
  /// Returns the prefill backlog in tokens if it is long and clearly longer than the other nodes
  /// assume, so that it has to be reported; std::nullopt otherwise.
  [[nodiscard]] std::optional<std::uint32_t> backlog_to_report(double rate,
                                                               base::time_point now) const;
  /// Records that a backlog was reported to the other nodes.
  void note_reported(std::uint32_t tokens, double rate, base::time_point now);

 private:
  prefix_cache_model prefix_cache_;
  prefill_backlog backlog_;
  /// Backlog that the other nodes assume, from the last report.
  prefill_backlog reported_backlog_;
};

} // namespace spurrack::serving
