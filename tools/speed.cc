/// Measures spurrackd against calling the four stand-ins directly: latency added, processor time a
/// request, requests a second on one core, resident memory.
#include "fleet/example_records.h"

#include "http/endpoint.h"
#include "logging/guarded_main.h"
#include "logging/usual_options.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <iostream>
#include <thread>

namespace {

using namespace spurrack;
namespace beast = boost::beast;
namespace beast_http = boost::beast::http;
namespace json = boost::json;
using clock_type = std::chrono::steady_clock;

/// A connection that is kept open between calls.
class kept_connection {
 public:
  explicit kept_connection(const std::string& address) : stream_(io_) {
    stream_.connect(*http::parse_endpoint(address));
    stream_.socket().set_option(boost::asio::ip::tcp::no_delay(true));
  }

  std::string post(const std::string& target, const json::object& body,
                   const std::string& token = "") {
    beast_http::request<beast_http::string_body> request(beast_http::verb::post, target, 11);
    request.set(beast_http::field::host, "spurrack");
    if (!token.empty()) {
      request.set(beast_http::field::authorization, "Bearer " + token);
    }
    request.body() = json::serialize(body);
    request.prepare_payload();
    beast_http::write(stream_, request);
    beast_http::response<beast_http::string_body> response;
    beast_http::read(stream_, buffer_, response);
    return response.body();
  }

 private:
  boost::asio::io_context io_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
};

json::object stage_body(const std::string& stage, const std::string& input) {
  return {{"request_id", "direct"}, {"stage", stage},     {"attempt", 1},
          {"tenant", "agents"},     {"model", ""},        {"adapter", ""},
          {"input", input},         {"max_tokens", 8},    {"resume_offset", 0},
          {"priority", 5},          {"repeatable", true}, {"expires_in_ms", 3000}};
}

double median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

double seconds_since(clock_type::time_point begin) {
  return std::chrono::duration<double>(clock_type::now() - begin).count();
}

std::vector<double> time_direct(const fleet::local_fleet& fleet, int count) {
  const std::vector<std::pair<std::string, std::string>> stages{{"encode", "encoder"},
                                                                {"retrieve", "retriever"},
                                                                {"rerank", "reranker"},
                                                                {"generate", "engine"}};
  std::vector<std::unique_ptr<kept_connection>> connections;
  connections.reserve(stages.size());
  for (const auto& [stage, backend] : stages) {
    connections.push_back(
        std::make_unique<kept_connection>(fleet.backend_address(backend + "-north1")));
  }
  std::vector<double> times;
  for (int index = 0; index < count; ++index) {
    const auto begin = clock_type::now();
    for (std::size_t stage = 0; stage < stages.size(); ++stage) {
      connections[stage]->post("/v1/stages/" + stages[stage].first,
                               stage_body(stages[stage].first, "x"));
    }
    times.push_back(seconds_since(begin));
  }
  return times;
}

std::vector<double> time_through(const fleet::local_fleet& fleet, int count) {
  kept_connection connection(fleet.addresses("entry-north1").callers);
  std::vector<double> times;
  for (int index = 0; index < count; ++index) {
    const auto begin = clock_type::now();
    connection.post("/v1/pipelines/client-answer", {{"input", "x"}}, fleet::agents_token);
    times.push_back(seconds_since(begin));
  }
  return times;
}

void measure_latency(const std::filesystem::path& binaries) {
  auto wanted = fleet::example_fleet({"north"}, 1);
  wanted.uses_proxy = false;
  for (auto& backend : wanted.backends) {
    backend.service_microseconds = backend.pool == "engines" ? 1'000 : 5'000;
  }
  fleet::local_fleet fleet(binaries, wanted);
  fleet.start_all_nodes();
  constexpr int rounds = 300;
  time_through(fleet, rounds / 10);
  time_direct(fleet, rounds / 10);
  const auto direct = median(time_direct(fleet, rounds));
  const auto through = median(time_through(fleet, rounds));
  std::cout << "latency, median of " << rounds << ": direct " << direct * 1e3 << " ms, through "
            << through * 1e3 << " ms, added " << (through / direct - 1) * 100 << " %\n";
}

void measure_throughput(const std::filesystem::path& binaries, int tokens) {
  auto wanted = fleet::example_fleet({"north"}, 1);
  auto& pipeline = wanted.records.at("templates/client-answer");
  const std::string given = "max_tokens: 8";
  pipeline.replace(pipeline.find(given), given.size(), "max_tokens: " + std::to_string(tokens));
  wanted.uses_proxy = false;
  for (auto& backend : wanted.backends) {
    backend.concurrency = 64;
    backend.service_microseconds = 2'000;
    backend.token_microseconds = 200;
    backend.max_in_flight = 1'000;
  }
  fleet::local_fleet fleet(binaries, wanted);
  fleet.start_all_nodes();
  auto& node = fleet.node("entry-north1");
  std::cout << "memory when idle: " << static_cast<double>(node.resident_bytes()) / 1e6 << " MB\n";
  constexpr unsigned callers = 24;
  constexpr int requests_each = 400;
  const auto used_before = node.processor_seconds();
  const auto begin = clock_type::now();
  std::vector<std::thread> threads;
  for (unsigned index = 0; index < callers; ++index) {
    threads.emplace_back([&] { time_through(fleet, requests_each); });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  const double elapsed = seconds_since(begin);
  const double used = node.processor_seconds() - used_before;
  constexpr double total = static_cast<double>(callers) * requests_each;
  std::cout << "throughput: " << total / elapsed << " requests/s with " << callers
            << " callers; processor time " << used / total * 1e6
            << " us a request of four stages and " << tokens << " tokens; one core carries "
            << total / used << " requests/s\n"
            << "memory after " << total
            << " requests: " << static_cast<double>(node.resident_bytes()) / 1e6 << " MB\n";
}

int run_program(int argc, char** argv) {
  cxxopts::Options options("speed", "Latency and throughput of real processes on this machine.");
  spurrack::logging::add_usual_options(options);
  const auto given = options.parse(argc, argv);
  if (spurrack::logging::handle_usual_options(options, given)) {
    return 0;
  }
  const auto binaries = std::filesystem::absolute(argv[0]).parent_path();
  measure_latency(binaries);
  for (const int tokens : {8, 64, 200}) {
    measure_throughput(binaries, tokens);
  }
  return 0;
}

} // namespace

int main(int argc, char** argv) {
  return spurrack::logging::guarded_main(run_program, argc, argv, 1);
}
