/// Graceful stop of a node to which requests arrive until its exit. Guards against overlapping
/// requests that delay the exit and against requests that outlast the stop.
#include "node_driver.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

using namespace spurrack;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Node with a maximum duration of its graceful stop.
struct stopping_node : node_driver {
  explicit stopping_node(base::duration max_stop_duration = milliseconds(7'300))
      : node_driver(settings_with(max_stop_duration), milliseconds(10)) {}

  static node::node_settings settings_with(base::duration max_stop_duration) {
    auto settings = usual_settings();
    settings.serving->max_stop_duration = max_stop_duration;
    settings.stop_linger_time = milliseconds(1'500);
    settings.max_stop_linger_time = milliseconds(3'500);
    return settings;
  }

  /// Delivers a request to the node.
  /// @return the latest call that the node has sent to any replica; 0 if the node has sent none.
  base::call_id deliver_request(base::caller_id client, const std::string& path) {
    node_driver::deliver_request(client, path, now, seconds(60));
    return serving_commands<serving::start_call>().empty()
               ? 0
               : serving_commands<serving::start_call>().back().call;
  }

  void answer(base::call_id call) {
    serving::answer_head head;
    head.status = 200;
    head.sealed = true;
    deliver(serving::event(serving::call_answered{call, head, "body"}));
  }

  bool has_stopped() const {
    return std::any_of(commands.begin(), commands.end(), [](const auto& command) {
      return std::holds_alternative<node::stop_completed>(command);
    });
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(planned_stop_test, stopping_node)

BOOST_AUTO_TEST_CASE(requests_active_at_the_stop_deadline_are_aborted) {
  for (base::caller_id client = 1; client <= 4; ++client) {
    const auto call = deliver_request(client, "/safe/x");
    advance_time(milliseconds(50));
    answer(call);
  }
  deliver(node::stop_requested{});
  advance_time(milliseconds(1'600));
  BOOST_REQUIRE(has_stopped());
  // This request arrives after `stop_completed`, on a connection that is still open, and no replica
  // answers it.
  deliver_request(10, "/safe/x");
  BOOST_TEST(serving_commands<serving::start_call>().size() == 5U);
  advance_time(milliseconds(5'600));
  BOOST_TEST(serving_commands<serving::respond>().size() == 4U);
  advance_time(milliseconds(200));
  BOOST_REQUIRE(serving_commands<serving::respond>().size() == 5U);
  BOOST_TEST(serving_commands<serving::respond>().back().client == 10U);
  BOOST_TEST(serving_commands<serving::respond>().back().status == 504);
  BOOST_TEST(serving_commands<serving::cancel_call>().back().call ==
             serving_commands<serving::start_call>().back().call);
}

/// Guards against a request that may run only once, is sent after the stop has begun, and is
/// aborted at its deadline.
BOOST_AUTO_TEST_CASE(a_single_run_that_may_outlast_the_stop_is_refused_at_once) {
  for (base::caller_id client = 1; client <= 4; ++client) {
    const auto call = deliver_request(client, "/unsafe/x");
    advance_time(milliseconds(50));
    answer(call);
  }
  deliver(node::stop_requested{});
  advance_time(milliseconds(1'600));
  BOOST_REQUIRE(has_stopped());
  deliver_request(10, "/unsafe/x");
  BOOST_TEST(serving_commands<serving::start_call>().size() == 4U);
  BOOST_REQUIRE(serving_commands<serving::respond>().size() == 5U);
  BOOST_TEST(serving_commands<serving::respond>().back().client == 10U);
  BOOST_TEST(serving_commands<serving::respond>().back().status == 503);
}

BOOST_AUTO_TEST_CASE(overlapping_requests_do_not_delay_a_stop) {
  stopping_node node(seconds(600));
  std::map<base::call_id, base::time_point> answer_times;
  base::caller_id client = 0;
  const auto run_load = [&](base::duration span) {
    for (const auto end = node.now + span; node.now < end && !node.has_stopped();) {
      const auto call = node.deliver_request(++client, "/unsafe/x");
      if (!answer_times.contains(call) && call != 0) {
        answer_times[call] = node.now + milliseconds(400);
      }
      node.advance_time(milliseconds(100));
      for (auto& [running, answer_at] : answer_times) {
        if (answer_at != base::time_point::max() && answer_at <= node.now) {
          answer_at = base::time_point::max();
          node.answer(running);
        }
      }
    }
  };
  run_load(seconds(2));
  node.deliver(node::stop_requested{});
  const auto stop_started_at = node.now;
  run_load(seconds(60));
  BOOST_TEST(node.has_stopped());
  BOOST_TEST((node.now - stop_started_at < seconds(6)));
}

BOOST_AUTO_TEST_SUITE_END()
