/// Real daemon on loopback for a test. Each daemon has its own folder and addresses.
#pragma once

#include "fleet/child_process.h"
#include "fleet/http_client.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

namespace spurrack::platform_tests {

/// Waits up to ten seconds until a condition is true. Fails the test if the condition stays false.
template <typename condition>
void wait_for(condition is_true) {
  constexpr int max_attempts = 500;
  for (int attempts = 0; attempts < max_attempts && !is_true(); ++attempts) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  BOOST_REQUIRE(is_true());
}

/// Daemon process. The constructor starts the daemon and waits until it is ready. The destructor
/// kills the process and removes its folder.
class single_daemon {
 public:
  /// @param name part of the name of the daemon's folder; must be unique within the test program.
  /// @param store `IP:port` of the metadata store.
  /// @param serving_settings further lines of the section `serving` of the settings, each indented
  ///        by two spaces.
  /// @param node name of the node.
  /// @param node_settings further lines of the settings outside of any section.
  single_daemon(const std::string& name, const std::string& store,
                const std::string& serving_settings, const std::string& node = "n",
                const std::string& node_settings = "")
      : folder_(std::filesystem::temp_directory_path() /
                ("spurrack-" + name + "-" + std::to_string(::getpid()))) {
    std::filesystem::create_directories(folder_);
    std::ofstream(settings_path())
        << "node: " << node << "\nzone: z\npeer_listen: " << peer_address
        << "\noperator_listen: " << operator_address << "\n"
        << node_settings << "serving:\n  listen: " << client_address
        << "\n  readiness_listen: " << readiness_address << "\n  store: " << store << "\n"
        << serving_settings;
    process_ = std::make_unique<fleet::child_process>(
        std::filesystem::path(SPURRACK_BINARIES) / "spurrackd",
        std::vector<std::string>{"--settings", settings_path()}, folder_ / "daemon.log",
        fleet::output::to_log);
    wait_for([&] { return fleet::get(readiness_address, "/any").status == 200; });
  }
  ~single_daemon() {
    process_.reset();
    std::filesystem::remove_all(folder_);
  }
  single_daemon(const single_daemon&) = delete;
  single_daemon& operator=(const single_daemon&) = delete;

  [[nodiscard]] fleet::child_process& process() const { return *process_; }
  /// @return everything that the daemon has logged so far.
  [[nodiscard]] std::string log() const {
    std::ifstream file(folder_ / "daemon.log");
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  }
  [[nodiscard]] std::string settings_path() const { return (folder_ / "node.yaml").string(); }

  const std::string client_address = fleet::find_free_address();
  const std::string readiness_address = fleet::find_free_address();
  const std::string operator_address = fleet::find_free_address();
  const std::string peer_address = fleet::find_free_address();

 private:
  std::filesystem::path folder_;
  std::unique_ptr<fleet::child_process> process_;
};

} // namespace spurrack::platform_tests
