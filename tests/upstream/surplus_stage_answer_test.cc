/// Guards against a late second answer of a stage replica that is taken for the answer of the next
/// call, so that requests get the results of other requests.
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

constexpr std::chrono::seconds time_left{5};
/// Longer than a connection must have been idle before it carries another call for pieces.
constexpr std::chrono::milliseconds time_between_calls{50};

struct surplus_stage_answer_fixture {
  void start_replica(std::vector<call_handling> handlings) {
    replica.emplace(io, std::move(handlings));
  }

  [[nodiscard]] serving::call_target target() const {
    return {base::replica_id("r"), base::network_address(replica->address())};
  }

  /// Runs the io_context until `is_done` or the deadline of a call.
  template <typename predicate>
  void run_until(const predicate& is_done) {
    const auto end = std::chrono::steady_clock::now() + time_left;
    io.restart();
    while (!is_done() && std::chrono::steady_clock::now() < end) {
      io.run_one_for(time_between_calls);
    }
  }

  /// @return handle of the result that a call with one piece brought; empty if it brought none.
  std::string run_piece() {
    serving::start_stage_call command;
    command.call = next_call++;
    command.target = target();
    command.items.resize(1);
    command.items.front().time_left = time_left;
    ended.reset();
    client->start(std::move(command));
    run_until([&] { return ended.has_value(); });
    io.restart();
    io.run_for(time_between_calls);
    return ended && ended->pieces.size() == 1 ? ended->pieces.front().handle : "";
  }

  boost::asio::io_context io;
  stand_in_codec codec{1};
  std::optional<replica_stand_in> replica;
  std::optional<serving::stage_call_ended> ended;
  base::call_id next_call = 1;
  std::unique_ptr<replica_client> client = make_replica_client(
      io, codec, {}, std::make_shared<flow::byte_budget>(100'000'000),
      [this](serving::event event) {
        if (auto* final_event = std::get_if<serving::stage_call_ended>(&event)) {
          ended = std::move(*final_event);
        }
      });
};

call_handling answer(const std::string& body, bool repeats_last_answer, bool names_no_id = false) {
  call_handling handling;
  handling.body = body;
  handling.repeats_last_answer = repeats_last_answer;
  handling.names_no_id = names_no_id;
  return handling;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(surplus_stage_answer_test, surplus_stage_answer_fixture)

BOOST_AUTO_TEST_CASE(a_late_second_answer_is_no_answer_of_the_next_call) {
  start_replica({answer("first", false), answer("second", true), answer("third", true)});
  BOOST_TEST(run_piece() == "first");
  BOOST_TEST(run_piece() == "second");
  BOOST_TEST(run_piece() == "third");
  BOOST_TEST(client->counts().surplus_answers == 2U);
  BOOST_TEST(replica->connections() == 1U);
}

/// A late answer to a call that frees results must not stand for the results of pieces either.
BOOST_AUTO_TEST_CASE(a_late_answer_to_freed_results_is_no_answer_of_the_next_call) {
  start_replica({answer("freed", false), answer("second", true)});
  client->start(serving::free_results{target(), {"handle"}});
  io.restart();
  io.run_for(time_between_calls);
  BOOST_TEST(run_piece() == "second");
  BOOST_TEST(replica->connections() == 1U);
}

/// Replicas whose answers to calls for pieces name no id are served as before.
BOOST_AUTO_TEST_CASE(an_answer_without_an_id_answers_the_call) {
  start_replica({answer("first", false, true), answer("second", false, true)});
  BOOST_TEST(run_piece() == "first");
  BOOST_TEST(run_piece() == "second");
}

BOOST_AUTO_TEST_SUITE_END()
