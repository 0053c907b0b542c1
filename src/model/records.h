/// The records that users publish, validated: pipeline templates, tenant parameters, machines.
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace spurrack::model {

/// What a stage does; decides how its answer is read (`generate` streams tokens).
enum class stage_kind : std::uint8_t { encode, retrieve, rerank, generate, call };

/// @return the name used in published records.
std::string_view name_of(stage_kind kind);

/// One step of a pipeline.
struct stage {
  std::string name;
  stage_kind kind = stage_kind::encode;
  base::pool_id pool;
  /// Whether the call may be made again after an attempt whose fate is not known.
  bool repeatable = true;
  std::string model;
  std::string adapter;
  /// Upper bound of tokens for `generate`; 0 elsewhere.
  std::uint32_t max_tokens = 0;
};

/// A pipeline as operators publish it under `templates/<name>`.
struct pipeline_template {
  base::template_id name;
  std::vector<stage> stages;
  base::duration deadline{};
};

/// What one tenant sets for one template.
struct template_parameters {
  std::set<std::string> skipped_stages;
  std::optional<std::string> model;
  std::optional<std::string> adapter;
  std::optional<base::duration> deadline;
  /// 0 (lowest) to 9 (highest).
  int priority = 5;
};

/// A tenant as operators publish it under `tenants/<name>`.
struct tenant {
  base::tenant_id name;
  /// Lower-case hexadecimal SHA-256 of the tenant's token.
  std::string token_sha256;
  /// Share of contended capacity relative to the other tenants, 1 to 1000.
  int weight = 1;
  std::map<base::template_id, template_parameters> templates;
};

enum class machine_role : std::uint8_t { node, backend };
enum class machine_state : std::uint8_t { live, leaving };

/// A machine of the platform's list, under `machines/<id>`.
struct machine {
  std::string id;
  machine_role role = machine_role::backend;
  machine_state state = machine_state::live;
  base::zone_id zone;
  base::network_address address;
  /// Raised by the platform each time the machine comes back; a leave holds for one generation.
  std::uint64_t generation = 1;
  /// Back ends only.
  base::pool_id pool;
  std::uint32_t concurrency = 1;
};

/// A pipeline with one tenant's parameters applied: what a request executes. Immutable; a request
/// keeps the one it began with whatever is published meanwhile.
struct pipeline_plan {
  base::template_id template_name;
  base::tenant_id tenant;
  int weight = 1;
  int priority = 5;
  base::duration deadline{};
  std::vector<stage> stages;

  /// @return whether some stage may run at most once.
  [[nodiscard]] bool has_non_repeatable_stage() const;
};

/// Applies a tenant's parameters to a template.
/// @return nothing where the tenant does not list the template or every stage is skipped.
std::optional<pipeline_plan> resolve(const pipeline_template& pipeline, const tenant& owner);

} // namespace spurrack::model
