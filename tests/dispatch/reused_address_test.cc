/// Results of stage replicas whose address is used again by another process. Guards against results
/// that are freed, taken for lost or located at whichever replica has the address in their handle
/// now: a replica of another service then runs a request that no client sent.
#include "serving_fixture.h"

#include "stage_work/result_messages.h"

#include <algorithm>
#include <array>

using namespace spurrack;
using namespace spurrack::serving;
using std::chrono::milliseconds;

namespace {

const std::string used_address = "10.0.1.1:80";

/// Who has the address of the producer after the producer has ended.
enum class successor : std::uint8_t { other_service, same_service, same_replica };
constexpr std::array successors{successor::other_service, successor::same_service,
                                successor::same_replica};

/// Node whose only stage replica in its own zone is `pool-a`, at `used_address`.
struct reuse_driver : dispatcher_driver {
  reuse_driver() {
    published.add_incarnation("pool-a", "pool", "a", used_address, 1000);
    update();
  }

  void update() {
    subject.update(published.content, now);
    subject.advance(now);
    for (auto& command : subject.take_commands()) {
      commands.push_back(std::move(command));
    }
  }

  /// Ends the process of `pool-a` and starts another process at its address.
  void replace_producer(successor by) {
    if (by != successor::same_replica) {
      published.remove_replica("pool-a");
      update();
    }
    switch (by) {
    case successor::other_service:
      published.add_incarnation("plain-c", "plain", "b", used_address, 2000);
      break;
    case successor::same_service:
      published.add_incarnation("pool-c", "pool", "b", used_address, 2000);
      break;
    case successor::same_replica:
      published.add_incarnation("pool-a", "pool", "a", used_address, 2000);
      break;
    }
    update();
  }

  /// Answers the calls for pieces that have begun since the last time.
  void answer_stage_calls() {
    advance_time(milliseconds(40));
    const auto calls = all<start_stage_call>();
    for (; answered_calls_ < calls.size(); ++answered_calls_) {
      answer_call(calls[answered_calls_], piece_fault::none);
    }
  }

  void answer_call(const start_stage_call& call, piece_fault fault) {
    stage_call_ended ended{call.call, stage_call_ended::result::answered, {}};
    for (std::size_t piece = 0; piece < call.items.size(); ++piece) {
      const auto handle = call.target.address.text() + "/" + std::to_string(++results_);
      ended.pieces.push_back({fault, fault == piece_fault::none ? handle : ""});
    }
    deliver(ended);
  }

  /// @return number of requests to free results that were sent to the address of the producer.
  [[nodiscard]] std::ptrdiff_t frees_at_address() const {
    const auto freed = all<free_results>();
    return std::count_if(freed.begin(), freed.end(), [](const free_results& command) {
      return command.producer.address.text() == used_address;
    });
  }

  /// Runs a request until its results are at `pool-a` and its call is under way.
  base::call_id run_stages() {
    send_request(1, "/staged/x", {1, 1});
    answer_stage_calls();
    answer_stage_calls();
    const auto call = last<start_call>();
    BOOST_REQUIRE(call.inputs.front().starts_with(used_address));
    return call.call;
  }

  std::size_t answered_calls_ = 0;
  unsigned results_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(reused_address_test)

/// Guards against a request to free a result that reaches a process which did not produce it.
BOOST_AUTO_TEST_CASE(results_of_an_ended_process_are_freed_nowhere) {
  for (const auto by : successors) {
    reuse_driver node;
    node.run_stages();
    const auto commands_before = node.commands.size();
    const auto frees_before = node.frees_at_address();
    node.replace_producer(by);
    node.deliver(client_disconnected{1});
    node.advance_time(milliseconds(100));
    BOOST_TEST(node.frees_at_address() == frees_before, "successor " << static_cast<int>(by));
    for (const auto& replica : node.called_since(commands_before)) {
      BOOST_TEST(replica.text() != "plain-c");
    }
  }
}

BOOST_AUTO_TEST_CASE(results_of_a_running_process_are_freed_at_it) {
  reuse_driver node;
  node.run_stages();
  const auto frees_before = node.frees_at_address();
  node.deliver(client_disconnected{1});
  node.advance_time(milliseconds(100));
  BOOST_TEST(node.frees_at_address() == frees_before + 1);
}

/// Guards against deferred requests to free results that are sent to a later process at the
/// address.
BOOST_AUTO_TEST_CASE(deferred_frees_end_with_the_process_of_the_producer) {
  for (const auto by : successors) {
    reuse_driver node;
    node.run_stages();
    replica_self_report report;
    report.limit.per_second = 1;
    node.deliver_self_report(node.all<start_stage_call>().front().call, report);
    const auto frees_before = node.frees_at_address();
    node.deliver(client_disconnected{1});
    node.replace_producer(by);
    node.advance_time(std::chrono::seconds(3));
    BOOST_TEST(node.frees_at_address() == frees_before, "successor " << static_cast<int>(by));
  }
}

/// Guards against a lost result that counts as available since a sound replica has the address of
/// its producer: no input is then known to be lost, and all are recomputed.
BOOST_AUTO_TEST_CASE(only_the_results_of_the_ended_process_are_recomputed) {
  constexpr std::uint32_t pieces = 8;
  for (const auto by : {successor::other_service, successor::same_service}) {
    reuse_driver node;
    node.published.add_incarnation("pool-d", "pool", "a", "10.0.1.4:80", 1000);
    node.update();
    // A replica computes up to four pieces at a time.
    node.send_request(1, "/staged/x", {pieces, 1});
    node.answer_stage_calls();
    node.advance_time(milliseconds(40));
    const auto calls = node.all<start_stage_call>();
    BOOST_REQUIRE(calls.back().items.front().stage == 1U);
    std::size_t lost_pieces = 0;
    for (const auto& call : calls) {
      const bool is_lost =
          call.items.front().stage == 0 && call.target.address.text() == used_address;
      lost_pieces += is_lost ? call.items.size() : 0;
    }
    BOOST_REQUIRE(lost_pieces > 0U);
    BOOST_REQUIRE(lost_pieces < pieces);
    node.replace_producer(by);
    node.answer_call(calls.back(), piece_fault::input_gone);
    node.advance_time(milliseconds(40));
    std::size_t recomputed_pieces = 0;
    const auto calls_after = node.all<start_stage_call>();
    for (std::size_t index = calls.size(); index < calls_after.size(); ++index) {
      recomputed_pieces += calls_after[index].items.size();
    }
    BOOST_TEST(recomputed_pieces == lost_pieces, "successor " << static_cast<int>(by));
  }
}

BOOST_AUTO_TEST_CASE(a_result_is_held_by_the_process_that_produced_it_alone) {
  for (const auto by : successors) {
    reuse_driver node;
    const auto& record = *node.subject.replicas().find(base::replica_id("pool-a"))->record;
    const result_producer producer{record.id, record.address, exit_id_of(record), record.service};
    BOOST_TEST(holder_of(node.subject.replicas(), producer) != nullptr);
    node.replace_producer(by);
    BOOST_TEST(holder_of(node.subject.replicas(), producer) == nullptr,
               "successor " << static_cast<int>(by));
  }
}

/// Nodes of older builds name no producer.
BOOST_AUTO_TEST_CASE(an_unnamed_producer_is_a_replica_of_the_stage_service) {
  reuse_driver node;
  const auto handle = used_address + "/1";
  const auto producer = producer_by_address(node.subject.replicas(), handle, "pool");
  BOOST_TEST(producer.replica.text() == "pool-a");
  BOOST_TEST(!producer_by_address(node.subject.replicas(), handle, "plain").is_known());
  node.replace_producer(successor::other_service);
  BOOST_TEST(!producer_by_address(node.subject.replicas(), handle, "pool").is_known());
}

BOOST_AUTO_TEST_CASE(inputs_keep_their_producers_in_messages) {
  const result_producer first{base::replica_id("a"), base::network_address("1:80"), 7, "pool"};
  const result_producer second{base::replica_id("b"), base::network_address("2:80"), 8, "pool"};
  const std::vector<stage_result> inputs{
      {"1:80/x", first}, {"2:80/y", second}, {"1:80/z", first}, {"3:80/u", {}}};
  wire::piece_request request;
  write_inputs(inputs, request);
  BOOST_TEST(request.producers_size() == 3);
  BOOST_TEST((read_inputs(request) == inputs));
  request.clear_producers();
  for (const auto& input : read_inputs(request)) {
    BOOST_TEST(!input.producer.is_known());
  }
  request.clear_producer_indexes();
  BOOST_TEST((handles_of(read_inputs(request)) == handles_of(inputs)));
}

BOOST_AUTO_TEST_SUITE_END()
