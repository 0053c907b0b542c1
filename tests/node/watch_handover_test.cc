/// Handover of the watch of a platform service: a node that cannot read the service asks this node
/// to watch the service instead. Guards against messages that name an unknown service or would let
/// a watch be handed over without end.
#include "node_driver.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdint>
#include <limits>

using namespace spurrack;
using std::chrono::seconds;

namespace {

/// Ready node whose further reads of the platform services get no answers.
struct substitute_node : node_driver {
  substitute_node() {
    node::service_answered replicas;
    replicas.source = node::source_kind::machine_list;
    replicas.service_revision = 100;
    deliver(replicas);
    advance_time(seconds(2));
    commands.clear();
  }
  /// Delivers a message in which a peer hands over the watch of a platform service to this node:
  /// the peer, which cannot read the service, asks this node to read it and follow its changes for
  /// a while.
  void deliver_handover(std::uint32_t source, std::uint32_t handovers_left) {
    node::peer_message handover;
    handover.message.set_sender("other");
    handover.message.set_sender_zone("a");
    handover.message.set_sender_address("other:1");
    auto& body = *handover.message.mutable_watch_handover();
    body.set_source(source);
    body.set_handovers_left(handovers_left);
    deliver(handover);
  }
  /// @return number of times that this node handed over a watch to another node.
  [[nodiscard]] std::ptrdiff_t sent_handovers() const {
    return std::count_if(commands.begin(), commands.end(), [](const auto& command) {
      const auto* message = std::get_if<wire::outgoing>(&command);
      return message != nullptr && message->message.has_watch_handover();
    });
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(watch_handover_test)

BOOST_AUTO_TEST_CASE(a_handover_of_an_unknown_source_is_ignored) {
  substitute_node node;
  BOOST_REQUIRE(node.subject.is_ready());
  for (const std::uint32_t source : {2U, 1'000U, std::numeric_limits<std::uint32_t>::max()}) {
    node.deliver_handover(source, 1);
  }
  BOOST_TEST(node.subject.is_ready());
}

BOOST_AUTO_TEST_CASE(an_excessive_number_of_handovers_left_from_a_peer_is_limited) {
  substitute_node node;
  for (int attempt = 0; attempt < 100; ++attempt) {
    node.deliver_handover(0, std::numeric_limits<std::uint32_t>::max());
    node.deliver(node::service_failed{node::source_kind::configuration});
  }
  // Each time the node takes over a watch, it hands over the watch at most once.
  BOOST_TEST(node.sent_handovers() <= 100);
  for (const auto& command : node.commands) {
    if (const auto* message = std::get_if<wire::outgoing>(&command);
        message != nullptr && message->message.has_watch_handover()) {
      BOOST_TEST(message->message.watch_handover().handovers_left() <= 1U);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
