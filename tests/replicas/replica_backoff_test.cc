/// The pause that a replica asks for, and the slow start after it.
#include "replicas/replica_backoff.h"

#include <boost/test/unit_test.hpp>

using namespace spurrack;
using namespace spurrack::serving;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t slots = 16;
const base::time_point begin{std::chrono::hours(1)};

} // namespace

BOOST_AUTO_TEST_SUITE(replica_backoff_test)

BOOST_AUTO_TEST_CASE(nothing_is_sent_until_the_pause_is_over) {
  replica_backoff backoff;
  BOOST_TEST(backoff.permits_call(100, begin));
  BOOST_TEST(backoff.note_request(seconds(3), 0, begin));
  BOOST_TEST(!backoff.permits_call(0, begin));
  BOOST_TEST(!backoff.permits_call(0, begin + milliseconds(2'999)));
  BOOST_TEST(backoff.permits_call(0, begin + seconds(3)));
}

BOOST_AUTO_TEST_CASE(the_longest_of_those_that_stand_holds) {
  replica_backoff backoff;
  BOOST_TEST(backoff.note_request(seconds(3), 0, begin));
  BOOST_TEST(!backoff.note_request(milliseconds(50), 0, begin + seconds(1)));
  BOOST_TEST(!backoff.note_request(base::duration::zero(), 0, begin + seconds(1)));
  BOOST_TEST((backoff.ends_at() == begin + seconds(3)));
  BOOST_TEST(backoff.note_request(seconds(3), 0, begin + seconds(1)));
  BOOST_TEST((backoff.ends_at() == begin + seconds(4)));
}

BOOST_AUTO_TEST_CASE(a_time_of_zero_asks_for_nothing) {
  replica_backoff backoff;
  BOOST_TEST(!backoff.note_request(base::duration::zero(), 0, begin));
  BOOST_TEST(!backoff.was_requested());
  BOOST_TEST(backoff.permits_call(100, begin));
}

BOOST_AUTO_TEST_CASE(no_pause_is_longer_than_a_request_may_last) {
  replica_backoff backoff;
  BOOST_TEST(backoff.note_request(seconds(120), 0, begin));
  BOOST_TEST((backoff.ends_at() == begin + seconds(120)));
  BOOST_TEST(backoff.note_request(std::chrono::hours(10'000), 0, begin + seconds(1)));
  BOOST_TEST((backoff.ends_at() == begin + seconds(1) + minutes(2)));
}

BOOST_AUTO_TEST_CASE(calls_begin_with_one_and_each_answer_lets_more_be_made) {
  replica_backoff backoff;
  backoff.note_request(seconds(1), 0, begin);
  const auto open = begin + seconds(1);
  BOOST_TEST(backoff.permits_call(0, open));
  BOOST_TEST(!backoff.permits_call(1, open));
  backoff.note_answer(open, slots);
  BOOST_TEST(backoff.permits_call(2, open));
  BOOST_TEST(!backoff.permits_call(3, open));
  for (int answer = 0; answer < 20; ++answer) {
    backoff.note_answer(open, slots);
  }
  BOOST_TEST(backoff.permits_call(slots - 1, open));
  BOOST_TEST(!backoff.permits_call(slots, open));
}

BOOST_AUTO_TEST_CASE(answers_to_earlier_calls_open_nothing) {
  replica_backoff backoff;
  backoff.note_request(seconds(1), 0, begin);
  for (int answer = 0; answer < 20; ++answer) {
    backoff.note_answer(begin - milliseconds(1), slots);
  }
  BOOST_TEST(!backoff.permits_call(0, begin + milliseconds(999)));
  BOOST_TEST(!backoff.permits_call(1, begin + seconds(1)));
}

BOOST_AUTO_TEST_CASE(calls_from_before_the_pause_take_no_places) {
  replica_backoff backoff;
  backoff.note_request(seconds(1), 5, begin);
  const auto open = begin + seconds(1);
  BOOST_TEST(backoff.permits_call(5, open));
  BOOST_TEST(!backoff.permits_call(6, open));
  backoff.note_call_ended(2);
  BOOST_TEST(backoff.permits_call(2, open));
  BOOST_TEST(!backoff.permits_call(3, open));
}

BOOST_AUTO_TEST_CASE(a_call_that_is_turned_away_begins_it_anew) {
  replica_backoff backoff;
  backoff.note_request(seconds(1), 0, begin);
  const auto open = begin + seconds(1);
  backoff.note_answer(open, slots);
  backoff.note_rejected();
  BOOST_TEST(!backoff.permits_call(1, open));
}

BOOST_AUTO_TEST_CASE(calls_are_bounded_for_some_seconds_only) {
  replica_backoff backoff;
  backoff.note_request(seconds(1), 0, begin);
  BOOST_TEST(!backoff.permits_call(1, begin + seconds(1) + slow_start_duration - milliseconds(1)));
  BOOST_TEST(backoff.permits_call(100, begin + seconds(1) + slow_start_duration));
}

BOOST_AUTO_TEST_SUITE_END()
