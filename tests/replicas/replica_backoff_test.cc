/// Requested backoff of a replica and the slow start after it.
#include "replicas/replica_backoff.h"

#include <boost/test/unit_test.hpp>

using namespace spurrack;
using namespace spurrack::serving;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t slots = 16;
const base::time_point start{std::chrono::hours(1)};

} // namespace

BOOST_AUTO_TEST_SUITE(replica_backoff_test)

BOOST_AUTO_TEST_CASE(no_call_is_permitted_during_the_backoff) {
  replica_backoff backoff;
  BOOST_TEST(backoff.permits_call(100, start));
  BOOST_TEST(backoff.note_requested(seconds(3), 0, start));
  BOOST_TEST(!backoff.permits_call(0, start));
  BOOST_TEST(!backoff.permits_call(0, start + milliseconds(2'999)));
  BOOST_TEST(backoff.permits_call(0, start + seconds(3)));
}

BOOST_AUTO_TEST_CASE(the_backoff_that_ends_last_is_in_effect) {
  replica_backoff backoff;
  BOOST_TEST(backoff.note_requested(seconds(3), 0, start));
  BOOST_TEST(!backoff.note_requested(milliseconds(50), 0, start + seconds(1)));
  BOOST_TEST(!backoff.note_requested(base::duration::zero(), 0, start + seconds(1)));
  BOOST_TEST((backoff.ends_at() == start + seconds(3)));
  BOOST_TEST(backoff.note_requested(seconds(3), 0, start + seconds(1)));
  BOOST_TEST((backoff.ends_at() == start + seconds(4)));
}

BOOST_AUTO_TEST_CASE(a_requested_backoff_of_zero_has_no_effect) {
  replica_backoff backoff;
  BOOST_TEST(!backoff.note_requested(base::duration::zero(), 0, start));
  BOOST_TEST(!backoff.was_requested());
  BOOST_TEST(backoff.permits_call(100, start));
}

BOOST_AUTO_TEST_CASE(a_backoff_is_limited_to_two_minutes) {
  replica_backoff backoff;
  BOOST_TEST(backoff.note_requested(seconds(120), 0, start));
  BOOST_TEST((backoff.ends_at() == start + seconds(120)));
  BOOST_TEST(backoff.note_requested(std::chrono::hours(10'000), 0, start + seconds(1)));
  BOOST_TEST((backoff.ends_at() == start + seconds(1) + minutes(2)));
}

BOOST_AUTO_TEST_CASE(slow_start_begins_with_one_call_and_each_answer_allows_two_more) {
  replica_backoff backoff;
  backoff.note_requested(seconds(1), 0, start);
  const auto backoff_end = start + seconds(1);
  BOOST_TEST(backoff.permits_call(0, backoff_end));
  BOOST_TEST(!backoff.permits_call(1, backoff_end));
  backoff.note_answer(backoff_end, slots);
  BOOST_TEST(backoff.permits_call(2, backoff_end));
  BOOST_TEST(!backoff.permits_call(3, backoff_end));
  for (int answer = 0; answer < 20; ++answer) {
    backoff.note_answer(backoff_end, slots);
  }
  BOOST_TEST(backoff.permits_call(slots - 1, backoff_end));
  BOOST_TEST(!backoff.permits_call(slots, backoff_end));
}

BOOST_AUTO_TEST_CASE(answers_to_calls_made_before_the_backoff_allow_no_more_calls) {
  replica_backoff backoff;
  backoff.note_requested(seconds(1), 0, start);
  for (int answer = 0; answer < 20; ++answer) {
    backoff.note_answer(start - milliseconds(1), slots);
  }
  BOOST_TEST(!backoff.permits_call(0, start + milliseconds(999)));
  BOOST_TEST(!backoff.permits_call(1, start + seconds(1)));
}

BOOST_AUTO_TEST_CASE(calls_made_before_the_backoff_do_not_count_in_the_slow_start) {
  replica_backoff backoff;
  backoff.note_requested(seconds(1), 5, start);
  const auto backoff_end = start + seconds(1);
  BOOST_TEST(backoff.permits_call(5, backoff_end));
  BOOST_TEST(!backoff.permits_call(6, backoff_end));
  backoff.note_call_ended(2);
  BOOST_TEST(backoff.permits_call(2, backoff_end));
  BOOST_TEST(!backoff.permits_call(3, backoff_end));
}

BOOST_AUTO_TEST_CASE(a_rejected_call_restarts_the_slow_start) {
  replica_backoff backoff;
  backoff.note_requested(seconds(1), 0, start);
  const auto backoff_end = start + seconds(1);
  backoff.note_answer(backoff_end, slots);
  backoff.note_rejected();
  BOOST_TEST(!backoff.permits_call(1, backoff_end));
}

BOOST_AUTO_TEST_CASE(the_slow_start_ends_after_its_duration) {
  replica_backoff backoff;
  backoff.note_requested(seconds(1), 0, start);
  BOOST_TEST(!backoff.permits_call(1, start + seconds(1) + slow_start_duration - milliseconds(1)));
  BOOST_TEST(backoff.permits_call(100, start + seconds(1) + slow_start_duration));
}

BOOST_AUTO_TEST_SUITE_END()
