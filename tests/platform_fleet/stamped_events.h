/// Events that tell which run of which replica wrote them, so that a client can check where the
/// events of two runs join.
#pragma once

#include <charconv>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace spurrack::platform_tests {

/// Stream that a client requests; the path of the request holds all of it.
struct stamped_stream {
  /// First part of the path, which selects the route.
  std::string route;
  std::size_t events = 0;
  /// Size of the payload of each event.
  std::size_t event_bytes = 0;

  [[nodiscard]] std::string path() const {
    return "/" + route + "/" + std::to_string(events) + "/" + std::to_string(event_bytes);
  }
};

/// Run of a process of a replica, and the software version of the process.
struct run_stamp {
  std::string run;
  std::string version;
  bool operator==(const run_stamp&) const = default;
};

/// @param path path as made by `stamped_stream::path`.
inline stamped_stream stream_of(std::string_view path) {
  const auto take_part = [&path] {
    path.remove_prefix(1);
    const auto end = std::min(path.find('/'), path.size());
    const auto part = path.substr(0, end);
    path.remove_prefix(end);
    return std::string(part);
  };
  stamped_stream stream;
  stream.route = take_part();
  stream.events = std::stoul(take_part());
  stream.event_bytes = std::stoul(take_part());
  return stream;
}

/// @return the event with the id `number`; the run is named at its start and at its end, so that an
///         event made of the bytes of two runs is recognised.
inline std::string stamped_event(const stamped_stream& stream, std::size_t number,
                                 const run_stamp& stamp) {
  constexpr std::size_t letters = 26;
  const char letter = static_cast<char>('a' + number % letters);
  const auto id = std::to_string(number);
  return "id: " + id + "\ndata: run " + stamp.run + " version " + stamp.version + " event " + id +
         " of " + std::to_string(stream.events) +
         "\ndata: " + std::string(stream.event_bytes, letter) + "\ndata: run " + stamp.run +
         " ends event " + id + "\n\n";
}

/// @param event text of an event with its empty line.
/// @return the run that wrote the event; std::nullopt if the text isn't exactly the event with the
///         id `number`.
inline std::optional<run_stamp> stamp_of(const stamped_stream& stream, std::size_t number,
                                         const std::string& event) {
  const auto text_between = [&event](const std::string& before, const std::string& after) {
    const auto from = event.find(before);
    const auto to = from == std::string::npos ? from : event.find(after, from + before.size());
    return to == std::string::npos ? std::string()
                                   : event.substr(from + before.size(), to - from - before.size());
  };
  run_stamp stamp{text_between("data: run ", " "), text_between(" version ", " ")};
  return event == stamped_event(stream, number, stamp) ? std::optional(stamp) : std::nullopt;
}

} // namespace spurrack::platform_tests
