/// Decides when this node reads the configuration service, and from which revision. Only a few
/// nodes have this job, so that the number of calls to the service does not grow with nodes or
/// zones.
///
/// The service holds a watch for a long time, and a lost answer looks like a held watch, as does a
/// service that no longer answers this node. Therefore a watch that does not report what other
/// nodes already know is restarted, and the service is probed while it holds a watch, which costs
/// the service a tenth of a call.
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <algorithm>
#include <optional>

namespace spurrack::catalog {

/// Position of the service at an answer.
struct service_position {
  /// std::nullopt if the answer has no era, or one that cannot be read.
  std::optional<base::store_era> era;
  base::revision revision = 0;
  /// Whether the answer is a listing of all entries.
  bool is_listing = false;
};

/// What an answer of the service means for the known entries.
struct answer_meaning {
  /// Era in which the entries of the answer were written; 0 if no answer has reported an era yet.
  base::store_era era = 0;
  /// Whether the answer reports an era that cannot be right; the answer must be ignored.
  bool is_implausible = false;
  /// Whether the answer is from an earlier era than the latest known era; the answer must be
  /// ignored.
  bool is_outdated = false;
  /// Whether the service was restored from an older copy since the last answer.
  bool is_new_era = false;
  /// Whether the service is at an earlier revision than at the last answer, within one era.
  bool has_earlier_revision = false;
  /// Whether entries that the answer lacks have been deleted: the answer is a listing, and if its
  /// era is new, `era_settle_time` has passed.
  bool should_delete_unlisted = false;
};

/// Durations that depend on how soon changes must be known.
struct watch_timing {
  /// Maximum interval between two attempts while the service does not answer.
  base::duration max_retry_interval = std::chrono::seconds(8);
  /// Maximum time for which the service may hold a watch.
  base::duration max_hold_time = std::chrono::seconds(2);
  /// Maximum interval between two reads while changes continue.
  base::duration max_read_interval = std::chrono::milliseconds(200);
};

/// Number of calls to the service, by cause.
struct service_calls {
  /// Listings of all entries, whether an answer from an older copy is allowed or not.
  std::uint64_t listings = 0;
  std::uint64_t watches = 0;
  /// Reads that replaced a pending read: its answer did not report what other nodes knew, or did
  /// not arrive within `watch_timeout`. Also counted as listings or watches.
  std::uint64_t restarted_watches = 0;
  std::uint64_t probes = 0;
};

/// Not thread-safe.
class service_watch {
 public:
  /// Number of nodes of a zone that watch at the same time.
  static constexpr std::size_t watchers_per_zone = 2;
  /// Number of zones of a region whose nodes watch for all its zones.
  static constexpr std::size_t watching_zones_per_region = 2;
  /// Interval at which the service is probed while it holds a watch, to check that it still answers
  /// this node.
  static constexpr base::duration probe_period = std::chrono::seconds(2);
  /// An answer counts as lost if other nodes have known for this time what the pending watch has
  /// not reported.
  static constexpr base::duration lost_answer_timeout = std::chrono::seconds(1);
  /// Interval before the first retry of a failed read; doubled with each failure, up to
  /// `watch_timing::max_retry_interval`.
  static constexpr base::duration initial_retry_interval = std::chrono::milliseconds(250);
  /// Time after which a watch without an answer is replaced; longer than the service holds a watch.
  static constexpr base::duration watch_timeout = std::chrono::seconds(20);
  /// Interval between an answer that brought changes and the next read, so that a burst of changes
  /// takes few calls; doubled up to `watch_timing::max_read_interval` while changes continue. A
  /// change after a quiet time is reported at once.
  static constexpr base::duration min_read_interval = std::chrono::milliseconds(200);
  /// Time after the start of a new era at which the service is listed once more: entries that were
  /// lost with the old era are written again within about two seconds, and only entries that are
  /// still missing in the second listing have been deleted.
  static constexpr base::duration era_settle_time = std::chrono::milliseconds(3000);
  /// Maximum distance to the latest known era. Eras increase by one, and a node that was
  /// partitioned for long may have missed some. An answer that is farther ahead is malformed, and
  /// accepting it would make every later answer look outdated.
  static constexpr base::store_era max_missed_eras = 1'000;

  explicit service_watch(const watch_timing& timing = {})
      : timing_(timing),
        retry_interval_(std::min(initial_retry_interval, timing.max_retry_interval)) {}
  [[nodiscard]] base::duration max_hold_time() const { return timing_.max_hold_time; }

  /// Starts a read if one is due.
  /// @param may_read whether this node reads the service at present.
  /// @return the revision after which to read, 0 for a listing of all entries; std::nullopt if no
  ///         read is due.
  std::optional<base::revision> next_read(bool may_read, base::time_point now);

  /// Starts a probe of the service if one is due.
  /// @return whether a probe is due.
  bool start_probe_if_due(base::time_point now);
  /// Records the latest revision that this node knows from any source. Call before `next_read`.
  void note_latest_revision(base::store_era era, base::revision latest, base::time_point now);

  /// Records an answer and schedules the next read. In a new era the service is listed again,
  /// because a watch would continue at a revision that now belongs to a different write.
  answer_meaning on_answer(const service_position& answered, bool has_changes,
                           base::time_point now);
  /// Records that the pending read failed, and schedules a retry.
  void on_failure(base::time_point now);

  [[nodiscard]] bool has_answered() const { return last_answer_at_.has_value(); }
  [[nodiscard]] std::optional<base::time_point> last_answer_at() const { return last_answer_at_; }
  [[nodiscard]] const service_calls& calls() const { return calls_; }

 private:
  /// @return whether the answer to the pending watch counts as lost.
  [[nodiscard]] bool has_lost_answer(base::time_point now) const;

  /// Whether an answer to a read is pending.
  bool is_pending_ = false;
  /// Time since which other nodes have known what the pending watch has not reported; std::nullopt
  /// if they do not know more. Also std::nullopt after the watch was restarted for this reason: a
  /// listing may name a revision that changed nothing.
  std::optional<base::time_point> behind_since_;
  /// Whether the pending read replaced a read that was pending.
  bool is_restarted_ = false;
  /// Revision after which the next watch reads; 0 for a listing.
  base::revision cursor_ = 0;
  base::store_era era_ = 0;
  /// Time at which the service is listed once more after the first listing of an era.
  std::optional<base::time_point> relist_at_;
  base::time_point pending_since_;
  base::time_point next_read_at_;
  watch_timing timing_;
  base::duration read_interval_ = min_read_interval;
  /// Time at which the pending read was started, or the service was last probed during it.
  base::time_point last_probe_at_;
  base::duration retry_interval_;
  std::optional<base::time_point> last_answer_at_;
  service_calls calls_;
};

} // namespace spurrack::catalog
