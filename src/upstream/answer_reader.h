/// Reads the answers of replicas: tells the answer to a call from others on its connection, decodes
/// its head, and buffers its body within the byte budget.
#pragma once

#include "flow/answer_memory_reservation.h"
#include "flow/byte_budget.h"
#include "serving/request_codec.h"
#include "upstream/client_reports.h"
#include "upstream/replica_call.h"

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <utility>

namespace spurrack::upstream {

/// Not thread-safe. Must outlive its coroutines.
class answer_reader {
 public:
  /// @param codec must outlive this object.
  /// @param handler receives the self-reports of replicas, and the pauses for lack of memory.
  /// @param counters counts surplus answers and unreadable loads; must outlive this object.
  answer_reader(const serving::request_codec& codec, std::shared_ptr<flow::byte_budget> budget,
                event_handler handler, connection_counters& counters)
      : codec_(&codec), budget_(std::move(budget)),
        answer_queue_(std::make_shared<flow::answer_memory_queue>(budget_)),
        handler_(std::move(handler)), counters_(&counters) {}

  /// Reads the head of the answer to the call; skips interim answers and surplus answers.
  /// @return whether the head was read.
  boost::asio::awaitable<bool> read_head(const std::shared_ptr<call_state>& state,
                                         const outgoing_call& call,
                                         std::optional<response_parser>& parser);
  /// Decodes the head of an answer, and passes what the head reports about the replica to the event
  /// handler.
  serving::answer_head head_of(const response_parser& parser, const outgoing_call& call);
  /// Reads the rest of the body of an answer; waits until memory is available as needed.
  /// @return whether the body is complete, and its connection did not end too early (see
  ///         `confirm_end`).
  boost::asio::awaitable<bool> read_body(const std::shared_ptr<call_state>& state,
                                         response_parser& parser, buffered_answer& answer);
  /// Waits until it is known whether the answer was whole when its connection ended: until the call
  /// is written or the write failed. Returns at once for an answer with a length or chunks.
  /// @return false, with the fault noted, if the connection was reset before the end of the answer.
  static boost::asio::awaitable<bool> confirm_end(const std::shared_ptr<call_state>& state,
                                                  const response_parser& parser);
  /// @return maximum number of bytes of one read of a stream.
  [[nodiscard]] std::size_t stream_read_bytes() const;

 private:
  /// @return maximum size of the body of a buffered answer that does not declare its length.
  [[nodiscard]] std::size_t max_undeclared_bytes() const;
  /// @return whether an answer belongs to a call, and not to an earlier one on its connection.
  [[nodiscard]] bool is_answer_of(const outgoing_call& call, const response_parser& parser) const;
  /// Waits until `bytes` more bytes are reserved for an answer. Meanwhile nothing is read from the
  /// replica. Reports this pause, so that the missing progress does not count as evidence that the
  /// replica is unresponsive.
  /// @return false if the call was cancelled, or if the answer must be aborted because an answer
  ///         that has waited longer needs its memory.
  boost::asio::awaitable<bool> wait_for_memory(const std::shared_ptr<call_state>& state,
                                               answer_reservation& reservation, std::size_t bytes);

  const serving::request_codec* codec_;
  std::shared_ptr<flow::byte_budget> budget_;
  std::shared_ptr<flow::answer_memory_queue> answer_queue_;
  event_handler handler_;
  connection_counters* counters_;
};

} // namespace spurrack::upstream
