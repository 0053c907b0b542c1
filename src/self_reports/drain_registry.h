/// Registry of replica processes that announced in an answer that they drain. No I/O.
///
/// A process that drains does not accept requests again: its announcement stays in effect even if
/// the published list of replicas shows the process as ready. The announcement is kept for five
/// minutes after the list last contained the process, because a store that recovers from an outage
/// or is restored from an older copy may publish the process again.
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_set>
#include <utility>

namespace spurrack::self_reports {

/// Distinguishes the processes of a replica: a hash of the replica's id, the start time of the
/// process and its address; never 0.
using process_fingerprint = std::uint32_t;

/// Drain announcement of one process of a replica.
struct drain_announcement {
  /// Earliest known time at which a node received the announcement from the replica.
  base::time_point announced_at;
  /// Sender of the announcement, for logs: the replica, or the node that forwarded it.
  std::string source;
  /// Time at which this node last found the process published; if it has not found it published
  /// yet, the time at which this node learned of the announcement.
  base::time_point last_seen_at;
};

/// Drain announcements by replica and process. Not thread-safe.
class drain_registry {
 public:
  /// One process of a replica.
  struct key {
    base::replica_id replica;
    process_fingerprint process = 0;
    auto operator<=>(const key&) const = default;
  };

  /// Records that a process drains.
  /// @param announced_at time at which a node received the announcement from the replica.
  /// @param source sender of the announcement, for logs.
  /// @return whether the announcement is new to this node.
  bool note_drain(const key& draining, base::time_point announced_at, const std::string& source,
                  base::time_point now);
  /// Records that a process is published, which prolongs the lifetime of its announcement.
  void note_published(const key& published, base::time_point now);
  /// Drops the announcements of processes that have not been published for five minutes.
  void drop_expired(base::time_point now);

  /// @return whether the process has announced that it drains. Called for every replica of a
  ///         service whenever a replica is chosen. So the fingerprint is looked up first: this
  ///         rejects nearly all processes without a search by replica id.
  [[nodiscard]] bool includes(const key& process) const {
    return fingerprints_.contains(process.process) && announcements_.contains(process);
  }
  [[nodiscard]] bool empty() const { return announcements_.empty(); }
  [[nodiscard]] const std::map<key, drain_announcement>& all() const { return announcements_; }

 private:
  std::map<key, drain_announcement> announcements_;
  /// Fingerprints of all processes in `announcements_`.
  std::unordered_set<process_fingerprint> fingerprints_;
};

} // namespace spurrack::self_reports
