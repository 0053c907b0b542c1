/// Behaviour of a node after its process read no input for less than the suspension threshold.
/// Guards against calls that are given up, and peers that are suspected, while their bytes wait in
/// the sockets of this process.
#include "node_driver.h"

#include <boost/test/unit_test.hpp>

#include <array>

using namespace spurrack;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::array stand_durations{milliseconds(60),  milliseconds(100), milliseconds(140),
                                     milliseconds(300), milliseconds(600), milliseconds(900)};
constexpr std::size_t stream_count = 3;
const std::string whole_event = "id: 1\ndata: x\n\n";

/// Node with streams whose replicas were silent until shortly before their stall timeout.
struct standing_node : node_driver {
  standing_node() {
    advance_time(seconds(2));
    for (base::caller_id client = 1; client <= stream_count; ++client) {
      deliver_request(client, "/stream/", now, seconds(20));
    }
    for (const auto& call : calls()) {
      deliver(serving::event(
          serving::stream_opened{call.call, serving::dispatcher_driver::good_head()}));
      deliver(serving::event(serving::stream_bytes{call.call, whole_event}));
    }
    advance_time(milliseconds(1'200));
    BOOST_REQUIRE(calls().size() == stream_count);
  }

  /// Lets the process stand, then delivers the bytes that waited.
  void stand(base::duration duration) {
    now += duration;
    subject.note_stand(duration, now);
    std::vector<node::event> events;
    for (const auto& call : calls()) {
      events.emplace_back(serving::event(serving::stream_bytes{call.call, "id: 2\ndata: y\n\n"}));
    }
    events.emplace_back(node::time_passed{});
    auto new_commands = subject.handle_unread(events, now);
    std::move(new_commands.begin(), new_commands.end(), std::back_inserter(commands));
  }

  [[nodiscard]] std::vector<serving::start_call> calls() const {
    return serving_commands<serving::start_call>();
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(own_stand_of_node)

/// Guards against a stand that is taken for silence of the replicas.
BOOST_AUTO_TEST_CASE(streams_go_on_at_their_replicas_over_a_stand) {
  for (const auto duration : stand_durations) {
    standing_node node;
    node.stand(duration);
    BOOST_TEST(node.calls().size() == stream_count);
    BOOST_TEST(node.serving_commands<serving::cancel_call>().empty());
    for (const auto& [id, state] : node.subject.serving()->replicas().all()) {
      BOOST_TEST((state.unresponsive_at == base::time_point{}));
    }
  }
}

/// Guards against silence that is not found any more because of a stand.
BOOST_AUTO_TEST_CASE(silence_after_a_stand_moves_the_streams) {
  standing_node node;
  node.stand(milliseconds(300));
  node.advance_time(seconds(3));
  BOOST_TEST(!node.serving_commands<serving::cancel_call>().empty());
}

/// Guards against a stand that is noted and hides that the process was suspended.
BOOST_AUTO_TEST_CASE(bytes_that_waited_longer_than_the_threshold_count_as_after_a_suspension) {
  standing_node node;
  node.stand(milliseconds(1'500));
  const auto& entries = node.subject.events().entries();
  BOOST_TEST(std::any_of(entries.begin(), entries.end(), [](const auto& entry) {
    return entry.kind == base::event_kind::node_resumed_after_pause;
  }));
  BOOST_TEST(node.calls().size() == stream_count);
}

/// Guards against knowledge of a peer that counts from the reading of its message, which lay in a
/// socket while this process stood.
BOOST_AUTO_TEST_CASE(knowledge_that_waited_over_a_stand_is_as_old_as_the_stand) {
  constexpr std::array all_stands{milliseconds(60), milliseconds(300), milliseconds(900),
                                  milliseconds(1'500), milliseconds(5'000)};
  for (const auto duration : all_stands) {
    for (const bool is_noted : {false, true}) {
      node_driver node;
      node.advance_time(seconds(6));
      // An unnoted stand shows only by its length beyond the interval of the clock events.
      const base::duration stand = is_noted ? duration : duration + milliseconds(100);
      node::peer_message waiting;
      waiting.message.set_sender("other");
      waiting.message.set_sender_zone("a");
      waiting.message.set_sender_address("other:1");
      waiting.message.mutable_ping();
      auto& told = *waiting.message.add_knowledge();
      told.set_source(static_cast<std::uint32_t>(node::source_kind::configuration));
      told.set_revision(
          node.subject.knowledge(node::source_kind::configuration).known_through().revision);
      told.set_age_milliseconds(1);
      node.now += stand;
      if (is_noted) {
        node.subject.note_stand(stand, node.now);
      }
      node.subject.handle_unread({waiting, node::time_passed{}}, node.now);
      const auto age = node.subject.knowledge(node::source_kind::configuration).age(node.now);
      BOOST_REQUIRE(age.has_value());
      BOOST_TEST((*age >= stand), "stand of " << duration.count() << " ms");
      node.advance_time(milliseconds(100));
      node.deliver(waiting);
      const auto later = node.subject.knowledge(node::source_kind::configuration).age(node.now);
      BOOST_TEST((later == base::duration{}));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
