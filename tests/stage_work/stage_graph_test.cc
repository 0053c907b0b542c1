#include "stage_work/stage_graph.h"

#include <boost/test/unit_test.hpp>

using namespace spurrack;
using serving::handles_of;
using serving::stage_graph;
using serving::stage_result;

namespace {

/// A route with three stages: stage 2 depends on stage 1; stage 0 depends on none.
model::route sample_route() {
  model::route route;
  route.stages = {{"a", {}, 10}, {"b", {}, 20}, {"c", {1}, 30}};
  return route;
}

/// Exit of the process that produced the results of `result_of`.
constexpr serving::replica_exit process = 7;

/// @return a result that a process of the replica `replica` produced.
stage_result result_of(const std::string& replica, const std::string& handle) {
  return {handle,
          {base::replica_id(replica), base::network_address("10.0.0.1:80"), process, "service"}};
}

stage_result result_named(const std::string& handle) {
  return result_of("producer of " + handle, handle);
}

void complete_all(stage_graph& graph) {
  for (auto ready = graph.take_ready(); !ready.empty(); ready = graph.take_ready()) {
    for (const auto where : ready) {
      graph.complete(where,
                     result_named("h" + std::to_string(where.stage) + std::to_string(where.piece)));
    }
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(stage_graph_test)

BOOST_AUTO_TEST_CASE(pieces_are_ready_once_their_inputs_are_complete) {
  const auto route = sample_route();
  stage_graph graph(route, {1, 2, 1});
  const auto first = graph.take_ready();
  BOOST_TEST(first.size() == 3);
  BOOST_TEST(graph.take_ready().empty());
  graph.complete({1, 0}, result_named("x"));
  BOOST_TEST(graph.take_ready().empty());
  graph.complete({1, 1}, result_named("y"));
  const auto second = graph.take_ready();
  BOOST_REQUIRE(second.size() == 1);
  BOOST_TEST(second.front().stage == 2);
  BOOST_TEST(handles_of(graph.inputs_of(2)) == (std::vector<std::string>{"x", "y"}),
             boost::test_tools::per_element());
  BOOST_TEST(!graph.is_done());
}

BOOST_AUTO_TEST_CASE(final_inputs_are_the_results_of_the_last_stages_in_order) {
  const auto route = sample_route();
  stage_graph graph(route, {2, 1, 2});
  complete_all(graph);
  BOOST_TEST(graph.is_done());
  BOOST_TEST(handles_of(graph.final_inputs()) ==
                 (std::vector<std::string>{"h00", "h01", "h20", "h21"}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(stage_without_pieces_is_skipped) {
  const auto route = sample_route();
  stage_graph graph(route, {0, 1, 1});
  complete_all(graph);
  BOOST_TEST(graph.is_done());
  BOOST_TEST(graph.final_inputs().size() == 1);
}

BOOST_AUTO_TEST_CASE(unneeded_results_are_returned_once_after_their_consumers_finish) {
  const auto route = sample_route();
  stage_graph graph(route, {1, 1, 1});
  graph.take_ready();
  graph.complete({1, 0}, result_named("b0"));
  BOOST_TEST(graph.take_unneeded_results(false).empty());
  graph.take_ready();
  graph.complete({2, 0}, result_named("c0"));
  BOOST_TEST(handles_of(graph.take_unneeded_results(false)) == std::vector<std::string>{"b0"},
             boost::test_tools::per_element());
  BOOST_TEST(graph.take_unneeded_results(false).empty());
  graph.complete({0, 0}, result_named("a0"));
  BOOST_TEST(graph.take_unneeded_results(true).size() == 2);
}

const auto no_loss_is_known = [](const stage_result&) { return false; };

BOOST_AUTO_TEST_CASE(all_final_inputs_are_recomputed_if_no_loss_is_known) {
  const auto route = sample_route();
  stage_graph graph(route, {1, 1, 1});
  complete_all(graph);
  BOOST_TEST(graph.recompute_final_inputs(no_loss_is_known).size() == 2);
  BOOST_TEST(graph.recomputations() == 1);
  BOOST_TEST(graph.take_ready().size() == 2);
  BOOST_TEST(!graph.is_done());
}

BOOST_AUTO_TEST_CASE(only_lost_results_are_recomputed) {
  const auto route = sample_route();
  stage_graph graph(route, {0, 3, 2});
  graph.take_ready();
  for (const std::uint32_t piece : {0U, 1U, 2U}) {
    graph.complete({1, piece}, result_named("b" + std::to_string(piece)));
  }
  BOOST_TEST(graph.take_ready().size() == 2);
  const auto obsolete =
      graph.recompute_inputs_of({2, 0}, [](const auto& result) { return result.handle == "b1"; });
  BOOST_TEST(handles_of(obsolete) == std::vector<std::string>{"b1"},
             boost::test_tools::per_element());
  BOOST_TEST(!graph.is_under_way({2, 1}));
  const auto again = graph.take_ready();
  BOOST_REQUIRE(again.size() == 1);
  BOOST_TEST(again.front().stage == 1);
  BOOST_TEST(again.front().piece == 1);
  // The other piece fails as well; its inputs are being recomputed already.
  BOOST_TEST(graph.recompute_inputs_of({2, 1}, no_loss_is_known).empty());
  BOOST_TEST(graph.recomputations() == 1);
  graph.complete({1, 1}, result_named("new"));
  BOOST_TEST(graph.take_ready().size() == 2);
  BOOST_TEST(handles_of(graph.inputs_of(2)) == (std::vector<std::string>{"b0", "new", "b2"}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(freed_inputs_of_a_lost_result_are_recomputed) {
  const auto route = sample_route();
  stage_graph graph(route, {0, 1, 2});
  complete_all(graph);
  BOOST_TEST(handles_of(graph.take_unneeded_results(false)) == std::vector<std::string>{"h10"},
             boost::test_tools::per_element());
  const auto obsolete =
      graph.recompute_final_inputs([](const auto& result) { return result.handle == "h20"; });
  BOOST_TEST(handles_of(obsolete) == std::vector<std::string>{"h20"},
             boost::test_tools::per_element());
  const auto first = graph.take_ready();
  BOOST_REQUIRE(first.size() == 1);
  BOOST_TEST(first.front().stage == 1);
  graph.complete({1, 0}, result_named("again"));
  BOOST_TEST(graph.take_ready().size() == 1);
  graph.complete({2, 0}, result_named("last"));
  BOOST_TEST(graph.is_done());
  BOOST_TEST(handles_of(graph.final_inputs()) == (std::vector<std::string>{"last", "h21"}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(time_from_sums_the_critical_path) {
  const auto route = sample_route();
  const stage_graph graph(route, {1, 1, 1});
  const auto stage_time = [](std::uint32_t stage) -> base::duration {
    return std::chrono::milliseconds(100 + stage);
  };
  BOOST_TEST((graph.time_from_start_of(0, stage_time) == std::chrono::milliseconds(100)));
  BOOST_TEST((graph.time_from_start_of(1, stage_time) == std::chrono::milliseconds(203)));
  BOOST_TEST((graph.time_from_start_of(2, stage_time) == std::chrono::milliseconds(102)));
}

BOOST_AUTO_TEST_CASE(only_results_of_a_restarted_producer_are_recomputed) {
  const auto route = sample_route();
  stage_graph graph(route, {0, 2, 1});
  graph.take_ready();
  graph.complete({1, 0}, result_of("x", "10.0.0.1:80/x"));
  graph.complete({1, 1}, result_of("y", "10.0.0.2:80/y"));
  graph.take_ready();
  BOOST_TEST(!graph.note_lost_results_of(base::replica_id("z"), process));
  BOOST_TEST(graph.note_lost_results_of(base::replica_id("x"), process));
  graph.recompute_inputs_of({2, 0}, [](const stage_result&) { return false; });
  const auto again = graph.take_ready();
  BOOST_REQUIRE(again.size() == 1U);
  BOOST_TEST(again.front().stage == 1U);
  BOOST_TEST(again.front().piece == 0U);
}

/// Guards against results that are taken for lost since another process has ended that has, or had,
/// the address of their producer.
BOOST_AUTO_TEST_CASE(results_of_another_process_at_the_same_address_are_kept) {
  const auto route = sample_route();
  stage_graph graph(route, {0, 2, 1});
  graph.take_ready();
  graph.complete({1, 0}, result_of("x", "10.0.0.1:80/x"));
  graph.complete({1, 1}, result_of("y", "10.0.0.1:80/y"));
  BOOST_TEST(!graph.note_lost_results_of(base::replica_id("other"), process));
  BOOST_TEST(!graph.note_lost_results_of(base::replica_id("x"), process + 1));
  graph.complete({1, 1}, {"10.0.0.1:80/y", {}});
  BOOST_TEST(!graph.note_lost_results_of(base::replica_id(), 0));
}

BOOST_AUTO_TEST_CASE(final_inputs_of_a_restarted_producer_are_missing) {
  const auto route = sample_route();
  stage_graph graph(route, {1, 1, 1});
  complete_all(graph);
  BOOST_TEST(!graph.has_missing_final_inputs());
  graph.note_lost_results_of(base::replica_id("producer of h20"), process);
  BOOST_TEST(graph.has_missing_final_inputs());
  graph.recompute_final_inputs([](const stage_result&) { return false; });
  BOOST_TEST(!graph.is_done());
  BOOST_TEST(!graph.has_missing_final_inputs());
}

BOOST_AUTO_TEST_SUITE_END()
