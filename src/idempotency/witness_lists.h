/// Lists of nodes that the platform publishes, from which the witnesses of each idempotency key are
/// chosen. A witness is a node that records which request holds the key. Recently replaced lists
/// are used besides the current list, because their witnesses may still hold records.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "catalog/catalog.h"

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace spurrack::idempotency {

/// Witnesses of one key that were chosen from one node list.
struct witness_set {
  std::vector<base::node_id> witnesses;
  /// @return number of witnesses that must grant the key.
  [[nodiscard]] std::size_t majority() const { return witnesses.size() / 2 + 1; }
};

/// Chooses the witnesses of keys. Not thread-safe.
class witness_lists {
 public:
  /// Number of witnesses of one key that are chosen from each list.
  static constexpr std::size_t witnesses_per_key = 5;

  /// @param replaced_list_lifetime time after the replacement of a list during which witnesses are
  ///        still chosen from the list.
  explicit witness_lists(base::duration replaced_list_lifetime)
      : replaced_list_lifetime_(replaced_list_lifetime) {}

  /// Makes the nodes in `machines` the current list. Does nothing if `machines` contains no nodes,
  /// or the same nodes as the current list.
  void update(const catalog::machine_map& machines, base::time_point now);

  /// @return hash of the current list; 0 if there is none.
  [[nodiscard]] std::uint64_t current_hash() const { return current_list_.hash; }

  /// @return the witnesses of a key from the current list and from each recently replaced list,
  ///         without duplicate sets; empty if no list is known.
  [[nodiscard]] std::vector<witness_set> sets_for(const std::string& key, base::time_point now);

 private:
  struct node_list {
    std::vector<base::node_id> nodes;
    std::uint64_t hash = 0;
    base::time_point replaced_at;
  };

  base::duration replaced_list_lifetime_;
  node_list current_list_;
  std::deque<node_list> replaced_lists_;
};

} // namespace spurrack::idempotency
