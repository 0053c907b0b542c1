/// Fair queues, retry budgets, latency estimates, shares of limits, ejection.
#include "admission/retry_budget.h"
#include "admission/stage_queue.h"
#include "admission/stage_scheduler.h"
#include "routing/latency_estimator.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace spurrack;
using base::backend_id;
using base::time_point;
using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point start{seconds(1000)};

admission::queue_entry entry(const std::string& tenant, int number, double weight = 1) {
  return {base::request_id(tenant + std::to_string(number)), base::tenant_id(tenant), weight,
          start + milliseconds(number)};
}

catalog::machine_map backends(int count, std::uint32_t concurrency, const std::string& zone = "a") {
  catalog::machine_map map;
  for (int index = 0; index < count; ++index) {
    auto machine = std::make_shared<model::machine>();
    machine->id = "b" + std::to_string(index);
    machine->zone = base::zone_id(zone);
    machine->pool = base::pool_id("p");
    machine->concurrency = concurrency;
    map[machine->id] = machine;
  }
  return map;
}

routing::backend_table table(int count, std::uint32_t concurrency, std::uint32_t nodes) {
  routing::backend_table made{base::zone_id("a")};
  made.update(backends(count, concurrency));
  made.set_sharing_nodes(nodes, 0);
  return made;
}

model::pipeline_plan plan() {
  model::pipeline_plan made;
  made.tenant = base::tenant_id("t");
  model::stage step;
  step.name = "s";
  step.pool = base::pool_id("p");
  made.stages.push_back(step);
  return made;
}

} // namespace

BOOST_AUTO_TEST_SUITE(scheduling)

BOOST_AUTO_TEST_CASE(a_large_tenant_cannot_push_a_small_one_aside) {
  admission::stage_queue queue;
  for (int index = 0; index < 90; ++index) {
    queue.push(entry("large", index));
  }
  for (int index = 0; index < 10; ++index) {
    queue.push(entry("small", 1000 + index));
  }
  int small = 0;
  for (int index = 0; index < 20; ++index) {
    small += queue.pop()->tenant.text() == "small" ? 1 : 0;
  }
  BOOST_TEST(small == 10);
}

BOOST_AUTO_TEST_CASE(weights_divide_and_deadlines_order) {
  admission::stage_queue queue;
  for (int index = 30; index > 0; --index) {
    queue.push(entry("heavy", index, 2));
    queue.push(entry("light", index, 1));
  }
  int heavy = 0;
  auto earliest = start;
  for (int index = 0; index < 30; ++index) {
    const auto next = queue.pop();
    if (next->tenant.text() == "heavy") {
      ++heavy;
      BOOST_CHECK(next->deadline > earliest);
      earliest = next->deadline;
    }
  }
  BOOST_TEST(heavy == 20);
  BOOST_TEST(queue.remove(entry("light", 30, 1)));
  BOOST_TEST(!queue.remove(entry("light", 30, 1)));
}

BOOST_AUTO_TEST_CASE(retries_are_a_share_of_successes) {
  admission::retry_budget budget;
  int taken = 0;
  while (budget.try_take()) {
    ++taken;
  }
  BOOST_TEST(taken == 20);
  for (int index = 0; index < 100; ++index) {
    budget.add_success();
  }
  taken = 0;
  while (budget.try_take()) {
    ++taken;
  }
  BOOST_TEST(taken >= 9);
  BOOST_TEST(taken <= 10);
}

BOOST_AUTO_TEST_CASE(quantiles_are_within_a_tenth_and_follow_a_change) {
  routing::latency_estimator estimator;
  for (int index = 1; index <= 1000; ++index) {
    estimator.add(milliseconds(index % 100 + 1));
  }
  const double median = base::to_seconds(estimator.quantile(0.5));
  BOOST_TEST(median > 0.045);
  BOOST_TEST(median < 0.060);
  for (int index = 0; index < 1500; ++index) {
    estimator.add(seconds(1));
  }
  BOOST_TEST(base::to_seconds(estimator.quantile(0.5)) > 0.9);
}

BOOST_AUTO_TEST_CASE(limits_are_shared_by_the_nodes_of_the_zone) {
  for (const std::uint32_t nodes : {1U, 2U, 3U, 5U}) {
    std::uint32_t total = 0;
    for (std::uint32_t rank = 0; rank < nodes; ++rank) {
      auto shared = table(1, 8, nodes);
      shared.set_sharing_nodes(nodes, rank);
      total += shared.slots(base::pool_id("p"), start);
    }
    BOOST_TEST(total == 8U);
  }
}

BOOST_AUTO_TEST_CASE(unused_parts_of_a_limit_may_be_borrowed_while_reports_are_fresh) {
  auto shared = table(1, 8, 4);
  BOOST_TEST(shared.slots(base::pool_id("p"), start) == 2U);
  shared.record_load(backend_id("b0"), 1, start);
  BOOST_TEST(shared.slots(base::pool_id("p"), start) == 7U);
  BOOST_TEST(shared.slots(base::pool_id("p"), start + seconds(1)) == 2U);
}

BOOST_AUTO_TEST_CASE(a_slow_back_end_is_ejected_but_never_more_than_a_third) {
  auto shared = table(6, 8, 1);
  int ejected = 0;
  for (int round = 0; round < 40; ++round) {
    for (int index = 0; index < 6; ++index) {
      const backend_id id("b" + std::to_string(index));
      shared.call_started(id);
      const auto took = index < 4 ? milliseconds(200) : milliseconds(10);
      ejected += shared.call_ended(id, took, start) ? 1 : 0;
    }
  }
  BOOST_TEST(ejected <= 2);
  BOOST_TEST(shared.candidates(base::pool_id("p"), start, false).size() >= 4U);
}

BOOST_AUTO_TEST_CASE(a_leave_notice_holds_for_its_generation) {
  auto shared = table(1, 8, 1);
  BOOST_TEST(shared.mark_draining(backend_id("b0"), 1));
  BOOST_TEST(!shared.mark_draining(backend_id("b0"), 1));
  BOOST_TEST(shared.candidates(base::pool_id("p"), start, false).empty());
  BOOST_TEST(!shared.has_backends(base::pool_id("p")));
  auto again = backends(1, 8);
  auto returned = std::make_shared<model::machine>(*again["b0"]);
  returned->generation = 2;
  again["b0"] = returned;
  shared.update(again);
  BOOST_TEST(shared.candidates(base::pool_id("p"), start, false).size() == 1U);
}

BOOST_AUTO_TEST_CASE(what_cannot_finish_is_refused_with_a_time_to_come_back) {
  base::seeded_random random(1);
  auto shared = table(1, 2, 1);
  admission::stage_scheduler scheduler({}, shared, random);
  const auto request = plan();
  for (int index = 0; index < 50; ++index) {
    scheduler.add_service_time(request, 0, milliseconds(100));
  }
  const auto deadline = start + milliseconds(300);
  BOOST_CHECK(!scheduler.check_admission(request, deadline, start));
  for (int index = 0; index < 20; ++index) {
    scheduler.add_admitted(request);
  }
  const auto refused = scheduler.check_admission(request, deadline, start);
  BOOST_TEST_REQUIRE(refused.has_value());
  BOOST_TEST(base::to_seconds(refused->retry_after) > 0.3);
  BOOST_TEST(base::to_seconds(refused->retry_after) < 2.0);
  scheduler.remove_admitted(request, 0);
}

BOOST_AUTO_TEST_SUITE_END()
