#include "simulation/random_faults.h"

#include <algorithm>
#include <set>
#include <sstream>
#include <utility>

namespace spurrack::simulation {
namespace {

constexpr base::duration step_duration = std::chrono::milliseconds(50);
constexpr base::duration key_lifetime = std::chrono::seconds(4);
/// Duration of the last part of a run, in which there are no faults and no new requests.
constexpr base::duration settle_duration = std::chrono::seconds(6);
/// A request may be sent again until this time has passed since the request was first sent.
constexpr base::duration resend_window = std::chrono::milliseconds(2500);
constexpr base::duration request_deadline = std::chrono::milliseconds(1000);
/// Probability, per step, that a request that ended without the outcome `completed` is sent again.
constexpr double resend_probability = 0.5;
/// Probability, per step, that a request is sent again as a duplicate, whatever its outcome.
constexpr double duplicate_probability = 0.15;
constexpr const char* answer_template = R"(name: answer
deadline_ms: 1000
stages:
  - {name: encode, kind: encode, pool: encoders}
  - {name: generate, kind: generate, pool: engines, max_tokens: 4}
)";
constexpr const char* payout_template = R"(name: payout
deadline_ms: 1000
stages:
  - {name: generate, kind: generate, pool: engines, max_tokens: 2}
  - {name: notice, kind: call, pool: payouts, repeatable: false}
)";

/// Request that may be sent again because it has an idempotency key or a ticket.
struct resendable_request {
  execution::caller_request request;
  /// Idempotency key or ticket of the request; empty if the request has neither.
  std::string key_or_ticket;
  base::time_point first_sent_at;
  base::caller_id last_caller = 0;
};

/// One run of the simulation: load with faults, then the end of all faults, then the final checks.
class fault_run {
 public:
  explicit fault_run(const run_options& options)
      : options_(options), random_(options.seed * 31 + 7), fleet_(example_settings(options)),
        checker_(fleet_) {
    answer_ = std::get<std::shared_ptr<const model::pipeline_template>>(
        *model::parse_record("templates/answer", answer_template).value);
    payout_ = std::get<std::shared_ptr<const model::pipeline_template>>(
        *model::parse_record("templates/payout", payout_template).value);
  }

  run_report run() {
    report_.seed = options_.seed;
    choose_faults();
    fleet_.start_all_nodes();
    fleet_.run_until([&] { return fleet_.all_ready(); }, std::chrono::seconds(20));
    fleet_.run_for(key_lifetime);
    const auto load_end = fleet_.now() + options_.load_duration;
    while (fleet_.now() < load_end) {
      run_step(true);
    }
    heal();
    fleet_.run_until([&] { return is_no_node_frozen(); }, std::chrono::seconds(30));
    const auto settle_end = fleet_.now() + settle_duration;
    while (fleet_.now() < settle_end) {
      run_step(false);
    }
    checker_.check_final_state();
    fill_report();
    return report_;
  }

 private:
  void choose_faults() {
    report_.faults = options_.faults;
    if (report_.faults.empty()) {
      const auto count = 1 + random_.below(2);
      while (report_.faults.size() < count) {
        report_.faults.push_back(static_cast<fault_kind>(random_.below(fault_kind_count)));
      }
    }
  }

  void run_step(bool has_load) {
    fleet_.run_for(step_duration);
    if (has_load) {
      constexpr double fault_probability = 0.06;
      for (const auto kind : report_.faults) {
        if (random_.next_fraction() < fault_probability) {
          inject(kind);
        }
      }
      constexpr std::size_t max_sends = 5;
      const auto send_count = random_.below(max_sends);
      for (std::size_t index = 0; index < send_count; ++index) {
        send_request();
      }
    }
    resend_due_requests();
    restart_due_nodes();
    checker_.check_step();
  }

  std::string pick_node() {
    const auto names = fleet_.node_names();
    for (std::size_t attempt = 0; attempt < names.size(); ++attempt) {
      const auto& name = names[random_.below(names.size())];
      if (fleet_.is_alive(name)) {
        return name;
      }
    }
    return names.front();
  }

  std::string pick_zone() {
    static const std::vector<std::string> zones{"a", "b", "c"};
    return zones[random_.below(zones.size())];
  }

  std::string pick_backend() {
    const auto names = fleet_.backend_names();
    return names[random_.below(names.size())];
  }

  base::duration pick_duration(int low_milliseconds, int high_milliseconds) {
    const auto range = static_cast<std::size_t>(high_milliseconds - low_milliseconds);
    return std::chrono::milliseconds(low_milliseconds + static_cast<int>(random_.below(range)));
  }

  void send_request() {
    execution::caller_request request;
    request.token_sha256 = example_token_hash;
    request.input = "r" + std::to_string(++sent_requests_);
    request.deadline = request_deadline;
    constexpr double payout_fraction = 0.5;
    if (random_.next_fraction() > payout_fraction) {
      request.pipeline = base::template_id("answer");
      request.stream = random_.below(2) == 0;
      checker_.add_expectation(fleet_.send(pick_node(), request), *answer_, "");
      return;
    }
    request.pipeline = base::template_id("payout");
    const auto guard_kind = random_.below(3);
    std::string key_or_ticket;
    if (guard_kind == 0) {
      request.idempotency_key = "key" + std::to_string(sent_requests_);
      key_or_ticket = request.idempotency_key;
    } else if (guard_kind == 1) {
      request.ticket = fleet_.request_ticket(pick_node(), example_token_hash);
      key_or_ticket = request.ticket;
    }
    send_payout({request, key_or_ticket, fleet_.now(), 0});
  }

  void send_payout(resendable_request resendable) {
    resendable.last_caller = fleet_.send(pick_node(), resendable.request);
    checker_.add_expectation(resendable.last_caller, *payout_, resendable.key_or_ticket);
    if (!resendable.key_or_ticket.empty()) {
      resendable_requests_.push_back(std::move(resendable));
    }
  }

  /// Sends some of the requests that ended without the outcome `completed` again, to random nodes,
  /// and some of the other requests as duplicates.
  void resend_due_requests() {
    auto pending = std::exchange(resendable_requests_, {});
    for (auto& resendable : pending) {
      if (fleet_.now() - resendable.first_sent_at > resend_window) {
        continue;
      }
      const auto& record = fleet_.callers().at(resendable.last_caller);
      const bool is_certain = record.answer && record.answer->outcome == model::outcome::completed;
      const bool has_ended = record.answer || record.is_connection_lost;
      const bool should_resend =
          (has_ended && !is_certain && random_.next_fraction() < resend_probability) ||
          random_.next_fraction() < duplicate_probability;
      if (should_resend) {
        send_payout(std::move(resendable));
      } else {
        resendable_requests_.push_back(std::move(resendable));
      }
    }
  }

  void restart_due_nodes() {
    for (const auto& name : fleet_.node_names()) {
      if (!fleet_.is_alive(name) && restart_at_.contains(name) &&
          restart_at_[name] <= fleet_.now()) {
        restart_at_.erase(name);
        fleet_.start_node(name);
      }
    }
  }

  void schedule(base::duration delay, std::function<void()> action) {
    fleet_.events().schedule_after(delay, std::move(action));
  }

  void inject(fault_kind kind) {
    switch (kind) {
    case fault_kind::message_loss:
      fleet_.set_loss_probability(random_.next_fraction() * 0.2);
      break;
    case fault_kind::zone_cut:
    case fault_kind::zone_cut_from_platform: {
      const auto zone = pick_zone();
      fleet_.partition_zone(zone, kind == fault_kind::zone_cut_from_platform);
      schedule(pick_duration(500, 6000), [this, zone] { fleet_.heal_zone(zone); });
      break;
    }
    case fault_kind::node_freeze:
      fleet_.freeze_node(pick_node(), pick_duration(200, 6000));
      break;
    case fault_kind::freeze_before_effect:
      fleet_.freeze_before_next_effect(pick_node(), pick_duration(500, 7000));
      break;
    case fault_kind::node_kill:
      kill_node(pick_node());
      break;
    case fault_kind::node_stop:
      stop_node(pick_node());
      break;
    case fault_kind::backend_crash: {
      const auto name = pick_backend();
      fleet_.crash_backend(name);
      schedule(pick_duration(200, 4000), [this, name] { fleet_.backend(name).restart(); });
      break;
    }
    case fault_kind::bad_answers: {
      auto& faults = fleet_.backend(pick_backend()).faults();
      faults.misdirected_answer_probability = random_.next_fraction() * 0.3;
      faults.truncated_answer_probability = random_.next_fraction() * 0.3;
      break;
    }
    default:
      inject_platform_fault(kind);
      break;
    }
  }

  void inject_platform_fault(fault_kind kind) {
    switch (kind) {
    case fault_kind::platform_down:
    case fault_kind::platform_stale:
      fleet_.platform().set_mode(kind == fault_kind::platform_down ? platform_mode::down
                                                                   : platform_mode::stale);
      schedule(pick_duration(500, 5000), [this] { fleet_.platform().set_mode(platform_mode::up); });
      publish_template();
      break;
    case fault_kind::platform_restored:
      publish_template();
      schedule(pick_duration(300, 1500),
               [this] { fleet_.platform().restore(fleet_.platform().revision() - 1); });
      break;
    case fault_kind::operators_race:
      publish_template();
      publish_template();
      fleet_.platform().publish("templates/broken", "{name: broken, deadline_ms: soon}");
      break;
    case fault_kind::backend_leaving:
      drain_and_return(pick_backend());
      break;
    case fault_kind::node_list_changes: {
      const auto name = pick_node();
      fleet_.publish_node(name, false);
      schedule(pick_duration(500, 3000), [this, name] { fleet_.publish_node(name, true); });
      break;
    }
    default:
      break;
    }
  }

  void publish_template() {
    auto text = std::string(answer_template);
    text += "# edition " + std::to_string(++template_editions_) + "\n";
    fleet_.platform().publish("templates/answer", text);
  }

  void drain_and_return(const std::string& name) {
    if (!draining_.insert(name).second) {
      return;
    }
    const auto generation = ++generations_[name];
    fleet_.publish_backend(name, "leaving", generation);
    checker_.note_backend_published(name, true);
    schedule(pick_duration(3000, 5000), [this, name] {
      draining_.erase(name);
      fleet_.publish_backend(name, "live", ++generations_[name]);
      checker_.note_backend_published(name, false);
    });
  }

  void kill_node(const std::string& name) {
    fleet_.kill_node(name);
    restart_at_[name] = fleet_.now() + pick_duration(100, 3000);
  }

  /// Begins a graceful stop under load. The node is started again after it has exited.
  void stop_node(const std::string& name) {
    if (fleet_.is_frozen(name)) {
      return;
    }
    fleet_.stop_node(name);
    restart_at_[name] = fleet_.now() + pick_duration(1500, 3000);
  }

  bool is_no_node_frozen() {
    const auto names = fleet_.node_names();
    return std::none_of(names.begin(), names.end(),
                        [&](const std::string& name) { return fleet_.is_frozen(name); });
  }

  void heal() {
    for (const auto& name : fleet_.node_names()) {
      fleet_.cancel_freeze_before_effect(name);
    }
    for (const auto* zone : {"a", "b", "c"}) {
      fleet_.heal_zone(zone);
    }
    fleet_.set_loss_probability(0);
    fleet_.platform().set_mode(platform_mode::up);
    for (const auto& name : fleet_.backend_names()) {
      fleet_.backend(name).faults() = {};
    }
  }

  void fill_report() {
    report_.violations = checker_.violations();
    for (const auto& [id, record] : fleet_.callers()) {
      ++report_.requests;
      report_.completed +=
          record.answer && record.answer->outcome == model::outcome::completed ? 1 : 0;
    }
    for (const auto& executed_call : fleet_.executions()) {
      report_.effects += executed_call.repeatable ? 0 : 1;
    }
    if (!report_.violations.empty()) {
      report_.timeline = timeline(report_.violations.front().request);
    }
  }

  /// @return events of all nodes that concern `request`, merged by time; if `request` is empty, the
  ///         most recent events of the fleet that concern no request.
  std::string timeline(const base::request_id& request) {
    std::vector<std::pair<base::hybrid_timestamp, std::string>> lines;
    for (const auto& name : fleet_.node_names()) {
      for (const auto& entry : fleet_.node(name).events().entries()) {
        const bool is_selected = request.empty() ? entry.request.empty() : entry.request == request;
        if (is_selected) {
          std::ostringstream line;
          line << entry.at.wall_microseconds << "." << entry.at.logical << " " << name << " "
               << base::name_of(entry.kind) << " " << entry.subject << " " << entry.detail;
          lines.emplace_back(entry.at, line.str());
        }
      }
    }
    std::sort(lines.begin(), lines.end());
    std::string text;
    for (const auto& [at, line] : lines) {
      text += line + "\n";
    }
    return text;
  }

  run_options options_;
  base::seeded_random random_;
  fleet_simulation fleet_;
  invariant_checker checker_;
  run_report report_;
  std::shared_ptr<const model::pipeline_template> answer_;
  std::shared_ptr<const model::pipeline_template> payout_;
  std::vector<resendable_request> resendable_requests_;
  std::map<std::string, base::time_point> restart_at_;
  std::map<std::string, int> generations_;
  std::set<std::string> draining_;
  std::size_t sent_requests_ = 0;
  int template_editions_ = 0;
};

} // namespace

simulation_settings example_settings(const run_options& options) {
  simulation_settings settings;
  settings.seed = options.seed;
  for (const auto* zone : {"a", "b", "c"}) {
    for (const auto* index : {"1", "2"}) {
      const auto suffix = std::string(zone) + index;
      settings.nodes.push_back({"node-" + suffix, zone});
      settings.backends.push_back({"encoder-" + suffix, zone, "encoders"});
      settings.backends.push_back({"engine-" + suffix, zone, "engines"});
    }
    settings.backends.push_back({"payout-" + std::string(zone), zone, "payouts"});
  }
  settings.records["templates/answer"] = answer_template;
  settings.records["templates/payout"] = payout_template;
  settings.records["tenants/house"] =
      "{name: house, token_sha256: " + std::string(example_token_hash) +
      ", templates: {answer: {}, payout: {}}}";
  settings.node.guard.key_lifetime = key_lifetime;
  settings.node.guard.ticket_lifetime = std::chrono::seconds(5);
  settings.node.guard.replaced_list_lifetime = std::chrono::seconds(30);
  settings.node.resync_timeout = std::chrono::milliseconds(500);
  settings.node.event_log_capacity = 20'000;
  settings.node.switches = options.switches;
  return settings;
}

std::string_view name_of(fault_kind kind) {
  static constexpr std::array<std::string_view, fault_kind_count> names{"message_loss",
                                                                        "zone_cut",
                                                                        "zone_cut_from_platform",
                                                                        "node_freeze",
                                                                        "freeze_before_effect",
                                                                        "node_kill",
                                                                        "node_stop",
                                                                        "backend_crash",
                                                                        "bad_answers",
                                                                        "platform_down",
                                                                        "platform_stale",
                                                                        "platform_restored",
                                                                        "operators_race",
                                                                        "backend_leaving",
                                                                        "node_list_changes"};
  return names.at(static_cast<std::size_t>(kind));
}

run_report run_with_faults(const run_options& options) {
  return fault_run(options).run();
}

} // namespace spurrack::simulation
