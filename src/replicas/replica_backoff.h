/// The time for which a replica wants nothing from this node, as it asked, and how calls to it
/// begin again afterwards. No I/O.
///
/// At the end of that time a replica that turned requests away would get at once all that waited
/// for it. So calls begin with one, and each answer lets two more be under way (slow start); for
/// some seconds they are never more than its slots.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>

namespace spurrack::serving {

/// So long after a pause the calls under way are bounded.
inline constexpr base::duration slow_start_duration = std::chrono::seconds(10);

/// Not thread-safe.
class replica_backoff {
 public:
  /// The replica asks for a pause in an answer that came now. A shorter one than stands changes
  /// nothing, a longer one than any caller waits is cut.
  /// @param in_flight calls of this node that are under way there.
  /// @return whether it ends later than was known.
  bool note_request(base::duration span, std::uint32_t in_flight, base::time_point now);
  /// @return whether nothing is to be sent now.
  [[nodiscard]] bool is_active(base::time_point now) const { return now < ends_at_; }
  /// @return whether one more call may be made beside those that are under way.
  [[nodiscard]] bool permits_call(std::uint32_t in_flight, base::time_point now) const;
  /// An answer came that asks for no pause. @param call_began when its call was made.
  void note_answer(base::time_point call_began, std::uint32_t slots);
  /// The replica turned a call away without asking for a pause: calls begin with one again.
  void note_rejected();
  /// A call ended. @param in_flight those that are left.
  void note_call_ended(std::uint32_t in_flight);

  /// @return whether a pause was ever asked for.
  [[nodiscard]] bool was_requested() const { return ends_at_ != base::time_point{}; }
  /// @return when the latest pause was asked for, and when it ends; a time before the first pause.
  [[nodiscard]] base::time_point requested_at() const { return requested_at_; }
  [[nodiscard]] base::time_point ends_at() const { return ends_at_; }

 private:
  struct slow_start {
    /// Calls that were under way before, and those that may be under way beside them.
    std::uint32_t earlier_calls = 0;
    std::uint32_t allowed = 1;
  };
  base::time_point requested_at_;
  base::time_point ends_at_;
  std::optional<slow_start> slow_start_;
};

} // namespace spurrack::serving
