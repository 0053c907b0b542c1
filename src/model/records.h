/// Validated published records: pipeline templates, tenants with their parameters, machines.
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

/// Kind of work of a stage; determines how answers of back ends are read (`generate` streams
/// tokens).
enum class stage_kind : std::uint8_t { encode, retrieve, rerank, generate, call };

/// @return the name of a kind in published records.
std::string_view name_of(stage_kind kind);

/// Step of a pipeline.
struct stage {
  std::string name;
  stage_kind kind = stage_kind::encode;
  /// Pool of back ends that run the stage.
  base::pool_id pool;
  /// Whether a call of the stage may be repeated after an attempt that may have run.
  bool repeatable = true;
  /// Model that the back end is told to use, and adapter of that model; each may be empty.
  std::string model;
  std::string adapter;
  /// Maximum number of tokens that a `generate` stage produces. For a stage of another kind, 0
  /// unless the template sets a number.
  std::uint32_t max_tokens = 0;
};

/// Pipeline template that operators publish under `templates/<name>`.
struct pipeline_template {
  base::template_id name;
  std::vector<stage> stages;
  base::duration deadline{};
};

/// Parameters that a tenant sets for a template. The template's value applies where the tenant sets
/// none.
struct template_parameters {
  std::set<std::string> skipped_stages;
  std::optional<std::string> model;
  std::optional<std::string> adapter;
  std::optional<base::duration> deadline;
  /// Priority of the tenant's requests, 0 (lowest) to 9 (highest).
  int priority = 5;
};

/// Tenant that operators publish under `tenants/<name>`.
struct tenant {
  base::tenant_id name;
  /// Lower-case hexadecimal SHA-256 of the tenant's token.
  std::string token_sha256;
  /// Relative share of capacity for which tenants compete, 1 to 1000.
  int weight = 1;
  /// Templates that the tenant may use, with the tenant's parameters for each template.
  std::map<base::template_id, template_parameters> templates;
};

enum class machine_role : std::uint8_t { node, backend };
enum class machine_state : std::uint8_t { live, leaving };

/// Machine in the platform's machine list, published under `machines/<id>`.
struct machine {
  std::string id;
  machine_role role = machine_role::backend;
  machine_state state = machine_state::live;
  base::zone_id zone;
  base::network_address address;
  /// Number that the platform increases each time the machine returns after it left. A leave notice
  /// applies to the generation that it names and to earlier generations.
  std::uint64_t generation = 1;
  /// Pool of a back end, and maximum number of concurrent calls to the back end; not used for
  /// nodes.
  base::pool_id pool;
  std::uint32_t concurrency = 1;
};

/// Pipeline template with the parameters of a tenant applied; the plan that a request executes.
/// Immutable: a request keeps its plan even if new records are published while it runs.
struct pipeline_plan {
  base::template_id template_name;
  base::tenant_id tenant;
  int weight = 1;
  int priority = 5;
  base::duration deadline{};
  std::vector<stage> stages;

  /// @return whether any stage must run at most once.
  [[nodiscard]] bool has_non_repeatable_stage() const;
};

/// Applies a tenant's parameters to a template.
/// @return the plan; std::nullopt if the tenant does not list the template or skips all its stages.
std::optional<pipeline_plan> resolve(const pipeline_template& pipeline, const tenant& owner);

} // namespace spurrack::model
