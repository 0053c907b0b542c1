#include "dispatch/event_stream.h"

#include <boost/test/unit_test.hpp>

using spurrack::serving::event_stream;

BOOST_AUTO_TEST_SUITE(event_stream_test)

BOOST_AUTO_TEST_CASE(returns_whole_events_only) {
  event_stream stream;
  BOOST_TEST(stream.feed("id: 1\ndata: a\n").empty());
  BOOST_TEST(stream.has_partial());
  BOOST_TEST(stream.feed("\nid: 2\nda") == "id: 1\ndata: a\n\n");
  BOOST_TEST(stream.feed("ta: b\n\n") == "id: 2\ndata: b\n\n");
  BOOST_TEST(!stream.has_partial());
  BOOST_TEST(stream.events() == 2);
  BOOST_TEST(stream.last_id().value() == 2);
}

BOOST_AUTO_TEST_CASE(drops_events_that_were_already_forwarded) {
  event_stream stream(4);
  BOOST_TEST(stream.feed("id: 4\ndata: a\n\nid: 5\ndata: b\n\n") == "id: 5\ndata: b\n\n");
}

BOOST_AUTO_TEST_CASE(drop_partial_event_discards_incomplete_event) {
  event_stream stream;
  BOOST_TEST(stream.feed("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
  stream.drop_partial_event();
  BOOST_TEST(stream.feed("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
}

BOOST_AUTO_TEST_CASE(accepts_crlf_and_events_without_id) {
  event_stream stream;
  BOOST_TEST(stream.feed("data: a\r\n\r\ndata: b\n\n") == "data: a\r\n\r\ndata: b\n\n");
  BOOST_TEST(!stream.last_id().has_value());
}

BOOST_AUTO_TEST_SUITE_END()
