#include "engines/prefix_placement.h"

#include "base/hashing.h"

#include <algorithm>
#include <utility>

namespace spurrack::serving {
namespace {

using ranked_engine = std::pair<std::uint64_t, const replica_state*>;

std::vector<ranked_engine> rank_engines(const std::vector<const replica_state*>& engines,
                                        std::uint64_t key) {
  std::vector<ranked_engine> ranked;
  ranked.reserve(engines.size());
  for (const auto* engine : engines) {
    ranked.emplace_back(base::stable_hash(engine->record->id.text(), key), engine);
  }
  return ranked;
}

/// Returns whether `left` is preferred to `right`. The order is the same on all nodes, also for
/// engines with equal hashes.
bool ranks_before(const ranked_engine& left, const ranked_engine& right) {
  return left.first != right.first ? left.first > right.first
                                   : left.second->record->id < right.second->record->id;
}

} // namespace

shared_prompt_prefix shared_prompt_prefix_of(const request_content& content) {
  shared_prompt_prefix prefix;
  const auto& parts = content.prompt_parts;
  if (parts.empty()) {
    return prefix;
  }
  // The last part is not shared: it belongs to this request alone. If a prompt has only one part,
  // this part counts as shared, because it belongs to the request's session.
  const std::size_t shared = std::max<std::size_t>(parts.size() - 1, 1);
  for (std::size_t index = 0; index < shared; ++index) {
    prefix.tokens += parts[index].tokens;
  }
  const auto model_hash = base::stable_hash(content.model);
  prefix.first_part_hash = base::stable_hash(parts.front().id, model_hash) | 1U;
  prefix.last_part_hash = base::stable_hash(parts[shared - 1].id, model_hash) | 1U;
  return prefix;
}

sent_prompt sent_prompt_of(const request_content& content) {
  const auto prefix = shared_prompt_prefix_of(content);
  return {content.prompt_tokens - std::min(content.prompt_tokens, prefix.tokens),
          prefix.last_part_hash, prefix.tokens};
}

std::vector<const replica_state*> engines_for_first_part(const shared_prompt_prefix& prefix,
                                                         std::vector<const replica_state*> engines,
                                                         std::size_t max_count) {
  const bool is_only_part = prefix.first_part_hash == prefix.last_part_hash;
  if (is_only_part || engines.size() <= max_count) {
    return engines;
  }
  auto ranked = rank_engines(engines, prefix.first_part_hash);
  std::nth_element(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(max_count),
                   ranked.end(), ranks_before);
  engines.clear();
  for (std::size_t index = 0; index < max_count; ++index) {
    engines.push_back(ranked[index].second);
  }
  return engines;
}

std::vector<const replica_state*>
preferred_engines_of(const shared_prompt_prefix& prefix,
                     const std::vector<const replica_state*>& engines, std::size_t max_count) {
  auto ranked = rank_engines(engines, prefix.last_part_hash);
  const auto count = std::min(max_count, ranked.size());
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end(), ranks_before);
  std::vector<const replica_state*> preferred;
  for (std::size_t index = 0; index < count; ++index) {
    preferred.push_back(ranked[index].second);
  }
  return preferred;
}

} // namespace spurrack::serving
