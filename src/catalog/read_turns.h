/// Decides when a node reads a platform service itself because its knowledge of the service has
/// become too old (source_knowledge.h).
///
/// A few nodes read the service for all others. If these readers fail to confirm what the others
/// know, whatever the reason, other nodes read in turn, at increasing ages of their knowledge:
/// first the remaining readers, then the first other nodes of each zone, then all other nodes of
/// the region one after the other, over and over. The first successful read is reported to all,
/// which ends the turns of the nodes that receive the report. A node that receives no messages from
/// peers reads without waiting for others.
///
/// Turns are ages of the knowledge, so each confirmation, by any node, begins the sequence anew: an
/// attempt that failed in an outage does not delay a turn after the outage. If no read succeeds,
/// for example because the service is down, the number of reads per second of the whole region does
/// not grow with the number of nodes.
#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace spurrack::catalog {

/// Position of a node in the order in which nodes read a service.
struct turn_order {
  /// Position among the nodes that have the job of reading the service for the region; std::nullopt
  /// if the node does not have this job.
  std::optional<std::size_t> reader_rank;
  /// Position among the live nodes of the zone that do not have this job, and their number, at
  /// least 1.
  std::size_t zone_rank = 0;
  std::size_t zone_nodes = 1;
  /// Position of the zone of the node among the zones of the region that have such nodes, and their
  /// number, at least 1.
  std::size_t zone_index = 0;
  std::size_t zones = 1;
  /// Whether the node receives no messages from peers.
  bool is_isolated = false;
};

/// Ages of knowledge at which nodes act. The caller derives them from the time limit within which
/// all nodes must know a change.
struct knowledge_limits {
  /// Interval between two confirmations while the readers are well.
  base::duration confirm_interval = std::chrono::milliseconds(850);
  /// Age from which nodes without the job of reading the service read the service.
  base::duration max_age = std::chrono::milliseconds(1'000);
  /// Age from which a change that must be in effect may be unknown to this node.
  base::duration change_bound = std::chrono::milliseconds(2'000);
};

/// @return limits with which a change is in effect within `change_bound` although the readers fail.
knowledge_limits limits_for(base::duration change_bound);

/// Turns of one node for one service. Not thread-safe.
class read_turns {
 public:
  explicit read_turns(const knowledge_limits& limits = {}) : limits_(limits) {}

  [[nodiscard]] const knowledge_limits& limits() const { return limits_; }

  /// @return age of the knowledge of a node at which the node's first turn comes.
  [[nodiscard]] base::duration age_at_turn(const turn_order& order) const;
  /// @return age of the knowledge at which the node's first turn after `age` comes.
  [[nodiscard]] base::duration next_turn_after(const turn_order& order, base::duration age) const;
  /// @param age age of the knowledge of this node; std::nullopt if nothing was ever confirmed.
  /// @return whether this node must read the service now.
  [[nodiscard]] bool is_due(const turn_order& order, const std::optional<base::duration>& age,
                            base::time_point now) const;
  /// Records that this node reads the service in its turn.
  void note_attempt(base::time_point now);
  /// @return time at which this node last read in its turn, if nobody has confirmed the knowledge
  ///         of the service since; std::nullopt otherwise.
  [[nodiscard]] std::optional<base::time_point> open_attempt() const { return attempted_at_; }
  /// Records that the service answered this node.
  void note_answer() { attempted_at_.reset(); }
  /// Records that the knowledge of this node was current at `confirmed_at`, as a read of any node
  /// shows: an earlier attempt of this node is over.
  void note_confirmation(base::time_point confirmed_at);
  /// @return number of reads of this node in its turns.
  [[nodiscard]] std::uint64_t attempts() const { return attempts_; }

 private:
  /// Ages at which the turns of a node come: at `first`, at `second`, and from then on each
  /// `interval`.
  struct schedule {
    base::duration first;
    base::duration second;
    base::duration interval;
  };
  [[nodiscard]] schedule schedule_of(const turn_order& order) const;

  knowledge_limits limits_;
  /// Time of the latest attempt, unless it is over.
  std::optional<base::time_point> attempted_at_;
  std::uint64_t attempts_ = 0;
};

} // namespace spurrack::catalog
