/// What can happen to a node, and what a node can ask for. The seam between decision logic and the
/// world: the daemon, the simulation and hollow nodes drive the same objects through it.
#pragma once

#include "base/event_log.h"
#include "base/ids.h"
#include "execution/answer.h"
#include "execution/commands.h"
#include "execution/stage_call.h"
#include "quarantine/request_digest.h"
#include "serving/events.h"
#include "wire/outgoing.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace spurrack::node {

/// The two read-only services of the platform.
enum class source_kind : std::uint8_t { configuration, machine_list };
inline constexpr std::size_t source_count = 2;

/// Time passed; nothing else happened.
struct time_passed {};
/// A peer's message arrived; its origin is authenticated.
struct peer_message {
  wire::envelope message;
};
struct caller_arrived {
  base::caller_id caller = 0;
  execution::caller_request request;
  /// When the request reached this machine, which is earlier than now where the process was paused:
  /// deadlines count from here, so that a request which waited out a pause is not run late.
  base::time_point arrived_at;
};
struct caller_disconnected {
  base::caller_id caller = 0;
};
/// A caller wants a ticket.
struct ticket_requested {
  base::caller_id caller = 0;
  std::string token_sha256;
};
/// The platform answered a read.
struct service_answered {
  source_kind source = source_kind::configuration;
  std::vector<wire::catalog_entry> entries;
  base::revision service_revision = 0;
  /// Counts how often the service came back from an older copy; nothing where it does not tell.
  std::optional<base::store_era> era;
  /// It told an era that cannot be read.
  bool is_era_unreadable = false;
  /// The entries are everything the service held at that revision, not only what is newer.
  bool is_listing = false;
};
struct service_failed {
  source_kind source = source_kind::configuration;
};
/// A planned stop begins.
struct stop_requested {};
/// The settings name other seeds now.
struct seeds_changed {
  std::vector<base::network_address> seeds;
};

/// An operator lets a request go that is held back.
struct release_requested {
  quarantine::request_digest digest;
};

using event =
    std::variant<time_passed, peer_message, caller_arrived, caller_disconnected, ticket_requested,
                 execution::call_result, execution::call_token, service_answered, service_failed,
                 stop_requested, seeds_changed, release_requested, serving::event>;

/// Read a service for what is newer than a revision; the service may hold the answer back until
/// there is something.
struct read_service {
  source_kind source = source_kind::configuration;
  /// 0: everything is listed.
  base::revision after = 0;
  /// A listing that is some seconds old serves as well.
  bool allow_stale = false;
  /// How long the service may hold the answer back.
  base::duration hold{};
};
/// Ask a service for little, beside a read that it holds. Only a failure is told, as that of a
/// read.
struct probe_service {
  source_kind source = source_kind::configuration;
};
struct send_ticket {
  base::caller_id caller = 0;
  std::string ticket;
  base::duration lifetime{};
};
/// A decision of the serving path, for the log.
struct log_decision {
  base::event what;
};
/// All requests have ended after `stop_requested`; the process may exit.
struct stop_completed {};

using command =
    std::variant<wire::outgoing, execution::start_call, execution::cancel_call,
                 execution::send_token, execution::send_answer, read_service, probe_service,
                 send_ticket, stop_completed, serving::command, log_decision>;
using command_list = std::vector<command>;

} // namespace spurrack::node
