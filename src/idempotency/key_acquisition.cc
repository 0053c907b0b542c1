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
  std::set<base::node_id> all;
  for (const auto& group : sets_) {
    all.insert(group.witnesses.begin(), group.witnesses.end());
  }
  return {all.begin(), all.end()};
}

std::vector<base::node_id> key_acquisition::unanswered() const {
  auto nodes = witnesses();
  std::erase_if(nodes, [&](const base::node_id& node) {
    return granted_.contains(node) || refused_.contains(node);
  });
  return nodes;
}

std::size_t key_acquisition::count_in(const witness_set& group,
                                      const std::set<base::node_id>& nodes) {
  return static_cast<std::size_t>(
      std::count_if(group.witnesses.begin(), group.witnesses.end(),
                    [&](const base::node_id& node) { return nodes.contains(node); }));
}

bool key_acquisition::all_sets_granted() const {
  return std::all_of(sets_.begin(), sets_.end(), [&](const witness_set& group) {
    return count_in(group, granted_) >= group.majority();
  });
}

bool key_acquisition::some_set_lost() const {
  return std::any_of(sets_.begin(), sets_.end(), [&](const witness_set& group) {
    return group.witnesses.size() - count_in(group, refused_) < group.majority();
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
    met_young_witness_ = met_young_witness_ || reply.verdict() == wire::TOO_YOUNG;
    if (reply.verdict() == wire::HELD) {
      holder_ = reply.holder();
    }
  }
  if (all_sets_granted()) {
    state_ = acquisition_state::acquired;
  } else if (some_set_lost()) {
    state_ = holder_ ? acquisition_state::held : acquisition_state::refused;
  }
  return state_;
}

} // namespace spurrack::idempotency
