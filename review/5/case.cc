// The store is down for a while. Some seconds after its return it turns the machines away that read
// the configuration for all, and a key is taken away. Machines that the store serves must refuse
// the key after converge_ms.
#include "../standins-2/rig.h"

namespace {

using namespace rig;

const std::string kept_key = "jnbanfqasnmgkcuyj8pj";
const std::string taken_key = "9dnn2ctnfzs989anu6ws";
constexpr double converge_s = 2.0;
/// Requests are sent this much later than the rule allows for, so that late timers of a busy
/// machine do not count.
constexpr double margin_s = 0.5;

std::string configuration(int version, bool has_taken_key) {
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[
{"name":"r-push","host":"pule25.example","path_prefix":"/push/","kind":"unsafe","timeout_ms":1500,"target_latency_ms":300,
 "priority":2,"service":"alerts","max_attempts":1,"public":false,"session_affinity":false,"stream_resume":false}],
"services":[{"name":"alerts","health_path":"/health","max_connections":500}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"bozi300","api_keys":[")" +
         kept_key + R"("],"priority":1},{"name":"fuxo31","api_keys":[)" +
         (has_taken_key ? "\"" + taken_key + "\"" : "") + R"(],"priority":1}]})";
}

int next_request = 1;

int ask(const address& front, const std::string& key) {
  auto c = dial(front);
  if (!c) {
    return 0;
  }
  c->send("POST /push/1 HTTP/1.1\r\nHost: pule25.example\r\nX-Request-Id: r" +
          std::to_string(next_request++) + "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Token " +
          key + "\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi");
  return read_answer(*c, 2500).status;
}

/// Twelve machines in four zones, each with a view of the store of its own.
struct fleet {
  fleet() {
    platform.put("op/config", configuration(7, true));
    for (int zone = 1; zone <= 4; ++zone) {
      zones.push_back("hall-" + std::to_string(zone));
      replicas.push_back(std::make_unique<replica>(
          platform, "i-alerts-" + std::to_string(zone), "alerts", zones.back(), 6,
          address{"127.0.0.1", 0}, [](connection& c, const message& request) {
            return answer(c, request, 200, "X-Response-Seal: s\r\n", "done");
          }));
    }
    for (std::size_t number = 0; number < 12; ++number) {
      const auto& zone = zones[number / 3];
      doors.push_back(std::make_unique<door>(platform));
      names.push_back("edge-" + zone + "-" + std::to_string(number % 3 + 1));
      nodes.push_back(std::make_unique<node>(names.back(), zone, zones, doors.back()->where()));
    }
  }
  void start() {
    for (auto& one : nodes) {
      one->start({nodes[0]->control(), nodes[3]->control(), nodes[6]->control()}, logs.path());
    }
    for (auto& one : nodes) {
      one->wait_ready(20);
    }
  }
  void stop() {
    set_open(true);
    for (auto& one : nodes) {
      one->kill(SIGTERM);
    }
    for (auto& one : nodes) {
      one->wait_end(9);
    }
  }
  void set_open(bool open) {
    for (auto& one : doors) {
      one->set_open(open);
    }
  }
  /// @return the machines that watch what the operator writes.
  [[nodiscard]] std::vector<std::size_t> readers() const {
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < doors.size(); ++i) {
      if (doors[i]->is_watching("op/")) {
        found.push_back(i);
      }
    }
    return found;
  }

  folder logs;
  store platform;
  std::vector<std::string> zones, names;
  std::vector<std::unique_ptr<replica>> replicas;
  std::vector<std::unique_ptr<door>> doors;
  std::vector<std::unique_ptr<node>> nodes;
};

/// The second disruption: the store turns those machines away that read the configuration for all;
/// at most .35 of the machines, that is 4 of 12.
void turn_readers_away(fleet& all) {
  const double end = seconds() + 10;
  while (seconds() < end && (all.readers().empty() || all.readers().size() > 4)) {
    pause_ms(10);
  }
  const auto readers = all.readers();
  if (readers.empty() || readers.size() > 4) {
    throw cannot_run(std::to_string(readers.size()) + " machines watch the configuration");
  }
  std::string text = "the store turns away";
  for (const auto i : readers) {
    text += " " + all.names[i];
    all.doors[i]->set_open(false);
  }
  note(text + ", which watch the configuration, and serves the others");
}

/// Asks with the key at each machine that the store serves.
/// @return how many of the requests were served.
int ask_all(const fleet& all, double acknowledged) {
  int served = 0;
  for (std::size_t i = 0; i < all.nodes.size(); ++i) {
    if (!all.doors[i]->is_open()) {
      continue;
    }
    const double age = seconds() - acknowledged;
    const int status = ask(all.nodes[i]->front(), taken_key);
    served += status == 200 ? 1 : 0;
    char line[160];
    std::snprintf(line, sizeof line,
                  "%s, which the store serves, is sent the key %.2f s after the acknowledgement "
                  "and answers %d%s",
                  all.names[i].c_str(), age, status, status == 200 ? "  <-- served" : "");
    note(line);
  }
  return served;
}

int run() {
  const bool trouble = has_trouble();
  fleet all;
  all.start();
  pause_ms(8000);
  if (ask_all(all, seconds()) != static_cast<int>(all.nodes.size())) {
    throw cannot_run("a machine does not serve the key at first");
  }
  note(trouble ? "the store goes down for all machines" : "no disruption");
  all.set_open(!trouble);
  pause_ms(4500);
  all.set_open(true);
  note("the store serves all machines");
  pause_ms(5000);
  if (trouble) {
    turn_readers_away(all);
  }
  pause_ms(100);
  all.platform.put("op/config", configuration(8, false));
  const double acknowledged = seconds();
  note("version 8, without the key " + taken_key + ", is acknowledged");
  until(acknowledged + converge_s + margin_s);
  int served = 0;
  while (seconds() < acknowledged + 8) {
    served += ask_all(all, acknowledged);
    pause_ms(1000);
  }
  all.stop();
  note(std::to_string(served) + " requests with the key were served later than converge_ms after " +
       "the acknowledgement by machines that the store served");
  note(served > 0 ? "CONFIG: broken" : "held");
  return served > 0 ? 1 : 0;
}

} // namespace

int main(int count, char** arguments) {
  record().open(count > 1 ? arguments[1] : "record.txt");
  return run_case(run);
}
