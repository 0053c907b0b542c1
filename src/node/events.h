/// Events that a node processes and commands that a node returns: the interface through which the
/// daemon, the simulation and the tests drive the same decision logic.
#pragma once

#include "base/event_log.h"
#include "base/ids.h"
#include "catalog/source_kind.h"
#include "execution/answer.h"
#include "execution/commands.h"
#include "execution/stage_call.h"
#include "quarantine/suspect.h"
#include "serving/events.h"
#include "wire/outgoing.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace spurrack::node {

using catalog::all_sources;
using catalog::source_count;
using catalog::source_kind;

/// A time was reached at which the node has work to do (see `node::next_wakeup`).
struct time_passed {};
/// A message arrived from a peer whose identity has been authenticated.
struct peer_message {
  wire::envelope message;
};
/// A caller sent a request for a pipeline. Requests on published routes, which clients send, arrive
/// as `serving::request_arrived`.
struct caller_arrived {
  base::caller_id caller = 0;
  execution::caller_request request;
  /// Time at which the request reached this machine; earlier than the time of the event if the
  /// process was suspended. Deadlines are computed from this time, so that a request that waited
  /// during the suspension is not run late.
  base::time_point arrived_at;
};
/// The connection of a caller was closed.
struct caller_disconnected {
  base::caller_id caller = 0;
};
/// A caller requested a ticket: permission to run one later request once.
struct ticket_requested {
  base::caller_id caller = 0;
  /// SHA-256 of the caller's token, in lower-case hexadecimal digits.
  std::string token_sha256;
};
/// A platform service answered a read.
struct service_answered {
  source_kind source = source_kind::configuration;
  std::vector<wire::catalog_entry> entries;
  /// Revision of the last write that the answer reflects.
  base::revision service_revision = 0;
  /// Era of the store: a number that increases by one each time the store is restored from an older
  /// backup; std::nullopt if the answer contains no readable era.
  std::optional<base::store_era> era;
  /// Whether the answer contains an era that cannot be read.
  bool is_era_unreadable = false;
  /// Whether `entries` contains all entries of the service at `service_revision` (a listing), not
  /// only the entries that changed after the requested revision.
  bool is_listing = false;
  /// Number of the read that is answered (`read_service::number`); 0 if unknown.
  std::uint64_t read_number = 0;
};
/// A read or a probe of a platform service failed.
struct service_failed {
  source_kind source = source_kind::configuration;
};
/// A graceful stop begins.
struct stop_requested {};
/// The settings were reloaded with other seeds (`node_settings::seeds`).
struct seeds_changed {
  std::vector<base::network_address> seeds;
};
/// An operator ends the quarantine of a suspect. Nodes refuse a quarantined request because
/// replicas exited while they ran it.
struct release_requested {
  quarantine::suspect_digest digest;
};

using event =
    std::variant<time_passed, peer_message, caller_arrived, caller_disconnected, ticket_requested,
                 execution::call_result, execution::call_token, service_answered, service_failed,
                 stop_requested, seeds_changed, release_requested, serving::event>;

/// Reads the entries of a platform service that changed after a revision. The service may delay the
/// answer until an entry changes (long polling).
struct read_service {
  source_kind source = source_kind::configuration;
  /// The service returns the entries that changed after this revision. If the revision is 0, the
  /// service returns a listing of all entries.
  base::revision after = 0;
  /// Whether the answer may be a listing that is some seconds old.
  bool allow_stale = false;
  /// Maximum time for which the service may delay the answer.
  base::duration max_hold_time{};
  /// Number of the read among those of this node and service, starting at 1.
  std::uint64_t number = 0;
};
/// Sends a small query to a platform service, to check that the service still answers while the
/// answer to a read is pending. Only a failed query causes an event, `service_failed`.
struct probe_service {
  source_kind source = source_kind::configuration;
};
/// Sends a ticket to the caller that requested the ticket.
struct send_ticket {
  base::caller_id caller = 0;
  std::string ticket;
  base::duration lifetime{};
};
/// Writes an entry of the node's event log to the log of the daemon. Returned only by nodes that
/// serve published routes.
struct log_event {
  base::event entry;
};
/// The process may exit: no request is active, or the maximum duration of the graceful stop has
/// passed.
struct stop_completed {};

using command =
    std::variant<wire::outgoing, execution::start_call, execution::cancel_call,
                 execution::send_token, execution::send_answer, read_service, probe_service,
                 send_ticket, stop_completed, serving::command, log_event>;
using command_list = std::vector<command>;

} // namespace spurrack::node
