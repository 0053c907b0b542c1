/// Answers of back ends: whole ones, streamed ones in pieces, and spoiled ones.
#include "backends/call_codec.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace spurrack::backends;

const std::string whole =
    R"({"request_id":"r","stage":"s","attempt":2,"output":"o","tokens":0,"backend_us":5,"in_flight":3})";

} // namespace

BOOST_AUTO_TEST_SUITE(call_codec)

BOOST_AUTO_TEST_CASE(reads_a_whole_answer_and_refuses_spoiled_ones) {
  const auto result = decode_result(9, whole);
  BOOST_TEST_REQUIRE(result.has_value());
  BOOST_TEST(result->call == 9U);
  BOOST_TEST(result->identity.attempt == 2U);
  BOOST_TEST(result->reported_in_flight == 3U);
  BOOST_TEST(!decode_result(9, whole.substr(0, whole.size() / 2)).has_value());
  BOOST_TEST(!decode_result(9, R"({"request_id":"r"})").has_value());
  BOOST_TEST(!decode_result(9, "[]").has_value());
}

BOOST_AUTO_TEST_CASE(reads_a_stream_however_it_is_cut) {
  const std::string stream = "data: {\"offset\":0,\"token\":\"a\"}\n\ndata: "
                             "{\"offset\":1,\"token\":\"b\"}\n\ndata: " +
                             whole + "\n\n";
  for (std::size_t piece = 1; piece <= stream.size(); ++piece) {
    event_stream_decoder decoder(1);
    std::string text;
    int results = 0;
    for (std::size_t from = 0; from < stream.size(); from += piece) {
      const auto items = decoder.feed(std::string_view(stream).substr(from, piece));
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
