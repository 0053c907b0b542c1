/// Requests at replicas that restart under their id, or whose published entry another process
/// overwrites with a malformed one.
#include "serving_fixture.h"

using namespace spurrack;
using namespace spurrack::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string old_address = "10.0.1.1:80";
const std::string new_address = "10.0.1.2:80";

/// Zone a has one replica of each service, in its first incarnation; the replicas of zone b are
/// farther away.
struct restart_driver : dispatcher_driver {
  restart_driver() {
    for (const std::string service : {"llm", "plain", "pool"}) {
      published.add_incarnation(service + "-a", service, "a", address_of(service, old_address),
                                1000);
    }
    update();
  }

  void add_peer() {
    answers_probes = true;
    subject.set_peers(
        {{base::node_id("other"), base::zone_id("a"), base::network_address("other:1"), 1}}, 1);
  }

  /// @return address derived from `base`, different for each service.
  static std::string address_of(const std::string& service, const std::string& base) {
    return base + std::to_string(service.size());
  }

  void update() {
    subject.update(published.content, now);
    subject.advance(now);
    for (auto& command : subject.take_commands()) {
      commands.push_back(std::move(command));
    }
  }

  void restart(const std::string& service, const std::string& base = old_address,
               std::uint64_t started_at = 2000) {
    published.add_incarnation(service + "-a", service, "a", address_of(service, base), started_at);
    update();
  }

  /// Sends a request.
  /// @return call of the request, which goes to the replica of zone a.
  base::call_id call_at_zone_a(const std::string& path, base::caller_id client) {
    send_request(client, path);
    const auto call = last<start_call>();
    BOOST_REQUIRE(call.target.replica.text().ends_with("-a"));
    return call.call;
  }

  [[nodiscard]] const replica_state& state(const std::string& id) const {
    return *subject.replicas().find(base::replica_id(id));
  }

  void report(const std::string& replica, wire::replica_sign sign, std::uint64_t started_at,
              const std::string& reporter) {
    model::replica record;
    record.incarnation = model::replica_incarnation{started_at};
    wire::replica_news message;
    auto& entry = *message.add_evidence();
    entry.set_replica(replica);
    entry.set_sign(sign);
    entry.set_life_mark(started_at == 0 ? 0 : incarnation_fingerprint_of(record));
    subject.handle_peer(base::node_id(reporter), message, now);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(replica_restart_test, restart_driver)

BOOST_AUTO_TEST_CASE(safe_request_at_earlier_incarnation_is_retried_at_once) {
  const auto call = call_at_zone_a("/safe/x", 1);
  advance_time(milliseconds(50));
  restart("plain");
  BOOST_TEST(last<cancel_call>().call == call);
  BOOST_REQUIRE(all<start_call>().size() == 2);
  deliver(call_answered{last<start_call>().call, good_head(), "body"});
  BOOST_TEST(last<respond>().status == 200);
  BOOST_TEST(subject.counts().calls_at_earlier_incarnations == 1U);
  BOOST_TEST(subject.counts().replica_restarts == 1U);
}

BOOST_AUTO_TEST_CASE(request_at_earlier_incarnation_may_be_retried_at_restarted_replica) {
  published.remove_replica("plain-b");
  update();
  call_at_zone_a("/safe/x", 1);
  restart("plain", new_address);
  BOOST_REQUIRE(all<start_call>().size() == 2);
  BOOST_TEST(last<start_call>().target.replica.text() == "plain-a");
  BOOST_TEST(last<start_call>().target.address.text() == address_of("plain", new_address));
}

BOOST_AUTO_TEST_CASE(unsafe_request_at_earlier_incarnation_is_answered_as_failed) {
  const auto call = call_at_zone_a("/unsafe/x", 1);
  restart("plain");
  BOOST_TEST(all<respond>().empty());
  advance_time(milliseconds(510));
  BOOST_TEST(last<respond>().status == 502);
  for (const auto& field : last<respond>().headers) {
    BOOST_TEST(field.name != "Retry-After");
  }
  BOOST_TEST(last<cancel_call>().call == call);
  BOOST_TEST(all<start_call>().size() == 1);
}

BOOST_AUTO_TEST_CASE(answer_after_restart_is_delivered) {
  const auto call = call_at_zone_a("/unsafe/x", 1);
  restart("plain");
  advance_time(milliseconds(100));
  deliver(call_answered{call, good_head(), "body"});
  BOOST_TEST(last<respond>().status == 200);
  BOOST_TEST(last<respond>().body == "body");
}

BOOST_AUTO_TEST_CASE(failure_at_earlier_incarnation_does_not_count_for_current) {
  const auto call = call_at_zone_a("/unsafe/x", 1);
  restart("plain");
  deliver(call_failed{call, call_failure::may_have_run});
  BOOST_TEST(last<respond>().status == 502);
  BOOST_TEST(state("plain-a").failure_share == 0);
  BOOST_TEST((state("plain-a").paused_until <= now));
  BOOST_TEST(state("plain-a").in_flight == 0U);
}

BOOST_AUTO_TEST_CASE(resumable_stream_resumes_at_another_replica_after_restart) {
  const auto call = call_at_zone_a("/stream/x", 1);
  deliver(stream_opened{call, good_head()});
  deliver(stream_bytes{call, "id: 4\ndata: a\n\n"});
  advance_time(milliseconds(600));
  restart("llm");
  BOOST_REQUIRE(all<start_call>().size() == 2);
  BOOST_TEST(last<start_call>().resume_after.value() == 4U);
}

BOOST_AUTO_TEST_CASE(stream_with_recent_events_continues_after_restart) {
  const auto call = call_at_zone_a("/stream/x", 1);
  advance_time(milliseconds(10));
  deliver(stream_opened{call, good_head()});
  deliver(stream_bytes{call, "id: 1\ndata: a\n\n"});
  advance_time(milliseconds(100));
  restart("llm");
  BOOST_TEST(all<start_call>().size() == 1);
  BOOST_TEST(state("llm-a").in_flight == 1U);
  deliver(stream_closed{call, true});
  BOOST_TEST(last<end_stream>().complete);
}

BOOST_AUTO_TEST_CASE(non_resumable_stream_is_broken_off_after_restart) {
  const auto call = call_at_zone_a("/fixed/x", 1);
  deliver(stream_opened{call, good_head()});
  deliver(stream_bytes{call, "id: 1\ndata: a\n\n"});
  advance_time(milliseconds(600));
  restart("llm");
  advance_time(milliseconds(510));
  BOOST_TEST(!last<end_stream>().complete);
  BOOST_TEST(subject.active_requests() == 0U);
}

BOOST_AUTO_TEST_CASE(request_sent_after_restart_does_not_fail) {
  restart("plain");
  const auto call = call_at_zone_a("/unsafe/x", 1);
  advance_time(milliseconds(600));
  BOOST_TEST(all<respond>().empty());
  deliver(call_answered{call, good_head(), "body"});
  BOOST_TEST(last<respond>().status == 200);
}

BOOST_AUTO_TEST_CASE(replica_that_was_removed_and_republished_counts_as_restarted) {
  call_at_zone_a("/unsafe/x", 1);
  published.remove_replica("plain-a");
  update();
  advance_time(milliseconds(300));
  restart("plain");
  advance_time(milliseconds(510));
  BOOST_TEST(last<respond>().status == 502);
}

BOOST_AUTO_TEST_CASE(changed_entry_of_same_incarnation_fails_no_request) {
  const auto call = call_at_zone_a("/unsafe/x", 1);
  published.add_incarnation("plain-a", "plain", "a", address_of("plain", old_address), 1000, 500);
  update();
  published.add_incarnation("plain-a", "plain", "a", address_of("plain", old_address), 0);
  update();
  advance_time(milliseconds(600));
  BOOST_TEST(all<respond>().empty());
  deliver(call_answered{call, good_head(), "body"});
  BOOST_TEST(last<respond>().status == 200);
}

BOOST_AUTO_TEST_CASE(idle_connections_to_earlier_process_are_closed) {
  restart("plain", new_address);
  BOOST_TEST(last<close_connections>().address.text() == address_of("plain", old_address));
}

BOOST_AUTO_TEST_CASE(reports_on_earlier_incarnation_are_ignored) {
  const auto call = call_at_zone_a("/unsafe/x", 1);
  deliver(call_answered{call, good_head(), "body"});
  restart("plain");
  report("plain-a", wire::SIGN_SILENT, 1000, "x");
  report("plain-a", wire::SIGN_UNREACHABLE, 1000, "y");
  BOOST_TEST(!subject.replicas().is_declared_down(base::replica_id("plain-a"), now));
  BOOST_TEST((state("plain-a").paused_until <= now));
  BOOST_TEST(subject.replica_reports().of_other_incarnations == 2U);
  report("plain-a", wire::SIGN_SILENT, 2000, "x");
  report("plain-a", wire::SIGN_SILENT, 0, "y");
  BOOST_TEST(subject.replicas().is_declared_down(base::replica_id("plain-a"), now));
}

BOOST_AUTO_TEST_CASE(health_reports_name_incarnation_of_replica) {
  add_peer();
  call_at_zone_a("/unsafe/x", 1);
  static_cast<void>(subject.take_messages());
  advance_time(milliseconds(1010));
  std::uint32_t incarnation_fingerprint = 0;
  for (const auto& message : subject.take_messages()) {
    if (message.message.has_replica_news()) {
      incarnation_fingerprint = message.message.replica_news().evidence(0).life_mark();
    }
  }
  BOOST_TEST(incarnation_fingerprint == incarnation_fingerprint_of(*state("plain-a").record));
  BOOST_TEST(incarnation_fingerprint != 0U);
}

BOOST_AUTO_TEST_CASE(pieces_at_earlier_incarnation_are_recomputed) {
  send_request(1, "/staged/x", {1, 1});
  advance_time(milliseconds(20));
  const auto first = last<start_stage_call>();
  BOOST_REQUIRE(first.target.replica.text() == "pool-a");
  restart("pool");
  advance_time(milliseconds(30));
  BOOST_TEST(last<cancel_call>().call == first.call);
  BOOST_REQUIRE(all<start_stage_call>().size() == 2);
  BOOST_TEST(last<start_stage_call>().items.front().piece_key == "pk");
}

BOOST_AUTO_TEST_CASE(lost_final_results_are_recomputed_before_retry) {
  const auto complete_next_piece = [&](const std::string& name) {
    advance_time(milliseconds(30));
    const auto call = last<start_stage_call>();
    auto handle = call.target.address.text() + "/" + name;
    deliver(stage_call_ended{
        call.call, stage_call_ended::result::answered, {{piece_fault::none, handle}}});
    return handle;
  };
  send_request(1, "/staged/x", {1, 1});
  complete_next_piece("1");
  const auto lost = complete_next_piece("2");
  BOOST_REQUIRE(lost.starts_with(address_of("pool", old_address)));
  const auto call = last<start_call>();
  restart("pool");
  // The replica answers that the inputs are gone; the request is sent again only after they are
  // recomputed.
  auto head = not_executed_head();
  head.status = 409;
  deliver(call_answered{call.call, head, ""});
  BOOST_TEST(all<start_call>().size() == 1);
  complete_next_piece("3");
  BOOST_TEST(all<start_call>().size() == 1);
  const auto recomputed = complete_next_piece("4");
  BOOST_REQUIRE(all<start_call>().size() == 2);
  BOOST_TEST(last<start_call>().inputs == std::vector<std::string>{recomputed},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(replica_whose_entry_turns_malformed_gets_no_request) {
  published.write_malformed("plain-a");
  update();
  for (base::caller_id client = 1; client <= 20; ++client) {
    send_request(client, "/safe/x");
    BOOST_TEST(last<start_call>().target.replica.text() == "plain-b");
  }
  published.add_incarnation("plain-a", "plain", "a", address_of("plain", old_address), 1000);
  update();
  send_request(21, "/safe/x");
  BOOST_TEST(last<start_call>().target.replica.text() == "plain-a");
  BOOST_TEST(subject.counts().replica_restarts == 0U);
}

BOOST_AUTO_TEST_CASE(malformed_entry_does_not_fail_active_request) {
  const auto call = call_at_zone_a("/unsafe/x", 1);
  published.write_malformed("plain-a");
  update();
  deliver(call_answered{call, good_head(), "body"});
  BOOST_TEST(last<respond>().status == 200);
}

BOOST_AUTO_TEST_CASE(replica_of_unknown_service_is_reported_once) {
  published.add_incarnation("stranger", "nowhere", "a", "10.0.9.9:80", 1000);
  update();
  published.add_incarnation("stranger", "nowhere", "a", "10.0.9.9:80", 1000, 50);
  update();
  BOOST_TEST(subject.counts().replicas_of_unknown_services == 1U);
  published.add_incarnation("stranger", "elsewhere", "a", "10.0.9.9:80", 1000);
  update();
  BOOST_TEST(subject.counts().replicas_of_unknown_services == 2U);
  // The service is configured now.
  published.add_service("elsewhere");
  published.publish_configuration();
  update();
  BOOST_TEST(subject.replicas().find(base::replica_id("stranger")) != nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
