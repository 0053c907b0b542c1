#include "soak_fleet.h"

#include "fleet/http_client.h"

#include <unistd.h>

#include <csignal>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace spurrack::platform_tests {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t replicas_per_service = 3;
constexpr milliseconds proxy_start_timeout{5'000};
constexpr milliseconds poll_interval{50};
constexpr milliseconds exit_poll_interval{5};
/// Maximum number of links of one fault proxy. For each node that connects through a link, the
/// proxy needs two descriptors: with 150 nodes, 32 links took 9,600 of the 20,000 descriptors that
/// a process may have. A proxy with more links would run out of descriptors before memory.
constexpr std::size_t max_links_per_proxy = 32;

std::filesystem::path temporary_folder() {
  return std::filesystem::temp_directory_path() / ("spurrack-soak-" + std::to_string(::getpid()));
}

template <typename condition>
bool wait_until(condition is_true, milliseconds timeout) {
  const auto deadline = soak_clock::now() + timeout;
  while (!is_true()) {
    if (soak_clock::now() >= deadline) {
      return false;
    }
    std::this_thread::sleep_for(poll_interval);
  }
  return true;
}

} // namespace

std::string software_version(std::size_t number) {
  return "v" + std::to_string(number);
}

soak_fleet::soak_fleet(const std::filesystem::path& binaries, const soak_fleet_options& options,
                       soak_recorder& recorder)
    : binaries_(binaries), other_build_(options.other_build),
      folder_(options.logs.empty() ? temporary_folder() : options.logs),
      should_keep_logs_(!options.logs.empty()), two_regions_(options.two_regions),
      recorder_(&recorder) {
  std::filesystem::create_directories(folder_);
  for (std::size_t number = 0; number < replicas_per_service; ++number) {
    for (const char* service : {"plain", "pool", "model"}) {
      add_replica(service, number, software_version(1));
    }
  }
  if (options.software_versions > 1) {
    for (std::size_t number = 0; number < replicas_per_service; ++number) {
      add_replica("model", replicas_per_service + number,
                  software_version(2 + number % (options.software_versions - 1)));
    }
  }
  for (std::size_t number = 0; number < options.nodes; ++number) {
    auto node = std::make_unique<soak_node>();
    node->name = "node-" + std::to_string(number);
    node->zone = number % 2 == 0 ? "east" : "west";
    node->client_address = fleet::find_free_address();
    node->readiness_address = fleet::find_free_address();
    node->peer_address = fleet::find_free_address();
    node->advertised_peer_address = fleet::find_free_address();
    node->store_address = fleet::find_free_address();
    nodes.push_back(std::move(node));
  }
  start_proxies();
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
  proxies_.clear();
  replicas.clear();
  if (!should_keep_logs_) {
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }
}

void soak_fleet::add_replica(const std::string& service, std::size_t number,
                             const std::string& version) {
  const auto id = "i-" + service + std::to_string(number);
  replicas.push_back(std::make_unique<soak_replica>(id, service, number % 2 == 0 ? "east" : "west",
                                                    version, fleet::find_free_address(),
                                                    incarnations_, *recorder_));
}

void soak_fleet::set_evacuated(const std::string& zone, bool evacuated) {
  const auto key = "op/evacuate/" + zone;
  if (evacuated) {
    store.put(key, "{}");
  } else {
    store.remove(key);
  }
}

void soak_fleet::start_proxies() {
  std::vector<proxied_link> links;
  for (const auto& node : nodes) {
    links.push_back({node->name, node->advertised_peer_address, node->peer_address});
    links.push_back({store_link_of(*node), node->store_address, store.address()});
  }
  for (const auto& replica : replicas) {
    links.push_back({replica->id(), replica->published_address(), replica->listen_address()});
  }
  while (!links.empty()) {
    const auto count = std::min(max_links_per_proxy, links.size());
    const auto first = links.end() - static_cast<std::ptrdiff_t>(count);
    start_proxy({first, links.end()});
    links.erase(first, links.end());
  }
}

void soak_fleet::start_proxy(const std::vector<proxied_link>& links) {
  const auto address = fleet::find_free_address();
  std::ostringstream list;
  for (const auto& link : links) {
    list << link.name << "," << link.listen << "," << link.target << ";";
    proxy_address_of_link_[link.name] = address;
  }
  proxies_.push_back(std::make_unique<fleet::child_process>(
      binaries_ / "fault_proxy", std::vector<std::string>{"--admin", address, "--link", list.str()},
      folder_ / "proxy.log"));
  if (!wait_until([&] { return fleet::get(address, "/").status != 0; }, proxy_start_timeout)) {
    throw std::runtime_error("a fault proxy did not start");
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
  text << "node: " << node.name << "\nzone: " << node.zone << "\npeer_listen: " << node.peer_address
       << "\npeer_advertise: " << node.advertised_peer_address
       << "\noperator_listen: " << fleet::find_free_address() << "\nseeds:\n";
  for (const auto& other : nodes) {
    if (other->name != node.name) {
      text << "  - " << other->advertised_peer_address << "\n";
    }
  }
  text << "membership:\n  probe_period_ms: 300\n  acknowledgement_timeout_ms: 100\n"
          "  suspicion_timeout_ms: 1000\n  relay_period_ms: 300\nserving:\n  listen: "
       << node.client_address << "\n  readiness_listen: " << node.readiness_address
       << "\n  store: " << node.store_address << "\n  regions:\n    east: " << east_region
       << "\n    west: " << (two_regions_ ? "south" : east_region)
       << "\n  retry_ratio: 0.2\n  retry_allowance: 50\n  stop_grace_s: " << stop_grace.count()
       << "\n";
}

void soak_fleet::start_node(soak_node& node) {
  const std::lock_guard lock(node.process_mutex);
  const bool uses_other_build = mixes_builds() && start_count_++ % 2 == 1;
  node.process = std::make_unique<fleet::child_process>(
      (uses_other_build ? other_build_ : binaries_) / "spurrackd",
      std::vector<std::string>{"--settings", settings_path(node)}, folder_ / (node.name + ".log"),
      fleet::output::to_log);
  node.started_at = soak_clock::now();
}

void soak_fleet::signal(soak_node& node, int signal_number) {
  const std::lock_guard lock(node.process_mutex);
  node.process->signal(signal_number);
}

bool soak_fleet::is_running(soak_node& node) {
  const std::lock_guard lock(node.process_mutex);
  return node.process->is_running();
}

soak_exit soak_fleet::wait_for_exit(soak_node& node, milliseconds timeout) {
  const auto deadline = soak_clock::now() + timeout;
  while (is_running(node) && soak_clock::now() < deadline) {
    std::this_thread::sleep_for(exit_poll_interval);
  }
  const bool was_in_time = !is_running(node);
  const std::lock_guard lock(node.process_mutex);
  node.process->signal(SIGKILL);
  return {node.process->wait(), was_in_time};
}

std::size_t soak_fleet::resident_bytes() {
  std::size_t bytes = 0;
  for (auto& node : nodes) {
    const std::lock_guard lock(node->process_mutex);
    bytes += node->process->resident_bytes();
  }
  return bytes;
}

void soak_fleet::reload(soak_node& node, bool valid) {
  write_settings(node, valid);
  signal(node, SIGHUP);
  write_settings(node, true);
}

bool soak_fleet::wait_until_all_ready(milliseconds timeout) {
  return wait_until(
      [&] {
        for (const auto& node : nodes) {
          if (fleet::get(node->readiness_address, "/readiness").status != 200) {
            return false;
          }
        }
        return true;
      },
      timeout);
}

void soak_fleet::publish_configuration(configuration_contents contents) {
  contents.has_confined_route = two_regions_;
  store.put("op/config", configuration_text(++version_, contents));
}

void soak_fleet::publish(soak_replica& replica) {
  store.put(replica_key_prefix + replica.store_id(), replica.next_record());
}

void soak_fleet::unpublish(const soak_replica& replica) {
  store.remove(replica_key_prefix + replica.store_id());
}

void soak_fleet::set_link_fault(const std::string& name, const std::string& fault,
                                int delay_milliseconds) const {
  boost::json::object request_body{{"links", boost::json::array{boost::json::value(name)}}};
  if (!fault.empty()) {
    request_body[fault] = true;
  }
  if (delay_milliseconds > 0) {
    request_body["delay_ms"] = delay_milliseconds;
  }
  fleet::post(proxy_address_of_link_.at(name), "/admin/fault", request_body);
}

} // namespace spurrack::platform_tests
