/// Simulated fleets: number of bytes that nodes send to each other to distribute a catalog of up to
/// 1,000 replicas, after the start of the fleet, and after all nodes exited at once and were
/// started again.
#include "catalog/entry_packing.h"
#include "serving_fleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdint>
#include <string>

namespace {

using namespace spurrack;
using simulation::fleet_simulation;
using std::chrono::seconds;

constexpr int replicas_per_node = 10;

std::string replica_record(int number) {
  wire::published_replica record;
  record.set_id("i-" + std::to_string(1'000'000'007ULL * static_cast<unsigned>(number)));
  record.set_service("service-" + std::to_string(number % 5));
  record.set_address("10.64." + std::to_string(number / 200) + "." + std::to_string(number % 200) +
                     ":8363");
  record.set_zone("z" + std::to_string(number % simulation::serving_zone_count));
  record.set_version("v1");
  record.set_slots(24);
  return record.SerializeAsString();
}

simulation::simulation_settings large_catalog_settings(int nodes) {
  auto settings = simulation::serving_fleet_settings(nodes);
  for (int number = 0; number < nodes * replicas_per_node; ++number) {
    settings.records[std::string(model::replica_prefix) + "i-" + std::to_string(number)] =
        replica_record(number);
  }
  return settings;
}

/// Number of bytes of catalog messages that each node sent in its current incarnation: mean and
/// maximum over the nodes.
struct catalog_traffic {
  double mean = 0;
  double max = 0;
};

std::uint64_t catalog_bytes(const node::control_counters& control) {
  std::uint64_t bytes = 0;
  for (const auto kind : {wire::envelope::kCatalogPush, wire::envelope::kCatalogBuckets,
                          wire::envelope::kCatalogPull}) {
    bytes += control.bytes_sent_of(kind);
  }
  return bytes;
}

catalog_traffic catalog_traffic_of(const fleet_simulation& fleet, const std::string& label) {
  catalog_traffic traffic;
  double all_kinds = 0;
  const auto names = fleet.node_names();
  const auto size = static_cast<double>(names.size());
  for (const auto& name : names) {
    const auto& control = fleet.node(name).message_counters();
    const auto bytes = static_cast<double>(catalog_bytes(control));
    traffic.mean += bytes / size;
    traffic.max = std::max(traffic.max, bytes);
    all_kinds += static_cast<double>(control.bytes_sent) / size;
  }
  BOOST_TEST_MESSAGE(names.size() << " nodes, " << label << ": " << traffic.mean
                                  << " bytes of catalog per node, maximum " << traffic.max
                                  << "; all messages " << all_kinds);
  return traffic;
}

/// @return size in bytes of a compressed message with the whole catalog.
double whole_catalog_bytes(const fleet_simulation& fleet) {
  wire::catalog_push message;
  catalog::pack_entries(
      fleet.node("node-0").published_catalog().entries_in(catalog::catalog::bucket_set().set()),
      message);
  return static_cast<double>(message.ByteSizeLong());
}

/// Limit on the mean, over all nodes, of the bytes that a node sends to distribute the catalog, as
/// a multiple of the size of the whole catalog.
constexpr double max_mean_catalogs_sent = 2.5;
/// Limit on the bytes that any single node sends to distribute the catalog, as a multiple of the
/// size of the whole catalog. Higher than the limit on the mean, because all other nodes request
/// the catalog from the nodes that received it first.
constexpr double max_catalogs_sent = 40;
/// Maximum number of bytes that a node sends, besides entries, to compare its catalog with the
/// catalogs of other nodes. One comparison takes two kilobytes.
constexpr double comparison_bytes = 10'000;

void check_traffic(const fleet_simulation& fleet, const std::string& label) {
  const auto sent = catalog_traffic_of(fleet, label);
  const double catalog_size = whole_catalog_bytes(fleet);
  BOOST_TEST(sent.mean <= catalog_size * max_mean_catalogs_sent + comparison_bytes);
  BOOST_TEST(sent.max <= catalog_size * max_catalogs_sent + comparison_bytes);
}

void check_catalog_traffic_at_starts(int nodes) {
  fleet_simulation fleet(large_catalog_settings(nodes));
  fleet.start_all_nodes();
  BOOST_TEST_REQUIRE(fleet.run_until([&] { return fleet.all_ready(); }, seconds(20)));
  fleet.run_for(seconds(5));
  check_traffic(fleet, "5 s after the start");
  for (const auto& name : fleet.node_names()) {
    fleet.kill_node(name);
  }
  fleet.run_for(seconds(1));
  const auto started_at = fleet.now();
  fleet.start_all_nodes();
  BOOST_TEST(fleet.run_until([&] { return fleet.all_ready(); }, seconds(20)));
  const auto elapsed = base::to_milliseconds(fleet.now() - started_at);
  BOOST_TEST_MESSAGE("all ready " << elapsed << " ms after the restart of all nodes");
  BOOST_TEST(elapsed <= 2'000);
  fleet.run_for(seconds(5));
  check_traffic(fleet, "5 s after the restart of all nodes");
}

} // namespace

BOOST_AUTO_TEST_SUITE(large_catalog)

BOOST_AUTO_TEST_CASE(catalog_traffic_per_node_at_start_stays_limited_in_a_large_fleet) {
  for (const int nodes : {30, 100}) {
    check_catalog_traffic_at_starts(nodes);
  }
}

BOOST_AUTO_TEST_SUITE_END()
