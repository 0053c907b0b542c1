/// Time over which this node knows the published list of replicas without a gap.
#pragma once

#include "base/time.h"

#include <algorithm>
#include <chrono>
#include <optional>

namespace spurrack::serving {

/// A node that has just started, or that learned of no change for a while, does not know which
/// replicas were published before: that it saw no replica is then no evidence that there was none.
/// Not thread-safe.
class list_coverage {
 public:
  /// Longest time between two confirmations of the list in which no published replica is missed:
  /// the record of a replica outlives its last heartbeat by three intervals of about 1.2 s. Also
  /// the age from which a list is no longer current.
  static constexpr base::duration max_gap = std::chrono::seconds(3);

  /// Records that the list was complete at `confirmed_at`. A time before an earlier confirmation
  /// has no effect.
  void confirm(base::time_point confirmed_at) {
    if (confirmed_at_ && confirmed_at <= *confirmed_at_) {
      return;
    }
    if (!confirmed_at_ || confirmed_at - *confirmed_at_ > max_gap) {
      unbroken_since_ = confirmed_at;
    }
    confirmed_at_ = confirmed_at;
  }

  /// Records that the list was complete at `verified_at`, as a call of this node shows that was
  /// sent then or later: a read of the store, or a query that another node answered after a read of
  /// its own. Other confirmations are dated by messages, which may have been under way for any
  /// time.
  void verify(base::time_point verified_at) {
    confirm(verified_at);
    verified_at_ = std::max(verified_at_.value_or(verified_at), verified_at);
  }

  /// @return latest time at which a call of this node shows the list to have been complete;
  ///         std::nullopt if there was no such call.
  [[nodiscard]] std::optional<base::time_point> verified_at() const { return verified_at_; }
  /// @return time at which the list was last known to be complete; std::nullopt if it never was.
  [[nodiscard]] std::optional<base::time_point> confirmed_at() const { return confirmed_at_; }
  /// @return time since which this node has missed no replica; std::nullopt if the list was never
  ///         confirmed.
  [[nodiscard]] std::optional<base::time_point> unbroken_since() const { return unbroken_since_; }
  [[nodiscard]] bool is_current(base::time_point now) const {
    return confirmed_at_ && now - *confirmed_at_ <= max_gap;
  }

 private:
  std::optional<base::time_point> confirmed_at_;
  std::optional<base::time_point> verified_at_;
  std::optional<base::time_point> unbroken_since_;
};

} // namespace spurrack::serving
