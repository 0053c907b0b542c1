/// Real daemons, and replicas and nodes that are started again within milliseconds. Guards against
/// an answer that is made of the events of two runs which do not fit together: with a gap, a
/// repetition or an event cut by the end of the first run, or by two software versions.
#include "joined_stream_client.h"
#include "single_daemon.h"
#include "soak_store.h"
#include "supervised_replica.h"

#include "fleet/child_process.h"
#include "fleet/http_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <map>
#include <numeric>
#include <sstream>
#include <thread>

namespace {

using namespace spurrack;
using namespace spurrack::platform_tests;
using std::chrono::milliseconds;
using test_clock = std::chrono::steady_clock;
namespace asio = boost::asio;

/// Number of seeds. For manual runs, the environment variable SPURRACK_JOINED_RUNS_SEEDS sets
/// another number, and SPURRACK_JOINED_RUNS_FIRST_SEED the first seed.
constexpr std::uint64_t default_seeds = 2;
constexpr milliseconds fault_duration{3'000};
constexpr std::size_t replica_count = 6;
constexpr std::size_t client_count = 12;
constexpr milliseconds step_time{5};
/// Mean times between two faults of a kind.
constexpr milliseconds restart_interval{250};
constexpr milliseconds silence_interval{900};
constexpr milliseconds node_stop_interval{1'500};
/// Longest time for which a replica is down, and for which the store shows its earlier process.
constexpr milliseconds max_downtime{100};
constexpr milliseconds max_publication_delay{3'000};
constexpr milliseconds max_silence{2'500};
constexpr milliseconds min_node_downtime{5};
constexpr milliseconds max_node_downtime{100};
/// Time after which a node that was told to stop is killed.
constexpr milliseconds stop_timeout{3'000};

std::uint64_t number_from_environment(const char* name, std::uint64_t fallback) {
  const auto* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

/// Names the environment variable with the folder in which the logs of the nodes are kept.
constexpr const char* log_folder_variable = "SPURRACK_JOINED_RUNS_LOGS";

/// Names the environment variable that lets replicas also restart under their id with another
/// version; the platform's replicas don't.
constexpr const char* same_id_variable = "SPURRACK_JOINED_RUNS_SAME_ID";

std::filesystem::path log_folder() {
  const auto* kept = std::getenv(log_folder_variable);
  return kept != nullptr ? std::filesystem::path(kept)
                         : std::filesystem::temp_directory_path() /
                               ("spurrack-joined-runs-" + std::to_string(::getpid()));
}

std::string configuration() {
  return R"({"version":1,"services":[{"name":"s"}],"limits":{"max_header_bytes":2000,
    "max_body_bytes":5000,"header_timeout_ms":2000,"idle_timeout_ms":5000},
    "tenants":[{"name":"t","api_keys":["k"]}],"routes":[
    {"name":"stream","host":"h","path_prefix":"/stream/","kind":"streaming","service":"s",
     "max_attempts":3,"stream_resume":true,"target_latency_ms":600,"gap_target_ms":200},
    {"name":"single","host":"h","path_prefix":"/single/","kind":"streaming","service":"s",
     "max_attempts":1,"target_latency_ms":600,"gap_target_ms":200},
    {"name":"crashing","host":"h","path_prefix":"/crashing/","kind":"streaming","service":"s",
     "max_attempts":1,"target_latency_ms":600,"gap_target_ms":400}]})";
}

/// One of two daemons that know each other, which can be ended and started again.
struct joined_node {
  std::string name;
  std::string client_address = fleet::find_free_address();
  std::string readiness_address = fleet::find_free_address();
  std::string peer_address = fleet::find_free_address();
  std::unique_ptr<fleet::child_process> process;
};

/// Store, two daemons and replicas of one service.
class joined_fleet {
 public:
  /// @param versions software version of each replica.
  joined_fleet(std::uint64_t seed, const std::vector<std::string>& versions,
               const supervised_replica_options& options)
      : folder_(log_folder()) {
    std::filesystem::create_directories(folder_);
    store.put("op/config", configuration());
    for (const auto& version : versions) {
      const auto name = "i-" + std::to_string(replicas.size());
      replicas.push_back(
          std::make_unique<supervised_replica>(name, version, seed + replicas.size(), options));
      publish(*replicas.back());
    }
    nodes[0].name = "n0";
    nodes[1].name = "n1";
    for (auto& node : nodes) {
      write_settings(node);
      start(node);
    }
    wait_for([&] {
      return std::all_of(nodes.begin(), nodes.end(), [](const joined_node& node) {
        return fleet::get(node.readiness_address, "/any").status == 200;
      });
    });
  }
  ~joined_fleet() {
    for (auto& node : nodes) {
      node.process.reset();
    }
    if (std::getenv(log_folder_variable) == nullptr) {
      std::filesystem::remove_all(folder_);
    }
  }
  joined_fleet(const joined_fleet&) = delete;
  joined_fleet& operator=(const joined_fleet&) = delete;

  void publish(supervised_replica& replica) {
    store.put("servers/" + replica.process().id, replica.next_record());
  }

  void start(joined_node& node) const {
    node.process = std::make_unique<fleet::child_process>(
        std::filesystem::path(SPURRACK_BINARIES) / "spurrackd",
        std::vector<std::string>{"--settings", path_of(node, ".yaml")}, path_of(node, ".log"),
        fleet::output::to_log);
  }

  /// @return number of lines in the logs of all nodes that hold `text`.
  [[nodiscard]] std::size_t log_lines_with(const std::string& text) const {
    std::size_t lines = 0;
    for (const auto& node : nodes) {
      std::ifstream log(path_of(node, ".log"));
      for (std::string line; std::getline(log, line);) {
        lines += line.find(text) == std::string::npos ? 0 : 1;
      }
    }
    return lines;
  }

  [[nodiscard]] std::vector<std::string> client_addresses() const {
    return {nodes[0].client_address, nodes[1].client_address};
  }

  soak_store store;
  std::vector<std::unique_ptr<supervised_replica>> replicas;
  std::array<joined_node, 2> nodes;

 private:
  [[nodiscard]] std::string path_of(const joined_node& node, const std::string& suffix) const {
    return (folder_ / (node.name + suffix)).string();
  }

  void write_settings(const joined_node& node) const {
    const auto& other = node.name == nodes[0].name ? nodes[1] : nodes[0];
    std::ofstream(path_of(node, ".yaml"))
        << "node: " << node.name << "\nzone: z\npeer_listen: " << node.peer_address
        << "\noperator_listen: " << fleet::find_free_address() << "\nseeds:\n  - "
        << other.peer_address
        << "\nmembership:\n  probe_period_ms: 300\n  acknowledgement_timeout_ms: 100\n"
           "  suspicion_timeout_ms: 1000\n  relay_period_ms: 300\nserving:\n  listen: "
        << node.client_address << "\n  readiness_listen: " << node.readiness_address
        << "\n  store: " << store.address()
        << "\n  retry_ratio: 1\n  retry_allowance: 10000\n  stop_grace_s: 2\n";
  }

  std::filesystem::path folder_;
};

/// Ends and restarts replicas and nodes, and silences replicas, while clients read streams.
class fast_restarts {
 public:
  fast_restarts(joined_fleet& fleet, std::uint64_t seed) : fleet_(&fleet), random_(seed) {}

  void run_until(test_clock::time_point end_at) {
    while (test_clock::now() < end_at) {
      run_due_actions();
      if (is_due(restart_interval)) {
        restart_replica();
      }
      if (is_due(silence_interval)) {
        ++counts["silences"];
        random_replica().be_silent_for(drawn_time(max_silence));
      }
      if (is_due(node_stop_interval)) {
        stop_node();
      }
      std::this_thread::sleep_for(step_time);
    }
    finish();
  }

  std::map<std::string, std::size_t> counts;

 private:
  using action = std::function<void()>;

  [[nodiscard]] bool is_due(milliseconds mean_interval) {
    return random_.below(static_cast<std::size_t>(mean_interval / step_time)) == 0;
  }
  milliseconds drawn_time(milliseconds longest) {
    return milliseconds(random_.below(static_cast<std::size_t>(longest.count()) + 1));
  }
  supervised_replica& random_replica() {
    return *fleet_->replicas[random_.below(fleet_->replicas.size())];
  }
  bool is_heads() { return random_.below(2) == 0; }
  void run_later(milliseconds span, action what) {
    due_actions_.emplace(test_clock::now() + span, std::move(what));
  }

  void run_due_actions() {
    while (!due_actions_.empty() && due_actions_.begin()->first <= test_clock::now()) {
      const auto what = due_actions_.begin()->second;
      due_actions_.erase(due_actions_.begin());
      what();
    }
  }

  /// Restarts a replica: with the same version under its id or another one, or with another version
  /// under another id. The platform gives each process an id of its own; replicas that keep their
  /// ids with another version can be tried by hand.
  void restart_replica() {
    auto& replica = random_replica();
    const auto ended = replica.process();
    replica_restart_plan plan{is_heads(), drawn_time(max_downtime), ended.id, ended.version};
    const bool has_other_version = is_heads();
    if (is_heads()) {
      plan.next_id = replica.name() + "-" + std::to_string(++ids_);
    }
    if (has_other_version && (plan.next_id != ended.id || keeps_ids_)) {
      plan.next_version = ended.version == "v1" ? "v2" : "v1";
    }
    ++counts[std::string("restarts under ") +
             (plan.next_id == ended.id ? "the same id" : "another id") + ", " +
             (plan.next_version == ended.version ? "same version" : "other version")];
    replica.restart(plan);
    if (plan.next_id != ended.id) {
      run_later(drawn_time(max_publication_delay),
                [this, id = ended.id] { fleet_->store.remove("servers/" + id); });
    }
    run_later(drawn_time(max_publication_delay), [this, &replica, id = plan.next_id] {
      if (replica.process().id == id) {
        fleet_->publish(replica);
      }
    });
  }

  void stop_node() {
    if (stopping_) {
      return;
    }
    stopping_ = &fleet_->nodes[random_.below(fleet_->nodes.size())];
    const bool is_planned = is_heads();
    ++counts[is_planned ? "planned stops of nodes" : "kills of nodes"];
    stopping_->process->signal(is_planned ? SIGTERM : SIGKILL);
    kill_at_ = test_clock::now() + stop_timeout;
    run_later(step_time, [this] { restart_stopped_node(); });
  }

  void restart_stopped_node() {
    if (stopping_->process->is_running()) {
      if (test_clock::now() >= kill_at_) {
        stopping_->process->signal(SIGKILL);
      }
      run_later(step_time, [this] { restart_stopped_node(); });
      return;
    }
    const auto span = max_node_downtime - min_node_downtime;
    run_later(min_node_downtime + drawn_time(span), [this] {
      fleet_->start(*stopping_);
      stopping_ = nullptr;
    });
  }

  void finish() {
    while (!due_actions_.empty()) {
      run_due_actions();
      std::this_thread::sleep_for(step_time);
    }
  }

  joined_fleet* fleet_;
  base::seeded_random random_;
  std::multimap<test_clock::time_point, action> due_actions_;
  /// Whether a replica may also restart under its id with another version.
  bool keeps_ids_ = std::getenv(same_id_variable) != nullptr;
  std::uint64_t ids_ = 0;
  joined_node* stopping_ = nullptr;
  test_clock::time_point kill_at_;
};

std::string text_of(const std::map<std::string, std::size_t>& counts) {
  std::ostringstream text;
  for (const auto& [name, count] : counts) {
    text << "\n  " << name << ": " << count;
  }
  return text.str();
}

/// Runs clients beside restarts drawn from a seed.
void check_streams(std::uint64_t seed) {
  joined_fleet fleet(seed, {"v1", "v1", "v1", "v2", "v2", "v2"}, {});
  BOOST_REQUIRE(fleet.replicas.size() == replica_count);
  const auto end_at = test_clock::now() + fault_duration;
  asio::io_context io;
  joined_streams_report report;
  joined_stream_client clients(io, fleet.client_addresses(), seed, report);
  for (std::size_t number = 0; number < client_count; ++number) {
    asio::co_spawn(io, clients.read_streams("c" + std::to_string(number), end_at), asio::detached);
  }
  std::thread client_thread([&io] { io.run(); });
  fast_restarts restarts(fleet, seed);
  restarts.run_until(end_at);
  client_thread.join();
  BOOST_TEST_MESSAGE("seed " << seed << text_of(restarts.counts) << text_of(report.counts));
  BOOST_TEST(report.counts["streams read to their end"] > 0U);
  BOOST_TEST(report.counts["streams of several runs"] > 0U);
  for (const auto& violation : report.violations) {
    BOOST_ERROR("seed " << seed << ": " << violation);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(joined_runs_test)

/// Guards against answers that join events of two runs other than at a whole event of one version,
/// and against answers told as complete that lack events.
BOOST_AUTO_TEST_CASE(events_of_two_runs_join_at_a_last_id_and_in_one_version) {
  const auto first = number_from_environment("SPURRACK_JOINED_RUNS_FIRST_SEED", 1);
  const auto seeds = number_from_environment("SPURRACK_JOINED_RUNS_SEEDS", default_seeds);
  for (auto seed = first; seed < first + seeds; ++seed) {
    check_streams(seed);
  }
}

/// Guards against a request that crashes each of its replicas and is never held back: a supervisor
/// starts the replica again at once, so that it accepts a connection and seems to have survived.
BOOST_AUTO_TEST_CASE(a_request_that_crashes_replicas_started_again_at_once_is_held_back) {
  constexpr std::size_t sends = 16;
  constexpr std::size_t max_crashes = 6;
  constexpr milliseconds send_interval{400};
  constexpr milliseconds publication_delay{150};
  joined_fleet fleet(1, std::vector<std::string>(replica_count, "v1"), {0, 0, milliseconds(2)});
  unsigned last_status = 0;
  for (std::size_t number = 0; number < sends; ++number) {
    const auto answer = fleet::call({fleet.nodes[number % 2].client_address,
                                     "POST",
                                     stamped_stream{"crashing", 4, 100}.path(),
                                     {{"Host", "h"},
                                      {"X-Request-Id", "crash" + std::to_string(number)},
                                      {"X-Deadline-Ms", "3000"},
                                      {"Authorization", "Token k"}},
                                     ""});
    last_status = answer.status;
    std::this_thread::sleep_for(publication_delay);
    for (const auto& replica : fleet.replicas) {
      fleet.publish(*replica);
    }
    std::this_thread::sleep_for(send_interval - publication_delay);
  }
  const auto crashes =
      std::accumulate(fleet.replicas.begin(), fleet.replicas.end(), std::uint64_t{0},
                      [](auto sum, const auto& replica) { return sum + replica->crashes(); });
  BOOST_TEST_MESSAGE(crashes << " replicas crashed in " << sends << " sends, last status "
                             << last_status << ", cleared in "
                             << fleet.log_lines_with("its replica survived") << " log lines");
  BOOST_TEST(fleet.log_lines_with("its replica survived") == 0U);
  BOOST_TEST(crashes <= max_crashes);
  BOOST_TEST(last_status == 503U);
}

BOOST_AUTO_TEST_SUITE_END()
