/// Decides when this node reads a platform service (node/events.h), and after which revision. Only
/// a few nodes read a service for all nodes, so that the number of calls to the service does not
/// grow with the number of nodes or zones.
///
/// A read is a listing or a watch. A listing returns all entries of the service. A watch returns
/// the entries that were written after a given revision. If there are none, the service delays the
/// answer until an entry is written or the hold time of the watch has passed (long polling).
///
/// While the answer to a watch is pending, this node cannot know whether the service delays the
/// answer, the answer was lost, or the service no longer answers this node. Therefore a watch is
/// restarted if another node has sent an entry that is later than the revision after which the
/// watch reads, and the service has not answered within `lost_answer_timeout`. The service is also
/// probed while a watch is pending; a probe costs the service a tenth of a read.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "catalog/source_kind.h"

#include <algorithm>
#include <optional>

namespace spurrack::catalog {

/// Position that an answer of a platform service reports: the era of the store, and the revision of
/// the last write that the answer reflects.
struct service_position {
  /// Era of the store; std::nullopt if the answer contains no era or an unreadable era.
  std::optional<base::store_era> era;
  base::revision revision = 0;
  /// Whether the answer is a listing.
  bool is_listing = false;
};

/// Conclusions from the position that an answer reports. The caller must ignore an implausible or
/// outdated answer.
struct answer_meaning {
  /// Era in which the entries of the answer were written. If the answer reports no era, this is the
  /// latest known era; 0 if no answer has reported an era yet.
  base::store_era era = 0;
  /// Whether the era of the answer is ahead of the latest known era by more than `max_missed_eras`.
  bool is_implausible = false;
  /// Whether the era of the answer is earlier than the latest known era.
  bool is_outdated = false;
  /// Whether the era of the answer is later than the latest known era, because the store was
  /// restored from an older backup. False if no era was known before.
  bool is_new_era = false;
  /// Whether the answer reports an earlier revision than the previous answer, in the same era.
  bool has_earlier_revision = false;
  /// Position after which the answer contains all entries of the service; {0, 0} for a listing.
  /// std::nullopt if the answer belongs to another era than the position after which it was
  /// requested, so that earlier entries of its era may be missing.
  std::optional<store_position> after;
  /// Time at which the service had written no entry after the position of the answer; std::nullopt
  /// if that time is unknown because a stale answer was allowed.
  std::optional<base::time_point> confirmed_at;
  /// Time at which the read was sent, if the answer verifies that the service had written no entry
  /// after its position at that time. std::nullopt if a stale answer was allowed, if the answer
  /// goes back to an earlier revision or does not contain all entries of a range, and while entries
  /// of a new era may still be missing (`era_settle_time`).
  std::optional<base::time_point> verified_at;
  /// Whether the caller must delete the known entries of the service that are missing from the
  /// answer. Set for a listing, except in the first `era_settle_time` of a new era.
  bool should_delete_unlisted = false;
};

/// Durations that depend on the time limit within which all nodes must know a change. The caller
/// sets them.
struct watch_timing {
  /// Maximum interval between two reads while the service does not answer.
  base::duration max_retry_interval = std::chrono::seconds(8);
  /// Hold time of a watch: maximum time for which the service may delay the answer.
  base::duration max_hold_time = std::chrono::seconds(2);
  /// Maximum interval between two reads while each answer contains changes.
  base::duration max_read_interval = std::chrono::milliseconds(200);
};

/// Number of calls to a platform service, by kind of call.
struct service_calls {
  /// Number of listings, including listings for which a stale answer was allowed
  /// (`node::read_service::allow_stale`).
  std::uint64_t listings = 0;
  std::uint64_t watches = 0;
  /// Number of reads that replaced a pending read. A pending read is replaced if its answer counts
  /// as lost (`lost_answer_timeout`) or has not arrived within `watch_timeout`. The replacing reads
  /// also count in `listings` or `watches`.
  std::uint64_t restarted_watches = 0;
  std::uint64_t probes = 0;
};

/// Schedule by which one node reads one platform service. Not thread-safe.
class service_watch {
 public:
  /// Number of nodes of a zone that watch the service at the same time.
  static constexpr std::size_t watchers_per_zone = 2;
  /// In each region, nodes of this number of zones watch the service for the whole region.
  static constexpr std::size_t watching_zones_per_region = 2;
  /// Interval between probes of the service while a watch is pending.
  static constexpr base::duration probe_period = std::chrono::seconds(2);
  /// Time after which the answer to the pending watch counts as lost. It is measured from the time
  /// at which this node learns, from another node, of an entry that is later than the revision
  /// after which the watch reads.
  static constexpr base::duration lost_answer_timeout = std::chrono::seconds(1);
  /// Interval between a failed read and the first retry. Each further failure doubles the interval,
  /// up to `watch_timing::max_retry_interval`.
  static constexpr base::duration initial_retry_interval = std::chrono::milliseconds(250);
  /// Time after which a pending read is restarted; longer than the hold time of a watch.
  static constexpr base::duration watch_timeout = std::chrono::seconds(20);
  /// Minimum interval between an answer that contains changes and the next read, so that a burst of
  /// changes takes few calls. The next read comes sooner if the hold time of the answered one would
  /// end sooner. If an answer with changes arrives within the current interval after
  /// its read started, the interval doubles, up to `watch_timing::max_read_interval`. Any other
  /// answer resets the interval to the minimum. The first change after a time without changes is
  /// reported at once, because a watch is pending at the time of the change.
  static constexpr base::duration min_read_interval = std::chrono::milliseconds(200);
  /// Time between the first answer of a new era and the second listing of the era. The restored
  /// store lost some entries, which are written again within about two seconds. Therefore only
  /// entries that the second listing still lacks count as deleted, and earlier answers of the era
  /// verify nothing. The era that a node learns first may be a new one too.
  static constexpr base::duration era_settle_time = std::chrono::milliseconds(3000);
  /// Maximum number of eras by which an answer may be ahead of the latest known era. Eras increase
  /// by one, but a node that was partitioned for a long time may have missed some eras. An answer
  /// that is farther ahead is malformed; if its era were accepted, all later answers would appear
  /// to be outdated.
  static constexpr base::store_era max_missed_eras = 1'000;

  /// Hold time of a read that must be answered at once.
  static constexpr base::duration immediate_hold_time = std::chrono::milliseconds(1);

  explicit service_watch(const watch_timing& timing = {})
      : timing_(timing),
        retry_interval_(std::min(initial_retry_interval, timing.max_retry_interval)) {}

  [[nodiscard]] base::duration max_hold_time() const { return timing_.max_hold_time; }

  /// Starts a read if a read is due. The caller must then send the read to the service.
  /// @param may_read whether this node currently has the job of reading the service.
  /// @return the revision after which to watch, or 0 for a listing; std::nullopt if no read is due.
  std::optional<base::revision> next_read(bool may_read, base::time_point now);

  /// @return whether the read that `next_read` last started may be answered with a listing that is
  ///         some seconds old: only the first read, because the next read requests the changes
  ///         since the listing.
  [[nodiscard]] bool allows_stale() const { return allows_stale_; }
  /// Sets the hold time of the read that `next_read` last started, from which the time of a
  /// confirmation is derived.
  void set_hold_time(base::duration hold_time) { hold_time_ = hold_time; }
  /// @return part of `hold_time` that is left since the latest confirmation, so that the next one
  ///         does not come later although the last answer came early; at least
  ///         `immediate_hold_time`.
  [[nodiscard]] base::duration remaining_hold_time(base::duration hold_time,
                                                   base::time_point now) const;
  /// Records that this process stood, so that the pending answer may have waited in a socket.
  void note_stand() { has_stood_ = true; }
  [[nodiscard]] bool is_pending() const { return is_pending_; }
  /// @return whether a read is pending whose answer the service may delay.
  [[nodiscard]] bool is_held() const { return is_pending_ && hold_time_ > immediate_hold_time; }
  /// @return number of the read that `next_read` last started, starting at 1. An answer to an
  ///         earlier read says nothing about the time since the later read was sent.
  [[nodiscard]] std::uint64_t read_number() const { return read_number_; }
  /// Makes a read due at once, even if the answer to a read is pending or a retry is due later.
  void request_read(base::time_point now);
  /// Records that this node has all entries of the service through a position, so that the next
  /// read may request only later entries.
  void note_known_through(store_position known_through, base::time_point now);

  /// Starts a probe if a probe is due.
  /// @return whether the caller must now send a probe to the service.
  bool start_probe_if_due(base::time_point now);
  /// Records the era and the revision of the latest known entry of the service. Another node may
  /// have sent this entry before the service answers this node. Call before `next_read`.
  void note_latest_revision(base::store_era era, base::revision latest, base::time_point now);

  /// Records an answer and schedules the next read. After the first answer of a new era, the next
  /// read is a listing, unless this answer itself is a listing. A watch is not possible, because
  /// the revision after which the watch would continue belongs to a different write in the new era.
  /// @param has_changes whether the answer contains entries.
  answer_meaning on_answer(const service_position& answered, bool has_changes,
                           base::time_point now);
  /// Records that the pending read failed, and schedules a retry.
  void on_failure(base::time_point now);

  [[nodiscard]] bool has_answered() const { return last_answer_at_.has_value(); }
  [[nodiscard]] std::optional<base::time_point> last_answer_at() const { return last_answer_at_; }
  [[nodiscard]] const service_calls& calls() const { return calls_; }

 private:
  /// @return latest time at which the service is certain to have written no entry after the
  ///         position of an answer that arrives now.
  /// @param is_empty whether the answer contains no entries although it is no listing.
  [[nodiscard]] base::time_point confirmed_time(bool is_empty, base::time_point now) const;
  /// Notes an era of the service that this node learned from a peer or from an answer.
  void note_era(base::store_era era, base::time_point now);
  /// @return whether an answer to the pending read contains the entries that a restored store got
  ///         back.
  [[nodiscard]] bool is_era_settled() const;
  /// @return whether the answer to the pending watch counts as lost.
  [[nodiscard]] bool has_lost_answer(base::time_point now) const;

  /// Whether the answer to a read is pending.
  bool is_pending_ = false;
  /// Time since which this node has known, from another node, an entry of the service with a later
  /// revision than `cursor_`. std::nullopt if there is no such entry, no watch is pending, or the
  /// pending watch already replaced another read.
  ///
  /// The last condition prevents endless restarts: the later entry may be a deletion that a node
  /// derived from a listing. Such a deletion has the revision of the listing. If the service wrote
  /// no entry at this revision, no watch reports the revision.
  std::optional<base::time_point> behind_since_;
  /// Whether the next read replaces the pending read.
  bool should_replace_ = false;
  std::uint64_t read_number_ = 0;
  /// Whether this process stood since the pending read was sent.
  bool has_stood_ = false;
  /// Time of the latest confirmation by an answer to this watch.
  std::optional<base::time_point> last_confirmed_at_;
  bool allows_stale_ = false;
  base::duration hold_time_{};
  store_position known_through_;
  /// Revision after which the pending read requests entries, and its era; 0 for a listing.
  store_position requested_after_;
  /// Whether the pending read replaced another pending read.
  bool is_restarted_ = false;
  /// Revision after which the next watch returns entries; 0 if the next read is a listing.
  base::revision cursor_ = 0;
  base::store_era era_ = 0;
  /// Latest era that this node knows of, and the time at which it learned the era.
  base::store_era latest_era_ = 0;
  base::time_point latest_era_since_;
  /// Time at which the second listing of a new era is due; std::nullopt if no such listing is due.
  std::optional<base::time_point> relist_at_;
  base::time_point pending_since_;
  base::time_point next_read_at_;
  watch_timing timing_;
  base::duration read_interval_ = min_read_interval;
  /// Time of the last probe during the pending read; if there was none, the start of this read.
  base::time_point last_probe_at_;
  base::duration retry_interval_;
  std::optional<base::time_point> last_answer_at_;
  service_calls calls_;
};

} // namespace spurrack::catalog
