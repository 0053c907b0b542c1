#include "stage_work/stage_pool.h"

#include "serving_fixture.h"

using namespace spurrack;
using namespace spurrack::serving;

namespace {

/// A pool with the replicas `pool-a` and `pool-b` in zones `a` and `b`.
struct pool_driver {
  pool_driver()
      : random(1), replicas(base::node_id("n"), base::zone_id("a"), {}, random),
        pool(
            replicas, {}, [this] { return next_call++; },
            [](auto, const auto&, const auto&, const auto&) {}) {
    replicas.update(published.content.replicas(), {});
    pool.set_configuration(published.content.serving());
  }

  piece_ticket submit(const std::string& request, base::duration due, double bytes = 1000,
                      double carried_bytes = 0) {
    piece_work work;
    work.request = base::request_id(request);
    work.service = "pool";
    work.piece_key = "k";
    work.result_bytes = bytes;
    work.zone = base::zone_id("a");
    work.carried_bytes = carried_bytes;
    work.due = now + due;
    work.deadline = now + std::chrono::seconds(5);
    return pool.submit(std::move(work), now);
  }

  /// Advances the time by `duration` and dispatches waiting pieces.
  /// @return the calls that the pool started.
  std::vector<start_stage_call>
  start_calls(base::duration duration = std::chrono::milliseconds(20)) {
    now += duration;
    pool.dispatch_waiting(now);
    std::vector<start_stage_call> calls;
    for (auto& command : pool.take_commands()) {
      if (auto* call = std::get_if<start_stage_call>(&command)) {
        calls.push_back(std::move(*call));
      }
    }
    return calls;
  }

  stage_call_ended answered(const start_stage_call& call) {
    stage_call_ended ended{call.call, stage_call_ended::result::answered, {}};
    for (std::size_t index = 0; index < call.items.size(); ++index) {
      ended.pieces.push_back(
          {piece_fault::none, call.target.address.text() + "/" + std::to_string(handles++)});
    }
    return ended;
  }

  published_catalog published;
  base::seeded_random random;
  replica_table replicas;
  base::call_id next_call = 1;
  unsigned handles = 0;
  stage_pool pool;
  base::time_point now{std::chrono::hours(1)};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(stage_pool_test, pool_driver)

struct emptied_queue_driver : pool_driver {
  /// Submits pieces for three full batches, of which two are dispatched.
  /// @return tickets of the pieces that wait.
  std::vector<piece_ticket> leave_a_batch_waiting() {
    for (int piece = 0; piece < 12; ++piece) {
      submit("r" + std::to_string(piece), std::chrono::seconds(1));
    }
    for (const auto& call : start_calls()) {
      pool.on_call_ended(answered(call), now);
    }
    return pool.waiting_tickets("pool");
  }

  /// Checks that pieces which wait eight seconds later are not expected to wait long.
  void check_no_low_rate_after_idle_time() {
    start_calls(std::chrono::seconds(8));
    leave_a_batch_waiting();
    BOOST_TEST(!pool.drain_rate_of("pool", now).has_value());
  }
};

// Guards against waits of half a minute that are expected for a short queue: a drain rate measured
// over the time in which nothing waited, because the pieces that waited last were handed over.
BOOST_FIXTURE_TEST_CASE(time_after_waiting_pieces_were_cancelled_lowers_no_drain_rate,
                        emptied_queue_driver) {
  const auto waiting = leave_a_batch_waiting();
  BOOST_REQUIRE(waiting.size() == 4U);
  for (const auto ticket : waiting) {
    pool.cancel(ticket);
  }
  check_no_low_rate_after_idle_time();
}

// The same for pieces that waited last until their deadline.
BOOST_FIXTURE_TEST_CASE(time_after_waiting_pieces_expired_lowers_no_drain_rate,
                        emptied_queue_driver) {
  BOOST_REQUIRE(leave_a_batch_waiting().size() == 4U);
  check_no_low_rate_after_idle_time();
}

BOOST_AUTO_TEST_CASE(pieces_submitted_together_share_a_call) {
  submit("r1", std::chrono::seconds(1));
  submit("r1", std::chrono::seconds(1));
  submit("r2", std::chrono::seconds(1));
  const auto calls = start_calls();
  BOOST_REQUIRE(calls.size() == 1);
  BOOST_TEST(calls.front().items.size() == 3);
}

BOOST_AUTO_TEST_CASE(each_replica_gets_one_call_at_a_time_with_the_earliest_due_pieces) {
  for (int request = 0; request < 10; ++request) {
    submit("r" + std::to_string(request), std::chrono::milliseconds(2000 - 10 * request));
  }
  const auto first = start_calls();
  BOOST_TEST(first.size() == 2);
  BOOST_TEST(first.front().items.front().request.text() == "r9");
  BOOST_TEST(start_calls().empty());
  pool.on_call_ended(answered(first.front()), now);
  BOOST_TEST(pool.take_finished().size() == first.front().items.size());
  const auto next = start_calls();
  BOOST_REQUIRE(next.size() == 1);
  BOOST_TEST(next.front().items.size() == 2);
}

BOOST_AUTO_TEST_CASE(pieces_of_one_request_share_a_call) {
  for (const auto* request : {"r1", "r2"}) {
    for (int piece = 0; piece < 3; ++piece) {
      submit(request, std::chrono::seconds(1));
    }
  }
  const auto calls = start_calls();
  BOOST_REQUIRE(calls.size() == 2);
  BOOST_TEST(calls[0].items.size() == 3);
  BOOST_TEST(calls[1].items.size() == 3);
}

BOOST_AUTO_TEST_CASE(calls_stay_within_the_result_memory_of_the_replica) {
  for (int request = 0; request < 4; ++request) {
    submit("r" + std::to_string(request), std::chrono::seconds(1), 400'000);
  }
  const auto calls = start_calls();
  BOOST_REQUIRE(calls.size() == 2);
  BOOST_TEST(calls[0].items.size() == 2);
  const auto ended = answered(calls[0]);
  pool.on_call_ended(ended, now);
  submit("late", std::chrono::seconds(1), 400'000);
  BOOST_TEST(start_calls().empty());
  pool.release_own(ended.pieces[0].handle);
  BOOST_TEST(start_calls().size() == 1);
}

BOOST_AUTO_TEST_CASE(a_result_nobody_wants_is_freed) {
  const auto ticket = submit("r1", std::chrono::seconds(1));
  const auto calls = start_calls();
  pool.cancel(ticket);
  pool.on_call_ended(answered(calls.front()), now);
  BOOST_TEST(pool.take_finished().empty());
  const auto commands = pool.take_commands();
  BOOST_REQUIRE(commands.size() == 1);
  BOOST_TEST(std::get<free_results>(commands.front()).handles.size() == 1);
}

BOOST_AUTO_TEST_CASE(refused_call_is_sent_to_another_replica) {
  submit("r1", std::chrono::seconds(1));
  const auto first = start_calls().front();
  pool.on_call_ended({first.call, stage_call_ended::result::refused, {}}, now);
  const auto second = start_calls();
  BOOST_REQUIRE(second.size() == 1);
  BOOST_TEST(second.front().target.replica != first.target.replica);
}

BOOST_AUTO_TEST_CASE(call_without_answer_is_cancelled_and_retried) {
  submit("r1", std::chrono::seconds(1));
  const auto first = start_calls().front();
  const auto second = start_calls(std::chrono::milliseconds(1500));
  BOOST_REQUIRE(second.size() == 1);
  BOOST_TEST(second.front().target.replica != first.target.replica);
}

BOOST_AUTO_TEST_CASE(piece_past_its_deadline_is_not_sent) {
  submit("r1", std::chrono::seconds(1));
  BOOST_TEST(start_calls(std::chrono::seconds(6)).empty());
  const auto finished = pool.take_finished();
  BOOST_REQUIRE(finished.size() == 1);
  BOOST_TEST((finished.front().outcome.fault == piece_fault::expired));
}

BOOST_AUTO_TEST_CASE(waiting_in_time_count_excludes_pieces_past_due) {
  submit("late", std::chrono::milliseconds(-1));
  submit("in time", std::chrono::seconds(1));
  BOOST_TEST(pool.waiting_count("pool") == 2U);
  BOOST_TEST(pool.waiting_in_time_count("pool", now) == 1U);
}

/// A pool whose pieces read a result that replica `pool-b` produced.
struct input_driver : pool_driver {
  piece_ticket submit_piece_with_input(const std::string& request) {
    piece_work work;
    work.request = base::request_id(request);
    work.service = "pool";
    const auto& producer = producer_of_inputs;
    work.inputs = {{producer.address.text() + "/r",
                    {producer.id, producer.address, exit_id_of(producer), producer.service}}};
    work.result_bytes = 1000;
    work.zone = base::zone_id("a");
    work.due = now + std::chrono::seconds(1);
    work.deadline = now + std::chrono::seconds(5);
    return pool.submit(std::move(work), now);
  }
  model::replica producer_of_inputs = *replicas.find(base::replica_id("pool-b"))->record;
  /// @return whether the inputs of the next piece are assumed to be fetched `duration` after the
  ///         start of its call.
  bool are_inputs_fetched_after(base::duration duration) {
    submit_piece_with_input("probe");
    BOOST_REQUIRE(start_calls().size() == 1);
    start_calls(duration);
    return !pool.take_fetched().empty();
  }
  /// Submits a piece, waits until its inputs are assumed to be fetched, and answers its call with
  /// the fault that an input no longer exists.
  /// @param cancelled whether the piece is cancelled before the answer.
  void fail_with_missing_input(bool cancelled) {
    const auto ticket = submit_piece_with_input("r");
    const auto call = start_calls().front();
    start_calls(std::chrono::milliseconds(100));
    BOOST_REQUIRE(!pool.take_fetched().empty());
    if (cancelled) {
      pool.cancel(ticket);
    }
    auto ended = answered(call);
    ended.pieces.front() = {piece_fault::input_gone, {}};
    pool.on_call_ended(ended, now);
  }
};

BOOST_FIXTURE_TEST_CASE(inputs_freed_too_early_extend_the_fetch_time, input_driver) {
  fail_with_missing_input(false);
  BOOST_TEST(!are_inputs_fetched_after(std::chrono::milliseconds(100)));
}

BOOST_FIXTURE_TEST_CASE(cancelled_pieces_do_not_extend_the_fetch_time, input_driver) {
  fail_with_missing_input(true);
  BOOST_TEST(are_inputs_fetched_after(std::chrono::milliseconds(100)));
}

BOOST_FIXTURE_TEST_CASE(inputs_lost_with_their_producer_do_not_extend_the_fetch_time,
                        input_driver) {
  for (int call = 0; call < 3; ++call) {
    replicas.note_failure(base::replica_id("pool-b"), now);
  }
  fail_with_missing_input(false);
  BOOST_TEST(are_inputs_fetched_after(std::chrono::milliseconds(100)));
}

/// Guards against a fetch time that grows since a sound replica has the address of the input's
/// producer, which has ended.
BOOST_AUTO_TEST_CASE(inputs_of_an_ended_process_do_not_extend_the_fetch_time) {
  for (const std::string successor : {"pool-c", "plain-c"}) {
    input_driver driver;
    const auto address = driver.producer_of_inputs.address.text();
    driver.published.remove_replica("pool-b");
    driver.published.add_incarnation(successor, successor.substr(0, successor.find('-')), "b",
                                     address, 2000);
    driver.replicas.update(driver.published.content.replicas(), driver.now);
    driver.fail_with_missing_input(false);
    BOOST_TEST(driver.are_inputs_fetched_after(std::chrono::milliseconds(100)), successor);
  }
}

/// Size of inputs whose transfer to another zone costs more than a short wait for the preferred
/// zone.
constexpr double large_input_bytes = 5e6;

BOOST_AUTO_TEST_CASE(pieces_with_large_inputs_wait_for_their_zone_before_their_due_time) {
  submit("first", std::chrono::seconds(2), 1000, large_input_bytes);
  const auto in_zone_a = start_calls();
  BOOST_REQUIRE(in_zone_a.size() == 1);
  BOOST_TEST(in_zone_a.front().target.replica.text() == "pool-a");
  submit("second", std::chrono::seconds(2), 1000, large_input_bytes);
  BOOST_TEST(start_calls().empty());
  pool.on_call_ended(answered(in_zone_a.front()), now);
  const auto next = start_calls();
  BOOST_REQUIRE(next.size() == 1);
  BOOST_TEST(next.front().target.replica.text() == "pool-a");
}

BOOST_AUTO_TEST_CASE(pieces_that_cannot_wait_run_in_another_zone) {
  submit("first", std::chrono::seconds(2), 1000, large_input_bytes);
  BOOST_REQUIRE(start_calls().size() == 1);
  submit("urgent", std::chrono::milliseconds(100), 1000, large_input_bytes);
  const auto calls_in_other_zone = start_calls();
  BOOST_REQUIRE(calls_in_other_zone.size() == 1);
  BOOST_TEST(calls_in_other_zone.front().target.replica.text() == "pool-b");
}

BOOST_AUTO_TEST_CASE(pieces_past_due_with_large_inputs_stay_in_their_zone) {
  submit("first", std::chrono::seconds(2), 1000, large_input_bytes);
  BOOST_REQUIRE(start_calls().size() == 1);
  submit("late", std::chrono::milliseconds(-1), 1000, large_input_bytes);
  BOOST_TEST(start_calls().empty());
}

BOOST_AUTO_TEST_CASE(pieces_do_not_wait_for_a_zone_with_a_long_queue) {
  submit("first", std::chrono::seconds(2), 1000, large_input_bytes);
  BOOST_REQUIRE(start_calls().size() == 1);
  for (int request = 0; request < 12; ++request) {
    submit("r" + std::to_string(request), std::chrono::milliseconds(800), 1000, large_input_bytes);
  }
  const auto calls_in_other_zone = start_calls();
  BOOST_REQUIRE(calls_in_other_zone.size() == 1);
  BOOST_TEST(calls_in_other_zone.front().target.replica.text() == "pool-b");
}

BOOST_AUTO_TEST_CASE(replicas_busy_with_calls_of_others_are_retried_rarely) {
  // Calls of another batcher occupy both replicas for three seconds, as after a power loss of all
  // nodes. A call with a full batch takes 0.24 s; each replica runs one call at a time.
  submit("r1", std::chrono::seconds(5));
  std::size_t refused = 0;
  for (const auto end = now + std::chrono::seconds(3); now < end;) {
    for (const auto& call : start_calls()) {
      ++refused;
      pool.on_call_ended({call.call, stage_call_ended::result::refused, {}}, now);
    }
  }
  BOOST_TEST_MESSAGE("refused calls in 3 s at 2 replicas: " << refused);
  BOOST_TEST(refused <= 40U);
  BOOST_TEST(refused >= 10U);
}

/// A pool with one replica, `pool-a`, that can restart.
struct restart_driver : pool_driver {
  restart_driver() {
    published.remove_replica("pool-b");
    publish(1000);
  }
  void publish(std::uint64_t started_at) {
    published.add_incarnation("pool-a", "pool", "a", "10.0.1.1:80", started_at);
    replicas.update(published.content.replicas(), now);
  }
  void restart() {
    publish(2000);
    BOOST_REQUIRE(replicas.take_restarts().size() == 1U);
    pool.on_replica_restarted(base::replica_id("pool-a"), now);
  }
};

BOOST_FIXTURE_TEST_CASE(calls_to_an_earlier_incarnation_are_cancelled_and_retried, restart_driver) {
  submit("r1", std::chrono::seconds(1));
  const auto first = start_calls().front();
  restart();
  const auto commands = pool.take_commands();
  BOOST_REQUIRE(commands.size() == 1U);
  BOOST_TEST(std::get<cancel_call>(commands.front()).call == first.call);
  const auto second = start_calls();
  BOOST_REQUIRE(second.size() == 1U);
  BOOST_TEST(second.front().call != first.call);
  BOOST_TEST(replicas.find(base::replica_id("pool-a"))->in_flight == 1U);
  // A late answer to the cancelled call is ignored.
  BOOST_TEST(!pool.on_call_ended(answered(first), now));
}

BOOST_FIXTURE_TEST_CASE(call_started_after_the_restart_continues, restart_driver) {
  restart();
  submit("r1", std::chrono::seconds(1));
  const auto call = start_calls().front();
  pool.on_replica_restarted(base::replica_id("pool-a"), now);
  BOOST_TEST(pool.take_commands().empty());
  BOOST_TEST(pool.on_call_ended(answered(call), now));
}

BOOST_FIXTURE_TEST_CASE(restart_releases_the_memory_of_results, restart_driver) {
  submit("r1", std::chrono::seconds(1), 400'000);
  submit("r2", std::chrono::seconds(1), 400'000);
  const auto call = start_calls().front();
  BOOST_REQUIRE(call.items.size() == 2U);
  pool.on_call_ended(answered(call), now);
  submit("late", std::chrono::seconds(1), 400'000);
  BOOST_TEST(start_calls().empty());
  restart();
  BOOST_TEST(start_calls().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(restart_clears_unaccounted_memory, restart_driver) {
  submit("r1", std::chrono::seconds(1), 400'000);
  const auto call = start_calls().front();
  auto ended = answered(call);
  ended.pieces.front() = {piece_fault::out_of_memory, {}};
  pool.on_call_ended(ended, now);
  BOOST_TEST(start_calls().empty());
  restart();
  BOOST_TEST(start_calls().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(inputs_lost_in_a_restart_do_not_extend_the_fetch_time, input_driver) {
  published.add_incarnation("pool-b", "pool", "b", "10.0.1.1:80", 1000);
  replicas.update(published.content.replicas(), now);
  published.add_incarnation("pool-b", "pool", "b", "10.0.1.1:80", 2000);
  replicas.update(published.content.replicas(), now);
  pool.on_replica_restarted(base::replica_id("pool-b"), now);
  fail_with_missing_input(false);
  BOOST_TEST(are_inputs_fetched_after(std::chrono::milliseconds(100)));
}

BOOST_AUTO_TEST_CASE(pieces_are_reported_lost_and_isolated_after_two_lost_calls) {
  submit("r1", std::chrono::seconds(1));
  submit("r2", std::chrono::seconds(1));
  for (std::size_t lost_calls = 1; lost_calls <= 2; ++lost_calls) {
    const auto calls = start_calls(std::chrono::milliseconds(100));
    BOOST_REQUIRE(calls.size() == 1);
    BOOST_TEST(calls.front().items.size() == 2);
    pool.on_call_ended({calls.front().call, stage_call_ended::result::failed, {}}, now);
    const auto lost = pool.take_lost();
    BOOST_REQUIRE(lost.size() == 2);
    BOOST_TEST(lost.front().replica == calls.front().target.replica);
  }
  const auto calls = start_calls(std::chrono::milliseconds(100));
  BOOST_REQUIRE(calls.size() == 2);
  BOOST_TEST(calls[0].items.size() == 1);
  BOOST_TEST(calls[1].items.size() == 1);
}

BOOST_AUTO_TEST_CASE(a_piece_with_a_single_attempt_goes_alone_and_ends_with_its_call) {
  piece_work work;
  work.request = base::request_id("suspected");
  work.service = "pool";
  work.piece_key = "k";
  work.result_bytes = 1000;
  work.zone = base::zone_id("a");
  work.due = now + std::chrono::seconds(1);
  work.deadline = now + std::chrono::seconds(5);
  work.single_attempt = true;
  const auto ticket = pool.submit(work, now);
  submit("other", std::chrono::seconds(2));
  const auto calls = start_calls();
  BOOST_REQUIRE(calls.size() == 2);
  BOOST_REQUIRE(calls.front().items.size() == 1);
  BOOST_TEST(calls.front().items.front().request.text() == "suspected");
  pool.on_call_ended({calls.front().call, stage_call_ended::result::failed, {}}, now);
  const auto finished = pool.take_finished();
  BOOST_REQUIRE(finished.size() == 1);
  BOOST_TEST(finished.front().ticket == ticket);
  BOOST_TEST((finished.front().outcome.fault == piece_fault::lost));
}

BOOST_AUTO_TEST_SUITE_END()
