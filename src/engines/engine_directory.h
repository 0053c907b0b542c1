/// Shares between nodes which prompts the fleet has sent to its engines. Short prompts cause no
/// message, and the prefill backlog of an engine is reported only while it is long.
///
/// Each engine has one accounting node, chosen by rendezvous hashing among the live nodes of the
/// engine's region. When a node sends a long prompt to an engine, it reports the prompt to the
/// engine's accounting node, which adds up the engine's prefill backlog. If the backlog is so long
/// that prompts should go to other engines, the accounting node reports it to all nodes of the
/// region.
///
/// The backlog that a node assumes for an engine decreases at the prefill rate. After the crash of
/// an accounting node, or on a partitioned node, engines are therefore chosen by hashing alone
/// after a second or two. No I/O: messages are queued until `take_messages`.
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
  /// Prompts that this node reported to the accounting nodes of their engines.
  std::uint64_t reported_sends = 0;
  /// Backlogs that this node, as an accounting node, reported to the nodes of its region; a backlog
  /// counts once, however many nodes receive the report.
  std::uint64_t reported_backlogs = 0;
  /// Nodes that were not sent a backlog report because of the limit on bytes per second, summed
  /// over all reports.
  std::uint64_t skipped_receivers = 0;
  /// Tokens of the prompts that this node accounted for as the accounting node of their engine:
  /// tokens that the engine is expected to have cached, and tokens that it has to prefill.
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
  /// Records that the first event of the answer to a prompt arrived.
  /// @param own_tokens tokens of the prompt that no request of another session shares.
  /// @param elapsed time since the prompt was sent.
  void note_first_event(std::uint32_t own_tokens, base::duration elapsed) {
    prefill_rate_.note(own_tokens, elapsed);
  }
  /// Applies a message of another node. It reports prompts that were sent to engines whose
  /// accounting node this node is, and backlogs of engines whose accounting node the sender is.
  void handle(const wire::engine_news& news, base::time_point now);

  /// Returns the time in which an engine will have prefilled all prompts that were sent to it, as
  /// estimated by this node.
  [[nodiscard]] base::duration expected_wait(const replica_state& engine,
                                             base::time_point now) const;
  /// Returns the time in which an idle engine prefills `tokens` tokens.
  [[nodiscard]] base::duration prefill_time(double tokens) const;

  /// Returns the number of engines among which the prompts with the same first part are
  /// distributed. These are all engines, so that the load is even, or only a few engines in a large
  /// fleet that is idle, judging by the recent sends of this node. If all engines of an idle fleet
  /// got such prompts, each would get one so rarely that it would prefill the first part again
  /// nearly every time.
  /// @param engines number of available engines.
  [[nodiscard]] std::size_t prefix_replica_count(std::size_t engines, base::time_point now) const;

  [[nodiscard]] wire::outbox take_messages();
  [[nodiscard]] const engine_directory_counts& counts() const { return counts_; }
  /// Returns the number of engines for which this node keeps accounts: it is, or was earlier, their
  /// accounting node.
  [[nodiscard]] std::size_t accounted_engines() const { return accounting_by_engine_.size(); }

 private:
  /// Returns the peer that is an engine's accounting node. Returns null if this node itself is to
  /// account for the engine: it is the accounting node, or no live node is in the engine's region.
  [[nodiscard]] const fleet_peer* accounting_node_of(const model::replica& engine) const;
  /// Accounts for a prompt that was sent to an engine whose accounting node this node is, and
  /// reports the engine's backlog to other nodes if necessary.
  void account_send(const base::replica_id& engine, const sent_prompt& prompt,
                    base::time_point now);
  void report_backlog(const base::replica_id& engine, std::uint32_t tokens, base::time_point now);
  /// Returns the number of nodes, at most `receivers`, that a backlog report may be sent to now.
  /// Deducts this number from the allowance.
  std::size_t consume_allowance(std::size_t receivers, base::time_point now);

  fleet_peer self_;
  model::zone_regions regions_;
  const replica_table* replicas_;
  std::shared_ptr<const model::serving_configuration> configuration_;
  std::vector<fleet_peer> peers_;
  prefill_rate prefill_rate_;
  sending_rate sending_rate_;
  std::unordered_map<base::replica_id, prefill_backlog> estimated_backlogs_;
  /// Accounts of the engines whose accounting node this node is, or was earlier.
  std::unordered_map<base::replica_id, engine_accounting> accounting_by_engine_;
  /// Number of reports that may be sent, one per receiver, as of `allowance_updated_at_`.
  double report_allowance_;
  base::time_point allowance_updated_at_;
  /// Position of the node that was sent the last backlog report, among the other nodes of this
  /// node's region in the order of `peers_`.
  std::size_t last_receiver_ = 0;
  wire::outbox messages_;
  engine_directory_counts counts_;
};

} // namespace spurrack::serving
