#include "dispatch/event_stream.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cstdint>
#include <numeric>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

using spurrack::serving::event_stream;

namespace {

/// Bytes up to the end of a blank line.
struct block {
  std::string bytes;
  bool is_passed_on = true;
};

/// A stream, and what must be known of it after its last byte.
struct stream_case {
  std::string name;
  std::vector<block> blocks;
  std::optional<std::uint64_t> last_id;
  std::uint64_t events = 0;
  bool can_resume = true;
  std::optional<std::uint64_t> after = {};
  /// Bytes of an event without its blank line.
  std::string rest = {};
};

const std::string byte_order_mark = "\xEF\xBB\xBF";

std::vector<stream_case> cases_of_line_ends() {
  return {
      {"LF", {{"id: 1\ndata: a\n\n"}, {"id: 2\ndata: b\n\n"}}, 2, 2},
      {"CR LF", {{"id: 1\r\ndata: a\r\n\r\n"}, {"id: 2\r\ndata: b\r\n\r\n"}}, 2, 2},
      {"CR", {{"id: 1\rdata: a\r\r"}, {"id: 2\rdata: b\r\r"}}, 2, 2},
      {"LF, then CR LF", {{"id: 1\ndata: a\n\r\n"}, {"id: 2\ndata: b\n\r\n"}}, 2, 2},
      {"CR LF, then LF", {{"id: 1\r\ndata: a\r\n\n"}, {"id: 2\r\ndata: b\r\n\n"}}, 2, 2},
      {"all line ends", {{"id: 1\rdata: a\n\r"}, {"id: 2\ndata: b\r\r\n"}}, 2, 2},
      {"LF events between CR LF events",
       {{"id: 1\r\ndata: a\r\n\r\n"}, {"id: 2\ndata: b\n\n"}, {"id: 3\r\ndata: c\r\n\r\n"}},
       3,
       3},
      {"part of an event", {{"id: 1\ndata: a\n\n"}}, 1, 1, true, {}, "id: 2\ndata: b\n"},
      {"part of a CR LF event", {{"id: 1\r\ndata: a\r\n\r\n"}}, 1, 1, true, {}, "id: 2\r\nda"},
      {"further blank lines", {{"id: 1\ndata: a\n\n"}, {"\n"}, {"\r\n"}}, 1, 1},
      {"byte order mark", {{byte_order_mark + "id: 1\ndata: a\n\n"}}, 1, 1},
      {"comments", {{": hello\n\n"}, {"id: 1\ndata: a\n\n"}, {":\r\n: two\r\n\r\n"}}, 1, 1},
      {"comment inside an event", {{": c\nid: 1\n:\ndata: a\n\n"}}, 1, 1},
  };
}

std::vector<stream_case> cases_of_ids() {
  return {
      {"no id", {{"data: a\n\n"}, {"data: b\r\n\r\n"}}, {}, 2, false},
      {"no id after an id", {{"id: 1\ndata: a\n\n"}, {"data: b\n\n"}}, 1, 2, false},
      {"no id between ids",
       {{"id: 1\ndata: a\n\n"}, {"data: b\n\n"}, {"id: 2\ndata: c\n\n"}},
       2,
       3},
      {"ids that are not numbers",
       {{"id: 1\ndata: a\n\n"}, {"id: x\ndata: b\n\n"}, {"id: 9-1\ndata: c\n\n"}, {"id\ndata\n\n"}},
       1,
       4,
       false},
      {"id above all numbers", {{"id: 99999999999999999999\ndata: a\n\n"}}, {}, 1, false},
      {"two ids in an event", {{"id: 1\nid: 2\ndata: a\n\n"}, {"id: 3\n\n"}}, 3, 2},
      {"a number beside another field",
       {{"ids: 7\nid: 1\ndata: id: 9\ndata: a\n\n"}, {"id:2 \ndata: b\n\n"}},
       2,
       2},
      {"id that repeats", {{"id: 1\ndata: a\n\n"}, {"id: 1\ndata: b\n\n", false}}, 1, 1},
      {"id that falls",
       {{"id: 5\ndata: a\n\n"}, {"id: 4\r\ndata: b\r\n\r\n", false}, {"id: 6\ndata: c\n\n"}},
       6,
       2},
      {"first line that names a version", {{"x-weight-versions: 3\nid: 1\ndata: a\n\n"}}, 1, 1},
  };
}

std::vector<stream_case> cases_of_runs() {
  return {
      {"run that begins at its last event",
       {{"id: 4\r\ndata: a\r\n\r\n", false}, {"id: 5\r\ndata: b\r\n\r\n"}},
       5,
       1,
       true,
       4},
      {"run that repeats CR events",
       {{"id: 3\rdata: a\r\r", false}, {"id: 4\rdata: b\r\r", false}, {"id: 5\rdata: c\r\r"}},
       5,
       1,
       true,
       4},
      {"run that repeats events without an id",
       {{"id: 3\ndata: a\n\n", false},
        {"data: b\n\n", false},
        {"id: 4\n\n", false},
        {"data: c\n\n"}},
       4,
       1,
       false,
       4},
  };
}

std::vector<stream_case> stream_cases() {
  auto cases = cases_of_line_ends();
  for (const auto& more : {cases_of_ids(), cases_of_runs()}) {
    cases.insert(cases.end(), more.begin(), more.end());
  }
  return cases;
}

std::string text_of(const stream_case& checked) {
  std::string text;
  for (const auto& part : checked.blocks) {
    text += part.bytes;
  }
  return text + checked.rest;
}

/// @return what the first `received` bytes of a stream complete. Whether LF follows the CR of a
/// blank
///         line is not known before the next byte; it is not awaited if the line before ends with
///         CR alone.
std::string expected_after(const stream_case& checked, std::size_t received) {
  const auto text = text_of(checked);
  std::string expected;
  std::size_t end = 0;
  for (const auto& part : checked.blocks) {
    end += part.bytes.size();
    const auto before = std::string_view(text).substr(0, end);
    const bool awaits_next_byte = before.ends_with("\n\r");
    const bool lacks_line_feed = received + 1 == end && before.ends_with("\r\r\n");
    if (part.is_passed_on && received >= end + (awaits_next_byte ? 1 : 0)) {
      expected += part.bytes;
    } else if (part.is_passed_on && lacks_line_feed) {
      expected += part.bytes.substr(0, part.bytes.size() - 1);
    }
  }
  return expected;
}

/// Feeds a stream in parts that end at `cuts`, in rising order.
/// @return the first difference from what the stream must give; empty if there is none.
std::string difference_in(const stream_case& checked, const std::vector<std::size_t>& cuts) {
  event_stream stream(checked.after);
  const auto text = text_of(checked);
  std::string passed_on;
  std::size_t fed = 0;
  for (const auto cut : cuts) {
    passed_on += stream.feed(std::string_view(text).substr(fed, cut - fed));
    fed = cut;
    if (passed_on != expected_after(checked, fed)) {
      return "after " + std::to_string(fed) + " bytes, " + passed_on;
    }
  }
  const bool is_same = stream.last_id() == checked.last_id && stream.events() == checked.events &&
                       stream.partial_bytes() == checked.rest.size() &&
                       stream.has_partial() == !checked.rest.empty() &&
                       stream.can_resume() == checked.can_resume;
  return is_same ? "" : "state at the end, " + std::to_string(stream.events()) + " events";
}

} // namespace

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

// Guards against events that are lost, held back or joined because TCP cuts their bytes in another
// place, or because lines end in other ways.
BOOST_AUTO_TEST_CASE(any_split_of_the_bytes_gives_the_same_events) {
  for (const auto& checked : stream_cases()) {
    const auto size = text_of(checked).size();
    std::vector<std::size_t> single_bytes(size);
    std::iota(single_bytes.begin(), single_bytes.end(), 1U);
    BOOST_TEST(difference_in(checked, single_bytes) == "", checked.name << ", byte by byte");
    std::string difference;
    for (std::size_t first = 0; first <= size && difference.empty(); ++first) {
      for (std::size_t second = first; second <= size && difference.empty(); ++second) {
        difference = difference_in(checked, {first, second, size});
      }
    }
    BOOST_TEST(difference == "", checked.name << ", in three parts");
  }
}

// Guards against a stream that goes on at another replica after events that its client cannot name,
// so that the client receives them twice.
BOOST_AUTO_TEST_CASE(a_stream_cannot_resume_after_an_event_without_id) {
  event_stream stream;
  BOOST_TEST(stream.can_resume());
  stream.feed("id: 1\ndata: a\n\n: comment\n\n");
  BOOST_TEST(stream.can_resume());
  stream.feed("data: b\n");
  BOOST_TEST(stream.can_resume());
  stream.feed("\n");
  BOOST_TEST(!stream.can_resume());
  stream.drop_partial_event();
  BOOST_TEST(!stream.can_resume());
  stream.feed("id: 2\ndata: c\n\n");
  BOOST_TEST(stream.can_resume());
}

// Guards against an id that the client does not recognize, since the mark of a second run stands in
// the middle of its stream.
BOOST_AUTO_TEST_CASE(byte_order_mark_of_a_later_run_is_removed) {
  event_stream stream;
  const auto first_event = byte_order_mark + "id: 1\ndata: a\n\n";
  BOOST_TEST(stream.feed(first_event) == first_event);
  stream.drop_partial_event();
  BOOST_TEST(stream.feed(byte_order_mark + "id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
  BOOST_TEST(stream.last_id().value() == 2U);
}

// Guards against a line feed of the first run that is taken for the end of an event of the second.
BOOST_AUTO_TEST_CASE(a_run_does_not_depend_on_the_last_byte_of_the_run_before) {
  event_stream stream;
  BOOST_TEST(stream.feed("id: 1\rdata: a\r\r") == "id: 1\rdata: a\r\r");
  stream.drop_partial_event();
  BOOST_TEST(stream.feed("\nid: 2\ndata: b\n\n") == "\nid: 2\ndata: b\n\n");
  BOOST_TEST(stream.feed("id: 3\nda").empty());
  stream.drop_partial_event();
  BOOST_TEST(stream.feed("\n").size() == 1U);
  BOOST_TEST(stream.events() == 2U);
}

// Guards against an event of many reads that is searched from its start at each read.
BOOST_AUTO_TEST_CASE(an_event_without_end_is_read_once) {
  constexpr std::size_t reads = 100'000;
  event_stream stream;
  const auto started_at = std::chrono::steady_clock::now();
  for (std::size_t read = 0; read < reads; ++read) {
    BOOST_REQUIRE(stream.feed("data: a line of an event without end\n").empty());
  }
  // At two passes over the bytes that are buffered, a read takes some milliseconds.
  BOOST_TEST((std::chrono::steady_clock::now() - started_at < std::chrono::seconds(10)));
}

BOOST_AUTO_TEST_SUITE_END()
