/// Faults of answers: a replica sent something that is no whole answer.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace spurrack::serving {

enum class answer_fault : std::uint8_t {
  /// None was found: the connection ended before the answer did, or the call was not answered.
  none,
  /// The head is malformed or too long, or its status is none that ends a request.
  invalid_head,
  /// The body has a transfer coding other than chunked, which this node does not undo.
  unknown_coding,
  /// The body is malformed, or its framing is too long.
  invalid_body,
  /// The connection was reset before the end of an answer that only the end of the connection
  /// shows.
  reset_before_end,
  /// The body is longer than an answer may be.
  too_long,
};
inline constexpr std::size_t answer_faults = 6;

[[nodiscard]] constexpr std::string_view name_of(answer_fault fault) {
  constexpr std::string_view names[answer_faults] = {
      "none", "invalid_head", "unknown_coding", "invalid_body", "reset_before_end", "too_long"};
  return names[static_cast<std::size_t>(fault)];
}

} // namespace spurrack::serving
