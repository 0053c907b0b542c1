#include "upstream/replica_client.h"

#include "http/awaitable.h"
#include "serving/answer_status.h"
#include "upstream/answer_reader.h"
#include "upstream/body_reader.h"
#include "upstream/replica_call.h"
#include "upstream/replica_connections.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <unordered_map>
#include <utility>
#include <vector>

namespace spurrack::upstream {
namespace {

namespace asio = boost::asio;

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
      : io_(&io), codec_(&codec), settings_(settings), handler_(handler),
        connections_(io, settings.connect_timeout, counters_),
        reader_(codec, std::move(budget), std::move(handler), counters_) {}

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

  void close_idle(const base::network_address& address) override {
    connections_.close_idle(address);
  }

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

  /// Does nothing if the call was cancelled. Otherwise, removes the call, counts the fault of its
  /// answer and reports its final event.
  void report(const std::shared_ptr<call_state>& state, base::call_id id,
              serving::event final_event) {
    if (state->fault != serving::answer_fault::none) {
      ++counters_.faulty_answers[static_cast<std::size_t>(state->fault)];
    }
    if (!state->is_cancelled) {
      calls_.erase(id);
      handler_(std::move(final_event));
    }
  }

  asio::awaitable<void> run_probe(serving::call_target target) {
    const auto began_at = base::boot_clock::now();
    const auto result = co_await connections_.probe(target);
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
    state->write_result = error;
    state->note_connection_error(error);
    state->wake.cancel();
  }

  /// Connects and begins to write. Moves the body of the call to the coroutine that writes the
  /// call, so that the body is freed when the write ends.
  /// @return whether the write has begun.
  asio::awaitable<bool> send(const std::shared_ptr<call_state>& state, outgoing_call& call) {
    state->replica = call.target.replica;
    const bool connected = co_await connections_.connect(state, call);
    if (!connected || state->is_cancelled) {
      co_return false;
    }
    auto head = serialize_head(call.content);
    asio::co_spawn(*io_, write(state, std::move(head), std::move(call.content.body)),
                   asio::detached);
    co_return true;
  }

  asio::awaitable<std::optional<buffered_answer>> exchange(std::shared_ptr<call_state> state,
                                                           outgoing_call& call) {
    std::optional<response_parser> parser;
    buffered_answer answer;
    bool succeeded = co_await send(state, call);
    if (succeeded) {
      succeeded = co_await reader_.read_head(state, call, parser);
    }
    if (succeeded) {
      answer.head = reader_.head_of(*parser, call);
      succeeded = co_await reader_.read_body(state, *parser, answer);
    }
    if (!succeeded) {
      close(state);
      co_return std::nullopt;
    }
    answer.ends_with_connection = parser->need_eof();
    connections_.keep_or_close(state, call, *parser);
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

  static serving::call_failed failed(const std::shared_ptr<call_state>& state, base::call_id id) {
    return {id, failure_of(state), state->has_timed_out, state->fault};
  }

  asio::awaitable<void> run_request(std::shared_ptr<call_state> state, outgoing_call call) {
    if (call.is_streaming) {
      co_await run_stream(std::move(state), std::move(call));
      co_return;
    }
    auto answer = co_await exchange(state, call);
    if (!answer) {
      report(state, call.id, failed(state, call.id));
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
      succeeded = co_await reader_.read_head(state, call, parser);
    }
    if (!succeeded) {
      close(state);
      report(state, call.id, failed(state, call.id));
      co_return;
    }
    auto head = reader_.head_of(*parser, call);
    if (!serving::is_success(head.status)) {
      buffered_answer answer;
      const bool is_complete = co_await reader_.read_body(state, *parser, answer);
      if (is_complete) {
        connections_.keep_or_close(state, call, *parser);
        report(state, call.id,
               serving::call_answered{call.id, std::move(head), std::move(answer.body),
                                      std::move(answer.reservation), parser->need_eof()});
      } else {
        close(state);
        report(state, call.id, failed(state, call.id));
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
      const auto error = co_await read_some_body(*state->replica_connection, parser,
                                                 reader_.stream_read_bytes(), bytes);
      state->note_connection_error(error);
      if (state->is_cancelled) {
        co_return;
      }
      if (!bytes.empty()) {
        handler_(serving::stream_bytes{call.id, std::move(bytes)});
      }
      is_complete = !error;
      if (is_malformed(error)) {
        state->fault = serving::answer_fault::invalid_body;
      }
    }
    if (is_complete) {
      is_complete = co_await reader_.confirm_end(state, parser);
    }
    if (state->is_cancelled) {
      co_return;
    }
    if (is_complete) {
      connections_.keep_or_close(state, call, parser);
    } else {
      close(state);
    }
    report(state, call.id,
           serving::stream_closed{call.id, is_complete, state->has_timed_out,
                                  is_complete && parser.need_eof(), state->fault});
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
  event_handler handler_;
  connection_counters counters_;
  replica_connections connections_;
  answer_reader reader_;
  std::unordered_map<base::call_id, std::shared_ptr<call_state>> calls_;
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
