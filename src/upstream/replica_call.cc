#include "upstream/replica_call.h"

#include "http/socket_options.h"

#include <boost/beast/http/field.hpp>

#include <algorithm>
#include <charconv>
#include <string_view>

namespace spurrack::upstream {

namespace beast = boost::beast;
namespace beast_http = boost::beast::http;

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
  return status < 200;
}

} // namespace spurrack::upstream
