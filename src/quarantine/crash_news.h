/// Tells other nodes under which requests replicas ended, and takes in what they tell. No I/O.
///
/// An end under a request that has no other is told to three nodes, the keepers of that request,
/// chosen by rendezvous hashing over all nodes: ends that different nodes saw meet there. Once two
/// ends are known every node is told, from one to the next (epidemic broadcast), so what a node
/// sends does not grow with the fleet. Only change is sent, and a reminder a second while any
/// request has two ends: it reaches nodes that missed a message, were cut off or started anew.
#pragma once

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "fleet_view/peer_directory.h"
#include "quarantine/crash_ledger.h"
#include "wire/outgoing.h"
#include "wire/peer.pb.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace spurrack::quarantine {

/// Messages sent and records received, for metrics.
struct crash_news_counts {
  std::uint64_t messages = 0;
  std::uint64_t taken_in = 0;
  /// Records that could not be read, passed over.
  std::uint64_t malformed = 0;
};

/// A request of which something was learned from another node.
struct learned_record {
  request_digest digest;
  bool begins_quarantine = false;
};

/// Not thread-safe. Messages gather until they are taken.
class crash_news {
 public:
  /// @param ledger source of what is told, takes in what others tell; must outlive this object, as
  ///        must `random`.
  crash_news(crash_ledger& ledger, base::node_id self, base::random_source& random);

  /// All nodes that are alive, of all regions: a request may come again anywhere.
  void set_peers(const std::vector<serving::fleet_peer>& alive);
  /// What this node knows of a request has changed.
  void note_changed(const request_digest& digest) { changed_.insert(digest); }
  /// This process was paused: asks others for what it missed.
  void resume_after_suspension(base::time_point now) { begin_asking(now); }
  /// Sends what is due.
  void advance(base::time_point now);
  [[nodiscard]] std::optional<base::time_point> next_wakeup() const;
  /// @return what was learned.
  std::vector<learned_record> handle(const base::network_address& sender,
                                     const wire::crash_news& message, base::time_point now);

  [[nodiscard]] wire::outbox take_messages() { return std::exchange(messages_, {}); }
  [[nodiscard]] const crash_news_counts& counts() const { return counts_; }

 private:
  void begin_asking(base::time_point now);
  void ask(base::time_point now);
  void tell_changed(base::time_point now);
  void remind(base::time_point now);
  [[nodiscard]] std::vector<base::network_address> random_peers(std::size_t count) const;
  [[nodiscard]] std::vector<base::network_address> keepers_of(const request_digest& digest) const;
  /// @return records that every node is told, the newest first.
  [[nodiscard]] std::vector<const crash_record*> shared_records(std::size_t most) const;
  void send(const base::network_address& to, wire::crash_news news, base::time_point now);

  crash_ledger* ledger_;
  base::node_id self_;
  base::random_source* random_;
  std::vector<base::node_id> nodes_;
  std::map<base::node_id, base::network_address> addresses_;
  std::set<request_digest> changed_;
  base::time_point next_message_;
  base::time_point next_reminder_;
  /// When this node asks next for what it missed; nothing once it has asked often enough.
  std::optional<base::time_point> next_question_;
  std::size_t questions_left_ = 0;
  bool has_asked_ = false;
  wire::outbox messages_;
  crash_news_counts counts_;
};

} // namespace spurrack::quarantine
