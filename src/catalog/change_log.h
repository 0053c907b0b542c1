/// Log of the replicas that changed recently, so that readers need not check all replicas.
#pragma once

#include "base/ids.h"

#include <boost/circular_buffer.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace spurrack::catalog {

/// The latest few thousand changes of the records that the serving path uses (replicas, the serving
/// configuration, evacuations), in the order of the changes. Not thread-safe.
class change_log {
 public:
  /// Maximum number of changes that are kept. If more changes are added between two checks of a
  /// reader, the reader has to check all replicas. The maximum suffices for a reader that checks
  /// ten times per second while a listing of a large fleet adds changes.
  static constexpr std::size_t max_kept_changes = 4'096;

  /// @param replica the replica that changed; empty if the change concerns no replica.
  void add(base::replica_id replica) {
    ++count_;
    changes_.push_back(std::move(replica));
  }
  /// @return number of changes ever added, including changes that are no longer kept.
  [[nodiscard]] std::uint64_t count() const { return count_; }
  /// @param seen value of `count()` at the reader's last check.
  /// @return the replicas of all changes since the last check; std::nullopt if not all of these
  ///         changes are still kept. A replica that changed several times may appear several times.
  [[nodiscard]] std::optional<std::vector<base::replica_id>>
  changed_since(std::uint64_t seen) const {
    if (seen > count_ || count_ - seen > changes_.size()) {
      return std::nullopt;
    }
    std::vector<base::replica_id> changed;
    for (auto index = changes_.size() - static_cast<std::size_t>(count_ - seen);
         index < changes_.size(); ++index) {
      // The replacement of a replica adds two successive changes, its removal and its insertion.
      // The replica is returned only once for both changes.
      const bool is_same = !changed.empty() && changed.back() == changes_[index];
      if (!changes_[index].empty() && !is_same) {
        changed.push_back(changes_[index]);
      }
    }
    return changed;
  }

 private:
  std::uint64_t count_ = 0;
  boost::circular_buffer_space_optimized<base::replica_id> changes_{max_kept_changes};
};

} // namespace spurrack::catalog
