#include "soak_fleet.h"

#include "fleet/http_client.h"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace spurrack::platform_tests {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t replicas_of_a_service = 3;
constexpr milliseconds proxy_patience{5'000};
constexpr milliseconds poll_interval{50};
constexpr const char* east_region = "north";

template <typename condition>
bool wait_until(condition holds, milliseconds patience) {
  const auto limit = soak_clock::now() + patience;
  while (!holds()) {
    if (soak_clock::now() >= limit) {
      return false;
    }
    std::this_thread::sleep_for(poll_interval);
  }
  return true;
}

} // namespace

soak_fleet::soak_fleet(const std::filesystem::path& binaries, std::size_t node_count,
                       bool two_regions, soak_ledger& ledger)
    : binaries_(binaries), folder_(std::filesystem::temp_directory_path() /
                                   ("spurrack-soak-" + std::to_string(::getpid()))),
      two_regions_(two_regions), ledger_(&ledger) {
  std::filesystem::create_directories(folder_);
  for (std::size_t number = 0; number < replicas_of_a_service; ++number) {
    for (const char* service : {"plain", "pool", "model"}) {
      add_replica(service, number);
    }
  }
  for (std::size_t number = 0; number < node_count; ++number) {
    auto node = std::make_unique<soak_node>();
    node->name = "node-" + std::to_string(number);
    node->zone = number % 2 == 0 ? "east" : "west";
    node->clients = fleet::free_address();
    node->readiness = fleet::free_address();
    node->peers = fleet::free_address();
    node->peers_advertised = fleet::free_address();
    nodes.push_back(std::move(node));
  }
  start_proxy(binaries);
  publish_configuration(true);
  for (const auto& replica : replicas) {
    publish(*replica);
  }
  for (auto& node : nodes) {
    write_settings(*node, true);
    start_node(*node);
  }
}

soak_fleet::~soak_fleet() {
  nodes.clear();
  proxy_.reset();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void soak_fleet::add_replica(const std::string& service, std::size_t number) {
  const auto id = "i-" + service + std::to_string(number);
  replicas.push_back(
      std::make_unique<soak_replica>(id, service, number % 2 == 0 ? "east" : "west", *ledger_));
  replicas.back()->set_published_address(fleet::free_address());
}

void soak_fleet::set_evacuated(const std::string& zone, bool evacuated) {
  const auto key = "op/evacuate/" + zone;
  if (evacuated) {
    store.put(key, "{}");
  } else {
    store.remove(key);
  }
}

void soak_fleet::start_proxy(const std::filesystem::path& binaries) {
  proxy_address_ = fleet::free_address();
  std::ostringstream links;
  for (const auto& node : nodes) {
    links << node->name << "," << node->peers_advertised << "," << node->peers << ";";
  }
  for (const auto& replica : replicas) {
    const auto record = boost::json::parse(replica->record()).as_object();
    links << replica->id() << "," << std::string(record.at("address").as_string()) << ","
          << replica->listen_address() << ";";
  }
  proxy_ = std::make_unique<fleet::child_process>(
      binaries / "fault_proxy",
      std::vector<std::string>{"--admin", proxy_address_, "--link", links.str()},
      folder_ / "proxy.log");
  if (!wait_until([&] { return fleet::get(proxy_address_, "/").status != 0; }, proxy_patience)) {
    throw std::runtime_error("the fault proxy did not start");
  }
}

std::string soak_fleet::settings_path(const soak_node& node) const {
  return (folder_ / (node.name + ".yaml")).string();
}

void soak_fleet::write_settings(const soak_node& node, bool valid) const {
  std::ofstream text(settings_path(node));
  if (!valid) {
    text << "node: 1\nodd: true\n";
    return;
  }
  text << "node: " << node.name << "\nzone: " << node.zone << "\npeer_listen: " << node.peers
       << "\npeer_advertise: " << node.peers_advertised
       << "\noperator_listen: " << fleet::free_address() << "\nseeds:\n";
  for (const auto& other : nodes) {
    if (other->name != node.name) {
      text << "  - " << other->peers_advertised << "\n";
    }
  }
  text << "membership:\n  probe_period_ms: 300\n  acknowledgement_timeout_ms: 100\n"
          "  suspicion_timeout_ms: 1000\n  relay_period_ms: 300\nserving:\n  listen: "
       << node.clients << "\n  readiness_listen: " << node.readiness
       << "\n  store: " << store.address() << "\n  regions:\n    east: " << east_region
       << "\n    west: " << (two_regions_ ? "south" : east_region)
       << "\n  retry_ratio: 0.2\n  retry_allowance: 50\n  stop_grace_s: 8\n";
}

void soak_fleet::start_node(soak_node& node) {
  node.process = std::make_unique<fleet::child_process>(
      binaries_ / "spurrackd", std::vector<std::string>{"--settings", settings_path(node)},
      folder_ / (node.name + ".log"), fleet::output::to_log);
}

bool soak_fleet::wait_all_ready(milliseconds patience) {
  return wait_until(
      [&] {
        for (const auto& node : nodes) {
          if (fleet::get(node->readiness, "/readiness").status != 200) {
            return false;
          }
        }
        return true;
      },
      patience);
}

std::string soak_fleet::held_route() const {
  if (!two_regions_) {
    return "";
  }
  return std::string(R"(,
      {"name":"held","host":"h","path_prefix":"/held/","kind":"streaming","service":"model",
       "max_attempts":2,"target_latency_ms":1500,"gap_target_ms":500,"allowed_regions":[")") +
         east_region + R"("],"stages":[
        {"service":"pool","size_bytes":1000},
        {"service":"pool","size_bytes":1000,"start_after":[0]}]})";
}

void soak_fleet::publish_configuration(bool with_extra_key) {
  const std::string keys = with_extra_key ? R"("base","extra")" : R"("base")";
  store.put("op/config", R"({"version":)" + std::to_string(++version_) +
                             R"(,"services":[{"name":"plain"},{"name":"model"},
      {"name":"pool","pieces":{"slots":1,"queue":2,"batch":4,"call_ms":10,"item_ms":1,
       "headroom_mb":1,"handle_s":4}}],
      "limits":{"max_header_bytes":8000,"max_body_bytes":100000,"header_timeout_ms":4000,
       "idle_timeout_ms":10000},
      "tenants":[{"name":"tenant","api_keys":[)" +
                             keys + R"(]}],"routes":[
      {"name":"safe","host":"h","path_prefix":"/safe/","kind":"safe","service":"plain",
       "max_attempts":2,"target_latency_ms":500},
      {"name":"unsafe","host":"h","path_prefix":"/unsafe/","kind":"unsafe","service":"plain",
       "max_attempts":2,"target_latency_ms":500},
      {"name":"stream","host":"h","path_prefix":"/stream/","kind":"streaming","service":"model",
       "max_attempts":2,"stream_resume":true,"target_latency_ms":800,"gap_target_ms":500},
      {"name":"staged","host":"h","path_prefix":"/staged/","kind":"streaming","service":"model",
       "max_attempts":2,"target_latency_ms":1500,"gap_target_ms":500,"stages":[
        {"service":"pool","size_bytes":1000},
        {"service":"pool","size_bytes":1000,"start_after":[0]}]})" +
                             held_route() + "]}");
}

void soak_fleet::publish(const soak_replica& replica) {
  store.put("servers/" + replica.id(), replica.record());
}

void soak_fleet::set_link(const std::string& name, const std::string& flag,
                          int delay_milliseconds) const {
  boost::json::object fault{{"links", boost::json::array{boost::json::value(name)}}};
  if (!flag.empty()) {
    fault[flag] = true;
  }
  if (delay_milliseconds > 0) {
    fault["delay_ms"] = delay_milliseconds;
  }
  fleet::post(proxy_address_, "/admin/fault", fault);
}

} // namespace spurrack::platform_tests
