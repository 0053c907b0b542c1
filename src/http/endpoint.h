/// Network addresses as text.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>

namespace spurrack::http {

/// @param text `IP:port`; names are not resolved.
/// @return nothing where the text is not an address.
std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(const std::string& text);

} // namespace spurrack::http
