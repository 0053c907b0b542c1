/// Finds the states of replicas by their service and by their address.
#pragma once

#include "base/ids.h"
#include "replicas/replica_state.h"

#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace spurrack::serving {

/// Refers to the states and does not own them: one that is indexed keeps its place and its record
/// until it is removed. A change costs a search in the replicas of its service and a move of as
/// many pointers. Not thread-safe.
class replica_index {
 public:
  using state_list = std::vector<const replica_state*>;

  void add(const replica_state& state);
  void remove(const replica_state& state);
  /// @return the replicas of a service, by id: in the same order on all nodes.
  [[nodiscard]] const state_list& of_service(const std::string& service) const;
  /// @return the replica at an address, of several the one with the least id; null where there
  ///         is none.
  [[nodiscard]] const base::replica_id* at_address(const base::network_address& address) const;

 private:
  std::unordered_map<std::string, state_list> by_service_;
  std::set<std::pair<base::network_address, base::replica_id>> by_address_;
};

} // namespace spurrack::serving
