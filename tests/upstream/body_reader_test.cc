/// Bodies of answers are taken whole, however their bytes were cut on the way, and what has been
/// taken leaves nothing behind.
#include "upstream/body_reader.h"

#include <boost/asio/buffer.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <string_view>

namespace {

using namespace spurrack;
using boost::system::error_code;

constexpr std::string_view head = "HTTP/1.1 200 OK\r\n";
constexpr std::string_view chunked =
    "Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n6;extension=1\r\nsecond\r\n0\r\n\r\n";
constexpr std::string_view with_length = "Content-Length: 11\r\n\r\nfirstsecond";

void receive(boost::beast::flat_buffer& received, std::string_view bytes) {
  const auto room = received.prepare(bytes.size());
  received.commit(boost::asio::buffer_copy(room, boost::asio::buffer(bytes)));
}

/// What an answer that arrived in pieces came to.
struct taken_answer {
  std::string body;
  bool is_whole = false;
  error_code error;
  std::size_t left = 0;
};

/// Takes an answer whose bytes arrive `step` at a time.
taken_answer take_in_steps(const std::string& text, std::size_t step) {
  boost::beast::flat_buffer received;
  upstream::response_parser parser;
  taken_answer taken;
  const auto body_begins = text.find("\r\n\r\n") + 4;
  receive(received, std::string_view(text).substr(0, body_begins));
  parser.eager(false);
  received.consume(parser.put(received.data(), taken.error));
  for (auto place = body_begins; place < text.size() && !taken.error; place += step) {
    receive(received, std::string_view(text).substr(place, step));
    taken.error = upstream::parse_received_body(received, parser, taken.body);
  }
  taken.is_whole = parser.is_done();
  taken.left = received.size();
  return taken;
}

} // namespace

BOOST_AUTO_TEST_SUITE(body_reader_test)

BOOST_AUTO_TEST_CASE(a_body_is_the_same_however_its_bytes_are_cut) {
  for (const auto framing : {chunked, with_length}) {
    const auto text = std::string(head) + std::string(framing);
    for (std::size_t step = 1; step <= text.size(); ++step) {
      const auto taken = take_in_steps(text, step);
      BOOST_TEST(!taken.error);
      BOOST_TEST(taken.is_whole);
      BOOST_TEST(taken.body == "firstsecond");
      BOOST_TEST(taken.left == 0U);
    }
  }
}

BOOST_AUTO_TEST_CASE(bytes_that_follow_a_body_stay) {
  const auto taken =
      take_in_steps(std::string(head) + std::string(with_length) + "HTTP/1.1 200", 100);
  BOOST_TEST(taken.is_whole);
  BOOST_TEST(taken.body == "firstsecond");
  BOOST_TEST(taken.left == std::string_view("HTTP/1.1 200").size());
}

BOOST_AUTO_TEST_CASE(a_body_that_ends_with_its_connection_is_taken_as_it_comes) {
  const auto taken = take_in_steps(std::string(head) + "Connection: close\r\n\r\nfirstsecond", 3);
  BOOST_TEST(!taken.error);
  BOOST_TEST(!taken.is_whole);
  BOOST_TEST(taken.body == "firstsecond");
  BOOST_TEST(taken.left == 0U);
}

BOOST_AUTO_TEST_CASE(bytes_that_are_no_framing_are_an_error) {
  const auto taken =
      take_in_steps(std::string(head) + "Transfer-Encoding: chunked\r\n\r\nnot a length\r\n", 100);
  BOOST_TEST(taken.error.failed());
  BOOST_TEST(!taken.is_whole);
}

BOOST_AUTO_TEST_SUITE_END()
