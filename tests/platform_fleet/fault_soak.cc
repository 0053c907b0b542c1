/// Randomized soak: real daemons under load while faults strike from outside, in series and
/// overlapping; what clients and replicas see is checked against the promises. Exit code 1 where
/// one was broken. A seed decides the faults; the scheduling of the machine does not repeat.
#include "soak_client.h"

#include "fleet/http_client.h"
#include "logging/guarded_main.h"
#include "logging/usual_options.h"

#include <cxxopts.hpp>

#include <csignal>
#include <functional>
#include <iostream>
#include <list>
#include <thread>

namespace {

using namespace spurrack;
using namespace spurrack::platform_tests;
using std::chrono::milliseconds;

constexpr milliseconds ready_patience{10'000};
constexpr milliseconds fault_gap{300};
constexpr milliseconds calm_time{3'500};
constexpr milliseconds stop_grace{9'000};
/// Bounds of the platform with the slack of one busy machine.
constexpr milliseconds drain_bound{3'000};
constexpr milliseconds converge_bound{3'000};
constexpr milliseconds evacuation_bound{3'000};
constexpr std::size_t fault_kinds = 12;
/// Every service has a replica outside this zone, also while one drains.
const std::string evacuated_zone = "west";
constexpr std::size_t clients_per_node = 6;

struct soak_options {
  std::size_t nodes = 4;
  milliseconds fault_time{6'000};
  std::size_t rounds = 1;
  bool two_regions = false;
};

/// One run with one seed.
class soak_run {
 public:
  soak_run(const std::filesystem::path& binaries, const soak_options& options, std::uint64_t seed)
      : options_(options), seed_(seed), random_(seed),
        fleet_(binaries, options.nodes, options.two_regions, ledger_) {}

  /// @return what was broken.
  std::vector<std::string> play() {
    if (!fleet_.wait_all_ready(ready_patience)) {
      return {"RECOVER: the nodes did not become ready"};
    }
    std::atomic<bool> stopping = false;
    std::list<soak_client> clients;
    std::vector<std::thread> threads;
    for (std::size_t number = 0; number < options_.nodes * clients_per_node; ++number) {
      auto& client = clients.emplace_back("c" + std::to_string(number), fleet_, ledger_,
                                          seed_ * 1'000 + number);
      threads.emplace_back([&client, &stopping] { client.run(stopping); });
    }
    for (std::size_t round = 0; round < options_.rounds; ++round) {
      disturb();
      heal();
      check_calm();
    }
    stopping = true;
    for (auto& thread : threads) {
      thread.join();
    }
    check_planned_end();
    return ledger_.violations();
  }

  [[nodiscard]] std::map<std::string, std::size_t> counts() const { return ledger_.counts(); }

 private:
  soak_node& any_node() { return *fleet_.nodes[random_.below(fleet_.nodes.size())]; }
  soak_replica& any_replica() { return *fleet_.replicas[random_.below(fleet_.replicas.size())]; }

  void note_disturbance() { fleet_.disturbed_at = soak_clock::now(); }

  void disturb() {
    const auto end = soak_clock::now() + options_.fault_time;
    while (soak_clock::now() < end) {
      note_disturbance();
      strike(random_.below(fault_kinds));
      std::this_thread::sleep_for(fault_gap + milliseconds(random_.below(500)));
    }
  }

  void strike(std::uint64_t kind) {
    auto& node = any_node();
    switch (kind) {
    case 0:
      ledger_.count("fault kill");
      node.process->signal(SIGKILL);
      node.process->wait();
      fleet_.start_node(node);
      break;
    case 1:
      ledger_.count("fault stop");
      stop_in_order(node);
      fleet_.start_node(node);
      break;
    case 2:
      ledger_.count("fault freeze");
      node.process->signal(SIGSTOP);
      frozen_.push_back(&node);
      break;
    case 3:
      thaw();
      break;
    case 4:
      ledger_.count("fault reload");
      fleet_.write_settings(node, random_.below(2) == 0);
      node.process->signal(SIGHUP);
      fleet_.write_settings(node, true);
      break;
    case 5:
      ledger_.count("fault peer link");
      fleet_.set_link(node.name, random_.below(2) == 0 ? "cut" : "black_hole");
      links_.push_back(node.name);
      break;
    case 6:
      disturb_replica_link(any_replica());
      break;
    case 7:
      ledger_.count("fault store");
      fleet_.store.set_mode(static_cast<store_mode>(1 + random_.below(4)));
      break;
    case 8:
      fleet_.store.set_mode(store_mode::normal);
      break;
    case 9:
      ledger_.count("fault replica");
      any_replica().set_mode(static_cast<replica_mode>(random_.below(6)));
      break;
    case 10:
      ledger_.count("fault evacuation or its end");
      fleet_.set_evacuated(evacuated_zone, random_.below(2) == 0);
      break;
    default:
      drain_or_return(any_replica());
      break;
    }
  }

  void disturb_replica_link(const soak_replica& replica) {
    ledger_.count("fault replica link");
    const auto choice = random_.below(3);
    fleet_.set_link(replica.id(), choice == 0 ? "cut" : choice == 1 ? "black_hole" : "", 80);
    links_.push_back(replica.id());
  }

  void drain_or_return(soak_replica& replica) {
    ledger_.count("fault drain or return");
    replica.set_draining(random_.below(2) == 0);
    fleet_.publish(replica);
  }

  void stop_in_order(soak_node& node) {
    thaw();
    node.process->signal(SIGTERM);
    const auto began = soak_clock::now();
    const int code = node.process->wait();
    if (code != 0 || soak_clock::now() - began > stop_grace) {
      ledger_.note_violation("LOST", node.name + " ended its stop with " + std::to_string(code));
    }
  }

  void thaw() {
    for (auto* node : frozen_) {
      node->process->signal(SIGCONT);
    }
    frozen_.clear();
  }

  void heal() {
    thaw();
    for (const auto& name : links_) {
      fleet_.set_link(name, "");
    }
    links_.clear();
    fleet_.store.set_mode(store_mode::normal);
    fleet_.set_evacuated(evacuated_zone, false);
    for (const auto& replica : fleet_.replicas) {
      replica->set_mode(replica_mode::normal);
      replica->set_draining(false);
      fleet_.publish(*replica);
    }
    note_disturbance();
    for (const auto& node : fleet_.nodes) {
      if (!node->process->running()) {
        ledger_.note_violation("LOST", node->name + " ended by itself");
        fleet_.start_node(*node);
      }
    }
    if (!fleet_.wait_all_ready(ready_patience)) {
      ledger_.note_violation("RECOVER", "not all nodes became ready again");
    }
    std::this_thread::sleep_for(calm_time);
  }

  /// While nothing is disturbed: drains, evacuations, keys that come and go, and whether requests
  /// are served.
  void check_calm() {
    const auto before = ledger_.counts();
    auto& leaving = any_replica();
    leaving.set_draining(true);
    fleet_.publish(leaving);
    fleet_.publish_configuration(false);
    fleet_.set_evacuated(evacuated_zone, true);
    std::this_thread::sleep_for(std::max({drain_bound, converge_bound, evacuation_bound}));
    const auto bound = soak_clock::now();
    check_key("extra", 401);
    check_key("base", 200);
    std::this_thread::sleep_for(milliseconds(500));
    if (leaving.last_arrival() > bound) {
      ledger_.note_violation("DRAIN", leaving.id() + " got work after it was leaving");
    }
    for (const auto& replica : fleet_.replicas) {
      if (replica->zone() == evacuated_zone && replica->last_arrival() > bound) {
        ledger_.note_violation("EVAC", replica->id() + " got work while its zone was evacuated");
      }
    }
    check_served(before);
    fleet_.set_evacuated(evacuated_zone, false);
    leaving.set_draining(false);
    fleet_.publish(leaving);
    fleet_.publish_configuration(true);
    std::this_thread::sleep_for(converge_bound);
    check_key("extra", 200);
  }

  void check_key(const std::string& key, unsigned expected) {
    for (const auto& node : fleet_.nodes) {
      const auto id = "probe" + std::to_string(++probes_);
      const auto answer = fleet::call({node->clients,
                                       "POST",
                                       soak_request::path("safe", id),
                                       {{"Host", "h"},
                                        {"X-Request-Id", id},
                                        {"X-Deadline-Ms", "3000"},
                                        {"Authorization", "Token " + key}},
                                       soak_request::body(id)});
      if (answer.status != expected) {
        ledger_.note_violation("CONFIG", node->name + " answered " + key + " with " +
                                             std::to_string(answer.status) + " " + answer.error);
      }
    }
  }

  void check_served(const std::map<std::string, std::size_t>& before) {
    constexpr double least_served = 0.9;
    std::size_t served = 0;
    std::size_t asked = 0;
    for (const auto& [what, count] : ledger_.counts()) {
      if (what.starts_with("fault")) {
        continue;
      }
      const auto earlier = before.find(what);
      const auto more = count - (earlier == before.end() ? 0 : earlier->second);
      asked += more;
      served += what.ends_with(" 200") ? more : 0;
    }
    if (asked == 0 || static_cast<double>(served) < least_served * static_cast<double>(asked)) {
      ledger_.note_violation("RECOVER", std::to_string(served) + " of " + std::to_string(asked) +
                                            " served while nothing was disturbed");
    }
  }

  void check_planned_end() {
    for (const auto& node : fleet_.nodes) {
      stop_in_order(*node);
    }
  }

  soak_options options_;
  std::uint64_t seed_;
  base::seeded_random random_;
  soak_ledger ledger_;
  soak_fleet fleet_;
  std::vector<soak_node*> frozen_;
  std::vector<std::string> links_;
  std::size_t probes_ = 0;
};

int run(int argc, char** argv) {
  cxxopts::Options options("platform_fault_soak",
                           "Real daemons before stand-ins of the platform, under random faults.");
  options.add_options()("first-seed", "first seed",
                        cxxopts::value<std::uint64_t>()->default_value("1"))(
      "seeds", "seeds to play", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "nodes", "daemons", cxxopts::value<std::size_t>()->default_value("4"))(
      "rounds", "phases of faults in each run", cxxopts::value<std::size_t>()->default_value("1"))(
      "two-regions", "each zone is a region, and some requests are held to one")(
      "fault-seconds", "length of a phase of faults", cxxopts::value<double>()->default_value("6"));
  logging::add_usual_options(options);
  const auto given = options.parse(argc, argv);
  if (logging::answer_usual_options(options, given)) {
    return 0;
  }
  const soak_options wanted{
      given["nodes"].as<std::size_t>(),
      milliseconds(static_cast<int>(given["fault-seconds"].as<double>() * 1000)),
      given["rounds"].as<std::size_t>(), given.count("two-regions") > 0};
  const auto first = given["first-seed"].as<std::uint64_t>();
  std::size_t broken = 0;
  for (auto seed = first; seed < first + given["seeds"].as<std::uint64_t>(); ++seed) {
    soak_run played(SPURRACK_BINARIES, wanted, seed);
    const auto violations = played.play();
    std::cout << "seed " << seed << ": " << violations.size() << " violations;";
    for (const auto& [what, count] : played.counts()) {
      std::cout << " " << what << " " << count << ",";
    }
    std::cout << std::endl;
    constexpr std::size_t most_shown = 20;
    for (std::size_t shown = 0; shown < std::min(most_shown, violations.size()); ++shown) {
      std::cout << "  " << violations[shown] << std::endl;
    }
    broken += violations.empty() ? 0 : 1;
  }
  std::cout << broken << " seeds with violations" << std::endl;
  return broken == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv) {
  constexpr int exit_exception = 2;
  return logging::guarded_main(run, argc, argv, exit_exception);
}
