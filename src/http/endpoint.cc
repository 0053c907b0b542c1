#include "http/endpoint.h"

#include <charconv>

namespace spurrack::http {

std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  std::uint16_t port = 0;
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(text.substr(0, colon), error);
  if (error || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return boost::asio::ip::tcp::endpoint(address, port);
}

} // namespace spurrack::http
