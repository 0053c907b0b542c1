/// A replica on loopback that streams events at its pace, and cuts off an answer that stays unread.
/// Any number of connections on one thread.
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

/// What the replica answers; which applies is told by the first part of a request's path.
struct event_replica_options {
  /// `/stream/slow/`: long streams, an event every pause where it is read.
  std::size_t long_events = 200;
  std::size_t long_event_bytes = 10'000;
  std::chrono::milliseconds long_interval{25};
  /// `/stream/good/`: short streams, an event every pause.
  std::size_t short_events = 20;
  std::size_t short_event_bytes = 100;
  std::chrono::milliseconds short_interval{20};
  /// Any other path: whole answers.
  std::size_t whole_bytes = 1'000'000;
  /// An answer that stays unread this long is cut off.
  std::chrono::milliseconds write_timeout{4'000};
};

/// @return event `number` of a stream whose events have `bytes` bytes of data.
std::string event_text(std::size_t number, std::size_t bytes);

/// Starts on construction, ends with the object.
class event_replica {
 public:
  explicit event_replica(const event_replica_options& options = {});
  ~event_replica();
  event_replica(const event_replica&) = delete;
  event_replica& operator=(const event_replica&) = delete;

  [[nodiscard]] std::string address() const;
  /// @return answers cut off because they stayed unread.
  [[nodiscard]] std::uint64_t aborted_streams() const { return aborted_streams_; }
  [[nodiscard]] std::uint64_t aborted_whole_answers() const { return aborted_whole_answers_; }
  /// @return streams that were taken up after some event.
  [[nodiscard]] std::uint64_t resumed_streams() const { return resumed_streams_; }
  /// @return answers under way.
  [[nodiscard]] std::uint64_t active_requests() const { return active_requests_; }

 private:
  using request = boost::beast::http::request<boost::beast::http::string_body>;
  boost::asio::awaitable<void> accept_all();
  boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
  /// Either answers one request. @return whether it was written whole.
  boost::asio::awaitable<bool> answer_stream(boost::beast::tcp_stream& stream,
                                             const request& received);
  boost::asio::awaitable<bool> answer_whole(boost::beast::tcp_stream& stream,
                                            const request& received);
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
