/// What one replica misses it gets soon, also while other entries keep changing.
#include "catalog/replicator.h"

#include <boost/test/unit_test.hpp>

using namespace spurrack;

namespace {

wire::catalog_entry entry(std::uint64_t revision, const std::string& name) {
  wire::catalog_entry made;
  made.set_key("templates/" + name);
  made.set_revision(revision);
  made.set_value("{name: " + name +
                 ", deadline_ms: 10, stages: [{name: a, kind: encode, pool: p}]}");
  return made;
}

struct replica {
  explicit replica(std::uint64_t seed)
      : random(seed), subject(content, random, [](const auto&, const auto&) {}) {}

  catalog::catalog content;
  base::seeded_random random;
  catalog::replicator subject;
};

} // namespace

BOOST_AUTO_TEST_SUITE(replicator_exchange)

BOOST_AUTO_TEST_CASE(what_the_service_tells_goes_to_every_peer_of_a_zone) {
  replica reader(1);
  constexpr int peer_count = 10;
  std::vector<base::network_address> peers;
  peers.reserve(peer_count);
  for (int index = 0; index < peer_count; ++index) {
    peers.emplace_back("10.0.0." + std::to_string(index) + ":1");
  }
  wire::outbox out;
  reader.subject.offer({entry(1, "a")}, peers, out);
  BOOST_TEST(out.size() == peers.size());
}

BOOST_AUTO_TEST_CASE(a_missed_entry_is_fetched_while_others_keep_changing) {
  replica behind(1);
  replica ahead(2);
  wire::outbox none;
  ahead.subject.offer({entry(1, "missed")}, {}, none);
  base::time_point now{std::chrono::hours(1)};
  bool compared = false;
  constexpr int rounds = 8;
  for (int round = 0; round < rounds && !compared; ++round) {
    now += std::chrono::milliseconds(200);
    const auto fresh = entry(static_cast<std::uint64_t>(round) + 2, "changing");
    ahead.subject.offer({fresh}, {}, none);
    behind.subject.offer({fresh}, {}, none);
    wire::outbox out;
    behind.subject.compare(base::network_address("a:1"), ahead.content.content_hash(), false, now,
                           out);
    compared = !out.empty();
  }
  BOOST_TEST(compared);
}

BOOST_AUTO_TEST_CASE(a_difference_that_settles_by_itself_costs_no_exchange) {
  replica one(1);
  replica other(2);
  wire::outbox out;
  base::time_point now{std::chrono::hours(1)};
  for (std::uint64_t revision = 1; revision < 10; ++revision) {
    other.subject.offer({entry(revision, "a")}, {}, out);
    now += std::chrono::milliseconds(400);
    one.subject.compare(base::network_address("a:1"), other.content.content_hash(), false, now,
                        out);
    one.subject.offer({entry(revision, "a")}, {}, out);
    now += std::chrono::milliseconds(10);
    one.subject.compare(base::network_address("a:1"), other.content.content_hash(), false, now,
                        out);
  }
  BOOST_TEST(out.empty());
}

BOOST_AUTO_TEST_CASE(a_first_listing_is_not_passed_on) {
  replica reader(1);
  std::vector<wire::catalog_entry> listing;
  for (std::uint64_t number = 1; number <= 200; ++number) {
    listing.push_back(entry(number, "t" + std::to_string(number)));
  }
  wire::outbox out;
  reader.subject.offer(listing, {base::network_address("a:1")}, out);
  BOOST_TEST(out.empty());
  // Changes that follow are.
  reader.subject.offer({entry(300, "t1")}, {base::network_address("a:1")}, out);
  BOOST_TEST(out.size() == 1U);
}

BOOST_AUTO_TEST_CASE(one_comparison_is_under_way_at_a_time) {
  replica behind(1);
  wire::outbox out;
  base::time_point now{std::chrono::hours(1)};
  for (int round = 0; round < 9; ++round) {
    behind.subject.compare(base::network_address("a:1"), 1, true, now, out);
    now += std::chrono::milliseconds(100);
  }
  BOOST_TEST(out.size() == 1U);
  // Unanswered, it is given up.
  now += std::chrono::milliseconds(200);
  behind.subject.compare(base::network_address("b:1"), 1, true, now, out);
  BOOST_TEST(out.size() == 2U);
}

BOOST_AUTO_TEST_CASE(comparisons_that_bring_nothing_become_rarer) {
  replica one(1);
  wire::outbox out;
  base::time_point now{std::chrono::hours(1)};
  wire::envelope nothing;
  nothing.set_sender_address("a:1");
  nothing.mutable_catalog_push()->set_answers_comparison(true);
  std::size_t compared = 0;
  for (int round = 0; round < 200; ++round) {
    // The peer's content is another one each time, as while changes keep coming.
    one.subject.compare(base::network_address("a:1"), static_cast<std::uint64_t>(round) + 1, false,
                        now, out);
    if (out.size() > compared) {
      compared = out.size();
      one.subject.handle(nothing, {}, now, out);
    }
    now += std::chrono::milliseconds(100);
  }
  // One a second after the first few; four a second where they did not become rarer.
  BOOST_TEST(compared >= 18U);
  BOOST_TEST(compared <= 24U);
}

BOOST_AUTO_TEST_CASE(few_large_answers_are_given_at_once_and_others_are_sent_on) {
  replica ahead(1);
  wire::outbox none;
  for (std::uint64_t number = 1; number <= 400; ++number) {
    ahead.subject.offer({entry(number, "t" + std::to_string(number))}, {}, none);
  }
  wire::envelope question;
  question.mutable_catalog_buckets()->mutable_hashes()->Resize(catalog::catalog::bucket_count, 0);
  const base::time_point now{std::chrono::hours(1)};
  std::size_t full_answers = 0;
  wire::outbox out;
  for (int asker = 0; asker < 10; ++asker) {
    question.set_sender_address("a" + std::to_string(asker) + ":1");
    ahead.subject.handle(question, {}, now, out);
  }
  BOOST_TEST(out.size() == 10U);
  for (const auto& answer : out) {
    BOOST_TEST(answer.message.catalog_push().answers_comparison());
    full_answers += answer.message.catalog_push().packed_entries().empty() ? 0 : 1;
  }
  BOOST_TEST(full_answers == catalog::replicator::max_large_answers);
}

BOOST_AUTO_TEST_SUITE_END()
