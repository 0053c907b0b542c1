/// Stable hashing (xxHash) and rendezvous ranking; equal on all nodes and in all releases.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

namespace spurrack::base {

/// @return the 64-bit xxHash3 of `bytes`.
std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed = 0);

/// Highest-random-weight choice.
/// @param subject what is to be placed.
/// @param candidates identifiers with a `text()`; their order does not matter.
/// @param count how many to choose at the most.
/// @return the chosen candidates, the best first. A candidate that comes or goes changes the
///         choice only where it is itself among the chosen.
template <typename identifier>
std::vector<identifier> rendezvous_top(std::string_view subject,
                                       const std::vector<identifier>& candidates,
                                       std::size_t count) {
  const auto seed = stable_hash(subject);
  std::vector<std::pair<std::uint64_t, const identifier*>> ranked;
  ranked.reserve(candidates.size());
  for (const auto& candidate : candidates) {
    ranked.emplace_back(stable_hash(candidate.text(), seed), &candidate);
  }
  const auto chosen_count = std::min(count, ranked.size());
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(chosen_count),
                    ranked.end(), [](const auto& left, const auto& right) {
                      if (left.first != right.first) {
                        return left.first > right.first;
                      }
                      return *left.second < *right.second;
                    });
  std::vector<identifier> chosen;
  chosen.reserve(chosen_count);
  for (std::size_t index = 0; index < chosen_count; ++index) {
    chosen.push_back(*ranked[index].second);
  }
  return chosen;
}

} // namespace spurrack::base
