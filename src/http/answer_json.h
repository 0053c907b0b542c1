/// JSON bodies and status codes of answers and errors that callers receive.
#pragma once

#include "execution/answer.h"

#include <boost/beast/http/status.hpp>
#include <boost/json.hpp>

#include <string>
#include <string_view>

namespace spurrack::http {

/// Errors of requests that the listener itself refuses. Callers match the names of these errors, so
/// the names must not change.
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
boost::beast::http::status status_of(const execution::answer& content);

boost::json::object to_json(const execution::answer& content);
/// @return the JSON body of an error: outcome `not_run`, the name of the fault, and `detail` as the
/// message.
boost::json::object to_json(request_fault fault, std::string_view detail);

/// @return lower-case hexadecimal SHA-256 of `text`.
std::string sha256_hex(std::string_view text);

} // namespace spurrack::http
