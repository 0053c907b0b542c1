#include "http/request_wait.h"

#include "http/awaitable.h"

#include <cstddef>

namespace spurrack::http {
namespace {

constexpr std::size_t first_read_bytes = 4'096;

} // namespace

boost::asio::awaitable<bool> wait_for_request(boost::beast::tcp_stream& stream,
                                              boost::beast::flat_buffer& buffer,
                                              base::duration idle_timeout) {
  if (buffer.size() > 0) {
    co_return true;
  }
  boost::system::error_code error;
  stream.expires_after(idle_timeout);
  const auto received =
      co_await stream.async_read_some(buffer.prepare(first_read_bytes), await_into(error));
  if (error) {
    co_return false;
  }
  buffer.commit(received);
  co_return true;
}

} // namespace spurrack::http
