#include "settings/settings.h"

#include "base/ids.h"
#include "model/errc.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <utility>

namespace spurrack::settings {
namespace {

using model::mapping_reader;

constexpr std::size_t curve_key_length = 40;
constexpr std::int64_t one_day_milliseconds = 86'400'000;

bool is_address(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return false;
  }
  unsigned port = 0;
  constexpr unsigned max_port = 65'535;
  const auto* end = text.data() + text.size();
  const auto result = std::from_chars(text.data() + colon + 1, end, port);
  return result.ec == std::errc() && result.ptr == end && port > 0 && port <= max_port;
}

std::string read_address(mapping_reader& reader, const std::string& name) {
  auto text = reader.required_text(name, "IP:port");
  if (!text.empty() && !is_address(text)) {
    reader.add_fault(model::errc::unknown_value, name, "IP:port");
  }
  return text;
}

std::int64_t milliseconds_of(base::duration span) {
  return base::to_milliseconds(span);
}

void read_platform(mapping_reader& reader, daemon_settings& result) {
  if (auto platform = reader.mapping("platform", true)) {
    result.configuration_service = read_address(*platform, "configuration");
    result.machine_list_service = read_address(*platform, "machine_list");
    platform->finish();
  }
}

void read_curve(mapping_reader& reader, daemon_settings& result) {
  auto curve = reader.mapping("curve", false);
  if (!curve) {
    return;
  }
  curve_keys keys;
  keys.public_key = curve->required_text("public_key", "40 characters of Z85");
  keys.secret_key = curve->required_text("secret_key", "40 characters of Z85");
  for (const auto* name : {"public_key", "secret_key"}) {
    const auto& text = std::string(name) == "public_key" ? keys.public_key : keys.secret_key;
    if (!text.empty() && text.size() != curve_key_length) {
      curve->add_fault(model::errc::unknown_value, name, "40 characters of Z85");
    }
  }
  curve->finish();
  result.curve = std::move(keys);
}

void read_idempotency(mapping_reader& reader, execution::guard_settings& guard) {
  auto section = reader.mapping("idempotency", false);
  if (!section) {
    return;
  }
  guard.key_lifetime = section->milliseconds("key_lifetime_ms", 1'000, one_day_milliseconds,
                                             milliseconds_of(guard.key_lifetime));
  guard.ticket_lifetime = section->milliseconds("ticket_lifetime_ms", 1'000, one_day_milliseconds,
                                                milliseconds_of(guard.ticket_lifetime));
  guard.replaced_list_lifetime = section->milliseconds(
      "list_window_ms", 1'000, one_day_milliseconds, milliseconds_of(guard.replaced_list_lifetime));
  guard.witness_timeout = section->milliseconds("witness_timeout_ms", 10, 60'000,
                                                milliseconds_of(guard.witness_timeout));
  if (guard.replaced_list_lifetime < guard.key_lifetime) {
    section->add_fault(model::errc::out_of_range, "list_window_ms", "at least key_lifetime_ms");
  }
  section->finish();
}

void read_scheduling(mapping_reader& reader, admission::scheduling_settings& scheduling) {
  auto section = reader.mapping("scheduling", false);
  if (!section) {
    return;
  }
  scheduling.policy = static_cast<routing::policy_kind>(
      section->choice("policy", {"round_robin", "least_in_flight", "power_of_two", "adaptive"},
                      static_cast<std::size_t>(scheduling.policy)));
  scheduling.refuse_expected_late = section->boolean("predict", scheduling.refuse_expected_late);
  section->finish();
}

void read_membership(mapping_reader& reader, membership::timing& timing) {
  auto section = reader.mapping("membership", false);
  if (!section) {
    return;
  }
  timing.probe_period =
      section->milliseconds("probe_period_ms", 100, 60'000, milliseconds_of(timing.probe_period));
  timing.acknowledgement_timeout = section->milliseconds(
      "acknowledgement_timeout_ms", 10, 60'000, milliseconds_of(timing.acknowledgement_timeout));
  timing.suspicion_timeout = section->milliseconds("suspicion_timeout_ms", 100, 600'000,
                                                   milliseconds_of(timing.suspicion_timeout));
  timing.relay_period =
      section->milliseconds("relay_period_ms", 100, 60'000, milliseconds_of(timing.relay_period));
  if (timing.acknowledgement_timeout >= timing.probe_period) {
    section->add_fault(model::errc::out_of_range, "acknowledgement_timeout_ms",
                       "less than probe_period_ms");
  }
  section->finish();
}

void read_callers(mapping_reader& reader, caller_limits& limits) {
  auto section = reader.mapping("callers", false);
  if (!section) {
    return;
  }
  constexpr std::int64_t max_body_limit = 100'000'000;
  limits.max_body_bytes = static_cast<std::size_t>(section->integer(
      "max_body_bytes", 1'000, max_body_limit, static_cast<std::int64_t>(limits.max_body_bytes)));
  limits.max_header_bytes = static_cast<std::size_t>(section->integer(
      "max_header_bytes", 1'000, 1'000'000, static_cast<std::int64_t>(limits.max_header_bytes)));
  limits.receive_timeout = section->milliseconds("receive_timeout_ms", 100, 600'000,
                                                 milliseconds_of(limits.receive_timeout));
  limits.idle_timeout = section->milliseconds("idle_timeout_ms", 100, one_day_milliseconds,
                                              milliseconds_of(limits.idle_timeout));
  limits.max_connections = static_cast<std::size_t>(section->integer(
      "max_connections", 1, 100'000, static_cast<std::int64_t>(limits.max_connections)));
  section->finish();
}

/// Time from the end of a graceful stop until the process is killed: half a second to write the
/// last answers, and 0.2 s for a delayed process. At the end of the stop, the remaining requests
/// are aborted.
constexpr double stop_margin_seconds = 0.7;

/// Maximum hold time of a watch. Lost watches are detected sooner, because other nodes confirm
/// positions at short intervals.
constexpr base::duration max_watch_hold_time = std::chrono::seconds(15);

/// Maximum interval between two reads of a watching node, as a fraction of the time within which a
/// change must be in effect.
constexpr double read_interval_fraction = 0.2;

/// Reads the time limits within which changes must be in effect, and derives from them the timing
/// of watches and the ages at which nodes confirm their knowledge. A watch is a long poll: the
/// store holds it, that is, delays its answer, until there is a change or the hold time has passed.
/// `settle_ms` is accepted but no longer affects the timing: it excuses a disturbed node, but not
/// the nodes that rely on its watch.
void read_watch_timing(mapping_reader& section, node::node_settings& result) {
  constexpr std::int64_t max_milliseconds = 60'000;
  constexpr std::int64_t default_milliseconds = 2'000;
  section.milliseconds("settle_ms", 0, max_milliseconds, default_milliseconds);
  const auto change_bound =
      section.milliseconds("change_bound_ms", 100, max_milliseconds, default_milliseconds);
  const auto drain_bound =
      section.milliseconds("drain_bound_ms", 100, max_milliseconds, default_milliseconds);
  const auto shortest_bound = std::min(change_bound, drain_bound);
  auto& timing = result.service_timing;
  timing.max_hold_time = max_watch_hold_time;
  result.knowledge_limits = catalog::limits_for(shortest_bound);
  timing.max_read_interval = base::scaled(shortest_bound, read_interval_fraction);
  timing.max_retry_interval = section.milliseconds("store_retry_longest_ms", 100, 60'000,
                                                   milliseconds_of(std::chrono::milliseconds(500)));
}

void read_serving(mapping_reader& reader, daemon_settings& result) {
  auto section = reader.mapping("serving", false);
  if (!section) {
    return;
  }
  serving_endpoints endpoints;
  endpoints.listen = read_address(*section, "listen");
  endpoints.readiness_listen = read_address(*section, "readiness_listen");
  endpoints.store = read_address(*section, "store");
  serving::serving_settings serving;
  const bool is_on_all_interfaces = endpoints.listen.starts_with("0.0.0.0:");
  serving.client_address = base::network_address(is_on_all_interfaces ? "" : endpoints.listen);
  result.serving = std::move(endpoints);
  auto& retry = serving.retry;
  retry.ratio = section->number("retry_ratio", 0, 10, retry.ratio);
  retry.allowance = section->number("retry_allowance", 0, 1e6, retry.allowance);
  retry.window = base::from_seconds(
      section->number("retry_window_s", 0.1, 3600, base::to_seconds(retry.window)));
  auto& cold = serving.cold;
  cold.factor = section->number("cold_factor", 0, 100, cold.factor);
  cold.allowance = section->number("cold_allowance", 0, 1e6, cold.allowance);
  constexpr double default_grace_seconds = 8;
  const double grace_seconds = section->number("stop_grace_s", 1, 600, default_grace_seconds);
  serving.max_stop_duration =
      base::from_seconds(std::max(grace_seconds - stop_margin_seconds, grace_seconds / 2));
  constexpr double bytes_per_megabyte = 1e6;
  auto& resources = serving.resources;
  const double default_megabytes = static_cast<double>(resources.memory_bytes) / bytes_per_megabyte;
  resources.memory_bytes = static_cast<std::size_t>(
      section->number("memory_mb", 32, 1e6, default_megabytes) * bytes_per_megabyte);
  resources.descriptors = static_cast<std::size_t>(
      section->number("max_descriptors", 256, 1e7, static_cast<double>(resources.descriptors)));
  constexpr double min_event_bytes = 1'024;
  constexpr double max_event_bytes = 1e8;
  serving.max_event_bytes =
      static_cast<std::size_t>(section->number("max_event_bytes", min_event_bytes, max_event_bytes,
                                               static_cast<double>(serving.max_event_bytes)));
  auto& self = result.node.self;
  self.processor_share =
      static_cast<float>(section->number("processor_share", 0.001, 1024, self.processor_share));
  serving.input_fetch_time = section->milliseconds("input_fetch_time_ms", 0, 60'000,
                                                   milliseconds_of(serving.input_fetch_time));
  serving.refuse_early = section->boolean("refuse_early", serving.refuse_early);
  serving.batch_wait =
      section->milliseconds("batch_wait_ms", 0, 1'000, milliseconds_of(serving.batch_wait));
  if (auto regions = section->mapping("regions", false)) {
    std::map<base::zone_id, base::region_id> by_zone;
    for (const auto& zone : regions->entry_names()) {
      by_zone[base::zone_id(zone)] = base::region_id(regions->required_text(zone));
    }
    serving.regions = model::zone_regions(std::move(by_zone));
  }
  result.node.serving = serving;
  result.node.stop_linger_time = std::chrono::milliseconds(1'500);
  result.node.max_stop_linger_time =
      std::min(serving.max_stop_duration, serving.stop_admission.requests);
  result.node.resync_timeout = std::chrono::milliseconds(300);
  read_watch_timing(*section, result.node);
  section->finish();
}

} // namespace

settings_result parse_settings(const std::string& text) {
  settings_result result;
  const auto document = model::parse_yaml(text, result.faults);
  if (!document) {
    return result;
  }
  daemon_settings value;
  mapping_reader reader(*document, "", result.faults);
  value.node.self.node = base::node_id(reader.required_text("node"));
  value.node.self.zone = base::zone_id(reader.required_text("zone"));
  value.peer_listen = read_address(reader, "peer_listen");
  const auto advertised = reader.optional_text("peer_advertise").value_or(value.peer_listen);
  value.node.self.address = base::network_address(advertised);
  read_serving(reader, value);
  if (!value.serving) {
    value.caller_listen = read_address(reader, "caller_listen");
    read_platform(reader, value);
  }
  value.operator_listen = read_address(reader, "operator_listen");
  for (const auto& seed : reader.text_list("seeds")) {
    if (!is_address(seed)) {
      reader.add_fault(model::errc::unknown_value, "seeds", "a list of IP:port");
    }
    value.node.seeds.emplace_back(seed);
  }
  read_curve(reader, value);
  read_idempotency(reader, value.node.guard);
  read_scheduling(reader, value.node.scheduling);
  read_membership(reader, value.node.membership_timing);
  read_callers(reader, value.callers);
  reader.finish();
  if (result.faults.empty()) {
    result.value = std::move(value);
  }
  return result;
}

} // namespace spurrack::settings
