/// Packing of entries into messages: unpacking returns the packed entries, many entries are
/// compressed, and unreadable entries are rejected.
#include "catalog/entry_packing.h"

#include "model/serving_record_parser.h"
#include "wire/published.pb.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace spurrack;

namespace {

std::vector<wire::catalog_entry> replica_entries(int count) {
  std::vector<wire::catalog_entry> entries;
  for (int number = 0; number < count; ++number) {
    wire::published_replica record;
    record.set_id("i-" + std::to_string(7'919ULL * static_cast<unsigned>(number + 1)));
    record.set_service("service-" + std::to_string(number % 5));
    record.set_address("10.64." + std::to_string(number / 200) + "." +
                       std::to_string(number % 200) + ":8363");
    record.set_zone("zone-" + std::to_string(number % 4));
    record.set_version("v1");
    record.set_slots(24);
    wire::catalog_entry entry;
    entry.set_key(std::string(model::replica_prefix) + record.id());
    entry.set_revision(static_cast<std::uint64_t>(number) + 1);
    entry.set_value(record.SerializeAsString());
    entries.push_back(std::move(entry));
  }
  return entries;
}

} // namespace

BOOST_AUTO_TEST_SUITE(entry_packing)

BOOST_AUTO_TEST_CASE(unpacked_entries_equal_packed_entries) {
  for (const int count : {0, 1, 5, 3'000}) {
    const auto entries = replica_entries(count);
    wire::catalog_push message;
    catalog::pack_entries(entries, message);
    const auto unpacked = catalog::unpack_entries(message);
    BOOST_REQUIRE(unpacked.has_value());
    BOOST_REQUIRE(unpacked->size() == entries.size());
    for (std::size_t index = 0; index < entries.size(); ++index) {
      BOOST_TEST((*unpacked)[index].SerializeAsString() == entries[index].SerializeAsString());
    }
  }
}

BOOST_AUTO_TEST_CASE(many_entries_take_less_than_a_fourth_of_their_size) {
  const auto entries = replica_entries(3'000);
  wire::catalog_push plain;
  plain.mutable_entries()->Assign(entries.begin(), entries.end());
  wire::catalog_push packed;
  catalog::pack_entries(entries, packed);
  BOOST_TEST_MESSAGE("3,000 replicas: " << plain.ByteSizeLong() << " bytes, packed "
                                        << packed.ByteSizeLong());
  BOOST_TEST(packed.ByteSizeLong() * 4 < plain.ByteSizeLong());
}

BOOST_AUTO_TEST_CASE(unreadable_entries_are_rejected) {
  wire::catalog_push message;
  catalog::pack_entries(replica_entries(100), message);
  auto truncated = message;
  truncated.mutable_packed_entries()->resize(truncated.packed_entries().size() / 2);
  BOOST_TEST(!catalog::unpack_entries(truncated).has_value());
  message.set_packed_entries("no compressed content");
  BOOST_TEST(!catalog::unpack_entries(message).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
