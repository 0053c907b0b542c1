#include "engines/part_placement.h"

#include "base/hashing.h"

#include <algorithm>
#include <utility>

namespace spurrack::serving {
namespace {

using ranked_engine = std::pair<std::uint64_t, const replica_state*>;

} // namespace

shared_beginning shared_beginning_of(const request_content& content) {
  shared_beginning found;
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
  found.last_key = base::stable_hash(parts[shared - 1].id, model_hash) | 1U;
  return found;
}

prompt_send prompt_send_of(const request_content& content) {
  const auto beginning = shared_beginning_of(content);
  return {content.prompt_tokens - std::min(content.prompt_tokens, beginning.tokens),
          beginning.last_key, beginning.tokens};
}

std::vector<const replica_state*> homes_of(const shared_beginning& beginning,
                                           const std::vector<const replica_state*>& engines,
                                           std::size_t most) {
  std::vector<ranked_engine> ranked;
  ranked.reserve(engines.size());
  for (const auto* engine : engines) {
    ranked.emplace_back(base::stable_hash(engine->record->id.text(), beginning.last_key), engine);
  }
  const auto wanted = std::min(most, ranked.size());
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(wanted),
                    ranked.end(), [](const auto& left, const auto& right) {
                      if (left.first != right.first) {
                        return left.first > right.first;
                      }
                      return left.second->record->id < right.second->record->id;
                    });
  std::vector<const replica_state*> homes;
  for (std::size_t index = 0; index < wanted; ++index) {
    homes.push_back(ranked[index].second);
  }
  return homes;
}

} // namespace spurrack::serving
