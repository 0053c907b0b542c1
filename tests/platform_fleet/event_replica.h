/// Emulated replica on loopback. Streams events at fixed intervals. Aborts an answer if the daemon,
/// which is the client of the replica, does not read it. Serves any number of connections on one
/// thread.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <thread>

namespace spurrack::platform_tests {

/// Answers of the replica. The path of a request selects a long stream, a short stream or a whole
/// answer.
struct event_replica_options {
  /// Long stream, for paths under `/stream/` except `/stream/good/`: number of events, size of an
  /// event, and interval between two events.
  std::size_t long_events = 200;
  std::size_t long_event_bytes = 10'000;
  std::chrono::milliseconds long_interval{25};
  /// Short stream, for paths under `/stream/good/`: number of events, size of an event, and
  /// interval between two events.
  std::size_t short_events = 20;
  std::size_t short_event_bytes = 100;
  std::chrono::milliseconds short_interval{20};
  /// Size of a whole answer, for all other paths. A whole answer is not a stream and has a
  /// Content-Length header.
  std::size_t whole_bytes = 1'000'000;
  /// Maximum time for which a write may be blocked because the client does not read; after this
  /// time the answer is aborted.
  std::chrono::milliseconds write_timeout{4'000};
};

/// @return text of the event with the id `number` and `bytes` bytes of data.
std::string event_text(std::size_t number, std::size_t bytes);

/// Replica that serves requests from construction to destruction. Any thread may read the counters.
class event_replica {
 public:
  explicit event_replica(const event_replica_options& options = {});
  ~event_replica();
  event_replica(const event_replica&) = delete;
  event_replica& operator=(const event_replica&) = delete;

  [[nodiscard]] std::string address() const;
  /// @return number of streams that were aborted because the client did not read.
  [[nodiscard]] std::uint64_t aborted_streams() const { return aborted_streams_; }
  /// @return number of whole answers that were aborted because the client did not read.
  [[nodiscard]] std::uint64_t aborted_whole_answers() const { return aborted_whole_answers_; }
  /// @return number of streams that were requested with a Last-Event-Id above 0.
  [[nodiscard]] std::uint64_t resumed_streams() const { return resumed_streams_; }
  /// @return number of requests that the replica is answering.
  [[nodiscard]] std::uint64_t active_requests() const { return active_requests_; }

 private:
  using request = boost::beast::http::request<boost::beast::http::string_body>;
  boost::asio::awaitable<void> accept_all();
  boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
  /// @return whether the whole stream was written.
  boost::asio::awaitable<bool> answer_stream(boost::beast::tcp_stream& stream,
                                             const request& received);
  /// @return whether all bytes were written.
  boost::asio::awaitable<bool> answer_whole(boost::beast::tcp_stream& stream,
                                            const request& received);
  /// Writes bytes to a connection. Increments `aborted_answers` if the client does not read the
  /// bytes within the write timeout.
  /// @return whether all bytes were written.
  boost::asio::awaitable<bool> write(boost::beast::tcp_stream& stream, const std::string& bytes,
                                     std::atomic<std::uint64_t>& aborted_answers);

  event_replica_options options_;
  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::atomic<std::uint64_t> aborted_streams_ = 0;
  std::atomic<std::uint64_t> aborted_whole_answers_ = 0;
  std::atomic<std::uint64_t> resumed_streams_ = 0;
  std::atomic<std::uint64_t> active_requests_ = 0;
  std::thread thread_;
};

} // namespace spurrack::platform_tests
