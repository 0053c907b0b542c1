/// Interface between the decisions of the serving path and the connections to clients and replicas:
/// events that the serving path receives from the connections, and commands that it gives them.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "serving/answer_fault.h"
#include "serving/replica_self_report.h"
#include "serving/request.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace spurrack::serving {

// --- events --------------------------------------------------------------------------------------

/// A request was read completely.
struct request_arrived {
  base::caller_id client = 0;
  std::shared_ptr<const request_content> content;
  /// Time at which the head of the request reached this machine; the deadline is relative to it.
  base::time_point arrived_at;
};
/// Why a client's connection ended before its answer was complete.
enum class disconnect_reason : std::uint8_t {
  closed,    ///< The client closed its connection, or the connection broke.
  unread,    ///< For too long the client read nothing.
  no_memory, ///< The client was the slowest reader when memory for answers ran out.
};
/// A client's connection ended before its answer was complete.
struct client_disconnected {
  base::caller_id client = 0;
  disconnect_reason reason = disconnect_reason::closed;
};
/// The flow control window of a client's stream closed or opened. It normally closes when the
/// client leaves too many bytes unread.
struct client_window {
  base::caller_id client = 0;
  /// Whether the window is open, so that the stream may be read from the replica.
  bool open = true;
};

/// Why a call ended without an answer for the client.
enum class call_failure : std::uint8_t {
  not_sent,     ///< No byte was written to the replica.
  may_have_run, ///< Bytes were written; it is unknown whether the replica ran the request.
  no_memory,    ///< The replica answered, but this node has no memory to buffer the answer.
};
/// A call ended without an answer for the client.
struct call_failed {
  base::call_id call = 0;
  call_failure failure = call_failure::may_have_run;
  /// Whether the connection was given up because the other side acknowledged nothing. This shows
  /// nothing about the replica: the path to it may be interrupted.
  bool has_timed_out = false;
  /// What was wrong with the answer, if the replica sent one that is none.
  answer_fault fault = answer_fault::none;
};
/// Memory reservation for an answer. Its bytes count against the memory budget of this process
/// until this object is destroyed.
class memory_reservation {
 public:
  memory_reservation() = default;
  memory_reservation(const memory_reservation&) = delete;
  memory_reservation& operator=(const memory_reservation&) = delete;
  virtual ~memory_reservation() = default;
};
/// Reading an answer was paused because there is no memory for it. The missing progress is no
/// evidence that the replica is unresponsive.
struct answer_paused {
  base::call_id call = 0;
};
/// Reading a paused answer was resumed because there is memory for it again.
struct answer_resumed {
  base::call_id call = 0;
};
/// A replica gave a complete answer.
struct call_answered {
  base::call_id call = 0;
  answer_head head;
  std::string body;
  /// Memory reservation of the body, kept as long as the body; may be null.
  std::shared_ptr<const memory_reservation> body_memory = nullptr;
  /// Whether the answer has neither a length nor chunks, so that only the end of its connection
  /// shows its end. The kernel also closes the connections of a replica that exits.
  bool ends_with_connection = false;
};
/// The head of a streamed answer arrived.
struct stream_opened {
  base::call_id call = 0;
  answer_head head;
  /// Whether the stream has neither a length nor chunks, so that it will end with its connection.
  bool ends_with_connection = false;
};
/// Bytes of a streamed answer arrived.
struct stream_bytes {
  base::call_id call = 0;
  std::string bytes;
};
/// A streamed answer ended.
struct stream_closed {
  base::call_id call = 0;
  /// Whether the end of the stream matches its framing, so that the answer is complete.
  bool complete = false;
  /// Whether the connection was given up because the other side acknowledged nothing.
  bool has_timed_out = false;
  /// Whether the stream has neither a length nor chunks, so that only the end of its connection
  /// shows its end. The kernel also closes the connections of a replica that exits.
  bool ends_with_connection = false;
  /// What was wrong with the answer, if it is not complete.
  answer_fault fault = answer_fault::none;
};

/// Why a piece has no result.
enum class piece_fault : std::uint8_t {
  none,
  late,           ///< The deadline of the piece had passed when the replica was about to run it.
  input_gone,     ///< A result that the piece needs no longer exists.
  out_of_memory,  ///< The replica has no free memory for the result.
  error,          ///< The replica failed to compute the result.
  not_run,        ///< The replica did not accept the call and ran no piece.
  lost,           ///< The call ended without an answer.
  expired,        ///< The deadline of the piece passed before the piece was sent to a replica.
  not_configured, ///< The configuration has no such stage service. Not reported to other nodes.
};
struct piece_outcome {
  piece_fault fault = piece_fault::none;
  /// Handle under which the result is stored; empty if there is a fault.
  std::string handle;
};
/// A call with pieces ended.
struct stage_call_ended {
  base::call_id call = 0;
  enum class result : std::uint8_t {
    answered,    ///< `pieces` holds one outcome for each piece, in the order of the call.
    refused,     ///< The replica is full or draining and ran no piece.
    misdirected, ///< Another replica has the called address.
    failed,      ///< No answer; the pieces may have been computed.
    not_sent,    ///< No byte was written to the replica.
  };
  result outcome = result::failed;
  std::vector<piece_outcome> pieces;
  /// Whether the connection was given up because the other side acknowledged nothing. This shows
  /// nothing about the replica: the path to it may be interrupted.
  bool has_timed_out = false;
};

/// The head of an answer of any kind arrived, and its body is not read yet. The event carries what
/// the head reports of the replica.
struct self_report_received {
  base::replica_id replica;
  /// Time at which the call was made; the replica wrote the report later.
  base::time_point call_started_at;
  replica_self_report report;
};

/// Result of opening a connection to a replica.
enum class probe_result : std::uint8_t {
  connected,    ///< A process listens at the replica's address.
  refused,      ///< No process listens at the replica's address.
  unresponsive, ///< No connection in time, or another error: the state of the replica is unknown.
};
/// A probe of a replica ended.
struct replica_probed {
  base::replica_id replica;
  probe_result result = probe_result::unresponsive;
  /// Time at which the probe began to connect; the epoch if it is not known.
  base::time_point began_at{};
};

// --- commands ------------------------------------------------------------------------------------

struct call_target {
  base::replica_id replica;
  base::network_address address;
};
struct start_call {
  base::call_id call = 0;
  call_target target;
  std::shared_ptr<const request_content> content;
  /// Time until the client's deadline.
  base::duration time_left{};
  /// Tenant of the request; empty if there is none.
  std::string tenant;
  /// Whether the target is another node, which serves the request as that of a client.
  bool passes_on = false;
  /// Number of attempts that a request that is passed on may use at the other node.
  std::uint32_t attempts_left = 0;
  /// Whether the answer is forwarded as it arrives; otherwise it is buffered until complete.
  bool streaming = false;
  /// Whether the request may run only once. Such a request is sent only on a new connection or on
  /// one that was idle only briefly: a replica may close a connection after a long idle time, and
  /// it would then be unknown whether the request ran.
  bool runs_at_most_once = false;
  /// Whether the request cannot be sent again if this call ends without an answer.
  bool is_last_attempt = false;
  /// Identifier of the last event that the client has received, if the call resumes a stream.
  std::optional<std::uint64_t> resume_after;
  /// Set if the call passes a stream on that began at this node's client attempt: id of the
  /// attempt.
  std::optional<base::request_id> first_attempt;
  /// Urgency of the request, from 0 (most urgent) to 9 (least urgent); std::nullopt for the
  /// replica's default.
  std::optional<std::uint32_t> urgency;
  /// Handles of the stage results that the request needs, in order.
  std::vector<std::string> inputs;
};
/// Cancels a call with a request or with pieces: closes its connection and ignores further bytes.
struct cancel_call {
  base::call_id call = 0;
};
/// Pauses reading a streamed answer until `resume_call`.
struct pause_call {
  base::call_id call = 0;
};
struct resume_call {
  base::call_id call = 0;
};
/// One piece of a stage, as part of a call.
struct piece_item {
  base::request_id request;
  std::uint32_t stage = 0;
  std::uint32_t piece = 0;
  /// Time until the deadline of the piece.
  base::duration time_left{};
  /// Key that the client sent for the pieces of its request. Empty if the stage of the piece needs
  /// results of other stages.
  std::string piece_key;
  /// Handles of the results of other stages that the piece needs.
  std::vector<std::string> inputs;
};
/// Sends a call with pieces to a replica.
struct start_stage_call {
  base::call_id call = 0;
  call_target target;
  std::vector<piece_item> items;
  /// Whether the pieces must not be sent to another replica while this one may still compute them.
  bool runs_at_most_once = false;
};
/// Frees stage results that are no longer needed, by their handles.
struct free_results {
  /// Replica that computed the results and holds them.
  call_target producer;
  std::vector<std::string> handles;
};

/// Closes the idle connections to an address, since another process now listens there.
struct close_connections {
  base::network_address address;
};

/// Opens a connection to a replica to learn whether it runs, and keeps the connection for later
/// calls.
struct probe_replica {
  call_target target;
};

/// Sends an answer to a client, and ends it.
struct respond {
  base::caller_id client = 0;
  /// Id of the request if spurrack itself answers; std::nullopt if the answer is a replica's.
  std::optional<base::request_id> locally_answered_request;
  unsigned status = 0;
  header_list headers;
  std::string body;
  /// Memory reservation of the body, kept as long as the body; may be null.
  std::shared_ptr<const memory_reservation> body_memory = nullptr;
  /// Whether the answer is sent without a length and ends with the client's connection, because its
  /// replica marked no end either: a length would state that the body is whole.
  bool ends_with_connection = false;
};
/// Begins a streamed answer.
struct open_stream {
  base::caller_id client = 0;
  unsigned status = 0;
  header_list headers;
  /// Whether the stream is sent without chunks and ends with the client's connection, because its
  /// replica marks no end either.
  bool ends_with_connection = false;
};
/// Sends further bytes of a streamed answer.
struct stream_data {
  base::caller_id client = 0;
  std::string bytes;
};
/// Continues to read a stream from the replica although the client does not read it, and buffers
/// the stream as far as memory allows.
struct read_ahead {
  base::caller_id client = 0;
};
/// Ends a streamed answer.
struct end_stream {
  base::caller_id client = 0;
  /// Whether the answer ends in order: with its last chunk, or with the end of its connection if it
  /// has no chunks. If not, the client sees that the answer was broken off: the last chunk is
  /// missing, or the connection is reset.
  bool complete = false;
};

using event =
    std::variant<request_arrived, client_disconnected, client_window, call_failed, answer_paused,
                 answer_resumed, call_answered, stream_opened, stream_bytes, stream_closed,
                 stage_call_ended, self_report_received, replica_probed>;
using command = std::variant<start_call, cancel_call, pause_call, resume_call, start_stage_call,
                             free_results, close_connections, probe_replica, respond, open_stream,
                             stream_data, read_ahead, end_stream>;
using command_list = std::vector<command>;

} // namespace spurrack::serving
