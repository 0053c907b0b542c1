/// Trials: runs of requests with a suspect that show whether the suspect crashes replicas. One
/// trial of a suspect runs at a time over all nodes. The issuer of a suspect, which every node
/// finds by rendezvous hashing over all nodes, grants the trials. A node that runs a suspected
/// request tells the issuers so until the run ends, whether the run was granted as a trial or began
/// before the request was suspected. No I/O.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "fleet_view/peer_directory.h"
#include "quarantine/crash_registry.h"
#include "quarantine/suspect_nodes.h"
#include "wire/outgoing.h"
#include "wire/peer.pb.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace spurrack::quarantine {

/// Whether this node may run one request with a suspect now.
struct trial_decision {
  suspect_digest digest;
  bool is_granted = false;
  /// Node that decided, for the log; this node itself if no issuer answered.
  std::string decided_by;
};

/// Counters of the exchange, for metrics.
struct trial_counts {
  std::uint64_t requested = 0;
  /// Trials that this node granted, as the issuer.
  std::uint64_t granted = 0;
  std::uint64_t denied = 0;
  /// Questions that no issuer answered.
  std::uint64_t unanswered = 0;
};

/// Asks issuers for trials, and grants trials as an issuer. Not thread-safe.
class trial_exchange {
 public:
  /// @param registry must outlive this object.
  trial_exchange(const crash_registry& registry, base::node_id self)
      : registry_(&registry), nodes_(std::move(self)) {}

  void set_peers(const std::vector<serving::fleet_peer>& alive) { nodes_.set_peers(alive); }
  /// Asks the issuer of a suspect for a trial, unless a question about it is open, or no trial of a
  /// request is due as far as this node knows. The decision is returned by `take_decisions`.
  void request(const suspect_digest& digest, base::time_point now);
  /// Tells the issuers of a suspected request that this node runs it, until `release`. Each call
  /// of `hold` needs one of `release`.
  void hold(const suspect_digest& digest, base::time_point now);
  /// Records that a run of a suspected request is over at this node.
  /// @param is_known whether it is known how the run ended; if not, its lease expires by itself,
  ///        which leaves time to find out.
  void release(const suspect_digest& digest, bool is_known, base::time_point now);
  /// Records that it has become known how a run ended whose end was not known.
  void note_outcome(const suspect_digest& digest, base::time_point now);
  /// @return whether this node runs a suspected request, or ran it and does not know how the run
  ///         ended.
  [[nodiscard]] bool has_run(const suspect_digest& digest) const {
    return held_.contains(digest) || unknown_ends_.contains(digest);
  }
  /// Answers the questions of another node, and takes its decisions.
  void handle(const base::network_address& sender, const wire::crash_news& message,
              base::time_point now);
  /// Asks the next issuer if one does not answer.
  void advance(base::time_point now);
  /// @return time at which `advance` is due; std::nullopt if no question is open.
  [[nodiscard]] std::optional<base::time_point> next_wakeup() const;
  [[nodiscard]] std::vector<trial_decision> take_decisions() {
    return std::exchange(decisions_, {});
  }
  [[nodiscard]] wire::outbox take_messages() { return std::exchange(messages_, {}); }
  [[nodiscard]] const trial_counts& counts() const { return counts_; }

 private:
  struct open_question {
    /// Rank of the issuer that is asked.
    std::size_t rank = 0;
    base::time_point asked_at;
  };
  void ask(const suspect_digest& digest, open_question& question, base::time_point now);
  void decide(const suspect_digest& digest, bool is_granted, std::string decided_by);
  /// Decides on a trial as the issuer, and records a granted trial.
  /// @param asker node that asks; empty for this node.
  bool grant(const suspect_digest& digest, const base::network_address& asker,
             base::time_point now);
  /// @return whether an earlier trial of a prompt part, or any run of a request, is under way.
  [[nodiscard]] bool is_run_under_way(const suspect_digest& digest, base::time_point now) const;
  /// Sends the lease of this node on a suspected request to the issuers.
  void send_lease(const suspect_digest& digest, bool has_ended, base::time_point now);
  /// Applies the lease of a node as an issuer.
  void note_lease(const suspect_digest& digest, const base::network_address& holder, bool has_ended,
                  base::time_point now);

  const crash_registry* registry_;
  /// Nodes from which the issuers of a suspect are chosen.
  suspect_nodes nodes_;
  std::map<suspect_digest, open_question> questions_;
  /// Time of the latest trial that this node granted, by suspect.
  std::map<suspect_digest, base::time_point> granted_at_;
  struct held_lease {
    /// Number of runs of the request at this node.
    std::size_t runs = 0;
    base::time_point next_renewal_at;
  };
  /// Leases of this node.
  std::map<suspect_digest, held_lease> held_;
  /// Suspects of ended runs of this node of which it is not known how they ended, with the times at
  /// which their leases expire.
  std::map<suspect_digest, base::time_point> unknown_ends_;
  /// As an issuer: end of the lease of each node that runs a suspected request.
  std::map<suspect_digest, std::map<base::network_address, base::time_point>> leases_;
  std::vector<trial_decision> decisions_;
  wire::outbox messages_;
  trial_counts counts_;
};

} // namespace spurrack::quarantine
