/// A real spurrackd before hundreds of clients that read slowly, pause or never read, beside some
/// that read well: what it costs in memory, what the good ones notice, and that nothing is lost.
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

/// Clients of each slow kind; a hand run may set SPURRACK_SLOW_READERS to 466 for 1,400 in all.
constexpr std::size_t usual_slow_of_each_kind = 150;
constexpr std::size_t good_clients = 50;
/// Bounds of the test: what the daemon may take of the 160 MB of a small machine.
constexpr double most_resident_mb = 110;
/// The good clients' 99th percentile may be higher by this part than that of as many clients of
/// another daemon that has no others, measured at the same time: a busy machine delays both.
constexpr double most_rise = 0.1;
constexpr milliseconds arrival_period{20};

std::size_t slow_of_each_kind() {
  const auto* text = std::getenv("SPURRACK_SLOW_READERS");
  return text == nullptr ? usual_slow_of_each_kind : std::strtoul(text, nullptr, 10);
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

/// The store, two replicas and a daemon with the limits of a small machine.
struct slow_reader_fleet {
  explicit slow_reader_fleet(const std::string& name = "main") {
    store.put("op/config", configuration());
    store.put("servers/i-one", record("s", replica));
    store.put("servers/i-good", record("good", good_replica));
    daemon.emplace("readers-" + name, store.address(),
                   resource_settings() + "  retry_ratio: 1\n  retry_allowance: 10000\n");
  }

  static std::string resource_settings() { return "  memory_mb: 160\n  max_descriptors: 4100\n"; }

  static std::string record(const std::string& service, const event_replica& published) {
    return R"({"service":")" + service +
           R"(","zone":"z","slots":2000,"state":"ready","address":")" + published.address() + "\"}";
  }

  /// @return the highest resident memory of the daemon so far, as the kernel tells it.
  [[nodiscard]] double peak_resident_mb() const {
    std::ifstream file("/proc/" + std::to_string(daemon->process().id()) + "/status");
    constexpr double kilobytes_in_a_megabyte = 1'000;
    for (std::string line; std::getline(file, line);) {
      if (line.starts_with("VmHWM:")) {
        return std::stod(line.substr(line.find(':') + 1)) / kilobytes_in_a_megabyte;
      }
    }
    return 0;
  }

  /// @return the value of a metric, named with its labels; -1 where there is none.
  [[nodiscard]] double metric(const std::string& name) const {
    const auto text = fleet::get(daemon->operators, "/metrics").body;
    const auto place = text.find("\n" + name + " ");
    return place == std::string::npos ? -1 : std::stod(text.substr(place + name.size() + 2));
  }

  /// Asks once and waits for the end.
  [[nodiscard]] reading_result ask(reading_plan plan) const {
    asio::io_context io;
    reading_result result;
    asio::co_spawn(io, ask_and_read(daemon->clients, std::move(plan)),
                   [&](const std::exception_ptr&, const reading_result& got) { result = got; });
    io.run();
    return result;
  }

  soak_store store;
  event_replica replica;
  /// Of the good clients, so that they wait for nothing that the test itself is slow at.
  event_replica good_replica;
  std::optional<single_daemon> daemon;
};

/// What all clients of one way to read got.
struct group_result {
  std::size_t asked = 0;
  std::size_t ended = 0;
  std::size_t whole = 0;
  std::size_t out_of_order = 0;
  /// Complete by their framing although events were missing.
  std::size_t falsely_complete = 0;
  std::vector<double> seconds;

  void add(const reading_result& result, std::size_t events) {
    ++ended;
    const bool whole_here = result.complete && result.status == 200 && result.events == events;
    whole += whole_here ? 1 : 0;
    falsely_complete += result.complete && result.status == 200 && !whole_here ? 1 : 0;
    out_of_order += result.in_order ? 0 : 1;
    seconds.push_back(std::chrono::duration<double>(result.took).count());
  }
  [[nodiscard]] double percentile_99() const {
    auto sorted = seconds;
    std::sort(sorted.begin(), sorted.end());
    constexpr double part = 0.99;
    return sorted.empty()
               ? 0
               : sorted[static_cast<std::size_t>(part * static_cast<double>(sorted.size() - 1))];
  }
};

/// Clients that read well, on a thread of their own. They ask again and again.
class good_crowd {
 public:
  explicit good_crowd(std::string address) : address_(std::move(address)) {
    for (std::size_t number = 0; number < good_clients; ++number) {
      asio::co_spawn(io_, ask_repeatedly("good" + std::to_string(number)), asio::detached);
    }
    thread_ = std::thread([this] { io_.run(); });
  }
  ~good_crowd() {
    io_.stop();
    thread_.join();
  }
  good_crowd(const good_crowd&) = delete;
  good_crowd& operator=(const good_crowd&) = delete;

  /// @return what they got since the last call.
  group_result take() {
    const std::lock_guard lock(mutex_);
    return std::exchange(result_, {});
  }

 private:
  asio::awaitable<void> ask_repeatedly(std::string id) {
    const event_replica_load load;
    for (std::size_t number = 0;; ++number) {
      reading_plan plan{reading::well, "/stream/good/", id + "-" + std::to_string(number), "", {}};
      const auto result = co_await ask_and_read(address_, std::move(plan));
      const std::lock_guard lock(mutex_);
      result_.add(result, load.short_events);
    }
  }

  std::string address_;
  asio::io_context io_;
  std::mutex mutex_;
  group_result result_;
  std::thread thread_;
};

/// Clients that read slowly.
class reading_crowd {
 public:
  explicit reading_crowd(const slow_reader_fleet& fleet) : fleet_(&fleet) {}

  /// One client of each slow kind every `arrival_period`: what good clients notice is to be the
  /// slow reading, not a burst of arrivals.
  void start_slow(std::size_t of_each_kind) {
    trickling.asked = pausing.asked = never.asked = of_each_kind;
    asio::co_spawn(io_, arrive_one_by_one(of_each_kind), asio::detached);
  }

  /// Runs until the pausing clients have their answers.
  void run_until_pausing_end(milliseconds longest) {
    const auto limit = std::chrono::steady_clock::now() + longest;
    while (pausing.ended < pausing.asked && std::chrono::steady_clock::now() < limit) {
      io_.run_one_for(milliseconds(100));
    }
  }

  group_result trickling;
  group_result pausing;
  group_result never;

 private:
  asio::awaitable<void> ask_once(reading_plan plan, group_result& group) {
    const event_replica_load load;
    const auto result = co_await ask_and_read(fleet_->daemon->clients, std::move(plan));
    group.add(result, load.long_events);
  }

  asio::awaitable<void> arrive_one_by_one(std::size_t of_each_kind) {
    asio::steady_timer timer(io_);
    for (std::size_t number = 0; number < of_each_kind; ++number) {
      const auto id = std::to_string(number);
      start({reading::trickle, "/stream/slow/", "trickle" + id, "", {}}, trickling);
      start({reading::pausing, "/stream/slow/", "pausing" + id, ""}, pausing);
      start({reading::never, "/safe/whole/", "never" + id, "", {}}, never);
      timer.expires_after(arrival_period);
      boost::system::error_code ignored;
      co_await timer.async_wait(http::await_into(ignored));
    }
  }

  void start(reading_plan plan, group_result& group) {
    asio::co_spawn(io_, ask_once(std::move(plan), group), asio::detached);
  }

  const slow_reader_fleet* fleet_;
  asio::io_context io_;
};

/// What became of good and slow clients side by side.
struct crowd_outcome {
  bool is_running = false;
  double resident_mb = 0;
  group_result good;
  group_result good_alone;
  group_result pausing;
  group_result trickling;
  std::size_t streams_cut_off = 0;
};

crowd_outcome play_crowd() {
  constexpr milliseconds longest{30'000};
  slow_reader_fleet fleet;
  reading_crowd crowd(fleet);
  slow_reader_fleet undisturbed("undisturbed");
  good_crowd good(fleet.daemon->clients);
  good_crowd good_alone(undisturbed.daemon->clients);
  crowd.start_slow(slow_of_each_kind());
  crowd.run_until_pausing_end(longest);
  crowd_outcome seen{fleet.daemon->process().running(),
                     fleet.peak_resident_mb(),
                     good.take(),
                     good_alone.take(),
                     crowd.pausing,
                     crowd.trickling,
                     fleet.replica.streams_cut_off()};
  BOOST_TEST_MESSAGE(
      "resident " << undisturbed.peak_resident_mb() << " MB alone, " << seen.resident_mb
                  << " MB at most; good clients' 99th percentile "
                  << seen.good_alone.percentile_99() << " s alone (" << seen.good_alone.ended
                  << " answers), " << seen.good.percentile_99() << " s beside (" << seen.good.ended
                  << "); pausing clients " << seen.pausing.whole << " whole of "
                  << seen.pausing.asked << "; trickling clients ended " << seen.trickling.ended
                  << " of " << seen.trickling.asked << "; cut off by the replica "
                  << seen.streams_cut_off << " streams, " << fleet.replica.whole_answers_cut_off()
                  << " whole answers, taken up " << fleet.replica.taken_up()
                  << "; processor time of the daemon "
                  << fleet.daemon->process().processor_seconds() << " s");
  return seen;
}

/// Played once for all cases that ask.
const crowd_outcome& crowd_seen() {
  static const crowd_outcome seen = play_crowd();
  return seen;
}

} // namespace

BOOST_AUTO_TEST_SUITE(slow_crowd_test)

BOOST_AUTO_TEST_CASE(slow_readers_stay_within_the_memory_and_lose_nothing) {
  const auto& seen = crowd_seen();
  BOOST_TEST(seen.is_running);
  BOOST_TEST(seen.resident_mb < most_resident_mb);
  BOOST_TEST(seen.good.whole == seen.good.ended);
  BOOST_TEST(seen.good_alone.whole == seen.good_alone.ended);
  BOOST_TEST(seen.pausing.whole == seen.pausing.asked);
  BOOST_TEST(seen.pausing.falsely_complete + seen.trickling.falsely_complete == 0U);
  BOOST_TEST(seen.pausing.out_of_order + seen.trickling.out_of_order + seen.good.out_of_order ==
             0U);
  BOOST_TEST(seen.streams_cut_off == 0U);
}

BOOST_AUTO_TEST_CASE(good_clients_wait_no_tenth_longer_beside_slow_ones) {
  const auto& seen = crowd_seen();
  BOOST_TEST(seen.good.percentile_99() < seen.good_alone.percentile_99() * (1 + most_rise));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(slow_readers_test, slow_reader_fleet)

BOOST_AUTO_TEST_CASE(a_large_body_without_memory_is_refused_at_once_and_a_small_one_is_not) {
  // Two copies of such a body are most of what large bodies may take on a machine of 160 MB.
  constexpr std::size_t large = 3'500'000;
  asio::io_context io;
  asio::ip::tcp::socket first(io);
  first.connect(*http::parse_endpoint(daemon->clients));
  const std::string head = "POST /safe/whole/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: first\r\n"
                           "Authorization: Token k\r\nContent-Length: " +
                           std::to_string(large) + "\r\n\r\n";
  asio::write(first, asio::buffer(head));
  wait_for([&] { return metric("spurrack_held_bytes{holder=\"request_bodies\"}") > 0; });

  const auto refused = ask({reading::well, "/safe/whole/", "large", std::string(large, 'b'), {}});
  BOOST_TEST(refused.status == 503U);
  BOOST_TEST(refused.complete);
  BOOST_TEST(refused.has_retry_after);
  BOOST_TEST(!refused.reset);
  BOOST_TEST(metric("spurrack_arrivals_refused_total{missing=\"memory\"}") == 1);
  const auto small = ask({reading::well, "/safe/whole/", "small", std::string(1'000, 'b'), {}});
  BOOST_TEST(small.status == 200U);

  first.close();
  wait_for([&] { return metric("spurrack_held_bytes{holder=\"request_bodies\"}") == 0; });
  const auto taken = ask({reading::well, "/safe/whole/", "again", std::string(large, 'b'), {}});
  BOOST_TEST(taken.status == 200U);
  wait_for([&] { return metric("spurrack_held_bytes{holder=\"kept_bodies\"}") == 0; });
  BOOST_TEST(metric("spurrack_held_bytes{holder=\"gathered_answers\"}") == 0);
}

BOOST_AUTO_TEST_CASE(a_client_that_closes_while_it_is_not_read_for_ends_its_replicas_work) {
  constexpr milliseconds bound{500};
  asio::io_context io;
  asio::ip::tcp::socket client(io, asio::ip::tcp::v4());
  prepare_slow_socket(client);
  client.connect(*http::parse_endpoint(daemon->clients));
  const std::string request = "POST /stream/slow/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: leaving\r\n"
                              "Authorization: Token k\r\nContent-Length: 0\r\n\r\n";
  asio::write(client, asio::buffer(request));
  wait_for([&] { return metric("spurrack_windows_closed_total") > 0; });
  BOOST_TEST(replica.under_way() == 1U);
  client.close();
  const auto closed = std::chrono::steady_clock::now();
  wait_for([&] { return replica.under_way() == 0; });
  const auto took = std::chrono::steady_clock::now() - closed;
  BOOST_TEST(std::chrono::duration_cast<milliseconds>(took).count() < bound.count());
  wait_for([&] { return metric("spurrack_held_bytes{holder=\"unwritten_streams\"}") == 0; });
  BOOST_TEST(metric("spurrack_held_bytes{holder=\"partial_events\"}") == 0);
}

BOOST_AUTO_TEST_SUITE_END()
