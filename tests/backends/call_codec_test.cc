/// Decoding of answers of back ends: complete, streamed and malformed answers.
#include "backends/call_codec.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace spurrack::backends;

const std::string complete_answer =
    R"({"request_id":"r","stage":"s","attempt":2,"output":"o","tokens":0,"backend_us":5,"in_flight":3})";

} // namespace

BOOST_AUTO_TEST_SUITE(call_codec)

BOOST_AUTO_TEST_CASE(decodes_a_complete_answer_and_rejects_malformed_answers) {
  const auto result = decode_result(9, complete_answer);
  BOOST_TEST_REQUIRE(result.has_value());
  BOOST_TEST(result->call == 9U);
  BOOST_TEST(result->identity.attempt == 2U);
  BOOST_TEST(result->reported_in_flight == 3U);
  BOOST_TEST(!decode_result(9, complete_answer.substr(0, complete_answer.size() / 2)).has_value());
  BOOST_TEST(!decode_result(9, R"({"request_id":"r"})").has_value());
  BOOST_TEST(!decode_result(9, "[]").has_value());
}

BOOST_AUTO_TEST_CASE(decodes_a_stream_for_any_split_of_its_bytes) {
  const std::string stream = "data: {\"offset\":0,\"token\":\"a\"}\n\ndata: "
                             "{\"offset\":1,\"token\":\"b\"}\n\ndata: " +
                             complete_answer + "\n\n";
  for (std::size_t step = 1; step <= stream.size(); ++step) {
    event_stream_decoder decoder(1);
    std::string text;
    int results = 0;
    for (std::size_t offset = 0; offset < stream.size(); offset += step) {
      const auto items = decoder.feed(std::string_view(stream).substr(offset, step));
      BOOST_TEST_REQUIRE(items.has_value());
      for (const auto& item : *items) {
        text += item.token ? item.token->text : "";
        results += item.result ? 1 : 0;
      }
    }
    BOOST_TEST(text == "ab");
    BOOST_TEST(results == 1);
  }
  event_stream_decoder decoder(1);
  BOOST_TEST(!decoder.feed("data: {\"offset\":-1,\"token\":\"a\"}\n\n").has_value());
  BOOST_TEST(!event_stream_decoder(1).feed("garbage\n\n").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
