/// Hashing (xxHash) and rendezvous hashing with results that are equal on all nodes and in all
/// releases.
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

/// Chooses candidates by rendezvous hashing (highest random weight).
/// @param subject key that is assigned to the candidates.
/// @param candidates identifiers with a `text()`, in any order.
/// @param count maximum number of candidates to choose.
/// @return the chosen candidates, the one with the highest weight first. Adding or removing a
///         candidate changes the choice only if this candidate is among the chosen ones.
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
