/// Backoff that a replica requested of this node (Retry-After) and the slow start after it. No I/O.
///
/// Without a slow start, a replica that rejected requests would get all waiting requests at once
/// when its backoff ends. So the first call goes alone, and each answer allows two more calls in
/// flight; during the slow start there are never more of them than the replica has slots.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>

namespace spurrack::serving {

/// Duration of the slow start after a backoff.
inline constexpr base::duration slow_start_duration = std::chrono::seconds(10);

/// Not thread-safe.
class replica_backoff {
 public:
  /// Records a backoff that the replica requested in an answer received at `now`. A request that
  /// ends before the backoff in effect has no effect; a request that is longer than any caller
  /// waits is shortened.
  /// @param in_flight calls of this node in flight at the replica.
  /// @return whether the backoff ends later than before.
  bool note_requested(base::duration span, std::uint32_t in_flight, base::time_point now);
  /// @return whether the backoff is in effect, so that no call may be made.
  [[nodiscard]] bool is_active(base::time_point now) const { return now < ends_at_; }
  /// @return whether one more call may be made beside the `in_flight` calls of this node.
  [[nodiscard]] bool permits_call(std::uint32_t in_flight, base::time_point now) const;
  /// Records an answer that requests no backoff.
  /// @param call_began_at time at which the answered call was made.
  /// @param slots slots of the replica.
  void note_answer(base::time_point call_began_at, std::uint32_t slots);
  /// Records that the replica rejected a call without requesting a backoff: the slow start begins
  /// again with a single call.
  void note_rejected();
  /// Records the end of a call.
  /// @param in_flight calls of this node that remain in flight at the replica.
  void note_call_ended(std::uint32_t in_flight);

  /// @return whether the replica ever requested a backoff.
  [[nodiscard]] bool was_requested() const { return ends_at_ != base::time_point{}; }
  /// @return the time at which the latest backoff was requested; the epoch before the first
  ///         request.
  [[nodiscard]] base::time_point requested_at() const { return requested_at_; }
  /// @return the time at which the latest backoff ends; the epoch before the first request.
  [[nodiscard]] base::time_point ends_at() const { return ends_at_; }

 private:
  struct slow_start {
    /// Calls still in flight that were made before the backoff was requested.
    std::uint32_t earlier_calls = 0;
    /// Calls that may be in flight beside the earlier calls.
    std::uint32_t allowed_calls = 1;
  };
  base::time_point requested_at_;
  base::time_point ends_at_;
  std::optional<slow_start> slow_start_;
};

} // namespace spurrack::serving
