/// The documents that operators read: JSON about one node, and its metrics.
#pragma once

#include "flow/byte_budget.h"
#include "http/ingress_server.h"
#include "http/operator_server.h"
#include "node/node.h"
#include "upstream/replica_client.h"

#include <cstdint>

namespace spurrack::daemon {

/// Facts that the node itself does not know.
struct process_facts {
  std::uint64_t peer_messages_dropped = 0;
  std::size_t callers_busy = 0;
  /// Null where the node serves no published routes.
  const http::ingress_counters* readers = nullptr;
  const flow::byte_budget* budget = nullptr;
  const upstream::connection_counters* replica_connections = nullptr;
};

/// @return the document at `path`; nothing where there is none.
std::optional<http::operator_document> make_document(const std::string& path,
                                                     const node::node& subject,
                                                     const process_facts& facts,
                                                     base::time_point now);

/// Reads what an operator asks for.
/// @return the event that brings it about; nothing where the path asks for nothing.
std::optional<node::event> read_action(const std::string& path);

/// @return the metrics in the Prometheus text format.
std::string make_metrics(const node::node& subject, const process_facts& facts,
                         base::time_point now);

} // namespace spurrack::daemon
