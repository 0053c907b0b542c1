#include "engines/prefix_placement.h"

#include "base/hashing.h"

#include <algorithm>
#include <utility>

namespace spurrack::serving {
namespace {

using ranked_engine = std::pair<std::uint64_t, const replica_state*>;

std::vector<ranked_engine> ranks_of(const std::vector<const replica_state*>& engines,
                                    std::uint64_t key) {
  std::vector<ranked_engine> ranked;
  ranked.reserve(engines.size());
  for (const auto* engine : engines) {
    ranked.emplace_back(base::stable_hash(engine->record->id.text(), key), engine);
  }
  return ranked;
}

/// The order of homes: the same on all nodes, also where hashes are equal.
bool goes_before(const ranked_engine& left, const ranked_engine& right) {
  return left.first != right.first ? left.first > right.first
                                   : left.second->record->id < right.second->record->id;
}

} // namespace

shared_prompt_prefix shared_prompt_prefix_of(const request_content& content) {
  shared_prompt_prefix found;
  const auto& parts = content.prompt_parts;
  if (parts.empty()) {
    return found;
  }
  // The last part belongs to the request alone, or to its session where it is the only one.
  const std::size_t shared = std::max<std::size_t>(parts.size() - 1, 1);
  for (std::size_t index = 0; index < shared; ++index) {
    found.tokens += parts[index].tokens;
  }
  const auto model_hash = base::stable_hash(content.model);
  found.first_key = base::stable_hash(parts.front().id, model_hash) | 1U;
  found.last_key = base::stable_hash(parts[shared - 1].id, model_hash) | 1U;
  return found;
}

sent_prompt sent_prompt_of(const request_content& content) {
  const auto beginning = shared_prompt_prefix_of(content);
  return {content.prompt_tokens - std::min(content.prompt_tokens, beginning.tokens),
          beginning.last_key, beginning.tokens};
}

std::vector<const replica_state*> engines_for_first_part(const shared_prompt_prefix& beginning,
                                                         std::vector<const replica_state*> engines,
                                                         std::size_t most) {
  const bool is_only_part = beginning.first_key == beginning.last_key;
  if (is_only_part || engines.size() <= most) {
    return engines;
  }
  auto ranked = ranks_of(engines, beginning.first_key);
  std::nth_element(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(most), ranked.end(),
                   goes_before);
  engines.clear();
  for (std::size_t index = 0; index < most; ++index) {
    engines.push_back(ranked[index].second);
  }
  return engines;
}

std::vector<const replica_state*>
preferred_engines_of(const shared_prompt_prefix& beginning,
                     const std::vector<const replica_state*>& engines, std::size_t most) {
  auto ranked = ranks_of(engines, beginning.last_key);
  const auto wanted = std::min(most, ranked.size());
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(wanted),
                    ranked.end(), goes_before);
  std::vector<const replica_state*> homes;
  for (std::size_t index = 0; index < wanted; ++index) {
    homes.push_back(ranked[index].second);
  }
  return homes;
}

} // namespace spurrack::serving
