#include "stage_work/stage_pool.h"

#include "serving_fixture.h"

using namespace spurrack;
using namespace spurrack::serving;

namespace {

struct pool_driver {
  pool_driver()
      : random(1), replicas(base::node_id("n"), base::zone_id("a"), {}, random),
        pool(
            replicas, {}, [this] { return next_call++; },
            [](auto, const auto&, const auto&, const auto&) {}) {
    replicas.update(world.content.replicas(), {});
    pool.set_configuration(world.content.serving());
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

  std::vector<start_stage_call> pump(base::duration span = std::chrono::milliseconds(20)) {
    now += span;
    pool.pump(now);
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

  published_world world;
  base::seeded_random random;
  replica_table replicas;
  base::call_id next_call = 1;
  unsigned handles = 0;
  stage_pool pool;
  base::time_point now{std::chrono::hours(1)};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(stage_pool_test, pool_driver)

BOOST_AUTO_TEST_CASE(pieces_that_come_together_leave_together) {
  submit("r1", std::chrono::seconds(1));
  submit("r1", std::chrono::seconds(1));
  submit("r2", std::chrono::seconds(1));
  const auto calls = pump();
  BOOST_REQUIRE(calls.size() == 1);
  BOOST_TEST(calls.front().items.size() == 3);
}

BOOST_AUTO_TEST_CASE(a_replica_has_one_call_at_a_time_and_what_is_due_first_goes_next) {
  for (int request = 0; request < 10; ++request) {
    submit("r" + std::to_string(request), std::chrono::milliseconds(2000 - 10 * request));
  }
  const auto first = pump();
  BOOST_TEST(first.size() == 2);
  BOOST_TEST(first.front().items.front().request.text() == "r9");
  BOOST_TEST(pump().empty());
  pool.on_call_ended(answered(first.front()), now);
  BOOST_TEST(pool.take_finished().size() == first.front().items.size());
  const auto next = pump();
  BOOST_REQUIRE(next.size() == 1);
  BOOST_TEST(next.front().items.size() == 2);
}

BOOST_AUTO_TEST_CASE(pieces_of_one_request_are_not_torn_apart) {
  for (const auto* request : {"r1", "r2"}) {
    for (int piece = 0; piece < 3; ++piece) {
      submit(request, std::chrono::seconds(1));
    }
  }
  const auto calls = pump();
  BOOST_REQUIRE(calls.size() == 2);
  BOOST_TEST(calls[0].items.size() == 3);
  BOOST_TEST(calls[1].items.size() == 3);
}

BOOST_AUTO_TEST_CASE(no_more_is_asked_than_the_replica_has_room_for) {
  for (int request = 0; request < 4; ++request) {
    submit("r" + std::to_string(request), std::chrono::seconds(1), 400'000);
  }
  const auto calls = pump();
  BOOST_REQUIRE(calls.size() == 2);
  BOOST_TEST(calls[0].items.size() == 2);
  const auto ended = answered(calls[0]);
  pool.on_call_ended(ended, now);
  submit("late", std::chrono::seconds(1), 400'000);
  BOOST_TEST(pump().empty());
  pool.release(ended.pieces[0].handle);
  BOOST_TEST(pump().size() == 1);
}

BOOST_AUTO_TEST_CASE(a_result_nobody_wants_is_freed) {
  const auto ticket = submit("r1", std::chrono::seconds(1));
  const auto calls = pump();
  pool.cancel(ticket);
  pool.on_call_ended(answered(calls.front()), now);
  BOOST_TEST(pool.take_finished().empty());
  const auto commands = pool.take_commands();
  BOOST_REQUIRE(commands.size() == 1);
  BOOST_TEST(std::get<free_results>(commands.front()).handles.size() == 1);
}

BOOST_AUTO_TEST_CASE(a_refused_call_is_made_elsewhere) {
  submit("r1", std::chrono::seconds(1));
  const auto first = pump().front();
  pool.on_call_ended({first.call, stage_call_ended::result::refused, {}}, now);
  const auto second = pump();
  BOOST_REQUIRE(second.size() == 1);
  BOOST_TEST(second.front().target.replica != first.target.replica);
}

BOOST_AUTO_TEST_CASE(a_call_without_answer_is_given_up_and_made_again) {
  submit("r1", std::chrono::seconds(1));
  const auto first = pump().front();
  const auto second = pump(std::chrono::milliseconds(1500));
  BOOST_REQUIRE(second.size() == 1);
  BOOST_TEST(second.front().target.replica != first.target.replica);
}

BOOST_AUTO_TEST_CASE(a_piece_past_its_time_is_not_sent) {
  submit("r1", std::chrono::seconds(1));
  BOOST_TEST(pump(std::chrono::seconds(6)).empty());
  const auto finished = pool.take_finished();
  BOOST_REQUIRE(finished.size() == 1);
  BOOST_TEST((finished.front().outcome.fault == piece_fault::expired));
}

BOOST_AUTO_TEST_CASE(only_pieces_that_are_not_past_due_go_before_a_new_one) {
  submit("late", std::chrono::milliseconds(-1));
  submit("in time", std::chrono::seconds(1));
  BOOST_TEST(pool.waiting("pool") == 2U);
  BOOST_TEST(pool.waiting_in_time("pool", now) == 1U);
}

/// Has a piece that reads a result of replica `pool-b` made, and ends it with `fault`.
struct reading_driver : pool_driver {
  piece_ticket submit_reader(const std::string& request) {
    piece_work work;
    work.request = base::request_id(request);
    work.service = "pool";
    work.inputs = {replicas.find(base::replica_id("pool-b"))->record->address.text() + "/r"};
    work.result_bytes = 1000;
    work.zone = base::zone_id("a");
    work.due = now + std::chrono::seconds(1);
    work.deadline = now + std::chrono::seconds(5);
    return pool.submit(std::move(work), now);
  }
  /// @return whether the inputs of the next piece are taken for fetched `span` after its call.
  bool is_fetched_after(base::duration span) {
    submit_reader("probe");
    BOOST_REQUIRE(pump().size() == 1);
    pump(span);
    return !pool.take_fetched().empty();
  }
  void miss_inputs(bool cancelled) {
    const auto ticket = submit_reader("r");
    const auto call = pump().front();
    pump(std::chrono::milliseconds(100));
    BOOST_REQUIRE(!pool.take_fetched().empty());
    if (cancelled) {
      pool.cancel(ticket);
    }
    auto ended = answered(call);
    ended.pieces.front() = {piece_fault::input_gone, {}};
    pool.on_call_ended(ended, now);
  }
};

BOOST_FIXTURE_TEST_CASE(inputs_that_were_freed_too_early_are_kept_longer, reading_driver) {
  miss_inputs(false);
  BOOST_TEST(!is_fetched_after(std::chrono::milliseconds(100)));
}

BOOST_FIXTURE_TEST_CASE(pieces_nobody_wants_any_more_do_not_keep_inputs_longer, reading_driver) {
  miss_inputs(true);
  BOOST_TEST(is_fetched_after(std::chrono::milliseconds(100)));
}

BOOST_FIXTURE_TEST_CASE(inputs_that_went_with_their_maker_do_not_keep_others_longer,
                        reading_driver) {
  for (int call = 0; call < 3; ++call) {
    replicas.note_failure(base::replica_id("pool-b"), now);
  }
  miss_inputs(false);
  BOOST_TEST(is_fetched_after(std::chrono::milliseconds(100)));
}

constexpr double heavy = 5e6;

BOOST_AUTO_TEST_CASE(pieces_with_large_inputs_wait_for_their_zone_while_they_have_time) {
  submit("first", std::chrono::seconds(2), 1000, heavy);
  const auto in_zone_a = pump();
  BOOST_REQUIRE(in_zone_a.size() == 1);
  BOOST_TEST(in_zone_a.front().target.replica.text() == "pool-a");
  submit("second", std::chrono::seconds(2), 1000, heavy);
  BOOST_TEST(pump().empty());
  pool.on_call_ended(answered(in_zone_a.front()), now);
  const auto next = pump();
  BOOST_REQUIRE(next.size() == 1);
  BOOST_TEST(next.front().target.replica.text() == "pool-a");
}

BOOST_AUTO_TEST_CASE(pieces_that_would_be_late_in_waiting_leave_their_zone) {
  submit("first", std::chrono::seconds(2), 1000, heavy);
  BOOST_REQUIRE(pump().size() == 1);
  submit("urgent", std::chrono::milliseconds(100), 1000, heavy);
  const auto elsewhere = pump();
  BOOST_REQUIRE(elsewhere.size() == 1);
  BOOST_TEST(elsewhere.front().target.replica.text() == "pool-b");
}

BOOST_AUTO_TEST_CASE(pieces_that_are_late_already_do_not_carry_large_inputs_to_another_zone) {
  submit("first", std::chrono::seconds(2), 1000, heavy);
  BOOST_REQUIRE(pump().size() == 1);
  submit("late", std::chrono::milliseconds(-1), 1000, heavy);
  BOOST_TEST(pump().empty());
}

BOOST_AUTO_TEST_CASE(pieces_do_not_wait_for_a_zone_whose_queue_is_long) {
  submit("first", std::chrono::seconds(2), 1000, heavy);
  BOOST_REQUIRE(pump().size() == 1);
  for (int request = 0; request < 12; ++request) {
    submit("r" + std::to_string(request), std::chrono::milliseconds(800), 1000, heavy);
  }
  const auto elsewhere = pump();
  BOOST_REQUIRE(elsewhere.size() == 1);
  BOOST_TEST(elsewhere.front().target.replica.text() == "pool-b");
}

BOOST_AUTO_TEST_CASE(replicas_that_others_keep_busy_are_asked_seldom) {
  // Both replicas are full of another gatherer's calls for three seconds, as after a loss of power
  // of all nodes. A call with all pieces takes 0.24 s; replicas have one slot.
  submit("r1", std::chrono::seconds(5));
  std::size_t refused = 0;
  for (const auto end = now + std::chrono::seconds(3); now < end;) {
    for (const auto& call : pump()) {
      ++refused;
      pool.on_call_ended({call.call, stage_call_ended::result::refused, {}}, now);
    }
  }
  BOOST_TEST_MESSAGE("refused calls in 3 s at 2 replicas: " << refused);
  BOOST_TEST(refused <= 40U);
  BOOST_TEST(refused >= 10U);
}

/// One replica works on pieces; it starts again.
struct restarting_driver : pool_driver {
  restarting_driver() {
    world.remove_replica("pool-b");
    publish(1000);
  }
  void publish(std::uint64_t started_at) {
    world.add_incarnation("pool-a", "pool", "a", "10.0.1.1:80", started_at);
    replicas.update(world.content.replicas(), now);
  }
  void restart() {
    publish(2000);
    BOOST_REQUIRE(replicas.take_restarts().size() == 1U);
    pool.on_restarted(base::replica_id("pool-a"), now);
  }
};

BOOST_FIXTURE_TEST_CASE(calls_at_an_earlier_life_are_cancelled_and_made_again, restarting_driver) {
  submit("r1", std::chrono::seconds(1));
  const auto first = pump().front();
  restart();
  const auto commands = pool.take_commands();
  BOOST_REQUIRE(commands.size() == 1U);
  BOOST_TEST(std::get<cancel_call>(commands.front()).call == first.call);
  const auto second = pump();
  BOOST_REQUIRE(second.size() == 1U);
  BOOST_TEST(second.front().call != first.call);
  BOOST_TEST(replicas.find(base::replica_id("pool-a"))->in_flight == 1U);
  // What the earlier call still brings is nobody's.
  BOOST_TEST(!pool.on_call_ended(answered(first), now));
}

BOOST_FIXTURE_TEST_CASE(a_call_that_began_after_the_restart_goes_on, restarting_driver) {
  restart();
  submit("r1", std::chrono::seconds(1));
  const auto call = pump().front();
  pool.on_restarted(base::replica_id("pool-a"), now);
  BOOST_TEST(pool.take_commands().empty());
  BOOST_TEST(pool.on_call_ended(answered(call), now));
}

BOOST_FIXTURE_TEST_CASE(room_taken_by_results_of_an_earlier_life_is_free, restarting_driver) {
  submit("r1", std::chrono::seconds(1), 400'000);
  submit("r2", std::chrono::seconds(1), 400'000);
  const auto call = pump().front();
  BOOST_REQUIRE(call.items.size() == 2U);
  pool.on_call_ended(answered(call), now);
  submit("late", std::chrono::seconds(1), 400'000);
  BOOST_TEST(pump().empty());
  restart();
  BOOST_TEST(pump().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(room_found_missing_at_an_earlier_life_is_there, restarting_driver) {
  submit("r1", std::chrono::seconds(1), 400'000);
  const auto call = pump().front();
  auto ended = answered(call);
  ended.pieces.front() = {piece_fault::no_room, {}};
  pool.on_call_ended(ended, now);
  BOOST_TEST(pump().empty());
  restart();
  BOOST_TEST(pump().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(inputs_that_went_with_an_earlier_life_were_not_freed_too_early,
                        reading_driver) {
  world.add_incarnation("pool-b", "pool", "b", "10.0.1.1:80", 1000);
  replicas.update(world.content.replicas(), now);
  world.add_incarnation("pool-b", "pool", "b", "10.0.1.1:80", 2000);
  replicas.update(world.content.replicas(), now);
  pool.on_restarted(base::replica_id("pool-b"), now);
  miss_inputs(false);
  BOOST_TEST(is_fetched_after(std::chrono::milliseconds(100)));
}

BOOST_AUTO_TEST_CASE(pieces_of_lost_calls_are_reported_and_go_alone_after_the_second) {
  submit("r1", std::chrono::seconds(1));
  submit("r2", std::chrono::seconds(1));
  for (std::size_t lost_calls = 1; lost_calls <= 2; ++lost_calls) {
    const auto calls = pump(std::chrono::milliseconds(100));
    BOOST_REQUIRE(calls.size() == 1);
    BOOST_TEST(calls.front().items.size() == 2);
    pool.on_call_ended({calls.front().call, stage_call_ended::result::failed, {}}, now);
    const auto lost = pool.take_lost();
    BOOST_REQUIRE(lost.size() == 2);
    BOOST_TEST(lost.front().replica == calls.front().target.replica);
  }
  const auto calls = pump(std::chrono::milliseconds(100));
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
  const auto calls = pump();
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
