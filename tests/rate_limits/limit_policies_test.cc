/// Compares three policies that keep the sends of all nodes within the limit of a replica,
/// simulated with many seeds: a few callers with a token bucket each (as for cold replicas), an
/// equal share for every node, and one node that issues permits on demand. Prints a table for
/// docs/design/rate-limits.md.
#include "permit_node.h"
#include "replicas/cold_limit.h"

#include "base/random.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace spurrack;
using namespace spurrack::rate_limits;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const base::replica_id replica("r");
const base::zone_id zone("a");
constexpr base::duration step = milliseconds(5);
/// Time for which a request waits for a replica before it is dropped.
constexpr base::duration max_wait = seconds(2);

/// Policy that decides whether a node may send a request to the replica now.
class policy {
 public:
  policy() = default;
  policy(const policy&) = delete;
  policy& operator=(const policy&) = delete;
  virtual ~policy() = default;
  virtual void advance(base::time_point now) = 0;
  virtual void note_waiting(std::size_t node, std::size_t waiting, base::time_point now) = 0;
  virtual bool try_send(std::size_t node, base::time_point now) = 0;
  [[nodiscard]] virtual std::uint64_t messages() const { return 0; }
};

base::node_id name_of(std::size_t node) {
  return base::node_id("n" + std::to_string(node));
}

/// Up to three callers, chosen by rendezvous hashing, each with an equal part of half of the limit.
class few_callers final : public policy {
 public:
  few_callers(std::size_t nodes, double limit, base::time_point now)
      : quota_(serving::cold_call_quota_of({1, 0}, limit, false)), buckets_(nodes) {
    std::vector<base::node_id> names;
    for (std::size_t node = 0; node < nodes; ++node) {
      names.push_back(name_of(node));
      buckets_[node].start(now);
    }
    for (std::size_t node = 0; node < nodes; ++node) {
      callers_.emplace_back(name_of(node));
      callers_.back().set_nodes({{zone, names}});
    }
  }
  void advance(base::time_point /*now*/) override {}
  void note_waiting(std::size_t /*node*/, std::size_t /*waiting*/,
                    base::time_point /*now*/) override {}
  bool try_send(std::size_t node, base::time_point now) override {
    const bool may_send = callers_[node].includes_self(replica, zone, quota_.callers) &&
                          buckets_[node].has_token(quota_, now);
    if (may_send) {
      buckets_[node].take_token(quota_, now);
    }
    return may_send;
  }

 private:
  serving::cold_call_quota quota_;
  std::vector<serving::cold_callers> callers_;
  std::vector<serving::cold_bucket> buckets_;
};

/// Every node has an equal part of the limit.
class equal_shares final : public policy {
 public:
  equal_shares(std::size_t nodes, double limit, base::time_point now)
      : quota_{nodes, limit / static_cast<double>(nodes)}, buckets_(nodes) {
    for (auto& bucket : buckets_) {
      bucket.start(now);
    }
  }
  void advance(base::time_point /*now*/) override {}
  void note_waiting(std::size_t /*node*/, std::size_t /*waiting*/,
                    base::time_point /*now*/) override {}
  bool try_send(std::size_t node, base::time_point now) override {
    const bool may_send = buckets_[node].has_token(quota_, now);
    if (may_send) {
      buckets_[node].take_token(quota_, now);
    }
    return may_send;
  }

 private:
  serving::cold_call_quota quota_;
  std::vector<serving::cold_bucket> buckets_;
};

/// `limit_exchange`, with a message delay of one step.
class issued_permits final : public policy {
 public:
  issued_permits(std::size_t nodes, double limit, std::uint64_t seed, base::time_point now)
      : limit_(limit) {
    std::vector<serving::fleet_peer> all_peers;
    for (std::size_t node = 0; node < nodes; ++node) {
      all_peers.push_back(
          {name_of(node), zone, base::network_address(name_of(node).text() + ":1"), 1});
    }
    for (std::size_t node = 0; node < nodes; ++node) {
      random_.push_back(std::make_unique<base::seeded_random>(seed * 1000 + node));
      nodes_.push_back(std::make_unique<permit_node>(
          all_peers[node],
          [](const auto&) {
            return self_reports::published_replica{zone, 1, 1};
          },
          *random_[node], node + 1));
      auto others = all_peers;
      others.erase(others.begin() + static_cast<std::ptrdiff_t>(node));
      nodes_[node]->set_peers(others, others.size());
      nodes_[node]->record_limit(replica, {limit_}, now, now);
    }
  }
  void advance(base::time_point now) override {
    for (auto& [to, from, message] : std::exchange(in_transit_, {})) {
      nodes_[to]->handle(name_of(from), message, now);
    }
    for (std::size_t node = 0; node < nodes_.size(); ++node) {
      nodes_[node]->advance(now);
      for (const auto& sent : nodes_[node]->take_messages()) {
        const auto to = std::stoul(sent.to.text().substr(1));
        in_transit_.push_back({to, node, sent.message.rate_limits()});
        ++messages_;
      }
    }
  }
  void note_waiting(std::size_t node, std::size_t waiting, base::time_point now) override {
    nodes_[node]->permits().note_waiting(replica, static_cast<std::uint32_t>(waiting), now);
  }
  bool try_send(std::size_t node, base::time_point now) override {
    const bool may_send = nodes_[node]->permits().may_send(replica, now);
    if (may_send) {
      nodes_[node]->permits().note_sent(replica, now);
      nodes_[node]->record_limit(replica, {limit_}, now, now);
    }
    return may_send;
  }
  [[nodiscard]] std::uint64_t messages() const override { return messages_; }

 private:
  struct message_in_transit {
    std::size_t to = 0;
    std::size_t from = 0;
    wire::rate_limits message;
  };
  double limit_;
  std::vector<std::unique_ptr<base::seeded_random>> random_;
  std::vector<std::unique_ptr<permit_node>> nodes_;
  std::vector<message_in_transit> in_transit_;
  std::uint64_t messages_ = 0;
};

/// Distribution of requests over the nodes.
enum class pattern : std::uint8_t { all_nodes, one_node };

struct policy_result {
  std::size_t max_sends_in_four_seconds = 0;
  /// Fraction of the limit that was used while requests waited at any node.
  double used_fraction = 0;
  double mean_wait_seconds = 0;
  double messages_per_second_and_node = 0;
};

policy_result simulate(policy& subject, std::size_t nodes, double limit, pattern arrivals,
                       std::uint64_t seed) {
  constexpr base::duration warm_up = seconds(5);
  constexpr base::duration span = seconds(30);
  base::seeded_random random(seed);
  base::time_point now{std::chrono::hours(1)};
  const auto counted_from = now + warm_up;
  const auto end = counted_from + span;
  std::vector<std::deque<base::time_point>> waiting(nodes);
  std::deque<base::time_point> sent;
  policy_result result;
  double arrivals_due = 0;
  std::size_t served = 0;
  double total_wait_seconds = 0;
  base::duration time_with_waiting{};
  std::uint64_t messages_before = 0;
  for (; now < end; now += step) {
    for (arrivals_due += 1.5 * limit * base::to_seconds(step) * 2 * random.next_fraction();
         arrivals_due >= 1; arrivals_due -= 1) {
      waiting[arrivals == pattern::one_node ? 0 : random.below(nodes)].push_back(now);
    }
    if (now < counted_from) {
      messages_before = subject.messages();
    }
    subject.advance(now);
    const bool has_waiting = std::any_of(waiting.begin(), waiting.end(),
                                         [](const auto& queue) { return !queue.empty(); });
    time_with_waiting += has_waiting && now >= counted_from ? step : base::duration{};
    for (std::size_t node = 0; node < nodes; ++node) {
      auto& queue = waiting[node];
      while (!queue.empty() && now - queue.front() >= max_wait) {
        queue.pop_front();
      }
      while (!queue.empty() && subject.try_send(node, now)) {
        sent.push_back(now);
        served += now >= counted_from ? 1 : 0;
        total_wait_seconds += now >= counted_from ? base::to_seconds(now - queue.front()) : 0;
        queue.pop_front();
      }
      if (!queue.empty()) {
        subject.note_waiting(node, queue.size(), now);
      }
    }
    while (!sent.empty() && now - sent.front() >= seconds(4)) {
      sent.pop_front();
    }
    result.max_sends_in_four_seconds = std::max(result.max_sends_in_four_seconds, sent.size());
  }
  result.used_fraction =
      static_cast<double>(served) / (limit * base::to_seconds(time_with_waiting));
  result.mean_wait_seconds = served == 0 ? 0 : total_wait_seconds / static_cast<double>(served);
  result.messages_per_second_and_node = static_cast<double>(subject.messages() - messages_before) /
                                        base::to_seconds(span) / static_cast<double>(nodes);
  return result;
}

using policy_maker =
    std::function<std::unique_ptr<policy>(std::size_t nodes, double limit, std::uint64_t seed)>;

/// Returns the maximum of `max_sends_in_four_seconds`, and the means of the other figures, over the
/// seeds.
policy_result simulate_seeds(const policy_maker& make, std::size_t nodes, double limit,
                             pattern arrivals) {
  constexpr std::uint64_t seeds = 8;
  policy_result combined;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const auto subject = make(nodes, limit, seed);
    const auto seed_result = simulate(*subject, nodes, limit, arrivals, seed);
    combined.max_sends_in_four_seconds =
        std::max(combined.max_sends_in_four_seconds, seed_result.max_sends_in_four_seconds);
    combined.used_fraction += seed_result.used_fraction / seeds;
    combined.mean_wait_seconds += seed_result.mean_wait_seconds / seeds;
    combined.messages_per_second_and_node += seed_result.messages_per_second_and_node / seeds;
  }
  return combined;
}

} // namespace

BOOST_AUTO_TEST_SUITE(limit_policies_test)

BOOST_AUTO_TEST_CASE(with_issued_permits_nodes_stay_within_a_limit_and_use_most_of_it) {
  const base::time_point start{std::chrono::hours(1)};
  const std::vector<std::pair<std::string, policy_maker>> policies{
      {"few callers",
       [&](std::size_t nodes, double limit, std::uint64_t) {
         return std::make_unique<few_callers>(nodes, limit, start);
       }},
      {"equal shares",
       [&](std::size_t nodes, double limit, std::uint64_t) {
         return std::make_unique<equal_shares>(nodes, limit, start);
       }},
      {"issued permits", [&](std::size_t nodes, double limit, std::uint64_t seed) {
         return std::make_unique<issued_permits>(nodes, limit, seed, start);
       }}};
  std::printf(
      "way             nodes limit where      most in 4 s  used  wait s  messages/s/node\n");
  for (const std::size_t nodes : {8U, 86U}) {
    for (const double limit : {1.0, 40.0}) {
      for (const auto arrivals : {pattern::all_nodes, pattern::one_node}) {
        for (const auto& [name, make] : policies) {
          const auto result = simulate_seeds(make, nodes, limit, arrivals);
          std::printf("%-15s %5zu %5g %-10s %11zu %5.2f %7.3f %8.2f\n", name.c_str(), nodes, limit,
                      arrivals == pattern::all_nodes ? "all nodes" : "one node",
                      result.max_sends_in_four_seconds, result.used_fraction,
                      result.mean_wait_seconds, result.messages_per_second_and_node);
          if (name == "issued permits") {
            BOOST_TEST(static_cast<double>(result.max_sends_in_four_seconds) <= 6 * limit + 5);
            BOOST_TEST(result.used_fraction >= 0.85);
          }
        }
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
