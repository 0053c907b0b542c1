/// Spreads catalog entries between nodes: new entries by gossip, missed entries by anti-entropy.
///
/// Anti-entropy works by comparisons: a node sends the hashes of its catalog's buckets to a peer.
/// The peer answers with its entries of the buckets that differ, and requests the node's entries of
/// these buckets.
///
/// The bytes that a node sends and receives stay limited as the catalog grows with the fleet:
/// - A starting node fetches the catalog once, from one peer at a time.
/// - The first listing (complete read) of a platform service is not gossiped, because nodes that
///   lack entries of the listing request them.
/// - A node gives only a few large answers within a short time. Further requesters get an answer
///   without entries and then query another node.
/// - The interval between comparisons grows up to a maximum while the comparisons find no new
///   entries, as is usual while entries keep changing.
#pragma once

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "catalog/catalog.h"
#include "wire/outgoing.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace spurrack::catalog {

/// Function that returns the addresses to which new entries may be forwarded. Called only if there
/// are new entries, because collecting the addresses is expensive in a large fleet.
using peer_lister = std::function<std::vector<base::network_address>()>;

/// Called with each entry and the result of applying it, except for duplicates and repeated
/// rejections. Called with an empty entry for a message whose entries cannot be read.
using apply_observer = std::function<void(const wire::catalog_entry&, const apply_result&)>;

/// Replicates the catalog of one node. Not thread-safe.
class replicator {
 public:
  /// Number of peers to which a node forwards entries that it read from a platform service: all
  /// nodes of a zone of usual size, so that the nodes that do not read the service miss no entry.
  static constexpr std::size_t reader_fanout = 20;
  /// Number of peers to which a node forwards new entries that it received from a peer.
  static constexpr std::size_t gossip_fanout = 3;
  /// Maximum number of times that an entry is forwarded: with a fanout of 3, six times reach 3^6
  /// nodes, which exceeds the number of nodes of any zone.
  static constexpr std::uint32_t gossip_hops = 6;
  /// Time for which the catalogs of peers must differ from this node's catalog before a comparison
  /// starts, so that gossip in flight can arrive. The time has passed if a peer's content hash has
  /// been received repeatedly for this time, or if all content hashes received in this time differ
  /// from this node's hash.
  static constexpr base::duration settle_time = std::chrono::milliseconds(500);
  /// Minimum interval between two comparisons that this node starts; doubled up to
  /// `max_comparison_interval` while they find no new entries. With `settle_time` and the maximum
  /// interval, a change whose push was lost is found within 1.5 s. The shortest limit for the time
  /// until a configuration change is in effect is 2 s.
  static constexpr base::duration min_comparison_interval = std::chrono::milliseconds(250);
  static constexpr base::duration max_comparison_interval = std::chrono::milliseconds(1000);
  /// Time after which an unanswered comparison no longer delays the next comparison. A catalog of
  /// 3,000 replicas takes 0.06 s on a link of 10 Mbit/s, and a peer may send a few catalogs at
  /// once.
  static constexpr base::duration comparison_timeout = std::chrono::milliseconds(1000);
  /// Minimum number of new entries in a read of a platform service that counts as a first listing,
  /// whose entries are not gossiped. The new entries must also be at least half of all known
  /// entries.
  static constexpr std::size_t min_first_listing_entries = 100;
  /// Minimum number of entries for which the answer to a comparison counts as large. A node gives
  /// at most `max_large_answers` large answers in each `large_answer_period`.
  static constexpr std::size_t large_answer_entries = 200;
  static constexpr std::size_t max_large_answers = 4;
  static constexpr base::duration large_answer_period = std::chrono::milliseconds(250);

  /// @param content catalog of the node; must outlive this object.
  /// @param random must outlive this object.
  replicator(catalog& content, base::random_source& random, apply_observer observer);

  /// Applies entries that were read from a platform service, and gossips the new entries to peers.
  void offer(const std::vector<wire::catalog_entry>& entries,
             const std::vector<base::network_address>& peers, wire::outbox& out);

  /// Starts a comparison with a peer if its content hash differs from this node's hash and the
  /// difference has lasted for `settle_time`.
  /// @param peer_hash content hash that the peer sent in a message.
  /// @param is_eager whether to start without waiting for `settle_time`. Set while this node is
  ///              starting or is resuming after a suspension.
  void compare(const base::network_address& peer, std::uint64_t peer_hash, bool is_eager,
               base::time_point now, wire::outbox& out);

  /// Handles the bodies `catalog_push`, `catalog_buckets` and `catalog_pull`; ignores other bodies.
  void handle(const wire::envelope& message, const peer_lister& peers, base::time_point now,
              wire::outbox& out);

 private:
  /// Applies an entry and calls the observer.
  /// @return whether the entry was new: accepted or rejected, neither a duplicate nor older.
  bool apply_entry(const wire::catalog_entry& entry);
  /// Sends new entries to `fanout` random peers, unless `hops` is 0.
  void forward(const std::vector<wire::catalog_entry>& new_entries, std::uint32_t hops,
               std::size_t fanout, const std::vector<base::network_address>& peers,
               wire::outbox& out);
  void apply_push(const wire::envelope& message, const peer_lister& peers, wire::outbox& out);
  void answer_buckets(const wire::envelope& message, base::time_point now, wire::outbox& out);
  void answer_pull(const wire::envelope& message, wire::outbox& out);
  /// Decides whether to answer a comparison with this number of entries, and counts the answer if
  /// it is large.
  /// @return whether the answer may be given now.
  bool may_answer(std::size_t entries, base::time_point now);
  /// @return whether the answer to a comparison that this node started is pending.
  [[nodiscard]] bool is_answer_pending(base::time_point now) const;
  /// Records that a peer answered a comparison, and adapts the interval to the next comparison.
  /// @param had_new_entries whether the answer held entries that this node did not know.
  void note_answer(const base::network_address& peer, bool had_new_entries);
  using bucket_set = catalog::bucket_set;

  catalog* content_;
  base::random_source* random_;
  apply_observer observer_;
  /// Time range in which peers sent a content hash that differs from this node's hash.
  struct foreign_hash {
    base::time_point first_seen;
    base::time_point last_seen;
  };
  /// Records that the content hash of a peer differs from this node's hash.
  /// @return whether the difference has lasted for `settle_time`.
  bool has_settled(std::uint64_t peer_hash, base::time_point now);

  /// Content hashes of peers that differ from this node's hash.
  std::map<std::uint64_t, foreign_hash> foreign_hashes_;
  /// Time since which every content hash that a peer sent has differed from this node's hash;
  /// std::nullopt if the last hash was equal.
  std::optional<base::time_point> differs_since_;
  base::time_point last_comparison_at_;
  base::duration comparison_interval_ = min_comparison_interval;
  /// The peer whose answer to a comparison is pending.
  std::optional<base::network_address> pending_peer_;
  /// Number of large answers given in the current `large_answer_period`.
  std::size_t large_answers_ = 0;
  base::time_point large_answer_period_started_at_;
};

} // namespace spurrack::catalog
