#include "soak_run.h"

#include "broken_answer_phase.h"
#include "crashing_request_check.h"
#include "out_of_step_phase.h"
#include "planned_maintenance.h"
#include "rate_limit_check.h"
#include "self_report_check.h"
#include "silence_phase.h"
#include "soak_request.h"
#include "software_roll.h"

#include "fleet/http_client.h"

#include <algorithm>
#include <thread>

namespace spurrack::platform_tests {
namespace {

using std::chrono::milliseconds;

/// Maximum times that the platform allows until all nodes have reacted to the drain of a replica,
/// to a configuration change, and to the evacuation of a zone, plus slack for a busy machine.
constexpr milliseconds drain_timeout{3'000};
constexpr milliseconds convergence_timeout{3'000};
constexpr milliseconds evacuation_timeout{3'000};
/// Time for which the soak observes replicas that must not receive requests.
constexpr milliseconds idle_observation_time{500};
/// Time for which the soak observes whether requests are served after silences or broken answers.
constexpr milliseconds served_observation_time{2'000};
/// Maximum time until a replica that is usable again receives a request under load.
constexpr milliseconds first_request_timeout{3'000};
constexpr milliseconds poll_interval{20};
/// Time between the rollback of the store and the rewriting of the entries that the rollback lost.
constexpr milliseconds time_before_rewrite{1'500};

} // namespace

soak_run::soak_run(const std::filesystem::path& binaries, const soak_options& options,
                   std::uint64_t seed)
    : options_(options), seed_(seed), random_(seed), broken_answers_(seed + 3),
      fleet_(binaries, options.fleet, recorder_),
      foreign_entries_(fleet_.store, recorder_,
                       fleet_.mixes_builds() ? std::nullopt : std::optional(seed + 5)),
      faults_(fleet_, foreign_entries_, recorder_, random_) {
  for (const auto& replica : fleet_.replicas) {
    replica->set_broken_answer_source(broken_answers_);
  }
}

std::vector<std::string> soak_run::run() {
  if (!fleet_.wait_until_all_ready(options_.ready_timeout)) {
    return {"RECOVER: the nodes did not become ready"};
  }
  start_clients();
  for (std::size_t phase = 0; phase < options_.phases; ++phase) {
    software_roll roll(fleet_, recorder_);
    if (options_.should_roll_software) {
      roll.start();
    }
    broken_answers_.set_active(true);
    faults_.inject_until(soak_clock::now() + options_.fault_duration);
    broken_answers_.set_active(false);
    roll.stop();
    recover();
    check_without_faults();
    // These checks are omitted in a fleet with nodes of two builds, because older builds lack the
    // features that the checks test.
    if (!fleet_.mixes_builds()) {
      check_rate_limited_replica();
      check_self_reporting_replicas();
      check_store_rollback();
      crashing_request_check(fleet_, recorder_, random_).check();
    }
    check_planned_maintenance();
    check_broken_answers();
    if (options_.has_silences) {
      check_silences();
    }
    if (options_.has_node_out_of_step) {
      check_node_out_of_step();
    }
  }
  resident_bytes_ = fleet_.resident_bytes();
  stop_clients();
  if (!fleet_.mixes_builds()) {
    check_revocation_of_all_keys();
  }
  check_final_stops();
  return recorder_.violations();
}

void soak_run::start_clients() {
  for (std::size_t number = 0; number < fleet_.nodes.size() * options_.clients_per_node; ++number) {
    auto& client = clients_.emplace_back("c" + std::to_string(number),
                                         static_cast<client_mode>(number % client_mode_count),
                                         fleet_, recorder_, seed_ * 1'000 + number);
    client_threads_.emplace_back([this, &client] { client.run(should_stop_clients_); });
  }
}

void soak_run::stop_clients() {
  should_stop_clients_ = true;
  for (auto& thread : client_threads_) {
    thread.join();
  }
}

void soak_run::recover() {
  const auto& restarted = faults_.end_faults();
  if (!fleet_.wait_until_all_ready(options_.ready_timeout)) {
    recorder_.note_violation("RECOVER", "not all nodes became ready again");
  }
  std::this_thread::sleep_until(fleet_.last_fault_at.load() + settle_time);
  check_used_again(restarted);
}

void soak_run::check_without_faults() {
  const auto counts_before = recorder_.counts();
  // The two replicas belong to different services, so that each service keeps usable replicas.
  std::vector<std::string> services{"plain", "pool", "model"};
  auto& draining = random_replica_of(base::take_random(services, random_), random_);
  auto& unreadable = random_replica_of(base::take_random(services, random_), random_);
  draining.set_draining(true);
  fleet_.publish(draining);
  foreign_entries_.put_all();
  foreign_entries_.overwrite(unreadable);
  fleet_.publish_configuration(false);
  fleet_.set_evacuated(evacuated_zone, true);
  std::this_thread::sleep_for(std::max({drain_timeout, convergence_timeout, evacuation_timeout}));
  const auto quiet_since = soak_clock::now();
  check_api_key("extra", 401);
  check_api_key("base", 200);
  std::this_thread::sleep_for(idle_observation_time);
  check_no_request_since(draining, quiet_since, "DRAIN", "it was draining");
  check_no_request_since(unreadable, quiet_since, "FOREIGN", "its entry could not be read");
  for (const auto& replica : fleet_.replicas) {
    if (replica->zone() == evacuated_zone) {
      check_no_request_since(*replica, quiet_since, "EVAC", "its zone was evacuated");
    }
  }
  check_success_rate(counts_before);
  fleet_.set_evacuated(evacuated_zone, false);
  draining.set_draining(false);
  fleet_.publish(draining);
  fleet_.publish(unreadable);
  fleet_.publish_configuration(true);
  std::this_thread::sleep_for(convergence_timeout);
  check_api_key("extra", 200);
  check_used_again(draining);
  check_used_again(unreadable);
}

void soak_run::check_rate_limited_replica() {
  std::vector<std::string> services{"plain", "pool", "model"};
  // This check has its own random source, so that its random choices do not change the faults to
  // which the seeds in seeds.txt lead.
  base::seeded_random separate_random(seed_);
  auto& limited = random_replica_of(base::take_random(services, separate_random), separate_random);
  rate_limit_check(limited, recorder_, separate_random).check();
  std::this_thread::sleep_for(settle_time);
  check_used_again(limited);
}

void soak_run::check_self_reporting_replicas() {
  std::vector<std::string> services{"plain", "pool", "model"};
  // This check has its own random source, so that its random choices do not change the faults to
  // which the seeds in seeds.txt lead.
  base::seeded_random separate_random(seed_ + 1);
  auto& backing_off =
      random_replica_of(base::take_random(services, separate_random), separate_random);
  self_report_check(backing_off, fleet_, recorder_, separate_random).check_requested_backoff();
  check_used_again(backing_off);
  auto& draining = random_replica_of(base::take_random(services, separate_random), separate_random);
  self_report_check(draining, fleet_, recorder_, separate_random).check_drain_announcement();
  std::this_thread::sleep_for(settle_time);
  check_used_again(draining);
}

void soak_run::check_store_rollback() {
  auto& draining = random_replica_of("plain", random_);
  fleet_.store.take_snapshot();
  fleet_.publish_configuration(false);
  draining.set_draining(true);
  fleet_.publish(draining);
  std::this_thread::sleep_for(std::max(drain_timeout, convergence_timeout));
  check_api_key("extra", 401);
  const auto quiet_since = soak_clock::now();
  fleet_.store.restore_snapshot();
  std::this_thread::sleep_for(time_before_rewrite);
  check_api_key("extra", 401);
  check_api_key("base", 200);
  check_no_request_since(draining, quiet_since, "DRAIN",
                         "it was draining before the store was rolled back");
  for (const auto& replica : fleet_.replicas) {
    fleet_.publish(*replica);
  }
  fleet_.publish_configuration(true);
  std::this_thread::sleep_for(convergence_timeout);
  check_api_key("extra", 200);
  draining.set_draining(false);
  fleet_.publish(draining);
  check_used_again(draining);
}

void soak_run::check_planned_maintenance() {
  planned_maintenance maintenance(fleet_, recorder_, random_);
  for (std::size_t number = 0; number < options_.rolling_restarts; ++number) {
    maintenance.restart_all_nodes();
    if (!fleet_.wait_until_all_ready(options_.ready_timeout)) {
      recorder_.note_violation("RECOVER", "not all nodes became ready after planned maintenance");
    }
  }
}

void soak_run::check_broken_answers() {
  // The phase has its own random source, so that its random choices do not change the faults to
  // which the seeds in seeds.txt lead.
  broken_answer_phase(fleet_, recorder_, broken_answers_, seed_ + 4).run();
  std::this_thread::sleep_for(settle_time);
  const auto counts_before = recorder_.counts();
  std::this_thread::sleep_for(served_observation_time);
  check_success_rate(counts_before);
}

void soak_run::check_silences() {
  // The phase has its own random source, so that its random choices do not change the faults to
  // which the seeds in seeds.txt lead.
  silence_phase(fleet_, recorder_, seed_ + 2).run();
  if (!fleet_.wait_until_all_ready(options_.ready_timeout)) {
    recorder_.note_violation("RECOVER", "not all nodes became ready after silences");
  }
  std::this_thread::sleep_for(settle_time);
  const auto counts_before = recorder_.counts();
  std::this_thread::sleep_for(served_observation_time);
  check_success_rate(counts_before);
}

void soak_run::check_node_out_of_step() {
  // The phase has its own random source, so that its random choices do not change the faults to
  // which the seeds in seeds.txt lead.
  out_of_step_phase(fleet_, recorder_, seed_ + 5).run();
  if (!fleet_.wait_until_all_ready(options_.ready_timeout)) {
    recorder_.note_violation("RECOVER", "not all nodes became ready after one was out of step");
  }
  std::this_thread::sleep_until(fleet_.last_fault_at.load() + settle_time);
  const auto counts_before = recorder_.counts();
  std::this_thread::sleep_for(served_observation_time);
  check_success_rate(counts_before);
}

void soak_run::check_revocation_of_all_keys() {
  const auto keys = seed_ % 2 == 0 ? held_keys::none : held_keys::no_tenant;
  fleet_.publish_configuration(configuration_contents{.keys = keys});
  std::this_thread::sleep_for(convergence_timeout);
  for (const std::string key : {"base", "extra", "never-held"}) {
    check_api_key(key, 401);
  }
  fleet_.publish_configuration(true);
  std::this_thread::sleep_for(convergence_timeout);
  check_api_key("base", 200);
  check_api_key("never-held", 401);
}

void soak_run::check_final_stops() {
  graceful_stops stops(fleet_, recorder_);
  for (const auto& node : fleet_.nodes) {
    stops.begin_final(*node);
  }
  stops.wait();
}

void soak_run::check_api_key(const std::string& key, unsigned expected) {
  for (const auto& node : fleet_.nodes) {
    const auto id = "probe" + std::to_string(++probe_count_);
    const auto answer = fleet::call({node->client_address,
                                     "POST",
                                     soak_request::path("safe", id),
                                     {{"Host", "h"},
                                      {"X-Request-Id", id},
                                      {"X-Deadline-Ms", "3000"},
                                      {"Authorization", "Token " + key}},
                                     soak_request::body(id)});
    if (answer.status != expected) {
      recorder_.note_violation("CONFIG", node->name + " answered " + key + " with " +
                                             std::to_string(answer.status) + " " + answer.error);
    }
  }
}

void soak_run::check_success_rate(const std::map<std::string, std::size_t>& counts_before) {
  constexpr double min_success_rate = 0.9;
  std::size_t successes = 0;
  std::size_t requests = 0;
  for (const auto& [label, count] : recorder_.counts()) {
    if (!soak_recorder::is_answer_count(label)) {
      continue;
    }
    const auto earlier = counts_before.find(label);
    const auto increase = count - (earlier == counts_before.end() ? 0 : earlier->second);
    requests += increase;
    successes += label.ends_with(" 200") ? increase : 0;
  }
  if (requests == 0 ||
      static_cast<double>(successes) < min_success_rate * static_cast<double>(requests)) {
    recorder_.note_violation("RECOVER", std::to_string(successes) + " of " +
                                            std::to_string(requests) +
                                            " requests succeeded without any fault");
  }
}

void soak_run::check_no_request_since(const soak_replica& replica,
                                      soak_clock::time_point quiet_since, const std::string& rule,
                                      const std::string& reason) {
  if (replica.last_arrival_at() > quiet_since) {
    recorder_.note_violation(rule, replica.id() + " received requests after " + reason);
  }
}

void soak_run::check_used_again(const soak_replica& replica) {
  const auto since = soak_clock::now();
  while (replica.last_arrival_at() < since) {
    if (soak_clock::now() - since > first_request_timeout) {
      recorder_.note_violation("RECOVER", replica.id() + " gets no work although it is good again");
      return;
    }
    std::this_thread::sleep_for(poll_interval);
  }
}

soak_replica& soak_run::random_replica_of(const std::string& service, base::random_source& random) {
  std::vector<soak_replica*> candidates;
  for (const auto& replica : fleet_.replicas) {
    if (replica->service() == service) {
      candidates.push_back(replica.get());
    }
  }
  return *base::take_random(candidates, random);
}

} // namespace spurrack::platform_tests
