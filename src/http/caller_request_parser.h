/// Parses HTTP requests of callers, the users of spurrack's own pipelines interface.
#pragma once

#include "execution/answer.h"
#include "http/answer_json.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>
#include <variant>

namespace spurrack::http {

using http_request = boost::beast::http::request<boost::beast::http::string_body>;

/// Request for a ticket. The ticket is the permission to run one later request once.
struct ticket_request {
  std::string token_sha256;
};
/// Health check of the process.
struct health_request {
  /// Whether the check is for readiness to accept requests, instead of liveness.
  bool readiness = false;
};
/// Invalid request, which the listener refuses without passing it on.
struct refused_request {
  request_fault fault = request_fault::malformed_http;
  std::string detail;
};

using parsed_request =
    std::variant<execution::caller_request, ticket_request, health_request, refused_request>;

parsed_request parse_caller_request(const http_request& message);

} // namespace spurrack::http
