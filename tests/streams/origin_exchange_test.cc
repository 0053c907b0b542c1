/// Origins of streams at their witnesses, and look-ups by the nodes at which clients resume.
#include "streams/origin_exchange.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
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
          self, [this](const auto&, auto) { return evidence(); }, 1));
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
    return {knowledge, sole_version{origin.version, one_version_since, now - list_age}};
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
          records += sent.message.stream_origins().begun_size() > 0 ? 1 : 0;
          queries += sent.message.stream_origins().queries_size() > 0 ? 1 : 0;
          const auto to = static_cast<std::size_t>(
              std::find_if(peers.begin(), peers.end(),
                           [&](const auto& peer) { return peer.address == sent.to; }) -
              peers.begin());
          if (!dead.contains(to) && !loses_message(from, to)) {
            exchanges[to]->handle(peers[from].node, peers[from].address,
                                  sent.message.stream_origins(), now);
          }
        }
      }
    }
  }

  void begin(std::size_t node, std::size_t stream) {
    send_record(node, stream);
    pass(milliseconds(40));
  }
  /// Sends the record of a stream, without time for acknowledgements.
  void send_record(std::size_t node, std::size_t stream) {
    exchanges[node]->note_bound(key(stream), origin, 1, lifetime, true, now);
    exchanges[node]->note_first_event(now);
    deliver();
  }
  /// Lets time pass while messages are delivered.
  void pass(base::duration span) {
    for (const auto end = now + span; now < end;) {
      now += milliseconds(10);
      deliver();
    }
  }
  /// @return the nodes that keep a stream's record, without the node that began it.
  [[nodiscard]] std::vector<std::size_t> witnesses(std::size_t began, std::size_t stream) const {
    std::vector<std::size_t> found;
    for (std::size_t index = 0; index < exchanges.size(); ++index) {
      if (index != began && exchanges[index]->registry().find(key(stream), now) != nullptr) {
        found.push_back(index);
      }
    }
    return found;
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
  /// Age of each node's list of replicas.
  base::duration list_age{};
  static constexpr base::duration lifetime = seconds(60);
  std::set<std::size_t> dead;
  std::function<bool(std::size_t from, std::size_t to)> loses_message = [](auto, auto) {
    return false;
  };
  std::size_t messages = 0;
  /// Messages with records, and with queries.
  std::size_t records = 0;
  std::size_t queries = 0;
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
    // Each record is acknowledged.
    BOOST_TEST(fleet.records == 3U);
    BOOST_TEST(fleet.messages == 6U);
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
  fleet.exchanges[0]->note_bound(key(1), origin, 1, seconds(10), false, fleet.now);
  fleet.exchanges[0]->note_bound(key(2), origin, 1, seconds(10), false, fleet.now);
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

// --- lost messages -------------------------------------------------------------------------------

/// Guards against a record that is lost with the connection to its witness.
BOOST_AUTO_TEST_CASE(record_is_sent_again_until_its_witnesses_acknowledge_it) {
  for (const std::size_t lost : {1U, 2U, 3U}) {
    exchange_fleet fleet(3, 3);
    fleet.begin(0, 1);
    const auto all = fleet.witnesses(0, 1);
    BOOST_REQUIRE(all.size() == 3U);

    exchange_fleet subject(3, 3);
    const std::set<std::size_t> cut(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(lost));
    subject.loses_message = [&](auto from, auto to) {
      return (from == 0 && cut.contains(to)) || (to == 0 && cut.contains(from));
    };
    subject.send_record(0, 1);
    subject.pass(milliseconds(150));
    BOOST_TEST(subject.witnesses(0, 1).size() == 3 - lost);
    subject.loses_message = [](auto, auto) { return false; };
    subject.pass(milliseconds(200));
    BOOST_TEST((subject.witnesses(0, 1) == all));
    const auto& counts = subject.exchanges[0]->counts();
    BOOST_TEST(counts.acknowledged_records == 3U);
    BOOST_TEST(counts.repeated_records == 2 * lost);
    BOOST_TEST(!subject.exchanges[0]->next_wakeup().has_value());
    const auto sent = subject.messages;
    subject.pass(seconds(30));
    BOOST_TEST(subject.messages == sent);
  }
}

/// Guards against a delivery that ends with the connections to all witnesses lost for seconds.
BOOST_AUTO_TEST_CASE(record_arrives_after_a_cut_of_seconds) {
  exchange_fleet fleet(3, 3);
  fleet.loses_message = [](auto from, auto to) { return from == 0 || to == 0; };
  fleet.send_record(0, 1);
  fleet.pass(seconds(3));
  BOOST_TEST(fleet.witnesses(0, 1).empty());
  fleet.loses_message = [](auto, auto) { return false; };
  fleet.pass(seconds(4));
  BOOST_TEST(fleet.witnesses(0, 1).size() == 3U);
}

/// Guards against a record that is taken for acknowledged because it was sent.
BOOST_AUTO_TEST_CASE(lost_acknowledgement_is_sent_again_with_the_next_record) {
  exchange_fleet fleet(3, 3);
  fleet.loses_message = [](auto /*from*/, auto to) { return to == 0; };
  fleet.send_record(0, 1);
  fleet.pass(milliseconds(150));
  BOOST_TEST(fleet.exchanges[0]->counts().acknowledged_records == 0U);
  fleet.loses_message = [](auto, auto) { return false; };
  fleet.pass(milliseconds(300));
  BOOST_TEST(fleet.exchanges[0]->counts().acknowledged_records == 3U);
  BOOST_TEST(fleet.exchanges[0]->delivery().size() == 0U);
  BOOST_TEST(fleet.witnesses(0, 1).size() == 3U);
}

/// Nodes of older builds keep records and never acknowledge them.
BOOST_AUTO_TEST_CASE(record_is_sent_a_bounded_number_of_times_without_acknowledgement) {
  exchange_fleet fleet(3, 3);
  fleet.loses_message = [](auto /*from*/, auto to) { return to == 0; };
  fleet.send_record(0, 1);
  fleet.pass(seconds(58));
  BOOST_TEST(fleet.exchanges[0]->counts().sent_records ==
             3 * (1 + record_delivery::max_repetitions));
  BOOST_TEST(fleet.exchanges[0]->delivery().size() == 0U);
  BOOST_TEST(fleet.exchanges[0]->delivery().abandoned() == 1U);
  BOOST_TEST(!fleet.exchanges[0]->next_wakeup().has_value());
}

BOOST_AUTO_TEST_CASE(record_that_has_expired_is_not_sent_again) {
  exchange_fleet fleet(3, 3);
  fleet.loses_message = [](auto /*from*/, auto to) { return to == 0; };
  fleet.exchanges[0]->note_bound(key(1), origin, 1, milliseconds(500), true, fleet.now);
  fleet.pass(milliseconds(1600));
  const auto sent = fleet.exchanges[0]->counts().sent_records;
  BOOST_TEST(sent == 3U * 4U);
  fleet.pass(seconds(30));
  BOOST_TEST(fleet.exchanges[0]->counts().sent_records == sent);
  BOOST_TEST(fleet.exchanges[0]->delivery().size() == 0U);
}

/// A witness may die before it has the record; the next node in rank is queried in its place.
BOOST_AUTO_TEST_CASE(unacknowledged_record_goes_to_the_witnesses_of_now) {
  exchange_fleet known(3, 3);
  known.begin(0, 1);
  const auto lost = known.witnesses(0, 1);
  exchange_fleet fleet(3, 3);
  fleet.dead = {lost.begin(), lost.end()};
  fleet.send_record(0, 1);
  BOOST_TEST(fleet.witnesses(0, 1).empty());
  std::vector<serving::fleet_peer> alive;
  for (std::size_t index = 1; index < fleet.peers.size(); ++index) {
    if (!fleet.dead.contains(index)) {
      alive.push_back(fleet.peers[index]);
    }
  }
  fleet.exchanges[0]->set_peers(alive);
  fleet.pass(milliseconds(200));
  BOOST_TEST(fleet.witnesses(0, 1).size() == 3U);
}

/// Guards against an acknowledgement of an earlier message, or of another node, that ends the
/// delivery of a record.
BOOST_AUTO_TEST_CASE(only_the_receiver_acknowledges_a_message_and_only_a_known_one) {
  exchange_fleet fleet(3, 3);
  fleet.loses_message = [](auto /*from*/, auto to) { return to == 0; };
  fleet.send_record(0, 1);
  auto& subject = *fleet.exchanges[0];
  wire::stream_origins forged;
  for (std::uint64_t number = 0; number < 1000; ++number) {
    forged.add_acknowledged_numbers(number);
  }
  subject.handle(base::node_id("stranger"), base::network_address("stranger:1"), forged, fleet.now);
  BOOST_TEST(subject.counts().acknowledged_records == 0U);
  BOOST_TEST(subject.delivery().size() == 1U);
  // The record changes: an acknowledgement of the message with the earlier one does not count.
  subject.note_bound(key(1), origin, 2, exchange_fleet::lifetime, true, fleet.now);
  for (std::size_t index = 1; index < fleet.peers.size(); ++index) {
    subject.handle(fleet.peers[index].node, fleet.peers[index].address, forged, fleet.now);
  }
  BOOST_TEST(subject.counts().acknowledged_records == 0U);
  BOOST_TEST(subject.delivery().size() == 1U);
}

/// Guards against look-ups that miss the origin because a reset drops queries or answers.
BOOST_AUTO_TEST_CASE(query_is_sent_again_to_nodes_that_have_not_answered) {
  for (const bool loses_answers : {false, true}) {
    exchange_fleet fleet(3, 3);
    fleet.begin(0, 1);
    fleet.loses_message = [&](auto from, auto to) { return loses_answers ? to == 8 : from == 8; };
    BOOST_REQUIRE(
        !fleet.exchanges[8]->look_up(key(1), "llm", fleet.begun_after, fleet.now).has_value());
    fleet.deliver();
    fleet.pass(milliseconds(150));
    BOOST_TEST(fleet.exchanges[8]->take_findings().empty());
    fleet.loses_message = [](auto, auto) { return false; };
    fleet.pass(milliseconds(60));
    const auto findings = fleet.exchanges[8]->take_findings();
    BOOST_REQUIRE(findings.size() == 1U);
    BOOST_TEST((findings.front().second.origin == origin));
    BOOST_TEST(fleet.exchanges[8]->counts().repeated_queries > 0U);
  }
}

/// Nodes that have answered are not queried again, and a second answer is no late one.
BOOST_AUTO_TEST_CASE(query_is_sent_again_only_to_nodes_that_have_not_answered) {
  exchange_fleet fleet(3, 3);
  fleet.dead = {1};
  BOOST_REQUIRE(!fleet.exchanges[0]->look_up(key(1), "llm", fleet.begun_after, fleet.now));
  fleet.deliver();
  fleet.pass(milliseconds(400));
  BOOST_TEST(fleet.exchanges[0]->take_findings().size() == 1U);
  BOOST_TEST(fleet.queries == 8U + 2U);
  BOOST_TEST(fleet.exchanges[0]->counts().repeated_queries == 2U);
}

// --- unbound records and dates -------------------------------------------------------------------

/// Guards against a stream that goes on by the record of a call after which another one began it.
BOOST_AUTO_TEST_CASE(unbound_record_of_an_older_build_is_no_evidence_of_the_origin) {
  exchange_fleet fleet(3, 3);
  wire::stream_origins message;
  auto& told = *message.add_begun();
  told.set_stream(key(1).bytes());
  told.set_service("llm");
  told.set_version("v0");
  told.set_call(7);
  told.set_lifetime_milliseconds(60'000);
  for (const std::size_t witness : {1U, 2U}) {
    fleet.exchanges[witness]->handle(fleet.peers[0].node, fleet.peers[0].address, message,
                                     fleet.now);
  }
  fleet.deliver();
  // Neither the sender nor this node expects an acknowledgement.
  fleet.pass(milliseconds(100));
  BOOST_TEST(fleet.messages == 0U);
  for (const std::size_t node : {1U, 4U}) {
    const auto finding = fleet.look_up(node, 1);
    BOOST_TEST(!finding.origin.has_value());
    BOOST_TEST(!finding.is_contradictory);
    BOOST_REQUIRE(finding.unbound_origin.has_value());
    BOOST_TEST(finding.unbound_origin->version.text() == "v0");
    BOOST_TEST(finding.call == 7U);
  }
  // A bound record elsewhere is found, although its call has a lower number.
  fleet.exchanges[3]->note_bound(key(1), origin, 2, exchange_fleet::lifetime, false, fleet.now);
  BOOST_TEST((fleet.look_up(4, 1).origin == origin));
}

/// Guards against a list that looks newer than it is because its node's answer was read late.
BOOST_AUTO_TEST_CASE(list_of_another_node_is_dated_from_the_sending_of_the_query) {
  exchange_fleet fleet(3, 3);
  fleet.knowledge = version_knowledge::one;
  fleet.one_version_since = fleet.begun_after + milliseconds(1);
  fleet.list_age = milliseconds(700);
  auto& subject = *fleet.exchanges[0];
  const auto sent_at = fleet.now;
  BOOST_REQUIRE(!subject.look_up(key(1), "llm", fleet.begun_after, fleet.now));
  std::vector<std::pair<std::size_t, wire::stream_origins>> answers;
  for (const auto& query : subject.take_messages()) {
    for (std::size_t index = 1; index < fleet.peers.size(); ++index) {
      if (fleet.peers[index].address == query.to) {
        fleet.exchanges[index]->handle(fleet.peers[0].node, fleet.peers[0].address,
                                       query.message.stream_origins(), fleet.now);
        for (const auto& answer : fleet.exchanges[index]->take_messages()) {
          answers.emplace_back(index, answer.message.stream_origins());
        }
      }
    }
  }
  // This process stands.
  fleet.now += seconds(2);
  for (const auto& [index, answer] : answers) {
    subject.handle(fleet.peers[index].node, fleet.peers[index].address, answer, fleet.now);
  }
  subject.advance(fleet.now);
  const auto findings = subject.take_findings();
  BOOST_REQUIRE(findings.size() == 1U);
  const auto& sole = findings.front().second.sole;
  BOOST_REQUIRE(sole.has_value());
  BOOST_TEST((sole->through <= sent_at - fleet.list_age));
  BOOST_TEST((sole->through >= sent_at - fleet.list_age - milliseconds(2)));
  BOOST_TEST((sole->since >= fleet.one_version_since));
}

/// An older build does not tell how old its list is.
BOOST_AUTO_TEST_CASE(list_of_unknown_age_reaches_to_no_time) {
  exchange_fleet fleet(3, 3);
  auto& subject = *fleet.exchanges[0];
  BOOST_REQUIRE(!subject.look_up(key(1), "llm", fleet.begun_after, fleet.now));
  const auto answer_from = [&](std::size_t peer, std::uint32_t known, std::uint32_t age) {
    wire::stream_origins message;
    auto& answer = *message.add_answers();
    answer.set_stream(key(1).bytes());
    answer.set_only_version("v1");
    answer.set_only_version_milliseconds(known);
    answer.set_list_age_milliseconds(age);
    subject.handle(fleet.peers[peer].node, fleet.peers[peer].address, message, fleet.now);
  };
  const auto sole_of_look_up = [&] {
    fleet.now += milliseconds(300);
    subject.advance(fleet.now);
    const auto findings = subject.take_findings();
    BOOST_REQUIRE(findings.size() == 1U);
    BOOST_REQUIRE(findings.front().second.sole.has_value());
    return *findings.front().second.sole;
  };
  answer_from(1, 60'000, 0);
  BOOST_TEST((sole_of_look_up().through == base::time_point{}));

  // Statements whose times overlap are joined.
  const auto sent_at = fleet.now;
  BOOST_REQUIRE(!subject.look_up(key(1), "llm", fleet.begun_after, fleet.now));
  answer_from(1, 60'000, 0);
  answer_from(2, 30'000, 2'001);
  answer_from(3, 20'000, 1);
  const auto sole = sole_of_look_up();
  BOOST_TEST((sole.since == sent_at - seconds(30)));
  BOOST_TEST((sole.through == sent_at - milliseconds(1)));
}

BOOST_AUTO_TEST_SUITE_END()
