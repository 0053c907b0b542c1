/// Requests of the fault soak. All properties of a request follow from the id of the request, so
/// that every receiver of a part of the request can check this part.
#pragma once

#include <cstddef>
#include <string>

namespace spurrack::platform_tests {

/// Contents of requests and of their answers. The kind of a request is the first part of its path,
/// such as `safe`.
struct soak_request {
  /// Path of the request that crashes every replica that starts to run it.
  static constexpr const char* crashing_path = "/stream/crashing";
  /// @return whether requests of a kind have stages.
  static bool has_stages(const std::string& kind) { return kind == "staged" || kind == "held"; }
  /// @return whether the answer to a kind of request is an event stream.
  static bool is_stream(const std::string& kind) {
    return kind == "stream" || kind == "long" || has_stages(kind);
  }
  /// @return whether the answer to a request is a long stream, whose events are sent one by one
  ///         over three to six seconds.
  static bool is_long(const std::string& id) { return id.starts_with("long"); }
  /// @return whether a request may run only in the region of the zone `east`.
  static bool is_confined(const std::string& id) { return id.starts_with("held"); }
  static std::string path(const std::string& kind, const std::string& id) {
    return "/" + kind + "/" + id;
  }
  static std::string body(const std::string& id) { return "body of " + id; }
  /// @return body of the answer to a request, if the answer is not an event stream.
  static std::string answer(const std::string& id);
  /// @return number of events of the answer to a request, if the answer is an event stream.
  static std::size_t event_count(const std::string& id);
  /// @return text of one event of the answer to a request.
  /// @param number position of the event in the stream, starting at 1. The position is also the id
  ///        of the event.
  static std::string event(const std::string& id, std::size_t number);
  /// @return number of pieces of a stage of a request.
  /// @param stage 0 or 1.
  static std::size_t piece_count(const std::string& id, std::size_t stage);
};

} // namespace spurrack::platform_tests
