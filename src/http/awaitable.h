/// Shorthand for coroutines that look at error codes instead of catching exceptions.
#pragma once

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace spurrack::http {

/// @return a completion token whose operation reports its error in `error`.
inline auto await_into(boost::system::error_code& error) {
  return boost::asio::redirect_error(boost::asio::use_awaitable, error);
}

} // namespace spurrack::http
