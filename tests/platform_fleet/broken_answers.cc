#include "broken_answers.h"

#include "http_text.h"

#include <algorithm>
#include <array>
#include <numeric>

namespace spurrack::platform_tests {
namespace {

/// One of this many answers breaks off while the source is active.
constexpr std::size_t answers_per_broken_answer = 3;

constexpr std::array all_places{break_place::in_head,  break_place::after_head,
                                break_place::in_body,  break_place::between_events,
                                break_place::in_event, break_place::nowhere};
constexpr std::array all_framings{answer_framing::length, answer_framing::chunks,
                                  answer_framing::none};
constexpr std::array all_endings{connection_ending::closed, connection_ending::reset,
                                 connection_ending::half_closed, connection_ending::silent};

std::vector<broken_answer> all_combinations() {
  std::vector<broken_answer> combinations;
  for (const auto place : all_places) {
    for (const auto framing : all_framings) {
      for (const auto ending : all_endings) {
        combinations.push_back({place, framing, ending});
      }
    }
  }
  return combinations;
}

std::size_t total_size(const std::vector<std::string>& parts) {
  return std::accumulate(parts.begin(), parts.end(), std::size_t{0},
                         [](std::size_t sum, const auto& part) { return sum + part.size(); });
}

/// @return header line of the framing, with its CRLF; empty if the answer has no framing.
std::string framing_line(answer_framing framing, std::size_t body_bytes) {
  switch (framing) {
  case answer_framing::length:
    return "Content-Length: " + std::to_string(body_bytes) + "\r\n";
  case answer_framing::chunks:
    return "Transfer-Encoding: chunked\r\n";
  case answer_framing::none:
    break;
  }
  return "";
}

/// @return the first `count` bytes of the parts.
std::vector<std::string> first_bytes(const std::vector<std::string>& parts, std::size_t count) {
  std::vector<std::string> kept;
  for (const auto& part : parts) {
    if (count == 0) {
      break;
    }
    kept.push_back(part.substr(0, count));
    count -= kept.back().size();
  }
  return kept;
}

/// @return a number of bytes from 1 to `size - 1`, so that both sides of the cut have bytes; 0 if
///         that is not possible.
std::size_t cut_inside(std::size_t size, std::uint64_t cut) {
  return size < 2 ? 0 : 1 + cut % (size - 1);
}

/// @return the parts of a body that are sent as wholes, if the answer breaks off at one of the
///         events or is whole.
std::vector<std::string> kept_parts(const broken_answer& how, std::vector<std::string> parts) {
  if (how.place == break_place::after_head || parts.empty()) {
    return {};
  }
  if (how.place == break_place::between_events) {
    parts.resize(cut_inside(parts.size(), how.cut));
  } else if (how.place == break_place::in_event) {
    parts.resize(1 + how.cut % parts.size());
    parts.back().resize(cut_inside(parts.back().size(), how.cut / parts.size()));
  }
  return parts;
}

/// @return parts of the body with their framing.
std::vector<std::string> encoded_body(const broken_answer& how, const answer_parts& parts) {
  const bool breaks_at_byte = how.place == break_place::in_body ||
                              (how.place == break_place::between_events && parts.body.size() < 2);
  auto encoded = breaks_at_byte ? parts.body : kept_parts(how, parts.body);
  if (how.framing == answer_framing::chunks) {
    std::transform(encoded.begin(), encoded.end(), encoded.begin(), http_chunk);
    if (breaks_at_byte || how.place == break_place::nowhere) {
      encoded.push_back(last_http_chunk);
    }
  }
  return breaks_at_byte ? first_bytes(encoded, cut_inside(total_size(encoded), how.cut)) : encoded;
}

} // namespace

std::string label_of(break_place place) {
  switch (place) {
  case break_place::in_head:
    return "inside the head";
  case break_place::after_head:
    return "after the head";
  case break_place::in_body:
    return "inside the body";
  case break_place::between_events:
    return "between events";
  case break_place::in_event:
    return "inside an event";
  case break_place::nowhere:
    break;
  }
  return "whole";
}

std::string label_of(answer_framing framing) {
  switch (framing) {
  case answer_framing::length:
    return "with a length";
  case answer_framing::chunks:
    return "with chunks";
  case answer_framing::none:
    break;
  }
  return "without framing";
}

std::string label_of(connection_ending ending) {
  switch (ending) {
  case connection_ending::closed:
    return "then closed";
  case connection_ending::reset:
    return "then reset";
  case connection_ending::half_closed:
    return "then half-closed";
  case connection_ending::silent:
    break;
  }
  return "then silent";
}

scripted_answer broken_off(const broken_answer& how, const answer_parts& parts) {
  scripted_answer answer;
  const auto head = parts.head + framing_line(how.framing, total_size(parts.body)) + "\r\n";
  if (how.place == break_place::in_head) {
    answer.bytes = head.substr(0, cut_inside(head.size(), how.cut));
  } else if (parts.pause.count() > 0) {
    answer.bytes = head;
    answer.delayed_bytes = encoded_body(how, parts);
    answer.pause = parts.pause;
  } else {
    const auto body = encoded_body(how, parts);
    answer.bytes = std::accumulate(body.begin(), body.end(), head);
  }
  answer.close = how.ending == connection_ending::closed;
  answer.reset = how.ending == connection_ending::reset;
  answer.half_close = how.ending == connection_ending::half_closed;
  // A silence after a complete answer is that of any connection between two requests.
  answer.stay_silent = how.ending == connection_ending::silent && !how.is_complete();
  return answer;
}

void broken_answer_source::set_active(bool is_active) {
  const std::lock_guard lock(mutex_);
  is_active_ = is_active;
}

std::optional<broken_answer> broken_answer_source::draw() {
  const std::lock_guard lock(mutex_);
  if (!is_active_ || random_.below(answers_per_broken_answer) != 0) {
    return std::nullopt;
  }
  if (remaining_.empty()) {
    remaining_ = all_combinations();
  }
  auto drawn = base::take_random(remaining_, random_);
  drawn.cut = random_.next();
  return drawn;
}

} // namespace spurrack::platform_tests
