/// Runs simulated fleets under random faults, one run per seed. Prints the violated invariants of
/// each run, and exits with code 1 if a run violated an invariant.
#include "logging/guarded_main.h"
#include "logging/usual_options.h"
#include "simulation/random_faults.h"

#include <cxxopts.hpp>

#include <atomic>
#include <iostream>
#include <mutex>
#include <thread>
#include <vector>

namespace {

using spurrack::simulation::run_report;

std::mutex output_mutex;

void print(const run_report& report) {
  const std::lock_guard lock(output_mutex);
  std::cout << "seed " << report.seed << ":";
  for (const auto kind : report.faults) {
    std::cout << " " << spurrack::simulation::name_of(kind);
  }
  std::cout << "\n";
  for (const auto& violation : report.violations) {
    std::cout << "  " << violation.invariant << ": " << violation.detail << " " << violation.request
              << "\n";
  }
  std::cout << report.timeline << std::flush;
}

int run_program(int argc, char** argv) {
  cxxopts::Options options("fleet_soak", "Runs simulated fleets under random faults.");
  options.add_options()("seeds", "number of seeds",
                        cxxopts::value<std::uint64_t>()->default_value("1000"))(
      "first", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "threads", "number of runs in parallel", cxxopts::value<unsigned>()->default_value("4"));
  spurrack::logging::add_usual_options(options);
  const auto arguments = options.parse(argc, argv);
  if (spurrack::logging::handle_usual_options(options, arguments)) {
    return 0;
  }
  const auto first_seed = arguments["first"].as<std::uint64_t>();
  const auto seed_count = arguments["seeds"].as<std::uint64_t>();
  std::atomic<std::uint64_t> next_seed{first_seed};
  std::atomic<std::uint64_t> failed{0};
  std::atomic<std::uint64_t> requests{0};
  std::atomic<std::uint64_t> completed{0};
  std::atomic<std::uint64_t> effects{0};
  std::vector<std::thread> workers;
  for (unsigned index = 0; index < arguments["threads"].as<unsigned>(); ++index) {
    workers.emplace_back([&] {
      for (auto seed = next_seed++; seed < first_seed + seed_count; seed = next_seed++) {
        spurrack::simulation::run_options run;
        run.seed = seed;
        const auto report = spurrack::simulation::run_with_faults(run);
        requests += report.requests;
        completed += report.completed;
        effects += report.effects;
        if (!report.violations.empty()) {
          ++failed;
          print(report);
        }
      }
    });
  }
  for (auto& worker : workers) {
    worker.join();
  }
  std::cout << seed_count << " seeds, " << failed << " with violations; " << requests
            << " requests, " << completed << " completed, " << effects << " effects run\n";
  return failed == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv) {
  return spurrack::logging::guarded_main(run_program, argc, argv, 2);
}
