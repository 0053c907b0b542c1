/// Runs all load scenarios with all policies and writes a report with plots.
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

struct job {
  user_profile user;
  scenario load;
  variant tried;
  std::vector<measurement> runs;
};

/// Mean and largest distance from it over the runs.
std::string spread(const std::vector<measurement>& runs, double measurement::*field, double scale,
                   int digits) {
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

void write_report(const std::vector<job>& jobs, std::ostream& out) {
  out << "| user | scenario | policy | attainment % | goodput % | smallest tenant % | wasted % | "
         "refusal p99 ms | p50 ms | p95 ms | p99 ms | first token p95 ms |\n"
         "|---|---|---|---|---|---|---|---|---|---|---|---|\n";
  constexpr double percent = 100;
  constexpr double milli = 1000;
  for (const auto& entry : jobs) {
    const auto& runs = entry.runs;
    out << "| " << entry.user.name << " | " << entry.load.name << " | " << entry.tried.name << " | "
        << spread(runs, &measurement::attainment, percent, 2) << " | "
        << spread(runs, &measurement::goodput, percent, 1) << " | "
        << spread(runs, &measurement::smallest_tenant_attainment, percent, 1) << " | "
        << spread(runs, &measurement::wasted, percent, 1) << " | "
        << spread(runs, &measurement::refusal_p99, milli, 1) << " | "
        << spread(runs, &measurement::p50, milli, 0) << " | "
        << spread(runs, &measurement::p95, milli, 0) << " | "
        << spread(runs, &measurement::p99, milli, 0) << " | "
        << spread(runs, &measurement::first_token_p95, milli, 0) << " |\n";
  }
}

/// One plot a user: goodput by scenario and policy, drawn by gnuplot where the caller runs it.
void write_plot(const std::vector<job>& jobs, const std::string& user,
                const std::filesystem::path& folder) {
  std::ofstream data(folder / (user + ".dat"));
  std::string last;
  data << "scenario";
  for (const auto& tried : all_variants()) {
    data << " \"" << tried.name << "\"";
  }
  for (const auto& entry : jobs) {
    if (entry.user.name != user) {
      continue;
    }
    if (entry.load.name != last) {
      data << "\n\"" << entry.load.name << "\"";
      last = entry.load.name;
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
  options.add_options()("out", "folder of the report",
                        cxxopts::value<std::string>()->default_value("report"))(
      "seeds", "runs of each", cxxopts::value<unsigned>()->default_value("3"))(
      "only", "scenarios whose name holds this", cxxopts::value<std::string>()->default_value(""))(
      "threads", "at the same time", cxxopts::value<unsigned>()->default_value("6"));
  spurrack::logging::add_usual_options(options);
  const auto given = options.parse(argc, argv);
  if (spurrack::logging::handle_usual_options(options, given)) {
    return 0;
  }
  const auto seeds = given["seeds"].as<unsigned>();
  std::vector<job> jobs;
  for (const auto& user : {remittance_house(), cold_chain_association()}) {
    for (const auto& load : all_scenarios()) {
      if (load.name.find(given["only"].as<std::string>()) == std::string::npos) {
        continue;
      }
      for (const auto& tried : all_variants()) {
        jobs.push_back({user, load, tried, std::vector<measurement>(seeds)});
      }
    }
  }
  std::atomic<std::size_t> next{0};
  std::vector<std::thread> workers;
  for (unsigned index = 0; index < given["threads"].as<unsigned>(); ++index) {
    workers.emplace_back([&] {
      for (auto turn = next++; turn < jobs.size() * seeds; turn = next++) {
        auto& entry = jobs[turn / seeds];
        const auto seed = turn % seeds;
        entry.runs[seed] = run_scenario(entry.user, entry.load, entry.tried, seed + 1);
      }
    });
  }
  for (auto& worker : workers) {
    worker.join();
  }
  const std::filesystem::path folder(given["out"].as<std::string>());
  std::filesystem::create_directories(folder);
  std::ofstream report(folder / "report.md");
  write_report(jobs, report);
  write_report(jobs, std::cout);
  write_plot(jobs, "remittance_house", folder);
  write_plot(jobs, "cold_chain_association", folder);
  return 0;
}

} // namespace

int main(int argc, char** argv) {
  return spurrack::logging::guarded_main(run_program, argc, argv, 2);
}
