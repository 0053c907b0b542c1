#include "upstream/answer_reader.h"

#include "flow/stream_window.h"
#include "http/awaitable.h"
#include "upstream/body_reader.h"

#include <boost/beast/http.hpp>

#include <algorithm>
#include <chrono>

namespace spurrack::upstream {
namespace {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;

/// Maximum number of bytes of one read while memory is plentiful; other connections are served
/// between two reads. Equals the maximum write to a client (`max_write_bytes` in
/// http/ingress_server.cc).
constexpr std::size_t max_read_bytes = 16'384;
/// Maximum number of bytes of one read of a stream while memory is not plentiful: the smallest flow
/// control window of a stream.
constexpr std::size_t max_low_memory_read_bytes = flow::stream_window::min_window_bytes;
/// Memory is plentiful while less than this fraction of the byte budget is held.
constexpr double plentiful_utilization = 0.5;
/// Interval at which an answer that lacks memory retries the reservation: a tenth of the minimum
/// stall duration after which the answer of a slow reader is aborted.
constexpr std::chrono::milliseconds memory_retry_interval{200};
constexpr std::uint32_t max_answer_header_bytes = 65'536;
/// Maximum size of the body of an answer that is buffered until complete.
constexpr std::size_t max_whole_answer_bytes = 8'000'000;
/// Maximum number of interim answers (status 1xx) before an answer. At the next one, the call fails
/// and its connection is closed.
constexpr unsigned max_interim_answers = 16;
/// Maximum number of surplus answers (answers that belong to no call) that are skipped during one
/// call. At the next surplus answer, the call fails and its connection is closed.
constexpr unsigned max_surplus_answers = 4;

} // namespace

asio::awaitable<bool> answer_reader::read_head(const std::shared_ptr<call_state>& state,
                                               const outgoing_call& call,
                                               std::optional<response_parser>& parser) {
  auto& replica_connection = *state->replica_connection;
  unsigned interim = 0;
  for (unsigned surplus = 0; surplus <= max_surplus_answers;) {
    parser.emplace();
    parser->header_limit(max_answer_header_bytes);
    parser->body_limit(boost::none);
    parser->skip(call.content.method == "HEAD");
    boost::system::error_code error;
    co_await beast_http::async_read_header(replica_connection.stream, replica_connection.buffer,
                                           *parser, http::await_into(error));
    state->note_connection_error(error);
    if (!error) {
      state->fault = fault_of_head(*parser);
    } else if (is_malformed(error)) {
      state->fault = serving::answer_fault::invalid_head;
    }
    if (error || state->is_cancelled || state->fault != serving::answer_fault::none) {
      co_return false;
    }
    if (is_interim(parser->get().result_int())) {
      if (++interim > max_interim_answers) {
        state->fault = serving::answer_fault::invalid_head;
        co_return false;
      }
      continue;
    }
    if (is_answer_of(call, *parser)) {
      co_return true;
    }
    ++surplus;
    ++counters_->surplus_answers;
    buffered_answer ignored;
    const bool is_complete = co_await read_body(state, *parser, ignored);
    if (!is_complete || !parser->keep_alive()) {
      co_return false;
    }
  }
  co_return false;
}

serving::answer_head answer_reader::head_of(const response_parser& parser,
                                            const outgoing_call& call) {
  auto raw = raw_answer_of(parser);
  auto self_report = codec_->read_self_report(raw);
  if (self_report) {
    counters_->unreadable_loads += self_report->is_load_unreadable ? 1 : 0;
    self_report->closes_connection = self_report->closes_connection || !parser.keep_alive();
    handler_(serving::self_report_received{call.target.replica, call.started_at, *self_report});
  }
  return codec_->read_answer(std::move(raw));
}

asio::awaitable<bool> answer_reader::read_body(const std::shared_ptr<call_state>& state,
                                               response_parser& parser, buffered_answer& answer) {
  auto& body = answer.body;
  answer.reservation = std::make_shared<answer_reservation>(answer_queue_, state->replica);
  const auto length = parser.content_length().value_or(0);
  const auto max_bytes = parser.content_length() ? max_whole_answer_bytes : max_undeclared_bytes();
  if (length > max_whole_answer_bytes) {
    state->fault = serving::answer_fault::too_long;
    co_return false;
  }
  const bool has_memory = co_await wait_for_memory(state, *answer.reservation, length);
  if (!has_memory) {
    co_return false;
  }
  body.reserve(length + max_read_bytes);
  while (!parser.is_done()) {
    const auto error =
        co_await read_some_body(*state->replica_connection, parser, max_read_bytes, body);
    state->note_connection_error(error);
    if (body.size() > max_bytes) {
      state->fault = serving::answer_fault::too_long;
    } else if (is_malformed(error)) {
      state->fault = serving::answer_fault::invalid_body;
    }
    if (error || state->is_cancelled || state->fault != serving::answer_fault::none) {
      co_return false;
    }
    if (body.size() > answer.reservation->bytes()) {
      const auto missing_bytes = body.size() - answer.reservation->bytes();
      const bool is_granted = co_await wait_for_memory(state, *answer.reservation, missing_bytes);
      if (!is_granted) {
        co_return false;
      }
    }
  }
  answer.reservation->end_receipt();
  co_return co_await confirm_end(state, parser);
}

std::size_t answer_reader::max_undeclared_bytes() const {
  return std::min(max_whole_answer_bytes, answer_queue_->max_undeclared_bytes());
}

asio::awaitable<bool> answer_reader::confirm_end(const std::shared_ptr<call_state>& state,
                                                 const response_parser& parser) {
  if (!parser.need_eof()) {
    co_return true;
  }
  // The replica sends nothing any more, so the call waits no longer than for a silent replica.
  use_tcp_user_timeout(*state->replica_connection, default_tcp_user_timeout);
  boost::system::error_code ignored;
  while (!state->write_result && !state->is_cancelled) {
    state->wake.expires_at(asio::steady_timer::time_point::max());
    co_await state->wake.async_wait(http::await_into(ignored));
  }
  if (!state->is_cancelled && state->was_reset_before_end()) {
    state->fault = serving::answer_fault::reset_before_end;
  }
  co_return !state->is_cancelled && state->fault == serving::answer_fault::none;
}

std::size_t answer_reader::stream_read_bytes() const {
  return budget_->utilization() < plentiful_utilization ? max_read_bytes
                                                        : max_low_memory_read_bytes;
}

bool answer_reader::is_answer_of(const outgoing_call& call, const response_parser& parser) const {
  const auto named = codec_->answered_call(raw_answer_of(parser).headers);
  return named ? *named == call.carried_id : !call.is_id_required;
}

asio::awaitable<bool> answer_reader::wait_for_memory(const std::shared_ptr<call_state>& state,
                                                     answer_reservation& reservation,
                                                     std::size_t bytes) {
  boost::system::error_code ignored;
  bool has_reported_pause = false;
  while (bytes > 0 && !state->is_cancelled) {
    const auto grow_result = reservation.grow(bytes);
    if (grow_result == flow::memory_request_result::granted) {
      break;
    }
    if (grow_result == flow::memory_request_result::abort_answer) {
      state->lacked_memory = true;
      co_return false;
    }
    if (!std::exchange(has_reported_pause, true)) {
      handler_(serving::answer_paused{state->id});
    }
    state->wake.expires_after(memory_retry_interval);
    co_await state->wake.async_wait(http::await_into(ignored));
  }
  if (has_reported_pause && !state->is_cancelled) {
    handler_(serving::answer_resumed{state->id});
  }
  co_return !state->is_cancelled;
}

} // namespace spurrack::upstream
