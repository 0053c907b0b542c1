/// Replica on loopback that streams events at fixed intervals and aborts answers that stay unread.
/// Serves any number of connections on one thread.
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

/// Answers of the replica; the path of a request selects one of three kinds.
struct event_replica_options {
  /// Paths under `/stream/` except `/stream/good/`: long streams with an event every interval while
  /// the client reads.
  std::size_t long_events = 200;
  std::size_t long_event_bytes = 10'000;
  std::chrono::milliseconds long_interval{25};
  /// Paths under `/stream/good/`: short streams with an event every interval.
  std::size_t short_events = 20;
  std::size_t short_event_bytes = 100;
  std::chrono::milliseconds short_interval{20};
  /// Other paths: size of an answer that is no stream and has a Content-Length header.
  std::size_t whole_bytes = 1'000'000;
  /// Time after which a blocked write aborts the answer.
  std::chrono::milliseconds write_timeout{4'000};
};

/// @return event with the id `number` and `bytes` bytes of data.
std::string event_text(std::size_t number, std::size_t bytes);

/// Replica that serves requests from construction to destruction. The counters can be read from any
/// thread.
class event_replica {
 public:
  explicit event_replica(const event_replica_options& options = {});
  ~event_replica();
  event_replica(const event_replica&) = delete;
  event_replica& operator=(const event_replica&) = delete;

  [[nodiscard]] std::string address() const;
  /// @return number of streams aborted because the client did not read.
  [[nodiscard]] std::uint64_t aborted_streams() const { return aborted_streams_; }
  /// @return number of answers other than streams that were aborted because the client did not
  ///         read.
  [[nodiscard]] std::uint64_t aborted_whole_answers() const { return aborted_whole_answers_; }
  /// @return number of streams requested with a Last-Event-Id above 0.
  [[nodiscard]] std::uint64_t resumed_streams() const { return resumed_streams_; }
  /// @return number of requests that are being answered.
  [[nodiscard]] std::uint64_t active_requests() const { return active_requests_; }

 private:
  using request = boost::beast::http::request<boost::beast::http::string_body>;
  boost::asio::awaitable<void> accept_all();
  boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
  /// Answers one request with a stream. @return whether the whole stream was written.
  boost::asio::awaitable<bool> answer_stream(boost::beast::tcp_stream& stream,
                                             const request& received);
  /// Answers one request with `whole_bytes` bytes. @return whether all bytes were written.
  boost::asio::awaitable<bool> answer_whole(boost::beast::tcp_stream& stream,
                                            const request& received);
  /// Writes bytes. Counts the answer in `aborted_answers` if the client does not read them within
  /// the write timeout. @return whether all bytes were written.
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
