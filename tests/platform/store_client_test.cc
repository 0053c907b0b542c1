/// Client of the platform's store before a server on loopback.
#include "paged_store.h"
#include "store_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace spurrack;
using std::chrono::milliseconds;
namespace asio = boost::asio;

namespace {

/// Listing without entries.
const std::string empty_listing = R"({"items":[],"more":false,"at":1})";

/// Store that answers the first request of each connection and is silent afterwards.
class silent_store {
 public:
  /// @param body JSON text of each answer.
  explicit silent_store(asio::io_context& io, const std::string& body = empty_listing)
      : text_("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
              body),
        acceptor_(io, {asio::ip::make_address("127.0.0.1"), 0}) {
    accept();
  }
  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  [[nodiscard]] int requests() const { return requests_; }

 private:
  struct connection {
    explicit connection(asio::ip::tcp::socket accepted) : socket(std::move(accepted)) {}
    asio::ip::tcp::socket socket;
    asio::streambuf received;
    bool has_answered = false;
  };

  void accept() {
    acceptor_.async_accept([this](const auto& error, asio::ip::tcp::socket socket) {
      if (!error) {
        read(std::make_shared<connection>(std::move(socket)));
        accept();
      }
    });
  }
  void read(const std::shared_ptr<connection>& client) {
    asio::async_read_until(client->socket, client->received, "\r\n\r\n",
                           [this, client](const auto& error, std::size_t bytes) {
                             if (error) {
                               return;
                             }
                             client->received.consume(bytes);
                             ++requests_;
                             if (!std::exchange(client->has_answered, true)) {
                               answer(client);
                             }
                             read(client);
                           });
  }
  void answer(const std::shared_ptr<connection>& client) const {
    asio::async_write(client->socket, asio::buffer(text_), [client](const auto&, std::size_t) {});
  }

  std::string text_;
  asio::ip::tcp::acceptor acceptor_;
  int requests_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(store_client_test)

// Guards against two operations at the same time on the connection of the probes, which end the
// process, if a probe lasts longer than the interval between probes.
BOOST_AUTO_TEST_CASE(probes_of_a_silent_store_do_not_overlap) {
  asio::io_context io(1);
  silent_store store(io);
  int failures = 0;
  const auto client = platform::make_store_client(
      io, store.address(), {[](auto) {}, [&](const node::service_failed&) { ++failures; }});
  const node::probe_service probe{node::source_kind::configuration};
  client->probe(probe);
  io.run_for(milliseconds(200));
  BOOST_TEST(store.requests() == 1);
  // The second probe gets no answer. Further probes start while it waits for its timeout of 1 s.
  for (int count = 0; count < 4; ++count) {
    client->probe(probe);
    io.run_for(milliseconds(200));
  }
  BOOST_TEST(store.requests() == 2);
  io.run_for(milliseconds(500));
  BOOST_TEST(failures == 1);
  client->probe(probe);
  io.run_for(milliseconds(200));
  BOOST_TEST(store.requests() == 3);
}

// Guards against a large answer whose parsing occupies the loop unseen, so that bytes of replicas
// that waited meanwhile count as missing.
BOOST_AUTO_TEST_CASE(parsing_of_an_answer_is_reported_before_the_answer) {
  asio::io_context io(1);
  silent_store store(io);
  std::string order;
  const auto client = platform::make_store_client(
      io, store.address(),
      {[&](const node::service_answered&) { order += "answer"; }, [&](auto) { order += "failure"; },
       [&](base::time_point started_at) {
         BOOST_TEST((started_at <= base::boot_clock::now()));
         order += "parsed,";
       }});
  client->read({node::source_kind::configuration, 0, true, {}});
  io.run_for(milliseconds(200));
  BOOST_TEST(order == "parsed,parsed,answer");
}

/// Reads a source once from a store whose answers have a given body.
/// @param after revision to watch from; 0 for a listing.
/// @return whether the body was taken for an answer.
bool is_accepted(const std::string& body, std::uint64_t after) {
  asio::io_context io(1);
  silent_store store(io, body);
  std::optional<bool> accepted;
  const auto client =
      platform::make_store_client(io, store.address(),
                                  {[&](const node::service_answered&) { accepted = true; },
                                   [&](const node::service_failed&) { accepted = false; }});
  client->read({node::source_kind::machine_list, after, true, {}});
  while (!accepted && io.run_one_for(milliseconds(2'000)) > 0) {
  }
  BOOST_REQUIRE(accepted.has_value());
  return *accepted;
}

// Guards against an answer that lacks its list, its revision or the word whether pages follow, and
// is taken for a list without entries: all replicas would count as removed.
BOOST_AUTO_TEST_CASE(an_answer_without_its_list_is_no_empty_list) {
  BOOST_TEST(is_accepted(empty_listing, 0));
  BOOST_TEST(is_accepted(R"({"events":[],"at":7})", 6));
  for (const std::string body :
       {R"({})", R"({"more":false,"at":1})", R"({"items":[],"at":1})",
        R"({"items":[],"more":false})", R"({"items":[],"more":true,"at":1})",
        R"({"items":null,"more":false,"at":1})", R"({"items":[],"more":false,"at":null})",
        R"({"items":[{"revision":1}],"more":true,"at":1})", R"([])", ""}) {
    BOOST_TEST(!is_accepted(body, 0), body);
  }
  for (const std::string body :
       {R"({})", R"({"at":7})", R"({"events":[]})", R"({"events":{},"at":7})"}) {
    BOOST_TEST(!is_accepted(body, 6), body);
  }
}

// Guards against a list that nobody can read and of which nothing says so: the report must come at
// once, and come again while the list stays unreadable, but not with each read.
BOOST_AUTO_TEST_CASE(an_unreadable_answer_is_reported_at_once_and_at_a_bounded_rate) {
  asio::io_context io(1);
  std::string body = R"({"items":[],"more":false)";
  paged_store store(io, [&](const std::string&) { return paged_store::answer{body}; });
  std::vector<std::string> reports;
  int failures = 0;
  const auto client =
      platform::make_store_client(io, store.address(),
                                  {[](const auto&) {},
                                   [&](auto) { ++failures; },
                                   {},
                                   [&](node::source_kind source, const std::string& reason) {
                                     BOOST_TEST((source == node::source_kind::machine_list));
                                     reports.push_back(reason);
                                   }});
  const auto read = [&] {
    const int failures_before = failures;
    client->read({node::source_kind::machine_list, 0, false, {}});
    while (failures == failures_before && io.run_one_for(milliseconds(2'000)) > 0) {
    }
  };
  read();
  BOOST_REQUIRE(reports.size() == 1);
  BOOST_TEST(reports[0] == "not a whole JSON object");
  body = R"({"more":false,"at":3})";
  read();
  read();
  BOOST_TEST(failures == 3);
  BOOST_TEST(reports.size() == 1);
  const auto reported_again_by = std::chrono::steady_clock::now() + std::chrono::seconds(7);
  while (reports.size() == 1 && std::chrono::steady_clock::now() < reported_again_by) {
    read();
  }
  BOOST_REQUIRE(reports.size() == 2);
  BOOST_TEST(reports[1] == "its list is missing");
}

BOOST_AUTO_TEST_SUITE_END()
