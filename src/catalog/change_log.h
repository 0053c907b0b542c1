/// Which replicas changed of late, so that readers look at those and not at all.
#pragma once

#include "base/ids.h"

#include <boost/circular_buffer.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace spurrack::catalog {

/// Changes of the serving path in their order, the latest few thousand. Not thread-safe.
class change_log {
 public:
  /// More changes than a reader that looks ten times a second misses in a listing of a large fleet
  /// are not kept: it reads everything then.
  static constexpr std::size_t max_kept_changes = 4'096;

  /// @param replica empty where something else changed.
  void add(base::replica_id replica) {
    ++count_;
    changes_.push_back(std::move(replica));
  }
  /// @return changes ever added.
  [[nodiscard]] std::uint64_t count() const { return count_; }
  /// @param seen how many changes a reader has seen.
  /// @return the replicas of all changes since, those that changed at several times as often;
  ///         nothing where not all of them are kept.
  [[nodiscard]] std::optional<std::vector<base::replica_id>> since(std::uint64_t seen) const {
    if (seen > count_ || count_ - seen > changes_.size()) {
      return std::nullopt;
    }
    std::vector<base::replica_id> changed;
    for (auto at = changes_.size() - static_cast<std::size_t>(count_ - seen); at < changes_.size();
         ++at) {
      // What is replaced goes and comes.
      const bool is_same = !changed.empty() && changed.back() == changes_[at];
      if (!changes_[at].empty() && !is_same) {
        changed.push_back(changes_[at]);
      }
    }
    return changed;
  }

 private:
  std::uint64_t count_ = 0;
  boost::circular_buffer_space_optimized<base::replica_id> changes_{max_kept_changes};
};

} // namespace spurrack::catalog
