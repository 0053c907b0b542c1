#include "received_answer.h"

#include <utility>

namespace spurrack::platform_tests {
namespace {

/// @return part of `text` from `begin` to the next `end_mark`, or to its end.
std::string word_at(const std::string& text, std::size_t begin, char end_mark) {
  return begin >= text.size() ? "" : text.substr(begin, text.find(end_mark, begin) - begin);
}

/// @return what wrote an event, as far as the text of the event names it.
event_origin named_origin(const std::string& id, std::size_t number, const std::string& text) {
  const auto number_line = "id: " + std::to_string(number) + "\ndata: ";
  event_origin origin;
  origin.run = word_at(text, number_line.size(), ' ');
  const auto event_without_version = soak_request::event(id, number, {"", origin.run});
  const auto version_at = event_without_version.rfind('/') + 1;
  origin.version = word_at(text, version_at, ' ');
  return origin;
}

/// @return name of the run that wrote an answer, as far as its body names it.
std::string named_run(const std::string& body) {
  return word_at(body, std::string("answer of ").size(), ' ');
}

} // namespace

std::optional<event_origin> origin_of_event(const std::string& id, std::size_t number,
                                            const std::string& text) {
  auto origin = named_origin(id, number, text);
  const bool is_expected = !origin.run.empty() && !origin.version.empty() &&
                           soak_request::event(id, number, origin) == text;
  return is_expected ? std::optional(std::move(origin)) : std::nullopt;
}

bool is_beginning_of_event(const std::string& id, std::size_t number, const std::string& text) {
  return soak_request::event(id, number, named_origin(id, number, text)).starts_with(text);
}

bool is_whole_answer(const std::string& id, const std::string& body) {
  const auto run = named_run(body);
  return !run.empty() && soak_request::answer(id, run) == body;
}

bool is_beginning_of_answer(const std::string& id, const std::string& body) {
  return soak_request::answer(id, named_run(body)).starts_with(body);
}

} // namespace spurrack::platform_tests
