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

base::replica_id first_home(const request_content& content,
                            const std::vector<const replica_state*>& engines) {
  return preferred_engines_of(shared_prompt_prefix_of(content), engines, 1).front()->record->id;
}

constexpr int prompts_with_one_first_part = 1'000;

/// How many of many prompts that differ after the same first part have each engine as their first
/// home.
std::map<base::replica_id, int> prompts_by_home(const std::string& first, std::uint32_t tokens,
                                                const std::vector<const replica_state*>& engines) {
  std::map<base::replica_id, int> prompts;
  for (int last = 0; last < prompts_with_one_first_part; ++last) {
    ++prompts[first_home(prompt(first, tokens, "last" + std::to_string(last)), engines)];
  }
  return prompts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(part_placement_test)

BOOST_AUTO_TEST_CASE(the_order_does_not_depend_on_how_engines_are_listed) {
  engine_table table(60);
  auto engines = table.engines();
  for (int number = 0; number < 50; ++number) {
    const auto beginning =
        shared_prompt_prefix_of(prompt("first", 2'500, "last" + std::to_string(number)));
    const auto homes = preferred_engines_of(beginning, engines, 30);
    std::reverse(engines.begin(), engines.end());
    std::rotate(engines.begin(), engines.begin() + number % 7, engines.end());
    BOOST_TEST((preferred_engines_of(beginning, engines, 30) == homes));
  }
}

BOOST_AUTO_TEST_CASE(all_homes_differ_and_no_more_are_given_than_there_are) {
  engine_table table(9);
  const auto homes = preferred_engines_of(shared_prompt_prefix_of(prompt("first", 2'500, "last")),
                                          table.engines(), 20);
  BOOST_TEST(homes.size() == 9U);
  BOOST_TEST((std::set<const replica_state*>(homes.begin(), homes.end()).size() == 9U));
  BOOST_TEST(preferred_engines_of(shared_prompt_prefix_of(prompt("part")), {}, 4).empty());
}

BOOST_AUTO_TEST_CASE(a_first_part_that_many_prompts_share_crowds_no_engine) {
  for (const std::size_t count : {12U, 60U}) {
    const engine_table table(count);
    const double mean = prompts_with_one_first_part / static_cast<double>(count);
    for (const std::uint32_t tokens : {200U, 2'500U}) {
      const auto prompts = prompts_by_home("first", tokens, table.engines());
      BOOST_TEST(prompts.size() == count);
      for (const auto& [engine, number] : prompts) {
        BOOST_TEST(number <= 2 * mean, engine.text() << " of " << count);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(an_engine_that_leaves_moves_only_what_it_had) {
  engine_table table(60);
  engine_table fewer(60);
  const base::replica_id gone("engine-17");
  fewer.remove(gone);
  fewer.publish();
  for (int number = 0; number < 500; ++number) {
    const auto content = prompt("part" + std::to_string(number));
    const auto before = preferred_engines_of(shared_prompt_prefix_of(content), table.engines(), 2);
    const auto after = first_home(content, fewer.engines());
    if (before.front()->record->id == gone) {
      BOOST_TEST(after == before.back()->record->id);
    } else {
      BOOST_TEST(after == before.front()->record->id);
    }
  }
}

BOOST_AUTO_TEST_CASE(an_engine_that_leaves_moves_no_other_prompt_with_the_same_first_part) {
  engine_table table(60);
  engine_table fewer(60);
  const base::replica_id gone("engine-17");
  fewer.remove(gone);
  fewer.publish();
  int moved = 0;
  for (int number = 0; number < prompts_with_one_first_part; ++number) {
    const auto content = prompt("first", 2'500, "last" + std::to_string(number));
    const auto before = first_home(content, table.engines());
    moved += before != gone && first_home(content, fewer.engines()) != before ? 1 : 0;
  }
  BOOST_TEST(moved == 0);
}

BOOST_AUTO_TEST_CASE(models_do_not_share_parts) {
  engine_table table(60);
  auto other = prompt("part");
  other.model = "n";
  BOOST_TEST(shared_prompt_prefix_of(other).last_part_hash !=
             shared_prompt_prefix_of(prompt("part")).last_part_hash);
}

BOOST_AUTO_TEST_CASE(a_prompt_is_told_with_its_own_and_its_shared_tokens) {
  const auto told = sent_prompt_of(prompt("first", 2'500, "last"));
  BOOST_TEST(told.own_tokens == 500U);
  BOOST_TEST(told.shared_tokens == 5'500U);
  BOOST_TEST(told.shared_prefix ==
             shared_prompt_prefix_of(prompt("first", 2'500, "last")).last_part_hash);
  request_content without;
  without.prompt_tokens = 700;
  BOOST_TEST(sent_prompt_of(without).own_tokens == 700U);
  BOOST_TEST(sent_prompt_of(without).shared_prefix == 0U);
}

BOOST_AUTO_TEST_CASE(readers_of_a_first_part_are_a_part_of_more_of_them) {
  const engine_table table(200);
  const auto beginning = shared_prompt_prefix_of(prompt("first", 2'500, "last"));
  const auto few = engines_for_first_part(beginning, table.engines(), 16);
  const auto more = engines_for_first_part(beginning, table.engines(), 32);
  BOOST_TEST(few.size() == 16U);
  BOOST_TEST(more.size() == 32U);
  const std::set<const replica_state*> all(more.begin(), more.end());
  BOOST_TEST(std::all_of(few.begin(), few.end(),
                         [&](const auto* engine) { return all.contains(engine); }));
}

BOOST_AUTO_TEST_CASE(a_prompt_with_one_shared_part_may_go_to_any_engine) {
  const engine_table table(200);
  const auto readers =
      engines_for_first_part(shared_prompt_prefix_of(prompt("only")), table.engines(), 16);
  BOOST_TEST(readers.size() == 200U);
}

BOOST_AUTO_TEST_SUITE_END()
