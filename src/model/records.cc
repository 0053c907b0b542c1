#include "model/records.h"

#include <algorithm>

namespace spurrack::model {

std::string_view name_of(stage_kind kind) {
  switch (kind) {
  case stage_kind::encode:
    return "encode";
  case stage_kind::retrieve:
    return "retrieve";
  case stage_kind::rerank:
    return "rerank";
  case stage_kind::generate:
    return "generate";
  case stage_kind::call:
    return "call";
  }
  return "unknown";
}

bool pipeline_plan::has_non_repeatable_stage() const {
  return std::any_of(stages.begin(), stages.end(),
                     [](const stage& step) { return !step.repeatable; });
}

std::optional<pipeline_plan> resolve(const pipeline_template& pipeline, const tenant& owner) {
  const auto found = owner.templates.find(pipeline.name);
  if (found == owner.templates.end()) {
    return std::nullopt;
  }
  const auto& parameters = found->second;
  pipeline_plan plan;
  plan.template_name = pipeline.name;
  plan.tenant = owner.name;
  plan.weight = owner.weight;
  plan.priority = parameters.priority;
  plan.deadline = parameters.deadline.value_or(pipeline.deadline);
  for (auto step : pipeline.stages) {
    if (parameters.skipped_stages.contains(step.name)) {
      continue;
    }
    if (step.kind == stage_kind::generate) {
      step.model = parameters.model.value_or(step.model);
      step.adapter = parameters.adapter.value_or(step.adapter);
    }
    plan.stages.push_back(std::move(step));
  }
  if (plan.stages.empty()) {
    return std::nullopt;
  }
  return plan;
}

} // namespace spurrack::model
