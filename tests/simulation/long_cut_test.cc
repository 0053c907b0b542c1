/// Long runs of simulated fleets: a zone that is partitioned from the other zones and from the
/// platform for hours of virtual time, and the number of reads that fleets of different sizes send
/// to the platform.
#include "simulation/random_faults.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace spurrack;
using simulation::fleet_simulation;
using std::chrono::seconds;

execution::caller_request make_request(const std::string& pipeline, const std::string& input) {
  execution::caller_request request;
  request.token_sha256 = simulation::example_token_hash;
  request.pipeline = base::template_id(pipeline);
  request.input = input;
  return request;
}

model::outcome outcome_of(fleet_simulation& fleet, base::caller_id caller) {
  fleet.run_for(seconds(2));
  return fleet.callers().at(caller).answer->outcome;
}

bool all_catalogs_are_equal(const fleet_simulation& fleet) {
  for (const auto& name : fleet.node_names()) {
    if (fleet.node(name).published_catalog().content_hash() !=
        fleet.node("node-a1").published_catalog().content_hash()) {
      return false;
    }
  }
  return true;
}

} // namespace

BOOST_AUTO_TEST_SUITE(long_cuts)

BOOST_AUTO_TEST_CASE(zone_partitioned_for_three_hours_serves_requests_and_rejoins) {
  fleet_simulation fleet(simulation::example_settings({}));
  fleet.start_all_nodes();
  BOOST_TEST_REQUIRE(fleet.run_until([&] { return fleet.all_ready(); }, seconds(20)));
  fleet.run_for(seconds(10));
  fleet.partition_zone("c", true);
  for (int quarter = 0; quarter < 12; ++quarter) {
    fleet.run_for(std::chrono::minutes(15));
    fleet.platform().publish("templates/new" + std::to_string(quarter),
                             "{name: new" + std::to_string(quarter) +
                                 ", deadline_ms: 500, stages: [{name: a, kind: encode, pool: "
                                 "encoders}]}");
    const auto number = std::to_string(quarter);
    for (const auto* node : {"node-a1", "node-c1", "node-c2"}) {
      const auto caller = fleet.send(node, make_request("answer", "q" + number + node));
      BOOST_CHECK(outcome_of(fleet, caller) == model::outcome::completed);
    }
    // The partitioned zone executes a request with non-repeatable calls if the request has a
    // ticket. For a request with an idempotency key the zone cannot know whether another node has
    // run it, and answers `unknown`.
    auto by_ticket = make_request("payout", "t" + number);
    by_ticket.ticket = fleet.request_ticket("node-c1", simulation::example_token_hash);
    BOOST_CHECK(outcome_of(fleet, fleet.send("node-c2", by_ticket)) == model::outcome::completed);
    auto by_key = make_request("payout", "k" + number);
    by_key.idempotency_key = "key" + number;
    BOOST_CHECK(outcome_of(fleet, fleet.send("node-c1", by_key)) == model::outcome::unknown);
    BOOST_CHECK(outcome_of(fleet, fleet.send("node-a1", by_key)) == model::outcome::completed);
  }
  BOOST_TEST(!all_catalogs_are_equal(fleet));
  fleet.heal_zone("c");
  BOOST_TEST(fleet.run_until([&] { return all_catalogs_are_equal(fleet); }, seconds(13)));
  BOOST_TEST(fleet.node("node-c2").published_catalog().templates().size() == 14U);
}

BOOST_AUTO_TEST_CASE(calls_to_the_platform_do_not_grow_with_the_nodes) {
  std::vector<std::uint64_t> calls;
  for (const int nodes : {4, 32}) {
    auto settings = simulation::example_settings({});
    settings.nodes.clear();
    for (int index = 0; index < nodes; ++index) {
      settings.nodes.push_back({"node-" + std::to_string(index), "a"});
    }
    fleet_simulation fleet(settings);
    fleet.start_all_nodes();
    fleet.run_for(seconds(30));
    const auto calls_before = fleet.platform().calls();
    fleet.run_for(std::chrono::minutes(10));
    calls.push_back(fleet.platform().calls() - calls_before);
  }
  BOOST_TEST_MESSAGE("calls in ten minutes: " << calls[0] << " with 4 nodes, " << calls[1]
                                              << " with 32");
  BOOST_TEST(calls[1] <= calls[0] + 4);
}

BOOST_AUTO_TEST_SUITE_END()
