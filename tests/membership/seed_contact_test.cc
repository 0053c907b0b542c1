/// Rate of requests for members. A node that knows no member sends each request to all gossip
/// seeds.
#include "membership/membership.h"

#include "base/random.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace spurrack;
using std::chrono::milliseconds;

namespace {

membership::identity identity_of(const std::string& name) {
  return {base::node_id(name), base::zone_id("a"), base::network_address(name + ":1"), 1, 1};
}

/// Node that knows the addresses of three gossip seeds and no member.
struct isolated_node {
  isolated_node() : subject(identity_of("n"), {}, random, [](const auto&) {}) {
    for (const char* seed : {"s1:1", "s2:1", "s3:1"}) {
      subject.add_gossip_seed(base::network_address(seed));
    }
  }

  /// Advances the clock by `span`.
  /// @return number of requests for members that the node sends in this time.
  std::size_t requests_within(base::duration span) {
    std::size_t requests = 0;
    for (const auto end = now + span; now < end; now += milliseconds(50)) {
      wire::outbox out;
      subject.tick(now, out);
      for (const auto& message : out) {
        requests += message.message.ping().introduce() ? 1 : 0;
      }
    }
    return requests;
  }

  base::seeded_random random{1};
  base::time_point now{std::chrono::hours(1)};
  membership::membership subject;
};

} // namespace

BOOST_AUTO_TEST_SUITE(seed_contact)

BOOST_FIXTURE_TEST_CASE(node_without_members_sends_ten_requests_per_second_to_each_seed,
                        isolated_node) {
  BOOST_TEST(requests_within(milliseconds(1000)) == 30U);
}

BOOST_FIXTURE_TEST_CASE(node_with_a_member_sends_two_requests_per_second, isolated_node) {
  wire::envelope message_of_other;
  message_of_other.set_sender("other");
  message_of_other.set_sender_zone("a");
  message_of_other.set_sender_address("other:1");
  message_of_other.set_sender_incarnation(1);
  subject.observe(message_of_other, now);
  BOOST_TEST(subject.members().size() == 1U);
  const auto requests = requests_within(milliseconds(1000));
  BOOST_TEST(requests >= 1U);
  BOOST_TEST(requests <= 3U);
}

BOOST_AUTO_TEST_SUITE_END()
