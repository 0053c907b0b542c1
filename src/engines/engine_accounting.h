/// Estimates the cached prefixes and the prefill backlog of one engine. Runs at the engine's
/// accounting node, to which all nodes report the long prompts that they send to the engine.
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
  /// Number of tokens of the prompt outside its shared prefix.
  std::uint32_t own_tokens = 0;
  /// Identifies the shared prefix: the hash of the prompt's last shared part; 0 if the prompt has
  /// no shared part.
  std::uint64_t shared_prefix = 0;
  /// Number of tokens of all shared parts of the prompt together.
  std::uint32_t shared_tokens = 0;
};

/// Estimates which shared prefixes an engine has cached. Evicts the least recently used entries.
/// Not thread-safe.
class prefix_cache_model {
 public:
  /// @param capacity number of tokens that the engine can keep, for cached prefixes and running
  ///        requests together.
  explicit prefix_cache_model(std::uint64_t capacity) : capacity_(capacity) {}

  /// Records that a prompt was sent to the engine. From then on, the engine counts as having cached
  /// the prompt's shared prefix and its own tokens.
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
  /// Most recently used entry first. The own tokens of a prompt are an entry with prefix 0, which
  /// `entry_by_prefix_` does not contain.
  std::list<entry> lru_;
  std::unordered_map<std::uint64_t, std::list<entry>::iterator> entry_by_prefix_;
};

/// Not thread-safe.
class engine_accounting {
 public:
  /// @param memory_tokens capacity of the engine's memory, in tokens.
  explicit engine_accounting(std::uint64_t memory_tokens) : prefix_cache_(memory_tokens) {}

  /// Records a prompt that a node sent to the engine.
  /// @param rate tokens that the engine prefills per second; also in the functions below.
  /// @return number of tokens of the prompt that the engine has to prefill.
  std::uint64_t record_send(const sent_prompt& prompt, double rate, base::time_point now);
  /// Returns the prefill backlog, in tokens, if it must be reported to the other nodes: if it is
  /// long, and clearly longer than they assume. Returns std::nullopt otherwise.
  [[nodiscard]] std::optional<std::uint32_t> backlog_to_report(double rate,
                                                               base::time_point now) const;
  /// Records that a backlog was reported to the other nodes.
  void note_reported(std::uint32_t tokens, double rate, base::time_point now);

 private:
  prefix_cache_model prefix_cache_;
  prefill_backlog backlog_;
  /// Backlog that the other nodes are expected to assume after the last reports.
  prefill_backlog reported_backlog_;
};

} // namespace spurrack::serving
