/// Incremental parsing of bodies: any split of the bytes gives the same body, and parsed bytes are
/// removed from the buffer.
#include "upstream/body_reader.h"

#include <boost/asio/buffer.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

namespace {

using namespace spurrack;
using boost::system::error_code;

constexpr std::string_view head = "HTTP/1.1 200 OK\r\n";
constexpr std::string_view chunked =
    "Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n6;extension=1\r\nsecond\r\n0\r\n\r\n";
constexpr std::string_view with_length = "Content-Length: 11\r\n\r\nfirstsecond";

void receive(boost::beast::flat_buffer& received, std::string_view bytes) {
  const auto space = received.prepare(bytes.size());
  received.commit(boost::asio::buffer_copy(space, boost::asio::buffer(bytes)));
}

/// Result of parsing an answer that arrives in several reads.
struct parsed_answer {
  std::string body;
  bool is_complete = false;
  error_code error;
  std::size_t unparsed_bytes = 0;
};

/// Parses an answer whose body arrives in parts of `step` bytes.
parsed_answer parse_in_steps(const std::string& text, std::size_t step) {
  boost::beast::flat_buffer received;
  upstream::response_parser parser;
  parsed_answer parsed;
  const auto body_begins = text.find("\r\n\r\n") + 4;
  receive(received, std::string_view(text).substr(0, body_begins));
  parser.eager(false);
  received.consume(parser.put(received.data(), parsed.error));
  for (auto position = body_begins; position < text.size() && !parsed.error; position += step) {
    receive(received, std::string_view(text).substr(position, step));
    parsed.error = upstream::parse_received_body(received, parser, parsed.body);
  }
  parsed.is_complete = parser.is_done();
  parsed.unparsed_bytes = received.size();
  return parsed;
}

} // namespace

BOOST_AUTO_TEST_SUITE(body_reader_test)

BOOST_AUTO_TEST_CASE(a_body_is_complete_for_any_split_of_its_bytes) {
  for (const auto framing : {chunked, with_length}) {
    const auto text = std::string(head) + std::string(framing);
    for (std::size_t step = 1; step <= text.size(); ++step) {
      const auto parsed = parse_in_steps(text, step);
      BOOST_TEST(!parsed.error);
      BOOST_TEST(parsed.is_complete);
      BOOST_TEST(parsed.body == "firstsecond");
      BOOST_TEST(parsed.unparsed_bytes == 0U);
    }
  }
}

// Guards against an assertion that ends the process if the last chunk of an empty body arrives in
// three parts.
BOOST_AUTO_TEST_CASE(an_empty_chunked_body_is_complete_for_any_split_of_its_bytes) {
  const auto text = std::string(head) + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
  for (std::size_t step = 1; step <= 5; ++step) {
    const auto parsed = parse_in_steps(text, step);
    BOOST_TEST(!parsed.error);
    BOOST_TEST(parsed.is_complete);
    BOOST_TEST(parsed.body.empty());
    BOOST_TEST(parsed.unparsed_bytes == 0U);
  }
}

// Guards against content of a chunk that is lost because it looks like a last chunk.
BOOST_AUTO_TEST_CASE(content_like_a_last_chunk_is_complete_for_any_split_of_its_bytes) {
  const auto text = std::string(head) +
                    "Transfer-Encoding: chunked\r\n\r\n5\r\n0\r\n\r\n\r\n3\r\n0\r\n\r\n0\r\n\r\n";
  for (std::size_t step = 1; step <= text.size(); ++step) {
    const auto parsed = parse_in_steps(text, step);
    BOOST_TEST(!parsed.error);
    BOOST_TEST(parsed.is_complete);
    BOOST_TEST(parsed.body == "0\r\n\r\n0\r\n");
  }
}

BOOST_AUTO_TEST_CASE(bytes_after_a_body_stay_in_the_buffer) {
  const auto parsed =
      parse_in_steps(std::string(head) + std::string(with_length) + "HTTP/1.1 200", 100);
  BOOST_TEST(parsed.is_complete);
  BOOST_TEST(parsed.body == "firstsecond");
  BOOST_TEST(parsed.unparsed_bytes == std::string_view("HTTP/1.1 200").size());
}

BOOST_AUTO_TEST_CASE(a_body_without_framing_is_parsed_as_it_arrives) {
  const auto parsed = parse_in_steps(std::string(head) + "Connection: close\r\n\r\nfirstsecond", 3);
  BOOST_TEST(!parsed.error);
  BOOST_TEST(!parsed.is_complete);
  BOOST_TEST(parsed.body == "firstsecond");
  BOOST_TEST(parsed.unparsed_bytes == 0U);
}

BOOST_AUTO_TEST_CASE(invalid_framing_is_an_error) {
  const auto parsed =
      parse_in_steps(std::string(head) + "Transfer-Encoding: chunked\r\n\r\nnot a length\r\n", 100);
  BOOST_TEST(parsed.error.failed());
  BOOST_TEST(!parsed.is_complete);
}

/// Guards against a replica that sends framing without end, which would fill the memory of the
/// node.
BOOST_AUTO_TEST_CASE(framing_without_end_is_an_error) {
  constexpr std::size_t endless_bytes = 1'000'000;
  const std::string begin = std::string(head) + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string filler(endless_bytes, '1');
  const std::vector<std::string> endless{
      begin + "5;" + filler,                         // a chunk extension
      begin + std::string(endless_bytes, '0'),       // digits of a chunk size
      begin + "5\r\nfirst\r\n0\r\nfield: " + filler, // a trailer
  };
  for (const auto& text : endless) {
    for (const std::size_t step : {1'000U, 65'536U}) {
      const auto parsed = parse_in_steps(text, step);
      BOOST_TEST(parsed.error.failed());
      BOOST_TEST(parsed.unparsed_bytes <= upstream::max_framing_bytes + step);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
