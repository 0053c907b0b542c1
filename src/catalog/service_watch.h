/// When this node reads the configuration service, and from which revision. Only a few nodes hold
/// the job, so that calls to the service do not grow with nodes or zones.
///
/// The service holds a watch for long, and an answer that was lost looks like one that is held, as
/// does a service that answers this node no more. So a watch that does not tell what others know
/// already is begun anew, and while one is held the service is probed, which costs it a tenth of a
/// call.
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <algorithm>
#include <optional>

namespace spurrack::catalog {

/// Where an answer of the service stands.
struct service_position {
  /// Nothing where the answer does not tell, or tells none that can be read.
  std::optional<base::store_era> era;
  base::revision revision = 0;
  /// The answer is a listing of everything.
  bool is_listing = false;
};

/// What an answer means for what is known.
struct answer_meaning {
  /// The era in which its entries were written; 0 where it was never told.
  base::store_era era = 0;
  /// It tells an era that cannot be: nothing of it counts.
  bool is_implausible = false;
  /// It comes from an era before one that was heard of: nothing of it counts.
  bool is_outdated = false;
  /// The service came back from an older copy since the last answer.
  bool is_new_era = false;
  /// Within one era, the service is behind what it said before.
  bool has_earlier_revision = false;
  /// What a listing lacks is gone; not so in the first one of an era.
  bool should_delete_unlisted = false;
};

/// What depends on how soon changes must be known.
struct watch_timing {
  /// Longest time between two tries where the service does not answer.
  base::duration max_retry_interval = std::chrono::seconds(8);
  /// How long the service may hold a watch.
  base::duration max_hold_time = std::chrono::seconds(2);
  /// Longest rest between two reads while changes keep coming.
  base::duration max_read_interval = std::chrono::milliseconds(200);
};

/// Calls to the service, by why they were made.
struct service_calls {
  /// Of everything, that may be old or must not.
  std::uint64_t listings = 0;
  std::uint64_t watches = 0;
  /// Watches begun anew since what others knew was not told.
  std::uint64_t restarted_watches = 0;
  std::uint64_t probes = 0;
};

/// Not thread-safe.
class service_watch {
 public:
  /// Nodes of a zone that watch at the same time.
  static constexpr std::size_t watchers_per_zone = 2;
  /// Zones of a region whose nodes watch for all of them.
  static constexpr std::size_t watching_zones_per_region = 2;
  /// While a watch is held, the service is asked this often whether it still answers this node.
  static constexpr base::duration probe_period = std::chrono::seconds(2);
  /// What others know and a watch has not told for this time was told in an answer that is lost.
  static constexpr base::duration lost_answer_timeout = std::chrono::seconds(1);
  static constexpr base::duration initial_retry_interval = std::chrono::milliseconds(250);
  /// A watch without answer is given up after this time, longer than the service holds one.
  static constexpr base::duration watch_timeout = std::chrono::seconds(20);
  /// Rest after an answer that brought changes, so that a burst of them takes few calls; doubled up
  /// to the longest while changes keep coming. One that comes after a quiet time is heard at once.
  static constexpr base::duration min_read_interval = std::chrono::milliseconds(200);
  /// After the first listing of a new era the service is listed once more: what was lost with the
  /// old one is written again within about two seconds, and only what is missing then is gone.
  static constexpr base::duration era_settle_time = std::chrono::milliseconds(3000);
  /// Eras rise by one; a node that was cut off for long may have missed some. An answer that is
  /// farther ahead is malformed, and believing it would make every later one look outdated.
  static constexpr base::store_era max_missed_eras = 1'000;

  explicit service_watch(const watch_timing& timing = {})
      : timing_(timing),
        retry_interval_(std::min(initial_retry_interval, timing.max_retry_interval)) {}
  [[nodiscard]] base::duration max_hold_time() const { return timing_.max_hold_time; }

  /// @return the revision after which to read, where a read is due now.
  std::optional<base::revision> next_read(bool may_read, base::time_point now);

  /// @return whether the service is to be probed now.
  bool start_probe_if_due(base::time_point now);
  /// Takes note of what is known of the service from anybody, before `next_read`.
  void note_latest_revision(base::store_era era, base::revision newest, base::time_point now);

  /// Takes note of an answer. In a new era the service is listed anew, whatever was asked: a watch
  /// goes on at a revision that now belongs to something else.
  answer_meaning on_answer(const service_position& answered, bool has_changes,
                           base::time_point now);
  void on_failure(base::time_point now);

  [[nodiscard]] bool has_answered() const { return last_answer_at_.has_value(); }
  [[nodiscard]] std::optional<base::time_point> last_answer_at() const { return last_answer_at_; }
  [[nodiscard]] const service_calls& calls() const { return calls_; }

 private:
  [[nodiscard]] bool has_lost_answer(base::time_point now) const;

  bool is_pending_ = false;
  /// Since when others know what the watch under way has not told; nothing where they do not, and
  /// after the watch was begun anew for it: a listing may name a revision that changed nothing.
  std::optional<base::time_point> behind_since_;
  bool is_restarted_ = false;
  base::revision cursor_ = 0;
  base::store_era era_ = 0;
  /// When the service is listed once more after the first listing of an era.
  std::optional<base::time_point> relist_at_;
  base::time_point pending_since_;
  base::time_point next_read_at_;
  watch_timing timing_;
  base::duration read_interval_ = min_read_interval;
  /// When the read under way was begun, or the service was probed for it last.
  base::time_point last_probe_at_;
  base::duration retry_interval_;
  std::optional<base::time_point> last_answer_at_;
  service_calls calls_;
};

} // namespace spurrack::catalog
