/// Real daemons of which one or two are cut off or stand still while replicas of a second software
/// version are published, or whose connections to each other are reset while calls are sent again.
/// Guards against streams that go on at another version: on the word of a list of replicas that
/// shows one version because it is old, or of a record of a call that another call replaced.
#include "out_of_step_fleet.h"
#include "resuming_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <map>
#include <optional>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace {

using namespace spurrack;
using namespace spurrack::platform_tests;
using std::chrono::milliseconds;
namespace asio = boost::asio;

/// Number of seeds of each case. For manual runs, the environment variable
/// SPURRACK_OUT_OF_STEP_SEEDS sets another number, SPURRACK_OUT_OF_STEP_FIRST_SEED the first seed,
/// and SPURRACK_OUT_OF_STEP_LOGS a folder in which the logs of the nodes are kept.
constexpr std::uint64_t default_seeds = 1;
constexpr const char* log_folder_variable = "SPURRACK_OUT_OF_STEP_LOGS";

constexpr std::size_t clients_per_service = 6;
/// Services that get a second version; one more keeps its single version.
constexpr std::size_t stepping_services = 5;
/// Time after which a node accepts that one version began each stream: the list must be known for
/// the time that clients allow and 3 s more.
constexpr milliseconds settle_time = stream_timeout + milliseconds(3'500);
/// Span of a disturbance, and of one stand in a series of stands.
constexpr milliseconds min_disturbance{500};
constexpr milliseconds max_disturbance{5'000};
constexpr milliseconds min_stand{300};
constexpr milliseconds max_stand_in_series{1'500};
constexpr milliseconds max_time_between_stands{120};
constexpr milliseconds max_stop_before_join{20};
constexpr milliseconds max_stop_after_join{300};
constexpr milliseconds max_stand_beside_join{900};
constexpr milliseconds time_between_joins{250};
/// Time by which what a node receives is delayed as it is stopped.
constexpr milliseconds min_delay{150};
constexpr milliseconds max_delay{350};
/// Span around the begin of a disturbance in which second versions join.
constexpr milliseconds max_join_before{300};
constexpr milliseconds max_join_after{1'500};
/// Time for which clients go on after a disturbance.
constexpr milliseconds time_after{1'500};
constexpr milliseconds step_time{2};
constexpr double min_share_that_goes_on = 0.95;
constexpr std::size_t min_resumptions = 40;

std::uint64_t number_from_environment(const char* name, std::uint64_t fallback) {
  const auto* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

/// Folder for the settings and logs of one run; removed at the end unless logs are kept.
class run_folder {
 public:
  run_folder(const std::string& name, std::uint64_t seed)
      : is_kept_(std::getenv(log_folder_variable) != nullptr) {
    const auto parent = is_kept_ ? std::filesystem::path(std::getenv(log_folder_variable))
                                 : std::filesystem::temp_directory_path();
    path_ = parent / ("spurrack-out-of-step-" + name + "-" + std::to_string(seed) + "-" +
                      std::to_string(::getpid()));
  }
  ~run_folder() {
    if (!is_kept_) {
      std::error_code ignored;
      std::filesystem::remove_all(path_, ignored);
    }
  }
  run_folder(const run_folder&) = delete;
  run_folder& operator=(const run_folder&) = delete;
  [[nodiscard]] const std::filesystem::path& path() const { return path_; }

 private:
  bool is_kept_;
  std::filesystem::path path_;
};

/// Load of a test: clients on a thread of their own, from construction until `end`.
class client_load {
 public:
  client_load(const out_of_step_fleet& fleet, std::uint64_t seed)
      : clients_(io_, fleet, seed, report_) {
    for (const auto& service : fleet.services) {
      for (std::size_t number = 0; number < clients_per_service; ++number) {
        asio::co_spawn(io_,
                       clients_.read_streams("c-" + service->name + "-" + std::to_string(number),
                                             *service, should_stop_),
                       asio::detached);
      }
    }
    thread_ = std::thread([this] { io_.run(); });
  }
  ~client_load() { end(); }
  client_load(const client_load&) = delete;
  client_load& operator=(const client_load&) = delete;

  /// Ends the load and waits for the last answers.
  /// @return what the clients saw.
  resumptions_report& end() {
    should_stop_ = true;
    if (thread_.joinable()) {
      thread_.join();
    }
    return report_;
  }

 private:
  asio::io_context io_;
  resumptions_report report_;
  std::atomic<bool> should_stop_ = false;
  resuming_clients clients_;
  std::thread thread_;
};

/// Puts nodes out of step while second versions join.
class disturbance {
 public:
  disturbance(out_of_step_fleet& fleet, std::uint64_t seed) : fleet_(&fleet), random_(seed) {}

  /// Isolates one node or two from the store, and so that they hear no other node.
  void isolate() {
    choose_nodes();
    const auto faults = {link_fault::cut, link_fault::black_hole, link_fault::held};
    const auto fault = std::data(faults)[random_.below(faults.size())];
    const auto span = drawn(min_disturbance, max_disturbance);
    plan_joins(max_join_after);
    run_later(milliseconds(0), [this, fault] { set_links(fault); });
    run_later(span, [this] { set_links(link_fault::none); });
    run_later(span + time_after, [this] { set_out_of_step(false); });
    set_out_of_step(true);
    run();
    description << nodes_.size() << " isolated for " << span.count() << " ms by fault "
                << static_cast<int>(fault);
  }

  /// Stops the process of one node or two, once or in series, or shortly before or after each join
  /// of a second version.
  void stop() {
    if (random_.below(2) == 0) {
      stop_beside_joins();
    } else {
      stop_at_any_time();
    }
  }

  std::ostringstream description;

 private:
  using action = std::function<void()>;

  void stop_at_any_time() {
    choose_nodes();
    const auto span = drawn(min_stand, max_disturbance);
    const bool is_series = random_.below(2) == 0;
    plan_joins(std::min(span, max_join_after));
    auto begins_at = milliseconds(0);
    while (begins_at < span) {
      const auto length = is_series ? drawn(min_stand, max_stand_in_series) : span;
      run_later(begins_at, [this] { for_each_node([&](auto& node) { fleet_->stop(node); }); });
      begins_at += length;
      run_later(begins_at, [this] { for_each_node([&](auto& node) { fleet_->go_on(node); }); });
      begins_at += milliseconds(1) + drawn(milliseconds(0), max_time_between_stands);
    }
    run_later(begins_at + time_after, [this] { set_out_of_step(false); });
    set_out_of_step(true);
    run();
    description << nodes_.size() << " stopped for " << span.count() << " ms"
                << (is_series ? " in series" : "");
  }

  /// Stops the processes as the second version of each service joins. What the nodes receive is
  /// delayed, so that a stand often falls between a query and its answers.
  void stop_beside_joins() {
    choose_nodes();
    const auto delay = drawn(min_delay, max_delay);
    run_later(-max_join_before, [this, delay] { set_delay(delay); });
    auto joins_at = milliseconds(0);
    for (std::size_t number = 0; number < stepping_services; ++number) {
      run_later(joins_at, [this, number] { add_second_version(number); });
      const auto stops_at = joins_at + drawn(-max_stop_before_join, max_stop_after_join);
      const auto goes_on_at = stops_at + drawn(min_stand, max_stand_beside_join);
      run_later(stops_at, [this] { for_each_node([&](auto& node) { fleet_->stop(node); }); });
      run_later(goes_on_at, [this] { for_each_node([&](auto& node) { fleet_->go_on(node); }); });
      joins_at = goes_on_at + time_between_joins;
    }
    run_later(joins_at, [this] { set_delay(milliseconds(0)); });
    run_later(joins_at + time_after, [this] { set_out_of_step(false); });
    set_out_of_step(true);
    run();
    description << nodes_.size() << " stopped as versions joined, messages delayed by "
                << delay.count() << " ms";
  }

  milliseconds drawn(milliseconds least, milliseconds most) {
    return least +
           milliseconds(random_.below(static_cast<std::size_t>((most - least).count()) + 1));
  }
  void run_later(milliseconds after_begin, action what) {
    actions_.emplace(after_begin, std::move(what));
  }
  /// Chooses one node, or both nodes of the first zone.
  void choose_nodes() {
    constexpr std::uint64_t choices = 4;
    const auto choice = random_.below(choices);
    if (choice == out_of_step_fleet::node_count) {
      nodes_ = {fleet_->nodes.data(), &fleet_->nodes[1]};
    } else {
      nodes_ = {&fleet_->nodes[choice]};
    }
  }
  template <typename function>
  void for_each_node(function&& apply) {
    for (auto* node : nodes_) {
      apply(*node);
    }
  }
  void set_out_of_step(bool is_out) {
    for_each_node([&](auto& node) { node.is_out_of_step = is_out; });
  }
  void set_links(link_fault fault) {
    for_each_node([&](auto& node) {
      fleet_->set_store_fault(node, fault);
      fleet_->set_peer_fault(node, fault);
    });
  }
  /// Lets the second versions join between `max_join_before` before the begin and `latest` after.
  void plan_joins(milliseconds latest) {
    for (std::size_t number = 0; number < stepping_services; ++number) {
      run_later(drawn(-max_join_before, latest), [this, number] { add_second_version(number); });
    }
  }
  void add_second_version(std::size_t number) {
    fleet_->add_second_version(*fleet_->services[number]);
  }
  void set_delay(milliseconds delay) {
    for_each_node([&](auto& node) { fleet_->set_delay(node, delay); });
  }
  /// Runs all planned actions, each at its time.
  void run() {
    const auto begins_at = test_clock::now() + max_join_before;
    for (const auto& [at, what] : actions_) {
      std::this_thread::sleep_until(begins_at + at);
      what();
    }
  }

  out_of_step_fleet* fleet_;
  base::seeded_random random_;
  std::vector<stepping_node*> nodes_;
  std::multimap<milliseconds, action> actions_;
};

std::string text_of(const resumptions_report& report) {
  std::ostringstream text;
  for (const auto& [name, count] : report.counts) {
    text << "\n  " << name << ": " << count;
  }
  text << "\n  of a single version, in step: " << report.of_single_version.went_on << " of "
       << report.of_single_version.sent
       << " went on\n  longest refusal: " << report.longest_refusal.count() << " ms";
  return text.str();
}

void check_violations(const resumptions_report& report, std::uint64_t seed) {
  for (const auto& violation : report.violations) {
    BOOST_ERROR("seed " << seed << ": " << violation);
  }
}

/// Guards against streams that are refused although the nodes hear each other and one version is
/// published: what is asked of the evidence must cost no resumption that can be proven.
void check_share_that_goes_on(const resumptions_report& report) {
  const auto& [sent, went_on] = report.of_single_version;
  BOOST_TEST(sent >= min_resumptions);
  BOOST_TEST(static_cast<double>(went_on) >= min_share_that_goes_on * static_cast<double>(sent));
}

/// @return options of replicas whose answers are whole and take about a second.
supervised_replica_options whole_answers() {
  supervised_replica_options options;
  options.unframed_percent = 0;
  options.broken_off_percent = 0;
  return options;
}

/// Lets second versions join beside a disturbance that is drawn from a seed.
void check_disturbance(const std::string& name, std::uint64_t seed,
                       const std::function<void(disturbance&)>& disturb) {
  const run_folder folder(name, seed);
  out_of_step_fleet fleet(folder.path(), stepping_services + 1, seed, whole_answers());
  client_load load(fleet, seed);
  std::this_thread::sleep_for(settle_time);
  disturbance applied(fleet, seed);
  disturb(applied);
  const auto& report = load.end();
  BOOST_TEST_MESSAGE("seed " << seed << ": " << applied.description.str() << text_of(report));
  check_violations(report, seed);
  check_share_that_goes_on(report);
}

void for_each_seed(const std::function<void(std::uint64_t)>& check) {
  const auto first = number_from_environment("SPURRACK_OUT_OF_STEP_FIRST_SEED", 1);
  const auto seeds = number_from_environment("SPURRACK_OUT_OF_STEP_SEEDS", default_seeds);
  for (auto seed = first; seed < first + seeds; ++seed) {
    check(seed);
  }
}

/// Resets the connections between nodes as calls are lost.
class resets_beside_lost_calls {
 public:
  resets_beside_lost_calls(out_of_step_fleet& fleet, std::uint64_t seed)
      : fleet_(&fleet), random_(seed) {}

  /// @param is_call_lost set by the replicas; reset here.
  /// @param kills_nodes whether nodes are also killed, some time after such a reset, and started
  /// again.
  void run_until(test_clock::time_point end_at, std::atomic<bool>& is_call_lost, bool kills_nodes) {
    while (test_clock::now() < end_at) {
      if (!is_call_lost.exchange(false)) {
        std::this_thread::sleep_for(step_time);
        continue;
      }
      reset_connections();
      if (kills_nodes && random_.below(2) == 0) {
        restart_node();
      }
      std::this_thread::sleep_for(time_between_resets);
      is_call_lost = false;
    }
  }

  std::size_t resets = 0;
  std::size_t kills = 0;

 private:
  /// Longer than the time in which nodes connect again.
  static constexpr milliseconds time_between_resets{700};
  static constexpr milliseconds min_cut{20};
  static constexpr std::size_t cut_spread_milliseconds = 280;
  static constexpr std::size_t max_downtime_milliseconds = 400;

  void set_links(link_fault fault) {
    for (const auto& node : fleet_->nodes) {
      fleet_->set_peer_fault(node, fault);
    }
  }
  void reset_connections() {
    ++resets;
    set_links(link_fault::cut);
    std::this_thread::sleep_for(min_cut + milliseconds(random_.below(cut_spread_milliseconds)));
    set_links(link_fault::none);
  }
  void restart_node() {
    ++kills;
    auto& node = fleet_->nodes[random_.below(fleet_->nodes.size())];
    fleet_->kill(node);
    std::this_thread::sleep_for(milliseconds(random_.below(max_downtime_milliseconds)));
    fleet_->start(node);
  }

  out_of_step_fleet* fleet_;
  base::seeded_random random_;
};

/// Runs clients at two versions beside lost calls and reset connections between nodes.
void check_lost_calls(const std::string& name, std::uint64_t seed, bool kills) {
  constexpr std::uint64_t lost_percent = 35;
  constexpr std::size_t service_count = 2;
  constexpr milliseconds time_before{1'500};
  constexpr milliseconds disturbed_time{5'000};
  std::atomic<bool> is_call_lost = false;
  auto options = whole_answers();
  options.lost_percent = lost_percent;
  options.on_lost_call = [&is_call_lost] { is_call_lost = true; };
  const run_folder folder(name, seed);
  out_of_step_fleet fleet(folder.path(), service_count, seed, options);
  for (const auto& service : fleet.services) {
    fleet.add_second_version(*service);
  }
  std::this_thread::sleep_for(time_before);
  client_load load(fleet, seed);
  resets_beside_lost_calls resets(fleet, seed);
  resets.run_until(test_clock::now() + disturbed_time, is_call_lost, kills);
  const auto& report = load.end();
  BOOST_TEST_MESSAGE("seed " << seed << ": " << resets.resets << " resets, " << resets.kills
                             << " kills" << text_of(report));
  BOOST_TEST(resets.resets > 0U);
  check_violations(report, seed);
}

} // namespace

BOOST_AUTO_TEST_SUITE(out_of_step_fleet_test)

/// Guards against streams that go on at the version of an old list: a node cut off from the others
/// and from the store knows nothing of a version that joined meanwhile.
BOOST_AUTO_TEST_CASE(streams_keep_their_version_at_isolated_nodes) {
  for_each_seed([](std::uint64_t seed) {
    check_disturbance("isolated", seed, [](disturbance& applied) { applied.isolate(); });
  });
}

/// Guards against streams that go on at the version of an old list: a node whose process stood
/// reads requests and answers that lay in its sockets, in any order, and dates them by their
/// arrival.
BOOST_AUTO_TEST_CASE(streams_keep_their_version_at_nodes_that_stood) {
  for_each_seed([](std::uint64_t seed) {
    check_disturbance("stood", seed, [](disturbance& applied) { applied.stop(); });
  });
}

/// Guards against streams that go on at the version of a lost call: the record of the call that
/// replaced it was lost with the connection to the witness.
BOOST_AUTO_TEST_CASE(streams_keep_their_version_if_connections_between_nodes_are_reset) {
  for_each_seed([](std::uint64_t seed) { check_lost_calls("resets", seed, false); });
}

/// As above, with nodes that are killed before they could tell the witnesses again.
BOOST_AUTO_TEST_CASE(streams_keep_their_version_if_nodes_are_killed_beside_resets) {
  for_each_seed([](std::uint64_t seed) { check_lost_calls("kills", seed, true); });
}

BOOST_AUTO_TEST_SUITE_END()
