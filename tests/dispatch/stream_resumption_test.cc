/// Guards against a resumed stream, or one that goes on at another replica, that runs at another
/// software version than the one that wrote its first event.
#include "serving_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace spurrack;
using namespace spurrack::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Replicas `one-*` of version v1 and `two-*` of v2, and a driver for one node.
struct resuming_driver : dispatcher_driver {
  resuming_driver() : dispatcher_driver(with_retry_budget()) {
    published.remove_replica("llm-a");
    published.remove_replica("llm-b");
    for (const std::string zone : {"a", "b"}) {
      add("one-" + zone, "v1");
      add("two-" + zone, "v2");
    }
    for (auto& route : *published.configuration.mutable_routes()) {
      if (route.path_prefix() == "/stream/") {
        route.set_timeout_milliseconds(static_cast<std::uint32_t>(stream_timeout.count()));
      }
    }
    published.publish_configuration();
    update();
  }

  static constexpr milliseconds stream_timeout{5'000};

  void add(const std::string& id, const std::string& version, bool draining = false) {
    published.add_replica(id, "llm", id.substr(4), draining, 0, 4, version);
  }
  void update() { subject.update(published.content, now); }

  static serving_settings with_retry_budget() {
    serving_settings settings;
    settings.retry.allowance = 100;
    return settings;
  }

  static std::string version_of(const base::replica_id& replica) {
    return replica.text().starts_with("one") ? "v1" : "v2";
  }

  /// Begins a stream and delivers its first event. @return its version.
  std::string begin(base::caller_id client) {
    send_request(client, "/stream/");
    const auto call = last<start_call>();
    deliver(stream_opened{call.call, good_head()});
    deliver(stream_bytes{call.call, "id: 1\ndata: x\n\n"});
    return version_of(call.target.replica);
  }

  /// Delivers a witness's record of what the attempt `r1` began.
  void tell_by_witness(const std::string& version, bool is_bound) {
    const fleet_peer witness{base::node_id("w"), base::zone_id("b"), base::network_address("w:1")};
    subject.set_peers({witness}, 1);
    wire::stream_origins message;
    auto& told = *message.add_begun();
    told.set_stream(streams::key_of("tenant", base::request_id("r1")).bytes());
    told.set_service("llm");
    told.set_version(version);
    told.set_call(1);
    told.set_is_bound(is_bound);
    told.set_lifetime_milliseconds(10'000);
    subject.handle_peer(witness.node, witness.address, message, now);
  }

  /// Resumes what the attempt of `client` began. @param client new attempt.
  void resume(base::caller_id client, const std::string& first_attempt) {
    auto content = content_for(client, "/stream/");
    content->resume_after = 1;
    if (!first_attempt.empty()) {
      content->first_attempt = base::request_id(first_attempt);
    }
    deliver(request_arrived{client, content, now});
  }

  /// Removes the replicas of v2 and lets the time pass in which its streams may be resumed; the
  /// list of replicas is known without a gap. A stream begins, so that the time that clients allow
  /// is known.
  void keep_one_version_alone() {
    published.remove_replica("two-a");
    published.remove_replica("two-b");
    update();
    for (const auto end = now + version_history::retention; now < end;) {
      now += seconds(1);
      subject.verify_replica_list(now);
    }
    begin(9000);
    deliver(client_disconnected{9000});
  }

  /// @return the last refusal; fails if the last request was not refused at once.
  respond refusal() {
    auto answer = last<respond>();
    BOOST_TEST(answer.status == 503U);
    return answer;
  }
  static bool has_retry_after(const respond& answer) {
    return std::any_of(answer.headers.begin(), answer.headers.end(),
                       [](const auto& field) { return field.name == "Retry-After"; });
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(stream_resumption_test)

BOOST_FIXTURE_TEST_CASE(broken_stream_goes_on_at_its_version_within_one_answer, resuming_driver) {
  for (base::caller_id client = 1; client <= 20; ++client) {
    const auto version = begin(client);
    deliver(stream_closed{last<start_call>().call, false});
    const auto retry = last<start_call>();
    BOOST_TEST(*retry.resume_after == 1U);
    BOOST_TEST(version_of(retry.target.replica) == version);
    deliver(stream_opened{retry.call, good_head()});
    deliver(stream_closed{retry.call, true});
  }
}

// Guards against a client that receives events twice within one answer: events without an id after
// the last id, which a second run would send again.
BOOST_FIXTURE_TEST_CASE(a_stream_with_events_without_id_after_its_last_id_is_not_run_again,
                        resuming_driver) {
  const std::vector<std::string> begins{"data: a\n\n", "id: 1\ndata: a\n\ndata: b\n\n"};
  const std::vector<stream_closed> ends{{.complete = false},
                                        {.complete = true, .ends_with_connection = true}};
  base::caller_id client = 1;
  for (const auto& begin_bytes : begins) {
    for (auto end : ends) {
      send_request(client, "/stream/");
      const auto call = last<start_call>();
      deliver(stream_opened{call.call, good_head(), end.ends_with_connection});
      deliver(stream_bytes{call.call, begin_bytes});
      end.call = call.call;
      deliver(end);
      const auto began_at = now;
      advance_time(milliseconds(2));
      deliver(replica_probed{call.target.replica, probe_result::connected, began_at});
      BOOST_TEST(last<start_call>().call == call.call);
      BOOST_REQUIRE(last<end_stream>().client == client);
      BOOST_TEST(last<end_stream>().complete == end.complete);
      ++client;
    }
  }
}

BOOST_FIXTURE_TEST_CASE(a_silent_stream_with_events_without_id_is_not_run_again, resuming_driver) {
  send_request(1, "/stream/");
  const auto call = last<start_call>();
  deliver(stream_opened{call.call, good_head()});
  deliver(stream_bytes{call.call, "id: 1\ndata: a\n\ndata: b\n\n"});
  advance_time(stream_timeout + seconds(1));
  BOOST_TEST(all<start_call>().size() == 1U);
  BOOST_REQUIRE(all<end_stream>().size() == 1U);
  BOOST_TEST(!last<end_stream>().complete);
}

BOOST_FIXTURE_TEST_CASE(a_stream_goes_on_after_an_id_that_follows_events_without_id,
                        resuming_driver) {
  send_request(1, "/stream/");
  const auto call = last<start_call>();
  deliver(stream_opened{call.call, good_head()});
  deliver(stream_bytes{call.call, "data: a\n\n: comment\n\nid: 1\ndata: b\n\n: comment\n\n"});
  deliver(stream_closed{call.call, false});
  BOOST_REQUIRE(all<start_call>().size() == 2U);
  BOOST_TEST(last<start_call>().resume_after.value() == 1U);
}

BOOST_FIXTURE_TEST_CASE(resumed_stream_goes_on_at_its_version_over_several_attempts,
                        resuming_driver) {
  for (base::caller_id client = 100; client <= 2000; client += 100) {
    const auto version = begin(client);
    deliver(client_disconnected{client});
    for (base::caller_id attempt = 1; attempt <= 3; ++attempt) {
      resume(client + attempt, "r" + std::to_string(client));
      BOOST_TEST(version_of(last<start_call>().target.replica) == version);
      deliver(client_disconnected{client + attempt});
    }
  }
}

BOOST_FIXTURE_TEST_CASE(unknown_stream_is_refused_at_once_while_several_versions_serve,
                        resuming_driver) {
  const std::vector<std::string> names{"never heard of", "", std::string(5000, 'x')};
  for (const auto& named : names) {
    const auto calls = all<start_call>().size();
    resume(static_cast<base::caller_id>(1000 + calls + named.size()), named);
    BOOST_TEST(!has_retry_after(refusal()));
    BOOST_TEST(all<start_call>().size() == calls);
  }
  BOOST_TEST(subject.counts().resumptions_of_unknown_origin == 3U);
}

BOOST_FIXTURE_TEST_CASE(stream_of_another_tenant_is_answered_like_an_unknown_one, resuming_driver) {
  auto& access = *published.configuration.add_tenants();
  access.set_tenant("other");
  access.add_api_keys("other key");
  published.publish_configuration();
  update();
  begin(1);
  resume(2, "never heard of");
  const auto unknown = refusal();
  api_key = "other key";
  resume(3, "r1");
  BOOST_TEST(refusal().body == unknown.body);
}

BOOST_FIXTURE_TEST_CASE(unknown_stream_goes_on_while_one_version_serves, resuming_driver) {
  keep_one_version_alone();
  const auto calls = all<start_call>().size();
  resume(1, "never heard of");
  BOOST_TEST(version_of(last<start_call>().target.replica) == "v1");
  resume(2, "");
  BOOST_TEST(all<start_call>().size() == calls + 2);
}

/// Guards against a node that has just started and takes the only version that it has seen for the
/// only one that there was.
BOOST_FIXTURE_TEST_CASE(unknown_stream_is_refused_by_a_node_that_has_just_started,
                        resuming_driver) {
  keep_one_version_alone();
  base::seeded_random other_random(2);
  dispatcher started({base::node_id("s"), base::zone_id("a"), base::network_address("s:1")},
                     with_retry_budget(), other_random, 1,
                     [](auto, const auto&, const auto&, const auto&) {});
  started.update(published.content, now);
  started.verify_replica_list(now);
  const auto send_to_started = [&](base::caller_id client, bool resumes) {
    auto content = content_for(client, "/stream/");
    if (resumes) {
      content->resume_after = 1;
      content->first_attempt = base::request_id("never heard of");
    }
    started.handle(request_arrived{client, content, now}, now);
    started.advance(now);
    const auto given = started.take_commands();
    return std::any_of(given.begin(), given.end(), [](const auto& command) {
      return std::holds_alternative<start_call>(command);
    });
  };
  BOOST_TEST(send_to_started(1, false));
  BOOST_TEST(!send_to_started(2, true));
  BOOST_TEST(started.counts().resumptions_without_evidence == 1U);
  // A client may have begun its stream `stream_timeout` ago, by a list that was `max_gap` old.
  for (const auto end = now + stream_timeout + list_coverage::max_gap; now < end;) {
    now += seconds(1);
    started.verify_replica_list(now);
  }
  BOOST_TEST(send_to_started(3, true));
}

/// Guards against a node that missed changes of the list for a while, as one that was suspended or
/// cut off, and takes a version that came and went meanwhile for one that never was.
BOOST_FIXTURE_TEST_CASE(unknown_stream_is_refused_after_a_gap_in_the_list, resuming_driver) {
  keep_one_version_alone();
  now += seconds(10);
  resume(1, "never heard of");
  refusal();
  BOOST_TEST(subject.counts().resumptions_without_evidence == 1U);
}

/// A client that still allows nearly its whole time has begun its stream a moment ago.
BOOST_FIXTURE_TEST_CASE(unknown_stream_goes_on_if_it_began_after_the_gap, resuming_driver) {
  keep_one_version_alone();
  now += seconds(10);
  advance_time(seconds(4));
  time_allowed = milliseconds(4'500);
  resume(1, "never heard of");
  BOOST_TEST(version_of(last<start_call>().target.replica) == "v1");
  time_allowed = milliseconds(2'000);
  resume(2, "another");
  refusal();
}

/// A node that has just started relies on one that has known the list for longer.
BOOST_FIXTURE_TEST_CASE(unknown_stream_goes_on_if_another_node_knows_one_version_alone,
                        resuming_driver) {
  keep_one_version_alone();
  // The streams may have begun three seconds ago.
  time_allowed = stream_timeout - seconds(3);
  const fleet_peer witness{base::node_id("w"), base::zone_id("b"), base::network_address("w:1")};
  const auto resume_with_answer = [&](base::caller_id client, const std::string& version,
                                      std::uint32_t known_milliseconds,
                                      std::uint32_t list_age_milliseconds = 1) {
    now += seconds(10);
    subject.set_peers({witness}, 1);
    const auto stream = "never heard of " + std::to_string(client);
    resume(client, stream);
    wire::stream_origins message;
    auto& answer = *message.add_answers();
    answer.set_stream(streams::key_of("tenant", base::request_id(stream)).bytes());
    answer.set_is_list_current(true);
    answer.set_only_version(version);
    answer.set_only_version_milliseconds(known_milliseconds);
    answer.set_list_age_milliseconds(list_age_milliseconds);
    const auto calls = all<start_call>().size();
    subject.handle_peer(witness.node, witness.address, message, now);
    advance_time(milliseconds(5));
    return all<start_call>().size() > calls;
  };
  BOOST_TEST(resume_with_answer(1, "v1", 60'000));
  BOOST_TEST(!resume_with_answer(2, "v1", 1'000));
  BOOST_TEST(!resume_with_answer(3, "v2", 60'000));
  // Nodes of older builds do not say for how long, or not until when.
  BOOST_TEST(!resume_with_answer(4, "", 0));
  BOOST_TEST(!resume_with_answer(5, "v1", 60'000, 0));
  BOOST_TEST(!resume_with_answer(6, "v1", 60'000, 5'000));
}

/// The list may lack a version that was published a moment ago.
BOOST_FIXTURE_TEST_CASE(unknown_stream_is_refused_while_the_list_of_replicas_is_old,
                        resuming_driver) {
  keep_one_version_alone();
  const auto calls = all<start_call>().size();
  confirms_list = false;
  now += seconds(10);
  resume(1, "never heard of");
  refusal();
  BOOST_TEST(all<start_call>().size() == calls);
  // The list is known without a gap again for as long as a stream may last.
  confirms_list = true;
  advance_time(stream_timeout + list_coverage::max_gap + milliseconds(5));
  resume(2, "never heard of");
  BOOST_TEST(all<start_call>().size() == calls + 1);
}

BOOST_FIXTURE_TEST_CASE(stream_whose_version_has_left_is_refused_at_once, resuming_driver) {
  const auto version = begin(1);
  deliver(client_disconnected{1});
  const std::string prefix = version == "v1" ? "one-" : "two-";
  add(prefix + "a", version, true);
  published.remove_replica(prefix + "b");
  update();
  resume(2, "r1");
  BOOST_TEST(!has_retry_after(refusal()));
  BOOST_TEST(subject.counts().resumptions_of_left_version == 1U);
}

BOOST_FIXTURE_TEST_CASE(answer_under_way_ends_at_once_if_its_version_has_left, resuming_driver) {
  const auto version = begin(1);
  const std::string prefix = version == "v1" ? "one-" : "two-";
  published.remove_replica(prefix + "a");
  published.remove_replica(prefix + "b");
  update();
  deliver(stream_closed{last<start_call>().call, false});
  BOOST_TEST(!last<end_stream>().complete);
  BOOST_TEST(all<start_call>().size() == 1U);
}

/// The replica serves on while it drains, and may go on after a silence.
BOOST_FIXTURE_TEST_CASE(silent_stream_stays_at_its_replica_if_its_version_has_left,
                        resuming_driver) {
  const auto version = begin(1);
  const auto call = last<start_call>();
  const std::string prefix = version == "v1" ? "one-" : "two-";
  published.remove_replica(prefix + "a");
  published.remove_replica(prefix + "b");
  update();
  advance_time(seconds(2));
  BOOST_TEST(all<end_stream>().empty());
  BOOST_TEST(all<cancel_call>().empty());
  deliver(stream_closed{call.call, true});
  BOOST_REQUIRE(all<end_stream>().size() == 1U);
  BOOST_TEST(last<end_stream>().complete);
}

BOOST_FIXTURE_TEST_CASE(silent_stream_ends_if_its_version_has_left_and_its_replica_has_exited,
                        resuming_driver) {
  const auto version = begin(1);
  const auto call = last<start_call>();
  const std::string prefix = version == "v1" ? "one-" : "two-";
  published.remove_replica(prefix + "a");
  published.remove_replica(prefix + "b");
  update();
  advance_time(seconds(2));
  deliver(replica_probed{call.target.replica, probe_result::refused, now});
  advance_time(milliseconds(300));
  deliver(replica_probed{call.target.replica, probe_result::refused, now});
  BOOST_REQUIRE(all<end_stream>().size() == 1U);
  BOOST_TEST(!last<end_stream>().complete);
}

BOOST_FIXTURE_TEST_CASE(suspended_stream_ends_if_its_version_has_left, resuming_driver) {
  const auto version = begin(1);
  deliver(client_window{1, false});
  advance_time(seconds(2));
  BOOST_TEST(subject.counts().streams_suspended == 1U);
  const std::string prefix = version == "v1" ? "one-" : "two-";
  published.remove_replica(prefix + "a");
  published.remove_replica(prefix + "b");
  update();
  advance_time(milliseconds(10));
  BOOST_TEST(all<end_stream>().size() == 1U);
}

/// A new version is told by a witness before this node's list holds its replicas.
BOOST_FIXTURE_TEST_CASE(stream_of_a_version_that_is_not_listed_yet_may_come_back, resuming_driver) {
  tell_by_witness("v3", true);
  resume(2, "r1");
  BOOST_TEST(has_retry_after(refusal()));
}

/// Guards against a record of a call after which another call, at another version, began the
/// stream: only nodes of older builds send it.
BOOST_FIXTURE_TEST_CASE(stream_does_not_go_on_by_an_unbound_record, resuming_driver) {
  tell_by_witness("v1", false);
  resume(2, "r1");
  advance_time(milliseconds(400));
  BOOST_TEST(all<start_call>().empty());
  BOOST_TEST(!has_retry_after(refusal()));
}

/// Guards against a record of a call that is reset without an event: the record of the next call,
/// which begins the stream, may be lost.
BOOST_FIXTURE_TEST_CASE(origin_is_recorded_with_the_first_event_and_not_before, resuming_driver) {
  const auto& registry = subject.stream_origins().registry();
  send_request(1, "/stream/");
  deliver(call_failed{last<start_call>().call, call_failure::may_have_run});
  advance_time(milliseconds(100));
  BOOST_REQUIRE(all<start_call>().size() == 2U);
  BOOST_TEST(registry.size() == 0U);
  const auto call = last<start_call>();
  deliver(stream_opened{call.call, good_head()});
  BOOST_TEST(registry.size() == 0U);
  deliver(stream_bytes{call.call, "id: 1\ndata: x\n\n"});
  const auto* record = registry.find(streams::key_of("tenant", base::request_id("r1")), now);
  BOOST_REQUIRE(record != nullptr);
  BOOST_TEST(record->origin->version.text() == version_of(call.target.replica));
  BOOST_TEST(record->is_bound);
  BOOST_TEST(record->call == 2U);
}

/// The weights of a split route may change between two attempts of a client.
BOOST_FIXTURE_TEST_CASE(resumed_stream_stays_at_its_service_when_the_route_is_split,
                        resuming_driver) {
  published.add_service("other").mutable_engine()->set_slots(8);
  published.add_replica("other-a", "other", "a", false, 0, 4, "v1");
  auto& route = *std::find_if(published.configuration.mutable_routes()->begin(),
                              published.configuration.mutable_routes()->end(),
                              [](const auto& candidate) { return candidate.name() == "/stream/"; });
  auto& target = *route.add_services();
  target.set_service("other");
  target.set_weight(1);
  published.publish_configuration();
  update();
  for (base::caller_id client = 100; client <= 3000; client += 100) {
    send_request(client, "/stream/");
    const auto call = last<start_call>();
    deliver(stream_opened{call.call, good_head()});
    deliver(stream_bytes{call.call, "id: 1\ndata: x\n\n"});
    deliver(client_disconnected{client});
    resume(client + 1, "r" + std::to_string(client));
    const auto is_other = [](const start_call& sent) {
      return sent.target.replica.text().starts_with("other");
    };
    BOOST_TEST(is_other(last<start_call>()) == is_other(call));
    deliver(client_disconnected{client + 1});
  }
}

/// The restart may be published after the new process accepted calls that were meant for the old.
BOOST_FIXTURE_TEST_CASE(stream_ends_if_its_replica_restarts_with_other_software, resuming_driver) {
  published.add_incarnation("three-a", "llm", "a", "10.2.0.1:80", 1000);
  for (const std::string id : {"one-a", "one-b", "two-a", "two-b"}) {
    published.remove_replica(id);
  }
  update();
  send_request(1, "/stream/");
  const auto call = last<start_call>();
  deliver(stream_opened{call.call, good_head()});
  deliver(stream_bytes{call.call, "id: 1\ndata: x\n\n"});
  published.add_incarnation("three-a", "llm", "a", "10.2.0.1:80", 2000, 0, "v3");
  update();
  advance_time(milliseconds(10));
  BOOST_TEST(!last<end_stream>().complete);
  resume(2, "r1");
  BOOST_TEST(!has_retry_after(refusal()));
}

/// Resumed streams can run nowhere else; new requests can.
BOOST_FIXTURE_TEST_CASE(new_requests_leave_room_at_a_version_that_is_nearly_full, resuming_driver) {
  published.remove_replica("two-b");
  update();
  for (base::caller_id client = 1; client <= 9; ++client) {
    send_request(client, "/stream/");
  }
  std::size_t at_minority = 0;
  for (const auto& call : all<start_call>()) {
    at_minority += version_of(call.target.replica) == "v2" ? 1 : 0;
  }
  // The single replica of v2 has four slots.
  BOOST_TEST(at_minority <= 4U);
  BOOST_TEST(all<start_call>().size() == 9U);
}

BOOST_AUTO_TEST_SUITE_END()
