/// spurrackctl: command-line tool for operators. All commands except `release` are read-only.
#include "ctl/check.h"
#include "ctl/reports.h"
#include "ctl/request_log.h"
#include "logging/guarded_main.h"
#include "logging/usual_options.h"

#include <cxxopts.hpp>

#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

namespace {

using spurrack::ctl::exit_code;
using spurrack::ctl::output_format;

std::vector<std::string> split(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

constexpr const char* commands_help =
    "Commands:\n"
    "  check FILE...     check templates, tenants, machine records and settings, offline\n"
    "  status            readiness, configuration in effect and rejected entries of each node\n"
    "  nodes             members of the fleet and their state, as each node sees them\n"
    "  backends          back ends as each node sees them\n"
    "  templates         templates and tenants in effect\n"
    "  costs             cost by tenant, template and stage, summed over all nodes\n"
    "  timeline          events of all nodes in causal order\n"
    "  quarantine        requests under which replicas exited, as each node knows them\n"
    "  limits            replicas that announce a limit on requests per second\n"
    "  unavailable       replicas that announced their drain or requested a backoff\n"
    "  release DIGEST    release a quarantined request; the nodes forward the release\n"
    "  explain REQUEST [LOGFILE...]\n"
    "                    the timeline of one request, from live nodes or from their logs\n"
    "  account LOGFILE...\n"
    "                    outcomes of all requests by route, and reasons for unserved requests\n"
    "Exit codes: 0 success, 1 something is refused or not ready, 2 bad usage, 3 a node did not "
    "answer.\n";

/// Reads log files. If lines were unreadable or dropped, prints how many of each to standard error.
/// @return std::nullopt if a file cannot be read.
std::optional<spurrack::ctl::request_log> read_logs(const std::vector<std::string>& files) {
  spurrack::ctl::request_log log;
  for (const auto& name : files) {
    std::ifstream file(name);
    if (!file) {
      std::cerr << name << ": cannot be read\n";
      return std::nullopt;
    }
    spurrack::ctl::read_log(file, log);
  }
  if (log.unreadable_lines + log.dropped_lines > 0) {
    std::cerr << log.unreadable_lines << " lines are not valid log lines, " << log.dropped_lines
              << " were dropped by their nodes\n";
  }
  return log;
}

exit_code explain_from_logs(const std::string& request, const std::vector<std::string>& files) {
  const auto log = read_logs(files);
  if (!log) {
    return exit_code::bad_usage;
  }
  const auto events = spurrack::ctl::events_of(*log, request);
  spurrack::ctl::print(events, std::cout);
  return events.empty() ? exit_code::problem_found : exit_code::success;
}

exit_code summarize_logs(const std::vector<std::string>& files) {
  const auto log = read_logs(files);
  if (!log) {
    return exit_code::bad_usage;
  }
  spurrack::ctl::print(spurrack::ctl::summarize(*log), std::cout);
  return exit_code::success;
}

exit_code run(const std::string& command, const std::vector<std::string>& arguments,
              const std::vector<std::string>& nodes, output_format format) {
  if (command == "check") {
    return spurrack::ctl::check_files(arguments, format, std::cout);
  }
  if (command == "account" && arguments.empty()) {
    std::cerr << "account takes log files\n";
    return exit_code::bad_usage;
  }
  if (command == "account") {
    return summarize_logs(arguments);
  }
  if (command == "explain" && arguments.size() > 1) {
    return explain_from_logs(arguments.front(), {arguments.begin() + 1, arguments.end()});
  }
  if (nodes.empty()) {
    std::cerr << "--nodes IP:port[,IP:port...] is required\n";
    return exit_code::bad_usage;
  }
  if (command == "release" && arguments.size() != 1) {
    std::cerr << "release takes one request digest\n";
    return exit_code::bad_usage;
  }
  if (command == "release") {
    return spurrack::ctl::release(arguments.front(), nodes, std::cout, std::cerr);
  }
  if (command == "explain" && arguments.size() != 1) {
    std::cerr << "explain takes one request id\n";
    return exit_code::bad_usage;
  }
  return spurrack::ctl::report(command, arguments, nodes, format, std::cout, std::cerr);
}

int run_program(int argc, char** argv) {
  cxxopts::Options options("spurrackctl",
                           "Shows the state of a spurrack fleet. Only release changes anything.");
  options.add_options()("nodes", "operator listeners, IP:port, separated by commas",
                        cxxopts::value<std::string>()->default_value(""))(
      "output", "text or json", cxxopts::value<std::string>()->default_value("text"))(
      "command", "command", cxxopts::value<std::string>()->default_value(""))(
      "arguments", "arguments", cxxopts::value<std::vector<std::string>>()->default_value(""));
  spurrack::logging::add_usual_options(options);
  options.parse_positional({"command", "arguments"});
  options.positional_help("COMMAND [ARGUMENT...]");
  const auto given = options.parse(argc, argv);
  if (spurrack::logging::handle_usual_options(options, given)) {
    std::cout << (given.count("help") > 0 ? commands_help : "");
    return 0;
  }
  const auto output = given["output"].as<std::string>();
  if (output != "text" && output != "json") {
    std::cerr << "--output takes text or json\n";
    return static_cast<int>(exit_code::bad_usage);
  }
  std::vector<std::string> arguments;
  if (given.count("arguments") > 0) {
    arguments = given["arguments"].as<std::vector<std::string>>();
  }
  return static_cast<int>(run(given["command"].as<std::string>(), arguments,
                              split(given["nodes"].as<std::string>()),
                              output == "json" ? output_format::json : output_format::text));
}

} // namespace

int main(int argc, char** argv) {
  return spurrack::logging::guarded_main(run_program, argc, argv,
                                         static_cast<int>(exit_code::bad_usage));
}
