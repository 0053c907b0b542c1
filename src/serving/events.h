/// What happens to the serving path and what it asks for: the seam between its decisions and the
/// connections to clients and replicas.
#pragma once

#include "base/ids.h"
#include "base/time.h"
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

/// A request was read whole.
struct request_arrived {
  base::caller_id client = 0;
  std::shared_ptr<const request_content> content;
  /// When its head reached this machine; deadlines count from here.
  base::time_point arrived_at;
};
/// Why a client got no more of its answer.
enum class disconnect_reason : std::uint8_t {
  closed,    ///< It closed its connection, or the connection broke.
  unread,    ///< It took nothing for too long.
  no_memory, ///< It was the slowest reader when an answer found no room.
};
/// A client's connection ended before its answer was complete.
struct client_disconnected {
  base::caller_id client = 0;
  disconnect_reason reason = disconnect_reason::closed;
};
/// A client of a stream takes less than its replica gives, or has caught up.
struct client_window {
  base::caller_id client = 0;
  /// Whether the replica's side may be read on.
  bool open = true;
};

/// What is known of a call that brought no answer.
enum class call_failure : std::uint8_t {
  not_sent,     ///< No byte was written to the replica.
  may_have_run, ///< Bytes were written; whether the replica worked on them is not known.
  no_memory,    ///< The replica answers, but this node has no memory to gather the answer.
};
/// A call ended without an answer.
struct call_failed {
  base::call_id call = 0;
  call_failure failure = call_failure::may_have_run;
};
/// Bytes of an answer that are counted against the memory of this process for as long as it lives.
class held_memory {
 public:
  held_memory() = default;
  held_memory(const held_memory&) = delete;
  held_memory& operator=(const held_memory&) = delete;
  virtual ~held_memory() = default;
};
/// An answer arrives and is not read on, since there is no memory for it now: that nothing more is
/// heard says nothing of its replica.
struct answer_paused {
  base::call_id call = 0;
};
/// There is memory again for an answer that was paused: it is read on.
struct answer_resumed {
  base::call_id call = 0;
};
/// A replica answered whole.
struct call_answered {
  base::call_id call = 0;
  answer_head head;
  std::string body;
  /// Goes with the body; may be null.
  std::shared_ptr<const held_memory> held = nullptr;
};
/// The head of a streamed answer arrived.
struct stream_opened {
  base::call_id call = 0;
  answer_head head;
};
struct stream_bytes {
  base::call_id call = 0;
  std::string bytes;
};
/// A streamed answer ended.
struct stream_closed {
  base::call_id call = 0;
  /// It ended as its framing says a whole answer ends.
  bool complete = false;
};

/// Why a piece brought no result.
enum class piece_fault : std::uint8_t {
  none,
  late,          ///< Its time was over at its turn.
  input_gone,    ///< A result it needs no longer exists.
  out_of_memory, ///< The replica has no room for the result.
  error,         ///< The replica could not make it.
  not_run,       ///< The replica took no call; nothing was done.
  lost,          ///< The call brought no answer.
  expired,       ///< Its time was over before it was handed to a replica.
};
/// Result of one piece.
struct piece_outcome {
  piece_fault fault = piece_fault::none;
  /// Where the result lies; empty where there is a fault.
  std::string handle;
};
/// A call that holds pieces ended.
struct stage_call_ended {
  base::call_id call = 0;
  enum class result : std::uint8_t {
    answered,    ///< `pieces` holds one outcome for each piece, in the order asked.
    refused,     ///< The replica is full or leaving and did nothing.
    misdirected, ///< Another replica has this address.
    failed,      ///< No answer; the pieces may have been made.
    not_sent,    ///< No byte was written.
  };
  result how = result::failed;
  std::vector<piece_outcome> pieces;
};

/// The head of an answer of any kind came: what it says of its replica, before its body is read.
struct self_report_received {
  base::replica_id replica;
  /// When its call was made: the replica said so later than that.
  base::time_point call_started_at;
  replica_self_report report;
};

/// What came of asking a replica for a connection.
enum class probe_result : std::uint8_t {
  connected,    ///< Something listens at its address.
  refused,      ///< Nothing does.
  unresponsive, ///< No answer in time, or another error: nothing is known.
};
/// A replica was asked for a connection.
struct replica_probed {
  base::replica_id replica;
  probe_result result = probe_result::unresponsive;
};

// --- commands ------------------------------------------------------------------------------------

/// Who is called.
struct call_target {
  base::replica_id replica;
  base::network_address address;
};
/// Send a request to a replica.
struct start_call {
  base::call_id call = 0;
  call_target target;
  std::shared_ptr<const request_content> content;
  /// What is left of the time the client waits.
  base::duration time_left{};
  /// Empty where the request belongs to no tenant.
  std::string tenant;
  /// The answer is passed on as it comes; otherwise it is gathered whole.
  bool streaming = false;
  /// An ambiguous close must not happen for want of care: use a connection that is fresh enough.
  bool runs_at_most_once = false;
  std::optional<std::uint64_t> resume_after;
  /// 0 (first) to 9 (last); nothing where the replica's default serves.
  std::optional<std::uint32_t> urgency;
  /// Results of the stages the request needs, in order.
  std::vector<std::string> inputs;
};
/// Give up a call of either kind: close its connection, ignore what still comes.
struct cancel_call {
  base::call_id call = 0;
};
/// Read no more of a streamed answer until further notice.
struct pause_call {
  base::call_id call = 0;
};
struct resume_call {
  base::call_id call = 0;
};
/// One piece in a call.
struct piece_item {
  base::request_id request;
  std::uint32_t stage = 0;
  std::uint32_t piece = 0;
  base::duration time_left{};
  /// Set for stages that need no results of others.
  std::string piece_key;
  std::vector<std::string> inputs;
};
struct start_stage_call {
  base::call_id call = 0;
  call_target target;
  std::vector<piece_item> items;
};
/// Results that nobody needs any more.
struct free_results {
  /// Replica that made them.
  call_target maker;
  std::vector<std::string> handles;
};

/// Close the connections that rest at an address: the process there is another one now.
struct close_connections {
  base::network_address address;
};

/// Ask a replica for a connection, which is kept for later calls.
struct probe_replica {
  call_target target;
};

/// Answer a client with a whole answer.
struct respond {
  base::caller_id client = 0;
  /// The request, where the answer is spurrack's own and not a replica's.
  std::optional<base::request_id> own_answer_to;
  unsigned status = 0;
  header_list headers;
  std::string body;
  /// Goes with the body; may be null.
  std::shared_ptr<const held_memory> held = nullptr;
};
/// Begin a streamed answer.
struct open_stream {
  base::caller_id client = 0;
  unsigned status = 0;
  header_list headers;
};
struct stream_data {
  base::caller_id client = 0;
  std::string bytes;
};
/// Take in what the replica gives although the client does not read, as far as memory allows.
struct read_ahead {
  base::caller_id client = 0;
};
struct end_stream {
  base::caller_id client = 0;
  /// Where not, the connection is broken off so that the answer cannot look complete.
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
