/// Backoff that a replica requested from this node (Retry-After) and the slow start after the
/// backoff, during which calls to the replica are limited. No I/O.
///
/// Without a slow start, a replica that rejected requests would get all waiting requests at once
/// when its backoff ends. Therefore the slow start begins with a single call, and each answer
/// allows two more calls in flight. During the slow start, this node has never more calls in flight
/// at the replica than the replica has slots, not counting calls made before the backoff was
/// requested.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>

namespace spurrack::serving {

/// Duration of the slow start after a backoff.
inline constexpr base::duration slow_start_duration = std::chrono::seconds(10);

/// Latest backoff and slow start of one replica. Not thread-safe.
class replica_backoff {
 public:
  /// Records that the replica requested a backoff in an answer received at `now`. A backoff that
  /// would end before the backoff in effect is ignored; a backoff of more than two minutes, the
  /// longest wait of any request, is shortened to two minutes.
  /// @param in_flight other calls of this node in flight at the replica.
  /// @return whether the backoff now ends later than before.
  bool note_requested(base::duration span, std::uint32_t in_flight, base::time_point now);
  /// @return whether the backoff is in effect, so that no call may be made.
  [[nodiscard]] bool is_active(base::time_point now) const { return now < ends_at_; }
  /// @return whether one more call may be made beside the `in_flight` calls of this node.
  [[nodiscard]] bool permits_call(std::uint32_t in_flight, base::time_point now) const;
  /// Records the head of an answer that requests no backoff.
  /// @param call_began_at time at which the answered call was made.
  void note_answer(base::time_point call_began_at, std::uint32_t slots);
  /// Records that the replica rejected a call without requesting a backoff: the slow start begins
  /// again with a single call.
  void note_rejected();
  /// Records the end of a call.
  /// @param in_flight calls of this node that remain in flight at the replica.
  void note_call_ended(std::uint32_t in_flight);

  /// @return whether the replica ever requested a backoff.
  [[nodiscard]] bool was_requested() const { return ends_at_ != base::time_point{}; }
  /// @return the time at which the latest backoff was requested; the epoch if the replica never
  ///         requested a backoff.
  [[nodiscard]] base::time_point requested_at() const { return requested_at_; }
  /// @return the time at which the latest backoff ends; the epoch if the replica never requested a
  ///         backoff.
  [[nodiscard]] base::time_point ends_at() const { return ends_at_; }

 private:
  struct slow_start {
    /// Number of calls still in flight that were made before the backoff was requested.
    std::uint32_t earlier_calls = 0;
    /// Number of calls that may be in flight in addition to `earlier_calls`.
    std::uint32_t allowed_calls = 1;
  };
  base::time_point requested_at_;
  base::time_point ends_at_;
  std::optional<slow_start> slow_start_;
};

} // namespace spurrack::serving
