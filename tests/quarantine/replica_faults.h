/// Faults between simulated nodes and replicas: nodes that are partitioned from all replicas while
/// clients and other nodes reach them, brittle replicas, replicas that fall silent for a while, and
/// replicas that crash without closing their connections.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace spurrack::quarantine {

/// What happens to the connections of one node to all replicas.
enum class path_fault : std::uint8_t {
  none,
  hangs,       ///< Open connections pass no bytes, and new connections are not established.
  is_reset,    ///< Open connections were reset, and new connections are refused.
  refuses_new, ///< Open connections work, and new connections are refused.
};

/// What callers learn from the connections of a replica that crashes.
enum class crash_kind : std::uint8_t {
  closes,     ///< The kernel closes open connections and refuses new ones.
  times_out,  ///< Open connections pass no bytes until the kernel of the caller gives them up, and
              ///< new ones are not established.
  stays_open, ///< Open connections pass no bytes for good, and new ones are not established.
};

/// Open connections between nodes and replicas, and the path faults of the nodes.
class replica_paths {
 public:
  void set_fault(std::size_t node, path_fault fault) {
    faults_[node] = fault;
    if (fault == path_fault::is_reset) {
      std::erase_if(open_, [&](const auto& entry) { return entry.first == node; });
    }
  }
  [[nodiscard]] path_fault fault_of(std::size_t node) const {
    const auto found = faults_.find(node);
    return found == faults_.end() ? path_fault::none : found->second;
  }
  [[nodiscard]] bool has_open_connection(std::size_t node, unsigned replica) const {
    return open_.contains({node, replica});
  }
  /// @return whether a call of the node reaches the replica.
  [[nodiscard]] bool passes_call(std::size_t node, unsigned replica) const {
    const auto fault = fault_of(node);
    return fault == path_fault::none ||
           (fault == path_fault::refuses_new && has_open_connection(node, replica));
  }
  void note_connected(std::size_t node, unsigned replica) { open_.insert({node, replica}); }
  /// Closes the connections of all nodes to a replica whose process has ended.
  void close_all_to(unsigned replica) {
    std::erase_if(open_, [&](const auto& entry) { return entry.second == replica; });
  }

 private:
  std::map<std::size_t, path_fault> faults_;
  /// Pairs of node and replica with at least one open connection.
  std::set<std::pair<std::size_t, unsigned>> open_;
};

/// State of a brittle replica: it lets few requests in, and crashes if it must reject more than
/// `max_rejections` of them within a second.
struct brittle_state {
  unsigned max_rejections = 0;
  /// Maximum number of requests at the replica.
  std::size_t room = 0;
  std::vector<base::time_point> rejected_at{};

  /// Records a rejection. @return whether the replica crashes because of it.
  bool note_rejected(base::time_point now) {
    std::erase_if(rejected_at, [&](auto at) { return now - at >= std::chrono::seconds(1); });
    rejected_at.push_back(now);
    return rejected_at.size() > max_rejections;
  }
};

} // namespace spurrack::quarantine
