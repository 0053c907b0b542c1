/// Measures spurrackd with real processes: the latency that a node adds compared with direct calls
/// of the four emulated back ends of a pipeline, the processor time per request, the requests per
/// second of one core, and the resident memory.
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

/// HTTP connection that stays open between requests.
class persistent_connection {
 public:
  explicit persistent_connection(const std::string& address) : stream_(io_) {
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

json::object make_stage_body(const std::string& stage, const std::string& input) {
  return {{"request_id", "direct"}, {"stage", stage},     {"attempt", 1},
          {"tenant", "agents"},     {"model", ""},        {"adapter", ""},
          {"input", input},         {"max_tokens", 8},    {"resume_offset", 0},
          {"priority", 5},          {"repeatable", true}, {"expires_in_ms", 3000}};
}

double median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

double seconds_since(clock_type::time_point started_at) {
  return std::chrono::duration<double>(clock_type::now() - started_at).count();
}

/// @return latencies in seconds of `count` sequences of direct calls, which pass through no node.
///         Each sequence calls, one after another, one back end of each of the four stages.
std::vector<double> measure_direct_latencies(const fleet::local_fleet& fleet, int count) {
  const std::vector<std::pair<std::string, std::string>> stages{{"encode", "encoder"},
                                                                {"retrieve", "retriever"},
                                                                {"rerank", "reranker"},
                                                                {"generate", "engine"}};
  std::vector<std::unique_ptr<persistent_connection>> connections;
  connections.reserve(stages.size());
  for (const auto& [stage, backend] : stages) {
    connections.push_back(
        std::make_unique<persistent_connection>(fleet.backend_address(backend + "-north1")));
  }
  std::vector<double> latencies;
  for (int index = 0; index < count; ++index) {
    const auto started_at = clock_type::now();
    for (std::size_t stage = 0; stage < stages.size(); ++stage) {
      connections[stage]->post("/v1/stages/" + stages[stage].first,
                               make_stage_body(stages[stage].first, "x"));
    }
    latencies.push_back(seconds_since(started_at));
  }
  return latencies;
}

/// @return latencies in seconds of `count` pipeline requests that are sent one after another to the
///         node entry-north1.
std::vector<double> measure_node_latencies(const fleet::local_fleet& fleet, int count) {
  persistent_connection connection(fleet.addresses("entry-north1").callers);
  std::vector<double> latencies;
  for (int index = 0; index < count; ++index) {
    const auto started_at = clock_type::now();
    connection.post("/v1/pipelines/client-answer", {{"input", "x"}}, fleet::agents_token);
    latencies.push_back(seconds_since(started_at));
  }
  return latencies;
}

void measure_latency(const std::filesystem::path& binaries) {
  auto description = fleet::example_fleet({"north"}, 1);
  description.uses_proxy = false;
  for (auto& backend : description.backends) {
    backend.service_microseconds = backend.pool == "engines" ? 1'000 : 5'000;
  }
  fleet::local_fleet fleet(binaries, description);
  fleet.start_all_nodes();
  constexpr int request_count = 300;
  measure_node_latencies(fleet, request_count / 10);
  measure_direct_latencies(fleet, request_count / 10);
  const auto direct = median(measure_direct_latencies(fleet, request_count));
  const auto through_node = median(measure_node_latencies(fleet, request_count));
  std::cout << "latency, median of " << request_count << ": direct " << direct * 1e3
            << " ms, through " << through_node * 1e3 << " ms, added "
            << (through_node / direct - 1) * 100 << " %\n";
}

/// @param tokens number of tokens that each request generates.
void measure_throughput(const std::filesystem::path& binaries, int tokens) {
  auto description = fleet::example_fleet({"north"}, 1);
  auto& pipeline = description.records.at("templates/client-answer");
  const std::string old_limit = "max_tokens: 8";
  pipeline.replace(pipeline.find(old_limit), old_limit.size(),
                   "max_tokens: " + std::to_string(tokens));
  description.uses_proxy = false;
  for (auto& backend : description.backends) {
    backend.concurrency = 64;
    backend.service_microseconds = 2'000;
    backend.token_microseconds = 200;
    backend.max_in_flight = 1'000;
  }
  fleet::local_fleet fleet(binaries, description);
  fleet.start_all_nodes();
  auto& node = fleet.node("entry-north1");
  std::cout << "memory when idle: " << static_cast<double>(node.resident_bytes()) / 1e6 << " MB\n";
  constexpr unsigned caller_count = 24;
  constexpr int requests_per_caller = 400;
  const auto cpu_before = node.processor_seconds();
  const auto started_at = clock_type::now();
  std::vector<std::thread> threads;
  for (unsigned index = 0; index < caller_count; ++index) {
    threads.emplace_back([&] { measure_node_latencies(fleet, requests_per_caller); });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  const double elapsed = seconds_since(started_at);
  const double cpu_used = node.processor_seconds() - cpu_before;
  constexpr double total_requests = static_cast<double>(caller_count) * requests_per_caller;
  std::cout << "throughput: " << total_requests / elapsed << " requests/s with " << caller_count
            << " callers; processor time " << cpu_used / total_requests * 1e6
            << " us a request of four stages and " << tokens << " tokens; one core carries "
            << total_requests / cpu_used << " requests/s\n"
            << "memory after " << total_requests
            << " requests: " << static_cast<double>(node.resident_bytes()) / 1e6 << " MB\n";
}

int run_program(int argc, char** argv) {
  cxxopts::Options options("speed",
                           "Measures latency and throughput of real processes on this machine.");
  spurrack::logging::add_usual_options(options);
  const auto arguments = options.parse(argc, argv);
  if (spurrack::logging::handle_usual_options(options, arguments)) {
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
