/// One call to a replica: its state while it is under way, its content, and the answer that is
/// buffered for it.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "flow/answer_memory_reservation.h"
#include "serving/events.h"
#include "serving/request_codec.h"
#include "upstream/body_reader.h"
#include "upstream/connection_pool.h"

#include <boost/asio/error.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace spurrack::upstream {

/// Idle timeout of a connection to a replica that announces no timeout.
inline constexpr std::chrono::seconds default_idle_timeout{4};
/// Margin before the end of a replica's idle timeout: within it, an idle connection is not used,
/// because the replica might close the connection while a call is sent.
inline constexpr std::chrono::milliseconds idle_timeout_margin{700};

/// Time after which the kernel closes the connection to a replica that acknowledges neither bytes
/// nor keep-alive probes, or that keeps its receive window closed: three retransmissions, after
/// 0.2, 0.4 and 0.8 s, have failed by then. Applies to idle connections, and to calls that can be
/// repeated at another replica.
inline constexpr std::chrono::milliseconds default_tcp_user_timeout{1'500};

/// State of an active call.
struct call_state {
  /// Id of the call; 0 if the call has no final event.
  base::call_id id = 0;
  explicit call_state(boost::asio::io_context& io)
      : wake(io, boost::asio::steady_timer::time_point::max()) {}
  base::replica_id replica;
  std::shared_ptr<connection> replica_connection;
  /// Cancelled to wake the coroutine of the call when `is_paused` or `is_cancelled` changes.
  boost::asio::steady_timer wake;
  bool is_paused = false;
  bool is_cancelled = false;
  bool has_sent_bytes = false;
  /// Whether the answer was aborted for lack of memory.
  bool lacked_memory = false;
  /// Result of the write of the call; std::nullopt while the call is being written.
  std::optional<boost::system::error_code> write_result;
  /// What was wrong with the answer, if the replica sent one that is none.
  serving::answer_fault fault = serving::answer_fault::none;
  /// Whether the kernel gave up the connection because the replica acknowledged nothing.
  bool has_timed_out = false;

  /// Notes an error of a read or a write. If both are under way, the kernel reports the cause of
  /// the end of the connection to only one of them.
  /// @return whether the complete call was written.
  [[nodiscard]] bool is_written() const { return write_result && !*write_result; }
  /// @return whether the write shows that the connection was reset before the replica had ended its
  ///         answer. The kernel reports a reset to one of the read and the write under way, and the
  ///         end of the connection to the other; after an end by the replica, it reports a broken
  ///         pipe.
  [[nodiscard]] bool was_reset_before_end() const {
    return write_result && *write_result && *write_result != boost::asio::error::broken_pipe;
  }
  void note_connection_error(const boost::system::error_code& error) {
    has_timed_out = has_timed_out || error == boost::asio::error::timed_out ||
                    error == boost::asio::error::host_unreachable;
  }
};

/// A call to send, and the requirements for its connection and answer.
struct outgoing_call {
  base::call_id id = 0;
  serving::call_target target;
  serving::encoded_call content;
  /// Id that the call carries on the wire. An answer that names another id belongs to another call.
  std::string carried_id;
  /// Whether an answer that names no id belongs to no call.
  bool is_id_required = true;
  bool is_streaming = false;
  /// Idle time that a pooled connection must have for this call.
  idle_time_bounds idle_time;
  base::time_point started_at = base::boot_clock::now();
  /// Time until the deadline of the call, from `started_at`.
  base::duration time_left{};
  /// Whether the call cannot be repeated at another replica, since it may run only once or its
  /// client has received events of its stream. Such a call waits for a silent replica until its
  /// deadline.
  bool must_stay = false;
};

/// @return the time after which the kernel may close the connection of a call whose replica
///         acknowledges nothing: no earlier than the deadline of a call that must stay.
[[nodiscard]] std::chrono::milliseconds tcp_user_timeout_of(const outgoing_call& call,
                                                            base::time_point now);
/// Sets the TCP user timeout of a connection, unless it is set already.
void use_tcp_user_timeout(connection& replica_connection, std::chrono::milliseconds timeout);

/// Memory reservation of an answer. All holders of the answer's body share it; the memory is
/// released when the last holder is destroyed.
class answer_reservation final : public serving::memory_reservation {
 public:
  /// @param replica that sends the answer.
  answer_reservation(std::shared_ptr<flow::answer_memory_queue> queue,
                     const base::replica_id& replica)
      : memory_(std::move(queue), replica.text()) {}
  [[nodiscard]] flow::memory_request_result grow(std::size_t bytes) { return memory_.grow(bytes); }
  /// Records that the whole answer was received.
  void end_receipt() { memory_.end_receipt(); }
  [[nodiscard]] std::size_t bytes() const { return memory_.bytes(); }

 private:
  flow::answer_memory_reservation memory_;
};

/// An answer that is buffered until complete.
struct buffered_answer {
  serving::answer_head head;
  std::string body;
  std::shared_ptr<answer_reservation> reservation;
  /// Whether only the end of the connection showed the end of the answer.
  bool ends_with_connection = false;
};

/// @return the head of a call in its wire format, with the length of its body.
[[nodiscard]] std::string serialize_head(const serving::encoded_call& content);
/// @return status and header fields of an answer.
[[nodiscard]] serving::raw_answer raw_answer_of(const response_parser& parser);
/// @return the idle timeout of the replica's connection, shortened by `idle_timeout_margin`. The
///         idle timeout is the one that the replica announces in Keep-Alive; if it announces none,
///         `default_idle_timeout`.
[[nodiscard]] base::duration idle_timeout_of(const response_parser& parser);
/// @return whether a status announces another answer to the same call.
[[nodiscard]] bool is_interim(unsigned status);
/// @return whether an error of a read shows bytes that are no answer, and no failure of the
///         connection.
[[nodiscard]] bool is_malformed(const boost::system::error_code& read_error);
/// @return what is wrong with the head of an answer: its status, or a transfer coding that this
/// node
///         does not undo.
[[nodiscard]] serving::answer_fault fault_of_head(const response_parser& parser);

} // namespace spurrack::upstream
