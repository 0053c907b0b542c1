#include "http/caller_request_parser.h"

#include <boost/json.hpp>

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

namespace spurrack::http {
namespace {

namespace beast_http = boost::beast::http;
namespace json = boost::json;

constexpr std::string_view pipelines_path = "/v1/pipelines/";
constexpr std::string_view tickets_path = "/v1/tickets";
constexpr std::string_view bearer_prefix = "Bearer ";
/// Maximum number of bytes of an idempotency key and of a ticket. An error quotes at most as many
/// bytes of an unknown path.
constexpr std::size_t max_value_bytes = 256;
constexpr std::size_t max_json_depth = 8;

refused_request make_refusal(request_fault fault, std::string detail) {
  return {fault, std::move(detail)};
}

std::string header_value(const http_request& message, std::string_view name) {
  const auto value = message[boost::beast::string_view(name.data(), name.size())];
  return {value.data(), value.size()};
}

std::string bearer_token_of(const http_request& message) {
  const auto value = header_value(message, "Authorization");
  return value.starts_with(bearer_prefix) ? value.substr(bearer_prefix.size()) : "";
}

std::variant<json::object, refused_request> parse_body(const std::string& body) {
  json::parse_options options;
  options.max_depth = max_json_depth;
  boost::system::error_code error;
  auto value = json::parse(body, error, {}, options);
  if (error) {
    return make_refusal(request_fault::malformed_json, error.message());
  }
  if (!value.is_object()) {
    return make_refusal(request_fault::malformed_json, "the body must be an object");
  }
  return std::move(value.get_object());
}

std::optional<refused_request> read_fields(const json::object& body,
                                           execution::caller_request& request) {
  static const std::set<std::string_view> known_fields{"input", "deadline_ms", "stream"};
  for (const auto& field : body) {
    if (!known_fields.contains({field.key().data(), field.key().size()})) {
      return make_refusal(request_fault::invalid_field, "unknown field '" +
                                                            std::string(field.key()) +
                                                            "'; known: input, deadline_ms, stream");
    }
  }
  const auto* input = body.if_contains("input");
  if (input == nullptr) {
    return make_refusal(request_fault::missing_field, "input: text is required");
  }
  if (!input->is_string()) {
    return make_refusal(request_fault::invalid_field, "input: must be text");
  }
  request.input = std::string(input->get_string());
  if (const auto* deadline = body.if_contains("deadline_ms")) {
    if (!deadline->is_int64()) {
      return make_refusal(request_fault::invalid_field, "deadline_ms: must be a whole number");
    }
    constexpr std::int64_t max_deadline_milliseconds = 86'400'000;
    request.deadline = std::chrono::milliseconds(
        std::clamp<std::int64_t>(deadline->get_int64(), 0, max_deadline_milliseconds));
  }
  if (const auto* stream = body.if_contains("stream")) {
    if (!stream->is_bool()) {
      return make_refusal(request_fault::invalid_field, "stream: must be true or false");
    }
    request.stream = stream->get_bool();
  }
  return std::nullopt;
}

parsed_request parse_pipeline_request(const http_request& message, std::string pipeline) {
  execution::caller_request request;
  request.pipeline = base::template_id(std::move(pipeline));
  const auto token = bearer_token_of(message);
  if (token.empty()) {
    return make_refusal(request_fault::missing_token, "Authorization: Bearer TOKEN is required");
  }
  request.token_sha256 = sha256_hex(token);
  request.idempotency_key = header_value(message, "Idempotency-Key");
  request.ticket = header_value(message, "Spurrack-Ticket");
  if (request.idempotency_key.size() > max_value_bytes || request.ticket.size() > max_value_bytes) {
    return make_refusal(request_fault::invalid_field, "key or ticket is longer than 256 bytes");
  }
  auto body = parse_body(message.body());
  if (auto* fault = std::get_if<refused_request>(&body)) {
    return std::move(*fault);
  }
  if (auto fault = read_fields(std::get<json::object>(body), request)) {
    return std::move(*fault);
  }
  return request;
}

} // namespace

parsed_request parse_caller_request(const http_request& message) {
  const std::string target(message.target().data(), message.target().size());
  if (target == "/healthz" || target == "/readyz") {
    return health_request{target == "/readyz"};
  }
  const bool is_ticket_request = target == tickets_path;
  if (!is_ticket_request && !target.starts_with(pipelines_path)) {
    return make_refusal(request_fault::unknown_path, target.substr(0, max_value_bytes));
  }
  if (message.method() != beast_http::verb::post) {
    return make_refusal(request_fault::method_not_allowed, "POST is expected");
  }
  if (is_ticket_request) {
    const auto token = bearer_token_of(message);
    if (token.empty()) {
      return make_refusal(request_fault::missing_token, "Authorization: Bearer TOKEN is required");
    }
    return ticket_request{sha256_hex(token)};
  }
  return parse_pipeline_request(message, target.substr(pipelines_path.size()));
}

} // namespace spurrack::http
