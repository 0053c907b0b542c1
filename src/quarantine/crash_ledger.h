/// Under which requests replicas have ended, as far as this node knows, and what follows for a
/// request that comes again. No I/O, no decision about any single call.
///
/// A request that ends each replica which runs it would otherwise be sent on by every node, by each
/// as often as its route allows: 80 replicas ended in 20 s where it came three times a second, and
/// every one took up to ten other requests along. With this three to five end.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "quarantine/request_digest.h"
#include "replicas/replica_incarnations.h"
#include "serving/settings.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace spurrack::quarantine {

using serving::replica_end;

/// When a life ended under a request, by the clock of this node.
struct end_sighting {
  replica_end end = 0;
  base::time_point at;
  /// For operators; empty where an older node told of it.
  base::replica_id replica{};
};

/// What a node does with a request that comes.
enum class standing : std::uint8_t {
  free,        ///< Nothing speaks against it.
  one_attempt, ///< It is sent to one replica in a try, so that each try shows one thing.
  held_back,   ///< It is sent nowhere.
};

/// What is known of one request; merges with what other nodes know in any order.
struct crash_record {
  request_digest digest;
  /// Each life once, by when it ended.
  std::vector<end_sighting> ends;
  /// A run of it ended later than all ends before this: they had another cause.
  std::optional<base::time_point> survived_at;
  /// Two ends or more were known of it once, so that all nodes were told.
  bool was_shared = false;
  /// It last came to this node while it was held back.
  base::time_point asked_at{};

  /// @return when anything was last seen of it.
  [[nodiscard]] base::time_point newest() const;
  [[nodiscard]] base::time_point newest_end() const;
};

/// What became of an offer to the ledger.
struct ledger_change {
  /// Something was learned.
  bool is_news = false;
  /// The request is held back from now on.
  bool begins_quarantine = false;
  /// The ledger knows of a run that ended well after all that was offered.
  bool is_refuted = false;
};

/// Not thread-safe.
class crash_ledger {
 public:
  /// 200 bytes each, 100 kB in all. The least suspected and oldest give way first, so a flood of
  /// requests with one end each pushes out none with more.
  static constexpr std::size_t most_records = 512;

  explicit crash_ledger(serving::quarantine_limits limits = {}) : limits_(limits) {}
  [[nodiscard]] const serving::quarantine_limits& limits() const { return limits_; }

  /// A replica ended while it ran a request.
  ledger_change note_end(const request_digest& digest, const end_sighting& seen,
                         base::time_point now);
  /// A run of the request ended without its replica. @return whether anything spoke against it.
  bool note_survived(const request_digest& digest, base::time_point now);
  /// An operator lets a request go. @return whether anything spoke against it.
  bool release(const request_digest& digest, base::time_point now);
  /// Takes in what another node knows.
  ledger_change merge(const crash_record& told, base::time_point now);
  /// Takes in ends of replicas that another node knows of, whatever ran there.
  void merge_ends(const std::vector<end_sighting>& told, base::time_point now);
  /// @return replicas that ended of late, the newest first.
  [[nodiscard]] std::vector<end_sighting> latest_ends(std::size_t most, base::time_point now) const;
  /// A replica that was taken to have ended is heard in the same life.
  /// @return whether that end was known.
  bool withdraw(replica_end end, base::time_point now);
  /// @return when a life ended; nothing where the ledger does not hold it.
  [[nodiscard]] std::optional<base::time_point> find_end(replica_end end) const;

  /// @return how a request is to be treated now.
  [[nodiscard]] standing standing_of(const request_digest& digest, base::time_point now) const;
  /// A request that is held back came: it stays so for as long as its caller goes on.
  void note_asked(const request_digest& digest, base::time_point now);
  /// @return ends that speak against a request.
  [[nodiscard]] std::size_t ends_of(const request_digest& digest) const;
  /// @return whether nothing speaks against any request; then none needs to be looked up.
  [[nodiscard]] bool empty() const { return records_.empty(); }
  /// @return null where nothing is known.
  [[nodiscard]] const crash_record* find(const request_digest& digest) const;
  [[nodiscard]] const std::map<request_digest, crash_record>& all() const { return records_; }
  /// Forgets what is over.
  void expire(base::time_point now);

 private:
  crash_record& record_of(const request_digest& digest);
  void make_room();
  ledger_change add(crash_record& record, const std::vector<end_sighting>& seen,
                    base::time_point now);
  /// @return whether the end is explained by another request that is known for more.
  [[nodiscard]] bool is_explained(replica_end end, const crash_record& record) const;
  /// Finds which ends the requests explain that are known for enough to be held back.
  void explain_ends() const;
  /// @return whether another request is known for the same ends, so that either may be guilty.
  [[nodiscard]] bool has_double(const crash_record& record) const;
  [[nodiscard]] std::size_t weight_of(const crash_record& record) const;
  /// @return ends under a request after which it is held back, as things are.
  [[nodiscard]] std::size_t ends_needed(const crash_record& record, base::time_point now) const;
  [[nodiscard]] standing standing_of(const crash_record& record, base::time_point now) const;
  [[nodiscard]] bool is_over(const crash_record& record, base::time_point now) const;
  [[nodiscard]] base::duration hold_after(std::size_t ends) const;

  serving::quarantine_limits limits_;
  std::map<request_digest, crash_record> records_;
  /// Ends that any record holds or held, and those that others told of.
  std::map<replica_end, base::time_point> ends_;
  /// The most ends that a request is known for which holds an end, where that is enough to be held
  /// back. Found when it is asked for after a change: a look-up for each request that comes would
  /// compare it with all others.
  mutable std::map<replica_end, std::size_t> explained_by_;
  mutable bool explanations_are_stale_ = false;
  /// Lives that were taken for over and were heard since, and when.
  std::map<replica_end, base::time_point> alive_;
};

} // namespace spurrack::quarantine
