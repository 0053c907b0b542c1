/// Index of the exits of replicas that this node knows, whether or not a record holds them. It
/// tells the processes of an incarnation apart that is published late, and keeps which exits were
/// withdrawn or were overruns. The terms are defined in crash_registry.h. No I/O.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "quarantine/crash_record.h"
#include "quarantine/suspected_exits.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace spurrack::quarantine {

/// Exit in the index, with its times by the clock of this node.
struct known_exit {
  /// Earliest time at which a node saw a call of the process end.
  base::time_point at;
  /// Latest begin of a lost call of the process.
  base::time_point call_started_at;
  base::replica_id replica;
  /// Whether the replica crashed because it was overrun, so that no request is the cause.
  bool is_overrun = false;
};

/// Exits in present and dropped records, and exits that other nodes reported without a record. Not
/// thread-safe.
class exit_index {
 public:
  /// An exit is recent up to this age. Recent exits of replicas that did not run a request raise
  /// the number of exits at which the request is quarantined. This age suffices, since a crashing
  /// request that is sent repeatedly has crashed replicas within it. Exits that are not recent are
  /// sent to other nodes, and accepted from them, only as parts of records.
  static constexpr base::duration recent_window = std::chrono::seconds(30);
  /// Maximum error of a time that another node reported: the delay of its message. A call that
  /// seems to have begun less than this time after an exit may have begun before it.
  static constexpr base::duration report_time_error = std::chrono::milliseconds(200);
  /// Maximum number of indexed exits, to limit memory: enough for 30 exits per second over 30 s.
  static constexpr std::size_t max_exits = 1024;

  /// Adds an exit, or updates the times of the known exit of the same process. Drops a new exit if
  /// the index is full.
  /// @return number of the process that exited.
  std::uint32_t add(const exit_observation& observation);
  /// Adds recent exits that another node reported, without those that were withdrawn.
  void add_recent(const std::vector<exit_observation>& received, base::time_point now);
  /// Removes the exits of an incarnation because it was found to be running, and ignores reports of
  /// exits up to now.
  /// @return whether the index held an exit of the incarnation.
  bool withdraw(replica_exit exit, base::time_point now);
  /// Marks an exit as caused by too many rejected requests.
  /// @return whether the index holds the exit and it was not marked before.
  bool mark_overrun(const exit_key& exit);
  /// Drops the exits and withdrawals that have expired.
  void expire(base::time_point now);

  /// @return whether the observed exit was withdrawn; false if the incarnation exited only after
  ///         the withdrawal, since that is a new exit.
  [[nodiscard]] bool is_withdrawn(const exit_observation& observation) const;
  [[nodiscard]] bool is_overrun(const exit_key& exit) const;
  /// @return time of the latest exit of the incarnation; std::nullopt if none is known.
  [[nodiscard]] std::optional<base::time_point> exit_time_of(replica_exit exit) const;
  /// @return up to `most` recent exits, the latest first.
  [[nodiscard]] std::vector<exit_observation> latest(std::size_t most, base::time_point now) const;
  [[nodiscard]] const std::map<exit_key, known_exit>& all() const { return exits_; }

 private:
  std::map<exit_key, known_exit> exits_;
  /// Withdrawn exits, with the times at which their replicas were found to be running.
  std::map<replica_exit, base::time_point> withdrawn_;
};

} // namespace spurrack::quarantine
