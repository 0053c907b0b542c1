#include "soak_request.h"

#include <functional>

namespace spurrack::platform_tests {
namespace {

constexpr std::size_t longest_padding = 20'000;
constexpr std::size_t most_events = 12;
constexpr std::size_t fewest_long_events = 30;
constexpr std::size_t most_long_events = 55;
constexpr std::size_t most_pieces = 4;

std::size_t number_of(const std::string& id, const std::string& what) {
  return std::hash<std::string>{}(id + "/" + what);
}

} // namespace

std::string soak_request::answer(const std::string& id) {
  return "answer to " + id + "\n" + std::string(number_of(id, "padding") % longest_padding, '.');
}

std::size_t soak_request::events(const std::string& id) {
  const auto number = number_of(id, "events");
  if (is_long(id)) {
    return fewest_long_events + number % (most_long_events - fewest_long_events + 1);
  }
  return 1 + number % most_events;
}

std::string soak_request::event(const std::string& id, std::size_t number) {
  return "id: " + std::to_string(number) + "\ndata: " + id + "/" + std::to_string(number) + "/" +
         std::to_string(events(id)) + "\n\n";
}

std::size_t soak_request::pieces(const std::string& id, std::size_t stage) {
  return 1 + number_of(id, "stage" + std::to_string(stage)) % most_pieces;
}

} // namespace spurrack::platform_tests
