/// Failure detection of peers and zones after this process read no messages for less than the
/// suspension threshold. Guards against peers that are suspected or declared dead while their
/// messages wait in this process's sockets.
#include "membership/membership.h"

#include "base/random.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <string>

using namespace spurrack;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::array stand_durations{milliseconds(300), milliseconds(600), milliseconds(900)};

membership::identity identity_of(const std::string& name) {
  return {base::node_id(name), base::zone_id("a"), base::network_address(name + ":1"), 1, 1};
}

/// Node with one peer in its zone and contact with one other zone.
struct watching_node {
  watching_node() : subject(identity_of("n"), {}, random, [](const auto&) {}) {
    hear_from("peer", "a");
    hear_from("far", "b");
  }

  void hear_from(const std::string& name, const std::string& zone) {
    wire::envelope message;
    message.set_sender(name);
    message.set_sender_zone(zone);
    message.set_sender_address(name + ":1");
    message.set_sender_incarnation(1);
    subject.observe(message, now);
  }

  void tick() {
    wire::outbox out;
    subject.tick(now, out);
    probes += std::count_if(out.begin(), out.end(), [](const auto& message) {
      return message.to == base::network_address("peer:1") && message.message.has_ping();
    });
  }

  void run_for(base::duration span) {
    for (const auto end = now + span; now < end;) {
      now += milliseconds(50);
      tick();
    }
  }

  void stand(base::duration span) {
    now += span;
    subject.note_stand(span, now);
    tick();
  }

  [[nodiscard]] wire::member_state peer_state() const {
    return subject.members().at(base::node_id("peer")).state;
  }

  base::time_point now{std::chrono::hours(1)};
  base::seeded_random random{1};
  membership::membership subject;
  std::ptrdiff_t probes = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(own_stand_test)

/// Guards against a stand that counts as missing acknowledgement of a probe.
BOOST_AUTO_TEST_CASE(peer_is_not_suspected_for_a_stand_of_this_process) {
  for (const auto duration : stand_durations) {
    watching_node node;
    node.tick();
    BOOST_REQUIRE(node.probes == 1);
    node.now += milliseconds(100);
    node.stand(duration);
    BOOST_TEST((node.peer_state() == wire::ALIVE));
    // The probe is still judged: the peer has not answered within its time.
    node.run_for(milliseconds(600));
    BOOST_TEST((node.peer_state() == wire::SUSPECT));
  }
}

/// Guards against a stand that uses up the time in which a suspected peer refutes.
BOOST_AUTO_TEST_CASE(suspected_peer_is_not_declared_dead_for_a_stand_of_this_process) {
  for (const auto duration : stand_durations) {
    watching_node node;
    node.run_for(milliseconds(700));
    BOOST_REQUIRE((node.peer_state() == wire::SUSPECT));
    node.run_for(milliseconds(1'600));
    BOOST_REQUIRE((node.peer_state() == wire::SUSPECT));
    node.stand(duration);
    BOOST_TEST((node.peer_state() == wire::SUSPECT));
    node.run_for(seconds(2));
    BOOST_TEST((node.peer_state() == wire::DEAD));
  }
}

/// Guards against zones that count as unreachable, so that their replicas get no work, for a stand
/// of this process.
BOOST_AUTO_TEST_CASE(zone_stays_reachable_over_a_stand_of_this_process) {
  const base::zone_id zone("b");
  for (const auto duration : stand_durations) {
    watching_node node;
    node.run_for(milliseconds(1'000));
    BOOST_REQUIRE(node.subject.zones().unreachable_zones(node.now).empty());
    node.stand(duration);
    BOOST_TEST(node.subject.zones().unreachable_zones(node.now).empty());
    node.run_for(milliseconds(1'000));
    BOOST_TEST(node.subject.zones().unreachable_zones(node.now).contains(zone));
  }
}

BOOST_AUTO_TEST_SUITE_END()
