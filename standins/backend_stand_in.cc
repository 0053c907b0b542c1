/// Emulates a back end for tests: an engine (generates tokens), a back end of another stage pool
/// (encodes, retrieves or reranks), or a plain service. The path of a call names the kind of its
/// stage. Each call takes a configured time. `/admin/counts` returns the executions by request,
/// `/admin/fault` sets the fault that the back end injects into calls.
#include "http_service.h"

#include "logging/guarded_main.h"
#include "logging/usual_options.h"

#include <cxxopts.hpp>

#include <array>
#include <chrono>
#include <cstdio>
#include <iostream>
#include <map>

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using spurrack::standins::service_exchange;
using spurrack::standins::wait_for;

/// Fault that the back end injects into a call. `/admin/fault` sets the fault of the next `times`
/// calls, or of all further calls if `times` is absent. `truncate`, `reset` and `duplicate` have no
/// effect on calls whose stage has the kind `generate`. `break_stream` has an effect only on calls
/// whose stage has the kind `generate`.
enum class fault {
  none,
  leaving,      ///< Refuses the call like a back end that leaves the fleet.
  overloaded,   ///< Refuses the call like an overloaded back end.
  truncate,     ///< Executes the call, then closes the connection in the middle of the answer.
  reset,        ///< Executes the call, then resets the connection without an answer.
  reset_early,  ///< Resets the connection without executing the call.
  hang,         ///< Executes the call, but does not complete the answer within an hour.
  crossed,      ///< Executes the call, then answers with the id of another request.
  duplicate,    ///< Executes the call, then sends the answer twice on the connection.
  break_stream, ///< Sends about half of the tokens, then resets the connection.
};

const std::map<std::string, fault> fault_names{{"none", fault::none},
                                               {"leaving", fault::leaving},
                                               {"overloaded", fault::overloaded},
                                               {"truncate", fault::truncate},
                                               {"reset", fault::reset},
                                               {"reset_early", fault::reset_early},
                                               {"hang", fault::hang},
                                               {"crossed", fault::crossed},
                                               {"duplicate", fault::duplicate},
                                               {"break_stream", fault::break_stream}};

struct backend_settings {
  std::string id;
  /// Duration of a call without the time to generate tokens.
  std::chrono::microseconds service_time{0};
  /// Time to generate one token.
  std::chrono::microseconds token_time{0};
  std::int64_t concurrency = 8;
  /// Maximum number of calls in flight at the back end; the back end refuses further calls.
  std::int64_t max_in_flight = 16;
};

class emulated_backend_service {
 public:
  explicit emulated_backend_service(backend_settings settings) : settings_(std::move(settings)) {}

  asio::awaitable<void> handle(service_exchange& exchange) {
    const auto target = exchange.target();
    if (target.starts_with("/v1/stages/")) {
      ++in_flight_;
      co_await run_call(exchange, target.substr(std::string("/v1/stages/").size()));
      --in_flight_;
    } else if (target == "/admin/fault") {
      const auto body = exchange.body();
      current_fault_ = fault_names.at(std::string(body.at("fault").as_string()));
      remaining_faulty_calls_ = body.contains("times") ? body.at("times").as_int64() : INT64_MAX;
      if (body.contains("service_us")) {
        settings_.service_time = std::chrono::microseconds(body.at("service_us").as_int64());
      }
      co_await exchange.reply(200, json::object());
    } else if (target == "/admin/counts") {
      json::object executions;
      for (const auto& [request, count] : executions_) {
        executions[request] = count;
      }
      json::object counts;
      counts["calls"] = calls_;
      counts["in_flight"] = in_flight_;
      counts["cancelled"] = cancelled_;
      counts["executions"] = std::move(executions);
      co_await exchange.reply(200, std::move(counts));
    } else {
      co_await exchange.reply(404, json::object());
    }
  }

 private:
  static json::object make_refusal(const char* code) {
    json::object body;
    body["code"] = code;
    return body;
  }

  /// Returns the fault of a new call, and decrements the number of faulty calls that remain.
  fault take_next_fault() {
    if (current_fault_ == fault::none || remaining_faulty_calls_ <= 0) {
      return fault::none;
    }
    --remaining_faulty_calls_;
    return current_fault_;
  }

  asio::awaitable<void> run_call(service_exchange& exchange, std::string stage_kind) {
    ++calls_;
    const auto call_fault = take_next_fault();
    if (call_fault == fault::leaving) {
      co_await exchange.reply(503, make_refusal("leaving"));
      co_return;
    }
    if (call_fault == fault::overloaded || in_flight_ > settings_.max_in_flight) {
      co_await exchange.reply(429, make_refusal("overloaded"));
      co_return;
    }
    if (call_fault == fault::reset_early) {
      exchange.close(true);
      co_return;
    }
    const auto call = exchange.body();
    ++executions_[std::string(call.at("request_id").as_string())];
    const auto started_at = std::chrono::steady_clock::now();
    if (stage_kind == "generate") {
      co_await generate(exchange, call, call_fault, started_at);
      co_return;
    }
    co_await wait_for(settings_.service_time);
    const auto text = stage_kind + "(" + std::string(call.at("input").as_string()) + ")";
    co_await write_answer(exchange, make_answer(call, text, 0, started_at), call_fault);
  }

  json::object make_answer(const json::object& call, const std::string& output, std::int64_t tokens,
                           std::chrono::steady_clock::time_point started_at) {
    const auto service_duration = std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::steady_clock::now() - started_at);
    return {{"request_id", call.at("request_id")},
            {"stage", call.at("stage")},
            {"attempt", call.at("attempt")},
            {"output", output},
            {"tokens", tokens},
            {"backend_us", service_duration.count()},
            {"in_flight", in_flight_}};
  }

  asio::awaitable<void> write_answer(service_exchange& exchange, json::object body,
                                     fault call_fault) {
    switch (call_fault) {
    case fault::truncate: {
      const auto text = json::serialize(body);
      co_await exchange.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                              "Content-Length: " +
                              std::to_string(text.size()) + "\r\n\r\n" +
                              text.substr(0, text.size() / 2));
      exchange.close(false);
      break;
    }
    case fault::reset:
      exchange.close(true);
      break;
    case fault::hang:
      co_await wait_for(std::chrono::hours(1));
      break;
    case fault::crossed:
      body["request_id"] = "another-request";
      co_await exchange.reply(200, std::move(body));
      break;
    case fault::duplicate:
      co_await exchange.reply(200, body);
      co_await exchange.reply(200, std::move(body));
      break;
    default:
      co_await exchange.reply(200, std::move(body));
      break;
    }
  }

  static std::string make_chunk(const json::object& data) {
    const auto text = "data: " + json::serialize(data) + "\n\n";
    std::array<char, 32> size{};
    const auto length = std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
    return std::string(size.data(), static_cast<std::size_t>(length)) + text + "\r\n";
  }

  asio::awaitable<void> generate(service_exchange& exchange, const json::object& call,
                                 fault call_fault,
                                 std::chrono::steady_clock::time_point started_at) {
    co_await wait_for(settings_.service_time);
    const auto token_count = call.at("max_tokens").as_int64();
    const auto first_offset = call.at("resume_offset").as_int64();
    const auto prompt = std::string(call.at("input").as_string());
    co_await exchange.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n");
    for (auto offset = first_offset; offset < token_count; ++offset) {
      co_await wait_for(settings_.token_time);
      // The first token contains the prompt, so that tests can check to which request an answer
      // belongs.
      const auto text = offset == 0 ? "generate(" + prompt + ")" : " w" + std::to_string(offset);
      json::object token;
      token["offset"] = offset;
      token["token"] = text;
      if (!co_await exchange.write(make_chunk(token))) {
        ++cancelled_;
        exchange.close(true);
        co_return;
      }
      if (call_fault == fault::break_stream && offset >= token_count / 2) {
        exchange.close(true);
        co_return;
      }
    }
    if (call_fault == fault::hang) {
      co_await wait_for(std::chrono::hours(1));
    }
    auto final_event = make_answer(call, "", token_count, started_at);
    if (call_fault == fault::crossed) {
      final_event["request_id"] = "another-request";
    }
    co_await exchange.write(make_chunk(final_event) + "0\r\n\r\n");
  }

  backend_settings settings_;
  fault current_fault_ = fault::none;
  /// Number of further calls to which `current_fault_` applies.
  std::int64_t remaining_faulty_calls_ = 0;
  std::int64_t calls_ = 0;
  std::int64_t in_flight_ = 0;
  /// Number of calls whose caller closed the connection before the back end had sent all tokens.
  std::int64_t cancelled_ = 0;
  /// Number of executed calls by request id.
  std::map<std::string, std::int64_t> executions_;
};

int run_program(int argc, char** argv) {
  cxxopts::Options options("backend_stand_in", "Emulated back end for tests.");
  options.add_options()("listen", "IP:port", cxxopts::value<std::string>())(
      "id", "name", cxxopts::value<std::string>()->default_value("backend"))(
      "service-us", "time of a call without tokens, in microseconds",
      cxxopts::value<std::int64_t>()->default_value("1000"))(
      "token-us", "time of a token, in microseconds",
      cxxopts::value<std::int64_t>()->default_value("500"))(
      "most-in-flight", "maximum number of calls in flight",
      cxxopts::value<std::int64_t>()->default_value("64"));
  spurrack::logging::add_usual_options(options);
  const auto arguments = options.parse(argc, argv);
  if (spurrack::logging::handle_usual_options(options, arguments)) {
    return 0;
  }
  backend_settings settings;
  settings.id = arguments["id"].as<std::string>();
  settings.service_time = std::chrono::microseconds(arguments["service-us"].as<std::int64_t>());
  settings.token_time = std::chrono::microseconds(arguments["token-us"].as<std::int64_t>());
  settings.max_in_flight = arguments["most-in-flight"].as<std::int64_t>();
  asio::io_context io(1);
  emulated_backend_service backend(std::move(settings));
  spurrack::standins::serve(io, arguments["listen"].as<std::string>(),
                            [&](service_exchange& exchange) { return backend.handle(exchange); });
  io.run();
  return 0;
}

} // namespace

int main(int argc, char** argv) {
  constexpr int exit_exception = 2;
  return spurrack::logging::guarded_main(run_program, argc, argv, exit_exception);
}
