/// spurrackd: the daemon. Reads its settings, starts one node and runs until SIGTERM or SIGINT.
#include "daemon/runtime.h"
#include "http_codec.h"
#include "logging/fatal_signal.h"
#include "logging/guarded_main.h"
#include "logging/json_log.h"
#include "logging/usual_options.h"
#include "settings/settings.h"
#include "store_client.h"

#include <cxxopts.hpp>
#include <pthread.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

constexpr int exit_ok = 0;
constexpr int exit_bad_settings = 2;
constexpr int exit_cannot_start = 3;

/// Blocks or unblocks SIGHUP. The signal would end the process if it arrived before the runtime
/// has installed its handler.
/// @param how SIG_BLOCK or SIG_UNBLOCK.
void mask_reload_signal(int how) {
  sigset_t reload;
  sigemptyset(&reload);
  sigaddset(&reload, SIGHUP);
  pthread_sigmask(how, &reload, nullptr);
}

/// @return the settings, or the faults in them; neither if the file cannot be read.
spurrack::settings::settings_result read_settings(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return {};
  }
  std::ostringstream text;
  text << file.rdbuf();
  return spurrack::settings::parse_settings(text.str());
}

void print_faults(const std::string& path, const spurrack::settings::settings_result& result) {
  if (result.faults.empty()) {
    std::cerr << path << ": cannot be read\n";
  }
  for (const auto& fault : result.faults) {
    std::cerr << path << ": " << spurrack::model::describe(fault) << "\n";
  }
}

int run(const std::string& path, bool check_only) {
  auto result = read_settings(path);
  if (!result.value) {
    print_faults(path, result);
    return exit_bad_settings;
  }
  auto& settings = result.value;
  if (check_only) {
    std::cout << path << ": ok\n";
    return exit_ok;
  }
  spurrack::logging::start("spurrackd", settings->node.self.node.text(),
                           settings->node.self.zone.text());
  spurrack::logging::log_fatal_signals(settings->node.self.node.text(),
                                       settings->node.self.zone.text());
  try {
    boost::asio::io_context io(1);
    spurrack::daemon::runtime runtime(
        io, std::move(*settings),
        {spurrack::platform::make_http_codec(), spurrack::platform::make_store_client},
        [path] { return read_settings(path); });
    // Unblocking delivers a SIGHUP that arrived during the start, so that the settings file is read
    // again: the file may have changed since its first reading.
    mask_reload_signal(SIG_UNBLOCK);
    io.run();
    // A SIGHUP that arrives when the runtime no longer handles it would end the process.
    mask_reload_signal(SIG_BLOCK);
  } catch (const std::exception& error) {
    spurrack::logging::write(spurrack::logging::severity::error, "fatal error",
                             {{"reason", error.what()}});
    return exit_cannot_start;
  }
  return exit_ok;
}

int run_program(int argc, char** argv) {
  cxxopts::Options options("spurrackd", "Serves multi-stage model pipelines.");
  options.add_options()("settings", "YAML file with the settings", cxxopts::value<std::string>())(
      "check-settings", "check the settings and exit");
  spurrack::logging::add_usual_options(options);
  const auto given = options.parse(argc, argv);
  if (spurrack::logging::handle_usual_options(
          options, given,
          "0 stopped or settings valid, 2 bad usage or settings, 3 cannot start.")) {
    return exit_ok;
  }
  return run(given["settings"].as<std::string>(), given.count("check-settings") > 0);
}

} // namespace

int main(int argc, char** argv) {
  mask_reload_signal(SIG_BLOCK);
  return spurrack::logging::guarded_main(run_program, argc, argv, exit_bad_settings);
}
