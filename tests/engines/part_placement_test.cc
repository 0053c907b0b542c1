#include "engines/part_placement.h"

#include "engine_table.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
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
  return homes_of(shared_beginning_of(content), engines, 1).front()->record->id;
}

/// Engines that are the first home of any of many prompts with the same first part.
std::set<base::replica_id> homes_behind(const std::string& first, std::uint32_t tokens,
                                        const std::vector<const replica_state*>& engines) {
  std::set<base::replica_id> homes;
  for (int last = 0; last < 1'000; ++last) {
    homes.insert(first_home(prompt(first, tokens, "last" + std::to_string(last)), engines));
  }
  return homes;
}

} // namespace

BOOST_AUTO_TEST_SUITE(part_placement_test)

BOOST_AUTO_TEST_CASE(the_order_does_not_depend_on_how_engines_are_listed) {
  engine_table table(60);
  auto engines = table.engines();
  for (int number = 0; number < 50; ++number) {
    const auto beginning =
        shared_beginning_of(prompt("first", 2'500, "last" + std::to_string(number)));
    const auto homes = homes_of(beginning, engines, 30);
    std::reverse(engines.begin(), engines.end());
    std::rotate(engines.begin(), engines.begin() + number % 7, engines.end());
    BOOST_TEST((homes_of(beginning, engines, 30) == homes));
  }
}

BOOST_AUTO_TEST_CASE(all_homes_differ_and_no_more_are_given_than_there_are) {
  engine_table table(9);
  const auto homes =
      homes_of(shared_beginning_of(prompt("first", 2'500, "last")), table.engines(), 20);
  BOOST_TEST(homes.size() == 9U);
  BOOST_TEST((std::set<const replica_state*>(homes.begin(), homes.end()).size() == 9U));
  BOOST_TEST(homes_of(shared_beginning_of(prompt("part")), {}, 4).empty());
}

BOOST_AUTO_TEST_CASE(few_engines_are_not_divided_into_groups) {
  // Four first parts with groups of four among twelve engines would leave some engines idle.
  const engine_table table(12);
  BOOST_TEST(homes_behind("first", 2'500, table.engines()).size() == 12U);
}

BOOST_AUTO_TEST_CASE(a_long_first_part_is_kept_by_a_third_of_the_engines) {
  engine_table table(60);
  BOOST_TEST(homes_behind("first", 2'500, table.engines()).size() == 20U);
}

BOOST_AUTO_TEST_CASE(a_short_first_part_is_kept_everywhere) {
  engine_table table(60);
  BOOST_TEST(homes_behind("first", 200, table.engines()).size() == 60U);
}

BOOST_AUTO_TEST_CASE(an_engine_that_leaves_moves_only_what_it_had) {
  engine_table table(60);
  engine_table fewer(60);
  const base::replica_id gone("engine-17");
  fewer.remove(gone);
  fewer.publish();
  for (int number = 0; number < 500; ++number) {
    const auto content = prompt("part" + std::to_string(number));
    const auto before = homes_of(shared_beginning_of(content), table.engines(), 2);
    const auto after = first_home(content, fewer.engines());
    if (before.front()->record->id == gone) {
      BOOST_TEST(after == before.back()->record->id);
    } else {
      BOOST_TEST(after == before.front()->record->id);
    }
  }
}

BOOST_AUTO_TEST_CASE(an_engine_that_leaves_a_group_moves_few_others) {
  engine_table table(60);
  engine_table fewer(60);
  const base::replica_id gone("engine-17");
  fewer.remove(gone);
  fewer.publish();
  int moved = 0;
  for (int number = 0; number < 1'000; ++number) {
    const auto content = prompt("first", 2'500, "last" + std::to_string(number));
    const auto before = first_home(content, table.engines());
    moved += before != gone && first_home(content, fewer.engines()) != before ? 1 : 0;
  }
  // The engine that takes the free place in the group gets its share of 1 in 20, and where the size
  // of a group falls by one, one leaves.
  BOOST_TEST(moved <= 120);
}

BOOST_AUTO_TEST_CASE(models_do_not_share_parts) {
  engine_table table(60);
  auto other = prompt("part");
  other.model = "n";
  BOOST_TEST(shared_beginning_of(other).last_key != shared_beginning_of(prompt("part")).last_key);
}

BOOST_AUTO_TEST_CASE(a_prompt_is_told_with_its_own_and_its_shared_tokens) {
  const auto told = prompt_send_of(prompt("first", 2'500, "last"));
  BOOST_TEST(told.own_tokens == 500U);
  BOOST_TEST(told.shared_tokens == 5'500U);
  BOOST_TEST(told.shared_part == shared_beginning_of(prompt("first", 2'500, "last")).last_key);
  request_content without;
  without.prompt_tokens = 700;
  BOOST_TEST(prompt_send_of(without).own_tokens == 700U);
  BOOST_TEST(prompt_send_of(without).shared_part == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
