#include "out_of_step_fleet.h"

#include "fleet/http_client.h"

#include <boost/json.hpp>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <functional>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace spurrack::platform_tests {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds start_timeout{20'000};
constexpr milliseconds poll_interval{20};

std::string configuration_of(std::size_t services) {
  std::string service_list;
  std::string routes;
  for (std::size_t number = 0; number < services; ++number) {
    const auto name = "s" + std::to_string(number);
    const std::string separator = number == 0 ? "" : ",";
    service_list.append(separator).append(R"({"name":")").append(name).append(R"("})");
    routes.append(separator).append(R"({"name":"route-)").append(name);
    routes.append(R"(","host":"h","path_prefix":"/)").append(name);
    routes.append(R"(/","kind":"streaming","service":")").append(name);
    routes.append(R"(","timeout_ms":)").append(std::to_string(stream_timeout.count()));
    routes.append(R"(,"max_attempts":3,"stream_resume":true,"target_latency_ms":800,)");
    routes.append(R"("gap_target_ms":500})");
  }
  return R"({"version":1,"services":[)" + service_list +
         R"(],"limits":{"max_header_bytes":2000,"max_body_bytes":5000,"header_timeout_ms":6000,)"
         R"("idle_timeout_ms":9000},"tenants":[{"name":"t","api_keys":["k"]}],"routes":[)" +
         routes + "]}";
}

void wait_until(const std::function<bool()>& condition, const std::string& what) {
  const auto deadline = test_clock::now() + start_timeout;
  while (!condition()) {
    if (test_clock::now() > deadline) {
      throw std::runtime_error(what);
    }
    std::this_thread::sleep_for(poll_interval);
  }
}

std::string link_of_peers(const stepping_node& node) {
  return node.name;
}

std::string link_of_store(const stepping_node& node) {
  return "store-" + node.name;
}

} // namespace

out_of_step_fleet::out_of_step_fleet(std::filesystem::path folder, std::size_t service_count,
                                     std::uint64_t seed, supervised_replica_options options)
    : folder_(std::move(folder)), seed_(seed), options_(std::move(options)) {
  std::filesystem::create_directories(folder_);
  for (std::size_t index = 0; index < node_count; ++index) {
    auto& node = nodes[index];
    node.name = "n" + std::to_string(index);
    node.zone = index + 1 < node_count ? "a" : "b";
    for (auto* address : {&node.client_address, &node.readiness_address, &node.peer_address,
                          &node.advertised_peer_address, &node.store_address}) {
      *address = fleet::find_free_address();
    }
  }
  start_proxy();
  store_.put("op/config", configuration_of(service_count));
  for (std::size_t number = 0; number < service_count; ++number) {
    auto& service = *services.emplace_back(std::make_unique<stepping_service>());
    service.name = "s" + std::to_string(number);
    add_replica(service, "v1", "a");
    add_replica(service, "v1", "b");
  }
  for (auto& node : nodes) {
    write_settings(node);
    start(node);
  }
  wait_until(
      [&] {
        return std::all_of(nodes.begin(), nodes.end(), [](const stepping_node& node) {
          return fleet::get(node.readiness_address, "/any").status == 200;
        });
      },
      "not all nodes became ready");
}

out_of_step_fleet::~out_of_step_fleet() {
  for (auto& node : nodes) {
    node.process.reset();
  }
  proxy_.reset();
}

void out_of_step_fleet::add_second_version(stepping_service& service) {
  service.has_second_version = true;
  add_replica(service, "v2", "a");
  add_replica(service, "v2", "b");
}

void out_of_step_fleet::add_replica(stepping_service& service, const std::string& version,
                                    const std::string& zone) {
  auto options = options_;
  options.service = service.name;
  options.zone = zone;
  const auto name = "i-" + service.name + "-" + std::to_string(service.replicas.size());
  auto& added = *service.replicas.emplace_back(
      std::make_unique<supervised_replica>(name, version, ++seed_, options));
  store_.put("servers/" + added.process().id, added.next_record());
}

void out_of_step_fleet::set_peer_fault(const stepping_node& node, link_fault fault) const {
  set_fault(link_of_peers(node), fault);
}

void out_of_step_fleet::set_store_fault(const stepping_node& node, link_fault fault) const {
  set_fault(link_of_store(node), fault);
}

void out_of_step_fleet::set_delay(const stepping_node& node, milliseconds delay) const {
  set_fault(link_of_peers(node), link_fault::none, delay);
  set_fault(link_of_store(node), link_fault::none, delay);
}

void out_of_step_fleet::stop(stepping_node& node) const {
  node.process->signal(SIGSTOP);
}

void out_of_step_fleet::go_on(stepping_node& node) const {
  node.process->signal(SIGCONT);
  node.stand_ended_at = test_clock::now();
}

void out_of_step_fleet::kill(stepping_node& node) const {
  node.killed_at = test_clock::now();
  node.process.reset();
}

void out_of_step_fleet::start(stepping_node& node) const {
  node.process = std::make_unique<fleet::child_process>(
      std::filesystem::path(SPURRACK_BINARIES) / "spurrackd",
      std::vector<std::string>{"--settings", path_of(node, ".yaml")}, path_of(node, ".log"),
      fleet::output::to_log);
}

void out_of_step_fleet::start_proxy() {
  std::ostringstream links;
  for (const auto& node : nodes) {
    links << link_of_peers(node) << "," << node.advertised_peer_address << "," << node.peer_address
          << ";" << link_of_store(node) << "," << node.store_address << "," << store_.address()
          << ";";
  }
  proxy_ = std::make_unique<fleet::child_process>(
      std::filesystem::path(SPURRACK_BINARIES) / "fault_proxy",
      std::vector<std::string>{"--admin", proxy_address_, "--link", links.str()},
      folder_ / "proxy.log");
  wait_until([&] { return fleet::get(proxy_address_, "/").status != 0; },
             "the fault proxy did not start");
}

void out_of_step_fleet::set_fault(const std::string& link, link_fault fault,
                                  milliseconds delay) const {
  constexpr std::array<const char*, 4> names{"", "cut", "black_hole", "held"};
  boost::json::object body{{"links", boost::json::array{boost::json::value(link)}}};
  if (fault != link_fault::none) {
    body[names[static_cast<std::size_t>(fault)]] = true;
  }
  body["delay_ms"] = delay.count();
  fleet::post(proxy_address_, "/admin/fault", body);
}

void out_of_step_fleet::write_settings(const stepping_node& node) const {
  std::ofstream text(path_of(node, ".yaml"));
  text << "node: " << node.name << "\nzone: " << node.zone << "\npeer_listen: " << node.peer_address
       << "\npeer_advertise: " << node.advertised_peer_address
       << "\noperator_listen: " << fleet::find_free_address() << "\nseeds:\n";
  for (const auto& other : nodes) {
    if (other.name != node.name) {
      text << "  - " << other.advertised_peer_address << "\n";
    }
  }
  text << "membership:\n  probe_period_ms: 300\n  acknowledgement_timeout_ms: 100\n"
          "  suspicion_timeout_ms: 1000\n  relay_period_ms: 300\nserving:\n  listen: "
       << node.client_address << "\n  readiness_listen: " << node.readiness_address
       << "\n  store: " << node.store_address << "\n  regions:\n    a: r\n    b: r\n"
       << "  retry_ratio: 1\n  retry_allowance: 10000\n  stop_grace_s: 2\n";
}

std::string out_of_step_fleet::path_of(const stepping_node& node, const std::string& suffix) const {
  return (folder_ / (node.name + suffix)).string();
}

} // namespace spurrack::platform_tests
