/// A node that is asked to watch a service for another.
#include "driven_node.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdint>
#include <limits>

using namespace spurrack;
using std::chrono::seconds;

namespace {

/// A ready node whose watches answer nothing from now on.
struct asked_node : driven_node {
  asked_node() {
    node::service_answered replicas;
    replicas.source = node::source_kind::machine_list;
    replicas.service_revision = 100;
    happen(replicas);
    pass(seconds(2));
    commands.clear();
  }
  void ask(std::uint32_t source, std::uint32_t handovers) {
    node::peer_message asked;
    asked.message.set_sender("other");
    asked.message.set_sender_zone("a");
    asked.message.set_sender_address("other:1");
    auto& body = *asked.message.mutable_watch_handover();
    body.set_source(source);
    body.set_handovers_left(handovers);
    happen(asked);
  }
  /// @return handovers that this node sent on.
  [[nodiscard]] std::ptrdiff_t sent_on() const {
    return std::count_if(commands.begin(), commands.end(), [](const auto& command) {
      const auto* message = std::get_if<wire::outgoing>(&command);
      return message != nullptr && message->message.has_watch_handover();
    });
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(watch_handover_test)

BOOST_AUTO_TEST_CASE(a_source_that_is_none_is_passed_over) {
  asked_node node;
  BOOST_REQUIRE(node.subject.is_ready());
  for (const std::uint32_t source : {2U, 1'000U, std::numeric_limits<std::uint32_t>::max()}) {
    node.ask(source, 1);
  }
  BOOST_TEST(node.subject.is_ready());
}

BOOST_AUTO_TEST_CASE(a_huge_number_of_handovers_is_not_believed) {
  asked_node node;
  for (int time = 0; time < 100; ++time) {
    node.ask(0, std::numeric_limits<std::uint32_t>::max());
    node.happen(node::service_failed{node::source_kind::configuration});
  }
  // Each question leads to one more at the most.
  BOOST_TEST(node.sent_on() <= 100);
  for (const auto& command : node.commands) {
    if (const auto* message = std::get_if<wire::outgoing>(&command);
        message != nullptr && message->message.has_watch_handover()) {
      BOOST_TEST(message->message.watch_handover().handovers_left() <= 1U);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
