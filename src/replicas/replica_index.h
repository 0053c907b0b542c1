/// Index of the states of replicas by service and by address.
#pragma once

#include "base/ids.h"
#include "replicas/replica_state.h"

#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace spurrack::serving {

/// Refers to the states and does not own them: the address and the record of an indexed state must
/// not change until the state is removed. An insertion or removal costs a binary search among the
/// replicas of the service and a move of up to as many pointers. Not thread-safe.
class replica_index {
 public:
  using state_list = std::vector<const replica_state*>;

  void add(const replica_state& state);
  void remove(const replica_state& state);
  /// @return the replicas of a service, ordered by id, so in the same order on all nodes.
  [[nodiscard]] const state_list& of_service(const std::string& service) const;
  /// @return the replica at an address; of several replicas the one with the smallest id; null if
  ///         there is none.
  [[nodiscard]] const base::replica_id* at_address(const base::network_address& address) const;

 private:
  std::unordered_map<std::string, state_list> by_service_;
  std::set<std::pair<base::network_address, base::replica_id>> by_address_;
};

} // namespace spurrack::serving
