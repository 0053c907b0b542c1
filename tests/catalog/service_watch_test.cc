/// Schedule of the reads of a platform service: intervals between reads, restarts of watches, and
/// answers of another era.
#include "catalog/service_watch.h"

#include <boost/test/unit_test.hpp>

using namespace spurrack;
using namespace spurrack::catalog;

namespace {

constexpr base::time_point start{std::chrono::hours(1)};

} // namespace

BOOST_AUTO_TEST_SUITE(service_watch_test)

BOOST_AUTO_TEST_CASE(burst_of_changes_takes_few_reads) {
  service_watch subject;
  auto now = start;
  std::size_t calls = 0;
  base::revision revision = 1;
  // The service answers each read at once, because an entry changes every 10 ms.
  for (; now < start + std::chrono::seconds(1); now += std::chrono::milliseconds(10)) {
    if (subject.next_read(true, now)) {
      ++calls;
      subject.on_answer({std::nullopt, ++revision, false}, true, now);
    }
  }
  BOOST_TEST(calls <= 6U);
}

BOOST_AUTO_TEST_CASE(read_interval_grows_while_changes_continue) {
  watch_timing timing;
  timing.max_read_interval = std::chrono::milliseconds(800);
  service_watch subject(timing);
  auto now = start;
  std::size_t calls = 0;
  base::revision revision = 1;
  for (; now < start + std::chrono::seconds(6); now += std::chrono::milliseconds(10)) {
    if (subject.next_read(true, now)) {
      ++calls;
      subject.on_answer({std::nullopt, ++revision, false}, true, now);
    }
  }
  // Each answer doubles the interval until the next read, from 0.2 s to 0.4 s and then to the
  // maximum of 0.8 s.
  BOOST_TEST(calls <= 10U);
  // After a time without changes, the interval between an answer with a change and the next read is
  // `min_read_interval` again.
  now += std::chrono::seconds(5);
  BOOST_TEST(subject.next_read(true, now).has_value());
  now += std::chrono::seconds(1);
  subject.on_answer({std::nullopt, ++revision, false}, true, now);
  BOOST_TEST(subject.next_read(true, now + service_watch::min_read_interval).has_value());
}

BOOST_AUTO_TEST_CASE(next_watch_starts_at_once_after_an_answer_without_changes) {
  service_watch subject;
  BOOST_TEST(subject.next_read(true, start).has_value());
  subject.on_answer({std::nullopt, 7, false}, false, start);
  const auto after = subject.next_read(true, start);
  BOOST_REQUIRE(after.has_value());
  BOOST_TEST(*after == 7U);
}

BOOST_AUTO_TEST_CASE(retry_interval_grows_while_the_service_does_not_answer) {
  service_watch subject;
  auto now = start;
  std::size_t calls = 0;
  for (; now < start + std::chrono::seconds(4); now += std::chrono::milliseconds(10)) {
    if (subject.next_read(true, now)) {
      ++calls;
      subject.on_failure(now);
    }
  }
  BOOST_TEST(calls == 5U);
}

BOOST_AUTO_TEST_CASE(watch_is_restarted_if_it_does_not_report_what_other_nodes_know) {
  service_watch subject;
  auto now = start;
  subject.next_read(true, now);
  subject.on_answer({1, 100, true}, true, now);
  now += std::chrono::seconds(1);
  BOOST_TEST((subject.next_read(true, now) == 100U));
  // An entry from a peer does not restart the watch immediately, because the answer of the service
  // often arrives shortly afterwards.
  subject.note_latest_revision(1, 101, now);
  now += service_watch::lost_answer_timeout / 2;
  subject.note_latest_revision(1, 101, now);
  BOOST_TEST(!subject.next_read(true, now).has_value());
  now += service_watch::lost_answer_timeout / 2;
  subject.note_latest_revision(1, 101, now);
  BOOST_TEST((subject.next_read(true, now) == 100U));
}

BOOST_AUTO_TEST_CASE(watch_is_restarted_once_for_a_revision_without_changes) {
  service_watch subject;
  auto now = start;
  subject.next_read(true, now);
  subject.on_answer({1, 100, true}, true, now);
  now += std::chrono::seconds(1);
  std::size_t reads = 0;
  for (int step = 0; step < 50; ++step) {
    subject.note_latest_revision(1, 105, now);
    reads += subject.next_read(true, now).has_value() ? 1 : 0;
    now += std::chrono::milliseconds(100);
  }
  BOOST_TEST(reads == 2U);
}

BOOST_AUTO_TEST_CASE(watch_is_not_restarted_for_a_revision_of_another_era) {
  service_watch subject;
  auto now = start;
  subject.next_read(true, now);
  subject.on_answer({2, 100, true}, true, now);
  now += std::chrono::seconds(1);
  BOOST_TEST(subject.next_read(true, now).has_value());
  for (int step = 0; step < 50; ++step) {
    subject.note_latest_revision(1, 900, now);
    BOOST_TEST(!subject.next_read(true, now).has_value());
    now += std::chrono::milliseconds(100);
  }
}

BOOST_AUTO_TEST_CASE(a_new_era_is_listed_at_once_and_once_more_when_what_was_lost_is_back) {
  service_watch subject;
  auto now = start;
  subject.next_read(true, now);
  subject.on_answer({1, 100, true}, true, now);
  now += std::chrono::seconds(10);
  BOOST_TEST((subject.next_read(true, now) == 100U));
  const auto meaning = subject.on_answer({2, 90, false}, true, now);
  BOOST_TEST(meaning.is_new_era);
  BOOST_TEST(!meaning.has_earlier_revision);
  BOOST_TEST((subject.next_read(true, now) == 0U));
  BOOST_TEST(!subject.on_answer({2, 91, true}, true, now).should_delete_unlisted);
  now += std::chrono::seconds(1);
  BOOST_TEST((subject.next_read(true, now) == 91U));
  subject.on_answer({2, 92, false}, false, now);
  now += std::chrono::seconds(3);
  BOOST_TEST((subject.next_read(true, now) == 0U));
  BOOST_TEST(subject.on_answer({2, 93, true}, true, now).should_delete_unlisted);
  now += std::chrono::seconds(1);
  BOOST_TEST((subject.next_read(true, now) == 93U));
}

BOOST_AUTO_TEST_CASE(two_eras_in_a_row_each_begin_a_listing) {
  service_watch subject;
  auto now = start;
  subject.next_read(true, now);
  subject.on_answer({1, 100, true}, true, now);
  for (base::store_era era = 2; era <= 3; ++era) {
    now += std::chrono::seconds(1);
    subject.next_read(true, now);
    BOOST_TEST(subject.on_answer({era, 80, false}, false, now).is_new_era);
    BOOST_TEST((subject.next_read(true, now) == 0U));
    subject.on_answer({era, 80, true}, true, now);
  }
}

BOOST_AUTO_TEST_CASE(
    an_answer_of_an_earlier_era_is_passed_over_and_one_that_tells_none_is_of_the_last) {
  service_watch subject;
  subject.next_read(true, start);
  subject.on_answer({5, 100, true}, true, start);
  const auto outdated = subject.on_answer({4, 200, false}, true, start);
  BOOST_TEST(outdated.is_outdated);
  const auto without_era = subject.on_answer({std::nullopt, 101, false}, true, start);
  BOOST_TEST(!without_era.is_outdated);
  BOOST_TEST(without_era.era == 5U);
}

BOOST_AUTO_TEST_CASE(answer_of_an_era_far_ahead_is_implausible) {
  service_watch subject;
  subject.next_read(true, start);
  subject.on_answer({5, 100, true}, true, start);
  BOOST_TEST(subject.on_answer({900'000'000, 100, true}, true, start).is_implausible);
  const auto next = subject.on_answer({6, 90, false}, true, start);
  BOOST_TEST(next.is_new_era);
}

BOOST_AUTO_TEST_CASE(first_known_era_is_not_a_new_era) {
  service_watch subject;
  subject.next_read(true, start);
  const auto meaning = subject.on_answer({7, 100, true}, true, start);
  BOOST_TEST(!meaning.is_new_era);
  BOOST_TEST(meaning.should_delete_unlisted);
}

// Guards against an answer that verifies a time after the sending of its read.
BOOST_AUTO_TEST_CASE(an_answer_verifies_the_time_at_which_its_read_was_sent) {
  service_watch subject;
  subject.next_read(true, start);
  // The first listing may be stale.
  BOOST_TEST(!subject.on_answer({std::nullopt, 100, true}, true, start).verified_at.has_value());
  const auto sent_at = start + std::chrono::seconds(1);
  BOOST_TEST((subject.next_read(true, sent_at) == 100U));
  const auto read_at = sent_at + std::chrono::seconds(5);
  const auto meaning = subject.on_answer({std::nullopt, 101, false}, true, read_at);
  BOOST_TEST((meaning.verified_at == sent_at));
  // No read is pending.
  BOOST_TEST(!subject.on_answer({std::nullopt, 102, false}, true, read_at).verified_at.has_value());
}

// Guards against a store that does not see its latest entries.
BOOST_AUTO_TEST_CASE(an_answer_with_an_earlier_revision_verifies_nothing) {
  service_watch subject;
  auto now = start;
  subject.next_read(true, now);
  subject.on_answer({std::nullopt, 100, true}, true, now);
  subject.note_known_through({0, 120}, now);
  now += std::chrono::seconds(1);
  BOOST_TEST((subject.next_read(true, now) == 120U));
  BOOST_TEST(!subject.on_answer({std::nullopt, 110, false}, false, now).verified_at.has_value());
}

// Guards against a restored store whose lost entries are not back yet.
BOOST_AUTO_TEST_CASE(a_new_era_verifies_nothing_before_its_second_listing_is_answered) {
  for (const bool is_first_known_era : {false, true}) {
    service_watch subject;
    auto now = start;
    if (!is_first_known_era) {
      subject.next_read(true, now);
      subject.on_answer({1, 100, true}, true, now);
      now += std::chrono::seconds(10);
    }
    subject.next_read(true, now);
    BOOST_TEST(!subject.on_answer({2, 90, is_first_known_era}, true, now).verified_at.has_value());
    const auto settled_at = now + service_watch::era_settle_time;
    while (now < settled_at) {
      subject.request_read(now);
      const auto after = subject.next_read(true, now);
      const auto meaning = subject.on_answer({2, 91, after == base::revision(0)}, false, now);
      BOOST_TEST(!meaning.verified_at.has_value());
      now += std::chrono::milliseconds(100);
    }
    const auto after = subject.next_read(true, now);
    BOOST_TEST((after == base::revision(0)) == !is_first_known_era);
    const auto meaning = subject.on_answer({2, 93, after == base::revision(0)}, false, now);
    BOOST_TEST((meaning.verified_at == now));
  }
}

// Guards against a new era that this node knows from a peer while the service answers of the
// earlier era.
BOOST_AUTO_TEST_CASE(an_answer_of_an_era_before_that_of_a_peer_verifies_nothing) {
  service_watch subject;
  auto now = start;
  subject.next_read(true, now);
  subject.on_answer({1, 100, true}, true, now);
  now += std::chrono::seconds(10);
  subject.note_known_through({2, 90}, now);
  now += std::chrono::seconds(10);
  subject.next_read(true, now);
  BOOST_TEST(!subject.on_answer({1, 100, false}, false, now).verified_at.has_value());
}

// Guards against an age that counts from the reading of an answer, which may have waited in a
// socket while this process stood.
BOOST_AUTO_TEST_CASE(an_early_answer_confirms_no_time_after_it_left_the_service) {
  constexpr auto left_after = std::chrono::milliseconds(100);
  for (const auto read_after : {500, 1000, 1900, 2500, 5000}) {
    service_watch subject;
    subject.next_read(true, start);
    subject.on_answer({1, 100, true}, true, start);
    const auto sent_at = start + std::chrono::seconds(1);
    BOOST_REQUIRE(subject.next_read(true, sent_at).has_value());
    const auto read_at = sent_at + std::chrono::milliseconds(read_after);
    const auto confirmed_at = subject.on_answer({1, 101, false}, true, read_at).confirmed_at;
    BOOST_REQUIRE(confirmed_at.has_value());
    const base::duration too_late = *confirmed_at - (sent_at + left_after);
    BOOST_TEST((too_late <= base::duration{}),
               "read after " << read_after << " ms: " << base::to_milliseconds(too_late)
                             << " ms too late");
  }
}

// Guards against an answer without entries that came early and waited in a socket over a stand.
BOOST_AUTO_TEST_CASE(an_empty_answer_after_a_stand_confirms_the_time_of_its_call) {
  for (const bool has_stood : {false, true}) {
    service_watch subject;
    subject.next_read(true, start);
    subject.on_answer({1, 100, true}, true, start);
    const auto sent_at = start + std::chrono::seconds(1);
    subject.next_read(true, sent_at);
    subject.set_hold_time(std::chrono::milliseconds(850));
    if (has_stood) {
      subject.note_stand();
    }
    const auto read_at = sent_at + std::chrono::seconds(5);
    const auto confirmed_at = subject.on_answer({1, 100, false}, false, read_at).confirmed_at;
    // Without a stand, the service held the answer for the whole hold time.
    const auto expected = has_stood ? sent_at : sent_at + std::chrono::milliseconds(850);
    BOOST_TEST((confirmed_at == expected));
    subject.next_read(true, read_at);
    subject.set_hold_time(std::chrono::milliseconds(850));
    const auto next = subject.on_answer({1, 100, false}, false, read_at + std::chrono::seconds(1));
    BOOST_TEST((next.confirmed_at == read_at + std::chrono::milliseconds(850)));
  }
}

// Guards against ages that grow because an early answer confirms an earlier time.
BOOST_AUTO_TEST_CASE(an_early_answer_does_not_delay_the_next_confirmation) {
  constexpr base::duration hold_time = std::chrono::milliseconds(850);
  for (int left_after = 0; left_after < 850; left_after += 50) {
    service_watch subject;
    subject.next_read(true, start);
    subject.on_answer({1, 100, true}, true, start);
    auto now = start + std::chrono::seconds(1);
    subject.next_read(true, now);
    subject.set_hold_time(hold_time);
    now += std::chrono::milliseconds(left_after);
    const auto early = subject.on_answer({1, 101, false}, true, now).confirmed_at;
    while (!subject.next_read(true, now)) {
      now += std::chrono::milliseconds(1);
    }
    const auto remaining = subject.remaining_hold_time(hold_time, now);
    subject.set_hold_time(remaining);
    now += remaining;
    const auto next = subject.on_answer({1, 101, false}, false, now).confirmed_at;
    BOOST_REQUIRE((early.has_value() && next.has_value()));
    BOOST_TEST((*next - *early <= hold_time + service_watch::immediate_hold_time));
  }
}

// Guards against a listing that left a restored store at once, lay in a socket over a stand, and
// deletes what the store got back meanwhile.
BOOST_AUTO_TEST_CASE(
    a_listing_sent_before_the_era_settled_deletes_nothing_however_late_it_is_read) {
  service_watch subject;
  auto now = start;
  subject.next_read(true, now);
  subject.on_answer({1, 100, true}, true, now);
  now += std::chrono::seconds(10);
  subject.next_read(true, now);
  BOOST_REQUIRE(subject.on_answer({2, 90, false}, true, now).is_new_era);
  BOOST_REQUIRE((subject.next_read(true, now) == 0U));
  now += service_watch::era_settle_time + std::chrono::seconds(1);
  const auto late = subject.on_answer({2, 90, true}, true, now);
  BOOST_TEST(!late.should_delete_unlisted);
  BOOST_TEST(!late.verified_at.has_value());
  now += std::chrono::seconds(1);
  BOOST_TEST((subject.next_read(true, now) == 0U));
  const auto second = subject.on_answer({2, 93, true}, true, now);
  BOOST_TEST(second.should_delete_unlisted);
  BOOST_TEST((second.verified_at == now));
}

BOOST_AUTO_TEST_SUITE_END()
