/// The operator removes a route and the stage service that only this route used, while requests of
/// the route are at an earlier stage, and while requests of another route are at work.
#include "../standins/fleet.h"

#include <algorithm>
#include <iostream>

namespace {

using namespace review;

constexpr milliseconds time_before_change{6'000};
/// `converge_ms` of the deployment and one second: the time for which LOST speaks of the change.
constexpr milliseconds time_after_change{3'000};
constexpr milliseconds request_interval{40};
constexpr milliseconds client_timeout{10'000};
constexpr milliseconds loss_slack{200};
constexpr milliseconds report_deadline{10'000};
constexpr milliseconds push_deadline{3'000};
constexpr std::size_t portal_replicas = 4;
constexpr std::size_t registry_replicas = 18;

const std::vector<std::string> zones{"lalitpur-hall", "bhaktapur-hall"};

boost::json::object plain_service(const char* name) {
  return {{"name", name}, {"health_path", "/health"}, {"max_connections", 500}};
}

boost::json::object stage_service(const char* name) {
  auto service = plain_service(name);
  service["pieces"] = boost::json::object{
      {"slots", 1},      {"queue", 2},          {"batch", 8},      {"call_ms", 200.0},
      {"item_ms", 21.0}, {"headroom_mb", 18.0}, {"handle_s", 4.0}, {"link_mbps", 10000}};
  return service;
}

boost::json::object push_route() {
  return {{"name", "r-push"}, {"host", "jepu9.example"}, {"path_prefix", "/push/"},
          {"kind", "unsafe"}, {"timeout_ms", 3000},      {"target_latency_ms", 300},
          {"priority", 2},    {"service", "wuno96b"},    {"max_attempts", 1},
          {"public", true}};
}

boost::json::object report_route() {
  const auto stage = [](const char* service, boost::json::array start_after) {
    return boost::json::object{
        {"service", service}, {"start_after", std::move(start_after)}, {"size_bytes", 8000}};
  };
  return {{"name", "r-report"},
          {"host", "pule25.example"},
          {"path_prefix", "/report/"},
          {"kind", "safe"},
          {"timeout_ms", 10000},
          {"target_latency_ms", 2500},
          {"priority", 0},
          {"service", "huvo11a"},
          {"max_attempts", 2},
          {"stages", boost::json::array{stage("kafi81c", {}), stage("lovo22d", {0})}},
          {"public", true}};
}

std::string configuration(int version, bool has_report_route) {
  boost::json::array routes{push_route()};
  boost::json::array services{plain_service("wuno96b"), plain_service("huvo11a"),
                              stage_service("kafi81c")};
  if (has_report_route) {
    routes.push_back(report_route());
    services.push_back(stage_service("lovo22d"));
  }
  return boost::json::serialize(
      boost::json::object{{"version", version},
                          {"routes", std::move(routes)},
                          {"services", std::move(services)},
                          {"limits", boost::json::object{{"max_header_bytes", 16384},
                                                         {"max_body_bytes", 4194304},
                                                         {"header_timeout_ms", 3000},
                                                         {"idle_timeout_ms", 15000}}}});
}

/// Replica of any service. It runs its work for a fixed time; a stage replica has one slot and a
/// queue of two calls.
class replica {
 public:
  replica(std::string id, milliseconds work)
      : id_(std::move(id)), work_(work), server_([this](connection& peer) { serve(peer); }) {}
  [[nodiscard]] const std::string& address() const { return server_.address(); }
  bool has_received(const std::string& request) {
    const std::lock_guard lock(mutex_);
    return received_.contains(request);
  }

 private:
  void serve(connection& peer) {
    while (const auto request = peer.read()) {
      if (!peer.write(answer(*request))) {
        return;
      }
    }
  }

  std::string answer(const message& request) {
    if (const auto expected = request.header("X-Expect-Replica");
        !expected.empty() && expected != id_) {
      return whole_answer("421 Misdirected Request", {{"X-Replica-Id", id_}}, "");
    }
    if (request.target == "/stage-run") {
      return answer_pieces(request);
    }
    if (request.target == "/stage-free") {
      return whole_answer("200 OK", {}, "");
    }
    const auto id = request.header("X-Request-Id");
    {
      const std::lock_guard lock(mutex_);
      received_.insert(id);
    }
    std::this_thread::sleep_for(work_);
    return whole_answer("200 OK", {{"X-Request-Id", id}, {"X-Response-Seal", "seal"}}, "done");
  }

  std::string answer_pieces(const message& request) {
    constexpr int max_calls = 3;
    if (calls_.fetch_add(1) >= max_calls) {
      --calls_;
      return whole_answer("503 Service Unavailable", {{"X-Not-Executed", "1"}}, "");
    }
    const std::lock_guard lock(slot_);
    const auto items = boost::json::parse(request.body).at("items").as_array().size();
    constexpr milliseconds call_time{200};
    constexpr milliseconds item_time{21};
    std::this_thread::sleep_for(call_time + item_time * items);
    boost::json::array results;
    for (std::size_t item = 0; item < items; ++item) {
      results.push_back(boost::json::object{{"handle", address() + "/" + new_id()}});
    }
    --calls_;
    return whole_answer("200 OK", {{"Content-Type", "application/json"}},
                        boost::json::serialize(boost::json::object{{"items", results}}));
  }

  std::string id_;
  milliseconds work_;
  std::mutex mutex_;
  std::set<std::string> received_;
  std::mutex slot_;
  std::atomic<int> calls_ = 0;
  server server_;
};

/// A request whose connection ended without a complete answer.
struct cut_request {
  std::string what;
  std::int64_t sent_at = 0;
  std::int64_t cut_at = 0;
  milliseconds deadline{0};
  bool was_passed_on = false;
};

class removal_case {
 public:
  removal_case(const std::string& folder, const std::string& record_path)
      : record_(record_path), fleet_(folder, zones) {}

  int run() {
    store_.put("op/config", configuration(1, true));
    add_replicas("wuno96b", 2, milliseconds(60), 6, push_replicas_);
    add_replicas("huvo11a", 4, milliseconds(300), 128, model_replicas_);
    add_replicas("kafi81c", portal_replicas, milliseconds(0), 1, stage_replicas_);
    add_replicas("lovo22d", registry_replicas, milliseconds(0), 1, stage_replicas_);
    if (!fleet_.start(store_.address())) {
      record_.write("the nodes are not ready");
      return 2;
    }
    std::this_thread::sleep_for(milliseconds(2'000));
    std::vector<std::thread> clients;
    for (const auto& node : fleet_.nodes()) {
      clients.emplace_back([this, &node] { send_steadily(*node, true); });
      clients.emplace_back([this, &node] { send_steadily(*node, false); });
    }
    std::this_thread::sleep_for(time_before_change);
    change_at_ = record_.now_milliseconds();
    if (!is_without_trouble()) {
      store_.put("op/config", configuration(2, false));
      record_.write("acknowledged: version 2, without the route r-report and its service lovo22d");
    }
    std::this_thread::sleep_for(time_after_change);
    is_stopping_ = true;
    for (auto& client : clients) {
      client.join();
    }
    wait_for_requests();
    return judge();
  }

 private:
  void add_replicas(const std::string& service, std::size_t count, milliseconds work, int slots,
                    std::vector<std::unique_ptr<replica>>& added) {
    for (std::size_t index = 0; index < count; ++index) {
      const auto id = "i-" + service + "-" + std::to_string(index);
      added.push_back(std::make_unique<replica>(id, work));
      store_.put("servers/" + id, replica_entry(service, added.back()->address(),
                                                zones[index % zones.size()], slots));
    }
  }

  void send_steadily(const daemon_process& node, bool is_report) {
    while (!is_stopping_) {
      ++open_requests_;
      std::thread([this, &node, is_report] {
        send(node, is_report);
        --open_requests_;
      }).detach();
      std::this_thread::sleep_for(is_report ? request_interval * 2 : request_interval);
    }
  }

  void send(const daemon_process& node, bool is_report) {
    const auto id = new_id();
    const auto deadline = is_report ? report_deadline : push_deadline;
    header_fields headers{{"Host", is_report ? "pule25.example" : "jepu9.example"},
                          {"X-Request-Id", id},
                          {"X-Deadline-Ms", std::to_string(deadline.count())}};
    if (is_report) {
      headers.emplace_back("X-Pieces", "1,1");
      headers.emplace_back("X-Piece-Key", id.substr(0, 12));
    }
    const auto sent_at = record_.now_milliseconds();
    const auto seen =
        send_request(node.front(), is_report ? "GET" : "POST", is_report ? "/report/1" : "/push/1",
                     headers, "", client_timeout);
    const std::lock_guard lock(mutex_);
    ++statuses_[{is_report, seen.status}];
    if (!seen.is_connected || seen.status != 0) {
      return;
    }
    const bool was_passed_on =
        has_received(push_replicas_, id) || has_received(model_replicas_, id);
    cuts_.push_back({std::string(is_report ? "report " : "push ") + id + " at " + node.name(),
                     sent_at, sent_at + seen.duration.count(), deadline, was_passed_on});
  }

  /// @return whether LOST speaks of a request whose connection ended without an answer.
  [[nodiscard]] bool is_loss(const cut_request& cut) const {
    const auto time_used = cut.cut_at - cut.sent_at;
    const bool is_late = time_used * 10 >= cut.deadline.count() * 7;
    const bool is_in_time = cut.cut_at <= change_at_ + time_after_change.count();
    return is_in_time && !is_late && (cut.was_passed_on || time_used > loss_slack.count());
  }

  static bool has_received(std::vector<std::unique_ptr<replica>>& replicas, const std::string& id) {
    return std::any_of(replicas.begin(), replicas.end(),
                       [&](const auto& candidate) { return candidate->has_received(id); });
  }

  void wait_for_requests() const {
    const auto deadline = clock::now() + client_timeout + milliseconds(1'000);
    while (open_requests_ > 0 && clock::now() < deadline) {
      std::this_thread::sleep_for(milliseconds(20));
    }
  }

  int judge() {
    for (const auto& [kind, count] : statuses_) {
      record_.write(std::string(kind.first ? "report" : "push") + " requests with status " +
                    std::to_string(kind.second) + ": " + std::to_string(count));
    }
    for (const auto& node : fleet_.nodes()) {
      const auto end = node->ended();
      record_.write(node->name() + (end ? " ended by itself, " + *end : " runs"));
    }
    int lost = 0;
    int lost_before = 0;
    for (const auto& cut : cuts_) {
      const bool counts = is_loss(cut);
      (cut.cut_at < change_at_ ? lost_before : lost) += counts ? 1 : 0;
      record_.write((counts ? "LOST " : "not counted ") + cut.what + ": sent at " +
                    std::to_string(cut.sent_at) + ", connection ended at " +
                    std::to_string(cut.cut_at) + " without an answer" +
                    (cut.was_passed_on ? ", a replica had the request" : ""));
    }
    if (statuses_[{true, 200}] == 0 || statuses_[{false, 200}] == 0) {
      record_.write("nothing was served");
      return 2;
    }
    record_.write("requests lost beside the change: " + std::to_string(lost) +
                  ", before it: " + std::to_string(lost_before));
    // The time before the change is the longer one.
    return lost > 3 * lost_before ? 1 : 0;
  }

  recorder record_;
  store store_;
  std::vector<std::unique_ptr<replica>> push_replicas_;
  std::vector<std::unique_ptr<replica>> model_replicas_;
  std::vector<std::unique_ptr<replica>> stage_replicas_;
  fleet fleet_;
  std::atomic<bool> is_stopping_ = false;
  std::atomic<int> open_requests_ = 0;
  std::int64_t change_at_ = 0;
  std::mutex mutex_;
  std::vector<cut_request> cuts_;
  /// Number of requests by kind (whether a report) and status.
  std::map<std::pair<bool, int>, int> statuses_;
};

} // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    return 2;
  }
  const auto folder = review::make_folder();
  const int result = std::make_unique<removal_case>(folder, argv[1])->run();
  review::remove_folder(folder);
  std::cout << "exit " << result << "\n";
  return result;
}
