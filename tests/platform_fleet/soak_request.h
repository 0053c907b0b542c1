/// Requests of the fault soak and the expected answers. All contents follow from the id of the
/// request, so that replicas and clients can check whatever part they receive.
#pragma once

#include <cstddef>
#include <string>

namespace spurrack::platform_tests {

/// What writes an event of a stream.
struct event_origin {
  /// Software version of the replica.
  std::string version;
  /// Name of the run of the request at the replica, without blanks and slashes.
  std::string run;
};

/// The kind of a request is the first part of its path, such as `safe`.
struct soak_request {
  /// Path of the crashing request: every replica that starts to run this request crashes.
  static constexpr const char* crashing_path = "/stream/crashing";
  /// @return whether requests of a kind have stages.
  static bool has_stages(const std::string& kind) { return kind == "staged" || kind == "held"; }
  /// @return whether the answer to a kind of request is an event stream.
  static bool is_stream(const std::string& kind) {
    return kind == "stream" || kind == "long" || kind == "chat" || has_stages(kind);
  }
  /// @return id from which the contents of a request follow: the id of the first of all attempts
  ///         of a client to get one stream.
  static std::string content_id(const std::string& id) { return id.substr(0, id.find('~')); }
  /// @return id of another attempt of a client to get the stream of a request.
  static std::string attempt_id(const std::string& id, std::size_t attempt) {
    return id + "~" + std::to_string(attempt);
  }
  /// @return whether the answer to a request is a long stream, whose events are sent one by one
  ///         over three to six seconds.
  static bool is_long(const std::string& id) {
    return id.starts_with("long") || id.starts_with("chat");
  }
  /// @return whether a request may run only in the region of the zone `east`.
  static bool is_confined(const std::string& id) { return id.starts_with("held"); }
  static std::string path(const std::string& kind, const std::string& id) {
    return "/" + kind + "/" + id;
  }
  static std::string body(const std::string& id) { return "body of " + id; }
  /// @return body of the answer to a request, if the answer is not an event stream. Each byte of it
  ///         may depend on the run, so that no join of two runs is the answer of a run.
  /// @param run name of the run of the request at a replica, without blanks.
  static std::string answer(const std::string& id, const std::string& run);
  /// @return number of events of the answer to a request, if the answer is an event stream.
  static std::size_t event_count(const std::string& id);
  /// @param number position of the event in the stream of the answer, starting at 1; also the id of
  ///        the event.
  /// @param origin run that writes the event.
  static std::string event(const std::string& id, std::size_t number, const event_origin& origin);
  /// @return number of pieces of a stage of a request.
  /// @param stage 0 or 1.
  static std::size_t piece_count(const std::string& id, std::size_t stage);
};

} // namespace spurrack::platform_tests
