/// Requests that a cold replica gets from a whole fleet whose nodes do not see each other's
/// requests: with the policy of cold_limit.h, and with a quota for every node for comparison.
#include "replicas/cold_limit.h"

#include "base/random.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <memory>
#include <string>
#include <vector>

using namespace spurrack;
using namespace spurrack::serving;
using std::chrono::milliseconds;

namespace {

/// Bounds and rate of a deployment with 140 replicas: a cold replica may get 15.05 requests per
/// second.
const cold_bounds bounds{1.5, 5};
constexpr double cold_requests_per_second = 6.7;
const double bound_per_second = cold_requests_per_second * bounds.factor + bounds.allowance;

const base::zone_id zone_a("a");

/// A fleet in which every node always has a request for the same cold replica.
struct saturated_fleet {
  struct member {
    member(const base::node_id& name, base::time_point now) : name(name), callers(name) {
      bucket.start(now);
    }
    base::node_id name;
    cold_callers callers;
    cold_bucket bucket;
  };

  explicit saturated_fleet(std::size_t size) {
    for (std::size_t index = 0; index < size; ++index) {
      names.emplace_back("n" + std::to_string(index));
      members.push_back(std::make_unique<member>(names.back(), now));
    }
  }

  /// Lets every node see all nodes of the fleet except those in `invisible`.
  void set_views(const std::vector<base::node_id>& invisible = {}) {
    auto visible = names;
    std::erase_if(visible, [&](const auto& name) {
      return std::find(invisible.begin(), invisible.end(), name) != invisible.end();
    });
    for (auto& entry : members) {
      entry->callers.set_nodes({{zone_a, visible}});
    }
  }

  /// Lets each node try to send a request every 10 ms.
  /// @return the maximum number of requests within any second.
  std::size_t max_requests_within_a_second(base::duration span) {
    const auto quota = cold_call_quota_of(bounds, cold_requests_per_second, false);
    std::deque<base::time_point> sent;
    std::size_t max_sent = 0;
    for (const auto end = now + span; now < end; now += milliseconds(10)) {
      for (auto& entry : members) {
        const bool may_send = entry->callers.includes_self(replica, zone_a, quota.callers) &&
                              entry->bucket.has_token(quota, now);
        if (may_send) {
          entry->bucket.take_token(quota, now);
          sent.push_back(now);
        }
      }
      while (!sent.empty() && now - sent.front() >= std::chrono::seconds(1)) {
        sent.pop_front();
      }
      max_sent = std::max(max_sent, sent.size());
    }
    return max_sent;
  }

  base::replica_id replica{"cold-replica"};
  base::time_point now{std::chrono::hours(1)};
  std::vector<base::node_id> names;
  std::vector<std::unique_ptr<member>> members;
};

constexpr std::size_t sizes[] = {1, 6, 86, 300, 1'000};

} // namespace

BOOST_AUTO_TEST_SUITE(cold_limit_test)

BOOST_AUTO_TEST_CASE(callers_together_get_at_most_half_of_the_bound) {
  for (const double rate : {0.5, 2.0, 6.7, 40.0}) {
    for (const auto& bound : {cold_bounds{1, 0}, cold_bounds{1.5, 5}, cold_bounds{2, 20}}) {
      const auto quota = cold_call_quota_of(bound, rate, false);
      const double full_bound = rate * bound.factor + bound.allowance;
      BOOST_TEST(quota.callers >= 1U);
      if (full_bound >= 4) {
        BOOST_TEST(static_cast<double>(quota.callers) * (1 + quota.requests_per_second) <=
                   full_bound / 2 + 1e-9);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(requests_stay_within_half_the_bound_at_any_fleet_size) {
  for (const auto size : sizes) {
    saturated_fleet fleet(size);
    fleet.set_views();
    const auto max_sent = fleet.max_requests_within_a_second(std::chrono::seconds(20));
    BOOST_TEST(static_cast<double>(max_sent) <= bound_per_second / 2,
               size << " nodes sent " << max_sent);
    BOOST_TEST(max_sent >= 2U, size << " nodes sent " << max_sent);
  }
}

BOOST_AUTO_TEST_CASE(requests_stay_within_the_bound_while_two_halves_are_partitioned) {
  for (const auto size : sizes) {
    saturated_fleet fleet(size);
    const std::size_t half = size / 2;
    const std::vector<base::node_id> first(fleet.names.begin(),
                                           fleet.names.begin() + static_cast<std::ptrdiff_t>(half));
    const std::vector<base::node_id> second(fleet.names.begin() + static_cast<std::ptrdiff_t>(half),
                                            fleet.names.end());
    for (std::size_t index = 0; index < size; ++index) {
      fleet.members[index]->callers.set_nodes({{zone_a, index < half ? first : second}});
    }
    const auto max_sent = fleet.max_requests_within_a_second(std::chrono::seconds(20));
    BOOST_TEST(static_cast<double>(max_sent) <= bound_per_second,
               size << " nodes sent " << max_sent);
  }
}

BOOST_AUTO_TEST_CASE(requests_stay_within_the_bound_while_nodes_see_different_members) {
  base::seeded_random random(7);
  for (const auto size : sizes) {
    saturated_fleet fleet(size);
    fleet.set_views();
    for (int step = 0; step < 40; ++step) {
      // A few nodes at a time consider some other nodes dead.
      for (int changed = 0; changed < 3; ++changed) {
        auto visible = fleet.names;
        for (int removed = 0; removed < 3 && visible.size() > 1; ++removed) {
          visible.erase(visible.begin() +
                        static_cast<std::ptrdiff_t>(random.below(visible.size())));
        }
        fleet.members[random.below(size)]->callers.set_nodes({{zone_a, visible}});
      }
      const auto max_sent = fleet.max_requests_within_a_second(milliseconds(500));
      BOOST_TEST(static_cast<double>(max_sent) <= bound_per_second,
                 size << " nodes sent " << max_sent);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_node_that_restarts_repeatedly_gains_no_tokens) {
  const auto quota = cold_call_quota_of(bounds, cold_requests_per_second, false);
  base::time_point now{std::chrono::hours(1)};
  for (int restart = 0; restart < 20; ++restart) {
    cold_bucket bucket;
    bucket.start(now);
    BOOST_TEST(!bucket.has_token(quota, now));
    BOOST_TEST(!bucket.has_token(quota, now + milliseconds(100)));
    now += milliseconds(100);
  }
}

BOOST_AUTO_TEST_CASE(quotas_for_every_node_exceed_the_bound_in_a_large_fleet) {
  // Alternative policy for comparison: all nodes call the replica, each at its part of the rate.
  // When all nodes have a request for the same replica, all full buckets are spent at once.
  const auto requests_at_once_of = [](std::size_t size) {
    const cold_call_quota quota{size, cold_requests_per_second / static_cast<double>(size)};
    base::time_point now{std::chrono::hours(1)};
    std::vector<cold_bucket> buckets(size);
    std::size_t sent = 0;
    for (auto& bucket : buckets) {
      bucket.start(now - std::chrono::minutes(5));
      sent += bucket.has_token(quota, now) ? 1 : 0;
    }
    return sent;
  };
  BOOST_TEST(static_cast<double>(requests_at_once_of(6)) <= bound_per_second);
  BOOST_TEST(static_cast<double>(requests_at_once_of(86)) > bound_per_second);
}

BOOST_AUTO_TEST_SUITE_END()
