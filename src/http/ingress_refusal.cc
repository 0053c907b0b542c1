#include "http/ingress_refusal.h"

#include "http/answer_writer.h"
#include "serving/request.h"

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>

namespace spurrack::http {
namespace {

/// Value of Retry-After, in seconds, in the answer to a request that is refused for lack of memory,
/// or to a connection that is refused because too many connections are open.
constexpr const char* retry_after_seconds = "0.500";

} // namespace

const refusal connection_limit_refusal{503, "too many connections", true};
const refusal memory_refusal{503, "no memory for the body", true};

std::string text_of(const refusal& response) {
  serving::header_list headers{{"Content-Type", "application/json"}};
  if (response.is_retryable) {
    headers.push_back({"Retry-After", retry_after_seconds});
  }
  const auto body = "{\"error\":\"" + response.reason + "\"}\n";
  return whole_answer(response.status, headers, body, false, after_answer::close);
}

refusal refusal_of(const boost::system::error_code& error) {
  if (error == boost::beast::error::timeout) {
    return {408, "the request took too long to arrive"};
  }
  if (error == boost::beast::http::error::body_limit) {
    return {413, "the body is too large"};
  }
  if (error == boost::beast::http::error::header_limit ||
      error == boost::beast::http::error::buffer_overflow) {
    return {431, "the header is too large"};
  }
  return {400, "malformed request"};
}

} // namespace spurrack::http
