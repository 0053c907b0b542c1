#include "dispatch/event_stream.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace spurrack::serving {
namespace {

constexpr std::string_view line_ends = "\r\n";
constexpr std::string_view id_field = "id:";
constexpr std::string_view byte_order_mark = "\xEF\xBB\xBF";

/// What the lines of an event tell.
struct event_content {
  std::optional<std::uint64_t> id;
  /// Whether the event has a line that is no comment.
  bool has_field = false;
};

/// @return the number in the value of an id field; std::nullopt if the value is anything else.
std::optional<std::uint64_t> id_in(std::string_view value) {
  while (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  while (value.ends_with(' ')) {
    value.remove_suffix(1);
  }
  std::uint64_t id = 0;
  const auto* end = value.data() + value.size();
  const auto parsed = std::from_chars(value.data(), end, id);
  return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(id) : std::nullopt;
}

/// Reads the lines of an event. The last id field counts, as it does at the client.
event_content content_of(std::string_view event) {
  event_content content;
  while (!event.empty()) {
    const auto line_end = std::min(event.find_first_of(line_ends), event.size());
    const auto line = event.substr(0, line_end);
    event.remove_prefix(std::min(line_end + 1, event.size()));
    content.has_field = content.has_field || (!line.empty() && !line.starts_with(':'));
    if (line.starts_with(id_field)) {
      content.id = id_in(line.substr(id_field.size()));
    }
  }
  return content;
}

} // namespace

std::string event_stream::feed(std::string_view bytes) {
  pending_.append(bytes);
  std::string whole;
  std::size_t event_begin = 0;
  while (true) {
    const bool ends_last_event = scanned_bytes_ == event_begin && is_second_of_line_end();
    if (ends_last_event) {
      whole.append(was_last_forwarded_ ? "\n" : "");
      skip_line_feed();
    } else if (scan_to_event_end()) {
      whole.append(accept_once(
          std::string_view(pending_).substr(event_begin, scanned_bytes_ - event_begin)));
    } else {
      break;
    }
    event_begin = scanned_bytes_;
  }
  pending_.erase(0, event_begin);
  scanned_bytes_ -= event_begin;
  return whole;
}

void event_stream::drop_partial_event() {
  goes_on_ = goes_on();
  pending_.clear();
  scanned_bytes_ = 0;
  position_ = {};
  is_run_begin_ = true;
  is_repeating_ = false;
}

void event_stream::begin_run() {
  drop_partial_event();
  events_in_run_ = 0;
}

bool event_stream::shows_more() const {
  return events_in_run_ > 0 || has_new_part();
}

bool event_stream::has_new_part() const {
  return !is_repeating_ && position_.has_field;
}

bool event_stream::is_second_of_line_end() const {
  return position_.follows_carriage_return && scanned_bytes_ < pending_.size() &&
         pending_[scanned_bytes_] == '\n';
}

void event_stream::skip_line_feed() {
  ++scanned_bytes_;
  position_.follows_carriage_return = false;
  position_.ends_lines_with_carriage_return = false;
}

bool event_stream::scan_to_event_end() {
  while (scanned_bytes_ < pending_.size()) {
    if (is_second_of_line_end()) {
      skip_line_feed();
      continue;
    }
    const char byte = pending_[scanned_bytes_];
    const bool is_last_byte = scanned_bytes_ + 1 == pending_.size();
    const bool is_line_end = byte == '\r' || byte == '\n';
    const bool ends_event = is_line_end && position_.is_line_empty;
    if (position_.follows_carriage_return) {
      position_.ends_lines_with_carriage_return = true;
    }
    if (ends_event && byte == '\r' && is_last_byte && !position_.ends_lines_with_carriage_return) {
      // LF probably follows.
      return false;
    }
    ++scanned_bytes_;
    if (!is_line_end && position_.is_line_empty && byte != ':') {
      position_.has_field = true;
    }
    position_.is_line_empty = is_line_end;
    position_.follows_carriage_return = byte == '\r';
    if (byte == '\n') {
      position_.ends_lines_with_carriage_return = false;
    }
    if (ends_event) {
      position_.has_field = false;
      if (is_second_of_line_end()) {
        skip_line_feed();
      }
      return true;
    }
  }
  return false;
}

std::string_view event_stream::accept_once(std::string_view event) {
  auto unmarked = event;
  if (std::exchange(is_run_begin_, false) && event.starts_with(byte_order_mark)) {
    unmarked.remove_prefix(byte_order_mark.size());
  }
  const auto content = content_of(unmarked);
  was_last_forwarded_ = is_new(content.id);
  if (!was_last_forwarded_) {
    return {};
  }
  if (content.has_field) {
    ++events_;
    ++events_in_run_;
    goes_on_ = false;
    has_event_after_last_id_ = !content.id;
  }
  // Within the stream of the client, the mark of a later run would be part of a line.
  return std::exchange(has_forwarded_, true) ? unmarked : event;
}

bool event_stream::is_new(std::optional<std::uint64_t> id) {
  if (!id) {
    return !is_repeating_;
  }
  is_repeating_ = last_id_ && *id < *last_id_;
  if (last_id_ && *id <= *last_id_) {
    return false;
  }
  last_id_ = id;
  return true;
}

} // namespace spurrack::serving
