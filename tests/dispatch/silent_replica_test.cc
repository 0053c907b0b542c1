/// Guards against an answer that is ended although its replica lives: the replica, a stopped
/// process or one behind a held link, sends nothing for a while and then goes on, and this node
/// takes the silence for its death.
#include "serving_fixture.h"

using namespace spurrack;
using namespace spurrack::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string first_event = "id: 1\ndata: x\n\n";
const std::string second_event = "id: 2\ndata: y\n\n";

/// Silences of a replica that lives, from just over the longest pause of a stream to well over it.
const std::vector<base::duration> silences{milliseconds(1'000), milliseconds(1'300),
                                           milliseconds(1'500), milliseconds(1'800),
                                           milliseconds(2'500), milliseconds(3'000)};

/// Time in which a node makes the calls for the pieces that were submitted.
constexpr base::duration batching_time = milliseconds(50);

serving_settings settings_with_retries() {
  serving_settings settings;
  settings.retry.allowance = 100;
  return settings;
}

/// One node whose peers hear nothing of the silent replica either.
struct silent_driver : dispatcher_driver {
  silent_driver() : dispatcher_driver(settings_with_retries()) {
    time_allowed = seconds(20);
    subject.set_peers(
        {{base::node_id("other"), base::zone_id("a"), base::network_address("other:1"), 1}}, 1);
  }

  /// Begins a stream that delivers one event.
  /// @param ends_with_connection whether its replica marks no end.
  start_call begin(base::caller_id client, const std::string& path,
                   std::vector<std::uint32_t> pieces = {}, bool ends_with_connection = false) {
    send_request(client, path, std::move(pieces));
    finish_stages();
    auto call = last<start_call>();
    deliver(stream_opened{call.call, good_head(), ends_with_connection});
    deliver(stream_bytes{call.call, first_event});
    return call;
  }

  /// Answers calls with pieces until no more are made.
  void finish_stages() {
    advance_time(batching_time);
    for (auto calls = all<start_stage_call>(); answered_stage_calls_ < calls.size();
         calls = all<start_stage_call>()) {
      const auto& call = calls[answered_stage_calls_++];
      stage_call_ended ended;
      ended.call = call.call;
      ended.outcome = stage_call_ended::result::answered;
      for (std::size_t piece = 0; piece < call.items.size(); ++piece) {
        ended.pieces.push_back(
            {piece_fault::none, call.target.address.text() + "/r" + std::to_string(++results_)});
      }
      deliver(ended);
      advance_time(batching_time);
    }
  }

  /// Lets time pass in which the replica sends nothing, and other nodes report the same.
  void pass_silence(const base::replica_id& replica, base::duration silence) {
    constexpr base::duration report_interval = milliseconds(100);
    const auto end = now + silence;
    while (now < end) {
      wire::replica_news message;
      auto& entry = *message.add_evidence();
      entry.set_replica(replica.text());
      entry.set_sign(wire::SIGN_SILENT);
      for (const std::string reporter : {"x", "y"}) {
        subject.handle_peer(base::node_id(reporter), message, now);
      }
      advance_time(std::min<base::duration>(report_interval, end - now));
    }
  }

  /// Whether the stream has ended as complete with all events of the replica in order.
  [[nodiscard]] bool has_whole_stream() const {
    std::string received;
    for (const auto& data : all<stream_data>()) {
      received += data.bytes;
    }
    const auto ends = all<end_stream>();
    return ends.size() == 1 && ends.front().complete && received == first_event + second_event;
  }

  void goes_on(base::call_id call) {
    deliver(stream_bytes{call, second_event});
    deliver(stream_closed{call, true});
  }

  /// Publishes the replicas of a service as draining, as a release does with those it replaces.
  void drain(const std::string& service) {
    published.add_replica(service + "-a", service, "a", true);
    published.add_replica(service + "-b", service, "b", true);
    subject.update(published.content, now);
  }

 private:
  std::size_t answered_stage_calls_ = 0;
  std::size_t results_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(silent_replica_test)

BOOST_AUTO_TEST_CASE(a_stream_that_cannot_be_resumed_survives_any_silence) {
  for (const auto silence : silences) {
    silent_driver node;
    const auto call = node.begin(1, "/fixed/");
    node.pass_silence(call.target.replica, silence);
    node.goes_on(call.call);
    BOOST_TEST(node.has_whole_stream());
  }
}

BOOST_AUTO_TEST_CASE(a_stream_survives_a_silence_beside_a_release_of_its_service) {
  for (const auto silence : silences) {
    silent_driver node;
    const auto call = node.begin(1, "/stream/");
    node.drain("llm");
    node.pass_silence(call.target.replica, silence);
    node.goes_on(call.call);
    BOOST_TEST(node.has_whole_stream());
  }
}

BOOST_AUTO_TEST_CASE(a_stream_survives_a_silence_after_its_service_left_the_configuration) {
  for (const auto silence : silences) {
    silent_driver node;
    const auto call = node.begin(1, "/stream/");
    for (auto& route : *node.published.configuration.mutable_routes()) {
      for (auto& target : *route.mutable_services()) {
        target.set_service("plain");
      }
    }
    node.published.publish_configuration();
    node.subject.update(node.published.content, node.now);
    node.published.remove_replica("llm-a");
    node.published.remove_replica("llm-b");
    node.subject.update(node.published.content, node.now);
    node.pass_silence(call.target.replica, silence);
    node.goes_on(call.call);
    BOOST_TEST(node.has_whole_stream());
  }
}

/// The results of the stages were freed with the first event, so another replica could only go on
/// after all stages were computed again.
BOOST_AUTO_TEST_CASE(a_stream_with_stages_is_not_given_up_before_its_stages_are_computed_again) {
  silent_driver node;
  auto& staged = *std::find_if(node.published.configuration.mutable_routes()->begin(),
                               node.published.configuration.mutable_routes()->end(),
                               [](const auto& route) { return route.name() == "/staged/"; });
  staged.set_resumable(true);
  node.published.publish_configuration();
  node.subject.update(node.published.content, node.now);
  // All pieces are batched by this node.
  node.subject.set_peers({}, 0);
  const auto call = node.begin(1, "/staged/", {2, 3});
  node.pass_silence(call.target.replica, milliseconds(2'000));
  BOOST_TEST(node.all<cancel_call>().empty());
  node.goes_on(call.call);
  BOOST_TEST(node.has_whole_stream());
}

BOOST_AUTO_TEST_CASE(a_stalled_call_is_not_given_up_for_a_replica_that_is_silent_too) {
  silent_driver node;
  const auto call = node.begin(1, "/stream/");
  const auto other = call.target.replica.text() == "llm-a" ? "llm-b" : "llm-a";
  node.pass_silence(base::replica_id(other), milliseconds(200));
  node.pass_silence(call.target.replica, milliseconds(1'500));
  node.goes_on(call.call);
  BOOST_TEST(node.has_whole_stream());
  BOOST_TEST(node.all<start_call>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_request_that_runs_at_most_once_gets_the_late_answer) {
  for (const auto silence : silences) {
    silent_driver node;
    node.send_request(1, "/unsafe/");
    const auto call = node.last<start_call>();
    node.pass_silence(call.target.replica, silence);
    node.deliver(call_answered{call.call, dispatcher_driver::good_head(), "body"});
    BOOST_TEST(node.last<respond>().status == 200U);
    BOOST_TEST(node.all<respond>().size() == 1U);
  }
}

/// A silent replica answers no probe if its link is held. Once it is heard, a stream that runs once
/// ends without a marked end, and a resumable one runs again to show its end.
BOOST_AUTO_TEST_CASE(an_answer_that_ended_with_its_connection_waits_for_its_silent_replica) {
  for (const auto silence : silences) {
    for (const std::string path : {"/stream/", "/fixed/"}) {
      silent_driver node;
      const auto call = node.begin(1, path, {}, true);
      node.deliver(stream_bytes{call.call, second_event});
      node.deliver(
          stream_closed{.call = call.call, .complete = true, .ends_with_connection = true});
      node.deliver(replica_probed{call.target.replica, probe_result::unresponsive, node.now});
      node.pass_silence(call.target.replica, silence);
      const auto began_at = node.now;
      node.advance_time(milliseconds(2));
      node.deliver(replica_probed{call.target.replica, probe_result::connected, began_at});
      // The list of replicas shows by then whether another process accepted the connection.
      BOOST_TEST(node.all<start_call>().size() == 1U);
      BOOST_TEST(node.all<end_stream>().empty());
      node.advance_time(milliseconds(5'100));
      const bool is_resumable = path == "/stream/";
      BOOST_REQUIRE(node.all<start_call>().size() == (is_resumable ? 2U : 1U));
      if (is_resumable) {
        const auto again = node.last<start_call>();
        BOOST_TEST((again.resume_after == std::optional<std::uint64_t>(2)));
        node.deliver(stream_opened{again.call, dispatcher_driver::good_head()});
        node.deliver(stream_closed{again.call, true});
      }
      BOOST_TEST(node.has_whole_stream());
      BOOST_TEST(node.last<open_stream>().ends_with_connection);
    }
  }
}

/// A replica whose process has ended refuses connections; its answer needs no waiting for.
BOOST_AUTO_TEST_CASE(an_answer_of_a_replica_that_refuses_connections_ends_before_its_deadline) {
  for (const std::string path : {"/unsafe/", "/fixed/"}) {
    silent_driver node;
    node.send_request(1, path);
    const auto call = node.last<start_call>();
    if (path == "/fixed/") {
      node.deliver(stream_opened{call.call, dispatcher_driver::good_head()});
      node.deliver(stream_bytes{call.call, first_event});
    }
    const auto probes_before = node.all<probe_replica>().size();
    node.pass_silence(call.target.replica, milliseconds(1'500));
    const auto probes = node.all<probe_replica>();
    const bool was_probed =
        std::any_of(probes.begin() + static_cast<std::ptrdiff_t>(probes_before), probes.end(),
                    [&](const auto& probe) { return probe.target.replica == call.target.replica; });
    BOOST_TEST(was_probed);
    // A replica that lives may refuse a connection because it has too many.
    node.deliver(replica_probed{call.target.replica, probe_result::refused, node.now});
    node.advance_time(milliseconds(300));
    BOOST_TEST((node.all<end_stream>().size() + node.all<respond>().size()) == 0U);
    node.deliver(replica_probed{call.target.replica, probe_result::refused, node.now});
    BOOST_TEST((node.all<end_stream>().size() + node.all<respond>().size()) == 1U);
    BOOST_TEST(node.last<cancel_call>().call == call.call);
  }
}

/// Bytes that arrived while this process stood are read after its clocks are looked at.
BOOST_AUTO_TEST_CASE(time_for_which_this_process_stood_is_no_silence) {
  for (const auto stand : {milliseconds(300), milliseconds(900)}) {
    silent_driver node;
    const auto call = node.begin(1, "/stream/");
    node.advance_time(milliseconds(1'200) - stand / 2);
    node.now += stand;
    node.subject.note_stand(stand, node.now);
    node.advance_time(milliseconds(10));
    node.goes_on(call.call);
    BOOST_TEST(node.has_whole_stream());
    BOOST_TEST(node.all<start_call>().size() == 1U);
  }
}

BOOST_AUTO_TEST_SUITE_END()
