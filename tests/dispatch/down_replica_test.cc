/// Requests at an unresponsive replica, with health reports of other nodes; retries with retry
/// budget that other nodes transfer.
#include "serving_fixture.h"

using namespace spurrack;
using namespace spurrack::serving;
using std::chrono::milliseconds;

namespace {

serving_settings settings_without_own_budget() {
  serving_settings settings;
  settings.retry = {0, 0, std::chrono::seconds(10)};
  return settings;
}

struct reporting_driver : dispatcher_driver {
  explicit reporting_driver(const serving_settings& settings = {}) : dispatcher_driver(settings) {
    answers_probes = true;
    subject.set_peers(
        {{base::node_id("other"), base::zone_id("a"), base::network_address("other:1"), 1}}, 1);
  }

  void report_unresponsive(const base::replica_id& replica, const std::string& reporter) {
    wire::replica_news message;
    auto& entry = *message.add_evidence();
    entry.set_replica(replica.text());
    entry.set_sign(wire::SIGN_SILENT);
    subject.handle_peer(base::node_id(reporter), message, now);
    advance_time(milliseconds(1));
  }

  /// @return health reports sent since the last call.
  std::vector<wire::replica_news> sent_reports() {
    std::vector<wire::replica_news> reports;
    for (const auto& message : subject.take_messages()) {
      if (message.message.has_replica_news()) {
        reports.push_back(message.message.replica_news());
      }
    }
    return reports;
  }
};

/// The node has no retry budget of its own, so that each retry needs a transfer.
struct driver_without_own_budget : reporting_driver {
  driver_without_own_budget() : reporting_driver(settings_without_own_budget()) {}

  wire::retry_lending sent_query() {
    for (const auto& message : subject.take_messages()) {
      if (message.message.has_retry_lending()) {
        return message.message.retry_lending();
      }
    }
    BOOST_FAIL("no question");
    return {};
  }

  void transfer(const wire::retry_lending& query, std::uint32_t thousandths) {
    auto answer = query;
    answer.clear_asked();
    answer.mutable_lent()->set_service(query.asked().service());
    answer.mutable_lent()->set_thousandths(thousandths);
    subject.handle_peer(base::node_id("other"), base::network_address("other:1"), answer, now);
    advance_time(milliseconds(1));
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(down_replica_test, reporting_driver)

/// Two nodes that hear nothing of a replica are no proof that it has exited; refused connections
/// are.
BOOST_AUTO_TEST_CASE(unsafe_request_at_exited_replica_is_answered_before_deadline) {
  answers_probes = false;
  send_request(1, "/unsafe/x");
  const auto replica = last<start_call>().target.replica;
  advance_time(milliseconds(1010));
  report_unresponsive(replica, "other");
  advance_time(milliseconds(600));
  BOOST_TEST(all<respond>().empty());
  deliver(replica_probed{replica, probe_result::refused, now});
  advance_time(milliseconds(290));
  deliver(replica_probed{replica, probe_result::refused, now});
  BOOST_TEST(last<respond>().status == 502);
  BOOST_TEST(last<cancel_call>().call == last<start_call>().call);
  BOOST_TEST(all<start_call>().size() == 1);
}

BOOST_AUTO_TEST_CASE(an_unsafe_request_is_not_ended_where_another_node_hears_the_replica) {
  send_request(1, "/unsafe/x");
  const auto replica = last<start_call>().target.replica;
  advance_time(milliseconds(1010));
  report_unresponsive(replica, "other");
  advance_time(milliseconds(200));
  wire::replica_news message;
  message.add_evidence()->set_replica(replica.text());
  subject.handle_peer(base::node_id("hearer"), message, now);
  advance_time(milliseconds(900));
  BOOST_TEST(all<respond>().empty());
}

BOOST_AUTO_TEST_CASE(answer_of_replica_reported_unresponsive_sends_healthy_report) {
  send_request(1, "/safe/x");
  const auto call = last<start_call>();
  report_unresponsive(call.target.replica, "other");
  BOOST_TEST(sent_reports().empty());
  deliver(call_answered{call.call, good_head(), "body"});
  const auto reports = sent_reports();
  BOOST_REQUIRE(reports.size() == 1);
  BOOST_TEST(reports[0].evidence(0).sign() == wire::SIGN_WELL);
}

BOOST_AUTO_TEST_CASE(reports_of_peers_fail_no_unsafe_request_before_its_target_latency) {
  send_request(1, "/unsafe/x");
  report_unresponsive(last<start_call>().target.replica, "x");
  report_unresponsive(last<start_call>().target.replica, "y");
  advance_time(milliseconds(500));
  BOOST_TEST(all<respond>().empty());
  deliver(call_answered{last<start_call>().call, good_head(), "body"});
  BOOST_TEST(last<respond>().status == 200);
}

BOOST_AUTO_TEST_CASE(safe_request_is_retried_when_two_nodes_report_unresponsive_replica) {
  send_request(1, "/safe/x");
  const auto first = last<start_call>();
  report_unresponsive(first.target.replica, "x");
  BOOST_TEST(all<start_call>().size() == 1);
  report_unresponsive(first.target.replica, "y");
  BOOST_REQUIRE(all<start_call>().size() == 2);
  BOOST_TEST(last<start_call>().target.replica != first.target.replica);
  BOOST_TEST(last<cancel_call>().call == first.call);
}

BOOST_AUTO_TEST_CASE(a_stream_that_goes_on_is_left_where_it_is) {
  send_request(1, "/stream/x");
  const auto call = last<start_call>();
  deliver(stream_opened{call.call, good_head()});
  deliver(stream_bytes{call.call, "id: 1\ndata: a\n\n"});
  advance_time(milliseconds(50));
  deliver(stream_bytes{call.call, "id: 2\ndata: b\n\n"});
  report_unresponsive(call.target.replica, "x");
  advance_time(milliseconds(50));
  deliver(stream_bytes{call.call, "id: 3\ndata: c\n\n"});
  BOOST_TEST(all<start_call>().size() == 1);
}

BOOST_AUTO_TEST_CASE(replica_that_stays_unresponsive_is_reported_again) {
  send_request(1, "/unsafe/x");
  advance_time(milliseconds(990));
  BOOST_TEST(sent_reports().empty());
  advance_time(milliseconds(30));
  const auto reports = sent_reports();
  BOOST_REQUIRE(reports.size() == 1);
  BOOST_TEST(reports[0].evidence(0).replica() == last<start_call>().target.replica.text());
  BOOST_TEST(reports[0].evidence(0).sign() == wire::SIGN_SILENT);
  advance_time(milliseconds(900));
  BOOST_TEST(sent_reports().empty());
  advance_time(milliseconds(400));
  BOOST_TEST(sent_reports().size() == 1);
}

BOOST_AUTO_TEST_CASE(answered_call_sends_no_report) {
  send_request(1, "/safe/x");
  deliver(call_answered{last<start_call>().call, good_head(), "body"});
  advance_time(milliseconds(2000));
  BOOST_TEST(sent_reports().empty());
}

BOOST_FIXTURE_TEST_CASE(failed_request_is_retried_with_transferred_budget,
                        driver_without_own_budget) {
  send_request(1, "/safe/x");
  deliver(call_answered{last<start_call>().call, good_head(500), "first"});
  BOOST_TEST(all<respond>().empty());
  transfer(sent_query(), 1000);
  BOOST_TEST(all<start_call>().size() == 2);
  deliver(call_answered{last<start_call>().call, good_head(), "second"});
  BOOST_TEST(last<respond>().body == "second");
  BOOST_TEST(subject.counts().retries_on_transferred_budget == 1U);
}

BOOST_FIXTURE_TEST_CASE(stalled_call_is_retried_with_transferred_budget,
                        driver_without_own_budget) {
  send_request(1, "/stream/x");
  const auto first = last<start_call>();
  advance_time(milliseconds(1010));
  BOOST_TEST(all<start_call>().size() == 1);
  transfer(sent_query(), 1000);
  advance_time(milliseconds(100));
  BOOST_REQUIRE(all<start_call>().size() == 2);
  BOOST_TEST(last<start_call>().target.replica != first.target.replica);
}

BOOST_FIXTURE_TEST_CASE(failed_answer_is_forwarded_if_no_budget_is_transferred,
                        driver_without_own_budget) {
  send_request(1, "/safe/x");
  deliver(call_answered{last<start_call>().call, good_head(500), "first"});
  transfer(sent_query(), 0);
  BOOST_TEST(all<start_call>().size() == 1);
  BOOST_TEST(last<respond>().status == 500);
  BOOST_TEST(last<respond>().body == "first");
}

BOOST_FIXTURE_TEST_CASE(request_fails_if_budget_query_is_not_answered, driver_without_own_budget) {
  send_request(1, "/safe/x");
  deliver(call_answered{last<start_call>().call, good_head(500), "first"});
  advance_time(milliseconds(200));
  BOOST_TEST(last<respond>().status == 500);
  BOOST_TEST(subject.active_requests() == 0);
}

BOOST_FIXTURE_TEST_CASE(disconnect_while_awaiting_budget_removes_request,
                        driver_without_own_budget) {
  send_request(1, "/safe/x");
  deliver(call_answered{last<start_call>().call, good_head(500), "first"});
  deliver(client_disconnected{1});
  transfer(sent_query(), 1000);
  BOOST_TEST(all<start_call>().size() == 1);
  BOOST_TEST(subject.active_requests() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
