#include "engines/first_byte_model.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>

using namespace spurrack;
using serving::first_byte_model;

BOOST_AUTO_TEST_SUITE(first_byte_model_test)

BOOST_AUTO_TEST_CASE(without_calls_the_default_time_is_expected) {
  BOOST_TEST((first_byte_model{}.expected_time(5000) == std::chrono::milliseconds(300)));
}

BOOST_AUTO_TEST_CASE(long_prompts_are_expected_to_take_longer) {
  first_byte_model model;
  for (std::uint32_t call = 0; call < 20; ++call) {
    const auto tokens = 1000 * (1 + call % 4);
    model.record_call(tokens, std::chrono::milliseconds(50 + tokens / 40));
  }
  BOOST_TEST(std::abs(base::to_milliseconds(model.expected_time(8000)) - 250) <= 2);
  BOOST_TEST(std::abs(base::to_milliseconds(model.expected_time(1000)) - 75) <= 2);
}

BOOST_AUTO_TEST_CASE(after_calls_of_one_length_the_mean_time_is_expected_for_any_prompt) {
  first_byte_model model;
  for (const int milliseconds : {100, 200, 100, 200, 100, 200}) {
    model.record_call(500, std::chrono::milliseconds(milliseconds));
  }
  const auto expected = base::to_milliseconds(model.expected_time(4000));
  BOOST_TEST(expected > 140);
  BOOST_TEST(expected < 160);
}

BOOST_AUTO_TEST_CASE(recent_calls_weigh_more) {
  first_byte_model model;
  for (int call = 0; call < 100; ++call) {
    model.record_call(500, std::chrono::milliseconds(call < 50 ? 1000 : 100));
  }
  BOOST_TEST(base::to_milliseconds(model.expected_time(500)) < 450);
}

BOOST_AUTO_TEST_SUITE_END()
