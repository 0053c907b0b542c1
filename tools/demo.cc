/// Demo: starts a small fleet of real processes on this machine and sends requests of both users of
/// the project. Prints the answers, the cost of each stage and the timeline of one request. Exits
/// with a non-zero code if an answer is wrong or a node does not stop with code 0.
#include "fleet/example_records.h"
#include "logging/guarded_main.h"
#include "logging/usual_options.h"

#include <csignal>
#include <iostream>

namespace {

namespace json = boost::json;
using spurrack::fleet::local_fleet;

struct demo_request {
  std::string node;
  std::string pipeline;
  std::string token;
  std::string input;
  std::string expected_stage;
  std::string expected_output;
  /// Whether the request carries a ticket, the permission of a node to run the request once.
  bool has_ticket = false;
};

std::string string_field(const json::object& body, const char* name) {
  const auto* value = body.if_contains(name);
  return value != nullptr && value->is_string() ? std::string(value->as_string()) : "";
}

/// Sends a request and prints its answer.
/// @return id of the request if the answer is right; an empty string otherwise.
std::string run_request(const local_fleet& fleet, const demo_request& request) {
  std::map<std::string, std::string> headers;
  if (request.has_ticket) {
    headers["Spurrack-Ticket"] = fleet.request_ticket(request.node, request.token);
  }
  const auto answer = fleet.send_request(request.node, request.pipeline, request.token,
                                         {{"input", request.input}}, headers);
  const auto body = answer.json();
  std::cout << "\n== " << request.pipeline << " through " << request.node << ": "
            << string_field(body, "outcome") << "\n";
  const auto* outputs = body.if_contains("outputs");
  const auto output =
      outputs == nullptr ? "" : string_field(outputs->as_object(), request.expected_stage.c_str());
  std::cout << "   " << request.expected_stage << ": " << output << "\n";
  if (const auto* costs = body.if_contains("cost")) {
    for (const auto& cost : costs->as_array()) {
      const auto& entry = cost.as_object();
      std::cout << "   cost " << string_field(entry, "stage") << ": "
                << entry.at("backend_ms").to_number<double>() << " ms, "
                << entry.at("tokens").as_int64() << " tokens, " << entry.at("attempts").as_int64()
                << " attempt(s)\n";
    }
  }
  if (answer.status != 200 || output != request.expected_output) {
    std::cout << "   WRONG: expected " << request.expected_output << ", got: " << answer.body
              << "\n";
    return "";
  }
  return string_field(body, "request_id");
}

/// Prints the timeline of a request, using `spurrackctl explain`.
/// @return exit code of spurrackctl.
int show_timeline(const local_fleet& fleet, const std::filesystem::path& binaries,
                  const std::string& request) {
  std::string nodes;
  for (const auto& node : fleet.description().nodes) {
    nodes += (nodes.empty() ? "" : ",") + fleet.addresses(node.name).operators;
  }
  std::cout << "\n== time line of " << request << "\n" << std::flush;
  spurrack::fleet::child_process ctl(
      binaries / "spurrackctl", {"--nodes", nodes, "explain", request}, fleet.folder() / "ctl.log");
  return ctl.wait();
}

int run_program(int argc, char** argv) {
  cxxopts::Options options("spurrack_demo", "A fleet of real processes that serves some requests.");
  spurrack::logging::add_usual_options(options);
  const auto arguments = options.parse(argc, argv);
  if (spurrack::logging::handle_usual_options(options, arguments)) {
    return 0;
  }
  const auto binaries = std::filesystem::absolute(argv[0]).parent_path();
  std::cout << "starting: platform, 2 zones, 4 nodes, 18 back ends\n";
  local_fleet fleet(binaries, spurrack::fleet::example_fleet({"north", "south"}, 2));
  fleet.start_all_nodes();
  std::cout << "all nodes are ready\n";
  const std::vector<demo_request> requests{
      {"entry-north1", "client-answer", spurrack::fleet::agents_token, "donde esta mi giro",
       "generate", "generate(rerank(retrieve(encode(donde esta mi giro)))) w1 w2 w3 w4 w5 w6 w7",
       false},
      {"entry-north2", "transfer-confirmation", spurrack::fleet::agents_token, "giro 4711",
       "payout-notice", "call(generate(encode(giro 4711)) w1 w2 w3)", true},
      {"entry-south1", "excursion-report", spurrack::fleet::members_token, "probe 12", "generate",
       "generate(rerank(retrieve(encode(probe 12)))) w1 w2 w3 w4 w5 w6 w7 w8 w9 w10 w11", false},
      {"entry-south2", "officer-alert", spurrack::fleet::members_token, "store 3 at 11 C",
       "officer-alert", "call(generate(store 3 at 11 C) w1 w2 w3)", true}};
  std::string last_request_id;
  for (const auto& request : requests) {
    last_request_id = run_request(fleet, request);
    if (last_request_id.empty()) {
      return 1;
    }
  }
  if (show_timeline(fleet, binaries, last_request_id) != 0) {
    return 1;
  }
  for (const auto& node : fleet.description().nodes) {
    fleet.node(node.name).signal(SIGTERM);
  }
  for (const auto& node : fleet.description().nodes) {
    const int code = fleet.node(node.name).wait();
    if (code != 0) {
      std::cout << node.name << " ended with code " << code << "\n";
      return 1;
    }
  }
  std::cout << "\nall answers right; all nodes stopped with code 0\n";
  return 0;
}

} // namespace

int main(int argc, char** argv) {
  return spurrack::logging::guarded_main(run_program, argc, argv, 1);
}
