#include "engines/engine_accounting.h"

#include "engines/prefill_rate.h"

#include <boost/test/unit_test.hpp>

using namespace spurrack;
using namespace spurrack::serving;

namespace {
constexpr double rate = 50'000;
const base::time_point start{std::chrono::hours(1)};
} // namespace

BOOST_AUTO_TEST_SUITE(engine_account_test)

BOOST_AUTO_TEST_CASE(shared_parts_are_read_once) {
  engine_accounting account(400'000);
  BOOST_TEST(account.record_send({500, 7, 10'000}, rate, start) == 10'500U);
  BOOST_TEST(account.record_send({600, 7, 10'000}, rate, start) == 600U);
  BOOST_TEST(account.record_send({600, 8, 10'000}, rate, start) == 10'600U);
  BOOST_TEST(account.record_send({600, 0, 0}, rate, start) == 600U);
}

BOOST_AUTO_TEST_CASE(what_was_used_the_longest_ago_gives_way) {
  prefix_cache_model parts(25'000);
  BOOST_TEST(!parts.use({0, 1, 10'000}));
  BOOST_TEST(!parts.use({0, 2, 10'000}));
  BOOST_TEST(parts.use({0, 1, 10'000}));
  BOOST_TEST(!parts.use({4'000, 3, 10'000}));
  BOOST_TEST(parts.used_tokens() <= 25'000U);
  BOOST_TEST(parts.use({0, 3, 10'000}));
  BOOST_TEST(!parts.use({0, 2, 10'000}));
}

BOOST_AUTO_TEST_CASE(unread_tokens_fall_as_the_engine_reads) {
  prefill_backlog unread;
  unread.add(100'000, rate, start);
  BOOST_TEST(unread.level(rate, start + std::chrono::seconds(1)) == 50'000);
  unread.raise_to(30'000, rate, start + std::chrono::seconds(1));
  BOOST_TEST(unread.level(rate, start + std::chrono::seconds(1)) == 50'000);
  BOOST_TEST(unread.level(rate, start + std::chrono::seconds(3)) == 0);
}

BOOST_AUTO_TEST_CASE(only_a_long_wait_is_told_and_again_only_when_it_grew) {
  engine_accounting account(400'000);
  account.record_send({30'000, 0, 0}, rate, start);
  BOOST_TEST(!account.backlog_to_report(rate, start));
  account.record_send({15'000, 0, 0}, rate, start);
  BOOST_REQUIRE(account.backlog_to_report(rate, start));
  BOOST_TEST(*account.backlog_to_report(rate, start) == 45'000U);
  account.note_reported(45'000, rate, start);
  BOOST_TEST(!account.backlog_to_report(rate, start));
  account.record_send({5'000, 0, 0}, rate, start);
  BOOST_TEST(!account.backlog_to_report(rate, start));
  account.record_send({6'000, 0, 0}, rate, start);
  BOOST_TEST(account.backlog_to_report(rate, start).has_value());
}

BOOST_AUTO_TEST_CASE(the_rate_is_near_the_best_that_calls_show) {
  prefill_rate subject;
  for (int call = 0; call < 200; ++call) {
    // One call in ten finds its engine idle, the others wait as long again or three times.
    const int factor = call % 10 == 0 ? 1 : 2 + call % 2 * 2;
    subject.note(5'000, std::chrono::milliseconds(100 * factor));
  }
  BOOST_TEST(subject.tokens_per_second() > 25'000);
  BOOST_TEST(subject.tokens_per_second() < 52'000);
  const double before = subject.tokens_per_second();
  subject.note(100, std::chrono::milliseconds(100));
  BOOST_TEST(subject.tokens_per_second() == before);
}

BOOST_AUTO_TEST_SUITE_END()
