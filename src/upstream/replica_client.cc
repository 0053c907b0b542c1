#include "upstream/replica_client.h"

#include "flow/answer_memory.h"
#include "flow/stream_window.h"
#include "http/awaitable.h"
#include "http/endpoint.h"
#include "http/socket_options.h"
#include "upstream/body_reader.h"
#include "upstream/connection_pool.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <charconv>
#include <unordered_map>
#include <utility>

namespace spurrack::upstream {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace beast_http = boost::beast::http;

/// Bytes of one read of an answer while memory is plentiful, after which other connections get
/// their turn: one write turn of the clients' side.
constexpr std::size_t read_bytes = 16'384;
/// The same once this part of the budget is held: no more than the narrowest window of a stream.
constexpr std::size_t short_read_bytes = flow::stream_window::min_window_bytes;
constexpr double plentiful_part = 0.5;
/// An answer that finds no memory asks again after this time: a tenth of the least time after which
/// a slow reader gives its memory up.
constexpr std::chrono::milliseconds memory_retry_period{200};
constexpr std::uint32_t max_answer_header_bytes = 65'536;
/// Largest answer that is gathered whole.
constexpr std::size_t max_whole_answer_bytes = 8'000'000;
/// Surplus answers that are read past before a connection is given up.
constexpr unsigned most_surplus_answers = 4;
/// How long a connection rests where the replica does not say.
constexpr std::chrono::seconds usual_rest{4};
/// A connection is not used in the last moments before the replica closes it.
constexpr std::chrono::milliseconds rest_margin{700};
/// A replica that acknowledges neither bytes nor keep-alive probes for this time is lost: three
/// retransmissions of 0.2, 0.4 and 0.8 s have failed by then.
constexpr std::chrono::milliseconds unacknowledged_limit{1'500};
/// A call that may run once takes a connection that has rested this long: what a replica sends
/// after a whole answer has arrived by then.
constexpr std::chrono::milliseconds surplus_settle_time{5};
constexpr std::chrono::seconds free_timeout{2};

/// A call under way.
struct call_state {
  /// 0 where nobody waits for the answer.
  base::call_id id = 0;
  explicit call_state(asio::io_context& io) : wake(io, asio::steady_timer::time_point::max()) {}
  std::shared_ptr<connection> link;
  /// Cancelled when `paused` or `cancelled` changes.
  asio::steady_timer wake;
  bool paused = false;
  bool cancelled = false;
  bool sent_anything = false;
  /// The answer was given up for want of memory.
  bool lacked_memory = false;
  bool written = false;
  bool write_failed = false;
};

/// What is to be sent, and how.
struct outgoing_call {
  base::call_id id = 0;
  serving::call_target target;
  serving::encoded_call content;
  /// Set for requests: the answer must name it.
  std::optional<std::string> request;
  bool streaming = false;
  idle_time_bounds rest;
  base::time_point began = base::boot_clock::now();
};

/// Memory of an answer, returned when the last holder of its body goes.
class counted_answer final : public serving::held_memory {
 public:
  explicit counted_answer(std::shared_ptr<flow::answer_queue> queue) : memory_(std::move(queue)) {}
  [[nodiscard]] flow::memory_verdict grow(std::size_t bytes) { return memory_.grow(bytes); }
  [[nodiscard]] std::size_t bytes() const { return memory_.bytes(); }

 private:
  flow::answer_memory memory_;
};

/// An answer that was read whole.
struct gathered_answer {
  serving::answer_head head;
  std::string body;
  std::shared_ptr<counted_answer> held;
};

std::string head_text(const serving::encoded_call& content) {
  std::string text = content.method + " " + content.target + " HTTP/1.1\r\n";
  for (const auto& field : content.headers) {
    text += field.name + ": " + field.value + "\r\n";
  }
  if (content.has_body) {
    text += "Content-Length: " + std::to_string(content.body.size()) + "\r\n";
  }
  return text + "\r\n";
}

serving::raw_answer raw_of(const response_parser& parser) {
  serving::raw_answer raw;
  raw.status = parser.get().result_int();
  for (const auto& field : parser.get()) {
    raw.headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  return raw;
}

/// @return how long the replica keeps an idle connection, as it says.
base::duration rest_of(const response_parser& parser) {
  const auto text = parser.get()[beast_http::field::keep_alive];
  const auto place = text.find("timeout=");
  if (place == beast::string_view::npos) {
    return usual_rest - rest_margin;
  }
  const auto number = text.substr(place + std::string_view("timeout=").size());
  unsigned seconds = 0;
  std::from_chars(number.data(), number.data() + number.size(), seconds);
  return std::max<base::duration>(std::chrono::seconds(seconds) - rest_margin,
                                  base::duration::zero());
}

bool is_success(unsigned status) {
  return status >= 200 && status < 300;
}

bool is_interim(unsigned status) {
  return status < 200;
}

class replica_client_impl final : public replica_client {
 public:
  replica_client_impl(asio::io_context& io, const serving::request_codec& codec,
                      const serving::serving_settings& settings,
                      std::shared_ptr<flow::byte_budget> budget, event_handler handler)
      : io_(&io), codec_(&codec), settings_(settings), budget_(std::move(budget)),
        answers_(std::make_shared<flow::answer_queue>(budget_)), handler_(std::move(handler)) {}

  void start(serving::start_call wanted) override {
    outgoing_call call{wanted.call,
                       wanted.target,
                       codec_->encode(wanted),
                       wanted.content->id.text(),
                       wanted.streaming,
                       {{}, settings_.max_idle_time}};
    if (wanted.runs_at_most_once) {
      call.rest = {surplus_settle_time, settings_.single_run_max_idle_time};
    }
    asio::co_spawn(*io_, run_request(open(wanted.call), std::move(call)), asio::detached);
  }

  void start(serving::start_stage_call wanted) override {
    outgoing_call call{wanted.call,  wanted.target, codec_->encode(wanted),
                       std::nullopt, false,         {surplus_settle_time, settings_.max_idle_time}};
    auto state = open(wanted.call);
    asio::co_spawn(*io_, run_pieces(std::move(state), std::move(call), std::move(wanted)),
                   asio::detached);
  }

  void start(serving::free_results wanted) override {
    outgoing_call call{0,
                       wanted.maker,
                       codec_->encode(wanted),
                       std::nullopt,
                       false,
                       {surplus_settle_time, settings_.max_idle_time}};
    asio::co_spawn(*io_, run_free(std::move(call)), asio::detached);
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
    found->second->cancelled = true;
    found->second->wake.cancel();
    if (found->second->link) {
      found->second->link->stream.close();
    }
    calls_.erase(found);
  }

  void close_idle(const base::network_address& address) override { pool_.close_idle(address); }

  [[nodiscard]] const connection_counters& counts() const override { return counters_; }

 private:
  std::shared_ptr<call_state> open(base::call_id id) {
    auto state = std::make_shared<call_state>(*io_);
    state->id = id;
    calls_[id] = state;
    return state;
  }

  void set_paused(base::call_id call, bool paused) {
    const auto found = calls_.find(call);
    if (found != calls_.end()) {
      found->second->paused = paused;
      found->second->wake.cancel();
    }
  }

  /// Returns when the call is not paused or was cancelled.
  static asio::awaitable<void> wait_while_paused(const std::shared_ptr<call_state>& state) {
    boost::system::error_code ignored;
    while (state->paused && !state->cancelled) {
      state->wake.expires_at(asio::steady_timer::time_point::max());
      co_await state->wake.async_wait(http::await_into(ignored));
    }
  }

  /// Waits for memory. What is not read meanwhile stays with the replica, which is not to blame for
  /// the silence.
  /// @return false where the call was cancelled or the answer gives way to another.
  asio::awaitable<bool> wait_for_memory(const std::shared_ptr<call_state>& state,
                                        counted_answer& held, std::size_t bytes) {
    boost::system::error_code ignored;
    bool is_paused = false;
    while (bytes > 0 && !state->cancelled) {
      const auto verdict = held.grow(bytes);
      if (verdict == flow::memory_verdict::granted) {
        break;
      }
      if (verdict == flow::memory_verdict::abort_answer) {
        state->lacked_memory = true;
        co_return false;
      }
      if (!std::exchange(is_paused, true)) {
        handler_(serving::answer_paused{state->id});
      }
      state->wake.expires_after(memory_retry_period);
      co_await state->wake.async_wait(http::await_into(ignored));
    }
    if (is_paused && !state->cancelled) {
      handler_(serving::answer_resumed{state->id});
    }
    co_return !state->cancelled;
  }

  void report(const std::shared_ptr<call_state>& state, base::call_id id, serving::event what) {
    if (!state->cancelled) {
      calls_.erase(id);
      handler_(std::move(what));
    }
  }

  /// Takes a kept connection or opens one. @return whether there is one.
  asio::awaitable<bool> connect(const std::shared_ptr<call_state>& state,
                                const outgoing_call& call) {
    state->link = pool_.take(call.target.address, call.rest, base::boot_clock::now());
    if (state->link) {
      ++counters_.reused;
      co_return true;
    }
    state->link = std::make_shared<connection>(*io_);
    const auto error = co_await open_connection(call.target.address, *state->link);
    co_return !error && !state->cancelled;
  }

  /// Opens a new connection. @return why there is none.
  asio::awaitable<boost::system::error_code> open_connection(const base::network_address& address,
                                                             connection& link) {
    const auto endpoint = http::parse_endpoint(address.text());
    if (!endpoint) {
      co_return asio::error::invalid_argument;
    }
    ++counters_.opened;
    boost::system::error_code error;
    link.stream.expires_after(settings_.connect_timeout);
    co_await link.stream.async_connect(*endpoint, http::await_into(error));
    if (error) {
      co_return error;
    }
    link.stream.expires_never();
    http::set_tcp_options(link.stream.socket(), unacknowledged_limit);
    // Bodies are read when the kernel says that some has arrived.
    link.stream.socket().non_blocking(true, error);
    co_return error;
  }

  asio::awaitable<void> run_probe(serving::call_target target) {
    const auto link = std::make_shared<connection>(*io_);
    const auto error = co_await open_connection(target.address, *link);
    auto result = serving::probe_result::unresponsive;
    if (!error) {
      result = serving::probe_result::connected;
      pool_.give_back(target.address, link, usual_rest - rest_margin, base::boot_clock::now());
    } else if (error == asio::error::connection_refused) {
      result = serving::probe_result::refused;
    }
    handler_(serving::replica_probed{target.replica, result});
  }

  /// Writes beside the reads: a replica may answer before it has read everything.
  static asio::awaitable<void> write(std::shared_ptr<call_state> state, std::string head,
                                     std::string body) {
    boost::system::error_code error;
    state->sent_anything = true;
    const auto link = state->link;
    const std::array<asio::const_buffer, 2> text{asio::buffer(head), asio::buffer(body)};
    co_await asio::async_write(link->stream, text, http::await_into(error));
    state->written = !error;
    state->write_failed = error.failed();
  }

  /// Connects and begins to write. @return whether the call is under way.
  /// The body of the call goes with the write, so that it is kept no longer than that.
  asio::awaitable<bool> send(const std::shared_ptr<call_state>& state, outgoing_call& call) {
    const bool connected = co_await connect(state, call);
    if (!connected || state->cancelled) {
      co_return false;
    }
    auto head = head_text(call.content);
    asio::co_spawn(*io_, write(state, std::move(head), std::move(call.content.body)),
                   asio::detached);
    co_return true;
  }

  /// Reads the head of the answer to the call, past surplus answers and interim ones.
  /// @return whether there is one.
  asio::awaitable<bool> read_head(const std::shared_ptr<call_state>& state,
                                  const outgoing_call& call,
                                  std::optional<response_parser>& parser) {
    auto& link = *state->link;
    for (unsigned surplus = 0; surplus <= most_surplus_answers;) {
      parser.emplace();
      parser->header_limit(max_answer_header_bytes);
      parser->body_limit(boost::none);
      parser->skip(call.content.method == "HEAD");
      boost::system::error_code error;
      co_await beast_http::async_read_header(link.stream, link.buffer, *parser,
                                             http::await_into(error));
      if (error || state->cancelled) {
        co_return false;
      }
      if (is_interim(parser->get().result_int())) {
        continue;
      }
      if (!call.request || codec_->answered_request(raw_of(*parser).headers) == call.request) {
        co_return true;
      }
      ++surplus;
      ++counters_.surplus_answers;
      gathered_answer ignored;
      const bool whole = co_await read_body(state, *parser, ignored);
      if (!whole || !parser->keep_alive()) {
        co_return false;
      }
    }
    co_return false;
  }

  /// @return bytes that one read of a connection may take.
  [[nodiscard]] std::size_t most_read_bytes() const {
    return budget_->utilization() < plentiful_part ? read_bytes : short_read_bytes;
  }

  /// Reads the rest of the body, as far as there is memory. @return whether it is whole.
  asio::awaitable<bool> read_body(const std::shared_ptr<call_state>& state, response_parser& parser,
                                  gathered_answer& answer) {
    auto& body = answer.body;
    answer.held = std::make_shared<counted_answer>(answers_);
    const auto length = parser.content_length().value_or(0);
    if (length > max_whole_answer_bytes) {
      co_return false;
    }
    const bool has_memory = co_await wait_for_memory(state, *answer.held, length);
    if (!has_memory) {
      co_return false;
    }
    body.reserve(length + read_bytes);
    while (!parser.is_done()) {
      const auto error = co_await read_some_body(*state->link, parser, read_bytes, body);
      if (error || state->cancelled || body.size() > max_whole_answer_bytes) {
        co_return false;
      }
      if (body.size() > answer.held->bytes()) {
        const auto more = body.size() - answer.held->bytes();
        const bool has_more = co_await wait_for_memory(state, *answer.held, more);
        if (!has_more) {
          co_return false;
        }
      }
    }
    co_return true;
  }

  void keep_or_close(const std::shared_ptr<call_state>& state, const outgoing_call& call,
                     const response_parser& parser) {
    auto& link = *state->link;
    const bool clean = state->written && parser.is_done() && parser.keep_alive() &&
                       !parser.need_eof() && link.buffer.size() == 0;
    if (clean) {
      // A resting connection needs no room.
      link.buffer.shrink_to_fit();
      pool_.give_back(call.target.address, state->link, rest_of(parser), base::boot_clock::now());
    } else {
      link.stream.close();
    }
  }

  /// Reads the head of an answer, and passes on what it says of its replica.
  serving::answer_head head_of(const response_parser& parser, const outgoing_call& call) {
    auto raw = raw_of(parser);
    auto said = codec_->read_self_report(raw);
    if (said) {
      counters_.unreadable_loads += said->is_load_unreadable ? 1 : 0;
      said->closes_connection = said->closes_connection || !parser.keep_alive();
      handler_(serving::self_report_received{call.target.replica, call.began, *said});
    }
    return codec_->read_answer(std::move(raw));
  }

  asio::awaitable<std::optional<gathered_answer>> exchange(std::shared_ptr<call_state> state,
                                                           outgoing_call& call) {
    std::optional<response_parser> parser;
    gathered_answer answer;
    bool going_well = co_await send(state, call);
    if (going_well) {
      going_well = co_await read_head(state, call, parser);
    }
    if (going_well) {
      answer.head = head_of(*parser, call);
      going_well = co_await read_body(state, *parser, answer);
    }
    if (!going_well) {
      close(state);
      co_return std::nullopt;
    }
    keep_or_close(state, call, *parser);
    co_return answer;
  }

  static void close(const std::shared_ptr<call_state>& state) {
    if (state->link) {
      state->link->stream.close();
    }
  }

  static serving::call_failure fate_of(const std::shared_ptr<call_state>& state) {
    if (state->lacked_memory) {
      return serving::call_failure::no_memory;
    }
    return state->sent_anything ? serving::call_failure::may_have_run
                                : serving::call_failure::not_sent;
  }

  asio::awaitable<void> run_request(std::shared_ptr<call_state> state, outgoing_call call) {
    if (call.streaming) {
      co_await run_stream(std::move(state), std::move(call));
      co_return;
    }
    auto answer = co_await exchange(state, call);
    if (!answer) {
      report(state, call.id, serving::call_failed{call.id, fate_of(state)});
    } else {
      report(state, call.id,
             serving::call_answered{call.id, std::move(answer->head), std::move(answer->body),
                                    std::move(answer->held)});
    }
  }

  asio::awaitable<void> run_stream(std::shared_ptr<call_state> state, outgoing_call call) {
    std::optional<response_parser> parser;
    bool going_well = co_await send(state, call);
    if (going_well) {
      going_well = co_await read_head(state, call, parser);
    }
    if (!going_well) {
      close(state);
      report(state, call.id, serving::call_failed{call.id, fate_of(state)});
      co_return;
    }
    auto head = head_of(*parser, call);
    if (!is_success(head.status)) {
      gathered_answer answer;
      const bool whole = co_await read_body(state, *parser, answer);
      if (whole) {
        keep_or_close(state, call, *parser);
        report(state, call.id,
               serving::call_answered{call.id, std::move(head), std::move(answer.body),
                                      std::move(answer.held)});
      } else {
        close(state);
        report(state, call.id, serving::call_failed{call.id, fate_of(state)});
      }
      co_return;
    }
    handler_(serving::stream_opened{call.id, std::move(head)});
    co_await pass_stream(state, call, *parser);
  }

  asio::awaitable<void> pass_stream(const std::shared_ptr<call_state>& state,
                                    const outgoing_call& call, response_parser& parser) {
    bool whole = true;
    while (whole && !parser.is_done()) {
      co_await wait_while_paused(state);
      if (state->cancelled) {
        co_return;
      }
      std::string bytes;
      const auto error = co_await read_some_body(*state->link, parser, most_read_bytes(), bytes);
      if (state->cancelled) {
        co_return;
      }
      if (!bytes.empty()) {
        handler_(serving::stream_bytes{call.id, std::move(bytes)});
      }
      whole = !error;
    }
    if (whole) {
      keep_or_close(state, call, parser);
    } else {
      close(state);
    }
    report(state, call.id, serving::stream_closed{call.id, whole});
  }

  asio::awaitable<void> run_pieces(std::shared_ptr<call_state> state, outgoing_call call,
                                   serving::start_stage_call wanted) {
    using result = serving::stage_call_ended::result;
    serving::stage_call_ended ended;
    ended.call = call.id;
    auto answer = co_await exchange(state, call);
    if (!answer) {
      ended.how = state->sent_anything ? result::failed : result::not_sent;
    } else {
      ended.how = result::failed;
      if (answer->head.misdirected) {
        ended.how = result::misdirected;
      } else if (answer->head.not_executed) {
        ended.how = result::refused;
      } else if (is_success(answer->head.status)) {
        if (auto pieces = codec_->read_pieces(wanted, answer->body)) {
          ended.how = result::answered;
          ended.pieces = std::move(*pieces);
        }
      }
    }
    report(state, call.id, std::move(ended));
  }

  asio::awaitable<void> run_free(outgoing_call call) {
    auto state = std::make_shared<call_state>(*io_);
    asio::steady_timer limit(*io_, free_timeout);
    limit.async_wait([state](const boost::system::error_code& error) {
      if (!error && state->link) {
        state->link->stream.close();
      }
    });
    co_await exchange(state, call);
  }

  asio::io_context* io_;
  const serving::request_codec* codec_;
  serving::serving_settings settings_;
  std::shared_ptr<flow::byte_budget> budget_;
  std::shared_ptr<flow::answer_queue> answers_;
  event_handler handler_;
  connection_pool pool_;
  std::unordered_map<base::call_id, std::shared_ptr<call_state>> calls_;
  connection_counters counters_;
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
