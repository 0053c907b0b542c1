#include "http/slow_readers.h"

#include "flow/stream_window.h"

#include <algorithm>
#include <chrono>

namespace spurrack::http {
namespace {

/// Time for which a client must have read nothing before its answer may be aborted to free memory:
/// longer than the pauses in reading that lost packets cause.
constexpr base::duration min_stall_duration = std::chrono::seconds(2);
/// A search for the slowest clients frees at least the fraction 1 / `relief_divisor` of the byte
/// budget, if the answers that may be aborted hold as much.
constexpr std::size_t relief_divisor = 20;

double byte_seconds(const unread_answer& answer) {
  return static_cast<double>(answer.unread_bytes) * base::to_seconds(answer.stall_duration);
}

} // namespace

std::vector<base::caller_id> select_slowest_readers(std::vector<unread_answer> answers,
                                                    memory_shortage shortage) {
  const auto min_unread =
      shortage.use == flow::byte_use::stream_event ? 0 : flow::stream_window::max_window_bytes * 2;
  std::erase_if(answers, [&](const unread_answer& answer) {
    return answer.stall_duration < min_stall_duration || answer.unread_bytes <= min_unread;
  });
  std::sort(answers.begin(), answers.end(), [](const unread_answer& a, const unread_answer& b) {
    return byte_seconds(a) > byte_seconds(b);
  });
  const auto bytes = std::max(shortage.requested_bytes, shortage.budget_bytes / relief_divisor);
  std::vector<base::caller_id> selected;
  std::size_t freed = 0;
  for (auto next = answers.begin(); next != answers.end() && freed < bytes; ++next) {
    freed += next->unread_bytes;
    selected.push_back(next->client);
  }
  return selected;
}

} // namespace spurrack::http
