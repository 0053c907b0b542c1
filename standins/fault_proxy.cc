/// TCP proxy with faults: forwards each link's connections to its target and can cut, delay,
/// black-hole or reset them. Links and faults are set over `/admin/fault`.
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

/// A link is looked at this often whether it is there again.
constexpr std::chrono::milliseconds black_hole_look{20};

/// State of one link; shared by its connections.
struct link {
  tcp::endpoint target;
  /// No new connections; those there are reset.
  bool cut = false;
  /// Connections stay open and nothing arrives. Bytes are held back and follow when the link is
  /// there again, as the sender's system would send them anew: none are missing in the middle.
  bool black_hole = false;
  std::chrono::milliseconds delay{0};
  std::list<std::weak_ptr<tcp::socket>> sockets;

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

asio::awaitable<void> pump(std::shared_ptr<link> path, std::shared_ptr<tcp::socket> from,
                           std::shared_ptr<tcp::socket> to) {
  std::array<char, 65'536> buffer{};
  boost::system::error_code error;
  while (!error) {
    const auto got = co_await from->async_read_some(asio::buffer(buffer), await_into(error));
    if (error) {
      continue;
    }
    while (path->black_hole) {
      co_await wait_for(black_hole_look);
    }
    if (path->delay.count() > 0) {
      co_await wait_for(path->delay);
    }
    co_await asio::async_write(*to, asio::buffer(buffer.data(), got), await_into(error));
  }
  boost::system::error_code ignored;
  if (error == asio::error::eof) {
    to->shutdown(tcp::socket::shutdown_send, ignored);
  } else {
    to->set_option(asio::socket_base::linger(true, 0), ignored);
    to->close(ignored);
    from->close(ignored);
  }
}

asio::awaitable<void> accept_all(std::shared_ptr<link> path, tcp::endpoint listen) {
  const auto executor = co_await asio::this_coro::executor;
  tcp::acceptor acceptor(executor, listen);
  while (true) {
    boost::system::error_code error;
    auto inner = std::make_shared<tcp::socket>(executor);
    co_await acceptor.async_accept(*inner, await_into(error));
    if (error || path->cut) {
      inner->set_option(asio::socket_base::linger(true, 0), error);
      inner->close(error);
      continue;
    }
    auto outer = std::make_shared<tcp::socket>(executor);
    co_await outer->async_connect(path->target, await_into(error));
    if (error) {
      continue;
    }
    inner->set_option(tcp::no_delay(true), error);
    outer->set_option(tcp::no_delay(true), error);
    path->sockets.remove_if([](const auto& weak) { return weak.expired(); });
    path->sockets.push_back(inner);
    path->sockets.push_back(outer);
    asio::co_spawn(executor, pump(path, inner, outer), asio::detached);
    asio::co_spawn(executor, pump(path, outer, inner), asio::detached);
  }
}

using link_map = std::map<std::string, std::shared_ptr<link>>;

asio::awaitable<void> handle_admin(link_map& links, service_exchange& exchange) {
  const auto body = exchange.body();
  if (!body.contains("links")) {
    co_await exchange.reply(404, boost::json::object());
    co_return;
  }
  for (const auto& name : body.at("links").as_array()) {
    const auto& path = links.at(std::string(name.as_string()));
    const auto flag = [&](const char* field) {
      const auto* value = body.if_contains(field);
      return value != nullptr && value->as_bool();
    };
    path->cut = flag("cut");
    path->black_hole = flag("black_hole");
    const auto* delay = body.if_contains("delay_ms");
    path->delay = std::chrono::milliseconds(delay == nullptr ? 0 : delay->as_int64());
    if (path->cut) {
      path->reset_all();
    }
  }
  co_await exchange.reply(200, boost::json::object());
}

/// Reads `name,listen,target`.
void add_link(asio::io_context& io, link_map& links, const std::string& text) {
  std::istringstream parts(text);
  std::string name;
  std::string listen;
  std::string target;
  std::getline(parts, name, ',');
  std::getline(parts, listen, ',');
  std::getline(parts, target, ',');
  auto path = std::make_shared<link>();
  path->target = spurrack::http::parse_endpoint(target).value();
  links[name] = path;
  asio::co_spawn(io, accept_all(path, spurrack::http::parse_endpoint(listen).value()),
                 asio::detached);
}

int run(int argc, char** argv) {
  cxxopts::Options options("fault_proxy", "TCP proxy with faults, for tests.");
  options.add_options()("admin", "IP:port", cxxopts::value<std::string>())(
      "link", "name,listen,target (semicolons between several)", cxxopts::value<std::string>());
  spurrack::logging::add_usual_options(options);
  const auto given = options.parse(argc, argv);
  if (spurrack::logging::handle_usual_options(options, given)) {
    return 0;
  }
  asio::io_context io(1);
  link_map links;
  std::istringstream list(given["link"].as<std::string>());
  for (std::string text; std::getline(list, text, ';');) {
    add_link(io, links, text);
  }
  spurrack::standins::serve(io, given["admin"].as<std::string>(), [&](service_exchange& exchange) {
    return handle_admin(links, exchange);
  });
  io.run();
  return 0;
}

} // namespace

int main(int argc, char** argv) {
  constexpr int exit_exception = 2;
  return spurrack::logging::guarded_main(run, argc, argv, exit_exception);
}
