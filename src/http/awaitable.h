/// Completion token for coroutines that check error codes instead of catching exceptions.
#pragma once

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace spurrack::http {

/// @return a completion token that stores the error of the operation in `error`, which must outlive
/// the operation.
inline auto await_into(boost::system::error_code& error) {
  return boost::asio::redirect_error(boost::asio::use_awaitable, error);
}

} // namespace spurrack::http
