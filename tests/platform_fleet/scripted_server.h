/// The users' platform as a test sees it: a metadata store and replicas on loopback, each
/// connection served by a thread, answers scripted by the test.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <chrono>
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

/// What a server does with one request.
struct scripted_answer {
  /// Bytes as they are written.
  std::string bytes;
  /// The connection is closed afterwards.
  bool close = false;
  /// It is closed with a reset.
  bool reset = false;
  /// Written after `bytes`, each after a pause.
  std::vector<std::string> later_bytes{};
  std::chrono::milliseconds pause{0};
};

/// A server on 127.0.0.1 that answers each request by a function.
class scripted_server {
 public:
  using script = std::function<scripted_answer(const http_request&)>;

  explicit scripted_server(script answer)
      : answer_(std::move(answer)),
        acceptor_(io_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
        accepting_([this] { accept_all(); }) {}

  ~scripted_server() {
    stopping_ = true;
    boost::system::error_code ignored;
    // Wakes the blocking accept.
    tcp::socket wake(io_);
    wake.connect(acceptor_.local_endpoint(), ignored);
    accepting_.join();
    end_connections();
    for (auto& worker : connections_) {
      worker.thread.join();
    }
  }
  scripted_server(const scripted_server&) = delete;
  scripted_server& operator=(const scripted_server&) = delete;

  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

  /// Ends all connections, also in the middle of an answer.
  void end_connections() {
    const std::lock_guard lock(mutex_);
    for (const auto& open : connections_) {
      boost::system::error_code ignored;
      open.socket->shutdown(tcp::socket::shutdown_both, ignored);
    }
  }

  /// While it takes no connections, each is closed as it comes.
  void set_taking_connections(bool taking) { taking_connections_ = taking; }

  /// @return the requests so far.
  [[nodiscard]] std::vector<http_request> requests() const {
    const std::lock_guard lock(mutex_);
    return requests_;
  }

 private:
  /// A connection and the thread that serves it.
  struct connection {
    std::shared_ptr<tcp::socket> socket;
    std::shared_ptr<std::atomic<bool>> ended;
    std::thread thread;
  };

  void accept_all() {
    while (!stopping_) {
      auto socket = std::make_shared<tcp::socket>(io_);
      boost::system::error_code error;
      acceptor_.accept(*socket, error);
      if (error || stopping_) {
        return;
      }
      const std::lock_guard lock(mutex_);
      forget_ended();
      if (!taking_connections_) {
        continue;
      }
      auto ended = std::make_shared<std::atomic<bool>>(false);
      connections_.push_back({socket, ended, std::thread([this, socket, ended] {
                                serve(*socket);
                                *ended = true;
                              })});
    }
  }

  /// A thread that has ended and isn't joined keeps its stack: a long run would have too many.
  void forget_ended() {
    connections_.remove_if([](connection& old) {
      const bool ended = *old.ended;
      if (ended) {
        old.thread.join();
      }
      return ended;
    });
  }

  void serve(tcp::socket& socket) {
    boost::beast::flat_buffer buffer;
    boost::system::error_code error;
    while (!stopping_) {
      http_request request;
      boost::beast::http::read(socket, buffer, request, error);
      if (error) {
        break;
      }
      {
        const std::lock_guard lock(mutex_);
        requests_.push_back(request);
      }
      const auto wanted = answer_(request);
      write(socket, wanted, error);
      if (wanted.reset) {
        socket.set_option(boost::asio::socket_base::linger(true, 0), error);
      }
      if (error || wanted.close || wanted.reset) {
        break;
      }
    }
    // Not while `end_connections` looks at it.
    const std::lock_guard lock(mutex_);
    socket.close(error);
  }

  static void write(tcp::socket& socket, const scripted_answer& wanted,
                    boost::system::error_code& error) {
    boost::asio::write(socket, boost::asio::buffer(wanted.bytes), error);
    for (const auto& bytes : wanted.later_bytes) {
      if (error) {
        return;
      }
      std::this_thread::sleep_for(wanted.pause);
      boost::asio::write(socket, boost::asio::buffer(bytes), error);
    }
  }

  script answer_;
  boost::asio::io_context io_;
  tcp::acceptor acceptor_;
  std::atomic<bool> stopping_ = false;
  std::atomic<bool> taking_connections_ = true;
  mutable std::mutex mutex_;
  std::vector<http_request> requests_;
  std::list<connection> connections_;
  std::thread accepting_;
};

} // namespace spurrack::platform_tests
