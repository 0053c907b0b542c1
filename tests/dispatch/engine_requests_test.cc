/// Requests to engines: memory limit, shared prefixes, and prompts that wait behind other prompts.
#include "serving_fixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <set>
#include <string>

using namespace spurrack;
using namespace spurrack::serving;

namespace {

/// Both zones are in one region, so that both engines are nearby.
serving_settings settings_with_large_retry_budget() {
  serving_settings settings;
  settings.regions = model::zone_regions({{base::zone_id("a"), base::region_id("region")},
                                          {base::zone_id("b"), base::region_id("region")}});
  settings.retry.allowance = 100;
  return settings;
}

/// A service of engines with memory for 10,000 tokens.
class engine_driver : public dispatcher_driver {
 public:
  engine_driver() : dispatcher_driver(settings_with_large_retry_budget()) {
    for (auto& service : *published.configuration.mutable_services()) {
      if (service.name() == "llm") {
        service.mutable_engine()->set_memory_tokens(10'000);
      }
    }
    published.publish_configuration();
    // With this number of slots the choice of an engine depends on its prefill backlog, not on its
    // number of calls.
    constexpr std::uint32_t slots = 64;
    published.add_replica("llm-a", "llm", "a", false, 0, slots);
    published.add_replica("llm-b", "llm", "b", false, 0, slots);
    subject.update(published.content, now);
  }

  void send_prompt(base::caller_id client, std::uint32_t prompt_tokens,
                   std::uint32_t output_tokens) {
    send_prompt(client, prompt_tokens, output_tokens, prompt_tokens / 2);
  }

  void send_prompt(base::caller_id client, std::uint32_t prompt_tokens, std::uint32_t output_tokens,
                   std::uint32_t shared_tokens) {
    auto content = content_for(client, "/stream/");
    content->model = "m";
    content->prompt_tokens = prompt_tokens;
    content->output_tokens = output_tokens;
    content->prompt_parts = {{"shared", shared_tokens}, {"own", prompt_tokens - shared_tokens}};
    deliver(request_arrived{client, content, now});
  }

  [[nodiscard]] bool is_cancelled(base::call_id call) const {
    const auto cancelled = all<cancel_call>();
    return std::any_of(cancelled.begin(), cancelled.end(),
                       [call](const cancel_call& one) { return one.call == call; });
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(engine_requests_test, engine_driver)

BOOST_AUTO_TEST_CASE(a_request_larger_than_an_engine_is_refused_at_once_and_for_good) {
  send_prompt(1, 9'500, 501);
  const auto answer = last<respond>();
  BOOST_TEST(answer.status == 503U);
  BOOST_TEST(std::none_of(answer.headers.begin(), answer.headers.end(),
                          [](const header& field) { return field.name == "Retry-After"; }));
  BOOST_TEST(all<start_call>().empty());
  BOOST_TEST(subject.active_requests() == 0U);
}

BOOST_AUTO_TEST_CASE(request_that_fills_engine_memory_is_sent) {
  send_prompt(1, 9'500, 500);
  BOOST_TEST(all<start_call>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(requests_with_shared_prefix_go_to_one_engine) {
  for (base::caller_id client = 1; client <= 6; ++client) {
    send_prompt(client, 200, 10, 190);
  }
  const auto calls = all<start_call>();
  BOOST_TEST(calls.size() == 6U);
  for (const auto& call : calls) {
    BOOST_TEST(call.target.replica == calls.front().target.replica);
  }
}

BOOST_AUTO_TEST_CASE(request_goes_to_second_engine_if_engine_with_its_prefix_is_backlogged) {
  send_prompt(1, 9'500, 500, 1'000);
  send_prompt(2, 9'500, 500, 1'000);
  const auto calls = all<start_call>();
  BOOST_REQUIRE(calls.size() == 2U);
  BOOST_TEST(calls.front().target.replica != calls.back().target.replica);
}

BOOST_AUTO_TEST_CASE(prompt_behind_backlog_is_not_retried_at_target_latency) {
  for (base::caller_id client = 1; client <= 10; ++client) {
    send_prompt(client, 9'500, 500);
  }
  const auto calls = all<start_call>();
  BOOST_TEST(calls.size() == 10U);
  const auto& first = calls.front();
  // Some requests go to the second engine, so the test looks for the last call that went to the
  // same engine as the first call and waits behind it.
  const auto last = std::find_if(calls.rbegin(), calls.rend(), [&](const start_call& call) {
    return call.target.replica == first.target.replica;
  });
  BOOST_TEST(last->call >= first.call + 5);
  // Both engines are unresponsive. No prompt is ahead of the first call, so it stalls at its target
  // latency of 1 s.
  advance_time(std::chrono::milliseconds(1'050));
  BOOST_TEST(is_cancelled(first.call));
  BOOST_TEST(!is_cancelled(last->call));
  // A call is given up only for an engine that is not silent too, so the second engine goes on.
  const auto other = std::find_if(calls.begin(), calls.end(), [&](const start_call& call) {
    return call.target.replica != first.target.replica;
  });
  BOOST_REQUIRE(other != calls.end());
  deliver(stream_opened{other->call, good_head()});
  for (unsigned event = 1; event <= 30; ++event) {
    deliver(stream_bytes{other->call, "id: " + std::to_string(event) + "\ndata: x\n\n"});
    advance_time(std::chrono::milliseconds(100));
  }
  BOOST_TEST(is_cancelled(last->call));
}

BOOST_AUTO_TEST_SUITE_END()
