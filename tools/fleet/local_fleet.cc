#include "local_fleet.h"

#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

namespace spurrack::fleet {
namespace {

namespace json = boost::json;

constexpr std::chrono::milliseconds poll_interval{10};

std::filesystem::path make_folder() {
  static std::atomic<int> counter{0};
  auto folder = std::filesystem::temp_directory_path() /
                ("spurrack-" + std::to_string(::getpid()) + "-" + std::to_string(counter++));
  std::filesystem::create_directories(folder);
  return folder;
}

void require(bool condition, const std::string& what) {
  if (!condition) {
    throw std::runtime_error(what);
  }
}

} // namespace

local_fleet::local_fleet(std::filesystem::path binaries, fleet_description description)
    : binaries_(std::move(binaries)), description_(std::move(description)), folder_(make_folder()) {
  for (const auto& node : description_.nodes) {
    auto& addresses = node_addresses_[node.name];
    addresses = {find_free_address(), find_free_address(), find_free_address(), ""};
    addresses.peers_advertised = description_.uses_proxy ? find_free_address() : addresses.peers;
  }
  for (const auto& backend : description_.backends) {
    backend_addresses_[backend.name] = find_free_address();
    backend_advertised_[backend.name] =
        description_.uses_proxy ? find_free_address() : backend_addresses_[backend.name];
  }
  start_platform();
  start_backends();
  if (description_.uses_proxy) {
    start_proxy();
  }
}

local_fleet::~local_fleet() {
  nodes_.clear();
  backends_.clear();
  proxy_.reset();
  platform_.reset();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void local_fleet::start_platform() {
  platform_address_ = find_free_address();
  platform_ = std::make_unique<child_process>(
      binaries_ / "platform_stand_in", std::vector<std::string>{"--listen", platform_address_},
      folder_ / "platform.log");
  require(wait_until([&] { return get(platform_address_, "/admin/counts").status == 200; }),
          "the emulated platform did not start");
  std::map<std::string, std::optional<std::string>> records;
  for (const auto& [key, value] : description_.records) {
    records[key] = value;
  }
  for (const auto& node : description_.nodes) {
    records["machines/" + node.name] = "{name: " + node.name + ", role: node, zone: " + node.zone +
                                       ", address: '" +
                                       node_addresses_[node.name].peers_advertised + "'}";
  }
  for (const auto& backend : description_.backends) {
    records["machines/" + backend.name] = make_machine_record(backend, "live", 1);
  }
  publish(records);
}

std::string local_fleet::make_machine_record(const backend_description& backend,
                                             const std::string& state, int generation) const {
  std::ostringstream text;
  text << "{name: " << backend.name << ", role: backend, zone: " << backend.zone << ", address: '"
       << backend_advertised_.at(backend.name) << "', pool: " << backend.pool
       << ", concurrency: " << backend.concurrency << ", state: " << state
       << ", generation: " << generation << "}";
  return text.str();
}

const backend_description& local_fleet::find_backend(const std::string& name) const {
  const auto found = std::find_if(description_.backends.begin(), description_.backends.end(),
                                  [&](const auto& backend) { return backend.name == name; });
  require(found != description_.backends.end(), "unknown back end " + name);
  return *found;
}

void local_fleet::publish_backend(const std::string& name, const std::string& state,
                                  int generation) const {
  publish({{"machines/" + name, make_machine_record(find_backend(name), state, generation)}});
}

void local_fleet::start_backends() {
  for (const auto& backend : description_.backends) {
    const std::vector<std::string> arguments{"--listen",
                                             backend_addresses_[backend.name],
                                             "--id",
                                             backend.name,
                                             "--service-us",
                                             std::to_string(backend.service_microseconds),
                                             "--token-us",
                                             std::to_string(backend.token_microseconds),
                                             "--most-in-flight",
                                             std::to_string(backend.max_in_flight)};
    backends_[backend.name] = std::make_unique<child_process>(
        binaries_ / "backend_stand_in", arguments, folder_ / (backend.name + ".log"));
  }
  for (const auto& [name, address] : backend_addresses_) {
    require(wait_until(
                [&, listener = address] { return get(listener, "/admin/counts").status == 200; }),
            "back end " + name + " did not start");
  }
}

void local_fleet::start_proxy() {
  proxy_address_ = find_free_address();
  std::ostringstream links;
  for (const auto& [name, addresses] : node_addresses_) {
    links << name << "," << addresses.peers_advertised << "," << addresses.peers << ";";
  }
  for (const auto& [name, address] : backend_addresses_) {
    links << name << "," << backend_advertised_[name] << "," << address << ";";
  }
  proxy_ = std::make_unique<child_process>(
      binaries_ / "fault_proxy",
      std::vector<std::string>{"--admin", proxy_address_, "--link", links.str()},
      folder_ / "proxy.log");
  require(
      wait_until([&] { return get(proxy_address_, "/").status != 0 || !proxy_->is_running(); }) &&
          proxy_->is_running(),
      "the fault proxy did not start");
}

std::string local_fleet::make_settings_text(const node_description& node) const {
  const auto& own_addresses = node_addresses_.at(node.name);
  std::ostringstream text;
  text << "node: " << node.name << "\nzone: " << node.zone
       << "\npeer_listen: " << own_addresses.peers
       << "\npeer_advertise: " << own_addresses.peers_advertised
       << "\ncaller_listen: " << own_addresses.callers
       << "\noperator_listen: " << own_addresses.operators
       << "\nplatform:\n  configuration: " << platform_address_
       << "\n  machine_list: " << platform_address_
       << "\nidempotency:\n  key_lifetime_ms: " << description_.key_lifetime_ms
       << "\n  list_window_ms: " << description_.list_window_ms << "\nseeds:\n";
  for (const auto& [name, addresses] : node_addresses_) {
    if (name != node.name) {
      text << "  - " << addresses.peers_advertised << "\n";
    }
  }
  text << description_.extra_settings;
  return text.str();
}

void local_fleet::start_node(const std::string& name) {
  const auto found = std::find_if(description_.nodes.begin(), description_.nodes.end(),
                                  [&](const auto& node) { return node.name == name; });
  require(found != description_.nodes.end(), "unknown node " + name);
  const auto settings = folder_ / (name + ".yaml");
  std::ofstream(settings) << make_settings_text(*found);
  nodes_[name] = std::make_unique<child_process>(
      binaries_ / "spurrackd", std::vector<std::string>{"--settings", settings.string()},
      folder_ / (name + ".log"));
}

void local_fleet::start_all_nodes() {
  for (const auto& node : description_.nodes) {
    start_node(node.name);
  }
  for (const auto& node : description_.nodes) {
    wait_until_ready(node.name);
  }
}

void local_fleet::wait_until_ready(const std::string& name) {
  const auto& callers_address = node_addresses_.at(name).callers;
  require(wait_until([&] { return get(callers_address, "/readyz").status == 200; }),
          name + " did not become ready");
}

void local_fleet::wait_until_all_may_witness() {
  for (const auto& node : description_.nodes) {
    require(wait_until([&] {
              const auto status = get_document(node.name, "/v1/status");
              return status.contains("may_witness") && status.at("may_witness").as_bool();
            }),
            node.name + " may not grant keys as a witness");
  }
}

bool local_fleet::wait_until(const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + wait_timeout;
  while (std::chrono::steady_clock::now() < deadline) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(poll_interval);
  }
  return condition();
}

void local_fleet::publish(const std::map<std::string, std::optional<std::string>>& records) const {
  json::array entries;
  for (const auto& [key, value] : records) {
    json::object entry{{"key", key}};
    if (value) {
      entry["value"] = *value;
    }
    entries.push_back(std::move(entry));
  }
  post(platform_address_, "/admin/publish", {{"entries", std::move(entries)}});
}

void local_fleet::set_platform_mode(const std::string& mode) const {
  post(platform_address_, "/admin/mode", {{"mode", mode}});
}

void local_fleet::set_link_fault(const std::vector<std::string>& links,
                                 const json::object& fault) const {
  auto body = fault;
  body["links"] = json::value_from(links);
  post(proxy_address_, "/admin/fault", body);
}

void local_fleet::set_backend_fault(const std::string& name, const std::string& fault,
                                    std::optional<int> times) const {
  json::object body{{"fault", fault}};
  if (times) {
    body["times"] = *times;
  }
  post(backend_addresses_.at(name), "/admin/fault", body);
}

json::object local_fleet::get_document(const std::string& node, const std::string& path) const {
  return get(node_addresses_.at(node).operators, path).json();
}

std::int64_t local_fleet::executions(const std::string& backend) const {
  const auto counts = get(backend_addresses_.at(backend), "/admin/counts").json();
  std::int64_t total = 0;
  for (const auto& item : counts.at("executions").as_object()) {
    total += item.value().as_int64();
  }
  return total;
}

std::int64_t local_fleet::executions_in_pool(const std::string& pool) const {
  std::int64_t total = 0;
  for (const auto& backend : description_.backends) {
    total += backend.pool == pool ? executions(backend.name) : 0;
  }
  return total;
}

std::string local_fleet::request_ticket(const std::string& node, const std::string& token) const {
  http_call parameters;
  parameters.address = node_addresses_.at(node).callers;
  parameters.method = "POST";
  parameters.target = "/v1/tickets";
  parameters.headers["Authorization"] = "Bearer " + token;
  const auto body = call(parameters).json();
  const auto* ticket = body.if_contains("ticket");
  return ticket != nullptr && ticket->is_string() ? std::string(ticket->as_string()) : "";
}

http_answer local_fleet::send_request(const std::string& node, const std::string& pipeline,
                                      const std::string& token, const json::object& body,
                                      const std::map<std::string, std::string>& headers) const {
  http_call parameters;
  parameters.address = node_addresses_.at(node).callers;
  parameters.method = "POST";
  parameters.target = "/v1/pipelines/" + pipeline;
  parameters.headers = headers;
  parameters.headers["Authorization"] = "Bearer " + token;
  parameters.body = json::serialize(body);
  return call(parameters);
}

} // namespace spurrack::fleet
