/// What the fleet has sent its engines, shared between nodes; short prompts cause no message, and
/// waits are reported only while engines have a backlog.
///
/// Each engine has one account holder, found by rendezvous hashing among the live nodes of the
/// engine's region. Every node reports to it each long prompt that it sends there; the account
/// holder sums the unread tokens and reports them to all nodes of the region when the wait is long
/// enough to choose another engine. What a node assumes decays at the rate at which engines read,
/// so an account holder that dies, or a node that is cut off, leads back to placement by hash alone
/// within a second or two. No I/O: messages are gathered.
#pragma once

#include "engines/engine_accounting.h"
#include "engines/prefill_rate.h"
#include "engines/sending_rate.h"
#include "fleet_view/peer_directory.h"
#include "model/residency.h"
#include "model/serving_records.h"
#include "replicas/replica_table.h"
#include "wire/outgoing.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace spurrack::serving {

struct engine_directory_counts {
  /// Prompts reported to the account holders of their engines.
  std::uint64_t reported_sends = 0;
  /// Waits reported to the nodes of the region, and nodes left out to keep the bound on bytes.
  std::uint64_t reported_backlogs = 0;
  std::uint64_t skipped_receivers = 0;
  /// Of prompts reported to this node as an account holder: tokens that the engine is expected to
  /// have kept, and those it has to read.
  std::uint64_t cached_prompt_tokens = 0;
  std::uint64_t tokens_to_prefill = 0;
};

/// Not thread-safe. Messages gather until they are taken.
class engine_directory {
 public:
  /// @param replicas must outlive this object.
  engine_directory(fleet_peer self, model::zone_regions regions, const replica_table& replicas);

  /// Takes over the nodes that are alive, without this one.
  void set_peers(std::vector<fleet_peer> alive);
  void set_configuration(std::shared_ptr<const model::serving_configuration> configuration);
  /// Forgets engines that are gone.
  void forget_removed_engines();
  /// An engine started again: it keeps nothing and has nothing to read.
  void forget(const base::replica_id& engine);

  /// This node sends a prompt to an engine.
  void note_sent(const replica_state& engine, const sent_prompt& prompt, base::time_point now);
  /// A prompt got its first event.
  void note_first_event(std::uint32_t own_tokens, base::duration elapsed) {
    prefill_rate_.note(own_tokens, elapsed);
  }
  void handle(const wire::engine_news& news, base::time_point now);

  /// @return time until an engine has read what it was sent, by this node's estimate.
  [[nodiscard]] base::duration expected_wait(const replica_state& engine,
                                             base::time_point now) const;
  /// @return time that reading takes, without a wait.
  [[nodiscard]] base::duration prefill_time(double tokens) const;

  /// @param engines how many there are.
  /// @return how many of them read a part with which many prompts begin. Few in an idle fleet, by
  ///         what this node sent of late: there an engine gets a prompt so seldom that it would
  ///         read the part again for nearly each. All under a load, which is even then.
  [[nodiscard]] std::size_t prefix_replica_count(std::size_t engines, base::time_point now) const;

  [[nodiscard]] wire::outbox take_messages();
  [[nodiscard]] const engine_directory_counts& counts() const { return counts_; }
  /// @return engines whose account this node holds or held.
  [[nodiscard]] std::size_t accounted_engines() const { return accounting_by_engine_.size(); }

 private:
  /// @return the peer that holds an engine's account; null where this node does.
  [[nodiscard]] const fleet_peer* accounting_node_of(const model::replica& engine) const;
  void account_send(const base::replica_id& engine, const sent_prompt& prompt,
                    base::time_point now);
  void report_backlog(const base::replica_id& engine, std::uint32_t tokens, base::time_point now);
  /// @return to how many of so many nodes a report may be sent now; counts the bytes.
  std::size_t consume_allowance(std::size_t receivers, base::time_point now);

  fleet_peer self_;
  model::zone_regions regions_;
  const replica_table* replicas_;
  std::shared_ptr<const model::serving_configuration> configuration_;
  std::vector<fleet_peer> peers_;
  prefill_rate prefill_rate_;
  sending_rate sending_rate_;
  std::unordered_map<base::replica_id, prefill_backlog> estimated_backlogs_;
  /// Engines whose account this node holds or held.
  std::unordered_map<base::replica_id, engine_accounting> accounting_by_engine_;
  /// Reports that may be sent now, one a receiver, and when they were counted last.
  double report_allowance_;
  base::time_point allowance_updated_at_;
  /// Place among the nodes of the region from which receivers are taken next.
  std::size_t next_receiver_ = 0;
  wire::outbox messages_;
  engine_directory_counts counts_;
};

} // namespace spurrack::serving
