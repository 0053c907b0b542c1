/// State of one request on the serving path from its arrival until its answer is complete.
#pragma once

#include "dispatch/end_evidence.h"
#include "dispatch/event_stream.h"
#include "flow/byte_budget.h"
#include "model/serving_records.h"
#include "quarantine/suspect.h"
#include "replicas/replica_table.h"
#include "serving/events.h"
#include "stage_work/stage_exchange.h"
#include "stage_work/stage_graph.h"
#include "streams/stream_origin.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace spurrack::serving {

/// A call that runs the request itself, in contrast to calls for pieces of its stages.
struct open_call {
  base::call_id id = 0;
  base::replica_id replica{};
  /// Identifies the exit of the called incarnation, with the same value on all nodes, and is
  /// known before the exit happens. If the replica exits during the call, the exit is recorded
  /// with this identifier under the request.
  replica_exit incarnation_exit = 0;
  base::time_point started_at{};
  /// Number of attempts of the request that the call uses: one at a replica, all that are left at
  /// another node, which retries the request itself.
  std::uint32_t attempts = 1;
  /// Time at which the call counts as stalled unless it makes progress before; std::nullopt if
  /// its progress is not watched.
  std::optional<base::time_point> stalls_at{};
  /// Time at which the replica is probed if it has been silent, a moment before the call counts as
  /// stalled; std::nullopt if the progress of the call is not watched.
  std::optional<base::time_point> silence_check_at{};
  /// Time at which the stage results that the call reads are freed, because the replica should
  /// have fetched them by then. std::nullopt if no such time is set: the call reads no stage
  /// results, they were already freed, or they are kept until the first event or the answer
  /// arrives.
  std::optional<base::time_point> inputs_fetched_at{};
  /// Whether a check found the call stalled since its last progress.
  bool was_found_stalled = false;
  /// Time at which the replica table was last told that the replica sends data for this call.
  base::time_point contact_noted_at{};
  /// Set only if the call seems to have been sent to an earlier incarnation of its replica: time
  /// at which this node learned of the restart. If the request cannot be retried and no event of
  /// its stream arrives within `restart_confirm_time` after this time, the request fails.
  std::optional<base::time_point> restart_seen_at{};
  /// Whether an exit of the replica is suspected or recorded because of this call's silence.
  bool is_exit_noted = false;
  /// Time at which the replica was published no longer, without having announced a planned end;
  /// std::nullopt if it is published.
  std::optional<base::time_point> unpublished_at{};
  /// Node to which the request was passed on; std::nullopt if the call is one at a replica.
  std::optional<base::node_id> relay_node{};
  /// Software version of the replica; not known if the request was passed on.
  base::software_version version{};
  /// Address of the replica; empty if the request was passed on.
  base::network_address address{};
};

/// End of an answer that has neither a length nor chunks, while it is not known whether the replica
/// completed the answer or exited.
struct unsettled_answer_end {
  /// Call that the answer ended; it is closed already.
  open_call call;
  /// Answer to forward if it is whole; std::nullopt for a stream.
  std::optional<call_answered> answer;
  base::time_point ended_at;
  /// Time at which the replica is probed again, or the list of replicas is looked at, unless the
  /// end is settled before.
  base::time_point next_check_at;
  /// Time at which a probe first found that the replica accepts connections, if it began too late
  /// to tell the replica from a new process.
  std::optional<base::time_point> connected_at{};
};

/// End of an answer that has neither a length nor chunks and whose replica went on afterwards: the
/// answer may be whole, or broken off.
struct open_answer_end {
  /// Call that the answer ended; it is closed already.
  open_call call;
  /// The answer; std::nullopt for a stream, whose events the client has.
  std::optional<call_answered> answer;
  base::time_point ended_at;
  /// Time at which the client gets the end although no other run has shown it.
  base::time_point passed_on_at{};
};

/// Entry in an admission queue. Ordered by priority (0 is the most urgent), then requests that are
/// bound to a software version before others, then by deadline.
struct waiting_request {
  std::uint32_t priority = 0;
  bool is_unbound = true;
  base::time_point deadline;
  base::caller_id client = 0;
  auto operator<=>(const waiting_request&) const = default;
};
using admission_queue = std::set<waiting_request>;

/// How a request is answered if it is not retried.
struct failure_outcome {
  /// HTTP status if this node answers itself.
  unsigned http_status = 0;
  std::string reason;
  /// Answer of a replica to forward; std::nullopt if this node answers itself.
  std::optional<call_answered> answer;
  /// Whether no replica has run the request; if so, the answer of this node says that.
  bool is_not_run = false;
};

/// Wait of a request for the permission to run as the trial of a suspect.
struct pending_trial {
  quarantine::suspect_digest suspect;
  /// Time at which the request is refused if it still waits.
  base::time_point ends_at;
};

/// A request that has arrived and whose answer is not complete.
struct active_request {
  base::caller_id client = 0;
  std::shared_ptr<const request_content> content;
  /// Shared with the configuration, so that the route outlives configuration changes.
  std::shared_ptr<const model::route> route;
  std::string tenant;
  /// What may crash a replica that runs the request; the request itself comes first. Computed on
  /// first use, because most requests never need it.
  mutable std::vector<quarantine::suspect> suspects;
  std::string service;
  std::uint32_t priority = 0;
  /// Regions that both the route and the tenant allowed when the request arrived.
  model::residency permitted_regions;
  std::uint64_t configuration_version = 0;
  base::time_point arrived_at;
  /// Time by which the client gets the final answer.
  base::time_point deadline;
  /// Progress of the stages; null if the route has no stages.
  std::unique_ptr<stage_graph> graph;
  /// Zone of the replica that will probably run the request.
  base::zone_id expected_zone;
  std::map<piece_ticket, piece_position> pieces;
  /// Submitted pieces whose calls are silent past their timeout.
  std::set<piece_ticket> silent_pieces;
  std::optional<open_call> call;
  /// Evidence on which the latest call ended without a whole answer.
  end_evidence lost_call = end_evidence::none;
  /// Whether the stages are computed again while the call is open, because it is stalled and a
  /// successor would need their results.
  bool recomputes_beside_call = false;
  /// Time at which the request is sent again; set only if its call was given up although the
  /// replica may live, and no replica took the request since.
  std::optional<base::time_point> send_again_at;
  /// Set only while the end of the last call's answer is not settled.
  std::optional<unsettled_answer_end> unsettled_end;
  /// Set only while another run of the request is to show whether the answer was whole.
  std::optional<open_answer_end> open_end;
  /// How the request is answered if no other node transfers retry budget to this node; set only
  /// while the request waits for a transfer.
  std::optional<failure_outcome> pending_failure;
  /// Entry in the admission queue; set only while the request waits for a slot at a replica.
  std::optional<waiting_request> queue_entry;
  /// Set only while the request waits for a trial.
  std::optional<pending_trial> trial_wait;
  /// Whether the next call of the request is a trial that was granted.
  bool has_trial = false;
  /// Suspect of whose present run the issuers were told; std::nullopt if the request has no run, or
  /// is not suspected.
  std::optional<quarantine::suspect_digest> held_trial{};
  /// Replicas that are not chosen for the next attempt because an earlier attempt went to them.
  std::set<base::replica_id> tried_replicas;
  /// Maximum number of attempts: that of the route, or what the request had left at the node that
  /// passed it on.
  std::uint32_t max_attempts = 1;
  /// Number of attempts, without those that reached no replica.
  std::uint32_t attempts = 0;
  std::uint32_t unreached_attempts = 0;
  /// Whether some replica may have begun to run the request.
  bool may_have_run = false;
  bool has_begun_stream = false;
  /// Identifies the stream over all attempts of its client; set if the route is resumable.
  std::optional<streams::stream_key> stream_key;
  /// Software version that wrote the events which the client has. The stream goes on only at a
  /// replica of this version. std::nullopt if the client has no event, or if `has_settled_origin`
  /// is false and the version is not known yet.
  std::optional<base::software_version> bound_version;
  /// Time at which this node began to look up the origin: the stream began before.
  base::time_point origin_asked_at;
  /// Whether it was looked up which service and version began the stream.
  bool has_settled_origin = false;
  /// Whether the request passed the checks on arrival; a request that resumes a stream waits for
  /// its origin before.
  bool has_passed_admission = false;
  /// Number of calls that were made for the request.
  std::uint32_t calls = 0;
  /// Time of the next check whether the stages can still end in time; std::nullopt if the request
  /// is not checked.
  std::optional<base::time_point> next_feasibility_check_at;
  /// Whether the latest feasibility check found that the request cannot be served in time;
  /// std::nullopt before the first check.
  std::optional<bool> was_infeasible_at_last_check;
  std::optional<answer_head> stream_head;
  /// Whether the client's stream has no chunks and ends with its connection, because the replica
  /// that began it marks no end either.
  bool ends_stream_with_connection = false;
  /// Times of the first and the latest event of the stream, and the longest time between two
  /// consecutive events.
  base::time_point first_event_at;
  base::time_point latest_event_at;
  base::duration longest_event_gap{};
  event_stream events;
  /// Memory reserved in the byte budget for the bytes of an incomplete event that `events`
  /// buffers.
  std::optional<flow::byte_reservation> partial_event_reservation;
  /// Whether reading from the replica is paused because the client reads too slowly.
  bool is_window_closed = false;
  /// Time at which the paused stream is suspended, or its remainder is buffered; set only while
  /// `is_window_closed`.
  std::optional<base::time_point> slow_client_check_at;
  /// Whether the stream is suspended: its call was cancelled because the client reads too slowly,
  /// and the request is sent to a replica again when the client reads on.
  bool is_suspended = false;
  /// Whether the stream was ever suspended or buffered because its client read too slowly.
  bool is_slow_client = false;
  /// Time for which the next check of the request is scheduled; std::nullopt if none is.
  std::optional<base::time_point> next_check_at;
};

} // namespace spurrack::serving
