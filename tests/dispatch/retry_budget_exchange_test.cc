/// Nodes lend each other their share of repeats, and the bound of the fleet holds whatever becomes
/// of their messages.
#include "dispatch/retry_budget_exchange.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <memory>

using namespace spurrack;
using namespace spurrack::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const base::time_point start{std::chrono::hours(1)};

fleet_peer peer_number(std::size_t index) {
  const auto name = "n" + std::to_string(index);
  return {base::node_id(name), base::zone_id(index % 2 == 0 ? "a" : "b"),
          base::network_address(name + ":1"), 1};
}

/// One node with its share, its requests and the repeats it was granted.
struct lending_node {
  lending_node(std::size_t index, std::size_t nodes, const retry_limits& limits,
               base::random_source& random)
      : self(peer_number(index)), share(limits), lending(share, self.zone, random, index + 1) {
    share.set_fleet_size(nodes);
    std::vector<fleet_peer> others;
    for (std::size_t other = 0; other < nodes; ++other) {
      if (other != index) {
        others.push_back(peer_number(other));
      }
    }
    lending.set_peers(others);
    lending.begin(start - seconds(20));
  }

  /// @return whether a repeat was granted; asks others where not.
  bool want(base::time_point now) {
    if (share.take("s", now)) {
      repeats.push_back(now);
      return true;
    }
    lending.ask("s", 1 + repeats_more_wanted, now);
    return false;
  }

  fleet_peer self;
  retry_share share;
  retry_lending lending;
  /// Requests that wait for a repeat beside the one that asks.
  std::size_t repeats_more_wanted = 0;
  std::vector<base::time_point> repeats;
};

/// Messages between nodes that may be lost, late, doubled, or cut off.
struct lending_fleet {
  lending_fleet(std::size_t nodes, const retry_limits& limits, std::uint64_t seed) : random(seed) {
    for (std::size_t index = 0; index < nodes; ++index) {
      all.push_back(std::make_unique<lending_node>(index, nodes, limits, random));
    }
  }

  struct on_the_way {
    base::time_point arrives;
    fleet_peer from;
    wire::outgoing what;
  };

  void collect(lending_node& from, base::time_point now) {
    for (auto& message : from.lending.take_messages()) {
      ++messages;
      if (random.unit() < lost_share || is_cut(from.self.address, message.to)) {
        continue;
      }
      const std::size_t copies = random.unit() < doubled_share ? 2 : 1;
      for (std::size_t copy = 0; copy < copies; ++copy) {
        const auto delay = milliseconds(1 + random.below(longest_delay_milliseconds));
        under_way.push_back({now + delay, from.self, message});
      }
    }
  }

  void deliver(base::time_point now) {
    auto due = std::move(under_way);
    under_way.clear();
    for (auto& one : due) {
      if (one.arrives > now) {
        under_way.push_back(std::move(one));
        continue;
      }
      auto& to = at(one.what.to);
      to.lending.handle(one.from.node, one.from.address, one.what.message.retry_lending(), now);
    }
    for (auto& one : all) {
      collect(*one, now);
    }
  }

  lending_node& at(const base::network_address& address) {
    return **std::find_if(all.begin(), all.end(),
                          [&](const auto& one) { return one->self.address == address; });
  }

  [[nodiscard]] bool is_cut(const base::network_address& from,
                            const base::network_address& to) const {
    return std::find(cut_off.begin(), cut_off.end(), from) != cut_off.end() ||
           std::find(cut_off.begin(), cut_off.end(), to) != cut_off.end();
  }

  /// @return the most repeats of the fleet that any window holds.
  [[nodiscard]] std::size_t most_in_a_window(base::duration window) const {
    std::vector<base::time_point> times;
    for (const auto& one : all) {
      times.insert(times.end(), one->repeats.begin(), one->repeats.end());
    }
    std::sort(times.begin(), times.end());
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
      while (times[last] - times[first] > window) {
        ++first;
      }
      most = std::max(most, last - first + 1);
    }
    return most;
  }

  base::seeded_random random;
  std::vector<std::unique_ptr<lending_node>> all;
  std::deque<on_the_way> under_way;
  std::vector<base::network_address> cut_off;
  double lost_share = 0;
  double doubled_share = 0;
  std::size_t longest_delay_milliseconds = 5;
  std::size_t messages = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(retry_lending_test)

BOOST_AUTO_TEST_CASE(a_node_that_has_spent_its_share_goes_on_with_what_idle_ones_lend) {
  // Two repeats a node in a window; one node has all the trouble.
  lending_fleet fleet(20, {0, 40, seconds(10)}, 1);
  auto& busy = *fleet.all[0];
  for (int step = 0; step < 1000; ++step) {
    const auto now = start + milliseconds(10 * step);
    fleet.deliver(now);
    if (step % 50 == 0) {
      busy.want(now);
    } else if (busy.lending.is_awaiting("s", now)) {
      continue;
    }
  }
  // Its own share allows one.
  BOOST_TEST(busy.repeats.size() >= 8U);
  BOOST_TEST(fleet.most_in_a_window(seconds(10)) <= 40U);
}

BOOST_AUTO_TEST_CASE(the_bound_holds_whatever_becomes_of_messages) {
  constexpr std::size_t bound = 30;
  std::size_t granted_in_all = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    lending_fleet fleet(12, {0, bound, seconds(10)}, seed);
    fleet.lost_share = fleet.random.unit() * 0.4;
    fleet.doubled_share = fleet.random.unit() * 0.4;
    fleet.longest_delay_milliseconds = 1 + fleet.random.below(4000);
    for (auto& one : fleet.all) {
      one->repeats_more_wanted = fleet.random.below(5);
    }
    const auto troubled = 1 + fleet.random.below(fleet.all.size());
    for (int step = 0; step < 3000; ++step) {
      const auto now = start + milliseconds(20 * step);
      if (step % 200 == 0) {
        fleet.cut_off.clear();
        for (std::size_t cut = fleet.random.below(6); cut > 0; --cut) {
          fleet.cut_off.push_back(fleet.all[fleet.random.below(12)]->self.address);
        }
      }
      fleet.deliver(now);
      // The trouble moves through the fleet.
      const auto place = (fleet.random.below(troubled) + step / 500) % fleet.all.size();
      fleet.all[place]->want(now);
    }
    const auto most = fleet.most_in_a_window(seconds(10));
    BOOST_TEST(most <= bound, "seed " << seed << ": " << most << " in a window");
    granted_in_all += most;
  }
  BOOST_TEST(granted_in_all > 40U * 5);
}

BOOST_AUTO_TEST_CASE(an_answer_counts_once_and_only_for_its_question) {
  lending_fleet fleet(3, {0, 6, seconds(10)}, 1);
  auto& busy = *fleet.all[0];
  while (busy.want(start)) {
  }
  const auto asked = busy.lending.take_messages();
  BOOST_REQUIRE(!asked.empty());
  auto& lender = fleet.at(asked.front().to);
  lender.lending.handle(busy.self.node, busy.self.address, asked.front().message.retry_lending(),
                        start);
  const auto answer = lender.lending.take_messages().front().message.retry_lending();
  BOOST_TEST(answer.lent().thousandths() > 0U);
  const auto before = busy.share.missing("s", start);
  auto other_life = answer;
  other_life.set_borrower_life(7);
  busy.lending.handle(lender.self.node, lender.self.address, other_life, start);
  BOOST_TEST(busy.share.missing("s", start) == before);
  busy.lending.handle(lender.self.node, lender.self.address, answer, start);
  const auto after = busy.share.missing("s", start);
  BOOST_TEST(after < before);
  busy.lending.handle(lender.self.node, lender.self.address, answer, start);
  BOOST_TEST(busy.share.missing("s", start) == after);
}

BOOST_AUTO_TEST_CASE(a_node_that_has_just_started_lends_nothing) {
  base::seeded_random random(1);
  retry_share share({0, 10, seconds(10)});
  retry_lending lending(share, base::zone_id("a"), random, 1);
  lending.begin(start);
  wire::retry_lending asked;
  asked.set_question(1);
  asked.mutable_asked()->set_service("s");
  asked.mutable_asked()->set_thousandths(1000);
  const auto lent_at = [&](base::time_point now) {
    lending.handle(base::node_id("n"), base::network_address("n:1"), asked, now);
    return lending.take_messages().front().message.retry_lending().lent().thousandths();
  };
  BOOST_TEST(lent_at(start + seconds(11)) == 0U);
  BOOST_TEST(lent_at(start + seconds(12)) == 1000U);
}

BOOST_AUTO_TEST_CASE(a_node_that_has_just_started_lends_nothing_for_a_whole_window_however_long) {
  base::seeded_random random(1);
  retry_share share({0, 10, seconds(60)});
  retry_lending lending(share, base::zone_id("a"), random, 1);
  lending.begin(start);
  wire::retry_lending asked;
  asked.mutable_asked()->set_service("s");
  asked.mutable_asked()->set_thousandths(1000);
  lending.handle(base::node_id("n"), base::network_address("n:1"), asked, start + seconds(13));
  BOOST_TEST(lending.take_messages().front().message.retry_lending().lent().thousandths() == 0U);
}

BOOST_AUTO_TEST_CASE(what_is_borrowed_expires) {
  retry_share share({0, 1, seconds(10)});
  share.add_loan("s", one_retry, start + transfer_lifetime);
  BOOST_TEST(share.missing("s", start + transfer_lifetime) == 0);
  BOOST_TEST(!share.take("s", start + transfer_lifetime + milliseconds(1)));
}

BOOST_AUTO_TEST_CASE(where_nobody_has_anything_left_few_questions_are_asked) {
  lending_fleet fleet(20, {0, 20, seconds(10)}, 1);
  for (auto& one : fleet.all) {
    one->share.set_fleet_size(1000);
  }
  for (int step = 0; step < 2000; ++step) {
    const auto now = start + milliseconds(10 * step);
    fleet.deliver(now);
    for (auto& one : fleet.all) {
      one->want(now);
    }
  }
  // A node asks three and answers as many; 20 seconds, twice the longest pause to settle.
  BOOST_TEST(static_cast<double>(fleet.messages) / 20 / 20 < 4.0);
}

BOOST_AUTO_TEST_SUITE_END()
