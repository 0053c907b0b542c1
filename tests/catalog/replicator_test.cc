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

BOOST_AUTO_TEST_SUITE_END()
