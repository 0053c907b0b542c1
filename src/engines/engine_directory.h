/// Shares between nodes which prompts the fleet has sent to its engines. Short prompts cause no
/// message, and waits are reported only while engines have a prefill backlog.
///
/// Each engine has one accounting node, chosen by rendezvous hashing among the live nodes of the
/// engine's region. Every node reports each long prompt that it sends to the engine to the
/// accounting node, which sums the prefill backlog and reports it to all nodes of the region if the
/// wait is long enough to choose another engine. The backlog that a node assumes decays at the
/// prefill rate, so that after the crash of an accounting node, or on a partitioned node, engines
/// are chosen by hashing alone after a second or two. No I/O: messages are queued until
/// `take_messages`.
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
  /// Prompts reported to the accounting nodes of their engines.
  std::uint64_t reported_sends = 0;
  /// Backlogs reported to the nodes of the region.
  std::uint64_t reported_backlogs = 0;
  /// Nodes that a backlog was not reported to because of the limit on bytes per second.
  std::uint64_t skipped_receivers = 0;
  /// Tokens of prompts reported to this node as an accounting node, by whether the engine is
  /// expected to have them cached or has to prefill them.
  std::uint64_t cached_prompt_tokens = 0;
  std::uint64_t tokens_to_prefill = 0;
};

/// Backlogs of engines, as estimated by one node. Not thread-safe.
class engine_directory {
 public:
  /// @param replicas must outlive this object.
  engine_directory(fleet_peer self, model::zone_regions regions, const replica_table& replicas);

  /// Replaces the set of live nodes, which excludes this node.
  void set_peers(std::vector<fleet_peer> alive);
  void set_configuration(std::shared_ptr<const model::serving_configuration> configuration);
  /// Forgets engines that are no longer in the replica table.
  void forget_removed_engines();
  /// Forgets the state of an engine that restarted: its cache and its backlog are empty.
  void forget(const base::replica_id& engine);

  /// Records a prompt that this node sends to an engine, and reports a long one to the engine's
  /// accounting node.
  void note_sent(const replica_state& engine, const sent_prompt& prompt, base::time_point now);
  /// Records that a prompt got its first event.
  /// @param elapsed since the prompt was sent.
  void note_first_event(std::uint32_t own_tokens, base::duration elapsed) {
    prefill_rate_.note(own_tokens, elapsed);
  }
  /// Applies a message of another node: prompts sent to engines whose accounting node this node is,
  /// and backlogs of engines.
  void handle(const wire::engine_news& news, base::time_point now);

  /// Returns the time until an engine has prefilled the prompts that it was sent, as estimated by
  /// this node.
  [[nodiscard]] base::duration expected_wait(const replica_state& engine,
                                             base::time_point now) const;
  /// Returns the time in which an idle engine prefills `tokens` tokens.
  [[nodiscard]] base::duration prefill_time(double tokens) const;

  /// Returns the number of engines that prefill a first part that many prompts share. In an idle
  /// fleet, judging by the recent sends of this node, these are only a few engines: if all engines
  /// did, each would get such a prompt so rarely that it would prefill the part again nearly every
  /// time. Under load all engines prefill the part, since the load is even then.
  /// @param engines number of available engines.
  [[nodiscard]] std::size_t prefix_replica_count(std::size_t engines, base::time_point now) const;

  [[nodiscard]] wire::outbox take_messages();
  [[nodiscard]] const engine_directory_counts& counts() const { return counts_; }
  /// Returns the number of engines whose accounting node this node is or was.
  [[nodiscard]] std::size_t accounted_engines() const { return accounting_by_engine_.size(); }

 private:
  /// Returns the peer that is an engine's accounting node; null if this node is.
  [[nodiscard]] const fleet_peer* accounting_node_of(const model::replica& engine) const;
  /// Records a sent prompt as the engine's accounting node, and reports the backlog if necessary.
  void account_send(const base::replica_id& engine, const sent_prompt& prompt,
                    base::time_point now);
  void report_backlog(const base::replica_id& engine, std::uint32_t tokens, base::time_point now);
  /// Returns the number of receivers, out of `receivers`, that a report may be sent to now, and
  /// deducts it from the allowance.
  std::size_t consume_allowance(std::size_t receivers, base::time_point now);

  fleet_peer self_;
  model::zone_regions regions_;
  const replica_table* replicas_;
  std::shared_ptr<const model::serving_configuration> configuration_;
  std::vector<fleet_peer> peers_;
  prefill_rate prefill_rate_;
  sending_rate sending_rate_;
  std::unordered_map<base::replica_id, prefill_backlog> estimated_backlogs_;
  /// Engines whose accounting node this node is or was.
  std::unordered_map<base::replica_id, engine_accounting> accounting_by_engine_;
  /// Number of reports that may be sent, one per receiver, as of `allowance_updated_at_`.
  double report_allowance_;
  base::time_point allowance_updated_at_;
  /// Index, among the nodes of the region, of the last node that a report was sent to.
  std::size_t last_receiver_ = 0;
  wire::outbox messages_;
  engine_directory_counts counts_;
};

} // namespace spurrack::serving
