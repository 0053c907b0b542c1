#include "upstream/replica_client.h"

#include "flow/answer_memory_reservation.h"
#include "flow/stream_window.h"
#include "http/awaitable.h"
#include "http/endpoint.h"
#include "http/socket_options.h"
#include "serving/answer_status.h"
#include "upstream/body_reader.h"
#include "upstream/connection_pool.h"
#include "upstream/replica_call.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <unordered_map>
#include <utility>
#include <vector>

namespace spurrack::upstream {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
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
/// Time for which a pooled connection must have been idle before it carries a call that may run
/// only once, or a call that cannot recognize a surplus answer: if the replica sends bytes after a
/// complete answer, they arrive within this time, and the connection is closed.
constexpr std::chrono::milliseconds surplus_settle_time{5};
constexpr std::chrono::seconds free_results_timeout{2};

/// @return the time until the latest deadline of the pieces of a call.
base::duration longest_time_left(const std::vector<serving::piece_item>& items) {
  base::duration longest{};
  for (const auto& item : items) {
    longest = std::max(longest, item.time_left);
  }
  return longest;
}

class replica_client_impl final : public replica_client {
 public:
  replica_client_impl(asio::io_context& io, const serving::request_codec& codec,
                      const serving::serving_settings& settings,
                      std::shared_ptr<flow::byte_budget> budget, event_handler handler)
      : io_(&io), codec_(&codec), settings_(settings), budget_(std::move(budget)),
        answer_queue_(std::make_shared<flow::answer_memory_queue>(budget_)),
        handler_(std::move(handler)) {}

  void start(serving::start_call command) override {
    outgoing_call call{
        command.call, command.target,    codec_->encode(command),      command.content->id.text(),
        true,         command.streaming, {{}, settings_.max_idle_time}};
    call.time_left = command.time_left;
    call.must_stay =
        command.runs_at_most_once || command.resume_after.has_value() || command.is_last_attempt;
    if (command.runs_at_most_once) {
      call.idle_time = {surplus_settle_time, settings_.single_run_max_idle_time};
    }
    asio::co_spawn(*io_, run_request(register_call(command.call), std::move(call)), asio::detached);
  }

  void start(serving::start_stage_call command) override {
    auto call = own_call(command.call, command.target, command);
    call.time_left = longest_time_left(command.items);
    call.must_stay = command.runs_at_most_once;
    auto state = register_call(command.call);
    asio::co_spawn(*io_, run_pieces(std::move(state), std::move(call), std::move(command)),
                   asio::detached);
  }

  void start(serving::free_results command) override {
    asio::co_spawn(*io_, run_free_results(own_call(0, command.producer, command)), asio::detached);
  }

  void probe(serving::call_target target) override {
    asio::co_spawn(*io_, run_probe(std::move(target)), asio::detached);
  }

  void pause(base::call_id call) override { set_paused(call, true); }
  void resume(base::call_id call) override { set_paused(call, false); }

  void cancel(base::call_id call) override {
    const auto found = calls_.find(call);
    if (found == calls_.end()) {
      return;
    }
    found->second->is_cancelled = true;
    found->second->wake.cancel();
    if (found->second->replica_connection) {
      found->second->replica_connection->stream.close();
    }
    calls_.erase(found);
  }

  void close_idle(const base::network_address& address) override { pool_.close_idle(address); }

  [[nodiscard]] const connection_counters& counts() const override { return counters_; }

 private:
  /// @return a call of this node itself, which carries no request of a client. The answers of some
  ///         replicas name no id then.
  template <typename command_type>
  outgoing_call own_call(base::call_id call, const serving::call_target& target,
                         const command_type& command) {
    const auto id = "n" + std::to_string(++own_calls_);
    return {call,
            target,
            codec_->encode(command, id),
            id,
            false,
            false,
            {surplus_settle_time, settings_.max_idle_time}};
  }

  /// @return whether an answer belongs to a call, and not to an earlier one on its connection.
  [[nodiscard]] bool is_answer_of(const outgoing_call& call, const response_parser& parser) const {
    const auto named = codec_->answered_call(raw_answer_of(parser).headers);
    return named ? *named == call.carried_id : !call.is_id_required;
  }

  std::shared_ptr<call_state> register_call(base::call_id id) {
    auto state = std::make_shared<call_state>(*io_);
    state->id = id;
    calls_[id] = state;
    return state;
  }

  void set_paused(base::call_id call, bool is_paused) {
    const auto found = calls_.find(call);
    if (found != calls_.end()) {
      found->second->is_paused = is_paused;
      found->second->wake.cancel();
    }
  }

  /// Waits while the call is paused; stops waiting if the call is cancelled.
  static asio::awaitable<void> wait_while_paused(const std::shared_ptr<call_state>& state) {
    boost::system::error_code ignored;
    while (state->is_paused && !state->is_cancelled) {
      state->wake.expires_at(asio::steady_timer::time_point::max());
      co_await state->wake.async_wait(http::await_into(ignored));
    }
  }

  /// Waits until `bytes` more bytes are reserved for an answer. Meanwhile nothing is read from the
  /// replica. Reports this pause, so that the missing progress does not count as evidence that the
  /// replica is unresponsive.
  /// @return false if the call was cancelled, or if the answer must be aborted because an answer
  ///         that has waited longer needs its memory.
  asio::awaitable<bool> wait_for_memory(const std::shared_ptr<call_state>& state,
                                        answer_reservation& reservation, std::size_t bytes) {
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

  /// Does nothing if the call was cancelled. Otherwise, removes the call and reports its final
  /// event.
  void report(const std::shared_ptr<call_state>& state, base::call_id id,
              serving::event final_event) {
    if (!state->is_cancelled) {
      calls_.erase(id);
      handler_(std::move(final_event));
    }
  }

  /// Takes an idle connection from the pool or opens a new connection. @return whether the call has
  /// a connection.
  asio::awaitable<bool> connect(const std::shared_ptr<call_state>& state,
                                const outgoing_call& call) {
    state->replica_connection =
        pool_.take(call.target.address, call.idle_time, base::boot_clock::now());
    if (state->replica_connection) {
      ++counters_.reused;
      use_tcp_user_timeout(*state->replica_connection,
                           tcp_user_timeout_of(call, base::boot_clock::now()));
      co_return true;
    }
    state->replica_connection = std::make_shared<connection>(*io_);
    const auto error = co_await open_connection(call.target.address, *state->replica_connection,
                                                tcp_user_timeout_of(call, base::boot_clock::now()));
    co_return !error && !state->is_cancelled;
  }

  /// Opens a new connection. @return the error, if any.
  /// @param timeout TCP user timeout of the connection.
  asio::awaitable<boost::system::error_code> open_connection(const base::network_address& address,
                                                             connection& replica_connection,
                                                             std::chrono::milliseconds timeout) {
    const auto endpoint = http::parse_endpoint(address.text());
    if (!endpoint) {
      co_return asio::error::invalid_argument;
    }
    ++counters_.opened;
    boost::system::error_code error;
    replica_connection.stream.expires_after(settings_.connect_timeout);
    co_await replica_connection.stream.async_connect(*endpoint, http::await_into(error));
    if (error) {
      co_return error;
    }
    replica_connection.stream.expires_never();
    http::set_tcp_options(replica_connection.stream.socket(), timeout);
    replica_connection.tcp_user_timeout = timeout;
    // Bodies are read after the kernel reports that bytes have arrived, without blocking.
    replica_connection.stream.socket().non_blocking(true, error);
    co_return error;
  }

  asio::awaitable<void> run_probe(serving::call_target target) {
    const auto began_at = base::boot_clock::now();
    const auto replica_connection = std::make_shared<connection>(*io_);
    const auto error =
        co_await open_connection(target.address, *replica_connection, default_tcp_user_timeout);
    auto result = serving::probe_result::unresponsive;
    if (!error) {
      result = serving::probe_result::connected;
      pool_.give_back(target.address, replica_connection,
                      default_idle_timeout - idle_timeout_margin, base::boot_clock::now());
    } else if (error == asio::error::connection_refused) {
      result = serving::probe_result::refused;
    }
    handler_(serving::replica_probed{target.replica, result, began_at});
  }

  /// Writes a call while its answer is already being read: a replica may answer before it has read
  /// the complete call.
  static asio::awaitable<void> write(std::shared_ptr<call_state> state, std::string head,
                                     std::string body) {
    boost::system::error_code error;
    state->has_sent_bytes = true;
    const auto replica_connection = state->replica_connection;
    const std::array<asio::const_buffer, 2> text{asio::buffer(head), asio::buffer(body)};
    co_await asio::async_write(replica_connection->stream, text, http::await_into(error));
    state->is_written = !error;
    state->write_failed = error.failed();
    state->note_connection_error(error);
  }

  /// Connects and begins to write. Moves the body of the call to the coroutine that writes the
  /// call, so that the body is freed when the write ends.
  /// @return whether the write has begun.
  asio::awaitable<bool> send(const std::shared_ptr<call_state>& state, outgoing_call& call) {
    const bool connected = co_await connect(state, call);
    if (!connected || state->is_cancelled) {
      co_return false;
    }
    auto head = serialize_head(call.content);
    asio::co_spawn(*io_, write(state, std::move(head), std::move(call.content.body)),
                   asio::detached);
    co_return true;
  }

  /// Reads the head of the answer to the call; skips interim answers and surplus answers.
  /// @return whether the head was read.
  asio::awaitable<bool> read_head(const std::shared_ptr<call_state>& state,
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
      if (error || state->is_cancelled) {
        co_return false;
      }
      if (is_interim(parser->get().result_int())) {
        if (++interim > max_interim_answers) {
          co_return false;
        }
        continue;
      }
      if (is_answer_of(call, *parser)) {
        co_return true;
      }
      ++surplus;
      ++counters_.surplus_answers;
      buffered_answer ignored;
      const bool is_complete = co_await read_body(state, *parser, ignored);
      if (!is_complete || !parser->keep_alive()) {
        co_return false;
      }
    }
    co_return false;
  }

  [[nodiscard]] std::size_t stream_read_bytes() const {
    return budget_->utilization() < plentiful_utilization ? max_read_bytes
                                                          : max_low_memory_read_bytes;
  }

  /// Reads the rest of the body of an answer; waits until memory is available as needed. @return
  /// whether the body is complete.
  asio::awaitable<bool> read_body(const std::shared_ptr<call_state>& state, response_parser& parser,
                                  buffered_answer& answer) {
    auto& body = answer.body;
    answer.reservation = std::make_shared<answer_reservation>(answer_queue_);
    const auto length = parser.content_length().value_or(0);
    if (length > max_whole_answer_bytes) {
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
      if (error || state->is_cancelled || body.size() > max_whole_answer_bytes) {
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
    co_return true;
  }

  /// Returns the connection to the pool if it can carry another call; closes it otherwise.
  void keep_or_close(const std::shared_ptr<call_state>& state, const outgoing_call& call,
                     const response_parser& parser) {
    auto& replica_connection = *state->replica_connection;
    const bool is_reusable = state->is_written && parser.is_done() && parser.keep_alive() &&
                             !parser.need_eof() && replica_connection.buffer.size() == 0;
    if (is_reusable) {
      // An idle connection needs no buffer.
      replica_connection.buffer.shrink_to_fit();
      // Keep-alive probes find a dead idle connection within the default timeout.
      use_tcp_user_timeout(replica_connection, default_tcp_user_timeout);
      pool_.give_back(call.target.address, state->replica_connection, idle_timeout_of(parser),
                      base::boot_clock::now());
    } else {
      replica_connection.stream.close();
    }
  }

  /// Decodes the head of an answer, and passes what the head reports about the replica to the event
  /// handler.
  serving::answer_head head_of(const response_parser& parser, const outgoing_call& call) {
    auto raw = raw_answer_of(parser);
    auto self_report = codec_->read_self_report(raw);
    if (self_report) {
      counters_.unreadable_loads += self_report->is_load_unreadable ? 1 : 0;
      self_report->closes_connection = self_report->closes_connection || !parser.keep_alive();
      handler_(serving::self_report_received{call.target.replica, call.started_at, *self_report});
    }
    return codec_->read_answer(std::move(raw));
  }

  asio::awaitable<std::optional<buffered_answer>> exchange(std::shared_ptr<call_state> state,
                                                           outgoing_call& call) {
    std::optional<response_parser> parser;
    buffered_answer answer;
    bool succeeded = co_await send(state, call);
    if (succeeded) {
      succeeded = co_await read_head(state, call, parser);
    }
    if (succeeded) {
      answer.head = head_of(*parser, call);
      succeeded = co_await read_body(state, *parser, answer);
    }
    if (!succeeded) {
      close(state);
      co_return std::nullopt;
    }
    answer.ends_with_connection = parser->need_eof();
    keep_or_close(state, call, *parser);
    co_return answer;
  }

  static void close(const std::shared_ptr<call_state>& state) {
    if (state->replica_connection) {
      state->replica_connection->stream.close();
    }
  }

  static serving::call_failure failure_of(const std::shared_ptr<call_state>& state) {
    if (state->lacked_memory) {
      return serving::call_failure::no_memory;
    }
    return state->has_sent_bytes ? serving::call_failure::may_have_run
                                 : serving::call_failure::not_sent;
  }

  asio::awaitable<void> run_request(std::shared_ptr<call_state> state, outgoing_call call) {
    if (call.is_streaming) {
      co_await run_stream(std::move(state), std::move(call));
      co_return;
    }
    auto answer = co_await exchange(state, call);
    if (!answer) {
      report(state, call.id,
             serving::call_failed{call.id, failure_of(state), state->has_timed_out});
    } else {
      report(state, call.id,
             serving::call_answered{call.id, std::move(answer->head), std::move(answer->body),
                                    std::move(answer->reservation), answer->ends_with_connection});
    }
  }

  asio::awaitable<void> run_stream(std::shared_ptr<call_state> state, outgoing_call call) {
    std::optional<response_parser> parser;
    bool succeeded = co_await send(state, call);
    if (succeeded) {
      succeeded = co_await read_head(state, call, parser);
    }
    if (!succeeded) {
      close(state);
      report(state, call.id,
             serving::call_failed{call.id, failure_of(state), state->has_timed_out});
      co_return;
    }
    auto head = head_of(*parser, call);
    if (!serving::is_success(head.status)) {
      buffered_answer answer;
      const bool is_complete = co_await read_body(state, *parser, answer);
      if (is_complete) {
        keep_or_close(state, call, *parser);
        report(state, call.id,
               serving::call_answered{call.id, std::move(head), std::move(answer.body),
                                      std::move(answer.reservation), parser->need_eof()});
      } else {
        close(state);
        report(state, call.id,
               serving::call_failed{call.id, failure_of(state), state->has_timed_out});
      }
      co_return;
    }
    call.must_stay = true;
    use_tcp_user_timeout(*state->replica_connection,
                         tcp_user_timeout_of(call, base::boot_clock::now()));
    handler_(serving::stream_opened{call.id, std::move(head), parser->need_eof()});
    co_await forward_stream(state, call, *parser);
  }

  asio::awaitable<void> forward_stream(const std::shared_ptr<call_state>& state,
                                       const outgoing_call& call, response_parser& parser) {
    bool is_complete = true;
    while (is_complete && !parser.is_done()) {
      co_await wait_while_paused(state);
      if (state->is_cancelled) {
        co_return;
      }
      std::string bytes;
      const auto error =
          co_await read_some_body(*state->replica_connection, parser, stream_read_bytes(), bytes);
      state->note_connection_error(error);
      if (state->is_cancelled) {
        co_return;
      }
      if (!bytes.empty()) {
        handler_(serving::stream_bytes{call.id, std::move(bytes)});
      }
      is_complete = !error;
    }
    if (is_complete) {
      keep_or_close(state, call, parser);
    } else {
      close(state);
    }
    report(state, call.id,
           serving::stream_closed{call.id, is_complete, state->has_timed_out,
                                  is_complete && parser.need_eof()});
  }

  asio::awaitable<void> run_pieces(std::shared_ptr<call_state> state, outgoing_call call,
                                   serving::start_stage_call command) {
    using result = serving::stage_call_ended::result;
    serving::stage_call_ended ended;
    ended.call = call.id;
    auto answer = co_await exchange(state, call);
    if (!answer) {
      ended.outcome = state->has_sent_bytes ? result::failed : result::not_sent;
      ended.has_timed_out = state->has_timed_out;
    } else {
      ended.outcome = result::failed;
      if (answer->head.misdirected) {
        ended.outcome = result::misdirected;
      } else if (answer->head.not_executed) {
        ended.outcome = result::refused;
      } else if (serving::is_success(answer->head.status)) {
        if (auto pieces = codec_->read_pieces(command, answer->body)) {
          ended.outcome = result::answered;
          ended.pieces = std::move(*pieces);
        }
      }
    }
    report(state, call.id, std::move(ended));
  }

  asio::awaitable<void> run_free_results(outgoing_call call) {
    auto state = std::make_shared<call_state>(*io_);
    asio::steady_timer timer(*io_, free_results_timeout);
    timer.async_wait([state](const boost::system::error_code& error) {
      if (!error && state->replica_connection) {
        state->replica_connection->stream.close();
      }
    });
    co_await exchange(state, call);
  }

  asio::io_context* io_;
  const serving::request_codec* codec_;
  serving::serving_settings settings_;
  std::shared_ptr<flow::byte_budget> budget_;
  std::shared_ptr<flow::answer_memory_queue> answer_queue_;
  event_handler handler_;
  connection_pool pool_;
  std::unordered_map<base::call_id, std::shared_ptr<call_state>> calls_;
  connection_counters counters_;
  /// Number of calls of this node itself, for their ids.
  std::uint64_t own_calls_ = 0;
};

} // namespace

std::unique_ptr<replica_client> make_replica_client(asio::io_context& io,
                                                    const serving::request_codec& codec,
                                                    const serving::serving_settings& settings,
                                                    std::shared_ptr<flow::byte_budget> budget,
                                                    event_handler handler) {
  return std::make_unique<replica_client_impl>(io, codec, settings, std::move(budget),
                                               std::move(handler));
}

} // namespace spurrack::upstream
