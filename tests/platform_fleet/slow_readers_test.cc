/// A real spurrackd with hundreds of slow clients, which read slowly, pause or never read, and some
/// fast clients. Checks that the memory of the daemon and the added latency of the fast clients
/// stay within limits, and that no events are lost.
#include "event_replica.h"
#include "reading_client.h"
#include "single_daemon.h"
#include "soak_store.h"

#include "fleet/http_client.h"
#include "http/awaitable.h"
#include "http/endpoint.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <mutex>
#include <optional>
#include <thread>
#include <unistd.h>
#include <vector>

namespace {

using namespace spurrack;
using namespace spurrack::platform_tests;
using std::chrono::milliseconds;
namespace asio = boost::asio;

/// Number of slow clients for each read pattern. For manual runs, the environment variable
/// SPURRACK_SLOW_READERS sets another number, such as 466 for 1,400 clients in total.
constexpr std::size_t default_slow_clients_per_pattern = 150;
constexpr std::size_t fast_client_count = 50;
/// Maximum resident memory, in MB, of a daemon whose setting `memory_mb` is 160, as on a small
/// machine.
constexpr double max_resident_mb = 110;
/// Maximum relative increase of the 99th percentile of the latency of fast clients that is caused
/// by slow clients, in comparison with the same number of fast clients of a second daemon without
/// slow clients. Both daemons are measured at the same time, because a busy machine delays both.
constexpr double max_latency_increase = 0.1;
constexpr milliseconds arrival_interval{20};

std::size_t slow_clients_per_pattern() {
  const auto* text = std::getenv("SPURRACK_SLOW_READERS");
  return text == nullptr ? default_slow_clients_per_pattern : std::strtoul(text, nullptr, 10);
}

std::string configuration() {
  return R"({"version":1,"services":[{"name":"s"},{"name":"good"}],"limits":{"max_header_bytes":2000,
    "max_body_bytes":4000000,"header_timeout_ms":4000,"idle_timeout_ms":15000},
    "tenants":[{"name":"t","api_keys":["k"]}],"routes":[
    {"name":"safe","host":"h","path_prefix":"/safe/","kind":"safe","service":"s",
     "max_attempts":2,"target_latency_ms":30000},
    {"name":"good","host":"h","path_prefix":"/stream/good/","kind":"streaming","service":"good",
     "max_attempts":2,"stream_resume":true,"target_latency_ms":5000,"gap_target_ms":1000},
    {"name":"stream","host":"h","path_prefix":"/stream/","kind":"streaming","service":"s",
     "max_attempts":3,"stream_resume":true,"target_latency_ms":5000,"gap_target_ms":1000}]})";
}

/// Daemon with the resource limits of a small machine, and the store and two replicas that the
/// daemon uses.
struct slow_reader_fixture {
  explicit slow_reader_fixture(const std::string& name = "main") {
    store.put("op/config", configuration());
    store.put("servers/i-one", replica_record("s", replica));
    store.put("servers/i-good", replica_record("good", fast_replica));
    daemon.emplace("readers-" + name, store.address(),
                   resource_settings() + "  retry_ratio: 1\n  retry_allowance: 10000\n");
  }

  static std::string resource_settings() { return "  memory_mb: 160\n  max_descriptors: 4100\n"; }

  static std::string replica_record(const std::string& service, const event_replica& published) {
    return R"({"service":")" + service +
           R"(","zone":"z","slots":2000,"state":"ready","address":")" + published.address() + "\"}";
  }

  /// @return peak resident memory of the daemon in MB, from the kernel (VmHWM).
  [[nodiscard]] double peak_resident_mb() const {
    std::ifstream file("/proc/" + std::to_string(daemon->process().id()) + "/status");
    constexpr double kilobytes_per_megabyte = 1'000;
    for (std::string line; std::getline(file, line);) {
      if (line.starts_with("VmHWM:")) {
        return std::stod(line.substr(line.find(':') + 1)) / kilobytes_per_megabyte;
      }
    }
    return 0;
  }

  /// @param name name of a metric, including its labels.
  /// @return value of the metric; -1 if the metric does not exist.
  [[nodiscard]] double metric(const std::string& name) const {
    const auto text = fleet::get(daemon->operator_address, "/metrics").body;
    const auto position = text.find("\n" + name + " ");
    return position == std::string::npos ? -1 : std::stod(text.substr(position + name.size() + 2));
  }

  [[nodiscard]] request_result send(request_plan plan) const {
    asio::io_context io;
    request_result result;
    asio::co_spawn(
        io, send_and_read(daemon->client_address, std::move(plan)),
        [&](const std::exception_ptr&, const request_result& received) { result = received; });
    io.run();
    return result;
  }

  soak_store store;
  event_replica replica;
  /// Separate replica for the fast clients, so that the other replica's work for slow clients does
  /// not delay them.
  event_replica fast_replica;
  std::optional<single_daemon> daemon;
};

/// Results of the requests with one read pattern; counts are numbers of requests.
struct group_result {
  std::size_t started = 0;
  std::size_t finished = 0;
  std::size_t completed = 0;
  std::size_t out_of_order = 0;
  /// Number of answers that were complete according to their HTTP framing although events were
  /// missing.
  std::size_t falsely_completed = 0;
  /// Duration of each request in seconds.
  std::vector<double> seconds;

  /// @param events number of events of a complete answer.
  void add(const request_result& result, std::size_t events) {
    ++finished;
    const bool is_whole = result.is_complete && result.status == 200 && result.events == events;
    completed += is_whole ? 1 : 0;
    falsely_completed += result.is_complete && result.status == 200 && !is_whole ? 1 : 0;
    out_of_order += result.is_in_order ? 0 : 1;
    seconds.push_back(std::chrono::duration<double>(result.duration).count());
  }
  [[nodiscard]] double percentile_99() const {
    auto sorted = seconds;
    std::sort(sorted.begin(), sorted.end());
    constexpr double quantile = 0.99;
    return sorted.empty() ? 0
                          : sorted[static_cast<std::size_t>(
                                quantile * static_cast<double>(sorted.size() - 1))];
  }
};

/// Fast clients on a separate thread. Each sends one request after another without a pause.
class fast_client_group {
 public:
  explicit fast_client_group(std::string address) : address_(std::move(address)) {
    for (std::size_t number = 0; number < fast_client_count; ++number) {
      asio::co_spawn(io_, send_repeatedly("good" + std::to_string(number)), asio::detached);
    }
    thread_ = std::thread([this] { io_.run(); });
  }
  ~fast_client_group() {
    io_.stop();
    thread_.join();
  }
  fast_client_group(const fast_client_group&) = delete;
  fast_client_group& operator=(const fast_client_group&) = delete;

  /// @return results of the requests that ended since the last call.
  group_result take_result() {
    const std::lock_guard lock(mutex_);
    return std::exchange(result_, {});
  }

 private:
  asio::awaitable<void> send_repeatedly(std::string id) {
    const event_replica_options replica_options;
    for (std::size_t number = 0;; ++number) {
      request_plan plan{
          read_pattern::fast, "/stream/good/", id + "-" + std::to_string(number), "", {}};
      const auto result = co_await send_and_read(address_, std::move(plan));
      const std::lock_guard lock(mutex_);
      result_.add(result, replica_options.short_events);
    }
  }

  std::string address_;
  asio::io_context io_;
  std::mutex mutex_;
  group_result result_;
  std::thread thread_;
};

/// Slow clients with the read patterns `trickle`, `pausing` and `never`. The clients run on the
/// thread that calls `run_until_pausing_end`.
class slow_client_group {
 public:
  explicit slow_client_group(const slow_reader_fixture& fixture) : fixture_(&fixture) {}

  /// Starts one client of each read pattern every `arrival_interval`, so that slow reading and not
  /// a burst of arrivals affects the fast clients.
  void start_slow(std::size_t clients_per_pattern) {
    trickling.started = pausing.started = never.started = clients_per_pattern;
    asio::co_spawn(io_, start_at_intervals(clients_per_pattern), asio::detached);
  }

  /// Runs the clients until all clients with the pattern `pausing` have finished, for at most
  /// `timeout`.
  void run_until_pausing_end(milliseconds timeout) {
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (pausing.finished < pausing.started && std::chrono::steady_clock::now() < deadline) {
      io_.run_one_for(milliseconds(100));
    }
  }

  group_result trickling;
  group_result pausing;
  group_result never;

 private:
  asio::awaitable<void> send_once(request_plan plan, group_result& group) {
    const event_replica_options replica_options;
    const auto result = co_await send_and_read(fixture_->daemon->client_address, std::move(plan));
    group.add(result, replica_options.long_events);
  }

  asio::awaitable<void> start_at_intervals(std::size_t clients_per_pattern) {
    asio::steady_timer timer(io_);
    for (std::size_t number = 0; number < clients_per_pattern; ++number) {
      const auto id = std::to_string(number);
      start({read_pattern::trickle, "/stream/slow/", "trickle" + id, "", {}}, trickling);
      start({read_pattern::pausing, "/stream/slow/", "pausing" + id, ""}, pausing);
      start({read_pattern::never, "/safe/whole/", "never" + id, "", {}}, never);
      timer.expires_after(arrival_interval);
      boost::system::error_code ignored;
      co_await timer.async_wait(http::await_into(ignored));
    }
  }

  void start(request_plan plan, group_result& group) {
    asio::co_spawn(io_, send_once(std::move(plan), group), asio::detached);
  }

  const slow_reader_fixture* fixture_;
  asio::io_context io_;
};

/// Results of fast clients and slow clients that ran at the same time.
struct mixed_load_outcome {
  bool is_running = false;
  double resident_mb = 0;
  group_result fast_clients;
  /// Results of the fast clients of the second daemon, which has no slow clients.
  group_result fast_clients_alone;
  group_result pausing;
  group_result trickling;
  std::size_t aborted_streams = 0;
};

mixed_load_outcome run_mixed_load() {
  constexpr milliseconds timeout{30'000};
  slow_reader_fixture disturbed;
  slow_client_group slow_clients(disturbed);
  slow_reader_fixture undisturbed("undisturbed");
  fast_client_group fast_clients(disturbed.daemon->client_address);
  fast_client_group fast_clients_alone(undisturbed.daemon->client_address);
  slow_clients.start_slow(slow_clients_per_pattern());
  slow_clients.run_until_pausing_end(timeout);
  mixed_load_outcome outcome{disturbed.daemon->process().is_running(),
                             disturbed.peak_resident_mb(),
                             fast_clients.take_result(),
                             fast_clients_alone.take_result(),
                             slow_clients.pausing,
                             slow_clients.trickling,
                             disturbed.replica.aborted_streams()};
  BOOST_TEST_MESSAGE(
      "resident " << undisturbed.peak_resident_mb() << " MB alone, " << outcome.resident_mb
                  << " MB at most; good clients' 99th percentile "
                  << outcome.fast_clients_alone.percentile_99() << " s alone ("
                  << outcome.fast_clients_alone.finished << " answers), "
                  << outcome.fast_clients.percentile_99() << " s beside ("
                  << outcome.fast_clients.finished << "); pausing clients "
                  << outcome.pausing.completed << " whole of " << outcome.pausing.started
                  << "; trickling clients ended " << outcome.trickling.finished << " of "
                  << outcome.trickling.started << "; cut off by the replica "
                  << outcome.aborted_streams << " streams, "
                  << disturbed.replica.aborted_whole_answers() << " whole answers, taken up "
                  << disturbed.replica.resumed_streams() << "; processor time of the daemon "
                  << disturbed.daemon->process().processor_seconds() << " s");
  return outcome;
}

/// @return outcome of the mixed load, which runs only once for all test cases.
const mixed_load_outcome& mixed_load_result() {
  static const mixed_load_outcome outcome = run_mixed_load();
  return outcome;
}

} // namespace

BOOST_AUTO_TEST_SUITE(slow_crowd_test)

BOOST_AUTO_TEST_CASE(slow_readers_stay_within_the_memory_and_lose_nothing) {
  const auto& outcome = mixed_load_result();
  BOOST_TEST(outcome.is_running);
  BOOST_TEST(outcome.resident_mb < max_resident_mb);
  BOOST_TEST(outcome.fast_clients.completed == outcome.fast_clients.finished);
  BOOST_TEST(outcome.fast_clients_alone.completed == outcome.fast_clients_alone.finished);
  BOOST_TEST(outcome.pausing.completed == outcome.pausing.started);
  BOOST_TEST(outcome.pausing.falsely_completed + outcome.trickling.falsely_completed == 0U);
  BOOST_TEST(outcome.pausing.out_of_order + outcome.trickling.out_of_order +
                 outcome.fast_clients.out_of_order ==
             0U);
  BOOST_TEST(outcome.aborted_streams == 0U);
}

/// Compares fast clients of a daemon that has slow clients with those of a daemon that has none.
BOOST_AUTO_TEST_CASE(good_clients_wait_no_tenth_longer_beside_slow_ones) {
  const auto& outcome = mixed_load_result();
  BOOST_TEST(outcome.fast_clients.percentile_99() <
             outcome.fast_clients_alone.percentile_99() * (1 + max_latency_increase));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(slow_readers_test, slow_reader_fixture)

BOOST_AUTO_TEST_CASE(large_body_without_memory_is_refused_while_small_body_is_served) {
  // Two copies of a body of this size use most of the memory that the daemon grants to large bodies
  // on a machine with 160 MB.
  constexpr std::size_t large_body_bytes = 3'500'000;
  asio::io_context io;
  asio::ip::tcp::socket first(io);
  first.connect(*http::parse_endpoint(daemon->client_address));
  const std::string head = "POST /safe/whole/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: first\r\n"
                           "Authorization: Token k\r\nContent-Length: " +
                           std::to_string(large_body_bytes) + "\r\n\r\n";
  asio::write(first, asio::buffer(head));
  wait_for([&] { return metric("spurrack_held_bytes{holder=\"request_bodies\"}") > 0; });

  const auto refused =
      send({read_pattern::fast, "/safe/whole/", "large", std::string(large_body_bytes, 'b'), {}});
  BOOST_TEST(refused.status == 503U);
  BOOST_TEST(refused.is_complete);
  BOOST_TEST(refused.has_retry_after);
  BOOST_TEST(!refused.was_reset);
  BOOST_TEST(metric("spurrack_arrivals_refused_total{missing=\"memory\"}") == 1);
  const auto small =
      send({read_pattern::fast, "/safe/whole/", "small", std::string(1'000, 'b'), {}});
  BOOST_TEST(small.status == 200U);

  first.close();
  wait_for([&] { return metric("spurrack_held_bytes{holder=\"request_bodies\"}") == 0; });
  const auto accepted =
      send({read_pattern::fast, "/safe/whole/", "again", std::string(large_body_bytes, 'b'), {}});
  BOOST_TEST(accepted.status == 200U);
  wait_for([&] { return metric("spurrack_held_bytes{holder=\"kept_bodies\"}") == 0; });
  BOOST_TEST(metric("spurrack_held_bytes{holder=\"gathered_answers\"}") == 0);
}

BOOST_AUTO_TEST_CASE(client_disconnect_during_backpressure_cancels_replica_call) {
  constexpr milliseconds max_delay{500};
  asio::io_context io;
  asio::ip::tcp::socket client(io, asio::ip::tcp::v4());
  prepare_slow_socket(client);
  client.connect(*http::parse_endpoint(daemon->client_address));
  const std::string request = "POST /stream/slow/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: leaving\r\n"
                              "Authorization: Token k\r\nContent-Length: 0\r\n\r\n";
  asio::write(client, asio::buffer(request));
  wait_for([&] { return metric("spurrack_windows_closed_total") > 0; });
  BOOST_TEST(replica.active_requests() == 1U);
  client.close();
  const auto closed = std::chrono::steady_clock::now();
  wait_for([&] { return replica.active_requests() == 0; });
  const auto duration = std::chrono::steady_clock::now() - closed;
  BOOST_TEST(std::chrono::duration_cast<milliseconds>(duration).count() < max_delay.count());
  wait_for([&] { return metric("spurrack_held_bytes{holder=\"unwritten_streams\"}") == 0; });
  BOOST_TEST(metric("spurrack_held_bytes{holder=\"partial_events\"}") == 0);
}

BOOST_AUTO_TEST_SUITE_END()
