/// Connections to replicas that read nothing for a while, as a stopped process does. The kernel
/// gives a connection up if its peer's receive window stays closed for the timeout of the
/// connection: that timeout must not end a call which cannot be sent to another replica.
#include "upstream/replica_client.h"

#include "replica_stand_in.h"
#include "stand_in_codec.h"

#include "base/time.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

using namespace spurrack;
using namespace spurrack::upstream;

namespace {

/// Longer than the time after which the connection of a repeatable call is given up.
constexpr std::chrono::milliseconds silence{2'500};
constexpr std::chrono::seconds time_left{10};
/// Longer than it takes the kernel to give up the connection of a repeatable call, and shorter than
/// `time_left`.
constexpr std::chrono::milliseconds max_give_up_time{5'000};
/// Size of a body that fits into the send and receive buffers of no connection.
constexpr std::size_t long_body_bytes = 16'000'000;

struct silent_connection_fixture {
  void start_replica(std::vector<call_handling> handlings) {
    replica.emplace(io, std::move(handlings));
  }

  [[nodiscard]] serving::call_target target() const {
    return {base::replica_id("r"), base::network_address(replica->address())};
  }

  [[nodiscard]] serving::start_call call(bool runs_at_most_once) {
    serving::start_call command;
    command.call = next_call++;
    command.target = target();
    auto content = std::make_shared<serving::request_content>();
    content->id = base::request_id("r");
    command.content = content;
    command.time_left = time_left;
    command.runs_at_most_once = runs_at_most_once;
    return command;
  }

  [[nodiscard]] serving::start_stage_call stage_call(bool runs_at_most_once) {
    serving::start_stage_call command;
    command.call = next_call++;
    command.target = target();
    serving::piece_item item;
    item.time_left = time_left;
    command.items.push_back(item);
    command.runs_at_most_once = runs_at_most_once;
    return command;
  }

  [[nodiscard]] serving::start_call streamed_call() {
    auto command = call(false);
    command.streaming = true;
    return command;
  }

  /// Starts a call and runs the io_context until the call's final event.
  template <typename Event, typename Command>
  std::optional<Event> run(Command command) {
    final_event.reset();
    const auto started_at = base::boot_clock::now();
    client->start(std::move(command));
    const auto end = std::chrono::steady_clock::now() + time_left;
    io.restart();
    while (!final_event && std::chrono::steady_clock::now() < end) {
      io.run_one_for(std::chrono::milliseconds(100));
    }
    duration = base::boot_clock::now() - started_at;
    if (!final_event || !std::holds_alternative<Event>(*final_event)) {
      return std::nullopt;
    }
    return std::get<Event>(*final_event);
  }

  void on_event(serving::event event) {
    const bool is_final = std::holds_alternative<serving::call_answered>(event) ||
                          std::holds_alternative<serving::call_failed>(event) ||
                          std::holds_alternative<serving::stream_closed>(event) ||
                          std::holds_alternative<serving::stage_call_ended>(event);
    if (is_final) {
      final_event = std::move(event);
    }
  }

  boost::asio::io_context io;
  stand_in_codec codec{long_body_bytes};
  std::optional<replica_stand_in> replica;
  std::optional<serving::event> final_event;
  base::duration duration{};
  base::call_id next_call = 1;
  std::unique_ptr<replica_client> client =
      make_replica_client(io, codec, {}, std::make_shared<flow::byte_budget>(100'000'000),
                          [this](serving::event event) { on_event(std::move(event)); });
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(silent_connection_test, silent_connection_fixture)

// Guards against a call that must not run twice being failed because its replica stopped reading
// for 2.5 s.
BOOST_AUTO_TEST_CASE(a_call_that_runs_once_waits_for_a_replica_that_stops_reading) {
  start_replica({{silence}});
  const auto answered = run<serving::call_answered>(call(true));
  BOOST_REQUIRE(answered.has_value());
  BOOST_TEST(answered->body == "done");
  BOOST_TEST(base::to_milliseconds(duration) >= silence.count());
}

// Guards against a stream being broken off because its replica stopped reading the rest of the call
// for 2.5 s after the first event.
BOOST_AUTO_TEST_CASE(a_stream_that_has_begun_waits_for_a_replica_that_stops_reading) {
  start_replica({{silence, true}});
  const auto closed = run<serving::stream_closed>(streamed_call());
  BOOST_REQUIRE(closed.has_value());
  BOOST_TEST(closed->complete);
}

// Guards against a resumed stream being broken off before its replica reads on: the client has
// already received events of it.
BOOST_AUTO_TEST_CASE(a_resumed_stream_waits_for_a_replica_that_stops_reading) {
  start_replica({{silence}});
  auto command = streamed_call();
  command.resume_after = 1;
  const auto closed = run<serving::stream_closed>(std::move(command));
  BOOST_REQUIRE(closed.has_value());
  BOOST_TEST(closed->complete);
}

// Guards against a piece with a single attempt being failed because its worker stopped reading.
BOOST_AUTO_TEST_CASE(a_stage_call_that_runs_once_waits_for_a_replica_that_stops_reading) {
  start_replica({{silence}});
  const auto ended = run<serving::stage_call_ended>(stage_call(true));
  BOOST_REQUIRE(ended.has_value());
  BOOST_TEST((ended->outcome == serving::stage_call_ended::result::answered));
}

// Guards against the silence of a worker being told as a failure of its call.
BOOST_AUTO_TEST_CASE(a_stage_call_that_is_given_up_tells_the_timeout) {
  start_replica({{time_left}});
  const auto ended = run<serving::stage_call_ended>(stage_call(false));
  BOOST_REQUIRE(ended.has_value());
  BOOST_TEST((ended->outcome == serving::stage_call_ended::result::failed));
  BOOST_TEST(ended->has_timed_out);
  BOOST_TEST(base::to_milliseconds(duration) < max_give_up_time.count());
}

// Guards against a repeatable call waiting until its deadline at a replica that reads nothing.
BOOST_AUTO_TEST_CASE(a_repeatable_call_without_answer_is_given_up) {
  start_replica({{time_left}});
  const auto failed = run<serving::call_failed>(call(false));
  BOOST_REQUIRE(failed.has_value());
  BOOST_TEST(failed->has_timed_out);
  BOOST_TEST(base::to_milliseconds(duration) >= 1'500);
  BOOST_TEST(base::to_milliseconds(duration) < max_give_up_time.count());
}

// Guards against the bound of one call staying on its connection for the next call.
BOOST_AUTO_TEST_CASE(a_reused_connection_has_the_bound_of_its_next_call) {
  start_replica({{}, {time_left}});
  BOOST_REQUIRE(run<serving::call_answered>(call(true)).has_value());
  const auto failed = run<serving::call_failed>(call(false));
  BOOST_REQUIRE(failed.has_value());
  BOOST_TEST(client->counts().reused == 1u);
  BOOST_TEST(failed->has_timed_out);
  BOOST_TEST(base::to_milliseconds(duration) < max_give_up_time.count());
}

// Guards against a reused connection with the bound of a repeatable call ending a call that must
// not run twice.
BOOST_AUTO_TEST_CASE(a_call_that_runs_once_waits_on_a_reused_connection) {
  start_replica({{}, {silence}});
  BOOST_REQUIRE(run<serving::call_answered>(call(false)).has_value());
  // A call that runs once takes a connection only after surplus bytes would have arrived.
  io.restart();
  io.run_for(std::chrono::milliseconds(20));
  const auto answered = run<serving::call_answered>(call(true));
  BOOST_REQUIRE(answered.has_value());
  BOOST_TEST(client->counts().reused == 1u);
}

// Guards against a call that reads interim answers without end, beyond its attempts and budgets.
BOOST_AUTO_TEST_CASE(a_call_with_interim_answers_without_end_fails) {
  call_handling handling;
  handling.interim_answers = 100'000;
  start_replica({handling});
  const auto failed = run<serving::call_failed>(call(false));
  BOOST_REQUIRE(failed.has_value());
  BOOST_TEST((failed->failure == serving::call_failure::may_have_run));
}

BOOST_AUTO_TEST_CASE(a_few_interim_answers_are_skipped) {
  call_handling handling;
  handling.interim_answers = 3;
  start_replica({handling});
  const auto answered = run<serving::call_answered>(call(false));
  BOOST_REQUIRE(answered.has_value());
  BOOST_TEST(answered->body == "done");
}

BOOST_AUTO_TEST_SUITE_END()
