/// Guards against a prompt part that is quarantined because of one request, or without a run that
/// could tell it from another part, and against trials that come too often.
#include "quarantine/crash_registry.h"

#include <boost/test/unit_test.hpp>

using namespace spurrack;
using namespace spurrack::quarantine;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

const base::time_point start{std::chrono::hours(1)};

suspect part(const std::string& id) {
  return {digest_of(serving::prompt_part{id, 10}, "model"), suspect_kind::prompt_part};
}

/// Records an exit under a suspect, `after_start` after `start`.
void note_exit(crash_registry& registry, const suspect& subject, replica_exit exit,
               std::uint64_t request, base::duration after_start) {
  exit_observation observation{exit, start + after_start};
  observation.request = request;
  registry.note_exit(subject, observation, start + after_start);
}

/// Records so many exits, 200 ms apart, each under another request.
void note_exits(crash_registry& registry, const suspect& subject, unsigned count) {
  for (unsigned exit = 1; exit <= count; ++exit) {
    note_exit(registry, subject, exit, exit, milliseconds(200 * exit));
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(prompt_part_registry_test)

BOOST_AUTO_TEST_CASE(a_part_is_tried_from_two_exits_on_and_quarantined_at_five) {
  const auto now = start + seconds(2);
  for (unsigned exits = 0; exits <= 5; ++exits) {
    crash_registry registry;
    note_exits(registry, part("p"), exits);
    const auto judgement = registry.judge({part("p")}, now);
    BOOST_TEST(judgement.needs_trial == (exits >= 2));
    BOOST_TEST((judgement.state == quarantine_state::quarantined) == (exits == 5));
  }
}

BOOST_AUTO_TEST_CASE(exits_under_one_request_do_not_quarantine_a_part) {
  crash_registry registry;
  for (unsigned exit = 1; exit <= 8; ++exit) {
    note_exit(registry, part("p"), exit, 1, milliseconds(100 * exit));
  }
  const auto now = start + seconds(1);
  BOOST_TEST((registry.judge({part("p")}, now).state == quarantine_state::single_attempt));
}

BOOST_AUTO_TEST_CASE(a_surviving_run_clears_a_quarantined_part) {
  crash_registry registry;
  note_exits(registry, part("p"), 5);
  const auto now = start + seconds(5);
  BOOST_TEST(registry.note_survived(part("p").digest, now));
  BOOST_TEST((registry.judge({part("p")}, now).state == quarantine_state::unrestricted));
}

BOOST_AUTO_TEST_CASE(a_request_with_two_quarantined_parts_gets_no_trial) {
  crash_registry registry;
  note_exits(registry, part("p"), 5);
  note_exits(registry, part("q"), 5);
  const auto now = start + seconds(2);
  BOOST_TEST(!registry.judge({part("p"), part("q")}, now).needs_trial);
  BOOST_TEST(registry.judge({part("q")}, now).needs_trial);
}

BOOST_AUTO_TEST_CASE(a_suspected_part_decides_beside_a_suspected_request) {
  crash_registry registry;
  const suspect request{digest_of(serving::prompt_part{"r", 1}, "request")};
  note_exits(registry, request, 3);
  note_exits(registry, part("p"), 2);
  const std::vector<suspect> suspects{request, part("p")};
  const auto judgement = registry.judge(suspects, start + seconds(1));
  BOOST_TEST(judgement.needs_trial);
  BOOST_TEST((judgement.reason->kind == suspect_kind::prompt_part));
}

BOOST_AUTO_TEST_CASE(the_first_trial_in_quarantine_is_due_soon_however_many_exits_came_at_once) {
  crash_registry registry;
  note_exits(registry, part("p"), 8);
  const auto last_exit_at = start + milliseconds(1600);
  const auto& record = *registry.find(part("p").digest);
  BOOST_TEST(!registry.is_trial_due(record, last_exit_at + seconds(3)));
  BOOST_TEST(registry.is_trial_due(record, last_exit_at + seconds(4)));
}

BOOST_AUTO_TEST_CASE(the_next_trial_is_due_later_after_each_trial_with_an_exit) {
  crash_registry registry;
  note_exits(registry, part("p"), 5);
  note_exit(registry, part("p"), 6, 6, seconds(5));
  const auto& record = *registry.find(part("p").digest);
  BOOST_TEST(!registry.is_trial_due(record, start + seconds(60)));
  BOOST_TEST(registry.is_trial_due(record, start + seconds(66)));
  note_exit(registry, part("p"), 7, 7, seconds(70));
  BOOST_TEST(!registry.is_trial_due(record, start + seconds(70) + minutes(9)));
  BOOST_TEST(registry.is_trial_due(record, start + seconds(70) + minutes(11)));
}

BOOST_AUTO_TEST_CASE(a_flood_of_parts_evicts_no_part_with_two_exits) {
  crash_registry registry;
  note_exits(registry, part("suspected"), 2);
  for (unsigned number = 0; number < 10'000; ++number) {
    note_exit(registry, part("p" + std::to_string(number)), 100 + number, number, seconds(1));
  }
  BOOST_TEST(registry.all().size() == crash_registry::max_records);
  BOOST_REQUIRE(registry.find(part("suspected").digest) != nullptr);
  BOOST_TEST(registry.find(part("suspected").digest)->exits.size() == 2U);
}

BOOST_AUTO_TEST_CASE(the_last_part_and_other_models_are_no_suspects_of_a_request) {
  serving::request_content content;
  content.model = "model";
  content.prompt_parts = {{"a", 1}, {"b", 1}, {"own", 1}};
  const auto suspects = suspects_of(content, "tenant");
  BOOST_REQUIRE(suspects.size() == 3U);
  BOOST_TEST((suspects[0].kind == suspect_kind::request));
  BOOST_TEST((suspects[1].digest == part("a").digest));
  BOOST_TEST((suspects[2].digest == part("b").digest));
  BOOST_TEST((digest_of(content.prompt_parts[0], "other") != part("a").digest));
}

BOOST_AUTO_TEST_SUITE_END()
