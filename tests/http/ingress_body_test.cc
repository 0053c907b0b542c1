/// Bodies of client requests that arrive in parts.
#include "http/ingress_server.h"

#include "http_codec.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

using namespace spurrack;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::string_view request_head =
    "POST / HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n";
/// Time in which bytes that were written on loopback are read by the server.
constexpr std::chrono::milliseconds transfer_time{30};

/// A listener for clients that keeps the body of the last request.
struct ingress_fixture {
  ingress_fixture() {
    tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
    endpoint = acceptor.local_endpoint();
    acceptor.close();
    server = http::make_ingress_server(
        io, "127.0.0.1:" + std::to_string(endpoint.port()), *codec,
        {std::make_shared<flow::byte_budget>(10'000'000), 10},
        {[this](const serving::request_arrived& arrived) { body = arrived.content->body; },
         [](auto) {}, [](auto) {}});
  }

  asio::io_context io;
  std::unique_ptr<serving::request_codec> codec = platform::make_http_codec();
  tcp::endpoint endpoint;
  std::optional<std::string> body;
  std::unique_ptr<http::ingress_server> server;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ingress_body_test)

// Guards against a client that ends the process with an empty chunked body whose last chunk arrives
// in three parts: an assertion of the parser.
BOOST_FIXTURE_TEST_CASE(an_empty_chunked_request_in_parts_ends_no_process, ingress_fixture) {
  tcp::socket client(io);
  client.connect(endpoint);
  client.set_option(tcp::no_delay(true));
  for (const auto& part :
       {std::string(request_head) + "0\r\n", std::string("\r"), std::string("\n")}) {
    asio::write(client, asio::buffer(part));
    io.run_for(transfer_time);
  }
  BOOST_REQUIRE(body.has_value());
  BOOST_TEST(body->empty());
}

BOOST_AUTO_TEST_SUITE_END()
