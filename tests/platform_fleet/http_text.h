/// HTTP/1.1 messages as text, for emulated services that write answers as raw bytes.
#pragma once

#include <charconv>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <string>

namespace spurrack::platform_tests {

/// Returns a message with a Content-Length header.
/// @param status such as `200 OK`. @param headers header lines, each with its CRLF.
inline std::string http_message(const std::string& status, const std::string& headers,
                                const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// @return chunk of a chunked body; an empty string for empty bytes, since an empty chunk ends the
///         body.
inline std::string http_chunk(const std::string& bytes) {
  if (bytes.empty()) {
    return "";
  }
  constexpr std::size_t max_size_line_bytes = 24;
  char size[max_size_line_bytes];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

/// Last chunk of a chunked body.
inline const std::string last_http_chunk = "0\r\n\r\n";

/// @return decimal number at the start of the text; 0 if the text does not start with a number.
inline std::uint64_t leading_number(const std::string& text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

} // namespace spurrack::platform_tests
