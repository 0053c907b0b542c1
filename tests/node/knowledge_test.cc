/// Knowledge of one node about the platform services, exchanged with peers.
#include "node_driver.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace spurrack;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// @return a message of a peer that has all entries of the configuration through a revision.
node::peer_message peer_knowledge(base::revision revision) {
  node::peer_message message;
  message.message.set_sender("other");
  message.message.set_sender_zone("a");
  message.message.set_sender_address("other:1");
  message.message.set_sender_is_ready(true);
  message.message.mutable_ping();
  auto& told = *message.message.add_knowledge();
  told.set_revision(revision);
  told.set_age_milliseconds(1);
  return message;
}

std::ptrdiff_t sent_entry_requests(const node_driver& node) {
  return std::count_if(node.commands.begin(), node.commands.end(), [](const auto& command) {
    const auto* message = std::get_if<wire::outgoing>(&command);
    return message != nullptr && message->message.has_entry_request();
  });
}

} // namespace

BOOST_AUTO_TEST_SUITE(knowledge_test)

// Guards against a node that is woken without pause, because a request for entries is due that a
// starting node never sends.
BOOST_AUTO_TEST_CASE(starting_node_that_lacks_entries_of_a_peer_is_not_woken_in_a_loop) {
  node_driver node;
  BOOST_REQUIRE(!node.subject.is_ready());
  node.deliver(peer_knowledge(500));
  for (int step = 0; step < 10; ++step) {
    node.advance_time(milliseconds(50));
    BOOST_TEST((node.subject.next_wakeup() > node.now));
  }
  BOOST_TEST(sent_entry_requests(node) == 0);
}

BOOST_AUTO_TEST_CASE(ready_node_requests_entries_that_a_peer_has) {
  node_driver node;
  node::service_answered replicas;
  replicas.source = node::source_kind::machine_list;
  replicas.service_revision = 100;
  node.deliver(replicas);
  node.advance_time(seconds(2));
  BOOST_REQUIRE(node.subject.is_ready());
  node.deliver(peer_knowledge(500));
  BOOST_TEST(sent_entry_requests(node) == 0);
  node.advance_time(milliseconds(200));
  BOOST_TEST(sent_entry_requests(node) >= 1);
  BOOST_TEST(sent_entry_requests(node) <= 2);
}

BOOST_AUTO_TEST_SUITE_END()
