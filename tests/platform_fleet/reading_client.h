/// Clients on one thread that read their answers well, slowly, with a pause or not at all, and
/// check what they get.
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

/// How a client reads.
enum class read_pattern : std::uint8_t {
  fast,    ///< As fast as it can.
  trickle, ///< A byte a second.
  pausing, ///< Some bytes, nothing for a while, then as fast as it can.
  never,   ///< Nothing.
};

/// What a client wants and how it reads.
struct request_plan {
  read_pattern pattern = read_pattern::fast;
  std::string path;
  std::string id;
  std::string body;
  /// Of `pausing`.
  std::chrono::milliseconds pause{10'000};
};

/// What came of one request.
struct request_result {
  unsigned status = 0;
  /// The connection came up.
  bool is_connected = false;
  /// The answer ended as its framing says a whole one ends.
  bool is_complete = false;
  /// Identifiers of events rose by one each.
  bool is_in_order = true;
  std::size_t events = 0;
  std::size_t body_bytes = 0;
  std::chrono::steady_clock::duration duration{};
  bool has_retry_after = false;
  /// The connection was reset instead of closed.
  bool reset = false;
};

/// Gives a socket that is not connected yet so little room in the kernels of both sides that what
/// its owner does not read stays with the daemon.
void prepare_slow_socket(boost::asio::ip::tcp::socket& socket);

/// Asks once on a connection of its own and reads by the plan.
/// @param address `IP:port` of the daemon's clients' listener.
boost::asio::awaitable<request_result> send_and_read(std::string address, request_plan plan);

} // namespace spurrack::platform_tests
