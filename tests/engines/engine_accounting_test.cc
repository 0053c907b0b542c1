#include "engines/engine_accounting.h"

#include "engines/prefill_rate.h"

#include <boost/test/unit_test.hpp>

using namespace spurrack;
using namespace spurrack::serving;

namespace {
constexpr double rate = 50'000;
const base::time_point start{std::chrono::hours(1)};
} // namespace

BOOST_AUTO_TEST_SUITE(engine_accounting_test)

BOOST_AUTO_TEST_CASE(a_shared_prefix_is_prefilled_once) {
  engine_accounting accounting(400'000);
  BOOST_TEST(accounting.record_send({500, 7, 10'000}, rate, start) == 10'500U);
  BOOST_TEST(accounting.record_send({600, 7, 10'000}, rate, start) == 600U);
  BOOST_TEST(accounting.record_send({600, 8, 10'000}, rate, start) == 10'600U);
  BOOST_TEST(accounting.record_send({600, 0, 0}, rate, start) == 600U);
}

BOOST_AUTO_TEST_CASE(the_least_recently_used_prefix_is_evicted) {
  prefix_cache_model cache(25'000);
  BOOST_TEST(!cache.use({0, 1, 10'000}));
  BOOST_TEST(!cache.use({0, 2, 10'000}));
  BOOST_TEST(cache.use({0, 1, 10'000}));
  BOOST_TEST(!cache.use({4'000, 3, 10'000}));
  BOOST_TEST(cache.used_tokens() <= 25'000U);
  BOOST_TEST(cache.use({0, 3, 10'000}));
  BOOST_TEST(!cache.use({0, 2, 10'000}));
}

BOOST_AUTO_TEST_CASE(a_backlog_decreases_at_the_prefill_rate) {
  prefill_backlog backlog;
  backlog.add(100'000, rate, start);
  BOOST_TEST(backlog.level(rate, start + std::chrono::seconds(1)) == 50'000);
  backlog.raise_to(30'000, rate, start + std::chrono::seconds(1));
  BOOST_TEST(backlog.level(rate, start + std::chrono::seconds(1)) == 50'000);
  BOOST_TEST(backlog.level(rate, start + std::chrono::seconds(3)) == 0);
}

BOOST_AUTO_TEST_CASE(only_a_long_backlog_is_reported_and_again_only_after_growth) {
  engine_accounting accounting(400'000);
  accounting.record_send({30'000, 0, 0}, rate, start);
  BOOST_TEST(!accounting.backlog_to_report(rate, start));
  accounting.record_send({15'000, 0, 0}, rate, start);
  BOOST_REQUIRE(accounting.backlog_to_report(rate, start));
  BOOST_TEST(*accounting.backlog_to_report(rate, start) == 45'000U);
  accounting.note_reported(45'000, rate, start);
  BOOST_TEST(!accounting.backlog_to_report(rate, start));
  accounting.record_send({5'000, 0, 0}, rate, start);
  BOOST_TEST(!accounting.backlog_to_report(rate, start));
  accounting.record_send({6'000, 0, 0}, rate, start);
  BOOST_TEST(accounting.backlog_to_report(rate, start).has_value());
}

BOOST_AUTO_TEST_CASE(the_prefill_rate_stays_near_the_highest_observed_rate) {
  prefill_rate estimate;
  for (int call = 0; call < 200; ++call) {
    // One call in ten finds its engine idle. The other calls also wait for other prompts at the
    // engine, for one prefill time or for three.
    const int factor = call % 10 == 0 ? 1 : 2 + call % 2 * 2;
    estimate.note(5'000, std::chrono::milliseconds(100 * factor));
  }
  BOOST_TEST(estimate.tokens_per_second() > 25'000);
  BOOST_TEST(estimate.tokens_per_second() < 52'000);
  const double rate_before = estimate.tokens_per_second();
  estimate.note(100, std::chrono::milliseconds(100));
  BOOST_TEST(estimate.tokens_per_second() == rate_before);
}

BOOST_AUTO_TEST_SUITE_END()
