#include "upstream/body_reader.h"

#include "http/awaitable.h"

#include <boost/beast/http/error.hpp>

#include <string_view>

namespace spurrack::upstream {
namespace {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using boost::system::error_code;

/// Passes the end of the connection to the parser, since the end of the connection completes a body
/// without framing.
/// @return `end_of_stream` if the body is incomplete.
error_code parse_end(response_parser& parser) {
  error_code error;
  parser.put_eof(error);
  if (!error && !parser.is_done()) {
    error = beast_http::error::end_of_stream;
  }
  return error;
}

/// The parser asserts that the last chunk of an empty body arrives in two parts at most, so it must
/// not get a part of it.
/// @return whether the received bytes are the begin of a last chunk, and not the whole of it.
bool is_part_of_last_chunk(const boost::beast::flat_buffer& received,
                           const response_parser& parser) {
  constexpr std::string_view last_chunk = "0\r\n\r\n";
  constexpr std::size_t size_line_bytes = 3;
  const std::string_view bytes(static_cast<const char*>(received.data().data()), received.size());
  return parser.chunked() && bytes.size() >= size_line_bytes && bytes.size() < last_chunk.size() &&
         last_chunk.starts_with(bytes);
}

} // namespace

error_code parse_received_body(boost::beast::flat_buffer& received, response_parser& parser,
                               std::string& body) {
  error_code error;
  parser.eager(true);
  while (!error && received.size() > 0 && !parser.is_done() &&
         !is_part_of_last_chunk(received, parser)) {
    const auto previous_size = body.size();
    const auto capacity = received.size();
    body.resize(previous_size + capacity);
    parser.get().body().data = body.data() + previous_size;
    parser.get().body().size = capacity;
    parser.get().body().more = true;
    received.consume(parser.put(received.data(), error));
    body.resize(previous_size + capacity - parser.get().body().size);
    if (error == beast_http::error::need_buffer) {
      error = {};
    }
  }
  if (error == beast_http::error::need_more) {
    error = {};
  }
  if (!error && !parser.is_done() && received.size() > max_framing_bytes) {
    error = beast_http::error::header_limit;
  }
  return error;
}

asio::awaitable<error_code> read_some_body(connection& source, response_parser& parser,
                                           std::size_t max_bytes, std::string& body) {
  const auto previous_size = body.size();
  error_code error = parse_received_body(source.buffer, parser, body);
  if (error || parser.is_done() || body.size() > previous_size) {
    co_return error;
  }
  auto& socket = source.stream.socket();
  co_await socket.async_wait(asio::ip::tcp::socket::wait_read, http::await_into(error));
  if (error) {
    co_return error;
  }
  const auto received = socket.read_some(source.buffer.prepare(max_bytes), error);
  source.buffer.commit(received);
  if (error == asio::error::would_block) {
    co_return error_code();
  }
  error = error == asio::error::eof
              ? parse_end(parser)
              : (error ? error : parse_received_body(source.buffer, parser, body));
  if (source.buffer.size() == 0) {
    // No buffer is needed while the connection waits for the next bytes.
    source.buffer.shrink_to_fit();
  }
  co_return error;
}

} // namespace spurrack::upstream
