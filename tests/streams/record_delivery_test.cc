/// Delivery of records to witnesses: acknowledgements, repetitions and their bounds.
#include "streams/record_delivery.h"

#include <boost/test/unit_test.hpp>

using namespace spurrack;
using namespace spurrack::streams;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const base::time_point start{std::chrono::hours(1)};
const base::network_address left{"left:1"};
const base::network_address right{"right:1"};

stream_key key(std::size_t number) {
  return key_of("tenant", base::request_id("attempt " + std::to_string(number)));
}

} // namespace

BOOST_AUTO_TEST_SUITE(record_delivery_test)

/// Guards against records that are repeated to the end because the way there and back takes longer
/// than the first interval.
BOOST_AUTO_TEST_CASE(acknowledgement_of_an_earlier_message_with_the_same_record_counts) {
  record_delivery subject(1);
  subject.start(key(1), start);
  BOOST_TEST(subject.await(key(1), {left}).size() == 1U);
  const auto first = subject.note_sent(left, {key(1)}, start);
  BOOST_TEST(subject.take_due(start + milliseconds(100)).size() == 1U);
  BOOST_TEST(subject.await(key(1), {left}).size() == 1U);
  const auto second = subject.note_sent(left, {key(1)}, start + milliseconds(100));
  BOOST_TEST(second > first);
  BOOST_TEST(subject.note_acknowledged(left, first) == 1U);
  BOOST_TEST(subject.size() == 0U);
  BOOST_TEST(subject.note_acknowledged(left, second) == 0U);
  BOOST_TEST(!subject.next_wakeup().has_value());
}

BOOST_AUTO_TEST_CASE(record_waits_until_each_witness_has_acknowledged_it) {
  record_delivery subject(1);
  subject.start(key(1), start);
  BOOST_TEST(subject.await(key(1), {left, right}).size() == 2U);
  const auto to_left = subject.note_sent(left, {key(1)}, start);
  const auto to_right = subject.note_sent(right, {key(1)}, start);
  // A node acknowledges only what was sent to it.
  BOOST_TEST(subject.note_acknowledged(left, to_right) == 0U);
  BOOST_TEST(subject.note_acknowledged(left, to_left) == 1U);
  BOOST_TEST(subject.note_acknowledged(left, to_left) == 0U);
  BOOST_REQUIRE(subject.size() == 1U);
  const auto missing = subject.await(key(1), {left, right});
  BOOST_REQUIRE(missing.size() == 1U);
  BOOST_TEST((missing.front() == right));
}

BOOST_AUTO_TEST_CASE(changed_record_is_awaited_anew) {
  record_delivery subject(1);
  subject.start(key(1), start);
  subject.await(key(1), {left});
  const auto outdated = subject.note_sent(left, {key(1)}, start);
  subject.start(key(1), start + milliseconds(10));
  subject.await(key(1), {left});
  BOOST_TEST(subject.note_acknowledged(left, outdated) == 0U);
  BOOST_TEST(subject.size() == 1U);
  const auto current = subject.note_sent(left, {key(1)}, start + milliseconds(10));
  BOOST_TEST(subject.note_acknowledged(left, current) == 1U);
  BOOST_TEST(subject.size() == 0U);
}

BOOST_AUTO_TEST_CASE(intervals_grow_and_repetitions_are_bounded) {
  record_delivery subject(1);
  subject.start(key(1), start);
  subject.await(key(1), {left});
  std::vector<base::time_point> repeated_at;
  while (const auto due_at = subject.next_wakeup()) {
    if (!subject.take_due(*due_at).empty()) {
      repeated_at.push_back(*due_at);
    }
  }
  BOOST_REQUIRE(repeated_at.size() == record_delivery::max_repetitions);
  BOOST_TEST((repeated_at.front() == start + milliseconds(100)));
  BOOST_TEST((repeated_at.back() == start + milliseconds(25'500)));
  BOOST_TEST(subject.abandoned() == 1U);
  BOOST_TEST(subject.size() == 0U);
}

/// Guards against memory that grows with the streams of a node whose witnesses do not acknowledge.
BOOST_AUTO_TEST_CASE(waiting_records_are_bounded) {
  record_delivery subject(1);
  for (std::size_t number = 0; number <= record_delivery::max_records; ++number) {
    subject.start(key(number), start);
  }
  BOOST_TEST(subject.size() == record_delivery::max_records);
  BOOST_TEST(subject.abandoned() == 1U);
  // The record beyond the bound is sent to all its witnesses once.
  BOOST_TEST(subject.await(key(record_delivery::max_records), {left, right}).size() == 2U);
  // A record that waits already is replaced.
  subject.start(key(0), start);
  BOOST_TEST(subject.abandoned() == 1U);
}

BOOST_AUTO_TEST_CASE(acknowledgements_of_old_messages_are_not_recognised) {
  record_delivery subject(1);
  subject.start(key(1), start);
  subject.await(key(1), {left});
  const auto number = subject.note_sent(left, {key(1)}, start);
  subject.drop_old_messages(start + seconds(5));
  BOOST_TEST(subject.note_acknowledged(left, number) == 0U);
  BOOST_TEST(subject.size() == 1U);
}

/// An acknowledgement may arrive after the node that sent the record has started anew.
BOOST_AUTO_TEST_CASE(messages_of_another_incarnation_have_other_numbers) {
  record_delivery earlier(7);
  const auto number = earlier.note_sent(left, {key(1)}, start);
  record_delivery subject(8);
  subject.start(key(1), start);
  subject.await(key(1), {left});
  subject.note_sent(left, {key(1)}, start);
  BOOST_TEST(subject.note_acknowledged(left, number) == 0U);
  BOOST_TEST(subject.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
