/// Answers that a living replica breaks off at any place, through a real spurrackd. Checks that no
/// client is told that an answer is whole unless it is.
///
/// The environment variable OPEN_ANSWER_REQUESTS is the number of requests of each case (default
/// 2), OPEN_ANSWER_SEED determines how connections end (default 1), and OPEN_ANSWER_ALL_ENDS plays
/// each case with every way to end a connection. OPEN_ANSWER_LOGS prints the daemons' logs.
#include "open_answer_fleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <sstream>

namespace {

using namespace spurrack;
using namespace spurrack::platform_tests;
using std::chrono::milliseconds;

/// Checks an answer against what the replicas sent. Each check returns a description of the fault,
/// or an empty string.
class answer_check {
 public:
  /// @param first_events for each run of the request, the id of its first event.
  answer_check(const planned_request& plan, const framed_answer& answer,
               std::vector<int> first_events)
      : plan_(plan), answer_(answer), first_events_(std::move(first_events)) {}

  [[nodiscard]] std::string fault() const {
    const auto runs = static_cast<int>(first_events_.size());
    if (runs > max_attempts(plan_.kind)) {
      return "ran " + std::to_string(runs) + " times";
    }
    if (answer_.end == answer_end::malformed) {
      return "is malformed";
    }
    if (!answer_.is_success()) {
      return fault_of_failure();
    }
    if (sealed_run() == 0) {
      return "is a success without the seal of a run";
    }
    return is_stream(plan_.kind) ? fault_of_stream() : fault_of_body();
  }

  /// @return whether the client has a whole answer of which it is not told that it is broken off.
  [[nodiscard]] bool is_served() const {
    const bool has_end = answer_.is_told_whole() || answer_.has_open_end();
    return answer_.is_success() && has_end && fault().empty() && is_whole();
  }

 private:
  /// @return number of the run whose seal the answer has; 0 if there is no such run.
  [[nodiscard]] int sealed_run() const {
    const auto runs = static_cast<int>(first_events_.size());
    for (int run = 1; run <= runs; ++run) {
      if (answer_.header("x-response-seal") == seal_of(run)) {
        return run;
      }
    }
    return 0;
  }

  [[nodiscard]] std::string fault_of_failure() const {
    constexpr std::array promises{408U, 421U, 429U, 503U};
    const bool promises_not_run =
        std::find(promises.begin(), promises.end(), answer_.status) != promises.end();
    if (!answer_.header("x-response-seal").empty()) {
      return "is a failure with a seal";
    }
    return max_attempts(plan_.kind) == 1 && promises_not_run && !first_events_.empty()
               ? "promises that the request was not run"
               : "";
  }

  [[nodiscard]] std::string fault_of_body() const {
    if (!whole_body(plan_.id, sealed_run()).starts_with(answer_.body)) {
      return "has another body than its run";
    }
    if (answer_.body.empty() && (answer_.is_told_whole() || answer_.has_open_end())) {
      return "is a success with an empty body";
    }
    return answer_.is_told_whole() && !is_whole() ? "is told as whole and is not" : "";
  }

  [[nodiscard]] std::string fault_of_stream() const {
    const auto events = read_events();
    if (!events) {
      return "has events that no series of runs sent";
    }
    if (answer_.has_open_end() && events->has_partial) {
      return "ends in order inside an event";
    }
    if (answer_.has_open_end() && events->count == 0) {
      return "ends in order without an event";
    }
    return answer_.is_told_whole() && !is_whole() ? "is told as whole and is not" : "";
  }

  [[nodiscard]] bool is_whole() const {
    if (!is_stream(plan_.kind)) {
      return answer_.body == whole_body(plan_.id, sealed_run());
    }
    const auto events = read_events();
    return events && events->count == whole_events && !events->has_partial;
  }

  struct received_events {
    int count = 0;
    bool has_partial = false;
  };
  /// @return the events of the answer; std::nullopt if they are not 1, 2, 3 and so on, each from
  ///         the same run as the event before or from the start of a later run.
  [[nodiscard]] std::optional<received_events> read_events() const {
    received_events events;
    auto rest = answer_.body;
    std::size_t run = 1;
    while (!rest.empty()) {
      while (run <= first_events_.size() && !may_be_next(rest, run, events.count)) {
        ++run;
      }
      if (run > first_events_.size()) {
        return std::nullopt;
      }
      const auto size = event_of(plan_.id, static_cast<int>(run), events.count + 1).size();
      events.has_partial = rest.size() < size;
      events.count += events.has_partial ? 0 : 1;
      rest.erase(0, size);
    }
    return events;
  }

  /// @return whether the event after the first `count` events, at the start of `rest`, is from
  ///         `run`.
  [[nodiscard]] bool may_be_next(const std::string& rest, std::size_t run, int count) const {
    const auto expected = event_of(plan_.id, static_cast<int>(run), count + 1);
    return first_events_[run - 1] <= count + 1 && count < whole_events &&
           (rest.starts_with(expected) || expected.starts_with(rest));
  }

  const planned_request& plan_;
  const framed_answer& answer_;
  std::vector<int> first_events_;
};

/// Fleet with a second daemon, which cannot connect to the replicas and passes its requests on to
/// the first one.
class relaying_fleet final : public open_answer_fleet {
 public:
  explicit relaying_fleet(const std::string& name)
      : open_answer_fleet(name),
        refused_ports_(std::filesystem::temp_directory_path() /
                       ("spurrack-refused-" + name + "-" + std::to_string(::getpid()))) {
    std::ofstream(refused_ports_) << replica_ports();
    ::setenv("SPURRACK_REFUSED_PORTS", refused_ports_.c_str(), 1);
    ::setenv("LD_PRELOAD", REFUSED_CONNECTS_LIBRARY, 1);
    entry_.emplace(
        "open-answer-entry-" + name, store_address(), ample_retries, "m",
        "seeds:\n  - " + daemon().peer_address +
            "\nmembership:\n  probe_period_ms: 300\n  acknowledgement_timeout_ms: 100\n");
    ::unsetenv("LD_PRELOAD");
    ::unsetenv("SPURRACK_REFUSED_PORTS");
    traffic_ = std::thread([this] { send_traffic(); });
  }
  ~relaying_fleet() override {
    is_stopping_ = true;
    traffic_.join();
    entry_.reset();
    std::filesystem::remove(refused_ports_);
  }

  [[nodiscard]] const single_daemon& entry() const override { return *entry_; }

  /// Waits until the entry is partitioned and passes requests on.
  [[nodiscard]] bool is_prepared() override {
    constexpr int max_attempts = 200;
    constexpr milliseconds interval{50};
    for (int attempt = 0; attempt < max_attempts; ++attempt) {
      const planned_request request{next_id(), cut_place::unframed_whole, connection_end::fin,
                                    route_kind::safe};
      if (send_whole(request, entry_->client_address).is_told_whole() && is_partitioned()) {
        return true;
      }
      std::this_thread::sleep_for(interval);
    }
    return false;
  }

 private:
  std::string next_id() { return "traffic" + std::to_string(next_traffic_++); }

  /// Sends a request that the replicas answer with a whole answer.
  framed_answer send_whole(const planned_request& request, const std::string& address) {
    plan(request, {attempt_text{request}.whole()});
    framing_client client(address);
    static_cast<void>(client.send(request_text(request)));
    return client.read(client_patience);
  }

  [[nodiscard]] bool is_partitioned() const {
    return fleet::get(entry_->readiness_address, "/any").status != 200;
  }

  /// Lets the first daemon hear from the replicas until this fleet is destroyed.
  void send_traffic() {
    constexpr milliseconds interval{100};
    while (!is_stopping_) {
      send_whole({next_id(), cut_place::unframed_whole, connection_end::fin, route_kind::unsafe},
                 daemon().client_address);
      std::this_thread::sleep_for(interval);
    }
  }

  std::filesystem::path refused_ports_;
  std::optional<single_daemon> entry_;
  std::atomic<bool> is_stopping_ = false;
  std::atomic<int> next_traffic_ = 0;
  std::thread traffic_;
};

/// Results of the requests of one case: one place, one end of the connection, one kind of route.
struct case_results {
  int requests = 0;
  int runs = 0;
  int served = 0;
  int told_whole = 0;
  int open_ends = 0;
  int cut_successes = 0;
  int failures = 0;
  int without_head = 0;

  void add(const framed_answer& answer, std::size_t run_count, bool is_served) {
    const bool is_success = answer.is_success();
    ++requests;
    runs += static_cast<int>(run_count);
    served += is_served ? 1 : 0;
    told_whole += is_success && answer.is_told_whole() ? 1 : 0;
    open_ends += is_success && answer.has_open_end() ? 1 : 0;
    cut_successes += is_success && !answer.is_told_whole() && !answer.has_open_end() ? 1 : 0;
    failures += answer.status != 0 && !is_success ? 1 : 0;
    without_head += answer.status == 0 ? 1 : 0;
  }

  [[nodiscard]] std::string text() const {
    std::ostringstream out;
    out << requests << " requests, " << runs << " runs, " << served << " served: " << told_whole
        << " told as whole, " << open_ends << " with an open end, " << cut_successes
        << " visibly cut, " << failures << " failures, " << without_head << " without a head";
    return out.str();
  }
};

int number_of_environment(const char* name, int otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::atoi(text);
}

/// Plays all requests of one place, several at a time, and checks each answer.
class place_run {
 public:
  place_run(cut_place place, std::shared_ptr<open_answer_fleet> fleet)
      : place_(place), fleet_(std::move(fleet)) {}

  /// Does not use the test framework, so that it may run on any thread.
  void run() {
    if (!fleet_->is_prepared()) {
      faults_.emplace_back("the fleet cannot serve requests");
      return;
    }
    plan_requests();
    std::vector<std::thread> clients;
    constexpr std::size_t max_clients = 24;
    for (std::size_t client = 0; client < std::min(max_clients, plans_.size()); ++client) {
      clients.emplace_back([this] { send_requests(); });
    }
    for (auto& client : clients) {
      client.join();
    }
  }

  /// Reports the results and the faults to the test framework.
  void report() const {
    for (const auto& [key, results] : results_) {
      BOOST_TEST_MESSAGE(case_name(key) + " | " + results.text());
      BOOST_TEST(results.runs > 0, case_name(key) + ": no request reached a replica");
      const bool is_in_order =
          key.second == connection_end::fin || key.second == connection_end::half_close;
      if (place_ == cut_place::unframed_whole && is_in_order) {
        BOOST_TEST(results.served == results.requests, case_name(key) + ": " + results.text());
      }
    }
    for (const auto& fault : faults_) {
      BOOST_ERROR(fault);
    }
    if (std::getenv("OPEN_ANSWER_LOGS") != nullptr) {
      BOOST_TEST_MESSAGE(fleet_->entry().log());
      BOOST_TEST_MESSAGE(fleet_->daemon().log());
    }
  }

 private:
  using case_key = std::pair<route_kind, connection_end>;

  /// Plans requests that end with FIN and, for each kind of route, with another end that is drawn.
  void plan_requests() {
    const auto requests = number_of_environment("OPEN_ANSWER_REQUESTS", 2);
    const auto seed = number_of_environment("OPEN_ANSWER_SEED", 1);
    std::mt19937 random(static_cast<unsigned>(seed * 100 + static_cast<int>(place_)));
    const bool has_all_ends = std::getenv("OPEN_ANSWER_ALL_ENDS") != nullptr;
    for (std::size_t kind = 0; kind < route_names.size(); ++kind) {
      const auto drawn = 1 + random() % (connection_end_names.size() - 1);
      for (std::size_t end = 0; end < connection_end_names.size(); ++end) {
        const bool is_played = has_all_ends || end == 0 || end == drawn;
        for (int number = 0; is_played && number < requests; ++number) {
          plans_.push_back(
              {"p" + std::to_string(static_cast<int>(place_)) + "r" + std::to_string(plans_.size()),
               place_, static_cast<connection_end>(end), static_cast<route_kind>(kind)});
        }
      }
    }
    std::shuffle(plans_.begin(), plans_.end(), random);
  }

  void send_requests() {
    for (auto next = next_plan_++; next < plans_.size(); next = next_plan_++) {
      const auto& plan = plans_[next];
      const auto answer = fleet_->send(plan);
      const auto runs = fleet_->runs_of(plan.id);
      const answer_check check(plan, answer, runs);
      const std::lock_guard lock(mutex_);
      results_[{plan.kind, plan.end}].add(answer, runs.size(), check.is_served());
      if (const auto fault = check.fault(); !fault.empty()) {
        faults_.push_back(case_name({plan.kind, plan.end}) + ": " + plan.id + " " + fault + " (" +
                          std::to_string(answer.status) + ", " + name_of(answer.framing) + ", " +
                          name_of(answer.end) + ", " + std::to_string(answer.body.size()) +
                          " bytes)");
      }
    }
  }

  [[nodiscard]] std::string case_name(const case_key& key) const {
    return std::string(cut_place_names.at(static_cast<std::size_t>(place_))) + " | " +
           connection_end_names.at(static_cast<std::size_t>(key.second)) + " | " +
           route_names.at(static_cast<std::size_t>(key.first));
  }

  cut_place place_;
  std::shared_ptr<open_answer_fleet> fleet_;
  std::vector<planned_request> plans_;
  std::atomic<std::size_t> next_plan_ = 0;
  std::mutex mutex_;
  std::map<case_key, case_results> results_;
  std::vector<std::string> faults_;
};

/// @return whether the replicas close connections that the daemon has kept, so that other requests
///         lose attempts.
bool needs_own_fleet(std::size_t place) {
  return static_cast<cut_place>(place) == cut_place::no_seal_whole;
}

/// Plays all places, some of them at a time.
/// @param is_relayed whether the requests arrive at a daemon that passes them on to another. The
///        places of that time then share a fleet, because its start takes seconds.
void run_all_places(bool is_relayed) {
  constexpr std::size_t runs_at_a_time = 5;
  for (std::size_t first = 0; first < cut_place_names.size(); first += runs_at_a_time) {
    const auto last = std::min(first + runs_at_a_time, cut_place_names.size());
    std::list<place_run> runs;
    std::shared_ptr<open_answer_fleet> fleet;
    for (auto place = first; place < last; ++place) {
      if (!is_relayed) {
        fleet = std::make_shared<open_answer_fleet>("place-" + std::to_string(place));
      } else if (place == first || needs_own_fleet(place) || needs_own_fleet(place - 1)) {
        fleet = std::make_shared<relaying_fleet>("relayed-" + std::to_string(place));
      }
      runs.emplace_back(static_cast<cut_place>(place), fleet);
    }
    std::vector<std::thread> threads;
    for (auto& run : runs) {
      threads.emplace_back([&run] { run.run(); });
    }
    for (auto& thread : threads) {
      thread.join();
    }
    for (const auto& run : runs) {
      run.report();
    }
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(open_answer_ends_test)

/// Guards against an answer that is told as whole although its living replica broke it off, at
/// whatever place and however the connection ended, and against a whole answer that is lost because
/// its replica marked no end.
BOOST_AUTO_TEST_CASE(no_answer_that_is_broken_off_is_told_as_whole) {
  run_all_places(false);
}

/// Guards against the same at a daemon that is partitioned from all replicas and passes requests on
/// to another daemon, whose answer it forwards.
BOOST_AUTO_TEST_CASE(no_relayed_answer_that_is_broken_off_is_told_as_whole) {
  run_all_places(true);
}

/// Guards against a client that waits on a kept connection for the end of an answer without
/// framing, or whose next request is lost on that connection.
BOOST_AUTO_TEST_CASE(an_open_end_closes_a_kept_connection) {
  open_answer_fleet fleet("kept");
  for (const auto kind : {route_kind::unsafe, route_kind::single}) {
    const std::string suffix = route_names.at(static_cast<std::size_t>(kind));
    const planned_request before{"before-" + suffix, cut_place::unframed_whole, connection_end::fin,
                                 kind};
    fleet.plan(before, {attempt_text{before}.whole()});
    const planned_request open_ended{"open-" + suffix, cut_place::unframed_whole,
                                     connection_end::fin, kind};
    fleet.plan(open_ended);
    const planned_request after{"after-" + suffix, cut_place::unframed_whole, connection_end::fin,
                                kind};
    fleet.plan(after, {attempt_text{after}.whole()});

    framing_client client(fleet.daemon().client_address);
    BOOST_TEST(client.send(open_answer_fleet::request_text(before)));
    const auto framed = client.read(client_patience);
    BOOST_TEST(framed.is_told_whole());
    BOOST_TEST(framed.header("connection") != "close");
    BOOST_TEST(client.send(open_answer_fleet::request_text(open_ended)));
    const auto answer = client.read(client_patience);
    BOOST_TEST(answer.has_open_end(), name_of(answer.framing) + ", " + name_of(answer.end));
    BOOST_TEST(answer.header("connection") == "close");
    BOOST_TEST(answer.body == attempt_text{open_ended}.body());
    static_cast<void>(client.send(open_answer_fleet::request_text(after)));
    BOOST_TEST(client.read(client_patience).status == 0);
    BOOST_TEST(fleet.runs_of(after.id).empty());

    framing_client second(fleet.daemon().client_address);
    BOOST_TEST(second.send(open_answer_fleet::request_text(after)));
    BOOST_TEST(second.read(client_patience).is_told_whole());
    BOOST_TEST(fleet.runs_of(after.id).size() == 1);
  }
}

/// Guards against a request that is run, but never answered, because its client sent it while an
/// answer without framing was on its way.
BOOST_AUTO_TEST_CASE(a_request_behind_an_open_end_is_not_run) {
  open_answer_fleet fleet("pipelined");
  const planned_request first{"first", cut_place::unframed_whole, connection_end::fin,
                              route_kind::single};
  auto slow = scripted_answer{attempt_text{first}.head() + "\r\n" + attempt_text{first}.part()};
  slow.delayed_bytes = {attempt_text{first}.body().substr(attempt_text{first}.part().size())};
  slow.pause = milliseconds(400);
  slow.close = true;
  fleet.plan(first, slow);
  const planned_request second{"second", cut_place::unframed_whole, connection_end::fin,
                               route_kind::unsafe};
  fleet.plan(second);
  framing_client client(fleet.daemon().client_address);
  BOOST_TEST(client.send(open_answer_fleet::request_text(first)));
  BOOST_TEST(client.wait_for_bytes(1, client_patience));
  BOOST_TEST(client.send(open_answer_fleet::request_text(second)));
  const auto answer = client.read(client_patience);
  BOOST_TEST(!answer.is_told_whole());
  BOOST_TEST(answer.body == attempt_text{first}.body());
  BOOST_TEST(fleet.runs_of(second.id).empty());
}

/// Guards against an answer without framing whose client takes the exit of the daemon for its end.
BOOST_AUTO_TEST_CASE(a_killed_daemon_resets_answers_without_framing) {
  constexpr std::size_t large_bytes = 7'500'000;
  for (const auto kind : {route_kind::single, route_kind::unsafe}) {
    open_answer_fleet fleet("killed");
    const planned_request request{"killed", cut_place::unframed_short, connection_end::silence,
                                  kind};
    scripted_answer answer{attempt_text{request}.broken_off()};
    if (!is_stream(kind)) {
      // More than the buffers of the connection hold, so that the daemon is still writing.
      answer.bytes = attempt_text{request}.head() + "\r\n" + std::string(large_bytes, 'x');
      answer.close = true;
    }
    fleet.plan(request, answer);
    framing_client client(fleet.daemon().client_address);
    BOOST_TEST(client.send(open_answer_fleet::request_text(request)));
    BOOST_TEST(client.wait_for_bytes(1, client_patience));
    fleet.daemon().process().signal(SIGKILL);
    fleet.daemon().process().wait();
    const auto received = client.read(client_patience);
    BOOST_TEST(received.status == 200);
    BOOST_TEST(name_of(received.framing) == "connection");
    BOOST_TEST(name_of(received.end) == "reset");
  }
}

/// Guards against an answer without framing that a planned stop cuts, or ends before its replica
/// has.
BOOST_AUTO_TEST_CASE(a_planned_stop_lets_an_answer_without_framing_end) {
  open_answer_fleet fleet("stopping");
  const planned_request request{"stopping", cut_place::unframed_whole, connection_end::fin,
                                route_kind::single};
  auto slow = scripted_answer{attempt_text{request}.head() + "\r\n" + attempt_text{request}.part()};
  slow.delayed_bytes = {attempt_text{request}.body().substr(attempt_text{request}.part().size())};
  slow.pause = milliseconds(800);
  slow.close = true;
  fleet.plan(request, slow);
  framing_client client(fleet.daemon().client_address);
  BOOST_TEST(client.send(open_answer_fleet::request_text(request)));
  BOOST_TEST(client.wait_for_bytes(1, client_patience));
  fleet.daemon().process().signal(SIGTERM);
  const auto answer = client.read(client_patience);
  BOOST_TEST(answer.has_open_end(), name_of(answer.framing) + ", " + name_of(answer.end));
  BOOST_TEST(answer.body == attempt_text{request}.body());
  BOOST_TEST(fleet.daemon().process().wait() == 0);
}

/// Guards against an answer whose end is not marked, or a stream that broke off, that is told as
/// whole, or against a whole answer that is lost, if the retry budget allows no second run. Guards
/// also against such a denial that nobody can see.
BOOST_AUTO_TEST_CASE(without_retry_budget_an_open_end_stays_open) {
  open_answer_fleet fleet("budget", "  retry_ratio: 0\n  retry_allowance: 0\n");
  const auto send = [&](cut_place place, route_kind kind) {
    const planned_request request{"budget-" + std::to_string(static_cast<int>(place)) + "-" +
                                      std::to_string(static_cast<int>(kind)),
                                  place, connection_end::fin, kind};
    auto answer = fleet.send(request);
    const auto runs = fleet.runs_of(request.id);
    BOOST_TEST(runs.size() == 1);
    BOOST_TEST(answer_check(request, answer, runs).fault() == "");
    return answer;
  };
  for (const auto kind : {route_kind::safe, route_kind::resumable}) {
    BOOST_TEST(send(cut_place::unframed_whole, kind).has_open_end());
    BOOST_TEST(send(cut_place::unframed_short, kind).has_open_end());
    BOOST_TEST(!send(cut_place::unframed_no_body, kind).is_success());
  }
  const auto broken_off = send(cut_place::chunks_body_short, route_kind::resumable);
  BOOST_TEST(broken_off.is_success());
  BOOST_TEST(!broken_off.is_told_whole());
  const auto metrics = fleet::get(fleet.daemon().operator_address, "/metrics").body;
  BOOST_TEST(metrics.find("spurrack_repeats_denied_total 7\n") != std::string::npos);
}

/// Guards against a route whose replicas never mark the end of an answer and on which each request
/// runs twice for that.
BOOST_AUTO_TEST_CASE(a_route_that_never_marks_ends_runs_each_request_once) {
  open_answer_fleet fleet("habit");
  constexpr int learning_requests = 8;
  constexpr int later_requests = 4;
  for (const auto kind : {route_kind::safe, route_kind::resumable}) {
    for (int number = 0; number < learning_requests + later_requests; ++number) {
      const planned_request request{std::string(route_names.at(static_cast<std::size_t>(kind))) +
                                        std::to_string(number),
                                    cut_place::unframed_whole, connection_end::fin, kind};
      // If a resumed run had nothing to add, its answer would have no event and count as lost.
      fleet.plan(request, {attempt_text{request}.broken_off(), true});
      framing_client client(fleet.daemon().client_address);
      BOOST_TEST(client.send(open_answer_fleet::request_text(request)));
      const auto answer = client.read(client_patience);
      if (number >= learning_requests) {
        BOOST_TEST(answer.has_open_end(), name_of(answer.framing) + ", " + name_of(answer.end));
        BOOST_TEST(answer.body == attempt_text{request}.body());
        BOOST_TEST(fleet.runs_of(request.id).size() == 1, request.id);
      }
    }
  }
}

/// Guards against a stream that runs more often than its route allows because a partitioned daemon
/// passes it on again after the other daemon has used all attempts.
BOOST_AUTO_TEST_CASE(a_relayed_stream_runs_no_more_often_than_its_route_allows) {
  relaying_fleet fleet("attempts");
  BOOST_REQUIRE(fleet.is_prepared());
  const planned_request request{"attempts", cut_place::chunks_body_short, connection_end::fin,
                                route_kind::resumable};
  fleet.plan(request, {attempt_text{request}.broken_off(), true});
  framing_client client(fleet.entry().client_address);
  BOOST_TEST(client.send(open_answer_fleet::request_text(request)));
  BOOST_TEST(!client.read(request.time() + client_patience).is_told_whole());
  BOOST_TEST(static_cast<int>(fleet.runs_of(request.id).size()) <= max_attempts(request.kind));
}

BOOST_AUTO_TEST_SUITE_END()
