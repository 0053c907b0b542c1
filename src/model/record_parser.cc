#include "model/record_parser.h"

#include "model/errc.h"

#include <algorithm>

namespace spurrack::model {
namespace {

constexpr std::int64_t max_deadline_milliseconds = 600'000;
constexpr std::int64_t max_stages = 16;
constexpr std::int64_t max_tokens_limit = 100'000;
constexpr std::int64_t max_weight = 1000;
constexpr std::int64_t max_priority = 9;
constexpr std::int64_t default_priority = 5;
constexpr std::int64_t max_concurrency = 10'000;
constexpr std::size_t sha256_hex_length = 64;

bool is_sha256_hex(const std::string& text) {
  return text.size() == sha256_hex_length &&
         text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

stage parse_stage(mapping_reader& reader) {
  stage result;
  result.name = reader.required_text("name");
  result.kind = static_cast<stage_kind>(
      reader.choice("kind", {"encode", "retrieve", "rerank", "generate", "call"}, std::nullopt));
  result.pool = base::pool_id(reader.required_text("pool"));
  result.repeatable = reader.boolean("repeatable", result.kind != stage_kind::call);
  result.model = reader.optional_text("model").value_or("");
  result.adapter = reader.optional_text("adapter").value_or("");
  const auto tokens_fallback =
      result.kind == stage_kind::generate ? std::optional<std::int64_t>() : 0;
  result.max_tokens = static_cast<std::uint32_t>(
      reader.integer("max_tokens", result.kind == stage_kind::generate ? 1 : 0, max_tokens_limit,
                     tokens_fallback));
  reader.finish();
  return result;
}

record parse_template(mapping_reader& reader) {
  auto result = std::make_shared<pipeline_template>();
  result->name = base::template_id(reader.required_text("name"));
  result->deadline = reader.milliseconds("deadline_ms", 1, max_deadline_milliseconds, std::nullopt);
  std::set<std::string> names;
  for (auto& child : reader.sequence("stages", true)) {
    result->stages.push_back(parse_stage(child));
    if (!names.insert(result->stages.back().name).second) {
      child.add_fault(errc::unknown_value, "name", "a name not used by another stage");
    }
  }
  if (result->stages.empty() || result->stages.size() > max_stages) {
    reader.add_fault(errc::out_of_range, "stages", "1 to 16 stages");
  }
  reader.finish();
  return result;
}

template_parameters parse_parameters(mapping_reader& reader) {
  template_parameters result;
  for (auto& name : reader.text_list("skip_stages")) {
    result.skipped_stages.insert(std::move(name));
  }
  result.model = reader.optional_text("model");
  result.adapter = reader.optional_text("adapter");
  const auto deadline = reader.milliseconds("deadline_ms", 1, max_deadline_milliseconds, 0);
  if (deadline.count() > 0) {
    result.deadline = deadline;
  }
  result.priority = static_cast<int>(reader.integer("priority", 0, max_priority, default_priority));
  reader.finish();
  return result;
}

record parse_tenant(mapping_reader& reader) {
  auto result = std::make_shared<tenant>();
  result->name = base::tenant_id(reader.required_text("name"));
  result->token_sha256 = reader.required_text("token_sha256");
  if (!result->token_sha256.empty() && !is_sha256_hex(result->token_sha256)) {
    reader.add_fault(errc::unknown_value, "token_sha256", "64 lower-case hexadecimal digits");
  }
  result->weight = static_cast<int>(reader.integer("weight", 1, max_weight, 1));
  if (auto templates = reader.mapping("templates", true)) {
    for (const auto& name : templates->entry_names()) {
      if (auto child = templates->mapping(name, false)) {
        result->templates.emplace(base::template_id(name), parse_parameters(*child));
      }
    }
  }
  reader.finish();
  return result;
}

record parse_machine(mapping_reader& reader) {
  auto result = std::make_shared<machine>();
  result->id = reader.required_text("name");
  result->role = static_cast<machine_role>(reader.choice("role", {"node", "backend"}, 1));
  result->state = static_cast<machine_state>(reader.choice("state", {"live", "leaving"}, 0));
  result->zone = base::zone_id(reader.required_text("zone"));
  result->address = base::network_address(reader.required_text("address", "IP:port"));
  result->generation =
      static_cast<std::uint64_t>(reader.integer("generation", 1, INT64_MAX, std::int64_t{1}));
  if (result->role == machine_role::backend) {
    result->pool = base::pool_id(reader.required_text("pool"));
    result->concurrency =
        static_cast<std::uint32_t>(reader.integer("concurrency", 1, max_concurrency, 1));
  }
  reader.finish();
  return result;
}

std::string record_name(const record& value) {
  if (const auto* pipeline = std::get_if<std::shared_ptr<const pipeline_template>>(&value)) {
    return (*pipeline)->name.text();
  }
  if (const auto* owner = std::get_if<std::shared_ptr<const tenant>>(&value)) {
    return (*owner)->name.text();
  }
  return std::get<std::shared_ptr<const machine>>(value)->id;
}

std::optional<record> parse_by_prefix(const std::string& key, mapping_reader& reader) {
  if (key.starts_with(template_prefix)) {
    return parse_template(reader);
  }
  if (key.starts_with(tenant_prefix)) {
    return parse_tenant(reader);
  }
  if (key.starts_with(machine_prefix)) {
    return parse_machine(reader);
  }
  reader.add_fault(errc::unknown_key_space, "name", "templates/, tenants/, machines/");
  return std::nullopt;
}

} // namespace

parse_result parse_record(const std::string& key, const std::string& text) {
  parse_result result;
  if (text.size() > max_value_bytes) {
    result.faults.push_back({errc::out_of_range, 0, "", "at most 1000000 bytes"});
    return result;
  }
  const auto document = parse_yaml(text, result.faults);
  if (!document) {
    return result;
  }
  mapping_reader reader(*document, "", result.faults);
  auto value = parse_by_prefix(key, reader);
  if (!value) {
    return result;
  }
  const auto expected = key.substr(key.find('/') + 1);
  if (record_name(*value) != expected) {
    reader.add_fault(errc::name_mismatch, "name", expected);
  }
  if (result.faults.empty()) {
    result.value = std::move(value);
  }
  return result;
}

} // namespace spurrack::model
