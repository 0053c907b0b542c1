/// Three ways to keep what a replica names over all nodes together, drawn over many seeds: a few
/// callers with a bucket each (as for cold replicas), an equal share for every node, and one node
/// that issues permits by demand. Prints a table for docs/design/rate-limits.md.
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
/// A request waits so long for a place, then it is given up.
constexpr base::duration patience = seconds(2);

/// Whether a node may send the replica a request now.
class policy {
 public:
  policy() = default;
  policy(const policy&) = delete;
  policy& operator=(const policy&) = delete;
  virtual ~policy() = default;
  virtual void advance(base::time_point now) = 0;
  virtual void want(std::size_t node, std::size_t waiting, base::time_point now) = 0;
  virtual bool try_send(std::size_t node, base::time_point now) = 0;
  [[nodiscard]] virtual std::uint64_t messages() const { return 0; }
};

base::node_id name_of(std::size_t node) {
  return base::node_id("n" + std::to_string(node));
}

/// Up to three callers, found by rendezvous, each with its part of half of the limit.
class few_callers final : public policy {
 public:
  few_callers(std::size_t nodes, double limit, base::time_point now)
      : share_(serving::cold_call_quota_of({1, 0}, limit, false)), buckets_(nodes) {
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
  void want(std::size_t /*node*/, std::size_t /*waiting*/, base::time_point /*now*/) override {}
  bool try_send(std::size_t node, base::time_point now) override {
    const bool may_send = callers_[node].includes_self(replica, zone, share_.callers) &&
                          buckets_[node].has_token(share_, now);
    if (may_send) {
      buckets_[node].take_token(share_, now);
    }
    return may_send;
  }

 private:
  serving::cold_call_quota share_;
  std::vector<serving::cold_callers> callers_;
  std::vector<serving::cold_bucket> buckets_;
};

/// Each node has the same part of the limit.
class equal_shares final : public policy {
 public:
  equal_shares(std::size_t nodes, double limit, base::time_point now)
      : share_{nodes, limit / static_cast<double>(nodes)}, buckets_(nodes) {
    for (auto& bucket : buckets_) {
      bucket.start(now);
    }
  }
  void advance(base::time_point /*now*/) override {}
  void want(std::size_t /*node*/, std::size_t /*waiting*/, base::time_point /*now*/) override {}
  bool try_send(std::size_t node, base::time_point now) override {
    const bool may_send = buckets_[node].has_token(share_, now);
    if (may_send) {
      buckets_[node].take_token(share_, now);
    }
    return may_send;
  }

 private:
  serving::cold_call_quota share_;
  std::vector<serving::cold_bucket> buckets_;
};

/// The exchange as it stands, with messages that take one step.
class issued_permits final : public policy {
 public:
  issued_permits(std::size_t nodes, double limit, std::uint64_t seed, base::time_point now)
      : limit_(limit) {
    std::vector<serving::fleet_peer> all;
    for (std::size_t node = 0; node < nodes; ++node) {
      all.push_back({name_of(node), zone, base::network_address(name_of(node).text() + ":1"), 1});
    }
    for (std::size_t node = 0; node < nodes; ++node) {
      random_.push_back(std::make_unique<base::seeded_random>(seed * 1000 + node));
      exchanges_.push_back(std::make_unique<permit_node>(
          all[node],
          [](const auto&) {
            return replica_statements::published_replica{zone, 1, 1};
          },
          *random_[node], node + 1));
      auto others = all;
      others.erase(others.begin() + static_cast<std::ptrdiff_t>(node));
      exchanges_[node]->set_peers(others, others.size());
      exchanges_[node]->hear(replica, {limit_}, now, now);
    }
  }
  void advance(base::time_point now) override {
    for (auto& [to, from, message] : std::exchange(under_way_, {})) {
      exchanges_[to]->handle(name_of(from), message, now);
    }
    for (std::size_t node = 0; node < exchanges_.size(); ++node) {
      exchanges_[node]->advance(now);
      for (const auto& sent : exchanges_[node]->take_messages()) {
        const auto to = std::stoul(sent.to.text().substr(1));
        under_way_.push_back({to, node, sent.message.rate_limits()});
        ++messages_;
      }
    }
  }
  void want(std::size_t node, std::size_t waiting, base::time_point now) override {
    exchanges_[node]->permits().note_waiting(replica, static_cast<std::uint32_t>(waiting), now);
  }
  bool try_send(std::size_t node, base::time_point now) override {
    const bool may_send = exchanges_[node]->permits().may_send(replica, now);
    if (may_send) {
      exchanges_[node]->permits().note_sent(replica, now);
      exchanges_[node]->hear(replica, {limit_}, now, now);
    }
    return may_send;
  }
  [[nodiscard]] std::uint64_t messages() const override { return messages_; }

 private:
  struct message_under_way {
    std::size_t to = 0;
    std::size_t from = 0;
    wire::rate_limits message;
  };
  double limit_;
  std::vector<std::unique_ptr<base::seeded_random>> random_;
  std::vector<std::unique_ptr<permit_node>> exchanges_;
  std::vector<message_under_way> under_way_;
  std::uint64_t messages_ = 0;
};

/// Who gets the requests.
enum class pattern : std::uint8_t { all_nodes, one_node };

struct policy_figures {
  std::size_t most_in_four_seconds = 0;
  /// Of what the replica took while requests waited anywhere.
  double used_part = 0;
  double mean_wait_seconds = 0;
  double messages_a_second_and_node = 0;
};

policy_figures play(policy& subject, std::size_t nodes, double limit, pattern where,
                    std::uint64_t seed) {
  constexpr base::duration warm_up = seconds(5);
  constexpr base::duration span = seconds(30);
  base::seeded_random random(seed);
  base::time_point now{std::chrono::hours(1)};
  const auto counted_from = now + warm_up;
  const auto end = counted_from + span;
  std::vector<std::deque<base::time_point>> waiting(nodes);
  std::deque<base::time_point> sent;
  policy_figures figures;
  double due = 0;
  std::size_t served = 0;
  double waited = 0;
  base::duration any_waited{};
  std::uint64_t messages_before = 0;
  for (; now < end; now += step) {
    for (due += 1.5 * limit * base::to_seconds(step) * 2 * random.unit(); due >= 1; due -= 1) {
      waiting[where == pattern::one_node ? 0 : random.below(nodes)].push_back(now);
    }
    if (now < counted_from) {
      messages_before = subject.messages();
    }
    subject.advance(now);
    const bool any_waits = std::any_of(waiting.begin(), waiting.end(),
                                       [](const auto& queue) { return !queue.empty(); });
    any_waited += any_waits && now >= counted_from ? step : base::duration{};
    for (std::size_t node = 0; node < nodes; ++node) {
      auto& queue = waiting[node];
      while (!queue.empty() && now - queue.front() >= patience) {
        queue.pop_front();
      }
      while (!queue.empty() && subject.try_send(node, now)) {
        sent.push_back(now);
        served += now >= counted_from ? 1 : 0;
        waited += now >= counted_from ? base::to_seconds(now - queue.front()) : 0;
        queue.pop_front();
      }
      if (!queue.empty()) {
        subject.want(node, queue.size(), now);
      }
    }
    while (!sent.empty() && now - sent.front() >= seconds(4)) {
      sent.pop_front();
    }
    figures.most_in_four_seconds = std::max(figures.most_in_four_seconds, sent.size());
  }
  figures.used_part = static_cast<double>(served) / (limit * base::to_seconds(any_waited));
  figures.mean_wait_seconds = served == 0 ? 0 : waited / static_cast<double>(served);
  figures.messages_a_second_and_node = static_cast<double>(subject.messages() - messages_before) /
                                       base::to_seconds(span) / static_cast<double>(nodes);
  return figures;
}

using policy_maker =
    std::function<std::unique_ptr<policy>(std::size_t nodes, double limit, std::uint64_t seed)>;

/// @return the worst of the most sent, the means of the others, over seeds.
policy_figures play_many(const policy_maker& make, std::size_t nodes, double limit, pattern where) {
  constexpr std::uint64_t seeds = 8;
  policy_figures all;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const auto subject = make(nodes, limit, seed);
    const auto one = play(*subject, nodes, limit, where, seed);
    all.most_in_four_seconds = std::max(all.most_in_four_seconds, one.most_in_four_seconds);
    all.used_part += one.used_part / seeds;
    all.mean_wait_seconds += one.mean_wait_seconds / seeds;
    all.messages_a_second_and_node += one.messages_a_second_and_node / seeds;
  }
  return all;
}

} // namespace

BOOST_AUTO_TEST_SUITE(limit_policies_test)

BOOST_AUTO_TEST_CASE(issued_permits_keep_a_limit_and_use_it_where_other_ways_do_not) {
  const base::time_point start{std::chrono::hours(1)};
  const std::vector<std::pair<std::string, policy_maker>> ways{
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
      for (const auto where : {pattern::all_nodes, pattern::one_node}) {
        for (const auto& [name, make] : ways) {
          const auto figures = play_many(make, nodes, limit, where);
          std::printf("%-15s %5zu %5g %-10s %11zu %5.2f %7.3f %8.2f\n", name.c_str(), nodes, limit,
                      where == pattern::all_nodes ? "all nodes" : "one node",
                      figures.most_in_four_seconds, figures.used_part, figures.mean_wait_seconds,
                      figures.messages_a_second_and_node);
          if (name == "issued permits") {
            BOOST_TEST(static_cast<double>(figures.most_in_four_seconds) <= 6 * limit + 5);
            BOOST_TEST(figures.used_part >= 0.85);
          }
        }
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
