#include "ctl/request_log.h"

#include <boost/test/unit_test.hpp>

#include <sstream>

using namespace spurrack::ctl;

namespace {

std::string line(std::uint64_t at_us, const std::string& node, const std::string& kind,
                 const std::string& request, const std::string& subject,
                 const std::string& detail) {
  return R"({"at_us":)" + std::to_string(at_us) + R"(,"severity":"info","node":")" + node +
         R"(","zone":"z","message":")" + kind + R"(","request_id":")" + request +
         R"(","subject":")" + subject + R"(","detail":")" + detail + "\"}\n";
}

request_log read(const std::string& text) {
  request_log log;
  std::istringstream lines(text);
  read_log(lines, log);
  return log;
}

} // namespace

BOOST_AUTO_TEST_SUITE(request_log_test)

BOOST_AUTO_TEST_CASE(events_of_a_request_are_merged_from_the_logs_of_several_nodes) {
  const auto log = read(line(3'000, "b", "stage_completed", "r1", "pool", "4 pieces") +
                        line(9'000, "a", "request_answered", "r2", "200", "") +
                        line(1'000, "a", "request_received", "r1", "route", ""));
  const auto events = events_of(log, "r1");
  BOOST_REQUIRE(events.size() == 2);
  BOOST_TEST(events[0].node == "a");
  BOOST_TEST(events[1].kind == "stage_completed");
  std::ostringstream out;
  print(events, out);
  BOOST_TEST(out.str().find("2 ms  b  stage_completed  pool  4 pieces") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(dropped_and_unreadable_lines_are_counted) {
  const auto log = read("12.004 node-a " + line(1, "a", "request_received", "r", "x", "") +
                        "half a line {\"at_us\":\n\n" +
                        R"({"at_us":5,"message":"ready","lines_dropped_before":7})" + "\n");
  BOOST_TEST(log.events.size() == 1);
  BOOST_TEST(log.unreadable_lines == 1);
  BOOST_TEST(log.dropped_lines == 7);
}

BOOST_AUTO_TEST_CASE(requests_are_summarized_by_route_and_by_cause) {
  std::string text;
  for (int request = 0; request < 98; ++request) {
    const auto id = "ok" + std::to_string(request);
    text += line(0, "a", "request_received", id, "read", "");
    text += line(1, "a", "request_answered", id, "200", "");
  }
  text += line(1'000, "a", "request_received", "slow", "read", "");
  text += line(2'000, "a", "stage_retried", "slow", "replica", "status 500");
  text += line(5'001'000, "a", "request_answered", "slow", "504", "deadline passed");
  text += line(1'000, "a", "request_received", "no", "read", "");
  text += line(3'000, "a", "request_answered", "no", "503", "expected to take 912 ms");
  text += line(1'000, "a", "request_received", "gone", "read", "");
  text += line(3'000, "a", "request_answered", "gone", "0", "the client left");
  text += line(1'000, "a", "request_received", "open", "write", "");
  const auto summary = summarize(read(text));
  BOOST_REQUIRE(summary.routes.size() == 2);
  const auto& read_route = summary.routes.front();
  BOOST_TEST(read_route.requests == 101);
  BOOST_TEST(read_route.served == 98);
  BOOST_TEST(read_route.refused == 1);
  BOOST_TEST(read_route.failed == 1);
  BOOST_TEST(read_route.client_disconnected == 1);
  BOOST_TEST(read_route.retries == 1);
  BOOST_TEST(read_route.nines() == 1.699, boost::test_tools::tolerance(0.001));
  BOOST_TEST(read_route.max_unserved_ms == 5'000);
  BOOST_TEST(summary.routes.back().unanswered == 1);
  BOOST_REQUIRE(summary.causes.size() == 2);
  BOOST_TEST(summary.causes.front().requests == 1);
  BOOST_TEST(summary.causes.front().cause == "503 expected to take # ms");
}

BOOST_AUTO_TEST_CASE(availability_is_nine_nines_if_all_requests_are_served) {
  const auto summary = summarize(read(line(0, "a", "request_received", "r", "x", "") +
                                      line(1, "a", "request_answered", "r", "200", "")));
  BOOST_TEST(summary.routes.front().nines() == 9);
}

BOOST_AUTO_TEST_SUITE_END()
