#include "soak_configuration.h"

namespace spurrack::platform_tests {
namespace {

/// Services and limits of every configuration.
constexpr const char* services_and_limits =
    R"("services":[{"name":"plain"},{"name":"model"},
      {"name":"pool","pieces":{"slots":1,"queue":2,"batch":4,"call_ms":10,"item_ms":1,
       "headroom_mb":1,"handle_s":4}}],
      "limits":{"max_header_bytes":8000,"max_body_bytes":100000,"header_timeout_ms":4000,
       "idle_timeout_ms":10000})";

constexpr const char* stages = R"("stages":[
        {"service":"pool","size_bytes":1000},
        {"service":"pool","size_bytes":1000,"start_after":[0]}])";

/// @param properties JSON members of the route beside its name, host, path and timeout.
std::string route_text(const std::string& name, const configuration_contents& contents,
                       const std::string& properties) {
  std::string text = R"({"name":")" + name + R"(","host":"h","path_prefix":"/)" + name + R"(/",)";
  if (contents.route_timeout.count() > 0) {
    text += R"("timeout_ms":)" + std::to_string(contents.route_timeout.count()) + ",";
  }
  return text + properties + "}";
}

std::string client_routes(const configuration_contents& contents) {
  const std::string plain = R"("service":"plain","max_attempts":2,"target_latency_ms":500)";
  const std::string model = R"("kind":"streaming","service":"model",)";
  const std::string short_gaps = R"(,"target_latency_ms":800,"gap_target_ms":500)";
  const std::string staged =
      model + R"("max_attempts":2,"target_latency_ms":1500,"gap_target_ms":500,)" + stages;
  auto text = route_text("safe", contents, R"("kind":"safe",)" + plain) + "," +
              route_text("unsafe", contents, R"("kind":"unsafe",)" + plain) + "," +
              route_text("stream", contents,
                         model + R"("max_attempts":2,"stream_resume":true)" + short_gaps) +
              "," + route_text("long", contents, model + R"("max_attempts":1)" + short_gaps) + "," +
              route_text("chat", contents,
                         model + R"("max_attempts":2,"stream_resume":true)" + short_gaps) +
              "," + route_text("staged", contents, staged);
  if (contents.has_confined_route) {
    text += "," + route_text("held", contents,
                             staged + R"(,"allowed_regions":[")" + east_region + R"("])");
  }
  return text;
}

std::string tenants(const configuration_contents& contents) {
  if (contents.keys == held_keys::no_tenant) {
    return {};
  }
  std::string keys;
  if (contents.keys == held_keys::by_tenant) {
    keys = contents.has_extra_key ? R"("base","extra")" : R"("base")";
  }
  return R"({"name":"tenant","api_keys":[)" + keys + "]}";
}

std::string unused_routes(const configuration_contents& contents) {
  std::string text;
  for (std::size_t number = 0; number < contents.unused_routes; ++number) {
    text += "," + route_text("unused" + std::to_string(number), contents,
                             R"("kind":"safe","service":"plain","max_attempts":2,)"
                             R"("target_latency_ms":500)");
  }
  return text;
}

} // namespace

std::string configuration_text(std::uint64_t version, const configuration_contents& contents) {
  return R"({"version":)" + std::to_string(version) + "," + services_and_limits +
         R"(,"tenants":[)" + tenants(contents) + R"(],"routes":[)" + client_routes(contents) +
         unused_routes(contents) + "]}";
}

} // namespace spurrack::platform_tests
