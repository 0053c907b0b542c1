/// Client of streams that tell which run of which replica wrote each event. Reads a stream over
/// several connections, also over two at the same time, and checks where the events of two runs
/// join.
#pragma once

#include "stamped_events.h"

#include "base/random.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace spurrack::platform_tests {

/// What all clients of a test saw. Not thread-safe.
struct joined_streams_report {
  std::map<std::string, std::size_t> counts;
  std::vector<std::string> violations;
};

/// Clients that read streams one after the other, each on a coroutine of its own.
class joined_stream_client {
 public:
  /// @param nodes `IP:port` at which each node listens for clients.
  joined_stream_client(boost::asio::io_context& io, std::vector<std::string> nodes,
                       std::uint64_t seed, joined_streams_report& report);

  /// Reads streams until `end_at`, and the last stream to its end.
  /// @param name part of the request ids; differs between the clients of a test.
  boost::asio::awaitable<void> read_streams(std::string name,
                                            std::chrono::steady_clock::time_point end_at);

 private:
  struct stream_session;
  struct connection;
  using connection_pointer = std::shared_ptr<connection>;

  /// Reads one stream over as many connections as needed.
  boost::asio::awaitable<void> read_stream(std::string name);
  /// @return a connection that will take up the stream after the last event that the client has.
  connection_pointer next_connection(stream_session& session, std::size_t after);
  /// Sends the request of a connection and reads the answer to its end.
  boost::asio::awaitable<void> read_answer(connection_pointer opened);
  static std::string request_text(const connection& opened);
  /// Reads events until the end of the answer.
  /// @param pauses whether the client reads nothing for a time after its first events.
  /// @return why the connection ended; no error if the answer ended before.
  boost::asio::awaitable<boost::system::error_code> read_events(connection& opened, bool pauses);
  /// Waits until the connection has brought some events or has ended.
  boost::asio::awaitable<void> wait_for_events(connection_pointer opened, std::size_t events);
  /// Takes up the stream on a second connection while the first one still brings events.
  boost::asio::awaitable<connection_pointer> take_up_early(stream_session& session,
                                                           connection_pointer first);
  void check_end(const connection& ended);
  void check_versions(const stream_session& session);
  boost::asio::awaitable<void> wait(std::chrono::milliseconds span);
  bool happens(std::uint64_t percent);

  boost::asio::io_context* io_;
  std::vector<std::string> nodes_;
  base::seeded_random random_;
  joined_streams_report* report_;
};

} // namespace spurrack::platform_tests
