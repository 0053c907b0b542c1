#include "replicas/replica_index.h"

#include <algorithm>

namespace spurrack::serving {
namespace {

bool is_before(const replica_state* state, const base::replica_id& id) {
  return state->record->id < id;
}

} // namespace

void replica_index::add(const replica_state& state) {
  const auto& record = *state.record;
  auto& same_service = by_service_[record.service];
  const auto position =
      std::lower_bound(same_service.begin(), same_service.end(), record.id, is_before);
  same_service.insert(position, &state);
  by_address_.emplace(record.address, record.id);
}

void replica_index::remove(const replica_state& state) {
  const auto& record = *state.record;
  auto& same_service = by_service_.at(record.service);
  same_service.erase(
      std::lower_bound(same_service.begin(), same_service.end(), record.id, is_before));
  if (same_service.empty()) {
    by_service_.erase(record.service);
  }
  by_address_.erase({record.address, record.id});
}

const replica_index::state_list& replica_index::of_service(const std::string& service) const {
  static const state_list none;
  const auto found = by_service_.find(service);
  return found == by_service_.end() ? none : found->second;
}

const base::replica_id* replica_index::at_address(const base::network_address& address) const {
  // The empty identifier sorts before all other identifiers.
  const auto first = by_address_.lower_bound({address, base::replica_id()});
  return first == by_address_.end() || first->first != address ? nullptr : &first->second;
}

} // namespace spurrack::serving
