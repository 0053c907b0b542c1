/// Client coroutine that sends one request, reads the answer with a given pattern (fast, slowly,
/// with a pause, or not at all), and checks the answer. Many clients can run on one thread.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace spurrack::platform_tests {

/// How a client reads its answer.
enum class read_pattern : std::uint8_t {
  fast,    ///< Reads as fast as possible.
  trickle, ///< Reads one byte per second.
  pausing, ///< Reads some bytes, pauses, then reads as fast as possible.
  never,   ///< Reads nothing.
};

/// Request of a client, and how the client reads the answer.
struct request_plan {
  read_pattern pattern = read_pattern::fast;
  std::string path;
  std::string id;
  std::string body;
  /// Duration of the pause in the pattern `pausing`; has no effect in other patterns.
  std::chrono::milliseconds pause{10'000};
};

struct request_result {
  unsigned status = 0;
  bool is_connected = false;
  /// Whether the answer is complete according to its HTTP framing.
  bool is_complete = false;
  /// Whether the ids of the received events are 1, 2, 3 and so on.
  bool is_in_order = true;
  std::size_t events = 0;
  std::size_t body_bytes = 0;
  /// Time from the start of the connect to the end of the answer.
  std::chrono::steady_clock::duration duration{};
  bool has_retry_after = false;
  /// Whether the connection was reset instead of closed.
  bool was_reset = false;
};

/// Limits the kernel's buffers on both sides of a connection, so that bytes that the client does
/// not read stay in the daemon.
/// @param socket open socket that is not yet connected.
void prepare_slow_socket(boost::asio::ip::tcp::socket& socket);

/// Sends the request of a plan on a new connection and reads the answer as planned.
/// @param address `IP:port` at which the daemon listens for clients.
boost::asio::awaitable<request_result> send_and_read(std::string address, request_plan plan);

} // namespace spurrack::platform_tests
