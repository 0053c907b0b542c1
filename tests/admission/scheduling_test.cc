/// Tests of fair queueing, retry budgets, latency estimates, call quotas, ejection, drain notices
/// and admission.
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

admission::queue_entry make_entry(const std::string& tenant, int number, double weight = 1) {
  return {base::request_id(tenant + std::to_string(number)), base::tenant_id(tenant), weight,
          start + milliseconds(number)};
}

catalog::machine_map make_backends(int count, std::uint32_t concurrency,
                                   const std::string& zone = "a") {
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

routing::backend_table make_table(int count, std::uint32_t concurrency, std::uint32_t nodes) {
  routing::backend_table table{base::zone_id("a")};
  table.update(make_backends(count, concurrency));
  table.set_sharing_nodes(nodes, 0);
  return table;
}

model::pipeline_plan make_plan() {
  model::pipeline_plan plan;
  plan.tenant = base::tenant_id("t");
  model::stage step;
  step.name = "s";
  step.pool = base::pool_id("p");
  plan.stages.push_back(step);
  return plan;
}

} // namespace

BOOST_AUTO_TEST_SUITE(scheduling)

BOOST_AUTO_TEST_CASE(small_tenant_gets_fair_service_beside_large_tenant) {
  admission::stage_queue queue;
  for (int index = 0; index < 90; ++index) {
    queue.push(make_entry("large", index));
  }
  for (int index = 0; index < 10; ++index) {
    queue.push(make_entry("small", 1000 + index));
  }
  int small_count = 0;
  for (int index = 0; index < 20; ++index) {
    small_count += queue.pop()->tenant.text() == "small" ? 1 : 0;
  }
  BOOST_TEST(small_count == 10);
}

BOOST_AUTO_TEST_CASE(tenants_are_served_by_weight_and_requests_by_deadline) {
  admission::stage_queue queue;
  for (int index = 30; index > 0; --index) {
    queue.push(make_entry("heavy", index, 2));
    queue.push(make_entry("light", index, 1));
  }
  int heavy_count = 0;
  auto previous_deadline = start;
  for (int index = 0; index < 30; ++index) {
    const auto next = queue.pop();
    if (next->tenant.text() == "heavy") {
      ++heavy_count;
      BOOST_CHECK(next->deadline > previous_deadline);
      previous_deadline = next->deadline;
    }
  }
  BOOST_TEST(heavy_count == 20);
  BOOST_TEST(queue.remove(make_entry("light", 30, 1)));
  BOOST_TEST(!queue.remove(make_entry("light", 30, 1)));
}

BOOST_AUTO_TEST_CASE(retries_are_limited_to_a_tenth_of_successes) {
  admission::retry_budget budget;
  int retries = 0;
  while (budget.try_take()) {
    ++retries;
  }
  BOOST_TEST(retries == 20);
  for (int index = 0; index < 100; ++index) {
    budget.add_success();
  }
  retries = 0;
  while (budget.try_take()) {
    ++retries;
  }
  BOOST_TEST(retries >= 9);
  BOOST_TEST(retries <= 10);
}

BOOST_AUTO_TEST_CASE(quantiles_are_accurate_within_a_tenth_and_follow_new_samples) {
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

BOOST_AUTO_TEST_CASE(call_quotas_of_all_nodes_add_up_to_the_limit) {
  for (const std::uint32_t nodes : {1U, 2U, 3U, 5U}) {
    std::uint32_t total = 0;
    for (std::uint32_t rank = 0; rank < nodes; ++rank) {
      auto table = make_table(1, 8, nodes);
      table.set_sharing_nodes(nodes, rank);
      total += table.slots(base::pool_id("p"), start);
    }
    BOOST_TEST(total == 8U);
  }
}

BOOST_AUTO_TEST_CASE(recent_load_report_raises_the_call_quota_by_unused_slots) {
  auto table = make_table(1, 8, 4);
  BOOST_TEST(table.slots(base::pool_id("p"), start) == 2U);
  table.record_load(backend_id("b0"), 1, start);
  BOOST_TEST(table.slots(base::pool_id("p"), start) == 7U);
  BOOST_TEST(table.slots(base::pool_id("p"), start + seconds(1)) == 2U);
}

BOOST_AUTO_TEST_CASE(slow_back_ends_are_ejected_up_to_a_third_of_the_pool) {
  auto table = make_table(6, 8, 1);
  int ejected = 0;
  for (int iteration = 0; iteration < 40; ++iteration) {
    for (int index = 0; index < 6; ++index) {
      const backend_id id("b" + std::to_string(index));
      table.call_started(id);
      const auto service_time = index < 4 ? milliseconds(200) : milliseconds(10);
      ejected += table.call_ended(id, service_time, start) ? 1 : 0;
    }
  }
  BOOST_TEST(ejected <= 2);
  BOOST_TEST(table.candidates(base::pool_id("p"), start, false).size() >= 4U);
}

BOOST_AUTO_TEST_CASE(drain_notice_applies_up_to_its_generation) {
  auto table = make_table(1, 8, 1);
  BOOST_TEST(table.mark_draining(backend_id("b0"), 1));
  BOOST_TEST(!table.mark_draining(backend_id("b0"), 1));
  BOOST_TEST(table.candidates(base::pool_id("p"), start, false).empty());
  BOOST_TEST(!table.has_backends(base::pool_id("p")));
  auto updated = make_backends(1, 8);
  auto restored = std::make_shared<model::machine>(*updated["b0"]);
  restored->generation = 2;
  updated["b0"] = restored;
  table.update(updated);
  BOOST_TEST(table.candidates(base::pool_id("p"), start, false).size() == 1U);
}

BOOST_AUTO_TEST_CASE(infeasible_request_is_refused_with_retry_after) {
  base::seeded_random random(1);
  auto table = make_table(1, 2, 1);
  admission::stage_scheduler scheduler({}, table, random);
  const auto request = make_plan();
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
