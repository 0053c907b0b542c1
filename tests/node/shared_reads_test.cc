/// Reads that verify entries for several nodes. Guards against an answer to a query that arrived
/// after its read was sent, and against reads that grow with the number of queries.
#include "node/shared_reads.h"

#include <boost/test/unit_test.hpp>

using namespace spurrack;
using node::shared_reads;
using std::chrono::milliseconds;

namespace {

constexpr base::time_point start{std::chrono::hours(1)};

shared_reads::query query_of(std::uint64_t number, base::time_point arrived_at) {
  return {base::network_address("n" + std::to_string(number) + ":1"), number, arrived_at};
}

} // namespace

BOOST_AUTO_TEST_SUITE(shared_reads_test)

BOOST_AUTO_TEST_CASE(queries_that_wait_share_a_read) {
  shared_reads subject;
  BOOST_TEST(!subject.is_due(start));
  for (std::uint64_t number = 1; number <= 3; ++number) {
    subject.add(query_of(number, start));
  }
  BOOST_TEST(subject.is_due(start));
  subject.note_sent(start);
  BOOST_TEST(!subject.is_due(start + milliseconds(500)));
  BOOST_TEST(subject.take_answered(start).size() == 3U);
  BOOST_TEST(!subject.due_at().has_value());
}

BOOST_AUTO_TEST_CASE(a_query_that_arrives_during_a_read_needs_the_next_read) {
  shared_reads subject;
  subject.add(query_of(1, start));
  subject.note_sent(start);
  subject.add(query_of(2, start + milliseconds(1)));
  const auto answered = subject.take_answered(start);
  BOOST_REQUIRE(answered.size() == 1U);
  BOOST_TEST(answered.front().number == 1U);
  BOOST_TEST(!subject.is_due(start + shared_reads::min_interval - milliseconds(1)));
  BOOST_TEST(subject.is_due(start + shared_reads::min_interval));
}

BOOST_AUTO_TEST_CASE(an_answer_that_verifies_nothing_answers_no_query) {
  shared_reads subject;
  subject.add(query_of(1, start));
  subject.note_sent(start);
  BOOST_TEST(subject.take_answered(std::nullopt).empty());
  BOOST_TEST(!subject.due_at().has_value());
}

BOOST_AUTO_TEST_CASE(a_failed_read_answers_no_query_and_delays_the_next_read) {
  shared_reads subject;
  subject.add(query_of(1, start));
  subject.note_sent(start);
  subject.add(query_of(2, start + milliseconds(1)));
  subject.note_failure(start + milliseconds(10));
  BOOST_TEST((subject.due_at() == start + milliseconds(10) + shared_reads::retry_interval));
  subject.note_sent(start + milliseconds(260));
  const auto answered = subject.take_answered(start + milliseconds(260));
  BOOST_REQUIRE(answered.size() == 1U);
  BOOST_TEST(answered.front().number == 2U);
}

BOOST_AUTO_TEST_CASE(a_need_of_the_node_itself_lasts_until_a_read_covers_it) {
  shared_reads subject;
  subject.request(start);
  subject.note_sent(start);
  subject.request(start + milliseconds(5));
  subject.take_answered(start);
  BOOST_TEST(subject.is_due(start + shared_reads::min_interval));
}

BOOST_AUTO_TEST_CASE(number_of_reads_is_independent_of_the_number_of_queries) {
  shared_reads subject;
  int reads = 0;
  for (auto now = start; now < start + std::chrono::seconds(1); now += milliseconds(1)) {
    for (std::uint64_t number = 0; number < 10; ++number) {
      subject.add(query_of(number, now));
    }
    if (subject.is_due(now)) {
      subject.note_sent(now);
      subject.take_answered(now);
      ++reads;
    }
  }
  BOOST_TEST(reads == 20);
}

BOOST_AUTO_TEST_SUITE_END()
