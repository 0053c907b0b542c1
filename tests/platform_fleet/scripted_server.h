/// HTTP server on loopback, with which tests emulate the metadata store and the replicas of the
/// users' platform. The test determines the answers. Each connection has its own thread.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <fcntl.h>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace spurrack::platform_tests {

using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using boost::asio::ip::tcp;

/// Answer of the server to one request.
struct scripted_answer {
  /// Bytes that are written unchanged, including the head of the answer.
  std::string bytes;
  /// Whether the connection is closed after the answer.
  bool close = false;
  /// Whether the connection is reset after the answer.
  bool reset = false;
  /// Parts that are written after `bytes`, each after a wait of `pause`.
  std::vector<std::string> delayed_bytes{};
  std::chrono::milliseconds pause{0};
  /// Whether only the sending direction of the connection is closed after the answer. The server
  /// then waits until the peer closes the connection.
  bool half_close = false;
  /// Whether the server sends nothing more after the answer, and waits until the peer closes the
  /// connection.
  bool stay_silent = false;
  /// Bytes that are written after `delayed_bytes`, over and over until the peer closes the
  /// connection; none if empty.
  std::string repeated_bytes{};
};

/// Server on 127.0.0.1 that answers each request with the result of a function. Each connection has
/// its own thread, which calls the function, so the function must be thread-safe. The server is
/// thread-safe.
class scripted_server {
 public:
  using script = std::function<scripted_answer(const http_request&)>;

  explicit scripted_server(script answer)
      : answer_(std::move(answer)),
        acceptor_(io_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
        accept_thread_([this] { accept_connections(); }) {}

  ~scripted_server() {
    is_stopping_ = true;
    boost::system::error_code ignored;
    // Unblocks the `accept` call of `accept_thread_`.
    tcp::socket wake(io_);
    wake.connect(acceptor_.local_endpoint(), ignored);
    accept_thread_.join();
    shut_down_connections();
    for (auto& opened : connections_) {
      opened.thread.join();
    }
  }
  scripted_server(const scripted_server&) = delete;
  scripted_server& operator=(const scripted_server&) = delete;

  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

  /// Shuts down all connections, also those with an unfinished answer.
  void shut_down_connections() {
    ++shutdown_count_;
    const std::lock_guard lock(mutex_);
    for (const auto& open : connections_) {
      boost::system::error_code ignored;
      open.socket->shutdown(tcp::socket::shutdown_both, ignored);
    }
  }

  /// @param is_accepting whether the server serves new connections; if false, it closes each new
  ///        connection at once.
  void set_accepting_connections(bool is_accepting) { is_accepting_connections_ = is_accepting; }

  /// @param is_silent whether the server is silent, as a stopped process is: the kernel accepts
  ///        connections, but the server reads and writes nothing. The server then goes on where it
  ///        was. A shutdown of all connections ends the requests that wait for the end of a
  ///        silence.
  void set_silent(bool is_silent) { is_silent_ = is_silent; }

  /// @return all requests that the server has received so far.
  [[nodiscard]] std::vector<http_request> requests() const {
    const std::lock_guard lock(mutex_);
    return requests_;
  }

 private:
  /// Connection and the thread that serves it.
  struct connection {
    std::shared_ptr<tcp::socket> socket;
    /// Whether `thread` is about to end; set by `thread` as its last action.
    std::shared_ptr<std::atomic<bool>> ended;
    std::thread thread;
  };

  void accept_connections() {
    while (!is_stopping_) {
      auto socket = std::make_shared<tcp::socket>(io_);
      boost::system::error_code error;
      acceptor_.accept(*socket, error);
      if (error || is_stopping_) {
        return;
      }
      // A process that the test starts must not keep the connection open.
      ::fcntl(socket->native_handle(), F_SETFD, FD_CLOEXEC);
      const std::lock_guard lock(mutex_);
      remove_ended_connections();
      if (!is_accepting_connections_) {
        continue;
      }
      auto ended = std::make_shared<std::atomic<bool>>(false);
      connections_.push_back({socket, ended, std::thread([this, socket, ended] {
                                serve(*socket);
                                *ended = true;
                              })});
    }
  }

  /// Joins the ended threads and removes their connections. A thread keeps its stack until it is
  /// joined; without the joins, the stacks of all ended threads would accumulate in a long run.
  void remove_ended_connections() {
    connections_.remove_if([](connection& candidate) {
      const bool ended = *candidate.ended;
      if (ended) {
        candidate.thread.join();
      }
      return ended;
    });
  }

  void serve(tcp::socket& socket) {
    boost::beast::flat_buffer buffer;
    boost::system::error_code error;
    while (!is_stopping_) {
      http_request request;
      boost::beast::http::read(socket, buffer, request, error);
      if (error || !wait_while_silent()) {
        break;
      }
      {
        const std::lock_guard lock(mutex_);
        requests_.push_back(request);
      }
      const auto answer = answer_(request);
      write(socket, answer, error);
      if (answer.half_close || answer.stay_silent) {
        wait_for_peer(socket, answer.half_close, error);
        break;
      }
      if (answer.reset) {
        socket.set_option(boost::asio::socket_base::linger(true, 0), error);
      }
      if (error || answer.close || answer.reset) {
        break;
      }
    }
    // The lock is needed because another thread may be using the socket in `shut_down_connections`,
    // which holds the same lock.
    const std::lock_guard lock(mutex_);
    socket.close(error);
  }

  /// Reads and ignores whatever arrives until the peer closes the connection.
  /// @param half_close whether to close the sending direction first.
  void wait_for_peer(tcp::socket& socket, bool half_close, boost::system::error_code& error) const {
    if (half_close) {
      const std::lock_guard lock(mutex_);
      socket.shutdown(tcp::socket::shutdown_send, error);
    }
    constexpr std::size_t buffer_bytes = 512;
    std::array<char, buffer_bytes> ignored{};
    while (!error) {
      socket.read_some(boost::asio::buffer(ignored), error);
    }
  }

  /// Waits for the end of a silence.
  /// @return false if the connections were shut down or the server stopped meanwhile.
  [[nodiscard]] bool wait_while_silent() const {
    const auto shutdowns_before = shutdown_count_.load();
    while (is_silent_ && !is_stopping_ && shutdown_count_ == shutdowns_before) {
      std::this_thread::sleep_for(silence_poll_interval);
    }
    return !is_stopping_ && shutdown_count_ == shutdowns_before;
  }

  void write(tcp::socket& socket, const scripted_answer& answer,
             boost::system::error_code& error) const {
    if (!wait_while_silent()) {
      error = boost::asio::error::connection_aborted;
      return;
    }
    boost::asio::write(socket, boost::asio::buffer(answer.bytes), error);
    for (const auto& bytes : answer.delayed_bytes) {
      if (error) {
        return;
      }
      std::this_thread::sleep_for(answer.pause);
      if (!wait_while_silent()) {
        error = boost::asio::error::connection_aborted;
        return;
      }
      boost::asio::write(socket, boost::asio::buffer(bytes), error);
    }
    while (!error && !is_stopping_ && !answer.repeated_bytes.empty()) {
      boost::asio::write(socket, boost::asio::buffer(answer.repeated_bytes), error);
    }
  }

  static constexpr std::chrono::milliseconds silence_poll_interval{5};

  script answer_;
  boost::asio::io_context io_;
  tcp::acceptor acceptor_;
  std::atomic<bool> is_stopping_ = false;
  std::atomic<bool> is_accepting_connections_ = true;
  std::atomic<bool> is_silent_ = false;
  /// Number of calls of `shut_down_connections`.
  std::atomic<std::uint64_t> shutdown_count_ = 0;
  mutable std::mutex mutex_;
  std::vector<http_request> requests_;
  std::list<connection> connections_;
  std::thread accept_thread_;
};

} // namespace spurrack::platform_tests
