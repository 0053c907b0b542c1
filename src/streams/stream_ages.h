/// How long ago a stream that a client resumes may have begun.
#pragma once

#include "base/time.h"
#include "model/serving_records.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace spurrack::streams {

/// Time from the begin of a stream after which no client resumes it.
inline constexpr base::duration max_stream_age = std::chrono::minutes(10);

/// Times that clients allow for the streams of each route. Not thread-safe.
class stream_ages {
 public:
  /// Records that a client allows a new stream this time.
  void note_begun(const std::string& route, base::duration allowed);
  /// Forgets the routes that a configuration does not have.
  void keep_routes_of(const model::serving_configuration& configuration);

  /// A client resumes a stream within the time that it allowed at the begin. That time is at most
  /// the longest that clients were seen to allow on the route, or the timeout of the route.
  /// @param remaining time that the client still allows; std::nullopt if it did not say.
  /// @return earliest time at which the stream may have begun. If the route has no timeout or no
  ///         stream was seen to begin there, `max_stream_age` ago.
  [[nodiscard]] base::time_point earliest_begin(const model::route& route,
                                                std::optional<base::duration> remaining,
                                                base::time_point now) const;

 private:
  /// Longest time that a client allowed, by route.
  std::map<std::string, base::duration> longest_allowed_;
};

} // namespace spurrack::streams
