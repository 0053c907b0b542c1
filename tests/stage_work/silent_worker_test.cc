/// Silent workers: replicas that compute pieces, send nothing for a while, and go on where they
/// were. A request whose pieces are at a silent worker must get its results, at that worker or at
/// another one, before its deadline.
#include "stage_work/stage_pool.h"

#include "serving_fixture.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace spurrack;
using namespace spurrack::serving;

namespace {

using std::chrono::milliseconds;

/// Time that a worker takes for one call.
constexpr milliseconds call_time{210};
constexpr milliseconds step{10};
constexpr std::chrono::seconds piece_lifetime{5};

/// A worker that runs one call at a time, and rejects calls meanwhile.
struct worker {
  base::time_point silent_from{};
  base::time_point silent_until{};
  std::optional<start_stage_call> running;
  /// Calls that arrived during the silence, and are read afterwards.
  std::vector<start_stage_call> unread;
  base::time_point done_at{};

  [[nodiscard]] bool is_silent(base::time_point now) const {
    return now >= silent_from && now < silent_until;
  }
};

/// A pool with the workers `pool-a` and `pool-b`, which compute results unless they are silent.
struct silent_worker_fixture {
  silent_worker_fixture()
      : random(1), replicas(base::node_id("n"), base::zone_id("a"), {}, random),
        pool(
            replicas, {}, [this] { return next_call++; },
            [](auto, const auto&, const auto&, const auto&) {}) {
    replicas.update(published.content.replicas(), {});
    pool.set_configuration(published.content.serving());
  }

  void silence(const std::string& name, base::duration begins_in, base::duration duration) {
    workers[name].silent_from = now + begins_in;
    workers[name].silent_until = now + begins_in + duration;
  }

  piece_ticket submit(const std::string& request, bool single_attempt = false,
                      base::duration lifetime = piece_lifetime) {
    piece_work work;
    work.request = base::request_id(request);
    work.service = "pool";
    work.piece_key = "k";
    work.result_bytes = 1000;
    work.zone = base::zone_id("a");
    work.due = now + std::chrono::seconds(1);
    work.deadline = now + lifetime;
    work.single_attempt = single_attempt;
    const auto ticket = pool.submit(std::move(work), now);
    deadlines[ticket] = now + lifetime;
    return ticket;
  }

  void run(base::duration duration) {
    for (const auto end = now + duration; now < end;) {
      now += step;
      for (auto& [name, target] : workers) {
        work_at(target);
      }
      pool.dispatch_waiting(now);
      carry_out_commands();
      for (const auto& finished : pool.take_finished()) {
        outcomes[finished.ticket] = finished.outcome.fault;
      }
      cancel_past_deadline();
    }
  }

  void work_at(worker& target) {
    if (target.is_silent(now)) {
      return;
    }
    if (target.running && now >= target.done_at) {
      const auto call = std::move(*target.running);
      target.running.reset();
      stage_call_ended ended{call.call, stage_call_ended::result::answered, {}};
      for (std::size_t index = 0; index < call.items.size(); ++index) {
        ended.pieces.push_back(
            {piece_fault::none, call.target.address.text() + "/" + std::to_string(handles++)});
      }
      end_call(ended);
    }
    for (auto& call : std::exchange(target.unread, {})) {
      receive(target, std::move(call));
    }
  }

  void receive(worker& target, start_stage_call call) {
    if (target.is_silent(now)) {
      target.unread.push_back(std::move(call));
    } else if (target.running) {
      end_call({call.call, stage_call_ended::result::refused, {}});
    } else {
      target.running = std::move(call);
      target.done_at = now + call_time;
    }
  }

  /// A worker that finishes a cancelled call finds its connection closed.
  void end_call(const stage_call_ended& ended) {
    if (!cancelled.contains(ended.call)) {
      open.erase(ended.call);
      pool.on_call_ended(ended, now);
    }
  }

  void carry_out_commands() {
    std::vector<base::call_id> given_up;
    std::size_t started = 0;
    for (auto& command : pool.take_commands()) {
      if (const auto* cancel = std::get_if<cancel_call>(&command)) {
        cancelled.insert(cancel->call);
        given_up.push_back(cancel->call);
      } else if (auto* call = std::get_if<start_stage_call>(&command)) {
        ++started;
        open.insert(call->call);
        auto& target = workers[call->target.replica.text()];
        receive(target, std::move(*call));
      }
    }
    for (const auto call : given_up) {
      open.erase(call);
      ++calls_given_up;
      calls_given_up_without_successor += started == 0 ? 1 : 0;
    }
  }

  /// Does what the dispatcher does with the pieces of requests that end at their deadline.
  void cancel_past_deadline() {
    for (const auto& [ticket, deadline] : deadlines) {
      if (now >= deadline && !outcomes.contains(ticket)) {
        pool.cancel(ticket);
        outcomes[ticket] = piece_fault::expired;
      }
    }
  }

  [[nodiscard]] std::size_t count_outcomes(piece_fault fault) const {
    return static_cast<std::size_t>(
        std::count_if(outcomes.begin(), outcomes.end(),
                      [&](const auto& outcome) { return outcome.second == fault; }));
  }

  published_catalog published;
  base::seeded_random random;
  replica_table replicas;
  base::call_id next_call = 1;
  unsigned handles = 0;
  stage_pool pool;
  base::time_point now{std::chrono::hours(1)};
  std::map<std::string, worker> workers;
  std::set<base::call_id> open;
  std::set<base::call_id> cancelled;
  std::size_t calls_given_up = 0;
  /// Calls that were cancelled while no other call was started in their place.
  std::size_t calls_given_up_without_successor = 0;
  std::map<piece_ticket, base::time_point> deadlines;
  std::map<piece_ticket, piece_fault> outcomes;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(silent_worker_test, silent_worker_fixture)

// Guards against a call at a silent worker being given up while no other worker can take its
// pieces: the worker's results would be thrown away, and the pieces computed again.
BOOST_AUTO_TEST_CASE(a_call_stays_while_no_other_worker_can_take_its_pieces) {
  silence("pool-a", milliseconds(100), std::chrono::seconds(3));
  silence("pool-b", milliseconds(100), std::chrono::seconds(3));
  constexpr std::size_t pieces = 8;
  for (std::size_t request = 0; request < pieces; ++request) {
    submit("r" + std::to_string(request));
  }
  run(milliseconds(3'500));
  BOOST_TEST(next_call == 3u, "both workers have one full call");
  BOOST_TEST(calls_given_up == 0u);
  BOOST_TEST(count_outcomes(piece_fault::none) == pieces);
}

// Guards against pieces waiting for a silent worker although another one is free.
BOOST_AUTO_TEST_CASE(a_call_is_given_up_for_a_free_worker) {
  silence("pool-a", milliseconds(50), std::chrono::seconds(3));
  silence("pool-b", milliseconds(0), milliseconds(0));
  submit("r1");
  run(milliseconds(2'000));
  BOOST_TEST(calls_given_up == 1u);
  BOOST_TEST(calls_given_up_without_successor == 0u);
  BOOST_TEST(count_outcomes(piece_fault::none) == 1u);
}

// Guards against a piece with a single attempt being failed by silence alone.
BOOST_AUTO_TEST_CASE(a_piece_with_a_single_attempt_stays_at_a_silent_worker) {
  silence("pool-a", milliseconds(50), std::chrono::seconds(3));
  silence("pool-b", milliseconds(50), std::chrono::seconds(3));
  submit("suspected", true);
  run(milliseconds(4'000));
  BOOST_TEST(calls_given_up == 0u);
  BOOST_TEST(count_outcomes(piece_fault::none) == 1u);
}

// Guards against a call that nobody waits for keeping its slot at a worker that never answers.
BOOST_AUTO_TEST_CASE(a_call_without_remaining_pieces_is_cancelled) {
  silence("pool-a", milliseconds(50), std::chrono::hours(1));
  silence("pool-b", milliseconds(50), std::chrono::hours(1));
  submit("suspected", true);
  submit("r1");
  run(piece_lifetime + milliseconds(300));
  BOOST_TEST(count_outcomes(piece_fault::expired) == 2u);
  BOOST_TEST(open.empty());
  BOOST_TEST(pool.calls_under_way("pool") == 0u);
}

// Guards against timeouts using up the attempts of a piece: connections that the kernel gives up
// while their worker acknowledges nothing are silence, too.
BOOST_AUTO_TEST_CASE(connections_that_time_out_use_up_no_attempts) {
  submit("r1", false, std::chrono::hours(1));
  constexpr int timeouts = 8;
  /// Longer than a replica is paused after a timeout.
  constexpr int max_steps = 1'000;
  for (int timeout = 0; timeout < timeouts; ++timeout) {
    for (int steps = 0; open.empty() && steps < max_steps; ++steps) {
      now += step;
      pool.dispatch_waiting(now);
      carry_out_commands();
    }
    BOOST_REQUIRE(open.size() == 1u);
    stage_call_ended ended{*open.begin(), stage_call_ended::result::failed, {}};
    ended.has_timed_out = true;
    open.clear();
    workers.clear();
    pool.on_call_ended(ended, now);
    BOOST_TEST(pool.take_lost().size() == 1u);
    BOOST_REQUIRE(pool.take_finished().empty());
  }
}

// Guards against requests that end without a result although their workers go on in time: silences
// of one or both workers, before and after pieces are computed.
BOOST_AUTO_TEST_CASE(drawn_silences_fail_no_piece) {
  constexpr int draws = 1'000;
  std::size_t pieces = 0;
  for (std::uint64_t seed = 1; seed <= draws; ++seed) {
    silent_worker_fixture drawn;
    base::seeded_random draw(seed);
    const auto draw_below = [&](double limit) {
      return milliseconds(static_cast<int>(draw.next_fraction() * limit));
    };
    const bool both = draw.next_fraction() < 0.5;
    drawn.silence("pool-a", draw_below(400), milliseconds(500) + draw_below(2'500));
    drawn.silence("pool-b", draw_below(400),
                  both ? milliseconds(500) + draw_below(2'500) : milliseconds(0));
    const auto requests = 1 + static_cast<int>(draw.next_fraction() * 4);
    for (int request = 0; request < requests; ++request) {
      drawn.submit("r" + std::to_string(request), draw.next_fraction() < 0.2);
      drawn.run(draw_below(200));
    }
    drawn.run(piece_lifetime);
    pieces += drawn.outcomes.size();
    BOOST_TEST(drawn.count_outcomes(piece_fault::none) == drawn.outcomes.size(),
               "seed " << seed << ": " << drawn.outcomes.size() << " pieces, "
                       << drawn.count_outcomes(piece_fault::none) << " results, "
                       << drawn.count_outcomes(piece_fault::lost) << " lost, "
                       << drawn.count_outcomes(piece_fault::expired) << " expired");
    BOOST_TEST(drawn.calls_given_up_without_successor == 0u, "seed " << seed);
    BOOST_TEST(drawn.outcomes.size() == static_cast<std::size_t>(requests), "seed " << seed);
  }
  BOOST_TEST_MESSAGE(pieces << " pieces in " << draws << " draws");
}

BOOST_AUTO_TEST_SUITE_END()
