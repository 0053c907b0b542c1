/// What a cold replica gets from a whole fleet whose nodes do not see each other's sends, with the
/// policy that stands and with a share for every node.
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

/// Bounds and rate of a deployment with 140 replicas; what a replica may get in a second is 15.05.
const cold_bounds bounds{1.5, 5};
constexpr double bearable_rate = 6.7;
const double allowed = bearable_rate * bounds.factor + bounds.allowance;

const base::zone_id zone_a("a");

/// A fleet of which every node wants to send to one cold replica all the time.
struct eager_fleet {
  struct member {
    member(const base::node_id& name, base::time_point now) : name(name), callers(name) {
      sends.start(now);
    }
    base::node_id name;
    cold_callers callers;
    cold_bucket sends;
  };

  explicit eager_fleet(std::size_t size) {
    for (std::size_t index = 0; index < size; ++index) {
      names.emplace_back("n" + std::to_string(index));
      members.push_back(std::make_unique<member>(names.back(), now));
    }
  }

  /// Every node sees the whole fleet, but for those in `unseen`.
  void set_views(const std::vector<base::node_id>& unseen = {}) {
    auto seen = names;
    std::erase_if(seen, [&](const auto& name) {
      return std::find(unseen.begin(), unseen.end(), name) != unseen.end();
    });
    for (auto& one : members) {
      one->callers.set_nodes({{zone_a, seen}});
    }
  }

  /// Each node tries every 10 ms, in an order drawn anew. @return most that arrived in a second.
  std::size_t most_in_a_second(base::duration span) {
    const auto share = cold_call_quota_of(bounds, bearable_rate, false);
    std::deque<base::time_point> sent;
    std::size_t most = 0;
    for (const auto end = now + span; now < end; now += milliseconds(10)) {
      for (auto& one : members) {
        const bool may_send = one->callers.includes_self(replica, zone_a, share.callers) &&
                              one->sends.has_token(share, now);
        if (may_send) {
          one->sends.take_token(share, now);
          sent.push_back(now);
        }
      }
      while (!sent.empty() && now - sent.front() >= std::chrono::seconds(1)) {
        sent.pop_front();
      }
      most = std::max(most, sent.size());
    }
    return most;
  }

  base::replica_id replica{"cold-replica"};
  base::time_point now{std::chrono::hours(1)};
  std::vector<base::node_id> names;
  std::vector<std::unique_ptr<member>> members;
};

constexpr std::size_t sizes[] = {1, 6, 86, 300, 1'000};

} // namespace

BOOST_AUTO_TEST_SUITE(cold_limit_test)

BOOST_AUTO_TEST_CASE(a_share_of_the_bound_uses_half_of_it) {
  for (const double rate : {0.5, 2.0, 6.7, 40.0}) {
    for (const auto& bound : {cold_bounds{1, 0}, cold_bounds{1.5, 5}, cold_bounds{2, 20}}) {
      const auto share = cold_call_quota_of(bound, rate, false);
      const double whole = rate * bound.factor + bound.allowance;
      BOOST_TEST(share.callers >= 1U);
      if (whole >= 4) {
        BOOST_TEST(static_cast<double>(share.callers) * (1 + share.requests_per_second) <=
                   whole / 2 + 1e-9);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(the_bound_holds_at_any_size_and_is_used) {
  for (const auto size : sizes) {
    eager_fleet fleet(size);
    fleet.set_views();
    const auto most = fleet.most_in_a_second(std::chrono::seconds(20));
    BOOST_TEST(static_cast<double>(most) <= allowed / 2, size << " nodes sent " << most);
    BOOST_TEST(most >= 2U, size << " nodes sent " << most);
  }
}

BOOST_AUTO_TEST_CASE(the_bound_holds_while_two_halves_do_not_see_each_other) {
  for (const auto size : sizes) {
    eager_fleet fleet(size);
    const std::size_t half = size / 2;
    const std::vector<base::node_id> first(fleet.names.begin(),
                                           fleet.names.begin() + static_cast<std::ptrdiff_t>(half));
    const std::vector<base::node_id> second(fleet.names.begin() + static_cast<std::ptrdiff_t>(half),
                                            fleet.names.end());
    for (std::size_t index = 0; index < size; ++index) {
      fleet.members[index]->callers.set_nodes({{zone_a, index < half ? first : second}});
    }
    const auto most = fleet.most_in_a_second(std::chrono::seconds(20));
    BOOST_TEST(static_cast<double>(most) <= allowed, size << " nodes sent " << most);
  }
}

BOOST_AUTO_TEST_CASE(the_bound_holds_while_nodes_come_and_go_and_views_differ) {
  base::seeded_random random(7);
  for (const auto size : sizes) {
    eager_fleet fleet(size);
    fleet.set_views();
    for (int step = 0; step < 40; ++step) {
      // A few nodes at a time take some others for dead, wrongly or rightly.
      for (int changed = 0; changed < 3; ++changed) {
        auto seen = fleet.names;
        for (int lost = 0; lost < 3 && seen.size() > 1; ++lost) {
          seen.erase(seen.begin() + static_cast<std::ptrdiff_t>(random.below(seen.size())));
        }
        fleet.members[random.below(size)]->callers.set_nodes({{zone_a, seen}});
      }
      const auto most = fleet.most_in_a_second(milliseconds(500));
      BOOST_TEST(static_cast<double>(most) <= allowed, size << " nodes sent " << most);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_node_that_restarts_again_and_again_gains_nothing) {
  const auto share = cold_call_quota_of(bounds, bearable_rate, false);
  base::time_point now{std::chrono::hours(1)};
  for (int life = 0; life < 20; ++life) {
    cold_bucket sends;
    sends.start(now);
    BOOST_TEST(!sends.has_token(share, now));
    BOOST_TEST(!sends.has_token(share, now + milliseconds(100)));
    now += milliseconds(100);
  }
}

BOOST_AUTO_TEST_CASE(a_share_for_every_node_breaks_the_bound_in_a_large_fleet) {
  // The policy weighed against the one that stands: all nodes call, each at its part of the rate.
  // Buckets that have filled up are spent at once when everybody wants the same replica.
  const auto most_of = [](std::size_t size) {
    const cold_call_quota share{size, bearable_rate / static_cast<double>(size)};
    base::time_point now{std::chrono::hours(1)};
    std::vector<cold_bucket> buckets(size);
    std::size_t sent = 0;
    for (auto& bucket : buckets) {
      bucket.start(now - std::chrono::minutes(5));
      sent += bucket.has_token(share, now) ? 1 : 0;
    }
    return sent;
  };
  BOOST_TEST(static_cast<double>(most_of(6)) <= allowed);
  BOOST_TEST(static_cast<double>(most_of(86)) > allowed);
}

BOOST_AUTO_TEST_SUITE_END()
