/// Runs each load scenario with each balancing policy on simulated fleets. Writes a report, and for
/// each user a gnuplot script and its data file.
#include "load_scenario.h"

#include "logging/guarded_main.h"
#include "logging/usual_options.h"

#include <cxxopts.hpp>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <mutex>
#include <sstream>
#include <thread>

namespace {

using namespace spurrack::experiment;

/// Combination of a user, a scenario and a balancing policy, with one result for each seed.
struct experiment_case {
  user_profile user;
  scenario load_scenario;
  policy_variant variant;
  std::vector<measurement> runs;
};

/// Formats the mean of a field over all runs as `mean ±deviation`. The deviation is the largest
/// difference between the value of one run and the mean.
/// @param scale factor by which the mean and the deviation are multiplied, such as 100 for percent.
/// @param digits number of decimal places.
std::string format_mean_and_deviation(const std::vector<measurement>& runs,
                                      double measurement::*field, double scale, int digits) {
  double mean = 0;
  for (const auto& run : runs) {
    mean += run.*field / static_cast<double>(runs.size());
  }
  double distance = 0;
  for (const auto& run : runs) {
    distance = std::max(distance, std::abs(run.*field - mean));
  }
  std::ostringstream text;
  text << std::fixed << std::setprecision(digits) << mean * scale << " ±" << distance * scale;
  return text.str();
}

void write_report(const std::vector<experiment_case>& cases, std::ostream& out) {
  out << "| user | scenario | policy | attainment % | goodput % | smallest tenant % | wasted % | "
         "refusal p99 ms | p50 ms | p95 ms | p99 ms | first token p95 ms |\n"
         "|---|---|---|---|---|---|---|---|---|---|---|---|\n";
  constexpr double percent = 100;
  constexpr double milli = 1000;
  for (const auto& entry : cases) {
    const auto& runs = entry.runs;
    out << "| " << entry.user.name << " | " << entry.load_scenario.name << " | "
        << entry.variant.name << " | "
        << format_mean_and_deviation(runs, &measurement::in_time_fraction, percent, 2) << " | "
        << format_mean_and_deviation(runs, &measurement::goodput, percent, 1) << " | "
        << format_mean_and_deviation(runs, &measurement::smallest_tenant_in_time_fraction, percent,
                                     1)
        << " | " << format_mean_and_deviation(runs, &measurement::wasted_time_fraction, percent, 1)
        << " | " << format_mean_and_deviation(runs, &measurement::refusal_p99_seconds, milli, 1)
        << " | " << format_mean_and_deviation(runs, &measurement::latency_p50_seconds, milli, 0)
        << " | " << format_mean_and_deviation(runs, &measurement::latency_p95_seconds, milli, 0)
        << " | " << format_mean_and_deviation(runs, &measurement::latency_p99_seconds, milli, 0)
        << " | " << format_mean_and_deviation(runs, &measurement::first_token_p95_seconds, milli, 0)
        << " |\n";
  }
}

/// Writes the data file and the gnuplot script of a plot that shows the goodput of one user by
/// scenario and policy. This program does not run gnuplot: run the script in `folder`.
void write_plot(const std::vector<experiment_case>& cases, const std::string& user,
                const std::filesystem::path& folder) {
  std::ofstream data(folder / (user + ".dat"));
  std::string last_scenario;
  data << "scenario";
  for (const auto& variant : all_variants()) {
    data << " \"" << variant.name << "\"";
  }
  for (const auto& entry : cases) {
    if (entry.user.name != user) {
      continue;
    }
    if (entry.load_scenario.name != last_scenario) {
      data << "\n\"" << entry.load_scenario.name << "\"";
      last_scenario = entry.load_scenario.name;
    }
    double mean = 0;
    for (const auto& run : entry.runs) {
      mean += run.goodput / static_cast<double>(entry.runs.size());
    }
    data << " " << mean * 100;
  }
  data << "\n";
  std::ofstream(folder / (user + ".gp"))
      << "set terminal svg size 1100,500\nset output '" << user << ".svg'\nset title '" << user
      << ": completed in time, % of what the capacity allows'\nset style data histogram\nset "
         "style fill solid\nset yrange [0:110]\nset xtics rotate by -20\nset key outside\nplot for "
         "[i=2:6] '"
      << user << ".dat' using i:xtic(1) title columnheader\n";
}

int run_program(int argc, char** argv) {
  cxxopts::Options options("experiment", "Compares policies on simulated fleets.");
  options.add_options()("out", "folder that the report is written to",
                        cxxopts::value<std::string>()->default_value("report"))(
      "seeds", "number of runs of each case, with different seeds",
      cxxopts::value<unsigned>()->default_value("3"))(
      "only", "run only the scenarios whose name contains this text",
      cxxopts::value<std::string>()->default_value(""))(
      "threads", "number of runs in parallel", cxxopts::value<unsigned>()->default_value("6"));
  spurrack::logging::add_usual_options(options);
  const auto arguments = options.parse(argc, argv);
  if (spurrack::logging::handle_usual_options(options, arguments)) {
    return 0;
  }
  const auto seeds = arguments["seeds"].as<unsigned>();
  std::vector<experiment_case> cases;
  for (const auto& user : {remittance_house(), cold_chain_association()}) {
    for (const auto& load_scenario : all_scenarios()) {
      if (load_scenario.name.find(arguments["only"].as<std::string>()) == std::string::npos) {
        continue;
      }
      for (const auto& variant : all_variants()) {
        cases.push_back({user, load_scenario, variant, std::vector<measurement>(seeds)});
      }
    }
  }
  std::atomic<std::size_t> next{0};
  std::vector<std::thread> workers;
  for (unsigned index = 0; index < arguments["threads"].as<unsigned>(); ++index) {
    workers.emplace_back([&] {
      for (auto run_index = next++; run_index < cases.size() * seeds; run_index = next++) {
        auto& entry = cases[run_index / seeds];
        const auto seed = run_index % seeds;
        entry.runs[seed] = run_scenario(entry.user, entry.load_scenario, entry.variant, seed + 1);
      }
    });
  }
  for (auto& worker : workers) {
    worker.join();
  }
  const std::filesystem::path folder(arguments["out"].as<std::string>());
  std::filesystem::create_directories(folder);
  std::ofstream report(folder / "report.md");
  write_report(cases, report);
  write_report(cases, std::cout);
  write_plot(cases, "remittance_house", folder);
  write_plot(cases, "cold_chain_association", folder);
  return 0;
}

} // namespace

int main(int argc, char** argv) {
  return spurrack::logging::guarded_main(run_program, argc, argv, 2);
}
