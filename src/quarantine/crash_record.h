/// Record of the exits of replicas under one suspect, as kept by one node and sent to others. The
/// terms are defined in crash_registry.h. No I/O.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "quarantine/suspect.h"
#include "quarantine/suspected_exits.h"
#include "replicas/replica_incarnations.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace spurrack::quarantine {

/// Lifetime of a record with too few exits for quarantine, counted from the last update of the
/// record. Also lifetime of an indexed exit, counted from the exit, and of a withdrawn exit,
/// counted from its withdrawal. A client sends a request again within seconds, a scheduled job
/// within minutes.
inline constexpr base::duration short_record_lifetime = std::chrono::minutes(10);

/// Exit of one incarnation of a replica, as observed by this node or reported by another node.
struct exit_observation {
  /// Identifier of the incarnation that exited, the same on all nodes.
  replica_exit exit = 0;
  /// Time of the exit by the clock of this node.
  base::time_point at;
  /// Replica that exited, for operators; empty if a node of an older version reported the exit.
  base::replica_id replica{};
  /// Time at which the lost call began, if the end of the call was the exit; the epoch if the exit
  /// is only known to have happened at some time. A call that began after an exit ran in a later
  /// process of the replica.
  base::time_point call_started_at{};
  /// Number that the registry gives to the process that exited: an incarnation that is published
  /// late stands for several processes, one after another. Differs from node to node.
  std::uint32_t process = 0;
  /// In the record of a prompt part: hash of the request that the replica ran, the same on all
  /// nodes; 0 if not known.
  std::uint64_t request = 0;

  /// @return whether the process was running from `call_started_at` to `at` and exited then.
  [[nodiscard]] bool is_timed() const { return call_started_at != base::time_point{}; }
  /// @return identifier of the exit within one registry.
  [[nodiscard]] exit_key key() const { return {exit, process}; }
};

/// Exits of replicas under one suspect. The records of several nodes may be merged in any order.
struct crash_record {
  /// Exits under one request count at most so many times in the record of a prompt part: if the
  /// same request is sent again and again, the request is the likely cause, and it has a record
  /// itself.
  static constexpr std::size_t max_exits_per_request = 3;

  suspect_digest digest;
  suspect_kind kind = suspect_kind::request;
  /// Exits without duplicates, in the order in which this node learned of them.
  std::vector<exit_observation> exits;
  /// Exits under the request that are suspected; only in the record of a request.
  std::set<exit_key> suspected;
  /// Whether exits under the request were suspected since its last surviving run: its replicas may
  /// exit without a word, so that it runs at one replica at a time.
  bool was_suspected = false;
  /// Time at which this node learned of the first of the suspected exits.
  base::time_point suspected_at{};
  /// Time of the latest surviving run of the request or release by an operator, whichever is
  /// later; std::nullopt if there was neither. `exits` holds only exits after this time.
  std::optional<base::time_point> survived_at;
  /// Whether the record has ever held two or more exits, or a suspected one. Such a record is sent
  /// to all nodes.
  bool was_broadcast = false;
  /// Time at which this node last refused the request because it was quarantined.
  base::time_point last_refused_at{};

  /// @return number of exits, proven or suspected.
  [[nodiscard]] std::size_t possible_exits() const { return exits.size() + suspected.size(); }
  /// @return number of exits, of which those under one request count at most
  ///         `max_exits_per_request` times in the record of a prompt part.
  [[nodiscard]] std::size_t distinct_exits() const;
  [[nodiscard]] bool contains(const exit_key& exit) const;
  /// @return time of the latest exit, surviving run or refusal.
  [[nodiscard]] base::time_point last_update_at() const;
  [[nodiscard]] base::time_point last_exit_at() const;
};

} // namespace spurrack::quarantine
