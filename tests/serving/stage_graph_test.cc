#include "serving/stage_graph.h"

#include <boost/test/unit_test.hpp>

using namespace spurrack;
using serving::stage_graph;

namespace {

/// Two stages in a row beside one of its own: 0 and 1 -> 2.
model::route sample_route() {
  model::route route;
  route.stages = {{"a", {}, 10}, {"b", {}, 20}, {"c", {1}, 30}};
  return route;
}

void make_all(stage_graph& graph) {
  for (auto ready = graph.take_ready(); !ready.empty(); ready = graph.take_ready()) {
    for (const auto where : ready) {
      graph.complete(where, "h" + std::to_string(where.stage) + std::to_string(where.piece));
    }
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(stage_graph_test)

BOOST_AUTO_TEST_CASE(gives_out_pieces_once_their_inputs_are_complete) {
  const auto route = sample_route();
  stage_graph graph(route, {1, 2, 1});
  const auto first = graph.take_ready();
  BOOST_TEST(first.size() == 3);
  BOOST_TEST(graph.take_ready().empty());
  graph.complete({1, 0}, "x");
  BOOST_TEST(graph.take_ready().empty());
  graph.complete({1, 1}, "y");
  const auto second = graph.take_ready();
  BOOST_REQUIRE(second.size() == 1);
  BOOST_TEST(second.front().stage == 2);
  BOOST_TEST(graph.inputs_of(2) == (std::vector<std::string>{"x", "y"}),
             boost::test_tools::per_element());
  BOOST_TEST(!graph.done());
}

BOOST_AUTO_TEST_CASE(final_inputs_are_the_results_of_the_last_stages_in_order) {
  const auto route = sample_route();
  stage_graph graph(route, {2, 1, 2});
  make_all(graph);
  BOOST_TEST(graph.done());
  BOOST_TEST(graph.final_inputs() == (std::vector<std::string>{"h00", "h01", "h20", "h21"}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_stage_without_pieces_is_left_out) {
  const auto route = sample_route();
  stage_graph graph(route, {0, 1, 1});
  make_all(graph);
  BOOST_TEST(graph.done());
  BOOST_TEST(graph.final_inputs().size() == 1);
}

BOOST_AUTO_TEST_CASE(results_are_unneeded_once_and_only_when_their_users_are_finished) {
  const auto route = sample_route();
  stage_graph graph(route, {1, 1, 1});
  graph.take_ready();
  graph.complete({1, 0}, "b0");
  BOOST_TEST(graph.take_unneeded(false).empty());
  graph.take_ready();
  graph.complete({2, 0}, "c0");
  BOOST_TEST(graph.take_unneeded(false) == std::vector<std::string>{"b0"},
             boost::test_tools::per_element());
  BOOST_TEST(graph.take_unneeded(false).empty());
  graph.complete({0, 0}, "a0");
  BOOST_TEST(graph.take_unneeded(true).size() == 2);
}

BOOST_AUTO_TEST_CASE(a_restart_frees_every_result_and_begins_anew) {
  const auto route = sample_route();
  stage_graph graph(route, {1, 1, 1});
  make_all(graph);
  BOOST_TEST(graph.restart().size() == 3);
  BOOST_TEST(graph.restarts() == 1);
  BOOST_TEST(graph.take_ready().size() == 2);
  BOOST_TEST(!graph.done());
}

BOOST_AUTO_TEST_CASE(time_from_adds_up_the_longest_way) {
  const auto route = sample_route();
  const stage_graph graph(route, {1, 1, 1});
  const auto stage_time = [](std::uint32_t stage) -> base::duration {
    return std::chrono::milliseconds(100 + stage);
  };
  BOOST_TEST((graph.time_from(0, stage_time) == std::chrono::milliseconds(100)));
  BOOST_TEST((graph.time_from(1, stage_time) == std::chrono::milliseconds(203)));
  BOOST_TEST((graph.time_from(2, stage_time) == std::chrono::milliseconds(102)));
}

BOOST_AUTO_TEST_SUITE_END()
