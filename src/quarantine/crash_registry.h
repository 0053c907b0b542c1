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
#include "replicas/replica_lives.h"
#include "serving/settings.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace spurrack::quarantine {

using serving::replica_exit;

/// When a life ended under a request, by the clock of this node.
struct exit_observation {
  replica_exit exit = 0;
  base::time_point at;
  /// For operators; empty where an older node told of it.
  base::replica_id replica{};
};

/// What a node does with a request that comes.
enum class quarantine_state : std::uint8_t {
  unrestricted,   ///< Nothing speaks against it.
  single_attempt, ///< It is sent to one replica in a try, so that each try shows one thing.
  quarantined,    ///< It is sent nowhere.
};

/// What is known of one request; merges with what other nodes know in any order.
struct crash_record {
  request_digest digest;
  /// Each life once, by when it ended.
  std::vector<exit_observation> exits;
  /// A run of it ended later than all ends before this: they had another cause.
  std::optional<base::time_point> survived_at;
  /// Two ends or more were known of it once, so that all nodes were told.
  bool was_broadcast = false;
  /// It last came to this node while it was held back.
  base::time_point last_refused_at{};

  /// @return when anything was last seen of it.
  [[nodiscard]] base::time_point last_update_at() const;
  [[nodiscard]] base::time_point last_exit_at() const;
};

/// What became of an offer to the ledger.
struct registry_change {
  /// Something was learned.
  bool has_new_information = false;
  /// The request is held back from now on.
  bool begins_quarantine = false;
  /// The ledger knows of a run that ended well after all that was offered.
  bool is_refuted = false;
};

/// Not thread-safe.
class crash_registry {
 public:
  /// 200 bytes each, 100 kB in all. The least suspected and oldest give way first, so a flood of
  /// requests with one end each pushes out none with more.
  static constexpr std::size_t max_records = 512;

  explicit crash_registry(serving::quarantine_limits limits = {}) : limits_(limits) {}
  [[nodiscard]] const serving::quarantine_limits& limits() const { return limits_; }

  /// A replica ended while it ran a request.
  registry_change note_exit(const request_digest& digest, const exit_observation& observation,
                            base::time_point now);
  /// A run of the request ended without its replica. @return whether anything spoke against it.
  bool note_survived(const request_digest& digest, base::time_point now);
  /// An operator lets a request go. @return whether anything spoke against it.
  bool release(const request_digest& digest, base::time_point now);
  /// Takes in what another node knows.
  registry_change merge(const crash_record& received, base::time_point now);
  /// Takes in ends of replicas that another node knows of, whatever ran there.
  void merge_exits(const std::vector<exit_observation>& received, base::time_point now);
  /// @return replicas that ended of late, the newest first.
  [[nodiscard]] std::vector<exit_observation> latest_exits(std::size_t most,
                                                           base::time_point now) const;
  /// A replica that was taken to have ended is heard in the same life.
  /// @return whether that end was known.
  bool withdraw(replica_exit exit, base::time_point now);
  /// @return when a life ended; nothing where the ledger does not hold it.
  [[nodiscard]] std::optional<base::time_point> exit_time_of(replica_exit exit) const;

  /// @return how a request is to be treated now.
  [[nodiscard]] quarantine_state quarantine_state_of(const request_digest& digest,
                                                     base::time_point now) const;
  /// A request that is held back came: it stays so for as long as its caller goes on.
  void note_refused(const request_digest& digest, base::time_point now);
  /// @return ends that speak against a request.
  [[nodiscard]] std::size_t counted_exits_of(const request_digest& digest) const;
  /// @return whether nothing speaks against any request; then none needs to be looked up.
  [[nodiscard]] bool empty() const { return records_.empty(); }
  /// @return null where nothing is known.
  [[nodiscard]] const crash_record* find(const request_digest& digest) const;
  [[nodiscard]] const std::map<request_digest, crash_record>& all() const { return records_; }
  /// Forgets what is over.
  void expire(base::time_point now);

 private:
  crash_record& record_of(const request_digest& digest);
  void evict_least_suspected();
  registry_change add(crash_record& record, const std::vector<exit_observation>& observations,
                      base::time_point now);
  /// @return whether the end is explained by another request that is known for more.
  [[nodiscard]] bool is_explained(replica_exit exit, const crash_record& record) const;
  /// Finds which ends the requests explain that are known for enough to be held back.
  void update_explanations() const;
  /// @return whether another request is known for the same ends, so that either may be guilty.
  [[nodiscard]] bool has_indistinguishable_record(const crash_record& record) const;
  [[nodiscard]] std::size_t counted_exits(const crash_record& record) const;
  /// @return ends under a request after which it is held back, as things are.
  [[nodiscard]] std::size_t exits_required(const crash_record& record, base::time_point now) const;
  [[nodiscard]] quarantine_state quarantine_state_of(const crash_record& record,
                                                     base::time_point now) const;
  [[nodiscard]] bool is_expired(const crash_record& record, base::time_point now) const;
  [[nodiscard]] base::duration quarantine_duration(std::size_t exits) const;

  serving::quarantine_limits limits_;
  std::map<request_digest, crash_record> records_;
  /// Ends that any record holds or held, and those that others told of.
  std::map<replica_exit, base::time_point> exits_;
  /// The most ends that a request is known for which holds an end, where that is enough to be held
  /// back. Found when it is asked for after a change: a look-up for each request that comes would
  /// compare it with all others.
  mutable std::map<replica_exit, std::size_t> explaining_exit_counts_;
  mutable bool explanations_are_stale_ = false;
  /// Lives that were taken for over and were heard since, and when.
  std::map<replica_exit, base::time_point> refuted_exits_;
};

} // namespace spurrack::quarantine
