/// What it costs a fleet to learn a catalog of thousands of replicas: when it starts, in steady
/// state, and after all nodes were lost at once.
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

simulation::simulation_settings settings_of(int nodes) {
  auto settings = simulation::serving_fleet_settings(nodes);
  for (int number = 0; number < nodes * replicas_per_node; ++number) {
    settings.records[std::string(model::replica_prefix) + "i-" + std::to_string(number)] =
        replica_record(number);
  }
  return settings;
}

/// Bytes of messages about the catalog that a node of a fleet sent in its life.
struct catalog_traffic {
  double mean = 0;
  double most = 0;
};

std::uint64_t catalog_bytes(const node::control_counters& control) {
  std::uint64_t bytes = 0;
  for (const auto kind : {wire::envelope::kCatalogPush, wire::envelope::kCatalogBuckets,
                          wire::envelope::kCatalogPull}) {
    bytes += control.bytes_sent_of(kind);
  }
  return bytes;
}

catalog_traffic sent_in_this_life(const fleet_simulation& fleet, const std::string& label) {
  catalog_traffic found;
  double all_kinds = 0;
  const auto names = fleet.node_names();
  const auto size = static_cast<double>(names.size());
  for (const auto& name : names) {
    const auto& control = fleet.node(name).control();
    const auto bytes = static_cast<double>(catalog_bytes(control));
    found.mean += bytes / size;
    found.most = std::max(found.most, bytes);
    all_kinds += static_cast<double>(control.bytes_sent) / size;
  }
  BOOST_TEST_MESSAGE(names.size() << " nodes, " << label << ": " << found.mean
                                  << " bytes of catalog a node, most " << found.most
                                  << "; all messages " << all_kinds);
  return found;
}

/// @return bytes of a compressed message with the whole catalog.
double whole_catalog_bytes(const fleet_simulation& fleet) {
  wire::catalog_push message;
  catalog::pack_entries(
      fleet.node("node-0").content().entries_in(catalog::catalog::bucket_set().set()), message);
  return static_cast<double>(message.ByteSizeLong());
}

/// Copies of the whole catalog that a node sends while the fleet learns it.
constexpr double most_mean_copies = 2.5;
/// The same for those who have it first and are asked by all others.
constexpr double most_copies = 40;
/// What comparisons cost beside the entries: two kilobytes each.
constexpr double comparison_bytes = 10'000;

void check_traffic(const fleet_simulation& fleet, const std::string& label) {
  const auto sent = sent_in_this_life(fleet, label);
  const double whole = whole_catalog_bytes(fleet);
  BOOST_TEST(sent.mean <= whole * most_mean_copies + comparison_bytes);
  BOOST_TEST(sent.most <= whole * most_copies + comparison_bytes);
}

void learn_catalog(int nodes) {
  fleet_simulation fleet(settings_of(nodes));
  fleet.start_all_nodes();
  BOOST_TEST_REQUIRE(fleet.run_until([&] { return fleet.all_ready(); }, seconds(20)));
  fleet.run_for(seconds(5));
  check_traffic(fleet, "start and 5 s");
  for (const auto& name : fleet.node_names()) {
    fleet.kill_node(name);
  }
  fleet.run_for(seconds(1));
  const auto began = fleet.now();
  fleet.start_all_nodes();
  BOOST_TEST(fleet.run_until([&] { return fleet.all_ready(); }, seconds(20)));
  const auto took = base::to_milliseconds(fleet.now() - began);
  BOOST_TEST_MESSAGE("all ready " << took << " ms after all were lost");
  BOOST_TEST(took <= 2'000);
  fleet.run_for(seconds(5));
  check_traffic(fleet, "all lost, 5 s after");
}

} // namespace

BOOST_AUTO_TEST_SUITE(large_catalog)

BOOST_AUTO_TEST_CASE(a_start_costs_a_node_no_more_in_a_large_fleet) {
  for (const int nodes : {30, 100}) {
    learn_catalog(nodes);
  }
}

BOOST_AUTO_TEST_SUITE_END()
