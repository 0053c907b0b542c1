#include "http/answer_writer.h"

#include <boost/beast/http/status.hpp>

#include <cstdio>

namespace spurrack::http {
namespace {

constexpr unsigned no_content = 204;
constexpr unsigned not_modified = 304;

std::string head(unsigned status, const serving::header_list& headers, after_answer connection) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
  const auto reason =
      boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
  text.append(reason.data(), reason.size());
  text += "\r\n";
  for (const auto& field : headers) {
    text += field.name + ": " + field.value + "\r\n";
  }
  if (connection == after_answer::close) {
    text += "Connection: close\r\n";
  }
  return text;
}

} // namespace

bool has_body(unsigned status) {
  return status != no_content && status != not_modified;
}

std::string fixed_length_head(unsigned status, const serving::header_list& headers,
                              std::optional<std::size_t> body_bytes, after_answer connection) {
  auto text = head(status, headers, connection);
  if (has_body(status) && body_bytes) {
    text += "Content-Length: " + std::to_string(*body_bytes) + "\r\n";
  }
  return text + "\r\n";
}

std::string whole_answer(unsigned status, const serving::header_list& headers,
                         std::string_view body, bool head_only, after_answer connection) {
  auto text = fixed_length_head(status, headers, body.size(), connection);
  if (has_body(status) && !head_only) {
    text.append(body);
  }
  return text;
}

std::string chunked_head(unsigned status, const serving::header_list& headers,
                         after_answer connection) {
  return head(status, headers, connection) + "Transfer-Encoding: chunked\r\n\r\n";
}

std::string open_ended_head(unsigned status, const serving::header_list& headers) {
  return head(status, headers, after_answer::close) + "\r\n";
}

std::string chunk(std::string_view bytes) {
  char size[32];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  std::string text = size;
  text.append(bytes);
  text += "\r\n";
  return text;
}

} // namespace spurrack::http
