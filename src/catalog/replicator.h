/// Spreads catalog entries between nodes: rumours for what is new, anti-entropy for what was
/// missed.
///
/// Bytes a node are bounded as the catalog grows with the fleet. What a node learns at its start it
/// fetches once, from one peer at a time; a first listing is not passed on as rumours, since those
/// who miss it ask. A node answers a few of those who ask for much at once and sends the others on.
/// Comparisons that bring nothing, as they do while changes keep coming, become rarer.
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

/// @return the addresses to which news may be passed on; asked for only where there are any, since
/// listing them is dear in a large fleet.
using peer_lister = std::function<std::vector<base::network_address>()>;

/// Called for every entry that was offered and was not a duplicate.
using apply_observer = std::function<void(const wire::catalog_entry&, const apply_result&)>;

/// Not thread-safe. References given must outlive the object.
class replicator {
 public:
  /// Peers a node passes on what it read from the service: all of a zone of usual size, so that
  /// those that do not read themselves miss nothing.
  static constexpr std::size_t reader_fanout = 20;
  /// Peers each other node passes a new entry on to.
  static constexpr std::size_t gossip_fanout = 3;
  /// Rounds for which an entry is passed on; 3^6 exceeds the nodes of any zone.
  static constexpr std::uint32_t gossip_hops = 6;
  /// How long a difference must last before buckets are compared, so that rumours under way can
  /// arrive: some peer has had the same other content for this time, or none had the own content.
  static constexpr base::duration settle_time = std::chrono::milliseconds(500);
  /// Least time between two comparisons begun by this node; doubled up to the longest while they
  /// bring nothing. With the time to settle, a change whose push was lost is then found within 1.5
  /// s, inside the shortest bound of 2 s for a configuration.
  static constexpr base::duration min_exchange_interval = std::chrono::milliseconds(250);
  static constexpr base::duration max_exchange_interval = std::chrono::milliseconds(1000);
  /// A comparison that is not answered by then is given up: a catalog of 3,000 replicas takes
  /// 0.06 s on a link of 10 Mbit/s, and a few are sent at once.
  static constexpr base::duration exchange_timeout = std::chrono::milliseconds(1000);
  /// Entries of a listing that is not passed on where they are half of all that is known.
  static constexpr std::size_t min_first_listing_entries = 100;
  /// Answers of so many entries are large; so many are given in `large_answer_period`.
  static constexpr std::size_t large_answer_entries = 200;
  static constexpr std::size_t max_large_answers = 4;
  static constexpr base::duration large_answer_period = std::chrono::milliseconds(250);

  replicator(catalog& content, base::random_source& random, apply_observer observer);

  /// Takes in entries read from the service and passes the new ones on.
  void offer(const std::vector<wire::catalog_entry>& entries,
             const std::vector<base::network_address>& peers, wire::outbox& out);

  /// Compares a peer's content hash, seen on any message, and begins an exchange where it differs.
  /// @param eager begin at once, as a node that is starting or was paused does.
  void compare(const base::network_address& peer, std::uint64_t peer_hash, bool eager,
               base::time_point now, wire::outbox& out);

  /// Handles push, buckets and pull; other bodies are ignored.
  void handle(const wire::envelope& message, const peer_lister& peers, base::time_point now,
              wire::outbox& out);

 private:
  bool apply_entry(const wire::catalog_entry& entry);
  void forward(const std::vector<wire::catalog_entry>& new_entries, std::uint32_t hops,
               std::size_t fanout, const std::vector<base::network_address>& peers,
               wire::outbox& out);
  void apply_push(const wire::envelope& message, const peer_lister& peers, wire::outbox& out);
  void answer_buckets(const wire::envelope& message, base::time_point now, wire::outbox& out);
  void answer_pull(const wire::envelope& message, wire::outbox& out);
  /// @return whether an answer of this size may be given now.
  bool may_answer(std::size_t entries, base::time_point now);
  /// @return whether a comparison that this node began is still to be answered.
  [[nodiscard]] bool is_answer_pending(base::time_point now) const;
  /// A comparison was answered: with news, or with nothing that was not known.
  void note_answer(const base::network_address& peer, bool had_new_entries);
  using bucket_set = catalog::bucket_set;

  catalog* content_;
  base::random_source* random_;
  apply_observer observer_;
  /// A content hash that some peer has and this node has not.
  struct foreign_hash {
    base::time_point first_seen;
    base::time_point last_seen;
  };
  /// @return whether the difference has lasted long enough.
  bool has_settled(std::uint64_t peer_hash, base::time_point now);

  std::map<std::uint64_t, foreign_hash> foreign_hashes_;
  /// Since when no peer had the same content; nothing while one had it last.
  std::optional<base::time_point> differs_since_;
  base::time_point last_exchange_at_;
  base::duration exchange_interval_ = min_exchange_interval;
  /// The peer whose answer to a comparison is still to come.
  std::optional<base::network_address> pending_peer_;
  /// Large answers given since a time.
  std::size_t large_answers_ = 0;
  base::time_point large_answer_period_started_at_;
};

} // namespace spurrack::catalog
