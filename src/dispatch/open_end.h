/// Ends of answers that have neither a length nor chunks, and what became of each.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace spurrack::serving {

/// What became of an answer whose replica marked no end.
enum class open_end_outcome : std::uint8_t {
  no_body,         ///< It held no body or no event, and counts as lost.
  inside_event,    ///< It ended inside an event, and counts as lost.
  replica_exited,  ///< Its replica has exited, and it counts as lost.
  run_again,       ///< Another run of the request was begun to show its end.
  refuted,         ///< Another run brought more: it was broken off.
  confirmed,       ///< Another run brought a marked end after the same event or the same body.
  replaced,        ///< Another run brought another body with a marked end.
  passed_on,       ///< The client got it without a marked end either.
  cannot_be_shown, ///< The client's stream has chunks, so that it was broken off visibly.
};

inline constexpr std::size_t open_end_outcome_count =
    static_cast<std::size_t>(open_end_outcome::cannot_be_shown) + 1;

/// @return name for logs and metrics.
[[nodiscard]] constexpr std::string_view name_of(open_end_outcome outcome) {
  constexpr std::array<std::string_view, open_end_outcome_count> names{
      "no_body",   "inside_event", "replica_exited", "run_again",      "refuted",
      "confirmed", "replaced",     "passed_on",      "cannot_be_shown"};
  return names.at(static_cast<std::size_t>(outcome));
}

} // namespace spurrack::serving
