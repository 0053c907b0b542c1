#include "http/answer_json.h"

#include "model/outcome.h"

#include <openssl/sha.h>

#include <array>

namespace spurrack::http {
namespace {

namespace json = boost::json;
using boost::beast::http::status;
using execution::reason;

double milliseconds(base::duration span) {
  constexpr double thousand = 1e3;
  return base::to_seconds(span) * thousand;
}

status status_of_reason(reason failure_reason) {
  switch (failure_reason) {
  case reason::unknown_token:
    return status::unauthorized;
  case reason::unknown_template:
    return status::not_found;
  case reason::invalid_deadline:
  case reason::ticket_invalid:
    return status::bad_request;
  case reason::overloaded:
  case reason::deadline_unreachable:
    return status::too_many_requests;
  case reason::key_in_use:
    return status::conflict;
  case reason::deadline_passed:
    return status::gateway_timeout;
  case reason::backend_failed:
  case reason::retries_exhausted:
  case reason::ticket_expired:
  case reason::owner_unreachable:
    return status::bad_gateway;
  default:
    return status::service_unavailable;
  }
}

} // namespace

std::string_view name_of(request_fault fault) {
  switch (fault) {
  case request_fault::malformed_http:
    return "malformed_http";
  case request_fault::malformed_json:
    return "malformed_json";
  case request_fault::body_too_large:
    return "body_too_large";
  case request_fault::header_too_large:
    return "header_too_large";
  case request_fault::receive_timeout:
    return "receive_timeout";
  case request_fault::unknown_path:
    return "unknown_path";
  case request_fault::method_not_allowed:
    return "method_not_allowed";
  case request_fault::missing_token:
    return "missing_token";
  case request_fault::missing_field:
    return "missing_field";
  case request_fault::invalid_field:
    return "invalid_field";
  case request_fault::too_many_connections:
    return "too_many_connections";
  }
  return "malformed_http";
}

status status_of(request_fault fault) {
  switch (fault) {
  case request_fault::body_too_large:
    return status::payload_too_large;
  case request_fault::header_too_large:
    return status::request_header_fields_too_large;
  case request_fault::receive_timeout:
    return status::request_timeout;
  case request_fault::unknown_path:
    return status::not_found;
  case request_fault::method_not_allowed:
    return status::method_not_allowed;
  case request_fault::missing_token:
    return status::unauthorized;
  case request_fault::too_many_connections:
    return status::service_unavailable;
  default:
    return status::bad_request;
  }
}

status status_of(const execution::answer& content) {
  return content.outcome == model::outcome::completed ? status::ok
                                                      : status_of_reason(content.failure_reason);
}

json::object to_json(const execution::answer& content) {
  json::object body;
  body["request_id"] = content.request.text();
  body["outcome"] = model::name_of(content.outcome);
  if (content.failure_reason != reason::none) {
    body["code"] = execution::name_of(content.failure_reason);
  }
  if (content.retry_after.count() > 0) {
    body["retry_after_ms"] = base::to_milliseconds(content.retry_after);
  }
  if (content.outcome == model::outcome::completed) {
    json::object outputs;
    for (const auto& output : content.outputs) {
      outputs[output.stage] = output.text;
    }
    body["outputs"] = std::move(outputs);
  }
  json::array costs;
  for (const auto& cost : content.costs) {
    json::object entry;
    entry["stage"] = cost.stage;
    entry["backend_ms"] = milliseconds(cost.backend_time);
    entry["wasted_ms"] = milliseconds(cost.wasted_time);
    entry["tokens"] = cost.tokens;
    entry["attempts"] = cost.attempts;
    costs.push_back(std::move(entry));
  }
  body["cost"] = std::move(costs);
  return body;
}

json::object to_json(request_fault fault, std::string_view detail) {
  json::object body;
  body["outcome"] = model::name_of(model::outcome::not_run);
  body["code"] = name_of(fault);
  body["message"] = detail;
  return body;
}

std::string sha256_hex(std::string_view text) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
  constexpr std::string_view digits = "0123456789abcdef";
  constexpr unsigned nibble = 4;
  constexpr unsigned nibble_mask = 0xF;
  std::string hex;
  for (const auto byte : digest) {
    hex += digits[byte >> nibble];
    hex += digits[byte & nibble_mask];
  }
  return hex;
}

} // namespace spurrack::http
