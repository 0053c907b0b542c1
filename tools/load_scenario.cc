#include "load_scenario.h"

#include <algorithm>
#include <cmath>

namespace spurrack::experiment {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::duration warm_up_time = seconds(4);
constexpr base::duration measured_time = seconds(15);
constexpr base::duration deadline = milliseconds(1500);

std::string token_of(const std::string& tenant) {
  auto token = std::string(64, '0');
  token[0] = static_cast<char>('a' + tenant.back() % 6);
  token[1] = static_cast<char>('0' + tenant.back() % 10);
  return token;
}

std::string tenant_record(const std::string& name) {
  return "{name: " + name + ", token_sha256: " + token_of(name) +
         ", templates: {answer: {}, review: {}}}";
}

constexpr const char* answer_template = R"(name: answer
deadline_ms: 1500
stages:
  - {name: encode, kind: encode, pool: encoders}
  - {name: retrieve, kind: retrieve, pool: retrievers}
  - {name: rerank, kind: rerank, pool: rerankers}
  - {name: generate, kind: generate, pool: engines, max_tokens: 20}
)";
/// Pipeline template that mainly loads the retrievers and rerankers: it has two stages for each of
/// them, and generates only a few tokens.
constexpr const char* review_template = R"(name: review
deadline_ms: 1500
stages:
  - {name: encode, kind: encode, pool: encoders}
  - {name: retrieve, kind: retrieve, pool: retrievers}
  - {name: rerank, kind: rerank, pool: rerankers}
  - {name: retrieve-more, kind: retrieve, pool: retrievers}
  - {name: rerank-more, kind: rerank, pool: rerankers}
  - {name: generate, kind: generate, pool: engines, max_tokens: 2}
)";

void add_pool(user_profile& user, const std::string& pool, int replicas, std::uint32_t concurrency,
              base::duration service, base::duration token) {
  static const std::vector<std::string> zones{"a", "b", "c", "d"};
  for (int index = 0; index < replicas; ++index) {
    simulation::backend_profile profile;
    profile.zone = zones[static_cast<std::size_t>(index) % zones.size()];
    profile.name = pool + "-" + profile.zone + std::to_string(index);
    profile.pool = pool;
    profile.concurrency = concurrency;
    // Like real engines, a simulated back end queues calls that it cannot run at once, and refuses
    // a call only if its queue is very long.
    profile.max_calls = concurrency * 40;
    profile.service_time = service;
    profile.time_per_token = token;
    profile.has_early_first_token = true;
    user.backends.push_back(profile);
  }
}

user_profile make_user(const std::string& name, int engines, double answer_share) {
  user_profile user;
  user.name = name;
  for (const auto* zone : {"a", "b", "c", "d"}) {
    for (const auto* index : {"1", "2"}) {
      user.nodes.push_back({std::string("node-") + zone + index, zone});
    }
  }
  add_pool(user, "encoders", 4, 8, milliseconds(6), {});
  add_pool(user, "retrievers", 4, 8, milliseconds(25), {});
  add_pool(user, "rerankers", 4, 8, milliseconds(25), {});
  add_pool(user, "engines", engines, 6, milliseconds(40), milliseconds(9));
  user.records = {{"templates/answer", answer_template}, {"templates/review", review_template}};
  user.tenant_shares = {{"t1", 0.55}, {"t2", 0.2}, {"t3", 0.15}, {"t4", 0.07}, {"t5", 0.03}};
  for (const auto& [tenant, share] : user.tenant_shares) {
    user.records["tenants/" + tenant] = tenant_record(tenant);
  }
  user.template_shares = {{"answer", answer_share}, {"review", 1 - answer_share}};
  const double answer_seconds = 0.040 + 20 * 0.009;
  const double review_seconds = 0.040 + 2 * 0.009;
  const double mean = answer_share * answer_seconds + (1 - answer_share) * review_seconds;
  user.capacity = engines * 6 / mean;
  return user;
}

double quantile(std::vector<double>& values, double fraction) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const auto index = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
  return values[index];
}

std::string pick_by_share(const std::vector<std::pair<std::string, double>>& shares, double point) {
  for (const auto& [name, share] : shares) {
    if (point < share) {
      return name;
    }
    point -= share;
  }
  return shares.back().first;
}

class scenario_run {
 public:
  scenario_run(const user_profile& user, const scenario& load_scenario,
               const policy_variant& variant, std::uint64_t seed)
      : user_(&user), scenario_(&load_scenario), random_(seed),
        fleet_(make_settings(user, variant, seed)) {}

  measurement run() {
    fleet_.start_all_nodes();
    fleet_.run_until([&] { return fleet_.all_ready(); }, seconds(20));
    measurement_begins_at_ = fleet_.now() + warm_up_time;
    measurement_ends_at_ = measurement_begins_at_ + measured_time;
    schedule_next();
    fleet_.run_for(warm_up_time);
    apply_fault();
    fleet_.run_for(measured_time + deadline + milliseconds(200));
    return evaluate();
  }

 private:
  static simulation::simulation_settings
  make_settings(const user_profile& user, const policy_variant& variant, std::uint64_t seed) {
    simulation::simulation_settings settings;
    settings.seed = seed;
    settings.nodes = user.nodes;
    settings.backends = user.backends;
    settings.records = user.records;
    settings.node.scheduling.policy = variant.policy;
    settings.node.scheduling.refuse_expected_late = variant.refuse_expected_late;
    settings.node.event_log_capacity = 16;
    return settings;
  }

  [[nodiscard]] bool in_burst() const {
    const auto third = measured_time / 3;
    return scenario_->burst_load > 0 && fleet_.now() >= measurement_begins_at_ + third &&
           fleet_.now() < measurement_begins_at_ + third * 2;
  }

  [[nodiscard]] double rate() const {
    return user_->capacity * (in_burst() ? scenario_->burst_load : scenario_->offered_load);
  }

  void schedule_next() {
    const double interarrival_time = -std::log(1.0 - random_.next_fraction()) / rate();
    fleet_.events().schedule_after(base::from_seconds(interarrival_time), [this] {
      if (fleet_.now() < measurement_ends_at_) {
        send();
        schedule_next();
      }
    });
  }

  void send() {
    execution::caller_request request;
    const auto tenant = pick_by_share(user_->tenant_shares, random_.next_fraction());
    request.token_sha256 = token_of(tenant);
    request.pipeline =
        base::template_id(in_burst() && !scenario_->burst_template.empty()
                              ? scenario_->burst_template
                              : pick_by_share(user_->template_shares, random_.next_fraction()));
    request.input = "q" + std::to_string(++sent_);
    request.stream = true;
    const auto& node = user_->nodes[random_.below(user_->nodes.size())].name;
    tenant_of_[fleet_.send(node, request)] = tenant;
  }

  void apply_fault() {
    switch (scenario_->fault) {
    case scenario_fault::slow_replica:
      fleet_.backend("engines-a0").faults().slowdown = 5;
      break;
    case scenario_fault::hanging_replica:
      fleet_.backend("engines-a0").faults().is_hanging = true;
      break;
    case scenario_fault::crashed_replica:
      fleet_.crash_backend("engines-a0");
      break;
    case scenario_fault::zone_partition:
      fleet_.partition_zone("d", true);
      break;
    case scenario_fault::none:
      break;
    }
  }

  measurement evaluate() {
    measurement result;
    std::vector<double> latencies;
    std::vector<double> refusals;
    std::vector<double> first_tokens;
    std::map<std::string, std::pair<double, double>> by_tenant;
    double used_time = 0;
    double wasted_time = 0;
    double completed_in_time = 0;
    for (const auto& [id, record] : fleet_.callers()) {
      if (record.sent_at < measurement_begins_at_) {
        continue;
      }
      ++result.requests;
      auto& tenant = by_tenant[tenant_of_[id]];
      tenant.second += 1;
      if (record.first_token_at) {
        first_tokens.push_back(base::to_seconds(*record.first_token_at - record.sent_at));
      }
      if (!record.answer) {
        continue;
      }
      const bool completed = record.answer->outcome == model::outcome::completed;
      for (const auto& cost : record.answer->costs) {
        (completed ? used_time : wasted_time) += base::to_seconds(cost.backend_time);
        wasted_time += base::to_seconds(cost.wasted_time);
      }
      const double latency = base::to_seconds(record.answered_at - record.sent_at);
      if (completed) {
        completed_in_time += 1;
        tenant.first += 1;
        latencies.push_back(latency);
      } else if (record.answer->outcome == model::outcome::not_run) {
        refusals.push_back(latency);
      }
    }
    const double sent = static_cast<double>(result.requests);
    const double capacity_requests = user_->capacity * base::to_seconds(measured_time);
    result.offered_rate = sent / base::to_seconds(measured_time);
    result.in_time_fraction = completed_in_time / sent;
    result.goodput = completed_in_time / std::min(sent, capacity_requests);
    result.smallest_tenant_in_time_fraction = by_tenant["t5"].first / by_tenant["t5"].second;
    result.wasted_time_fraction = wasted_time / (used_time + wasted_time);
    result.refusal_p99_seconds = quantile(refusals, 0.99);
    result.latency_p50_seconds = quantile(latencies, 0.5);
    result.latency_p95_seconds = quantile(latencies, 0.95);
    result.latency_p99_seconds = quantile(latencies, 0.99);
    result.first_token_p95_seconds = quantile(first_tokens, 0.95);
    return result;
  }

  const user_profile* user_;
  const scenario* scenario_;
  base::seeded_random random_;
  simulation::fleet_simulation fleet_;
  std::map<base::caller_id, std::string> tenant_of_;
  base::time_point measurement_begins_at_;
  base::time_point measurement_ends_at_;
  std::uint64_t sent_ = 0;
};

} // namespace

user_profile remittance_house() {
  return make_user("remittance_house", 12, 0.7);
}
user_profile cold_chain_association() {
  return make_user("cold_chain_association", 18, 0.9);
}

std::vector<scenario> all_scenarios() {
  return {{"steady at 70%", 0.7, 0, "", scenario_fault::none},
          {"twice the capacity", 2.0, 0, "", scenario_fault::none},
          {"burst on retrieval and reranking", 0.5, 2.2, "review", scenario_fault::none},
          {"burst on generation", 0.5, 1.6, "answer", scenario_fault::none},
          {"one slow engine", 0.6, 0, "", scenario_fault::slow_replica},
          {"one engine hanging", 0.6, 0, "", scenario_fault::hanging_replica},
          {"one engine dead", 0.6, 0, "", scenario_fault::crashed_replica},
          {"one zone cut off", 0.6, 0, "", scenario_fault::zone_partition}};
}

std::vector<policy_variant> all_variants() {
  using routing::policy_kind;
  return {{"round robin", policy_kind::round_robin, false},
          {"least in flight", policy_kind::least_in_flight, false},
          {"power of two", policy_kind::power_of_two, false},
          {"adaptive, no prediction", policy_kind::adaptive, false},
          {"adaptive", policy_kind::adaptive, true}};
}

measurement run_scenario(const user_profile& user, const scenario& load_scenario,
                         const policy_variant& variant, std::uint64_t seed) {
  return scenario_run(user, load_scenario, variant, seed).run();
}

} // namespace spurrack::experiment
