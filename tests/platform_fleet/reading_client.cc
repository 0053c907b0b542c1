#include "reading_client.h"

#include "http/awaitable.h"
#include "http/endpoint.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <charconv>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string_view>
#include <sys/socket.h>
#include <vector>

namespace spurrack::platform_tests {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace beast_http = boost::beast::http;
using asio::ip::tcp;
using http::await_into;

/// Size of the receive buffer of a slow client in the kernel.
constexpr int slow_receive_buffer_bytes = 8'192;
/// Maximum TCP segment size on the connection of a slow client. On loopback, this size determines
/// the size of the daemon's send buffer; the default of 64 KB would make the buffer large.
constexpr int slow_segment_bytes = 1'400;
constexpr std::size_t read_bytes = 16'384;
/// Number of bytes that a pausing client reads before its pause.
constexpr std::size_t bytes_before_pause = 4'096;
constexpr std::chrono::seconds trickle_period{1};
/// Interval at which a client that never reads checks whether its connection was reset.
constexpr std::chrono::milliseconds reset_poll_interval{200};

/// Parses an answer incrementally and checks the ids of its events.
class answer_reader {
 public:
  answer_reader() { parser_.body_limit(boost::none); }

  /// Parses bytes of the answer and updates `result`.
  /// @return whether the answer is still incomplete.
  bool feed(std::string_view bytes, request_result& result) {
    unparsed_.append(bytes);
    boost::system::error_code error;
    while (!error && !unparsed_.empty() && !parser_.is_done()) {
      std::array<char, read_bytes> body_buffer{};
      parser_.get().body().data = body_buffer.data();
      parser_.get().body().size = body_buffer.size();
      const auto used = parser_.put(asio::buffer(unparsed_), error);
      unparsed_.erase(0, used);
      const auto filled =
          parser_.is_header_done() ? body_buffer.size() - parser_.get().body().size : 0;
      result.body_bytes += filled;
      check_events({body_buffer.data(), filled}, result);
      const bool needs_buffer = error == beast_http::error::need_buffer;
      error = needs_buffer ? boost::system::error_code() : error;
    }
    return !parser_.is_done() && (!error || error == beast_http::error::need_more);
  }

  /// Sets the fields of `result` that are known only at the end of the answer.
  void finish(request_result& result) const {
    result.status = parser_.is_header_done() ? parser_.get().result_int() : 0;
    result.has_retry_after = parser_.get().count("Retry-After") > 0;
    result.is_complete = parser_.is_done();
  }

 private:
  void check_events(std::string_view body, request_result& result) {
    partial_event_.append(body);
    for (auto end = partial_event_.find("\n\n"); end != std::string::npos;
         end = partial_event_.find("\n\n")) {
      constexpr std::size_t id_offset = 4;
      std::size_t id = 0;
      std::from_chars(partial_event_.data() + id_offset, partial_event_.data() + end, id);
      result.is_in_order = result.is_in_order && id == result.events + 1;
      ++result.events;
      partial_event_.erase(0, end + 2);
    }
  }

  beast_http::response_parser<beast_http::buffer_body> parser_;
  std::string unparsed_;
  /// Received bytes of an event that is still incomplete.
  std::string partial_event_;
};

std::string request_text(const request_plan& plan) {
  std::string text = "POST " + plan.path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + plan.id +
                     "\r\nX-Deadline-Ms: 60000\r\nAuthorization: Token k\r\n";
  text += "Content-Length: " + std::to_string(plan.body.size()) + "\r\n\r\n";
  return text + plan.body;
}

asio::awaitable<void> sleep_for(std::chrono::steady_clock::duration span) {
  asio::steady_timer timer(co_await asio::this_coro::executor, span);
  boost::system::error_code ignored;
  co_await timer.async_wait(await_into(ignored));
}

/// @return pending socket error (SO_ERROR); 0 if there is none.
int pending_error(tcp::socket& socket) {
  int pending_code = 0;
  socklen_t length = sizeof(pending_code);
  ::getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &pending_code, &length);
  return pending_code;
}

/// Waits, without reading, until the connection has failed, for example because it was reset.
asio::awaitable<void> wait_for_reset(tcp::socket& socket) {
  while (pending_error(socket) == 0) {
    co_await sleep_for(reset_poll_interval);
  }
}

/// Reads an answer with the read pattern of the plan.
asio::awaitable<void> read_answer(tcp::socket& socket, const request_plan& plan,
                                  request_result& result) {
  answer_reader reader;
  std::vector<char> bytes(plan.pattern == read_pattern::trickle ? 1 : read_bytes);
  std::size_t received_bytes = 0;
  bool needs_more = true;
  bool has_paused = plan.pattern != read_pattern::pausing;
  while (needs_more) {
    if (plan.pattern == read_pattern::trickle) {
      co_await sleep_for(trickle_period);
    }
    if (!has_paused && received_bytes >= bytes_before_pause) {
      has_paused = true;
      co_await sleep_for(plan.pause);
    }
    boost::system::error_code error;
    const auto read_count = co_await socket.async_read_some(asio::buffer(bytes), await_into(error));
    received_bytes += read_count;
    needs_more = reader.feed({bytes.data(), read_count}, result) && !error;
    result.was_reset = error == asio::error::connection_reset;
  }
  reader.finish(result);
}

} // namespace

void prepare_slow_socket(tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(asio::socket_base::receive_buffer_size(slow_receive_buffer_bytes), ignored);
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_MAXSEG, &slow_segment_bytes,
               sizeof(slow_segment_bytes));
}

asio::awaitable<request_result> send_and_read(std::string address, request_plan plan) {
  request_result result;
  tcp::socket socket(co_await asio::this_coro::executor, tcp::v4());
  boost::system::error_code error;
  if (plan.pattern != read_pattern::fast) {
    prepare_slow_socket(socket);
  }
  const auto started_at = std::chrono::steady_clock::now();
  const auto endpoint = http::parse_endpoint(address);
  co_await socket.async_connect(*endpoint, await_into(error));
  result.is_connected = !error;
  const auto text = request_text(plan);
  if (!error) {
    co_await asio::async_write(socket, asio::buffer(text), await_into(error));
  }
  if (plan.pattern == read_pattern::never) {
    co_await wait_for_reset(socket);
  } else {
    co_await read_answer(socket, plan, result);
  }
  result.duration = std::chrono::steady_clock::now() - started_at;
  co_return result;
}

} // namespace spurrack::platform_tests
