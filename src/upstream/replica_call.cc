#include "upstream/replica_call.h"

#include "http/socket_options.h"

#include <boost/beast/http/field.hpp>

#include <algorithm>
#include <charconv>
#include <string_view>

namespace spurrack::upstream {

namespace beast = boost::beast;
namespace beast_http = boost::beast::http;
namespace {

/// Least and greatest status of an answer, and the least status of an answer that ends a request
/// (RFC 9110, section 15).
constexpr unsigned min_status = 100;
constexpr unsigned max_status = 599;
constexpr unsigned min_final_status = 200;
/// Status of an answer after which the connection carries another protocol. No call asks for one.
constexpr unsigned switching_protocols_status = 101;

} // namespace

std::chrono::milliseconds tcp_user_timeout_of(const outgoing_call& call, base::time_point now) {
  if (!call.must_stay) {
    return default_tcp_user_timeout;
  }
  const auto left =
      std::chrono::ceil<std::chrono::milliseconds>(call.started_at + call.time_left - now);
  return std::max(left, default_tcp_user_timeout);
}

void use_tcp_user_timeout(connection& replica_connection, std::chrono::milliseconds timeout) {
  if (replica_connection.tcp_user_timeout != timeout) {
    replica_connection.tcp_user_timeout = timeout;
    http::set_tcp_user_timeout(replica_connection.stream.socket(), timeout);
  }
}

std::string serialize_head(const serving::encoded_call& content) {
  std::string text = content.method + " " + content.target + " HTTP/1.1\r\n";
  for (const auto& field : content.headers) {
    text += field.name + ": " + field.value + "\r\n";
  }
  if (content.has_body) {
    text += "Content-Length: " + std::to_string(content.body.size()) + "\r\n";
  }
  return text + "\r\n";
}

serving::raw_answer raw_answer_of(const response_parser& parser) {
  serving::raw_answer raw;
  raw.status = parser.get().result_int();
  for (const auto& field : parser.get()) {
    raw.headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  return raw;
}

base::duration idle_timeout_of(const response_parser& parser) {
  const auto text = parser.get()[beast_http::field::keep_alive];
  const auto position = text.find("timeout=");
  if (position == beast::string_view::npos) {
    return default_idle_timeout - idle_timeout_margin;
  }
  const auto number = text.substr(position + std::string_view("timeout=").size());
  unsigned seconds = 0;
  std::from_chars(number.data(), number.data() + number.size(), seconds);
  return std::max<base::duration>(std::chrono::seconds(seconds) - idle_timeout_margin,
                                  base::duration::zero());
}

bool is_interim(unsigned status) {
  return status >= min_status && status < min_final_status;
}

bool is_malformed(const boost::system::error_code& read_error) {
  using beast_http::error;
  const bool is_of_parser = read_error.category() == make_error_code(error::bad_version).category();
  return is_of_parser && read_error != error::end_of_stream && read_error != error::partial_message;
}

serving::answer_fault fault_of_head(const response_parser& parser) {
  const auto status = parser.get().result_int();
  const bool switches_protocols = status == switching_protocols_status;
  if (status < min_status || status > max_status || switches_protocols) {
    return serving::answer_fault::invalid_head;
  }
  const auto codings = parser.get().equal_range(beast_http::field::transfer_encoding);
  const bool is_chunked_alone = std::all_of(codings.first, codings.second, [](const auto& field) {
    return beast::iequals(field.value(), "chunked");
  });
  return is_chunked_alone ? serving::answer_fault::none : serving::answer_fault::unknown_coding;
}

} // namespace spurrack::upstream
