/// Checks with which the clients of the fault soak tell the answer of one run from bytes of several
/// runs. Guards against a soak that passes although answers are mixed.
#include "received_answer.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstddef>
#include <string>
#include <vector>

namespace {

using namespace spurrack::platform_tests;

const std::string id = "c1x2";
const std::string first_run = "i-model0.17";
const std::string second_run = "i-model1.23";

/// @return every text that consists of the first bytes of `first` and the bytes of `second` from
/// the
///         same place on.
std::vector<std::string> joins_of(const std::string& first, const std::string& second) {
  std::vector<std::string> joins;
  for (std::size_t cut = 1; cut < std::min(first.size(), second.size()); ++cut) {
    joins.push_back(first.substr(0, cut) + second.substr(cut));
  }
  return joins;
}

} // namespace

BOOST_AUTO_TEST_SUITE(received_answer_test)

BOOST_AUTO_TEST_CASE(every_beginning_of_an_event_or_answer_is_accepted) {
  const auto event = soak_request::event(id, 3, {"v1", first_run});
  for (std::size_t size = 0; size <= event.size(); ++size) {
    BOOST_TEST(is_beginning_of_event(id, 3, event.substr(0, size)));
  }
  const auto answer = soak_request::answer(id, first_run);
  for (std::size_t size = 0; size <= answer.size(); ++size) {
    BOOST_TEST_REQUIRE(is_beginning_of_answer(id, answer.substr(0, size)));
    BOOST_TEST_REQUIRE(is_whole_answer(id, answer.substr(0, size)) == (size == answer.size()));
  }
}

// A join inside the shared beginning of both runs' texts equals the second text, and is no mix.
BOOST_AUTO_TEST_CASE(a_join_of_two_runs_is_found_at_every_byte) {
  const event_origin first{"v1", first_run};
  const event_origin second{"v1", second_run};
  const auto event = soak_request::event(id, 3, first);
  const auto other_event = soak_request::event(id, 3, second);
  for (const auto& joined : joins_of(event, other_event)) {
    const bool is_of_one_run = joined == event || joined == other_event;
    BOOST_TEST(origin_of_event(id, 3, joined).has_value() == is_of_one_run);
  }
  const auto answer = soak_request::answer(id, first_run);
  const auto other_answer = soak_request::answer(id, second_run);
  for (const auto& joined : joins_of(answer, other_answer)) {
    const bool is_of_one_run = joined == answer || joined == other_answer;
    BOOST_TEST_REQUIRE(is_whole_answer(id, joined) == is_of_one_run);
  }
}

BOOST_AUTO_TEST_CASE(wrong_numbers_and_partial_events_are_found) {
  const auto event = soak_request::event(id, 3, {"v1", first_run});
  BOOST_TEST(!origin_of_event(id, 4, event));
  BOOST_TEST(!origin_of_event("c1x3", 3, event));
  BOOST_TEST(!is_beginning_of_event(id, 4, event));
  BOOST_TEST(!is_beginning_of_event(id, 3, event.substr(0, event.size() / 2) + event));
}

BOOST_AUTO_TEST_SUITE_END()
