/// spurrackctl: the operators' read-only tool.
#include "ctl/check.h"
#include "ctl/reports.h"
#include "logging/guarded_main.h"
#include "logging/usual_options.h"

#include <cxxopts.hpp>

#include <iostream>
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
    "  status            readiness, configuration in force, refused entries, of each node\n"
    "  nodes             who each node sees as alive\n"
    "  backends          back ends as each node sees them\n"
    "  templates         templates and tenants in force\n"
    "  costs             cost by tenant, template and stage, over all nodes\n"
    "  timeline          events of all nodes in causal order\n"
    "  explain REQUEST   the time line of one request\n"
    "Exit codes: 0 well, 1 something is refused or not ready, 2 bad usage, 3 a node did not "
    "answer.\n";

exit_code run(const std::string& command, const std::vector<std::string>& arguments,
              const std::vector<std::string>& nodes, output_format format) {
  if (command == "check") {
    return spurrack::ctl::check_files(arguments, format, std::cout);
  }
  if (nodes.empty()) {
    std::cerr << "--nodes IP:port[,IP:port...] is required\n";
    return exit_code::bad_usage;
  }
  if (command == "explain" && arguments.size() != 1) {
    std::cerr << "explain takes one request id\n";
    return exit_code::bad_usage;
  }
  return spurrack::ctl::report(command, arguments, nodes, format, std::cout, std::cerr);
}

int run_program(int argc, char** argv) {
  cxxopts::Options options("spurrackctl", "Shows what a spurrack fleet does. Changes nothing.");
  options.add_options()("nodes", "operator listeners, IP:port, comma between",
                        cxxopts::value<std::string>()->default_value(""))(
      "output", "text or json", cxxopts::value<std::string>()->default_value("text"))(
      "command", "command", cxxopts::value<std::string>()->default_value(""))(
      "arguments", "arguments", cxxopts::value<std::vector<std::string>>()->default_value(""));
  spurrack::logging::add_usual_options(options);
  options.parse_positional({"command", "arguments"});
  options.positional_help("COMMAND [ARGUMENT...]");
  const auto given = options.parse(argc, argv);
  if (spurrack::logging::answer_usual_options(options, given)) {
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
