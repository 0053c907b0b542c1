/// Reads of a platform service that a node sends to verify entries, for itself and for the nodes
/// that asked it by position queries.
///
/// A read counts only for those who asked before it was sent. All who wait share the next read, and
/// reads follow each other at a minimum interval, so that the number of calls to the service does
/// not grow with the number of nodes that ask.
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace spurrack::node {

/// Not thread-safe.
class shared_reads {
 public:
  /// Minimum interval between the sending of two reads.
  static constexpr base::duration min_interval = std::chrono::milliseconds(50);
  /// Minimum interval between a failure and the next read.
  static constexpr base::duration retry_interval = std::chrono::milliseconds(250);
  /// Maximum number of position queries that wait; further ones are dropped, so that their senders
  /// ask another node.
  static constexpr std::size_t max_queries = 4'096;

  /// Position query of another node.
  struct query {
    base::network_address sender;
    /// Number of the query among those of the sender.
    std::uint64_t number = 0;
    base::time_point arrived_at;
  };

  /// Adds a query, which needs a read that is sent at its arrival or later.
  void add(query asked);
  /// Notes that this node itself needs a read that is sent now or later.
  void request(base::time_point now) { requested_at_ = now; }

  /// @return whether a read must be sent now.
  [[nodiscard]] bool is_due(base::time_point now) const;
  /// @return time at which a read is due; std::nullopt if none is needed, or if one is under way.
  [[nodiscard]] std::optional<base::time_point> due_at() const;
  /// @return whether the answer to a read is pending that was sent because of `is_due`.
  [[nodiscard]] bool is_under_way() const { return is_under_way_; }
  /// Records that a read was sent, either because of `is_due` or in place of such a read.
  void note_sent(base::time_point now);
  /// Records an answer of the service, to any read.
  /// @param verified_at time at which the read was sent, if its answer verifies entries.
  /// @return the queries that the answer answers. Those that the read covers without verifying
  ///         anything are dropped, so that their senders ask another node.
  std::vector<query> take_answered(const std::optional<base::time_point>& verified_at);
  /// Records that a read failed. Drops the queries that it covers.
  void note_failure(base::time_point now);

 private:
  /// Removes the queries that arrived at `sent_at` or earlier. @return the removed queries.
  std::vector<query> take_covered(base::time_point sent_at);

  std::vector<query> queries_;
  /// Time since which this node itself needs a read; std::nullopt if it needs none.
  std::optional<base::time_point> requested_at_;
  bool is_under_way_ = false;
  base::time_point sent_at_;
  base::time_point next_read_at_;
};

} // namespace spurrack::node
