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

/// Index that refers to the states and does not own them: until a state is removed from the index,
/// it must not move in memory and its record must not change. `add` and `remove` cost a binary
/// search among the replicas of the service and move up to one pointer per replica of the service.
/// Not thread-safe.
class replica_index {
 public:
  using state_list = std::vector<const replica_state*>;

  void add(const replica_state& state);
  void remove(const replica_state& state);
  /// @return the replicas of a service, ordered by id and therefore in the same order on all nodes.
  [[nodiscard]] const state_list& of_service(const std::string& service) const;
  /// @return the replica at an address; the replica with the smallest id if several have the
  ///         address; null if there is none.
  [[nodiscard]] const base::replica_id* at_address(const base::network_address& address) const;

 private:
  std::unordered_map<std::string, state_list> by_service_;
  std::set<std::pair<base::network_address, base::replica_id>> by_address_;
};

} // namespace spurrack::serving
