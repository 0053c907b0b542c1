/// The users' platform as a test sees it: a metadata store and replicas on loopback, each
/// connection served by a thread, answers scripted by the test.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
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
    {
      const std::lock_guard lock(mutex_);
      for (auto& socket : sockets_) {
        socket->shutdown(tcp::socket::shutdown_both, ignored);
      }
    }
    for (auto& worker : workers_) {
      worker.join();
    }
  }
  scripted_server(const scripted_server&) = delete;
  scripted_server& operator=(const scripted_server&) = delete;

  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

  /// @return the requests so far.
  [[nodiscard]] std::vector<http_request> requests() const {
    const std::lock_guard lock(mutex_);
    return requests_;
  }

 private:
  void accept_all() {
    while (!stopping_) {
      auto socket = std::make_shared<tcp::socket>(io_);
      boost::system::error_code error;
      acceptor_.accept(*socket, error);
      if (error || stopping_) {
        return;
      }
      const std::lock_guard lock(mutex_);
      sockets_.push_back(socket);
      workers_.emplace_back([this, socket] { serve(*socket); });
    }
  }

  void serve(tcp::socket& socket) {
    boost::beast::flat_buffer buffer;
    boost::system::error_code error;
    while (!stopping_) {
      http_request request;
      boost::beast::http::read(socket, buffer, request, error);
      if (error) {
        return;
      }
      {
        const std::lock_guard lock(mutex_);
        requests_.push_back(request);
      }
      const auto wanted = answer_(request);
      boost::asio::write(socket, boost::asio::buffer(wanted.bytes), error);
      if (wanted.reset) {
        socket.set_option(boost::asio::socket_base::linger(true, 0), error);
      }
      if (wanted.close || wanted.reset) {
        socket.close(error);
        return;
      }
    }
  }

  script answer_;
  boost::asio::io_context io_;
  tcp::acceptor acceptor_;
  std::atomic<bool> stopping_ = false;
  mutable std::mutex mutex_;
  std::vector<http_request> requests_;
  std::list<std::shared_ptr<tcp::socket>> sockets_;
  std::list<std::thread> workers_;
  std::thread accepting_;
};

} // namespace spurrack::platform_tests
