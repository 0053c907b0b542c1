#include "http/refusal_writer.h"

#include "http/awaitable.h"

#include <boost/asio/write.hpp>

#include <array>

namespace spurrack::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;

/// Maximum number of bytes of headers and framing that are discarded after a refusal, in addition
/// to the body.
constexpr std::size_t max_discarded_framing_bytes = 65'536;
constexpr std::size_t read_bytes = 4'096;

asio::awaitable<void> discard_rest(beast::tcp_stream& stream, discard_limits limits) {
  boost::system::error_code error;
  stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, error);
  std::array<char, read_bytes> ignored{};
  stream.expires_after(limits.timeout);
  const auto max_bytes = limits.max_body_bytes + max_discarded_framing_bytes;
  for (std::size_t discarded = 0; !error && discarded < max_bytes;) {
    discarded += co_await stream.async_read_some(asio::buffer(ignored), await_into(error));
  }
}

} // namespace

asio::awaitable<void> write_refusal(beast::tcp_stream& stream, const refusal& response,
                                    std::chrono::seconds write_timeout, discard_limits limits) {
  boost::system::error_code error;
  const auto text = text_of(response);
  stream.expires_after(write_timeout);
  co_await asio::async_write(stream, asio::buffer(text), await_into(error));
  co_await discard_rest(stream, limits);
}

} // namespace spurrack::http
