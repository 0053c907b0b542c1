/// Parses network addresses.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>

namespace spurrack::http {

/// @param text `IP:port`; host names are not resolved.
/// @return std::nullopt if the text is not an address.
std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(const std::string& text);

} // namespace spurrack::http
