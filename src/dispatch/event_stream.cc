#include "dispatch/event_stream.h"

#include <charconv>

namespace spurrack::serving {
namespace {

constexpr std::string_view lf_event_end = "\n\n";
constexpr std::string_view crlf_event_end = "\r\n\r\n";
constexpr std::string_view id_field = "id:";

std::optional<std::uint64_t> id_of(std::string_view event) {
  while (!event.empty()) {
    const auto line_end = std::min(event.find('\n'), event.size());
    auto line = event.substr(0, line_end);
    event.remove_prefix(std::min(line_end + 1, event.size()));
    if (!line.starts_with(id_field)) {
      continue;
    }
    line.remove_prefix(id_field.size());
    while (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    std::uint64_t id = 0;
    const auto parsed = std::from_chars(line.data(), line.data() + line.size(), id);
    if (parsed.ec == std::errc()) {
      return id;
    }
  }
  return std::nullopt;
}

/// @return length of the first whole event, including the blank line that ends it; 0 if there is no
///         whole event.
std::size_t whole_event_length(std::string_view bytes) {
  const auto lf_end = bytes.find(lf_event_end);
  const auto crlf_end = bytes.find(crlf_event_end);
  if (lf_end == std::string_view::npos && crlf_end == std::string_view::npos) {
    return 0;
  }
  if (lf_end < crlf_end) {
    return lf_end + lf_event_end.size();
  }
  return crlf_end + crlf_event_end.size();
}

} // namespace

std::string event_stream::feed(std::string_view bytes) {
  pending_.append(bytes);
  std::string whole;
  std::string_view remaining = pending_;
  while (const auto length = whole_event_length(remaining)) {
    const auto event = remaining.substr(0, length);
    if (accept_once(event)) {
      whole.append(event);
      ++events_;
    }
    remaining.remove_prefix(length);
  }
  pending_.erase(0, pending_.size() - remaining.size());
  return whole;
}

bool event_stream::accept_once(std::string_view event) {
  const auto id = id_of(event);
  if (!id) {
    return true;
  }
  if (last_id_ && *id <= *last_id_) {
    return false;
  }
  last_id_ = id;
  return true;
}

} // namespace spurrack::serving
