/// Nodes that stand for a while and go on where they were, while they batch pieces for others or
/// wait for pieces of their own requests.
#include "exchange_fleet.h"

using namespace spurrack;
using namespace spurrack::serving;

namespace {

using std::chrono::milliseconds;

constexpr milliseconds shortest_silence{500};
constexpr milliseconds longest_silence{3'000};
constexpr milliseconds silence_step{250};

/// A fleet in which `origin` has one piece at the batcher.
struct silent_peer_fleet : exchange_fleet {
  silent_peer_fleet() {
    submit(*nodes[0]);
    run(milliseconds(50));
    batcher = caller();
    origin = &other_than(*batcher);
    run_answering(milliseconds(100));
    origin->finished.clear();
    submit(*origin);
    run(milliseconds(50));
  }

  /// Lets a node stand, while the other nodes go on and workers answer.
  /// @return number of calls that the other nodes started meanwhile.
  std::size_t stand(const exchange_node& node, base::duration duration) {
    unresponsive = node.identity.node;
    std::size_t calls = 0;
    run_answering(duration, [&](const exchange_node& caller_node, const start_stage_call&) {
      calls += caller_node.identity.node == node.identity.node ? 0 : 1;
    });
    unresponsive = {};
    return calls;
  }

  [[nodiscard]] bool has_one_result() const {
    return origin->finished.size() == 1 &&
           origin->finished.front().outcome.fault == piece_fault::none;
  }

  exchange_node* batcher = nullptr;
  exchange_node* origin = nullptr;
};

} // namespace

BOOST_AUTO_TEST_SUITE(silent_peer_test)

// Guards against a request that ends without a result because its batcher was silent for a while.
BOOST_AUTO_TEST_CASE(a_piece_at_a_silent_batcher_has_one_result) {
  for (auto silence = shortest_silence; silence <= longest_silence; silence += silence_step) {
    silent_peer_fleet fleet;
    fleet.stand(*fleet.batcher, silence);
    fleet.run_answering(std::chrono::seconds(1));
    BOOST_TEST(fleet.has_one_result(), silence.count() << " ms");
  }
}

// Guards against a node that stood moving its pieces, because it takes the time for which it stood
// for the silence of their batcher: the pieces would be computed twice.
BOOST_AUTO_TEST_CASE(a_node_that_stood_moves_no_piece) {
  for (auto duration = shortest_silence; duration <= longest_silence; duration += silence_step) {
    silent_peer_fleet fleet;
    std::size_t calls = fleet.stand(*fleet.origin, duration);
    fleet.origin->subject.resume_after_suspension(duration);
    fleet.run_answering(std::chrono::seconds(1),
                        [&](const exchange_node&, const start_stage_call&) { ++calls; });
    BOOST_TEST(calls == 1u, duration.count() << " ms");
    BOOST_TEST(fleet.has_one_result(), duration.count() << " ms");
  }
}

BOOST_AUTO_TEST_SUITE_END()
