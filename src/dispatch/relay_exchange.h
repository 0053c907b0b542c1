/// Other nodes that can serve requests which this node cannot, because it is partitioned from all
/// replicas. This node asks for them only while it suspects a partition. No I/O.
#pragma once

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "fleet_view/peer_directory.h"
#include "model/residency.h"
#include "wire/outgoing.h"
#include "wire/peer.pb.h"

#include <cstddef>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace spurrack::serving {

/// Node to which a request can be passed on.
struct relay {
  base::node_id node;
  base::zone_id zone;
  /// Address at which the node accepts the requests of clients.
  base::network_address client_address;
};

/// Asks other nodes whether they hear from replicas, answers the same question, and chooses among
/// the nodes that do. Messages are collected until `take_messages` is called. Not thread-safe.
class relay_exchange {
 public:
  /// @param client_address address at which this node accepts the requests of clients; empty if
  ///        other nodes cannot use it.
  /// @param random must outlive this object.
  relay_exchange(base::network_address client_address, base::random_source& random)
      : own_client_address_(std::move(client_address)), random_(&random) {}

  void set_peers(const std::vector<fleet_peer>& alive) { peers_ = alive; }
  /// Asks other nodes, if the last question is old.
  /// @param is_wanted whether this node suspects that it is partitioned.
  void advance(bool is_wanted, base::time_point now);
  /// Answers a question, or records an answer.
  /// @param hears_replicas whether this node hears from replicas.
  /// @return whether the message says that its sender hears from replicas.
  bool handle(const base::node_id& sender, const base::network_address& address,
              const wire::relay_offer& message, bool hears_replicas, base::time_point now);
  /// @return the node that answered recently and has the fewest requests of this node under way;
  ///         one in the permitted regions if these are restricted; std::nullopt if there is none.
  [[nodiscard]] std::optional<relay> choose(const model::residency& permitted_regions,
                                            const model::zone_regions& regions,
                                            base::time_point now);
  void note_started(const base::node_id& node) { ++requests_under_way_[node]; }
  void note_ended(const base::node_id& node);
  /// Records that a node cannot be reached. It is chosen again after its next answer.
  void note_unreachable(const base::node_id& node) { offers_.erase(node); }

  [[nodiscard]] wire::outbox take_messages() { return std::exchange(messages_, {}); }

 private:
  struct offer {
    relay node;
    base::time_point received_at;
  };
  void send(const base::network_address& to, const wire::relay_offer& content);

  base::network_address own_client_address_;
  base::random_source* random_;
  std::vector<fleet_peer> peers_;
  std::map<base::node_id, offer> offers_;
  std::map<base::node_id, std::size_t> requests_under_way_;
  base::time_point next_question_at_;
  wire::outbox messages_;
};

} // namespace spurrack::serving
