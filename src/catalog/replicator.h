/// Spreads catalog entries between nodes: new entries by gossip, missed entries by anti-entropy.
///
/// Anti-entropy works by comparisons. In a comparison, a node sends the hashes of the buckets of
/// its catalog to a peer. The peer answers with its entries of the buckets whose hashes differ, and
/// requests the entries of the node in these buckets.
///
/// The number of bytes that a node sends and receives is limited, although the catalog grows with
/// the fleet:
/// - A starting node fetches the catalog only once, because it compares its catalog with only one
///   peer at a time.
/// - The entries of the first listing (complete read) of a platform service are not gossiped. The
///   nodes that lack these entries fetch them by comparisons.
/// - A node sends only a few large answers to comparisons within a short time. Further large
///   answers are replaced by answers without entries. A node that receives such an answer then
///   queries another node.
/// - While entries keep changing, the catalogs of nodes usually differ only by entries whose gossip
///   has not arrived yet, so comparisons find no new entries. Each such comparison doubles the
///   interval until the next comparison, up to a maximum.
#pragma once

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "catalog/catalog.h"
#include "catalog/source_knowledge.h"
#include "wire/outgoing.h"

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace spurrack::catalog {

/// Returns the addresses of the peers to which new entries may be forwarded. Called only if there
/// are new entries, because collecting the addresses is expensive in a large fleet.
using peer_lister = std::function<std::vector<base::network_address>()>;

/// Called after an entry has been applied, with the entry and the result. Not called if the result
/// is `duplicate` or `rejected_again`. If the entries of a message cannot be read, called once for
/// the message, with an empty entry and the result `rejected`.
using apply_observer = std::function<void(const wire::catalog_entry&, const apply_result&)>;

/// Knowledge of one node, by service; the index is the `source_kind`.
using source_knowledge_table = std::array<source_knowledge, source_count>;

/// Receivers of new entries. A node may be in both lists and then may receive the entries twice.
struct gossip_receivers {
  std::vector<base::network_address> relays;
  std::vector<base::network_address> peers;
};

/// Replicates the catalog of one node. Not thread-safe.
class replicator {
 public:
  /// Number of peers to which a node forwards entries that it read from a platform service. A zone
  /// of usual size has no more nodes than this number. The entries therefore reach all nodes of the
  /// zone, although most of these nodes do not read the service.
  static constexpr std::size_t reader_fanout = 20;
  /// Number of peers to which a node forwards new entries that it received from a peer.
  static constexpr std::size_t gossip_fanout = 3;
  /// Maximum number of times that an entry is forwarded from node to node (hops). With a fanout of
  /// 3, an entry reaches 3^6 nodes in six hops, which exceeds the number of nodes of any zone.
  static constexpr std::uint32_t gossip_hops = 6;
  /// Time for which the catalogs of peers must differ from this node's catalog before this node
  /// starts a comparison. Within this time, gossip in flight can arrive and remove the difference.
  /// The time has passed in either of two cases:
  /// - A content hash that differs from this node's hash is received, and the same hash was first
  ///   received at least `settle_time` ago.
  /// - All content hashes that were received during this time differed from this node's hash.
  static constexpr base::duration settle_time = std::chrono::milliseconds(500);
  /// Minimum interval between two comparisons that this node starts. Each comparison that finds no
  /// new entries doubles the interval, up to `max_comparison_interval`. A change whose push was
  /// lost is found within 1.5 s, the sum of `settle_time` and the maximum interval. This is less
  /// than 2 s, the shortest time limit within which a configuration change must be in effect.
  static constexpr base::duration min_comparison_interval = std::chrono::milliseconds(250);
  static constexpr base::duration max_comparison_interval = std::chrono::milliseconds(1000);
  /// Time after which an unanswered comparison no longer delays the next comparison. The answer to
  /// a comparison may contain a whole catalog. A catalog of 3,000 replicas takes 0.06 s on a link
  /// of 10 Mbit/s, and a peer may send a few catalogs at once.
  static constexpr base::duration comparison_timeout = std::chrono::milliseconds(1000);
  /// Minimum number of new entries with which a read of a platform service counts as the first
  /// listing. The number of new entries must also be at least half of the number of keys that the
  /// catalog contains after the read.
  static constexpr std::size_t min_first_listing_entries = 100;
  /// Minimum number of entries with which the answer to a comparison counts as large. After
  /// `max_large_answers` large answers in a `large_answer_period`, answers that would be large are
  /// sent without entries.
  static constexpr std::size_t large_answer_entries = 200;
  static constexpr std::size_t max_large_answers = 4;
  static constexpr base::duration large_answer_period = std::chrono::milliseconds(250);

  /// @param content catalog of the node; must outlive this object.
  /// @param random must outlive this object.
  replicator(catalog& content, base::random_source& random, apply_observer observer);

  /// Applies entries that were read from a platform service, and gossips the new entries to peers
  /// unless the read counts as the first listing.
  /// @param range range of the service's entries that `entries` contains completely; std::nullopt
  ///        if unknown. If a range is given and any entry is new, all entries are gossiped, so that
  ///        receivers have the whole range.
  void apply_and_gossip(const std::vector<wire::catalog_entry>& entries,
                        const std::optional<wire::entry_range>& range,
                        const gossip_receivers& receivers, wire::outbox& out);

  /// Starts a comparison with a peer if the content hash of the peer differs from this node's hash,
  /// the difference has lasted for `settle_time`, and the comparison interval has passed since the
  /// start of the previous comparison. No comparison starts while the answer to the previous
  /// comparison is pending.
  /// @param peer_hash content hash that the peer sent in a message.
  /// @param is_eager if true, the difference need not have lasted for `settle_time`, and the
  ///        comparison interval is `min_comparison_interval`. Set while this node is starting or is
  ///        resuming after a suspension.
  void compare(const base::network_address& peer, std::uint64_t peer_hash, bool is_eager,
               base::time_point now, wire::outbox& out);

  /// Handles messages with the body `catalog_push`, `catalog_buckets`, `catalog_pull` or
  /// `entry_request`; ignores messages with another body.
  /// @param knowledge knowledge of this node, by service; bounds what the answer to an
  ///        `entry_request` contains completely.
  /// @return false if the message contains entries that cannot be read.
  bool handle(const wire::envelope& message, const peer_lister& peers, base::time_point now,
              const source_knowledge_table& knowledge, wire::outbox& out);

 private:
  /// Applies an entry. Then calls the observer, unless the result is `duplicate` or
  /// `rejected_again`.
  /// @return whether the entry was new: the result is neither `duplicate` nor `older`.
  bool apply_entry(const wire::catalog_entry& entry);
  /// Sends entries to all relays and to `fanout` random peers, unless `hops`, the number of hops
  /// left, is 0.
  void forward(const std::vector<wire::catalog_entry>& entries,
               const std::optional<wire::entry_range>& range, std::uint32_t hops,
               std::size_t fanout, const gossip_receivers& receivers, wire::outbox& out);
  /// @return false if the entries cannot be read.
  bool apply_push(const wire::envelope& message, const peer_lister& peers, wire::outbox& out);
  void answer_request(const wire::envelope& message, const source_knowledge_table& knowledge,
                      base::time_point now, wire::outbox& out);
  void answer_buckets(const wire::envelope& message, base::time_point now, wire::outbox& out);
  void answer_pull(const wire::envelope& message, wire::outbox& out);
  /// Decides whether the answer to a comparison may contain entries, and counts a large answer in
  /// `large_answers_`.
  /// @param entries number of entries that the answer would contain.
  /// @return false if the answer is large and `max_large_answers` large answers have already been
  ///         given in the current `large_answer_period`.
  bool may_answer_with_entries(std::size_t entries, base::time_point now);
  /// @return whether this node waits for the answer to a comparison that it started; false after
  ///         `comparison_timeout`.
  [[nodiscard]] bool is_answer_pending(base::time_point now) const;
  /// Records that a peer answered a comparison, and adapts the interval to the next comparison.
  /// @param had_new_entries whether the answer contained entries that this node did not know.
  void note_answer(const base::network_address& peer, bool had_new_entries);
  using bucket_set = catalog::bucket_set;

  catalog* content_;
  base::random_source* random_;
  apply_observer observer_;
  /// Times at which peers sent one content hash that differs from this node's hash.
  struct differing_hash_times {
    base::time_point first_received_at;
    base::time_point last_received_at;
  };
  /// Records a content hash of a peer that differs from this node's hash.
  /// @return whether the catalogs of peers have differed from this node's catalog for
  ///         `settle_time`.
  bool note_differing_hash(std::uint64_t peer_hash, base::time_point now);

  /// Content hashes that peers sent recently and that differed from this node's hash.
  std::map<std::uint64_t, differing_hash_times> differing_hashes_;
  /// Time of the first receipt of a content hash that differs from this node's hash, since a peer
  /// last sent an equal hash; std::nullopt if no differing hash has been received since then.
  std::optional<base::time_point> differs_since_;
  base::time_point last_comparison_at_;
  base::duration comparison_interval_ = min_comparison_interval;
  /// Peer with which this node last started a comparison; std::nullopt after the peer has answered.
  std::optional<base::network_address> pending_peer_;
  /// Number of large answers in the current `large_answer_period`, including answers that were sent
  /// without entries because of the limit.
  std::size_t large_answers_ = 0;
  base::time_point large_answer_period_started_at_;
};

} // namespace spurrack::catalog
