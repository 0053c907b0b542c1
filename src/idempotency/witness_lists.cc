#include "idempotency/witness_lists.h"

#include "base/hashing.h"

#include <algorithm>
#include <utility>

namespace spurrack::idempotency {
namespace {

std::uint64_t hash_of(const std::vector<base::node_id>& nodes) {
  std::uint64_t hash = 1;
  for (const auto& node : nodes) {
    hash = base::stable_hash(node.text(), hash);
  }
  return hash;
}

} // namespace

void witness_lists::update(const catalog::machine_map& machines, base::time_point now) {
  node_list updated_list;
  for (const auto& [id, machine] : machines) {
    if (machine->role == model::machine_role::node) {
      updated_list.nodes.emplace_back(id);
    }
  }
  if (updated_list.nodes.empty() || updated_list.nodes == current_list_.nodes) {
    return;
  }
  updated_list.hash = hash_of(updated_list.nodes);
  if (!current_list_.nodes.empty()) {
    current_list_.replaced_at = now;
    replaced_lists_.push_back(std::move(current_list_));
  }
  current_list_ = std::move(updated_list);
}

std::vector<witness_set> witness_lists::sets_for(const std::string& key, base::time_point now) {
  while (!replaced_lists_.empty() &&
         now - replaced_lists_.front().replaced_at > replaced_list_lifetime_) {
    replaced_lists_.pop_front();
  }
  std::vector<witness_set> sets;
  const auto add = [&](const node_list& list) {
    if (list.nodes.empty()) {
      return;
    }
    auto chosen = base::rendezvous_top(key, list.nodes, witnesses_per_key);
    std::sort(chosen.begin(), chosen.end());
    const bool is_duplicate = std::any_of(sets.begin(), sets.end(), [&](const witness_set& other) {
      return other.witnesses == chosen;
    });
    if (!is_duplicate) {
      sets.push_back({std::move(chosen)});
    }
  };
  add(current_list_);
  for (const auto& list : replaced_lists_) {
    add(list);
  }
  return sets;
}

} // namespace spurrack::idempotency
