#include "model/serving_record_parser.h"

#include "base/hashing.h"
#include "wire/published.pb.h"

#include <algorithm>
#include <cctype>
#include <set>
#include <utility>

namespace spurrack::model {
namespace {

/// Error in a published configuration; thrown to stop building the configuration.
struct validation_error {
  std::string text;
};

[[noreturn]] void refuse(std::string text) {
  throw validation_error{std::move(text)};
}

void require(bool is_valid, const std::string& text) {
  if (!is_valid) {
    refuse(text);
  }
}

base::duration milliseconds_of(double value) {
  return base::from_seconds(value / 1000.0);
}

std::string lower_case(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char character) {
    return static_cast<char>(std::tolower(character));
  });
  return text;
}

/// Maximum time in milliseconds of a record, as for the times that records hold as integers.
constexpr double max_milliseconds = 4e9;
/// Maximum number of any other quantity of a record, which every JSON parser represents exactly.
constexpr double max_quantity = 9'007'199'254'740'992;

/// Requires a value from 0 to `maximum`. No other value, such as infinity, may be converted to a
/// time or an integer.
/// @param subject what the value belongs to, and its name; part of the reason of the refusal.
void require_within(double value, double maximum, const std::string& subject) {
  require(value >= 0 && value <= maximum, subject + " is out of range");
}

piece_capacity build_pieces(const wire::published_piece_capacity& given, const std::string& owner) {
  constexpr double bytes_per_megabyte = 1e6;
  constexpr double milliseconds_per_second = 1e3;
  require_within(given.call_milliseconds(), max_milliseconds, owner + ": time of a call");
  require_within(given.item_milliseconds(), max_milliseconds, owner + ": time of an item");
  require_within(given.result_megabytes(), max_quantity, owner + ": memory for results");
  require_within(given.handle_seconds(), max_milliseconds / milliseconds_per_second,
                 owner + ": time of a handle");
  return {std::max(1U, given.slots()),
          given.queue(),
          std::max(1U, given.batch()),
          milliseconds_of(given.call_milliseconds()),
          milliseconds_of(given.item_milliseconds()),
          given.result_megabytes() * bytes_per_megabyte,
          base::from_seconds(given.handle_seconds())};
}

engine_capacity build_engine(const wire::published_engine_capacity& given,
                             const std::string& owner) {
  constexpr double bits_per_megabit = 1e6;
  require(given.token_bytes() >= 0 && given.link_megabits_per_second() >= 0,
          owner + ": an engine's figure is negative");
  require_within(given.token_bytes(), max_quantity, owner + ": size of a token");
  require_within(given.link_megabits_per_second(), max_quantity, owner + ": speed of a link");
  return {std::max(1U, given.slots()), given.memory_tokens(), given.token_bytes(),
          given.link_megabits_per_second() * bits_per_megabit};
}

stage_step build_stage(const wire::published_stage& published) {
  stage_step built;
  built.service = published.service();
  built.start_after.assign(published.start_after().begin(), published.start_after().end());
  require_within(published.result_bytes(), max_quantity, "size of a stage's result");
  built.result_bytes = published.result_bytes();
  return built;
}

/// @return whether any stages depend on each other in a cycle. Repeatedly marks the stages whose
///         predecessors are all marked; stages left unmarked are on a cycle or depend on one.
bool has_cycle(const std::vector<stage_step>& stages) {
  std::set<std::uint32_t> finished;
  bool progressed = true;
  while (progressed && finished.size() < stages.size()) {
    progressed = false;
    for (std::uint32_t index = 0; index < stages.size(); ++index) {
      const auto& needed = stages[index].start_after;
      const bool is_ready = std::all_of(needed.begin(), needed.end(), [&](std::uint32_t required) {
        return finished.contains(required);
      });
      if (is_ready && finished.insert(index).second) {
        progressed = true;
      }
    }
  }
  return finished.size() < stages.size();
}

void check_stages(const route& built, const serving_configuration& configuration) {
  for (const auto& step : built.stages) {
    const auto* stage_service = configuration.find_service(step.service);
    require(stage_service != nullptr, "route " + built.name + ": stage service does not exist");
    require(stage_service->pieces.has_value(),
            "route " + built.name + ": stage service has no pieces");
    for (const auto required : step.start_after) {
      require(required < built.stages.size(), "route " + built.name + ": stage out of range");
    }
  }
  require(!has_cycle(built.stages), "route " + built.name + ": stages form a cycle");
}

residency build_residency(const google::protobuf::RepeatedPtrField<std::string>& regions) {
  if (regions.empty()) {
    return residency::everywhere();
  }
  std::set<base::region_id> allowed;
  for (const auto& region : regions) {
    require(!region.empty(), "an allowed region has no name");
    allowed.emplace(region);
  }
  return residency::within(std::move(allowed));
}

std::shared_ptr<const route> build_route(const wire::published_route& published,
                                         const serving_configuration& configuration) {
  auto built = std::make_shared<route>();
  built->name = published.name();
  built->host = lower_case(published.host());
  built->path_prefix = published.path_prefix();
  built->kind = static_cast<route_kind>(published.kind());
  require(!built->host.empty(), "route " + built->name + ": host is missing");
  require(built->path_prefix.starts_with('/') && built->path_prefix.ends_with('/'),
          "route " + built->name + ": path prefix must begin and end with a slash");
  std::uint64_t total_weight = 0;
  for (const auto& target : published.services()) {
    require(configuration.find_service(target.service()) != nullptr,
            "route " + built->name + ": service does not exist");
    built->services.push_back({target.service(), target.weight()});
    total_weight += target.weight();
  }
  require(total_weight > 0, "route " + built->name + ": no service");
  if (published.timeout_milliseconds() > 0) {
    built->timeout = milliseconds_of(published.timeout_milliseconds());
  }
  built->target_latency = milliseconds_of(published.target_latency_milliseconds());
  built->priority = published.priority();
  built->max_attempts = std::max(1U, published.max_attempts());
  built->is_public = published.is_public();
  built->resumable = published.resumable();
  built->gap_target = milliseconds_of(published.gap_target_milliseconds());
  if (published.client_patience_milliseconds() > 0) {
    built->client_patience = milliseconds_of(published.client_patience_milliseconds());
  }
  for (const auto& step : published.stages()) {
    built->stages.push_back(build_stage(step));
  }
  built->permitted_regions = build_residency(published.permitted_regions());
  check_stages(*built, configuration);
  return built;
}

service build_service(const wire::published_service& published) {
  service built;
  built.name = published.name();
  built.health_path = published.health_path();
  built.max_connections = published.max_connections();
  require(!built.name.empty(), "service without a name");
  const auto owner = "service " + built.name;
  if (published.has_pieces()) {
    built.pieces = build_pieces(published.pieces(), owner);
  }
  built.cold_requests_per_second = std::max(0.0, published.cold_requests_per_second());
  require_within(built.cold_requests_per_second, max_quantity, owner + ": rate while it is cold");
  if (published.has_engine()) {
    built.engine = build_engine(published.engine(), owner);
  }
  return built;
}

/// Adds the keys of a tenant. A key without text is not added, because requests without a key would
/// be allowed by it.
/// @param ambiguous receives the keys that another tenant holds as well.
void add_keys(const wire::published_access& published, serving_configuration& configuration,
              std::set<std::string>& ambiguous) {
  access_key_holder holder{base::tenant_id(published.tenant()), std::nullopt,
                           build_residency(published.permitted_regions())};
  if (published.has_priority()) {
    holder.priority = published.priority();
  }
  for (const auto& key : published.api_keys()) {
    if (key.empty()) {
      continue;
    }
    const auto [known, is_new] = configuration.keys.emplace(key, holder);
    if (!is_new && known->second.tenant != holder.tenant) {
      ambiguous.insert(key);
    }
  }
}

void add_tenants(const wire::published_configuration& published,
                 serving_configuration& configuration) {
  configuration.has_tenants = published.has_tenants() || published.tenants_size() > 0;
  std::set<std::string> ambiguous;
  for (const auto& tenant : published.tenants()) {
    add_keys(tenant, configuration, ambiguous);
  }
  for (const auto& key : ambiguous) {
    configuration.keys.erase(key);
  }
  configuration.ambiguous_keys = ambiguous.size();
}

client_limits build_limits(const wire::published_limits& published) {
  client_limits limits;
  const auto replace = [](std::uint32_t& value, std::uint32_t given) {
    value = given > 0 ? given : value;
  };
  replace(limits.max_header_bytes, published.max_header_bytes());
  replace(limits.max_body_bytes, published.max_body_bytes());
  if (published.header_timeout_milliseconds() > 0) {
    limits.header_timeout = milliseconds_of(published.header_timeout_milliseconds());
  }
  if (published.idle_timeout_milliseconds() > 0) {
    limits.idle_timeout = milliseconds_of(published.idle_timeout_milliseconds());
  }
  return limits;
}

std::shared_ptr<const serving_configuration>
build_configuration(const wire::published_configuration& published) {
  auto built = std::make_shared<serving_configuration>();
  built->version = published.version();
  for (const auto& given : published.services()) {
    auto added = build_service(given);
    built->services[added.name] = std::move(added);
  }
  for (const auto& given : published.routes()) {
    auto added = build_route(given, *built);
    built->routes_by_host[added->host].push_back(std::move(added));
  }
  for (auto& [host, routes] : built->routes_by_host) {
    std::stable_sort(routes.begin(), routes.end(), [](const auto& left, const auto& right) {
      return left->path_prefix.size() > right->path_prefix.size();
    });
  }
  add_tenants(published, *built);
  built->limits = build_limits(published.limits());
  return built;
}

} // namespace

std::shared_ptr<const route> serving_configuration::find_route(std::string_view host,
                                                               std::string_view path) const {
  const auto found = routes_by_host.find(std::string(host));
  if (found == routes_by_host.end()) {
    return nullptr;
  }
  for (const auto& candidate : found->second) {
    if (path.starts_with(candidate->path_prefix)) {
      return candidate;
    }
  }
  return nullptr;
}

std::unordered_set<std::string> serving_configuration::route_names() const {
  std::unordered_set<std::string> names;
  for (const auto& [host, routes] : routes_by_host) {
    for (const auto& route : routes) {
      names.insert(route->name);
    }
  }
  return names;
}

const service* serving_configuration::find_service(const std::string& name) const {
  const auto found = services.find(name);
  return found == services.end() ? nullptr : &found->second;
}

std::string shorten_version(const std::string& version) {
  constexpr std::size_t max_bytes = 80;
  constexpr std::size_t kept_bytes = 48;
  if (version.size() <= max_bytes) {
    return version;
  }
  // A character of several bytes must not be cut: records hold text.
  std::size_t kept = kept_bytes;
  while (kept > 0 && (static_cast<unsigned char>(version[kept]) & 0xC0U) == 0x80U) {
    --kept;
  }
  return version.substr(0, kept) + "..." + std::to_string(base::stable_hash(version));
}

configuration_result parse_configuration(const std::string& bytes) {
  wire::published_configuration published;
  if (!published.ParseFromString(bytes)) {
    return refusal_reason{"not a configuration"};
  }
  if (!published.translation_fault().empty()) {
    return refusal_reason{published.translation_fault()};
  }
  try {
    return build_configuration(published);
  } catch (const validation_error& error) {
    return refusal_reason{error.text};
  }
}

replica_result parse_replica(const std::string& bytes) {
  wire::published_replica published;
  if (!published.ParseFromString(bytes)) {
    return refusal_reason{"not a replica"};
  }
  if (!published.translation_fault().empty()) {
    return refusal_reason{published.translation_fault()};
  }
  auto built = std::make_shared<replica>();
  built->id = base::replica_id(published.id());
  built->service = published.service();
  built->address = base::network_address(published.address());
  built->zone = base::zone_id(published.zone());
  built->version = base::software_version(shorten_version(published.version()));
  built->slots = std::max(1U, published.slots());
  built->draining = published.draining();
  built->cold_for = milliseconds_of(published.cold_milliseconds());
  if (const auto started_at = published.started_at_milliseconds(); started_at > 0) {
    built->incarnation = replica_incarnation{started_at};
  }
  if (built->id.empty()) {
    return refusal_reason{"id is missing"};
  }
  if (built->service.empty() || built->address.empty()) {
    return refusal_reason{"service or address is missing"};
  }
  return built;
}

evacuation_result parse_evacuation(const std::string& bytes) {
  wire::published_evacuation published;
  if (!published.ParseFromString(bytes)) {
    return refusal_reason{"not an evacuation"};
  }
  if (published.zone().empty()) {
    return refusal_reason{"zone is missing"};
  }
  return evacuation{base::zone_id(published.zone())};
}

} // namespace spurrack::model
