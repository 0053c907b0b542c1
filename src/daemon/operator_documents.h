/// Documents that the operator listener serves: the state of the node as JSON, and its metrics.
#pragma once

#include "daemon/event_pump.h"
#include "flow/byte_budget.h"
#include "http/ingress_server.h"
#include "http/operator_server.h"
#include "node/node.h"
#include "upstream/replica_client.h"

#include <cstdint>

namespace spurrack::daemon {

/// State of the network adapters of the process. The node itself does not know this state.
struct process_stats {
  std::uint64_t dropped_peer_messages = 0;
  std::size_t busy_connections = 0;
  /// Stands of the event loop.
  const stand_counters* stands = nullptr;
  /// This and the following pointers are null if the node does not serve published routes.
  const http::ingress_counters* client_counters = nullptr;
  const flow::byte_budget* budget = nullptr;
  const upstream::connection_counters* replica_connections = nullptr;
};

/// @return the document at `path`; std::nullopt if there is none.
std::optional<http::operator_document> make_document(const std::string& path,
                                                     const node::node& subject,
                                                     const process_stats& stats,
                                                     base::time_point now);

/// Parses the path of an action that an operator requests.
/// @return the event that triggers the action; std::nullopt if the path names no valid action.
std::optional<node::event> parse_action(const std::string& path);

/// @return the metrics in the Prometheus text format.
std::string make_metrics(const node::node& subject, const process_stats& stats,
                         base::time_point now);

} // namespace spurrack::daemon
