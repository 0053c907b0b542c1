/// The published node lists among which witnesses are chosen: the current one, and those replaced
/// within the reconfiguration window, since records may still stand with their witnesses.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "catalog/catalog.h"

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace spurrack::idempotency {

/// Witnesses of one key under one list.
struct witness_set {
  std::vector<base::node_id> witnesses;
  /// How many must grant.
  [[nodiscard]] std::size_t majority() const { return witnesses.size() / 2 + 1; }
};

/// Not thread-safe.
class witness_lists {
 public:
  /// Witnesses of one key; a majority of them must grant.
  static constexpr std::size_t witnesses_per_key = 5;

  /// @param window how long a replaced list still counts.
  explicit witness_lists(base::duration window) : window_(window) {}

  /// Takes over the published list, where it differs from the current one.
  void update(const catalog::machine_map& machines, base::time_point now);

  /// @return hash of the current list; 0 where none is known.
  [[nodiscard]] std::uint64_t current_hash() const { return current_.hash; }

  /// @return the witnesses of a key under each list that counts; equal sets once. Empty where no
  /// list
  ///         is known.
  [[nodiscard]] std::vector<witness_set> sets_for(const std::string& key, base::time_point now);

 private:
  struct node_list {
    std::vector<base::node_id> nodes;
    std::uint64_t hash = 0;
    base::time_point replaced_at;
  };

  base::duration window_;
  node_list current_;
  std::deque<node_list> replaced_;
};

} // namespace spurrack::idempotency
