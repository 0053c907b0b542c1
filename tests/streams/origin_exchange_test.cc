/// Origins of streams at their witnesses, and look-ups by the nodes at which clients resume.
#include "streams/origin_exchange.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <set>

using namespace spurrack;
using namespace spurrack::streams;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const stream_origin origin{"llm", base::software_version("v1")};

stream_key key(std::size_t number) {
  return key_of("tenant", base::request_id("attempt " + std::to_string(number)));
}

/// Exchanges of several zones, which deliver their messages at once.
struct exchange_fleet {
  exchange_fleet(std::size_t zones, std::size_t nodes_per_zone) {
    for (std::size_t index = 0; index < zones * nodes_per_zone; ++index) {
      const auto name = "n" + std::to_string(index);
      peers.push_back({base::node_id(name), base::zone_id("z" + std::to_string(index % zones)),
                       base::network_address(name + ":1"), 1});
    }
    for (const auto& self : peers) {
      exchanges.push_back(std::make_unique<origin_exchange>(
          self, [this](const auto&, auto) { return evidence(); }));
      std::vector<serving::fleet_peer> others;
      std::copy_if(peers.begin(), peers.end(), std::back_inserter(others),
                   [&](const auto& peer) { return peer.node != self.node; });
      exchanges.back()->set_peers(others);
    }
  }

  /// @return what every node knows of the versions of the service.
  [[nodiscard]] version_evidence evidence() const {
    if (knowledge == version_knowledge::several) {
      return {knowledge, std::nullopt};
    }
    return {knowledge, sole_version{origin.version, one_version_since, now}};
  }

  void deliver() {
    for (bool is_any = true; is_any;) {
      is_any = false;
      for (std::size_t from = 0; from < exchanges.size(); ++from) {
        if (dead.contains(from)) {
          continue;
        }
        exchanges[from]->advance(now);
        for (const auto& sent : exchanges[from]->take_messages()) {
          is_any = true;
          ++messages;
          bytes += sent.message.ByteSizeLong();
          const auto to = static_cast<std::size_t>(
              std::find_if(peers.begin(), peers.end(),
                           [&](const auto& peer) { return peer.address == sent.to; }) -
              peers.begin());
          if (!dead.contains(to)) {
            exchanges[to]->handle(peers[from].node, peers[from].address,
                                  sent.message.stream_origins(), now);
          }
        }
      }
    }
  }

  void begin(std::size_t node, std::size_t stream) {
    exchanges[node]->note_sent(key(stream), origin, 1, seconds(10), true, now);
    exchanges[node]->note_first_event(now);
    deliver();
  }

  /// @return the finding of a look-up at a node; waits until its timeout.
  origin_finding look_up(std::size_t node, std::size_t stream) {
    if (auto found = exchanges[node]->look_up(key(stream), "llm", begun_after, now)) {
      return *found;
    }
    deliver();
    now += milliseconds(400);
    deliver();
    const auto findings = exchanges[node]->take_findings();
    BOOST_REQUIRE(findings.size() == 1U);
    return findings.front().second;
  }

  base::time_point now{std::chrono::hours(1)};
  /// Earliest time at which the streams that are looked up may have begun, and time since which all
  /// nodes know of one version alone.
  base::time_point begun_after = now - seconds(10);
  base::time_point one_version_since = now - seconds(20);
  version_knowledge knowledge = version_knowledge::several;
  std::vector<serving::fleet_peer> peers;
  std::vector<std::unique_ptr<origin_exchange>> exchanges;
  std::set<std::size_t> dead;
  std::size_t messages = 0;
  std::size_t bytes = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(origin_exchange_test)

/// The node that began a stream is dead, and so may the first of its witnesses be.
BOOST_AUTO_TEST_CASE(every_node_finds_the_origin_after_the_node_that_began_died) {
  for (const std::size_t zones : {1U, 2U, 3U, 7U}) {
    exchange_fleet fleet(zones, 6);
    for (std::size_t stream = 0; stream < 200; ++stream) {
      const auto began = stream % fleet.peers.size();
      fleet.begin(began, stream);
      fleet.dead = {began};
      const auto resumed_at = (stream * 7 + 1) % fleet.peers.size();
      if (resumed_at != began) {
        const auto finding = fleet.look_up(resumed_at, stream);
        BOOST_TEST((finding.origin == origin), zones << " zones, stream " << stream);
      }
      fleet.dead.clear();
    }
  }
}

BOOST_AUTO_TEST_CASE(origin_is_found_after_the_whole_zone_that_began_died) {
  exchange_fleet fleet(3, 6);
  for (std::size_t stream = 0; stream < 100; ++stream) {
    fleet.begin(0, stream);
    fleet.dead = {0, 3, 6, 9, 12, 15};
    BOOST_TEST((fleet.look_up(1, stream).origin == origin));
    fleet.dead.clear();
  }
}

/// The cost must not grow with the fleet.
BOOST_AUTO_TEST_CASE(messages_for_each_stream_are_as_many_in_a_large_fleet) {
  for (const std::size_t nodes_per_zone : {2U, 20U, 100U}) {
    exchange_fleet fleet(3, nodes_per_zone);
    fleet.begin(0, 1);
    BOOST_TEST(fleet.messages == 3U);
    fleet.messages = 0;
    BOOST_TEST((fleet.look_up(1, 1).origin == origin));
    BOOST_TEST(fleet.messages <= 18U);
  }
}

BOOST_AUTO_TEST_CASE(unknown_stream_is_reported_with_what_the_others_know) {
  exchange_fleet fleet(3, 3);
  auto finding = fleet.look_up(0, 1);
  BOOST_TEST(!finding.origin);
  BOOST_TEST(finding.answered == finding.queried);
  BOOST_TEST(finding.peers_know_several_versions);
  fleet.knowledge = version_knowledge::one;
  finding = fleet.look_up(0, 2);
  BOOST_TEST(!finding.peers_know_several_versions);
  BOOST_REQUIRE(finding.sole.has_value());
  BOOST_TEST(finding.sole->version.text() == origin.version.text());
  BOOST_TEST((finding.sole->since == fleet.one_version_since));
  for (const auto knowledge : {version_knowledge::outdated, version_knowledge::recent}) {
    fleet.knowledge = knowledge;
    finding = fleet.look_up(0, 3 + static_cast<std::size_t>(knowledge));
    BOOST_TEST(!finding.sole.has_value());
  }
}

/// Clients must not wait for nodes that were killed a moment ago while one version serves.
BOOST_AUTO_TEST_CASE(look_up_does_not_wait_for_a_dead_node_while_one_version_is_known) {
  exchange_fleet fleet(3, 3);
  fleet.knowledge = version_knowledge::one;
  for (std::size_t stream = 0; stream < 20; ++stream) {
    fleet.dead = {1 + stream % 8};
    BOOST_REQUIRE(!fleet.exchanges[0]->look_up(key(stream), "llm", fleet.begun_after, fleet.now));
    fleet.deliver();
    BOOST_TEST(fleet.exchanges[0]->take_findings().size() == 1U);
  }
}

/// The missing answer may be the one of the node that knows the origin.
BOOST_AUTO_TEST_CASE(look_up_waits_for_all_if_one_version_is_known_for_too_short_a_time) {
  exchange_fleet fleet(3, 3);
  fleet.knowledge = version_knowledge::one;
  fleet.one_version_since = fleet.begun_after + milliseconds(1);
  fleet.dead = {1};
  BOOST_REQUIRE(!fleet.exchanges[0]->look_up(key(1), "llm", fleet.begun_after, fleet.now));
  fleet.deliver();
  BOOST_TEST(fleet.exchanges[0]->take_findings().empty());
  fleet.now += milliseconds(400);
  fleet.deliver();
  BOOST_TEST(fleet.exchanges[0]->take_findings().size() == 1U);
}

/// Guards against two nodes that each know of one version alone, but of different ones.
BOOST_AUTO_TEST_CASE(nodes_that_know_different_versions_alone_know_several_together) {
  exchange_fleet fleet(3, 3);
  auto& subject = *fleet.exchanges[0];
  BOOST_REQUIRE(!subject.look_up(key(1), "llm", fleet.begun_after, fleet.now));
  for (const std::size_t peer : {1U, 2U}) {
    wire::stream_origins message;
    auto& answer = *message.add_answers();
    answer.set_stream(key(1).bytes());
    answer.set_only_version("v" + std::to_string(peer));
    answer.set_only_version_milliseconds(60'000);
    subject.handle(fleet.peers[peer].node, fleet.peers[peer].address, message, fleet.now);
  }
  fleet.now += milliseconds(400);
  subject.advance(fleet.now);
  const auto findings = subject.take_findings();
  BOOST_REQUIRE(findings.size() == 1U);
  BOOST_TEST(findings.front().second.peers_know_several_versions);
}

BOOST_AUTO_TEST_CASE(late_forged_and_malformed_answers_change_nothing) {
  exchange_fleet fleet(3, 3);
  auto& subject = *fleet.exchanges[0];
  wire::stream_origins message;
  auto& answer = *message.add_answers();
  answer.set_stream(key(1).bytes());
  answer.mutable_origin()->set_service("llm");
  answer.mutable_origin()->set_version("v2");
  subject.handle(fleet.peers[1].node, fleet.peers[1].address, message, fleet.now);
  BOOST_TEST(subject.counts().late_answers == 1U);
  BOOST_REQUIRE(!subject.look_up(key(1), "llm", fleet.begun_after, fleet.now));
  subject.handle(base::node_id("stranger"), base::network_address("stranger:1"), message,
                 fleet.now);
  BOOST_TEST(subject.counts().late_answers == 2U);
  BOOST_TEST(subject.take_findings().empty());
  message.mutable_answers(0)->set_stream("short");
  message.add_begun()->set_stream(std::string(1000, 'x'));
  message.add_queries()->set_stream("");
  subject.handle(fleet.peers[1].node, fleet.peers[1].address, message, fleet.now);
  BOOST_TEST(subject.counts().malformed == 2U);
  BOOST_TEST(subject.registry().size() == 0U);
}

BOOST_AUTO_TEST_CASE(open_streams_are_shared_when_a_second_version_appears) {
  exchange_fleet fleet(3, 3);
  fleet.exchanges[0]->note_sent(key(1), origin, 1, seconds(10), false, fleet.now);
  fleet.exchanges[0]->note_sent(key(2), origin, 1, seconds(10), false, fleet.now);
  fleet.exchanges[0]->note_completed(key(2));
  fleet.deliver();
  BOOST_TEST(fleet.messages == 0U);
  fleet.exchanges[0]->share_open_streams("llm", fleet.now);
  fleet.now += milliseconds(50);
  fleet.deliver();
  BOOST_TEST(fleet.messages == 3U);
  fleet.dead = {0};
  BOOST_TEST((fleet.look_up(1, 1).origin == origin));
  BOOST_TEST(!fleet.look_up(2, 2).origin);
}

BOOST_AUTO_TEST_SUITE_END()
