/// TCP proxy that injects faults. A link consists of a listening address and a target: the proxy
/// forwards the connections that it accepts at the listening address to the target. `--link`
/// defines the links. `/admin/fault` sets the fault of a link: a cut link resets its connections, a
/// delayed link forwards bytes later, a black hole keeps its connections open but holds back all
/// bytes, and a held link is a black hole through which new connections hang.
#include "http_service.h"

#include "logging/guarded_main.h"
#include "logging/usual_options.h"

#include "http/awaitable.h"
#include "http/endpoint.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cxxopts.hpp>

#include <array>
#include <iostream>
#include <list>
#include <map>
#include <memory>
#include <sstream>

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using spurrack::http::await_into;
using spurrack::standins::service_exchange;
using spurrack::standins::wait_for;

/// Interval at which a connection that holds back bytes checks whether its link is still a black
/// hole or held.
constexpr std::chrono::milliseconds black_hole_poll_interval{20};

/// State of a link, which all its connections share.
struct proxy_link {
  tcp::endpoint target;
  /// Whether the link is cut: new connections are reset. Existing connections are reset at the
  /// moment of the cut.
  bool is_cut = false;
  /// Whether the link is a black hole: connections stay open, but their bytes are held back. No
  /// byte is lost: all are forwarded once the link is no longer a black hole, as the sender's
  /// kernel would retransmit them after a real network failure.
  bool is_black_hole = false;
  /// Whether the link is held: neither bytes nor the ends of connections pass, and the kernel drops
  /// the packets of new connections, so that their connects hang.
  bool is_held = false;
  /// Time for which each block of bytes is delayed between its read from one socket and its write
  /// to the other socket.
  std::chrono::milliseconds delay{0};
  /// Both sockets of each connection of the link.
  std::list<std::weak_ptr<tcp::socket>> sockets;
  std::unique_ptr<tcp::acceptor> acceptor;
  /// Own connections to `acceptor` that fill its accept queue while the link is held.
  std::list<tcp::socket> blocking_connections;

  /// Holds the link or releases it.
  void set_held(bool held) {
    if (held == is_held) {
      return;
    }
    is_held = held;
    blocking_connections.clear();
    acceptor->listen(held ? 0 : asio::socket_base::max_listen_connections);
    if (held) {
      fill_accept_queue();
    }
  }

  /// Opens a connection that takes the only place of the accept queue of a held link. Must be
  /// called again when the proxy has accepted a connection.
  void fill_accept_queue() {
    auto& blocking = blocking_connections.emplace_back(acceptor->get_executor());
    blocking.async_connect(acceptor->local_endpoint(), asio::detached);
  }

  void reset_all() {
    for (const auto& weak : sockets) {
      if (const auto socket = weak.lock()) {
        boost::system::error_code error;
        socket->set_option(asio::socket_base::linger(true, 0), error);
        socket->close(error);
      }
    }
    sockets.clear();
  }
};

/// Forwards bytes in one direction until the source ends its stream or a socket fails. If the
/// source ends its stream, ends the stream to the destination too. If a socket fails, resets the
/// connection to the destination and closes the connection to the source.
asio::awaitable<void> forward_bytes(std::shared_ptr<proxy_link> link,
                                    std::shared_ptr<tcp::socket> source,
                                    std::shared_ptr<tcp::socket> destination) {
  std::array<char, 65'536> buffer{};
  boost::system::error_code error;
  while (!error) {
    const auto received_bytes =
        co_await source->async_read_some(asio::buffer(buffer), await_into(error));
    while (link->is_held || (link->is_black_hole && !error)) {
      co_await wait_for(black_hole_poll_interval);
    }
    if (error) {
      continue;
    }
    if (link->delay.count() > 0) {
      co_await wait_for(link->delay);
    }
    co_await asio::async_write(*destination, asio::buffer(buffer.data(), received_bytes),
                               await_into(error));
  }
  boost::system::error_code ignored;
  if (error == asio::error::eof) {
    destination->shutdown(tcp::socket::shutdown_send, ignored);
  } else {
    destination->set_option(asio::socket_base::linger(true, 0), ignored);
    destination->close(ignored);
    source->close(ignored);
  }
}

asio::awaitable<void> accept_connections(std::shared_ptr<proxy_link> link) {
  const auto executor = co_await asio::this_coro::executor;
  while (true) {
    boost::system::error_code error;
    auto client_socket = std::make_shared<tcp::socket>(executor);
    co_await link->acceptor->async_accept(*client_socket, await_into(error));
    if (link->is_held) {
      link->fill_accept_queue();
    }
    while (link->is_held) {
      co_await wait_for(black_hole_poll_interval);
    }
    if (error || link->is_cut) {
      client_socket->set_option(asio::socket_base::linger(true, 0), error);
      client_socket->close(error);
      continue;
    }
    auto target_socket = std::make_shared<tcp::socket>(executor);
    co_await target_socket->async_connect(link->target, await_into(error));
    if (error) {
      continue;
    }
    client_socket->set_option(tcp::no_delay(true), error);
    target_socket->set_option(tcp::no_delay(true), error);
    link->sockets.remove_if([](const auto& weak) { return weak.expired(); });
    link->sockets.push_back(client_socket);
    link->sockets.push_back(target_socket);
    asio::co_spawn(executor, forward_bytes(link, client_socket, target_socket), asio::detached);
    asio::co_spawn(executor, forward_bytes(link, target_socket, client_socket), asio::detached);
  }
}

using link_map = std::map<std::string, std::shared_ptr<proxy_link>>;

asio::awaitable<void> handle_admin(link_map& links, service_exchange& exchange) {
  const auto body = exchange.body();
  if (!body.contains("links")) {
    co_await exchange.reply(404, boost::json::object());
    co_return;
  }
  for (const auto& name : body.at("links").as_array()) {
    const auto& link = links.at(std::string(name.as_string()));
    const auto read_flag = [&](const char* field) {
      const auto* value = body.if_contains(field);
      return value != nullptr && value->as_bool();
    };
    link->is_cut = read_flag("cut");
    link->is_black_hole = read_flag("black_hole");
    link->set_held(read_flag("held"));
    const auto* delay = body.if_contains("delay_ms");
    link->delay = std::chrono::milliseconds(delay == nullptr ? 0 : delay->as_int64());
    if (link->is_cut) {
      link->reset_all();
    }
  }
  co_await exchange.reply(200, boost::json::object());
}

/// Adds a link and starts to accept connections at its listening address.
void add_link(asio::io_context& io, link_map& links, const std::string& definition) {
  std::istringstream parts(definition);
  std::string name;
  std::string listen;
  std::string target;
  std::getline(parts, name, ',');
  std::getline(parts, listen, ',');
  std::getline(parts, target, ',');
  auto link = std::make_shared<proxy_link>();
  link->target = spurrack::http::parse_endpoint(target).value();
  link->acceptor =
      std::make_unique<tcp::acceptor>(io, spurrack::http::parse_endpoint(listen).value());
  links[name] = link;
  asio::co_spawn(io, accept_connections(link), asio::detached);
}

int run_program(int argc, char** argv) {
  cxxopts::Options options("fault_proxy", "TCP proxy that injects faults, for tests.");
  options.add_options()("admin", "IP:port", cxxopts::value<std::string>())(
      "link", "name,listen,target; several links are separated by semicolons",
      cxxopts::value<std::string>());
  spurrack::logging::add_usual_options(options);
  const auto arguments = options.parse(argc, argv);
  if (spurrack::logging::handle_usual_options(options, arguments)) {
    return 0;
  }
  asio::io_context io(1);
  link_map links;
  std::istringstream definitions(arguments["link"].as<std::string>());
  for (std::string definition; std::getline(definitions, definition, ';');) {
    add_link(io, links, definition);
  }
  spurrack::standins::serve(
      io, arguments["admin"].as<std::string>(),
      [&](service_exchange& exchange) { return handle_admin(links, exchange); });
  io.run();
  return 0;
}

} // namespace

int main(int argc, char** argv) {
  constexpr int exit_exception = 2;
  return spurrack::logging::guarded_main(run_program, argc, argv, exit_exception);
}
