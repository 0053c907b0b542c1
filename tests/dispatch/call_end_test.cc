/// Guards against a way to end a call that leaves nothing to count an exit of its replica later:
/// each reason must be decided on here.
#include "dispatch/call_end.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>

using namespace spurrack::serving;

BOOST_AUTO_TEST_SUITE(call_end_test)

BOOST_AUTO_TEST_CASE(each_reason_leaves_what_an_exit_needs) {
  const std::map<call_end, call_trace> expected{
      {call_end::whole_answer, call_trace::none},
      {call_end::failed_answer, call_trace::none},
      {call_end::not_run, call_trace::none},
      {call_end::not_settled, call_trace::none},
      {call_end::relay_ended, call_trace::none},
      {call_end::restarted_replica, call_trace::none},
      {call_end::connection_ended, call_trace::lost},
      {call_end::connection_refused, call_trace::lost},
      {call_end::connection_timed_out, call_trace::silent},
      {call_end::silence, call_trace::silent},
      {call_end::client_left, call_trace::abandoned},
      {call_end::client_too_slow, call_trace::abandoned},
      {call_end::deadline_passed, call_trace::abandoned},
      {call_end::no_memory, call_trace::abandoned},
      {call_end::given_up, call_trace::abandoned}};
  BOOST_TEST(expected.size() == call_end_count);
  std::set<std::string_view> names;
  for (const auto& [end, trace] : expected) {
    BOOST_TEST((trace_of(end) == trace), name_of(end));
    names.insert(name_of(end));
  }
  BOOST_TEST(names.size() == call_end_count);
}

BOOST_AUTO_TEST_SUITE_END()
