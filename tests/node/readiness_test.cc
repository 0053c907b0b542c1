/// Readiness of a starting node that serves published routes.
#include "node_driver.h"

#include "model/serving_record_parser.h"

#include <boost/test/unit_test.hpp>

using namespace spurrack;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Node that has read the configuration, but no replica.
struct starting_node {
  starting_node() : random(1), subject(node_driver::usual_settings(), random, now) {
    const serving::published_catalog published;
    catalog::catalog::bucket_set all_buckets;
    all_buckets.set();
    node::service_answered configuration;
    for (const auto& entry : published.content.entries_in(all_buckets)) {
      if (entry.key() == model::configuration_key) {
        configuration.entries.push_back(entry);
        content.apply(entry);
      }
    }
    configuration.service_revision = 100;
    configuration.is_listing = true;
    subject.handle(configuration, now);
  }

  /// Advances the clock. Meanwhile, each read of the machine list fails, and a peer says that it
  /// has the same entries as this node.
  void advance_time_beside_peer(base::duration span) {
    for (const auto end = now + span; now < end; now += milliseconds(50)) {
      subject.handle(node::time_passed{}, now);
      subject.handle(node::service_failed{node::source_kind::machine_list}, now);
      node::peer_message message;
      message.message.set_sender("other");
      message.message.set_sender_zone("a");
      message.message.set_sender_address("other:1");
      message.message.set_catalog_hash(content.content_hash());
      message.message.mutable_ping();
      subject.handle(message, now);
    }
  }

  base::time_point now{std::chrono::hours(1)};
  base::seeded_random random;
  node::node subject;
  /// The entries of the node.
  catalog::catalog content;
};

} // namespace

BOOST_AUTO_TEST_SUITE(readiness_test)

// Guards against nodes that start together while the list of replicas cannot be read, take each
// other's empty list for the whole list, become ready and refuse every request.
BOOST_AUTO_TEST_CASE(node_without_a_list_of_replicas_is_not_ready_beside_a_peer_without_one) {
  starting_node node;
  node.advance_time_beside_peer(seconds(10));
  BOOST_TEST(!node.subject.is_ready());
  node::service_answered replicas;
  replicas.source = node::source_kind::machine_list;
  replicas.service_revision = 100;
  replicas.is_listing = true;
  node.subject.handle(replicas, node.now);
  node.advance_time_beside_peer(seconds(1));
  BOOST_TEST(node.subject.is_ready());
}

BOOST_AUTO_TEST_SUITE_END()
