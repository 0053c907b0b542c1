#include "simulation/invariant_checker.h"

#include "model/record_parser.h"

#include <algorithm>
#include <sstream>

namespace spurrack::simulation {
namespace {

/// @return name of the node that assigned a request id. The id consists of this name and two
///         further fields, separated by '-'.
std::string node_of(const base::request_id& request) {
  const auto& text = request.text();
  const auto last = text.rfind('-');
  return text.substr(0, text.rfind('-', last - 1));
}

} // namespace

void invariant_checker::report_violation(const std::string& invariant, const std::string& detail,
                                         const base::request_id& request) {
  violations_.push_back({invariant, detail, request});
}

void invariant_checker::add_expectation(base::caller_id caller,
                                        const model::pipeline_template& pipeline,
                                        const std::string& key_or_ticket) {
  auto& expected = expectations_[caller];
  expected.key_or_ticket = key_or_ticket;
  auto text = fleet_->callers().at(caller).request.input;
  for (const auto& stage : pipeline.stages) {
    text = expected_output(stage.kind, text, stage.max_tokens);
    if (stage.kind == model::stage_kind::generate || stage.kind == model::stage_kind::call) {
      expected.outputs[stage.name] = text;
    }
    if (stage.kind == model::stage_kind::generate) {
      expected.generated = text;
    }
  }
}

void invariant_checker::note_backend_published(const std::string& name, bool is_draining) {
  if (is_draining) {
    draining_[name] = {};
  } else {
    draining_.erase(name);
  }
}

void invariant_checker::check_step() {
  note_disturbances();
  check_configuration();
  observe_draining();
  check_calls_to_draining();
}

void invariant_checker::note_disturbances() {
  for (const auto& name : fleet_->node_names()) {
    const bool is_undisturbed =
        fleet_->is_alive(name) && !fleet_->is_frozen(name) &&
        !fleet_->is_partitioned(fleet_->node(name).settings().self.zone.text()) &&
        fleet_->node(name).is_ready();
    if (!is_undisturbed) {
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
    auto& revisions = seen_revisions_[name];
    const auto incarnation = node.settings().self.process_start;
    if (seen_incarnations_[name] != incarnation) {
      seen_incarnations_[name] = incarnation;
      revisions.clear();
    }
    for (const auto& [id, pipeline] : node.published_catalog().templates()) {
      const auto key = "templates/" + id.text();
      const auto revision = node.published_catalog().revision_of(key);
      if (revision < revisions[key]) {
        std::ostringstream detail;
        detail << name << " reverted from " << revisions[key] << " to " << revision << " for "
               << key;
        report_violation("configuration never reverts", detail.str());
      }
      revisions[key] = revision;
    }
  }
}

void invariant_checker::observe_draining() {
  for (auto& [backend, observation] : draining_) {
    if (observation.first_known_at) {
      continue;
    }
    for (const auto& name : fleet_->node_names()) {
      if (!fleet_->is_alive(name)) {
        continue;
      }
      const auto& machines = fleet_->node(name).published_catalog().machines();
      const auto found = machines.find(backend);
      if (found != machines.end() && found->second->state == model::machine_state::leaving) {
        observation.first_known_at = fleet_->now();
      }
    }
  }
}

void invariant_checker::check_calls_to_draining() {
  const auto& executions = fleet_->executions();
  for (; checked_executions_ < executions.size(); ++checked_executions_) {
    const auto& executed_call = executions[checked_executions_];
    const auto observation = draining_.find(executed_call.backend);
    if (observation == draining_.end() || !observation->second.first_known_at) {
      continue;
    }
    const auto known_for = executed_call.started_at - *observation->second.first_known_at;
    const auto node = node_of(executed_call.identity.request);
    if (known_for > drain_grace_period &&
        !was_disturbed_since(node, executed_call.started_at - drain_grace_period)) {
      report_violation("a leaving back end gets no new work",
                       node + " called " + executed_call.backend + " " +
                           std::to_string(base::to_milliseconds(known_for)) +
                           " ms after the first node learned that it drains",
                       executed_call.identity.request);
    }
  }
}

void invariant_checker::check_final_state() {
  check_answers();
  check_not_run_answers();
  check_effects();
  check_convergence();
}

void invariant_checker::check_answers() {
  for (const auto& [id, record] : fleet_->callers()) {
    const auto expected = expectations_.find(id);
    if (expected == expectations_.end()) {
      continue;
    }
    if (record.answer_count > 1) {
      report_violation("one answer a request", "caller " + std::to_string(id) + " received " +
                                                   std::to_string(record.answer_count));
    }
    if (record.is_dropped_by_stop) {
      report_violation("a planned stop cuts no request",
                       "caller " + std::to_string(id) + " of " + record.node +
                           " was not answered before the node exited");
    }
    if (record.answer_count == 0) {
      if (!record.is_connection_lost) {
        report_violation("every request is answered", "caller " + std::to_string(id) + " of " +
                                                          record.node + " received no answer");
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
      report_violation("the whole answer to its own request",
                       "caller " + std::to_string(id) + " received a wrong output",
                       record.answer->request);
    }
    const bool has_streamed_text = record.request.stream && !record.streamed_text.empty();
    if (has_streamed_text && record.streamed_text != expected->second.generated) {
      report_violation("each token once",
                       "caller " + std::to_string(id) + " received '" + record.streamed_text + "'",
                       record.answer->request);
    }
  }
}

void invariant_checker::check_not_run_answers() {
  std::map<base::request_id, unsigned> executions;
  std::map<std::string, unsigned> effect_runs;
  for (const auto& executed_call : fleet_->executions()) {
    ++executions[executed_call.identity.request];
  }
  for (const auto& [id, record] : fleet_->callers()) {
    if (!record.answer || record.answer->outcome != model::outcome::not_run) {
      continue;
    }
    if (executions[record.answer->request] > 0) {
      report_violation("'not run' is true",
                       "caller " + std::to_string(id) + " received not_run (" +
                           std::string(execution::name_of(record.answer->failure_reason)) + ")",
                       record.answer->request);
    }
  }
  // Requests that callers send under the same key or ticket are one request. If a non-repeatable
  // call of this request was executed before a caller is answered `not_run`, that answer is false.
  for (const auto& [id, record] : fleet_->callers()) {
    const auto expected = expectations_.find(id);
    const bool is_refused = record.answer && record.answer->outcome == model::outcome::not_run &&
                            expected != expectations_.end() &&
                            !expected->second.key_or_ticket.empty();
    if (!is_refused) {
      continue;
    }
    for (const auto& executed_call : fleet_->executions()) {
      const bool is_same_request =
          !executed_call.repeatable &&
          executed_call.input.find("(" + record.request.input + ")") != std::string::npos;
      if (is_same_request && executed_call.started_at < record.answered_at) {
        report_violation("'not run' is true",
                         "caller " + std::to_string(id) + " received not_run (" +
                             std::string(execution::name_of(record.answer->failure_reason)) +
                             ") for a request that was executed under its key",
                         record.answer->request);
      }
    }
  }
}

void invariant_checker::check_effects() {
  // The input of a non-repeatable call contains the input of its request, and only requests with
  // the same key have the same input. Executions of the same call therefore have the same input.
  std::map<std::string, unsigned> execution_counts;
  std::map<std::string, base::request_id> last_request;
  for (const auto& executed_call : fleet_->executions()) {
    if (!executed_call.repeatable) {
      if (executed_call.started_at > executed_call.not_after + send_slack) {
        report_violation("no effect after its deadline",
                         "'" + executed_call.input + "' ran " +
                             std::to_string(base::to_milliseconds(executed_call.started_at -
                                                                  executed_call.not_after)) +
                             " ms late",
                         executed_call.identity.request);
      }
      ++execution_counts[executed_call.input];
      last_request[executed_call.input] = executed_call.identity.request;
    }
  }
  for (const auto& [input, count] : execution_counts) {
    if (count > 1) {
      report_violation("at most once", "'" + input + "' ran " + std::to_string(count) + " times",
                       last_request[input]);
    }
  }
  for (const auto& [id, record] : fleet_->callers()) {
    const auto expected = expectations_.find(id);
    const bool is_completed = record.answer && record.answer->outcome == model::outcome::completed;
    if (!is_completed || expected == expectations_.end()) {
      continue;
    }
    for (const auto& [stage, text] : expected->second.outputs) {
      const bool is_effect = text.starts_with("call(");
      const auto input = is_effect ? text.substr(5, text.size() - 6) : "";
      if (is_effect && execution_counts[input] == 0) {
        report_violation("no result is made up", "'" + input + "' was answered but never ran",
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
    hashes.insert(node.published_catalog().content_hash());
    if (!node.is_ready()) {
      report_violation("nodes become ready", name + " is not ready in a whole fleet");
    }
    for (const auto& [id, other] : node.members().members()) {
      const bool is_in_same_zone = other.zone == node.settings().self.zone;
      const bool is_alive = fleet_->is_alive(id.text());
      if (is_in_same_zone && is_alive && other.state != wire::ALIVE) {
        report_violation("members return", name + " does not see " + id.text() + " alive");
      }
    }
  }
  if (hashes.size() > 1) {
    report_violation("configuration is in force everywhere",
                     std::to_string(hashes.size()) + " different catalogs");
  }
}

} // namespace spurrack::simulation
