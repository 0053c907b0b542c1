/// HTTP/1.1 messages as text, for emulated servers that write their answers as raw bytes.
#pragma once

#include <charconv>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <string>

namespace spurrack::platform_tests {

/// Returns an HTTP response with a Content-Length header.
/// @param status status code and reason phrase, such as `200 OK`.
/// @param headers header lines, each with its CRLF.
inline std::string http_message(const std::string& status, const std::string& headers,
                                const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// @return `bytes` as one chunk of a chunked body; an empty string if `bytes` is empty, because an
///         empty chunk would end the body.
inline std::string http_chunk(const std::string& bytes) {
  if (bytes.empty()) {
    return "";
  }
  constexpr std::size_t max_size_line_bytes = 24;
  char size[max_size_line_bytes];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

/// Empty chunk that ends a chunked body.
inline const std::string last_http_chunk = "0\r\n\r\n";

/// @return decimal number at the start of `text`; 0 if `text` does not start with a number.
inline std::uint64_t leading_number(const std::string& text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

} // namespace spurrack::platform_tests
