/// A planned stop of the callers' listener under load: no established connection is cut.
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

/// A listener on a free port, driven by a thread of its own.
class running_server {
 public:
  running_server() : work_(asio::make_work_guard(io_)) {
    tcp::acceptor probe(io_, {asio::ip::address_v4::loopback(), 0});
    address_ = probe.local_endpoint();
    probe.close();
    server_ =
        http::make_caller_server(io_, "127.0.0.1:" + std::to_string(address_.port()), {},
                                 {[](auto) {}, [](auto) {}, [](auto) {}, [] { return true; }});
    thread_ = std::thread([this] { io_.run(); });
  }
  ~running_server() {
    work_.reset();
    io_.stop();
    thread_.join();
  }
  running_server(const running_server&) = delete;
  running_server& operator=(const running_server&) = delete;

  [[nodiscard]] const tcp::endpoint& address() const { return address_; }
  void stop_accepting() {
    on_server_thread([this] {
      server_->stop_accepting();
      return 0;
    });
  }
  [[nodiscard]] std::size_t busy() {
    return on_server_thread([this] { return server_->busy_connections(); });
  }

 private:
  template <typename action>
  std::invoke_result_t<action> on_server_thread(action what) {
    std::promise<decltype(what())> result;
    asio::post(io_, [&] { result.set_value(what()); });
    return result.get_future().get();
  }

  asio::io_context io_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  tcp::endpoint address_;
  std::unique_ptr<http::caller_server> server_;
  std::thread thread_;
};

enum class exchange_end { answered, refused, cut };

/// Connects, waits for `before_request`, and asks.
exchange_end ask(const tcp::endpoint& address, std::chrono::milliseconds before_request) {
  asio::io_context io;
  tcp::socket socket(io);
  boost::system::error_code error;
  socket.connect(address, error);
  if (error) {
    return error == asio::error::connection_refused ? exchange_end::refused : exchange_end::cut;
  }
  if (before_request.count() > 0) {
    std::this_thread::sleep_for(before_request);
  }
  asio::write(socket, asio::buffer(health_request), error);
  std::string answer;
  if (!error) {
    asio::read(socket, asio::dynamic_buffer(answer), error);
  }
  return answer.starts_with("HTTP/1.1 200") ? exchange_end::answered : exchange_end::cut;
}

struct stop_totals {
  std::atomic<int> answered = 0;
  std::atomic<int> cut = 0;
};

/// Stops a server while clients connect to it as fast as they can, each until it is refused.
void stop_under_load(stop_totals& totals) {
  constexpr int clients = 6;
  running_server server;
  std::vector<std::thread> threads;
  threads.reserve(clients);
  for (int index = 0; index < clients; ++index) {
    threads.emplace_back([&] {
      auto end = exchange_end::answered;
      while (end != exchange_end::refused) {
        end = ask(server.address(), {});
        totals.answered += end == exchange_end::answered ? 1 : 0;
        totals.cut += end == exchange_end::cut ? 1 : 0;
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

BOOST_AUTO_TEST_CASE(connections_that_arrive_while_the_listener_closes_are_answered) {
  // Some rounds at once: they keep each other from the processor between two steps of a stop.
  constexpr int rounds = 6;
  constexpr int servers_at_once = 10;
  stop_totals totals;
  for (int round = 0; round < rounds; ++round) {
    std::vector<std::thread> servers;
    servers.reserve(servers_at_once);
    for (int index = 0; index < servers_at_once; ++index) {
      servers.emplace_back([&] { stop_under_load(totals); });
    }
    for (auto& server : servers) {
      server.join();
    }
  }
  BOOST_TEST(totals.answered.load() > 0);
  BOOST_TEST(totals.cut.load() == 0);
}

BOOST_AUTO_TEST_CASE(a_connection_whose_request_is_still_to_come_keeps_the_process) {
  running_server server;
  auto end = std::async(std::launch::async,
                        [&] { return ask(server.address(), std::chrono::milliseconds(600)); });
  // The connection stands before the stop begins.
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  server.stop_accepting();
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  BOOST_TEST(server.busy() == 1U);
  BOOST_TEST((end.get() == exchange_end::answered));
  for (int tries = 0; server.busy() > 0 && tries < 100; ++tries) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  BOOST_TEST(server.busy() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
