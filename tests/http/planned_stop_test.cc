/// Graceful stop of the listener for callers: closing the listening socket must not reset
/// connections that clients consider established but the server has not accepted yet.
#include "http/caller_server.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <chrono>
#include <future>
#include <string>
#include <thread>
#include <type_traits>
#include <vector>

using namespace spurrack;

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

const std::string health_request = "GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";

/// A listener on a free port, with a thread that runs it.
class server_on_own_thread {
 public:
  server_on_own_thread() : work_(asio::make_work_guard(io_)) {
    tcp::acceptor acceptor(io_, {asio::ip::address_v4::loopback(), 0});
    address_ = acceptor.local_endpoint();
    acceptor.close();
    server_ =
        http::make_caller_server(io_, "127.0.0.1:" + std::to_string(address_.port()), {},
                                 {[](auto) {}, [](auto) {}, [](auto) {}, [] { return true; }});
    thread_ = std::thread([this] { io_.run(); });
  }
  ~server_on_own_thread() {
    work_.reset();
    io_.stop();
    thread_.join();
  }
  server_on_own_thread(const server_on_own_thread&) = delete;
  server_on_own_thread& operator=(const server_on_own_thread&) = delete;

  [[nodiscard]] const tcp::endpoint& address() const { return address_; }
  void stop_accepting() {
    on_server_thread([this] {
      server_->stop_accepting();
      return 0;
    });
  }
  [[nodiscard]] std::size_t busy_connections() {
    return on_server_thread([this] { return server_->busy_connections(); });
  }

 private:
  template <typename action>
  std::invoke_result_t<action> on_server_thread(action function) {
    std::promise<decltype(function())> result;
    asio::post(io_, [&] { result.set_value(function()); });
    return result.get_future().get();
  }

  asio::io_context io_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  tcp::endpoint address_;
  std::unique_ptr<http::caller_server> server_;
  std::thread thread_;
};

enum class exchange_result { answered, refused, disconnected };

/// Connects, waits for `delay`, and sends a health request.
exchange_result send_request(const tcp::endpoint& address, std::chrono::milliseconds delay) {
  asio::io_context io;
  tcp::socket socket(io);
  boost::system::error_code error;
  socket.connect(address, error);
  if (error) {
    return error == asio::error::connection_refused ? exchange_result::refused
                                                    : exchange_result::disconnected;
  }
  if (delay.count() > 0) {
    std::this_thread::sleep_for(delay);
  }
  asio::write(socket, asio::buffer(health_request), error);
  std::string answer;
  if (!error) {
    asio::read(socket, asio::dynamic_buffer(answer), error);
  }
  return answer.starts_with("HTTP/1.1 200") ? exchange_result::answered
                                            : exchange_result::disconnected;
}

struct exchange_counts {
  std::atomic<int> answered = 0;
  std::atomic<int> disconnected = 0;
};

/// Stops a server under load: meanwhile, each client connects and sends a request, again and again,
/// until its connection is refused.
void stop_under_load(exchange_counts& counts) {
  constexpr int clients = 6;
  server_on_own_thread server;
  std::vector<std::thread> threads;
  threads.reserve(clients);
  for (int index = 0; index < clients; ++index) {
    threads.emplace_back([&] {
      auto result = exchange_result::answered;
      while (result != exchange_result::refused) {
        result = send_request(server.address(), {});
        counts.answered += result == exchange_result::answered ? 1 : 0;
        counts.disconnected += result == exchange_result::disconnected ? 1 : 0;
      }
    });
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(10));
  server.stop_accepting();
  for (auto& thread : threads) {
    thread.join();
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(planned_stop)

BOOST_AUTO_TEST_CASE(connections_established_while_the_listener_closes_are_answered) {
  // Several servers run at once and compete for the processor, so that connections arrive between
  // two steps of a stop.
  constexpr int repetitions = 6;
  constexpr int servers_at_once = 10;
  exchange_counts counts;
  for (int repetition = 0; repetition < repetitions; ++repetition) {
    std::vector<std::thread> servers;
    servers.reserve(servers_at_once);
    for (int index = 0; index < servers_at_once; ++index) {
      servers.emplace_back([&] { stop_under_load(counts); });
    }
    for (auto& server : servers) {
      server.join();
    }
  }
  BOOST_TEST(counts.answered.load() > 0);
  BOOST_TEST(counts.disconnected.load() == 0);
}

BOOST_AUTO_TEST_CASE(a_connection_without_a_request_delays_the_stop) {
  server_on_own_thread server;
  auto result = std::async(std::launch::async, [&] {
    return send_request(server.address(), std::chrono::milliseconds(600));
  });
  // The connection is established before the stop begins.
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  server.stop_accepting();
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  BOOST_TEST(server.busy_connections() == 1U);
  BOOST_TEST((result.get() == exchange_result::answered));
  for (int tries = 0; server.busy_connections() > 0 && tries < 100; ++tries) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  BOOST_TEST(server.busy_connections() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
