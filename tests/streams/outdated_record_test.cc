/// Guards against streams that go on at the version of an outdated record. A call at a replica of
/// one version is reset before its first event, and a call at a replica of another version begins
/// the stream. The connections between the nodes are reset beside the first call, so that a witness
/// has the record of the first call and misses those of the second.
#include "streams/origin_witnesses.h"

#include "stream_fleet_check.h"

#include <array>

using namespace spurrack;
using namespace spurrack::streams;

namespace {

const std::vector<replica_group> half_and_half{{"v1", "a", 2}, {"v2", "a", 2}, {"v1", "b", 2},
                                               {"v2", "b", 2}, {"v1", "c", 2}, {"v2", "c", 2}};

/// Time for which the connections between the nodes stay lost after the first event.
constexpr base::duration reconnect_time = milliseconds(150);

/// Part of a request's run in which messages between the beginner and some witnesses are lost.
enum class loss_span : std::uint8_t {
  before,     ///< From the first call to its reset.
  between,    ///< From the reset to the first event.
  after,      ///< From the first event on, for `reconnect_time`.
  throughout, ///< From the reset on, until `reconnect_time` after the first event.
};
constexpr std::size_t loss_spans = 4;

/// Resets first calls, and the connections of their nodes to one, two or three witnesses.
class reset_faults {
 public:
  /// @param kills_beginners whether some nodes are killed after they began a stream. The clients of
  ///        other streams lose their connections, so that they resume at any node.
  reset_faults(stream_fleet& fleet, bool kills_beginners)
      : fleet_(fleet), kills_beginners_(kills_beginners), next_kill_at_(fleet.now) {
    fleet_.resets_call = [this](std::size_t node, const start_call& call) {
      return reset_after(node, call);
    };
    fleet_.loses_message = [this](std::size_t from, std::size_t to) {
      return is_lost(from, to) || is_lost(to, from);
    };
    fleet_.on_first_event = [this](const client_stream& stream, std::size_t node) {
      note_first_event(stream, node);
    };
  }
  ~reset_faults() {
    fleet_.resets_call = [](auto, const auto&) { return std::nullopt; };
    fleet_.loses_message = [](auto, auto) { return false; };
    fleet_.on_first_event = [](const auto&, auto) {};
  }
  reset_faults(const reset_faults&) = delete;
  reset_faults& operator=(const reset_faults&) = delete;

  /// @return number of streams of which the first call was reset at a replica of a version other
  ///         than the one that began the stream.
  [[nodiscard]] std::size_t moved() const { return moved_; }

 private:
  struct fault {
    std::size_t beginner = 0;
    std::string first_version;
    /// Witnesses with which the beginner has no connection in the span.
    std::set<std::size_t> cut_witnesses;
    loss_span span = loss_span::before;
    base::time_point reset_at;
    std::optional<base::time_point> first_event_at;
  };

  std::optional<base::duration> reset_after(std::size_t node, const start_call& call) {
    constexpr std::size_t reset_odds = 3;
    const auto id = call.content->id.text();
    if (call.resume_after || faults_.contains(id) || fleet_.random.below(reset_odds) != 0) {
      return std::nullopt;
    }
    // Before and after the time for which a record waits for others.
    constexpr std::array<unsigned, 5> reset_times{2, 12, 20, 40, 70};
    const auto after = milliseconds(reset_times[fleet_.random.below(reset_times.size())]);
    auto& made = faults_[id];
    made.beginner = node;
    made.first_version = version_at(call.target.address);
    made.span = static_cast<loss_span>(fleet_.random.below(loss_spans));
    made.reset_at = fleet_.now + after;
    const auto witnesses = witnesses_of(node, id);
    const auto count = 1 + fleet_.random.below(witnesses.size());
    made.cut_witnesses = {witnesses.begin(),
                          witnesses.begin() + static_cast<std::ptrdiff_t>(count)};
    return after;
  }

  [[nodiscard]] std::string version_at(const base::network_address& address) const {
    for (const auto& replica : fleet_.replicas) {
      if (replica.address == address.text()) {
        return replica.version;
      }
    }
    return {};
  }

  /// @return the witnesses of a stream that a node begins, in random order.
  [[nodiscard]] std::vector<std::size_t> witnesses_of(std::size_t node, const std::string& id) {
    std::vector<fleet_peer> others;
    for (std::size_t index = 0; index < fleet_.nodes.size(); ++index) {
      if (index != node && fleet_.nodes[index].subject) {
        others.push_back(fleet_.peer_number(index));
      }
    }
    origin_witnesses chosen(fleet_.peer_number(node));
    chosen.set_peers(others);
    std::vector<std::size_t> witnesses;
    for (const auto& keeper : chosen.keepers_of(key_of("tenant", base::request_id(id)))) {
      for (std::size_t index = 0; index < fleet_.nodes.size(); ++index) {
        if (fleet_.peer_number(index).address == keeper) {
          witnesses.push_back(index);
        }
      }
    }
    for (std::size_t left = witnesses.size(); left > 1; --left) {
      std::swap(witnesses[left - 1], witnesses[fleet_.random.below(left)]);
    }
    return witnesses;
  }

  [[nodiscard]] bool is_in_span(const fault& made) const {
    const auto now = fleet_.now;
    const bool is_after = made.first_event_at && now >= *made.first_event_at &&
                          now < *made.first_event_at + reconnect_time;
    switch (made.span) {
    case loss_span::before:
      return now < made.reset_at;
    case loss_span::between:
      return now >= made.reset_at && !made.first_event_at;
    case loss_span::after:
      return is_after;
    case loss_span::throughout:
      return (now >= made.reset_at && !made.first_event_at) || is_after;
    }
    return false;
  }
  /// @return whether messages between a beginner and a node are lost now.
  [[nodiscard]] bool is_lost(std::size_t beginner, std::size_t node) const {
    return std::any_of(faults_.begin(), faults_.end(), [&](const auto& entry) {
      const auto& made = entry.second;
      return made.beginner == beginner && made.cut_witnesses.contains(node) && is_in_span(made);
    });
  }

  void note_first_event(const client_stream& stream, std::size_t node) {
    const auto found = faults_.find(stream.first_attempt);
    if (found == faults_.end()) {
      return;
    }
    auto& made = found->second;
    made.first_event_at = fleet_.now;
    if (stream.versions.contains(made.first_version)) {
      return;
    }
    ++moved_;
    constexpr std::array<unsigned, 5> break_times{1, 20, 100, 300, 700};
    const auto after = milliseconds(break_times[fleet_.random.below(break_times.size())]);
    constexpr base::duration kill_interval = milliseconds(700);
    if (kills_beginners_ && fleet_.now >= next_kill_at_) {
      next_kill_at_ = fleet_.now + kill_interval;
      fleet_.schedule(after, [this, node] {
        if (fleet_.nodes[node].subject) {
          fleet_.kill_node(node);
        }
      });
      return;
    }
    fleet_.schedule(after, [this, number = stream.number] { fleet_.break_connection_of(number); });
  }

  stream_fleet& fleet_;
  bool kills_beginners_;
  base::time_point next_kill_at_;
  /// By the id of the attempt.
  std::map<std::string, fault> faults_;
  std::size_t moved_ = 0;
};

/// Resets calls and connections for ten seconds. The caller of a seed checks `moved`.
disturbance reset_calls(bool kills_beginners, std::size_t& moved) {
  return [kills_beginners, &moved](stream_fleet& fleet) {
    reset_faults faults(fleet, kills_beginners);
    fleet.run(seconds(10));
    // No call is begun while the last kills and resumptions are due.
    fleet.run_without_load(seconds(1));
    moved += faults.moved();
  };
}

} // namespace

BOOST_AUTO_TEST_SUITE(outdated_record_test)

/// Guards against a witness that believes the record of a call that was reset.
BOOST_AUTO_TEST_CASE(streams_keep_their_version_if_records_are_lost_beside_a_reset_call) {
  std::size_t moved = 0;
  check_order("beginners live", with(half_and_half), reset_calls(false, moved));
  BOOST_TEST_MESSAGE("first call at another version: " << moved);
  BOOST_TEST(moved >= 20 * seed_count);
}

/// Guards against the same in a fleet in which a look-up does not query every node, so that the
/// beginner may not be among the queried nodes.
BOOST_AUTO_TEST_CASE(streams_keep_their_version_if_records_are_lost_in_a_larger_fleet) {
  auto settings = with(half_and_half);
  settings.nodes_per_zone = 8;
  std::size_t moved = 0;
  check_order("larger fleet", settings, reset_calls(false, moved));
  BOOST_TEST_MESSAGE("first call at another version: " << moved);
  BOOST_TEST(moved >= 20 * seed_count);
}

/// Guards against the same if the beginner, which knows the origin, is dead. A stream of which no
/// witness has a record is refused.
BOOST_AUTO_TEST_CASE(streams_keep_their_version_if_their_beginner_died_after_a_reset_call) {
  std::size_t moved = 0;
  check_order("beginners die", with(half_and_half), reset_calls(true, moved), 0.5);
  BOOST_TEST_MESSAGE("first call at another version: " << moved);
  BOOST_TEST(moved >= 20 * seed_count);
}

BOOST_AUTO_TEST_SUITE_END()
