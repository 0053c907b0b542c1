/// JSON form of answers and errors of the callers' interface.
#pragma once

#include "execution/answer.h"

#include <boost/beast/http/status.hpp>
#include <boost/json.hpp>

#include <string>
#include <string_view>

namespace spurrack::http {

/// Faults of a request that never reached the decision logic. Their names are stable.
enum class request_fault {
  malformed_http,
  malformed_json,
  body_too_large,
  header_too_large,
  receive_timeout,
  unknown_path,
  method_not_allowed,
  missing_token,
  missing_field,
  invalid_field,
  too_many_connections,
};

std::string_view name_of(request_fault fault);
boost::beast::http::status status_of(request_fault fault);
/// @return status that goes with an answer.
boost::beast::http::status status_of(const execution::answer& content);

/// @return the body of an answer.
boost::json::object to_json(const execution::answer& content);
/// @return the body of an error: outcome `not_run`, a stable code, a message.
boost::json::object to_json(request_fault fault, std::string_view detail);

/// @return lower-case hexadecimal SHA-256 of `text`.
std::string sha256_hex(std::string_view text);

} // namespace spurrack::http
