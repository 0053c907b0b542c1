/// Answers to requests that are refused before they reach the serving path: malformed, too large or
/// too slow requests, and requests for which this process has no memory or no connection left.
#pragma once

#include <boost/system/error_code.hpp>

#include <string>

namespace spurrack::http {

/// Answer to a request that is refused before it reaches the serving path.
struct refusal {
  unsigned status = 400;
  std::string reason;
  /// Whether the answer has a Retry-After header.
  bool is_retryable = false;
};

inline constexpr unsigned bad_request_status = 400;
/// Refusal of a connection because too many are open.
extern const refusal connection_limit_refusal;
/// Refusal of a request because there is no memory for its body.
extern const refusal memory_refusal;
/// @return refusal of a request that could not be read.
[[nodiscard]] refusal refusal_of(const boost::system::error_code& error);
/// @return the whole answer as it is written; it announces that the connection will be closed.
[[nodiscard]] std::string text_of(const refusal& response);

} // namespace spurrack::http
