/// Requests of the fault soak. Everything about one follows from its id, so that whoever sees a
/// part of it can check it.
#pragma once

#include <cstddef>
#include <string>

namespace spurrack::platform_tests {

/// What clients send, and what replicas answer to it.
struct soak_request {
  /// Each replica ends that begins to run a request with this path.
  static constexpr const char* crashing_path = "/stream/crashing";
  /// @return whether requests of a kind have stages before they run.
  static bool has_stages(const std::string& kind) { return kind == "staged" || kind == "held"; }
  /// @return whether requests of a kind are answered with events.
  static bool is_stream(const std::string& kind) {
    return kind == "stream" || kind == "long" || has_stages(kind);
  }
  /// @return whether an answer comes event by event and lasts three to six seconds.
  static bool is_long(const std::string& id) { return id.starts_with("long"); }
  /// @return whether a request is held to the region of the zone `east`.
  static bool is_confined(const std::string& id) { return id.starts_with("held"); }
  static std::string path(const std::string& kind, const std::string& id) {
    return "/" + kind + "/" + id;
  }
  static std::string body(const std::string& id) { return "body of " + id; }
  /// Bytes of the answer to a plain request.
  static std::string answer(const std::string& id);
  static std::size_t event_count(const std::string& id);
  static std::string event(const std::string& id, std::size_t number);
  /// Pieces of the first and of the second stage.
  static std::size_t piece_count(const std::string& id, std::size_t stage);
};

} // namespace spurrack::platform_tests
