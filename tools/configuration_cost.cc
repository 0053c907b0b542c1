/// Measures how long the event loop of a node is occupied by a new configuration, step by step,
/// from the store's text to the end of `dispatcher::update`. Prints one table row for each size and
/// run, in milliseconds.
#include "catalog/entry_packing.h"
#include "logging/guarded_main.h"
#include "logging/usual_options.h"
#include "model/serving_record_parser.h"
#include "names.h"
#include "node/node.h"
#include "record_translator.h"

#include <boost/json.hpp>
#include <cxxopts.hpp>
#include <openssl/evp.h>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace spurrack;
namespace json = boost::json;

constexpr std::size_t service_count = 40;
constexpr std::size_t replicas_per_service = 15;
constexpr std::size_t routes_per_tenant = 2;
constexpr std::size_t keys_per_tenant = 3;
constexpr std::size_t peer_count = 6;

std::string service_name(std::size_t index) {
  return "service-" + std::to_string(index % service_count);
}

json::array make_routes(std::size_t count) {
  json::array routes;
  for (std::size_t index = 0; index < count; ++index) {
    const auto name = "route-" + std::to_string(index);
    routes.push_back(json::object{{"name", name},
                                  {"host", "host-" + std::to_string(index % 20) + ".example"},
                                  {"path_prefix", "/v1/" + name + "/"},
                                  {"kind", index % 3 == 0 ? "streaming" : "safe"},
                                  {"timeout_ms", 8000},
                                  {"target_latency_ms", 900},
                                  {"gap_target_ms", 500},
                                  {"priority", 1},
                                  {"max_attempts", 2},
                                  {"service", service_name(index)}});
  }
  return routes;
}

json::array make_services() {
  json::array services;
  for (std::size_t index = 0; index < service_count; ++index) {
    services.push_back(json::object{{"name", service_name(index)}, {"max_connections", 64}});
  }
  return services;
}

json::array make_tenants(std::size_t routes) {
  json::array tenants;
  for (std::size_t index = 0; index < routes / routes_per_tenant; ++index) {
    const auto name = "tenant-" + std::to_string(index);
    json::array keys;
    for (std::size_t key = 0; key < keys_per_tenant; ++key) {
      keys.push_back(json::string("key-of-" + name + "-" + std::to_string(key)));
    }
    tenants.push_back(json::object{{"name", name}, {"api_keys", std::move(keys)}, {"priority", 1}});
  }
  return tenants;
}

std::string make_configuration(std::size_t routes, std::uint64_t version) {
  return json::serialize(json::object{{"version", version},
                                      {"routes", make_routes(routes)},
                                      {"services", make_services()},
                                      {"tenants", make_tenants(routes)},
                                      {"limits",
                                       {{"max_header_bytes", 16'000},
                                        {"max_body_bytes", 1'000'000},
                                        {"header_timeout_ms", 3'000},
                                        {"idle_timeout_ms", 30'000}}}});
}

std::string encode_base64(const std::string& text) {
  std::string encoded((text.size() + 2) / 3 * 4 + 1, '\0');
  const auto length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(encoded.data()),
                                      reinterpret_cast<const unsigned char*>(text.data()),
                                      static_cast<int>(text.size()));
  encoded.resize(static_cast<std::size_t>(length));
  return encoded;
}

std::string make_store_answer(const std::string& configuration, std::uint64_t revision) {
  const json::object event{{"tls_key", json::string(platform::names::configuration_key)},
                           {"revision", revision},
                           {"value", encode_base64(configuration)}};
  return json::serialize(json::object{{"at", revision}, {"events", json::array{event}}});
}

wire::catalog_entry make_entry(const std::string& key, std::string value, std::uint64_t revision) {
  wire::catalog_entry entry;
  entry.set_key(key);
  entry.set_value(std::move(value));
  entry.set_revision(revision);
  return entry;
}

std::vector<wire::catalog_entry> make_replicas() {
  std::vector<wire::catalog_entry> entries;
  for (std::size_t index = 0; index < service_count * replicas_per_service; ++index) {
    const auto id = "i-" + std::to_string(index);
    const auto text =
        json::serialize(json::object{{"service", service_name(index)},
                                     {"address", "10.0." + std::to_string(index / 250) + "." +
                                                     std::to_string(index % 250) + ":80"},
                                     {"zone", index % 2 == 0 ? "a" : "b"},
                                     {"version", "v1"},
                                     {"slots", 4},
                                     {"state", "ready"},
                                     {"born", 1'790'000'000'123}});
    entries.push_back(make_entry(std::string(model::replica_prefix) + id,
                                 platform::translate_replica(id, text).SerializeAsString(),
                                 index + 1));
  }
  return entries;
}

/// Measures the processor time of this thread since its construction or since the previous lap, so
/// that other processes on the machine hardly change the result.
class stopwatch {
 public:
  /// @return milliseconds of processor time since the previous call.
  double lap() {
    const double now = processor_milliseconds();
    return now - std::exchange(started_at_, now);
  }

 private:
  static double processor_milliseconds() {
    timespec used{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) * 1e3 + static_cast<double>(used.tv_nsec) / 1e6;
  }

  double started_at_ = processor_milliseconds();
};

/// Processor times of the steps, in milliseconds.
struct step_times {
  double parse_answer = 0;
  double translate = 0;
  double parse_record = 0;
  /// `catalog::apply`, which parses the record too.
  double apply = 0;
  double update_dispatcher = 0;
  double pack = 0;
  /// `node::handle` of the answer with its commands: the steps `apply` to `pack` and the
  /// messages to peers.
  double node = 0;
  double serialize_messages = 0;
  std::size_t messages = 0;
  std::size_t entry_bytes = 0;
};

/// A node with peers, and a dispatcher with a catalog of its own, that both hold the first
/// configuration.
class measured_node {
 public:
  measured_node(std::size_t routes)
      : routes_(routes), random_(1), node_(node_settings(), random_, now_),
        dispatcher_({base::node_id("d"), base::zone_id("a"), base::network_address("d:1")}, {},
                    random_, 1, [](auto, const auto&, const auto&, const auto&) {}) {
    for (std::size_t peer = 0; peer < peer_count; ++peer) {
      introduce_peer("peer-" + std::to_string(peer));
    }
    auto entries = make_replicas();
    entries.push_back(translated(make_configuration(routes_, ++version_)));
    for (const auto& entry : entries) {
      content_.apply(entry);
    }
    dispatcher_.update(content_, now_);
    node_.handle(answer_with(std::move(entries)), now_);
  }

  step_times apply_change() {
    step_times times;
    const auto answer = make_store_answer(make_configuration(routes_, ++version_), ++revision_);
    stopwatch watch;
    const auto document = json::parse(answer);
    times.parse_answer = watch.lap();
    const auto& value = document.at("events").at(0).at("value").get_string();
    auto entry = make_entry(
        std::string(model::configuration_key),
        platform::translate_value(platform::names::configuration_key, decode(value)), revision_);
    times.translate = watch.lap();
    times.entry_bytes = entry.ByteSizeLong();
    watch.lap();
    const auto parsed = model::parse_configuration(entry.value());
    times.parse_record = watch.lap();
    content_.apply(entry);
    times.apply = watch.lap();
    dispatcher_.update(content_, now_);
    times.update_dispatcher = watch.lap();
    wire::catalog_push push;
    catalog::pack_entries({entry}, push);
    times.pack = watch.lap();
    const auto answered = answer_with({entry});
    now_ += std::chrono::seconds(1);
    watch.lap();
    const auto commands = node_.handle(answered, now_);
    times.node = watch.lap();
    for (const auto& command : commands) {
      if (const auto* message = std::get_if<wire::outgoing>(&command)) {
        ++times.messages;
        message->message.SerializeAsString();
      }
    }
    times.serialize_messages = watch.lap();
    return times;
  }

 private:
  static node::node_settings node_settings() {
    node::node_settings settings;
    settings.self = {base::node_id("n"), base::zone_id("a"), base::network_address("n:1"), 1, 1};
    settings.serving.emplace();
    return settings;
  }

  static std::string decode(std::string_view text) {
    std::string decoded(text.size() / 4 * 3, '\0');
    EVP_DecodeBlock(reinterpret_cast<unsigned char*>(decoded.data()),
                    reinterpret_cast<const unsigned char*>(text.data()),
                    static_cast<int>(text.size()));
    decoded.resize(decoded.size() -
                   static_cast<std::size_t>(std::count(text.end() - 2, text.end(), '=')));
    return decoded;
  }

  [[nodiscard]] node::service_answered answer_with(std::vector<wire::catalog_entry> entries) const {
    node::service_answered answered;
    answered.source = node::source_kind::configuration;
    answered.entries = std::move(entries);
    answered.service_revision = revision_;
    return answered;
  }

  wire::catalog_entry translated(const std::string& configuration) {
    return make_entry(std::string(model::configuration_key),
                      platform::translate_value(platform::names::configuration_key, configuration),
                      ++revision_);
  }

  void introduce_peer(const std::string& name) {
    node::peer_message message;
    message.message.set_sender(name);
    message.message.set_sender_zone("a");
    message.message.set_sender_address(name + ":1");
    message.message.set_sender_incarnation(1);
    message.message.mutable_ping()->set_sequence(1);
    node_.handle(message, now_);
  }

  std::size_t routes_;
  base::time_point now_{std::chrono::hours(1)};
  std::uint64_t version_ = 0;
  std::uint64_t revision_ = 10'000;
  base::seeded_random random_;
  node::node node_;
  catalog::catalog content_;
  serving::dispatcher dispatcher_;
};

void print_row(std::size_t routes, int run, const step_times& times) {
  const double total = times.parse_answer + times.translate + times.node + times.serialize_messages;
  std::cout << "| " << routes << " | " << run << " | " << times.entry_bytes << " | "
            << times.parse_answer << " | " << times.translate << " | " << times.parse_record
            << " | " << times.apply << " | " << times.update_dispatcher << " | " << times.pack
            << " | " << times.node << " | " << times.serialize_messages << " (" << times.messages
            << ") | " << total << " |\n";
}

int run_program(int argc, char** argv) {
  constexpr int default_runs = 3;
  cxxopts::Options options(
      "configuration_cost",
      "Measures the steps of applying a configuration, in milliseconds of processor time.");
  options.add_options()("routes", "numbers of routes",
                        cxxopts::value<std::vector<std::size_t>>()->default_value("50,700,2000"))(
      "runs", "changes of the configuration for each number",
      cxxopts::value<int>()->default_value(std::to_string(default_runs)));
  logging::add_usual_options(options);
  const auto given = options.parse(argc, argv);
  if (logging::handle_usual_options(options, given)) {
    return 0;
  }
  std::cout << "| routes | run | bytes of the record | parse the answer | decode, translate | "
               "parse the record | "
               "catalog::apply (parses) | dispatcher::update | pack | node::handle | serialize "
               "(messages) | total |\n"
               "|---|---|---|---|---|---|---|---|---|---|---|---|\n";
  for (const auto routes : given["routes"].as<std::vector<std::size_t>>()) {
    measured_node subject(routes);
    for (int run = 1; run <= given["runs"].as<int>(); ++run) {
      print_row(routes, run, subject.apply_change());
    }
  }
  return 0;
}

} // namespace

int main(int argc, char** argv) {
  return logging::guarded_main(run_program, argc, argv, 2);
}
