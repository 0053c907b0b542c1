/// From an HTTP message to a typed request of a caller.
#pragma once

#include "execution/answer.h"
#include "http/answer_json.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>
#include <variant>

namespace spurrack::http {

using http_request = boost::beast::http::request<boost::beast::http::string_body>;

/// Asks for a ticket.
struct ticket_request {
  std::string token_sha256;
};
/// Asks whether the process lives, or whether it takes requests.
struct health_request {
  bool readiness = false;
};
/// The request is refused before anything is decided.
struct refused_request {
  request_fault fault = request_fault::malformed_http;
  std::string detail;
};

using parsed_request =
    std::variant<execution::caller_request, ticket_request, health_request, refused_request>;

/// @return what is asked, or why it is refused.
parsed_request parse_caller_request(const http_request& message);

} // namespace spurrack::http
