#include "idempotency/key_acquisition.h"

#include <algorithm>
#include <utility>

namespace spurrack::idempotency {

key_acquisition::key_acquisition(std::string key, std::vector<witness_set> sets)
    : key_(std::move(key)), sets_(std::move(sets)) {
  if (sets_.empty()) {
    state_ = acquisition_state::refused;
  }
}

std::vector<base::node_id> key_acquisition::witnesses() const {
  std::set<base::node_id> unique_witnesses;
  for (const auto& group : sets_) {
    unique_witnesses.insert(group.witnesses.begin(), group.witnesses.end());
  }
  return {unique_witnesses.begin(), unique_witnesses.end()};
}

std::vector<base::node_id> key_acquisition::unanswered_witnesses() const {
  auto nodes = witnesses();
  std::erase_if(nodes, [&](const base::node_id& node) {
    return granted_.contains(node) || refused_.contains(node);
  });
  return nodes;
}

std::size_t key_acquisition::count_members_in(const witness_set& group,
                                              const std::set<base::node_id>& nodes) {
  return static_cast<std::size_t>(
      std::count_if(group.witnesses.begin(), group.witnesses.end(),
                    [&](const base::node_id& node) { return nodes.contains(node); }));
}

bool key_acquisition::has_all_majorities() const {
  return std::all_of(sets_.begin(), sets_.end(), [&](const witness_set& group) {
    return count_members_in(group, granted_) >= group.majority();
  });
}

bool key_acquisition::is_any_majority_lost() const {
  return std::any_of(sets_.begin(), sets_.end(), [&](const witness_set& group) {
    return group.witnesses.size() - count_members_in(group, refused_) < group.majority();
  });
}

acquisition_state key_acquisition::on_reply(const base::node_id& witness,
                                            const wire::record_key_reply& reply) {
  if (state_ != acquisition_state::pending) {
    return state_;
  }
  if (reply.verdict() == wire::GRANTED) {
    granted_.insert(witness);
  } else {
    refused_.insert(witness);
    has_young_witness_ = has_young_witness_ || reply.verdict() == wire::TOO_YOUNG;
    if (reply.verdict() == wire::HELD) {
      holder_ = reply.holder();
    }
  }
  if (has_all_majorities()) {
    state_ = acquisition_state::acquired;
  } else if (is_any_majority_lost()) {
    state_ = holder_ ? acquisition_state::held : acquisition_state::refused;
  }
  return state_;
}

} // namespace spurrack::idempotency
