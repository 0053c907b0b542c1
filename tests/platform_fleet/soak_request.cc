#include "soak_request.h"

#include <functional>

namespace spurrack::platform_tests {
namespace {

constexpr std::size_t padding_limit_bytes = 20'000;
constexpr std::size_t max_events = 12;
constexpr std::size_t min_long_events = 30;
constexpr std::size_t max_long_events = 55;
constexpr std::size_t max_pieces = 4;

std::size_t hash_of(const std::string& id, const std::string& property) {
  return std::hash<std::string>{}(id + "/" + property);
}

} // namespace

std::string soak_request::answer(const std::string& id, const std::string& run) {
  auto text = "answer of " + run + " to " + id + "\n";
  const auto size = text.size() + hash_of(id, "padding") % padding_limit_bytes;
  while (text.size() < size) {
    text += run + ".";
  }
  text.resize(size);
  return text;
}

std::size_t soak_request::event_count(const std::string& id) {
  const auto number = hash_of(id, "events");
  if (is_long(id)) {
    return min_long_events + number % (max_long_events - min_long_events + 1);
  }
  return 1 + number % max_events;
}

std::string soak_request::event(const std::string& id, std::size_t number,
                                const event_origin& origin) {
  return "id: " + std::to_string(number) + "\ndata: " + origin.run + " " + id + "/" +
         std::to_string(number) + "/" + std::to_string(event_count(id)) + "/" + origin.version +
         " " + origin.run + "\n\n";
}

std::size_t soak_request::piece_count(const std::string& id, std::size_t stage) {
  return 1 + hash_of(id, "stage" + std::to_string(stage)) % max_pieces;
}

} // namespace spurrack::platform_tests
