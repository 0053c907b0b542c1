#include "engines/prefix_placement.h"

#include "engine_table.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>

using namespace spurrack;
using namespace spurrack::serving;

namespace {

request_content prompt(const std::string& first, std::uint32_t first_tokens,
                       const std::string& last) {
  request_content content;
  content.model = "m";
  content.prompt_parts = {{first, first_tokens}, {last, 3'000}, {"own", 500}};
  content.prompt_tokens = first_tokens + 3'500;
  return content;
}

request_content prompt(const std::string& shared) {
  request_content content;
  content.model = "m";
  content.prompt_parts = {{shared, 3'000}, {"own", 500}};
  content.prompt_tokens = 3'500;
  return content;
}

base::replica_id first_preferred_engine(const request_content& content,
                                        const std::vector<const replica_state*>& engines) {
  return preferred_engines_of(shared_prompt_prefix_of(content), engines, 1).front()->record->id;
}

constexpr int prompts_per_first_part = 1'000;

/// Returns, for each engine, the number of prompts that prefer it first, out of prompts with the
/// same first part and distinct further parts.
std::map<base::replica_id, int>
prompts_by_engine(const std::string& first, std::uint32_t tokens,
                  const std::vector<const replica_state*>& engines) {
  std::map<base::replica_id, int> prompts;
  for (int last = 0; last < prompts_per_first_part; ++last) {
    ++prompts[first_preferred_engine(prompt(first, tokens, "last" + std::to_string(last)),
                                     engines)];
  }
  return prompts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(prefix_placement_test)

BOOST_AUTO_TEST_CASE(the_preference_does_not_depend_on_the_order_of_engines) {
  engine_table table(60);
  auto engines = table.engines();
  for (int number = 0; number < 50; ++number) {
    const auto prefix =
        shared_prompt_prefix_of(prompt("first", 2'500, "last" + std::to_string(number)));
    const auto preferred = preferred_engines_of(prefix, engines, 30);
    std::reverse(engines.begin(), engines.end());
    std::rotate(engines.begin(), engines.begin() + number % 7, engines.end());
    BOOST_TEST((preferred_engines_of(prefix, engines, 30) == preferred));
  }
}

BOOST_AUTO_TEST_CASE(preferred_engines_are_distinct_and_at_most_all_engines) {
  engine_table table(9);
  const auto preferred = preferred_engines_of(
      shared_prompt_prefix_of(prompt("first", 2'500, "last")), table.engines(), 20);
  BOOST_TEST(preferred.size() == 9U);
  BOOST_TEST((std::set<const replica_state*>(preferred.begin(), preferred.end()).size() == 9U));
  BOOST_TEST(preferred_engines_of(shared_prompt_prefix_of(prompt("part")), {}, 4).empty());
}

BOOST_AUTO_TEST_CASE(a_popular_first_part_overloads_no_engine) {
  for (const std::size_t count : {12U, 60U}) {
    const engine_table table(count);
    const double mean = prompts_per_first_part / static_cast<double>(count);
    for (const std::uint32_t tokens : {200U, 2'500U}) {
      const auto prompts = prompts_by_engine("first", tokens, table.engines());
      BOOST_TEST(prompts.size() == count);
      for (const auto& [engine, number] : prompts) {
        BOOST_TEST(number <= 2 * mean, engine.text() << " of " << count);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(removing_an_engine_moves_only_prompts_that_preferred_it) {
  engine_table table(60);
  engine_table smaller_table(60);
  const base::replica_id removed_id("engine-17");
  smaller_table.remove(removed_id);
  smaller_table.publish();
  for (int number = 0; number < 500; ++number) {
    const auto content = prompt("part" + std::to_string(number));
    const auto before = preferred_engines_of(shared_prompt_prefix_of(content), table.engines(), 2);
    const auto after = first_preferred_engine(content, smaller_table.engines());
    if (before.front()->record->id == removed_id) {
      BOOST_TEST(after == before.back()->record->id);
    } else {
      BOOST_TEST(after == before.front()->record->id);
    }
  }
}

BOOST_AUTO_TEST_CASE(removing_an_engine_moves_no_prompt_of_other_engines_with_the_same_first_part) {
  engine_table table(60);
  engine_table smaller_table(60);
  const base::replica_id removed_id("engine-17");
  smaller_table.remove(removed_id);
  smaller_table.publish();
  int moved = 0;
  for (int number = 0; number < prompts_per_first_part; ++number) {
    const auto content = prompt("first", 2'500, "last" + std::to_string(number));
    const auto before = first_preferred_engine(content, table.engines());
    moved +=
        before != removed_id && first_preferred_engine(content, smaller_table.engines()) != before
            ? 1
            : 0;
  }
  BOOST_TEST(moved == 0);
}

BOOST_AUTO_TEST_CASE(equal_parts_of_different_models_have_different_hashes) {
  engine_table table(60);
  auto other_model = prompt("part");
  other_model.model = "n";
  BOOST_TEST(shared_prompt_prefix_of(other_model).last_part_hash !=
             shared_prompt_prefix_of(prompt("part")).last_part_hash);
}

BOOST_AUTO_TEST_CASE(the_last_part_is_reported_as_own_tokens_and_the_others_as_shared_tokens) {
  const auto report = sent_prompt_of(prompt("first", 2'500, "last"));
  BOOST_TEST(report.own_tokens == 500U);
  BOOST_TEST(report.shared_tokens == 5'500U);
  BOOST_TEST(report.shared_prefix ==
             shared_prompt_prefix_of(prompt("first", 2'500, "last")).last_part_hash);
  request_content no_shared_parts;
  no_shared_parts.prompt_tokens = 700;
  BOOST_TEST(sent_prompt_of(no_shared_parts).own_tokens == 700U);
  BOOST_TEST(sent_prompt_of(no_shared_parts).shared_prefix == 0U);
}

BOOST_AUTO_TEST_CASE(engines_for_a_first_part_stay_selected_if_more_are_requested) {
  const engine_table table(200);
  const auto prefix = shared_prompt_prefix_of(prompt("first", 2'500, "last"));
  const auto few_engines = engines_for_first_part(prefix, table.engines(), 16);
  const auto more_engines = engines_for_first_part(prefix, table.engines(), 32);
  BOOST_TEST(few_engines.size() == 16U);
  BOOST_TEST(more_engines.size() == 32U);
  const std::set<const replica_state*> more_set(more_engines.begin(), more_engines.end());
  BOOST_TEST(std::all_of(few_engines.begin(), few_engines.end(),
                         [&](const auto* engine) { return more_set.contains(engine); }));
}

BOOST_AUTO_TEST_CASE(a_prompt_with_one_shared_part_may_use_any_engine) {
  const engine_table table(200);
  const auto engines =
      engines_for_first_part(shared_prompt_prefix_of(prompt("only")), table.engines(), 16);
  BOOST_TEST(engines.size() == 200U);
}

BOOST_AUTO_TEST_SUITE_END()
