/// Guards against answers that end although their replica lives: drawn silences of replicas and
/// nodes beside planned changes of a fleet.
#include "silence_fleet.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <iostream>

using namespace spurrack;
using namespace spurrack::silence;

namespace {

constexpr std::uint64_t default_seed_count = 20;
constexpr std::size_t silences_per_seed = 510;

std::uint64_t number_from(const char* variable, std::uint64_t otherwise) {
  const char* text = std::getenv(variable);
  return text == nullptr ? otherwise : std::stoull(text);
}

void draw_change(silence_fleet& fleet) {
  const std::vector<std::string> services{"llm", "plain", "pool", "other"};
  const auto& service = services[fleet.random.below(services.size())];
  switch (fleet.random.below(7)) {
  case 0:
  case 1:
    fleet.change_configuration();
    break;
  case 2:
    fleet.release(service);
    break;
  case 3:
    if (const auto candidates = fleet.replicas_of(service); candidates.size() > 3) {
      fleet.drain(candidates[fleet.random.below(candidates.size())]);
    }
    break;
  case 4:
    fleet.evacuate(fleet.draw_span(seconds(2), seconds(6)));
    break;
  case 5:
    fleet.stop_node(fleet.random.below(4));
    break;
  default:
    fleet.limit_rates(service, fleet.draw_span(seconds(2), seconds(5)));
  }
}

/// Draws silences until there are enough, with a change each few seconds between them.
fleet_results draw_silences(std::uint64_t seed) {
  fleet_settings settings;
  settings.seed = seed;
  if (seed % 2 == 0) {
    // The budget is soon exhausted.
    settings.retry = {0, 1, seconds(10)};
  }
  silence_fleet fleet(settings);
  fleet.run(seconds(3));
  constexpr base::duration change_interval = seconds(4);
  auto next_change_at = fleet.now + change_interval;
  while (fleet.results.silences < silences_per_seed) {
    fleet.run(fleet.draw_span(milliseconds(100), milliseconds(900)));
    fleet.draw_silence();
    constexpr std::size_t node_silence_odds = 15;
    if (fleet.random.below(node_silence_odds) == 0) {
      fleet.stand(fleet.random.below(4), fleet.draw_span(milliseconds(500), milliseconds(3'000)));
    }
    if (fleet.now >= next_change_at) {
      draw_change(fleet);
      next_change_at = fleet.now + change_interval;
    }
  }
  fleet.finish();
  return fleet.results;
}

void print(std::uint64_t seed, const fleet_results& results) {
  const auto& ends = results.ends;
  const auto count = [&](request_end end) { return ends.contains(end) ? ends.at(end) : 0; };
  std::cout << "seed " << seed << ": " << results.silences << " silences ("
            << results.silences_with_calls << " with open calls, " << results.silences_awaited
            << " awaited), " << results.requests << " requests: " << count(request_end::whole)
            << " whole, " << count(request_end::refused) << " refused, "
            << count(request_end::at_deadline) << " at their deadline, "
            << count(request_end::replica_exited) << " at exited replicas, "
            << count(request_end::version_left_while_paused) << " version left while paused, "
            << count(request_end::node_stopped) << " at the end of a stop, "
            << count(request_end::failed_at_live_replica) << " failed and "
            << count(request_end::cut_at_live_replica) << " cut at live replicas ("
            << results.cuts_beside_change << " of " << results.requests_beside_change
            << " beside a change, " << results.cuts_elsewhere
            << " elsewhere); cancelled without successor " << results.cancelled_without_successor
            << ", out of order " << results.out_of_order << ", truncated " << results.truncated
            << ", unanswered " << results.unanswered << ", ran twice " << results.ran_twice
            << ", passed on " << results.passed_on << "; calls to silent replicas after one target "
            << results.calls_after_one_target << ", after two " << results.calls_after_two_targets
            << " (" << results.calls_by_knowing_nodes << " by nodes that knew)"
            << "; begun streams at their deadline after a move " << results.late_after_move
            << "; work again " << results.got_work_again << " of " << results.went_on << ", others "
            << results.never_silent_got_work << " of " << results.never_silent << "\n";
  for (const auto& [failure, number] : results.failures) {
    std::cout << "  " << number << " times " << failure << "\n";
  }
  for (const auto& [kind, traces] : results.traces) {
    for (const auto& trace : traces) {
      BOOST_TEST_MESSAGE("seed " << seed << ", " << kind << ": " << trace);
    }
  }
}

/// Adds the counts of a seed to those of all seeds.
void add(fleet_results& sum, const fleet_results& seed) {
  for (const auto& [end, number] : seed.ends) {
    sum.ends[end] += number;
  }
  sum.requests += seed.requests;
  sum.silences += seed.silences;
  sum.cuts_beside_change += seed.cuts_beside_change;
  sum.requests_beside_change += seed.requests_beside_change;
  sum.cuts_elsewhere += seed.cuts_elsewhere;
  sum.out_of_order += seed.out_of_order;
  sum.truncated += seed.truncated;
  sum.unanswered += seed.unanswered;
  sum.ran_twice += seed.ran_twice;
  sum.cancelled_without_successor += seed.cancelled_without_successor;
  sum.calls_after_two_targets += seed.calls_after_two_targets;
  sum.went_on += seed.went_on;
  sum.got_work_again += seed.got_work_again;
  sum.never_silent += seed.never_silent;
  sum.never_silent_got_work += seed.never_silent_got_work;
}

/// @return the counts of all seeds; the seeds are run once for all test cases.
const fleet_results& drawn_results() {
  static const fleet_results sum = [] {
    const auto first = number_from("SPURRACK_FIRST_SILENCE_SEED", 1);
    const auto count = number_from("SPURRACK_SILENCE_SEEDS", default_seed_count);
    fleet_results all;
    for (auto seed = first; seed < first + count; ++seed) {
      const auto results = draw_silences(seed);
      print(seed, results);
      add(all, results);
    }
    return all;
  }();
  return sum;
}

std::size_t number_of(request_end end) {
  const auto& ends = drawn_results().ends;
  return ends.contains(end) ? ends.at(end) : 0;
}

double share(std::size_t part, std::size_t whole) {
  return static_cast<double>(part) / static_cast<double>(std::max<std::size_t>(whole, 1));
}

} // namespace

BOOST_AUTO_TEST_SUITE(drawn_silences_test)

/// Guards against streams that are broken off because their replica was silent for a while.
BOOST_AUTO_TEST_CASE(no_begun_stream_ends_early_at_a_replica_that_lives) {
  const auto& results = drawn_results();
  BOOST_TEST(number_of(request_end::whole) > results.requests / 2);
  BOOST_TEST(number_of(request_end::cut_at_live_replica) == 0U);
  BOOST_TEST(results.out_of_order == 0U);
  BOOST_TEST(results.truncated == 0U);
}

/// Guards against requests that get neither an answer nor a refusal, or run twice.
BOOST_AUTO_TEST_CASE(each_request_ends_once) {
  const auto& results = drawn_results();
  BOOST_TEST(results.unanswered == 0U);
  BOOST_TEST(results.ran_twice == 0U);
}

/// Guards against a request that fails before its deadline, instead of being refused or waiting,
/// because its replicas were silent or full.
BOOST_AUTO_TEST_CASE(no_request_fails_before_its_deadline_at_replicas_that_live) {
  BOOST_TEST(number_of(request_end::failed_at_live_replica) == 0U);
}

/// Guards against early ends that a change of the configuration or of the fleet sets off.
BOOST_AUTO_TEST_CASE(early_ends_are_no_more_frequent_beside_a_change) {
  constexpr double max_deviations = 3;
  const auto& results = drawn_results();
  const auto cuts = results.cuts_beside_change + results.cuts_elsewhere;
  const auto share_beside = share(results.requests_beside_change, results.requests);
  const auto expected = static_cast<double>(cuts) * share_beside;
  const auto deviation = std::sqrt(expected * (1 - share_beside));
  BOOST_TEST(static_cast<double>(results.cuts_beside_change) <=
             expected + max_deviations * deviation);
}

/// Guards against a call that is given up before its successor is chosen.
BOOST_AUTO_TEST_CASE(each_cancelled_call_has_a_successor) {
  BOOST_TEST(drawn_results().cancelled_without_successor == 0U);
}

/// Guards against new work for a replica that is known to be silent.
BOOST_AUTO_TEST_CASE(a_silent_replica_gets_no_new_work_after_two_target_latencies) {
  BOOST_TEST(drawn_results().calls_after_two_targets == 0U);
}

/// Guards against a replica that is avoided although it has gone on.
BOOST_AUTO_TEST_CASE(a_replica_that_went_on_gets_work_as_often_as_others_within_half_a_second) {
  constexpr double min_ratio = 0.9;
  const auto& results = drawn_results();
  BOOST_TEST(share(results.got_work_again, results.went_on) >=
             min_ratio * share(results.never_silent_got_work, results.never_silent));
}

BOOST_AUTO_TEST_CASE(the_seeds_draw_enough_silences) {
  const auto seeds = number_from("SPURRACK_SILENCE_SEEDS", default_seed_count);
  BOOST_TEST(drawn_results().silences >= seeds * 500);
}

BOOST_AUTO_TEST_SUITE_END()
