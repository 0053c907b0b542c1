/// Real daemon beside odd entries of 17 MB among those of the replicas. Guards against nodes that
/// end, stop following the list of replicas, or are ready with an empty list.
#include "http_text.h"
#include "repeated_text.h"
#include "scripted_server.h"
#include "single_daemon.h"
#include "soak_store.h"

#include <boost/test/unit_test.hpp>

#include <atomic>

namespace {

using namespace spurrack;
using namespace spurrack::platform_tests;

constexpr std::uint64_t max_resident_bytes = 64'000'000;

std::string entry_of(const std::string& address, const std::string& state = "ready") {
  return R"({"service":"s","zone":"z","slots":4,"state":")" + state + R"(","address":")" + address +
         "\"}";
}

/// Replica that counts the requests that it serves.
struct counting_replica {
  std::atomic<int> requests = 0;
  scripted_server server{[this](const http_request& request) {
    ++requests;
    return scripted_answer{http_message("200 OK",
                                        "X-Request-Id: " + std::string(request["X-Request-Id"]) +
                                            "\r\nX-Response-Seal: s\r\n",
                                        "served")};
  }};
};

void put_odd_entries(soak_store& store) {
  store.put("servers/nested", repeat("{\"a\": ", 2'100'000));
  store.put("servers/version", R"({"version":")" + std::string(3'000'000, 'v') + "\"}");
  store.put("servers/zone", R"({"zone":")" + std::string(1'000'000, 'z') + "\"}");
  store.put("servers/full", std::string(1'048'576, '['));
  store.put("servers/a b&c#d%41\n", "{");
  store.put("servers/\xff\xfe", "{}");
}

/// Sends requests until one is served by the replica.
bool serves_through(const single_daemon& daemon, const counting_replica& replica) {
  constexpr int max_requests = 500;
  static int number = 0;
  const int served_before = replica.requests;
  for (int sent = 0; sent < max_requests && replica.requests == served_before; ++sent) {
    fleet::call({daemon.client_address,
                 "POST",
                 "/safe/x",
                 {{"Host", "h"},
                  {"X-Request-Id", "r" + std::to_string(++number)},
                  {"X-Deadline-Ms", "2000"}},
                 ""});
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return replica.requests > served_before;
}

const std::string configuration =
    R"({"version":1,"services":[{"name":"s"}],"routes":[{"name":"safe","host":"h",
        "path_prefix":"/safe/","kind":"safe","service":"s","max_attempts":2}]})";

} // namespace

BOOST_AUTO_TEST_SUITE(odd_entries_test)

BOOST_AUTO_TEST_CASE(a_node_that_starts_beside_odd_entries_serves) {
  soak_store store;
  counting_replica replica;
  store.put("op/config", configuration);
  put_odd_entries(store);
  store.put("servers/sound", entry_of(replica.server.address()));
  const single_daemon daemon("odd-start", store.address(), "");
  BOOST_TEST(serves_through(daemon, replica));
  BOOST_TEST(daemon.process().resident_bytes() < max_resident_bytes);
  const auto log = daemon.log();
  for (const std::string key : {"nested", "version", "zone", "full"}) {
    BOOST_TEST(log.find("replicas/" + key) != std::string::npos, key);
  }
}

BOOST_AUTO_TEST_CASE(a_node_follows_the_list_beside_odd_entries) {
  soak_store store;
  counting_replica first;
  counting_replica second;
  store.put("op/config", configuration);
  store.put("servers/first", entry_of(first.server.address()));
  const single_daemon daemon("odd-watch", store.address(), "");
  BOOST_TEST(serves_through(daemon, first));
  put_odd_entries(store);
  store.put("servers/first", entry_of(first.server.address(), "draining"));
  store.put("servers/second", entry_of(second.server.address()));
  BOOST_TEST(serves_through(daemon, second));
  const int served_before = first.requests;
  BOOST_TEST(serves_through(daemon, second));
  BOOST_TEST(first.requests == served_before);
  BOOST_TEST(daemon.process().resident_bytes() < max_resident_bytes);
}

BOOST_AUTO_TEST_SUITE_END()
