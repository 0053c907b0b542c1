#include "simulation/invariant_checker.h"

#include "model/record_parser.h"

#include <algorithm>
#include <sstream>

namespace spurrack::simulation {
namespace {

std::string node_of(const base::request_id& request) {
  const auto& text = request.text();
  const auto last = text.rfind('-');
  return text.substr(0, text.rfind('-', last - 1));
}

} // namespace

void invariant_checker::report(const std::string& invariant, const std::string& detail,
                               const base::request_id& request) {
  violations_.push_back({invariant, detail, request});
}

void invariant_checker::expect(base::caller_id caller, const model::pipeline_template& pipeline,
                               const std::string& effect) {
  auto& expected = expectations_[caller];
  expected.effect = effect;
  auto text = fleet_->callers().at(caller).request.input;
  for (const auto& step : pipeline.stages) {
    text = expected_output(step.kind, text, step.max_tokens);
    if (step.kind == model::stage_kind::generate || step.kind == model::stage_kind::call) {
      expected.outputs[step.name] = text;
    }
    if (step.kind == model::stage_kind::generate) {
      expected.generated = text;
    }
  }
}

void invariant_checker::backend_published(const std::string& name, bool leaving) {
  if (leaving) {
    leaving_[name] = {};
  } else {
    leaving_.erase(name);
  }
}

void invariant_checker::step() {
  note_disturbances();
  check_configuration();
  check_leaving();
  check_executions_of_leaving();
}

void invariant_checker::note_disturbances() {
  for (const auto& name : fleet_->node_names()) {
    const bool whole = fleet_->is_alive(name) && !fleet_->is_frozen(name) &&
                       !fleet_->is_cut(fleet_->node(name).settings().self.zone.text()) &&
                       fleet_->node(name).is_ready();
    if (!whole) {
      disturbed_at_[name] = fleet_->now();
    }
  }
}

bool invariant_checker::was_disturbed_since(const std::string& node, base::time_point since) const {
  const auto found = disturbed_at_.find(node);
  return found != disturbed_at_.end() && found->second >= since;
}

void invariant_checker::check_configuration() {
  for (const auto& name : fleet_->node_names()) {
    if (!fleet_->is_alive(name)) {
      continue;
    }
    const auto& node = fleet_->node(name);
    auto& seen = seen_revisions_[name];
    const auto life = node.settings().self.process_start;
    if (seen_lives_[name] != life) {
      seen_lives_[name] = life;
      seen.clear();
    }
    for (const auto& [id, pipeline] : node.content().templates()) {
      const auto key = "templates/" + id.text();
      const auto revision = node.content().revision_of(key);
      if (revision < seen[key]) {
        std::ostringstream detail;
        detail << name << " went back from " << seen[key] << " to " << revision << " for " << key;
        report("configuration never reverts", detail.str());
      }
      seen[key] = revision;
    }
  }
}

void invariant_checker::check_leaving() {
  for (auto& [backend, watch] : leaving_) {
    if (watch.first_known) {
      continue;
    }
    for (const auto& name : fleet_->node_names()) {
      if (!fleet_->is_alive(name)) {
        continue;
      }
      const auto& machines = fleet_->node(name).content().machines();
      const auto found = machines.find(backend);
      if (found != machines.end() && found->second->state == model::machine_state::leaving) {
        watch.first_known = fleet_->now();
      }
    }
  }
}

void invariant_checker::check_executions_of_leaving() {
  const auto& executions = fleet_->executions();
  for (; checked_executions_ < executions.size(); ++checked_executions_) {
    const auto& run = executions[checked_executions_];
    const auto watch = leaving_.find(run.backend);
    if (watch == leaving_.end() || !watch->second.first_known) {
      continue;
    }
    const auto known_for = run.at - *watch->second.first_known;
    const auto node = node_of(run.identity.request);
    if (known_for > leave_limit && !was_disturbed_since(node, run.at - leave_limit)) {
      report("a leaving back end gets no new work",
             node + " called " + run.backend + " " +
                 std::to_string(base::to_milliseconds(known_for)) + " ms after it was known",
             run.identity.request);
    }
  }
}

void invariant_checker::finish() {
  check_answers();
  check_truth();
  check_effects();
  check_convergence();
}

void invariant_checker::check_answers() {
  for (const auto& [id, record] : fleet_->callers()) {
    const auto expected = expectations_.find(id);
    if (expected == expectations_.end()) {
      continue;
    }
    if (record.answers > 1) {
      report("one answer a request",
             "caller " + std::to_string(id) + " got " + std::to_string(record.answers));
    }
    if (record.cut_by_stop) {
      report("a planned stop cuts no request",
             "caller " + std::to_string(id) + " of " + record.node + " was cut");
    }
    if (record.answers == 0) {
      if (!record.connection_lost) {
        report("every request is answered",
               "caller " + std::to_string(id) + " of " + record.node + " got no answer");
      }
      continue;
    }
    if (record.answer->outcome != model::outcome::completed) {
      continue;
    }
    std::map<std::string, std::string> outputs;
    for (const auto& output : record.answer->outputs) {
      outputs[output.stage] = output.text;
    }
    if (outputs != expected->second.outputs) {
      report("the whole answer to its own request",
             "caller " + std::to_string(id) + " got another output", record.answer->request);
    }
    const bool streamed = record.request.stream && !record.streamed.empty();
    if (streamed && record.streamed != expected->second.generated) {
      report("each token once", "caller " + std::to_string(id) + " saw '" + record.streamed + "'",
             record.answer->request);
    }
  }
}

void invariant_checker::check_truth() {
  std::map<base::request_id, unsigned> executions;
  std::map<std::string, unsigned> effect_runs;
  for (const auto& run : fleet_->executions()) {
    ++executions[run.identity.request];
  }
  for (const auto& [id, record] : fleet_->callers()) {
    if (!record.answer || record.answer->outcome != model::outcome::not_run) {
      continue;
    }
    if (executions[record.answer->request] > 0) {
      report("'not run' is true",
             "caller " + std::to_string(id) + " was told not_run (" +
                 std::string(execution::name_of(record.answer->why)) + ")",
             record.answer->request);
    }
  }
  // A request that is sent again under its key is the same request: where it ran before the answer,
  // 'not run' is untrue whichever node said so.
  for (const auto& [id, record] : fleet_->callers()) {
    const auto expected = expectations_.find(id);
    const bool refused = record.answer && record.answer->outcome == model::outcome::not_run &&
                         expected != expectations_.end() && !expected->second.effect.empty();
    if (!refused) {
      continue;
    }
    for (const auto& run : fleet_->executions()) {
      const bool same =
          !run.repeatable && run.input.find("(" + record.request.input + ")") != std::string::npos;
      if (same && run.at < record.answered_at) {
        report("'not run' is true",
               "caller " + std::to_string(id) + " was told not_run (" +
                   std::string(execution::name_of(record.answer->why)) +
                   ") of a request that ran under its key",
               record.answer->request);
      }
    }
  }
}

void invariant_checker::check_effects() {
  // Inputs are unique to a request or to a key, and the input of an effect holds them.
  std::map<std::string, unsigned> runs;
  std::map<std::string, base::request_id> runner;
  for (const auto& run : fleet_->executions()) {
    if (!run.repeatable) {
      if (run.at > run.not_after + send_slack) {
        report("no effect after its deadline",
               "'" + run.input + "' ran " +
                   std::to_string(base::to_milliseconds(run.at - run.not_after)) + " ms late",
               run.identity.request);
      }
      ++runs[run.input];
      runner[run.input] = run.identity.request;
    }
  }
  for (const auto& [input, count] : runs) {
    if (count > 1) {
      report("at most once", "'" + input + "' ran " + std::to_string(count) + " times",
             runner[input]);
    }
  }
  for (const auto& [id, record] : fleet_->callers()) {
    const auto expected = expectations_.find(id);
    const bool completed = record.answer && record.answer->outcome == model::outcome::completed;
    if (!completed || expected == expectations_.end()) {
      continue;
    }
    for (const auto& [stage, text] : expected->second.outputs) {
      const bool effect = text.starts_with("call(");
      const auto input = effect ? text.substr(5, text.size() - 6) : "";
      if (effect && runs[input] == 0) {
        report("no result is made up", "'" + input + "' was answered but never ran",
               record.answer->request);
      }
    }
  }
}

void invariant_checker::check_convergence() {
  std::set<std::uint64_t> hashes;
  for (const auto& name : fleet_->node_names()) {
    if (!fleet_->is_alive(name)) {
      continue;
    }
    const auto& node = fleet_->node(name);
    hashes.insert(node.content().content_hash());
    if (!node.is_ready()) {
      report("nodes become ready", name + " is not ready in a whole fleet");
    }
    for (const auto& [id, other] : node.members().members()) {
      const bool same_zone = other.zone == node.settings().self.zone;
      const bool alive = fleet_->is_alive(id.text());
      if (same_zone && alive && other.state != wire::ALIVE) {
        report("members return", name + " does not see " + id.text() + " alive");
      }
    }
  }
  if (hashes.size() > 1) {
    report("configuration is in force everywhere",
           std::to_string(hashes.size()) + " different catalogs");
  }
}

} // namespace spurrack::simulation
