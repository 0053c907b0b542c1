/// Graceful stop of a real daemon (SIGTERM) while clients keep sending requests for streams that
/// last several seconds.
///
/// Guards against streams that a stopping node accepts and cannot complete. In a rolling restart
/// under load, stopping nodes accepted every request for three seconds after SIGTERM, and aborted
/// unfinished streams at the end of the grace period. One run truncated 92 streams in this way, the
/// earliest of them accepted 0.6 s after SIGTERM.
#include "event_replica.h"
#include "reading_client.h"
#include "single_daemon.h"
#include "soak_store.h"

#include "http/awaitable.h"
#include "http/endpoint.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <csignal>
#include <optional>
#include <thread>
#include <vector>

namespace {

using namespace spurrack;
using namespace spurrack::platform_tests;
using std::chrono::milliseconds;
namespace asio = boost::asio;

/// Grace period in the settings of the daemon: time between SIGTERM and SIGKILL.
constexpr int short_grace_seconds = 5;
/// Grace period that is longer than any request takes.
constexpr int long_grace_seconds = 20;
/// A long stream lasts three seconds. When the last requests for streams arrive, less than three
/// seconds of the short grace period are left, so these streams could not be completed.
const event_replica_options replica_options{
    .long_events = 60, .long_event_bytes = 100, .long_interval = milliseconds(50)};
/// Interval at which requests are sent, and at which idle connections are opened.
constexpr milliseconds arrival_interval{100};
/// Maximum time from sending a request to its refusal; a slower refusal would keep the client
/// waiting.
constexpr milliseconds max_refusal_time{500};

std::string configuration() {
  return R"({"version":1,"services":[{"name":"s"}],"limits":{"max_header_bytes":2000,
    "max_body_bytes":5000,"header_timeout_ms":4000,"idle_timeout_ms":15000},
    "tenants":[{"name":"t","api_keys":["k"]}],"routes":[
    {"name":"short","host":"h","path_prefix":"/stream/good/","kind":"streaming","service":"s",
     "max_attempts":1,"target_latency_ms":5000,"gap_target_ms":1000},
    {"name":"long","host":"h","path_prefix":"/stream/","kind":"streaming","service":"s",
     "max_attempts":1,"target_latency_ms":5000,"gap_target_ms":1000}]})";
}

/// Daemon under test, with the store and the streaming replica that the daemon uses.
struct stopping_daemon {
  explicit stopping_daemon(int grace) : grace_seconds(grace), replica(replica_options) {
    store.put("op/config", configuration());
    store.put("servers/i-one",
              R"({"service":"s","zone":"z","slots":500,"state":"ready","address":")" +
                  replica.address() + "\"}");
    daemon.emplace("stop", store.address(),
                   "  stop_grace_s: " + std::to_string(grace_seconds) + "\n");
  }

  int grace_seconds;
  soak_store store;
  event_replica replica;
  std::optional<single_daemon> daemon;
};

/// Outcomes of the requests that were sent while the daemon was stopping.
struct stop_outcome {
  std::size_t completed = 0;
  std::size_t refused = 0;
  /// Number of refusals that took longer than `max_refusal_time`.
  std::size_t refused_late = 0;
  /// Number of requests whose connection was accepted, but whose answer was incomplete or missing.
  std::size_t truncated = 0;
  /// Number of requests whose connection was refused.
  std::size_t not_connected = 0;
  /// Time from SIGTERM to the sending of the last request that was answered completely.
  std::chrono::steady_clock::duration latest_completed_offset{};
  /// Time after SIGTERM for which the daemon accepted connections.
  std::chrono::steady_clock::duration listening_time{};
};

/// Sends a request every `arrival_interval`, each on a new connection.
class periodic_clients {
 public:
  explicit periodic_clients(const stopping_daemon& subject) : subject_(&subject) {}

  /// Sends requests for streams before SIGTERM and waits until the streams are complete, so that
  /// the daemon learns the duration of these streams.
  void send_before_stop(const std::string& path, std::size_t streams) {
    for (std::size_t number = 0; number < streams; ++number) {
      start(path, "before" + std::to_string(number));
    }
    run();
    BOOST_REQUIRE(outcome_.completed == streams);
    outcome_ = {};
  }

  [[nodiscard]] std::chrono::steady_clock::time_point stop_started_at() const {
    return stop_started_at_;
  }

  /// Sends SIGTERM to the daemon. Then sends requests until the daemon accepts no more connections.
  stop_outcome send_during_stop(const std::string& path) {
    subject_->daemon->process().signal(SIGTERM);
    stop_started_at_ = std::chrono::steady_clock::now();
    asio::co_spawn(io_, send_periodically(path), asio::detached);
    run();
    return outcome_;
  }

 private:
  void run() {
    io_.restart();
    io_.run();
  }

  void start(const std::string& path, const std::string& id) {
    asio::co_spawn(io_, send_once(path, id), asio::detached);
  }

  asio::awaitable<void> send_once(std::string path, std::string id) {
    const auto sent = std::chrono::steady_clock::now();
    request_plan plan{read_pattern::fast, std::move(path), std::move(id), "", {}};
    const auto result = co_await send_and_read(subject_->daemon->client_address, std::move(plan));
    const bool is_refusal = result.status == 503 && result.is_complete && result.has_retry_after;
    if (is_refusal) {
      ++outcome_.refused;
      outcome_.refused_late += result.duration > max_refusal_time ? 1 : 0;
    } else if (result.status == 200 && result.is_complete) {
      ++outcome_.completed;
      outcome_.latest_completed_offset =
          std::max(outcome_.latest_completed_offset, sent - stop_started_at_);
    } else if (result.is_connected) {
      ++outcome_.truncated;
    } else {
      ++outcome_.not_connected;
    }
  }

  asio::awaitable<void> send_periodically(std::string path) {
    asio::steady_timer timer(io_);
    const auto grace_deadline = stop_started_at_ + std::chrono::seconds(subject_->grace_seconds);
    const auto should_continue = [&] {
      return outcome_.not_connected == 0 && std::chrono::steady_clock::now() < grace_deadline;
    };
    for (std::size_t number = 0; should_continue(); ++number) {
      start(path, "stop" + std::to_string(number));
      timer.expires_after(arrival_interval);
      boost::system::error_code ignored;
      co_await timer.async_wait(http::await_into(ignored));
    }
    outcome_.listening_time = std::chrono::steady_clock::now() - stop_started_at_;
  }

  const stopping_daemon* subject_;
  asio::io_context io_;
  std::chrono::steady_clock::time_point stop_started_at_;
  stop_outcome outcome_;
};

constexpr std::size_t streams_before_stop = 8;

/// Opens a connection every `arrival_interval`, on which no bytes are sent.
void open_idle_connections(const std::string& address, const std::atomic<bool>& should_stop) {
  asio::io_context io;
  std::vector<asio::ip::tcp::socket> opened;
  while (!should_stop) {
    boost::system::error_code error;
    asio::ip::tcp::socket socket(io);
    socket.connect(*http::parse_endpoint(address), error);
    if (!error) {
      opened.push_back(std::move(socket));
    }
    std::this_thread::sleep_for(arrival_interval);
  }
}

/// Stops a daemon by SIGTERM while clients send requests for `path`.
stop_outcome stop_under_load(const std::string& path, int grace_seconds) {
  stopping_daemon subject(grace_seconds);
  periodic_clients clients(subject);
  clients.send_before_stop(path, streams_before_stop);
  const auto outcome = clients.send_during_stop(path);
  BOOST_TEST_MESSAGE(path << ": whole " << outcome.completed << ", refused " << outcome.refused
                          << ", cut " << outcome.truncated << ", not connected "
                          << outcome.not_connected);
  return outcome;
}

} // namespace

BOOST_AUTO_TEST_SUITE(planned_stop_under_load)

BOOST_AUTO_TEST_CASE(a_stopping_node_takes_no_stream_that_it_cannot_end) {
  const auto outcome = stop_under_load("/stream/slow/", short_grace_seconds);
  BOOST_TEST(outcome.truncated == 0U);
  BOOST_TEST(outcome.refused_late == 0U);
  // The daemon must not refuse all requests either: streams that are requested soon after SIGTERM
  // can still be completed.
  BOOST_TEST(outcome.completed > 0U);
  BOOST_TEST(outcome.refused > 0U);
}

BOOST_AUTO_TEST_CASE(short_streams_are_served_during_stop) {
  const auto outcome = stop_under_load("/stream/good/", short_grace_seconds);
  BOOST_TEST(outcome.truncated == 0U);
  BOOST_TEST(outcome.refused_late == 0U);
  // The node must serve short streams until two readiness checks have failed, because only then are
  // clients directed to other nodes.
  BOOST_TEST((outcome.latest_completed_offset >= std::chrono::seconds(2)));
}

BOOST_AUTO_TEST_CASE(idle_connections_do_not_delay_exit_beyond_grace) {
  stopping_daemon subject(short_grace_seconds);
  periodic_clients clients(subject);
  clients.send_before_stop("/stream/slow/", streams_before_stop);
  std::atomic<bool> should_stop = false;
  std::thread idle_clients(
      [&] { open_idle_connections(subject.daemon->client_address, should_stop); });
  // The daemon accepts streams during the stop; they keep it busy until shortly before the end of
  // the grace period.
  clients.send_during_stop("/stream/slow/");
  subject.daemon->process().wait();
  const auto duration = std::chrono::steady_clock::now() - clients.stop_started_at();
  should_stop = true;
  idle_clients.join();
  BOOST_TEST((duration < std::chrono::seconds(short_grace_seconds)));
}

BOOST_AUTO_TEST_CASE(continuous_requests_do_not_delay_stop) {
  const auto outcome = stop_under_load("/stream/good/", long_grace_seconds);
  BOOST_TEST(outcome.truncated == 0U);
  BOOST_TEST((outcome.listening_time < std::chrono::seconds(6)));
}

BOOST_AUTO_TEST_SUITE_END()
