#include "soak_run.h"

#include "crashing_request_check.h"
#include "planned_maintenance.h"
#include "rate_limit_check.h"
#include "self_report_check.h"
#include "soak_request.h"

#include "fleet/http_client.h"

#include <algorithm>
#include <thread>

namespace spurrack::platform_tests {
namespace {

using std::chrono::milliseconds;

/// Bounds of the platform with the slack of one busy machine.
constexpr milliseconds drain_bound{3'000};
constexpr milliseconds converge_bound{3'000};
constexpr milliseconds evacuation_bound{3'000};
/// For this long it is looked whether work still arrives where none may.
constexpr milliseconds idle_watch{500};
/// A replica that is good again gets work within this time under load.
constexpr milliseconds return_patience{3'000};
constexpr milliseconds poll_interval{20};
/// Time between the return of the store and the writing of what it lost.
constexpr milliseconds rollback_time{1'500};
constexpr std::size_t habits = 3;

} // namespace

soak_run::soak_run(const std::filesystem::path& binaries, const soak_options& options,
                   std::uint64_t seed)
    : options_(options), seed_(seed), random_(seed), fleet_(binaries, options.fleet, ledger_),
      foreign_(fleet_.store, ledger_), faults_(fleet_, foreign_, ledger_, random_) {}

std::vector<std::string> soak_run::play() {
  if (!fleet_.wait_all_ready(options_.ready_patience)) {
    return {"RECOVER: the nodes did not become ready"};
  }
  start_clients();
  for (std::size_t round = 0; round < options_.rounds; ++round) {
    faults_.strike_until(soak_clock::now() + options_.fault_time);
    return_to_calm();
    check_calm();
    // Older builds know neither.
    if (!fleet_.mixes_builds()) {
      check_limited_replica();
      check_stating_replicas();
      check_store_rollback();
      crashing_request(fleet_, ledger_, random_).check();
    }
    check_planned_work();
  }
  resident_bytes_ = fleet_.resident_bytes();
  end_clients();
  check_last_stops();
  return ledger_.violations();
}

void soak_run::start_clients() {
  for (std::size_t number = 0; number < fleet_.nodes.size() * options_.clients_per_node; ++number) {
    auto& client = clients_.emplace_back("c" + std::to_string(number),
                                         static_cast<client_habit>(number % habits), fleet_,
                                         ledger_, seed_ * 1'000 + number);
    client_threads_.emplace_back([this, &client] { client.run(clients_end_); });
  }
}

void soak_run::end_clients() {
  clients_end_ = true;
  for (auto& thread : client_threads_) {
    thread.join();
  }
}

void soak_run::return_to_calm() {
  const auto& restarted = faults_.heal();
  if (!fleet_.wait_all_ready(options_.ready_patience)) {
    ledger_.note_violation("RECOVER", "not all nodes became ready again");
  }
  std::this_thread::sleep_until(fleet_.unplanned_at.load() + contact_time);
  check_used_again(restarted);
}

void soak_run::check_calm() {
  const auto before = ledger_.counts();
  // Of different services, so that each keeps a replica.
  std::vector<std::string> services{"plain", "pool", "model"};
  auto& leaving = any_replica_of(base::take_random(services, random_), random_);
  auto& unreadable = any_replica_of(base::take_random(services, random_), random_);
  leaving.set_draining(true);
  fleet_.publish(leaving);
  foreign_.put_all();
  foreign_.overwrite(unreadable);
  fleet_.publish_configuration(false);
  fleet_.set_evacuated(evacuated_zone, true);
  std::this_thread::sleep_for(std::max({drain_bound, converge_bound, evacuation_bound}));
  const auto bound = soak_clock::now();
  check_key("extra", 401);
  check_key("base", 200);
  std::this_thread::sleep_for(idle_watch);
  check_idle_since(leaving, bound, "DRAIN", "it was leaving");
  check_idle_since(unreadable, bound, "FOREIGN", "its entry could not be read");
  for (const auto& replica : fleet_.replicas) {
    if (replica->zone() == evacuated_zone) {
      check_idle_since(*replica, bound, "EVAC", "its zone was evacuated");
    }
  }
  check_served(before);
  fleet_.set_evacuated(evacuated_zone, false);
  leaving.set_draining(false);
  fleet_.publish(leaving);
  fleet_.publish(unreadable);
  fleet_.publish_configuration(true);
  std::this_thread::sleep_for(converge_bound);
  check_key("extra", 200);
  check_used_again(leaving);
  check_used_again(unreadable);
}

void soak_run::check_limited_replica() {
  std::vector<std::string> services{"plain", "pool", "model"};
  // Draws of its own, so that kept seeds draw what they drew.
  base::seeded_random drawn(seed_);
  auto& limited = any_replica_of(base::take_random(services, drawn), drawn);
  limited_replica(limited, ledger_, drawn).check();
  std::this_thread::sleep_for(contact_time);
  check_used_again(limited);
}

void soak_run::check_stating_replicas() {
  std::vector<std::string> services{"plain", "pool", "model"};
  // Draws of its own, so that kept seeds draw what they drew.
  base::seeded_random drawn(seed_ + 1);
  auto& pausing = any_replica_of(base::take_random(services, drawn), drawn);
  stating_replica(pausing, fleet_, ledger_, drawn).check_pauses();
  check_used_again(pausing);
  auto& leaving = any_replica_of(base::take_random(services, drawn), drawn);
  stating_replica(leaving, fleet_, ledger_, drawn).check_leaving();
  std::this_thread::sleep_for(contact_time);
  check_used_again(leaving);
}

void soak_run::check_store_rollback() {
  auto& leaving = any_replica_of("plain", random_);
  fleet_.store.take_copy();
  fleet_.publish_configuration(false);
  leaving.set_draining(true);
  fleet_.publish(leaving);
  std::this_thread::sleep_for(std::max(drain_bound, converge_bound));
  check_key("extra", 401);
  const auto bound = soak_clock::now();
  fleet_.store.restore_copy();
  std::this_thread::sleep_for(rollback_time);
  check_key("extra", 401);
  check_key("base", 200);
  check_idle_since(leaving, bound, "DRAIN", "it was leaving before the store lost that");
  for (const auto& replica : fleet_.replicas) {
    fleet_.publish(*replica);
  }
  fleet_.publish_configuration(true);
  std::this_thread::sleep_for(converge_bound);
  check_key("extra", 200);
  leaving.set_draining(false);
  fleet_.publish(leaving);
  check_used_again(leaving);
}

void soak_run::check_planned_work() {
  planned_work work(fleet_, ledger_, random_);
  for (std::size_t number = 0; number < options_.rolling_restarts; ++number) {
    work.restart_all_nodes();
    if (!fleet_.wait_all_ready(options_.ready_patience)) {
      ledger_.note_violation("RECOVER", "not all nodes became ready after planned work");
    }
  }
}

void soak_run::check_last_stops() {
  planned_stops stops(fleet_, ledger_);
  for (const auto& node : fleet_.nodes) {
    stops.begin_last(*node);
  }
  stops.wait();
}

void soak_run::check_key(const std::string& key, unsigned expected) {
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

void soak_run::check_served(const std::map<std::string, std::size_t>& before) {
  constexpr double least_served = 0.9;
  std::size_t served = 0;
  std::size_t asked = 0;
  for (const auto& [what, count] : ledger_.counts()) {
    if (!soak_ledger::counts_answers(what)) {
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

void soak_run::check_idle_since(const soak_replica& replica, soak_clock::time_point bound,
                                const std::string& rule, const std::string& why) {
  if (replica.last_arrival() > bound) {
    ledger_.note_violation(rule, replica.id() + " got work after " + why);
  }
}

void soak_run::check_used_again(const soak_replica& replica) {
  const auto since = soak_clock::now();
  while (replica.last_arrival() < since) {
    if (soak_clock::now() - since > return_patience) {
      ledger_.note_violation("RECOVER", replica.id() + " gets no work although it is good again");
      return;
    }
    std::this_thread::sleep_for(poll_interval);
  }
}

soak_replica& soak_run::any_replica_of(const std::string& service, base::random_source& random) {
  std::vector<soak_replica*> found;
  for (const auto& replica : fleet_.replicas) {
    if (replica->service() == service) {
      found.push_back(replica.get());
    }
  }
  return *base::take_random(found, random);
}

} // namespace spurrack::platform_tests
