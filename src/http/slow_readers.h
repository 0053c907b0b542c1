/// Selects the answers that are aborted to free memory. No I/O.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "flow/byte_budget.h"

#include <cstddef>
#include <vector>

namespace spurrack::http {

/// Answer with bytes that its client has not read.
struct unread_answer {
  base::caller_id client{};
  std::size_t unread_bytes = 0;
  /// Time for which the client has read nothing.
  base::duration stall_duration{};
};

/// Shortage of memory that aborted answers are to relieve.
struct memory_shortage {
  /// Purpose for which memory is lacking. For a stream event, which was already read from a
  /// replica, the answer to any stalled client may be aborted. For all other uses, only answers
  /// with more unread bytes than two maximum windows are aborted.
  flow::byte_use use{};
  /// Number of bytes requested for `use`.
  std::size_t requested_bytes = 0;
  /// Size of the byte budget. A twentieth of it is freed at least, if the answers that may be
  /// aborted hold as much: searches, which check all clients, stay rare.
  std::size_t budget_bytes = 0;
};

/// @return clients that have read nothing for two seconds or longer, in descending order of unread
///         bytes times stall duration, up to the one whose answer frees enough memory.
[[nodiscard]] std::vector<base::caller_id>
select_slowest_readers(std::vector<unread_answer> answers, memory_shortage shortage);

} // namespace spurrack::http
