/// Guards against records of crashing requests that are evicted by records of sound ones, and
/// against changes of the records that what is derived from them does not follow.
#include "quarantine/crash_records.h"

#include <boost/test/unit_test.hpp>

#include <array>

using namespace spurrack;
using namespace spurrack::quarantine;

namespace {

const base::time_point start{std::chrono::hours(1)};

suspect suspect_of(std::size_t number) {
  std::array<std::uint8_t, suspect_digest::byte_count> bytes{};
  bytes[0] = static_cast<std::uint8_t>(number % 256);
  bytes[1] = static_cast<std::uint8_t>(number / 256);
  return {suspect_digest(bytes)};
}

/// Creates a record with one exit, which happened so many seconds after `start`.
void add_record(crash_records& records, std::size_t number, std::size_t second) {
  records.find_or_create(suspect_of(number)).exits = {
      {number, start + std::chrono::seconds(second)}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(crash_records_test)

BOOST_AUTO_TEST_CASE(the_record_of_a_known_suspect_is_returned) {
  crash_records records;
  add_record(records, 1, 0);
  BOOST_TEST(records.find_or_create(suspect_of(1)).exits.size() == 1U);
  BOOST_TEST(records.find(suspect_of(2).digest) == nullptr);
  BOOST_TEST(records.all().size() == 1U);
}

BOOST_AUTO_TEST_CASE(the_least_recently_updated_of_the_records_with_fewest_exits_is_evicted) {
  crash_records records;
  for (std::size_t number = 0; number < crash_records::max_records; ++number) {
    add_record(records, number, 10 + number);
  }
  records.find(suspect_of(0).digest)->exits.push_back({99, start});
  const auto revision = records.revision();
  add_record(records, crash_records::max_records, 0);
  BOOST_TEST(records.all().size() == crash_records::max_records);
  BOOST_TEST(records.find(suspect_of(0).digest) != nullptr);
  BOOST_TEST(records.find(suspect_of(1).digest) == nullptr);
  BOOST_TEST(records.find(suspect_of(2).digest) != nullptr);
  BOOST_TEST(records.revision() > revision);
}

BOOST_AUTO_TEST_CASE(a_removal_changes_the_revision_and_an_empty_one_does_not) {
  crash_records records;
  add_record(records, 1, 0);
  const auto revision = records.revision();
  records.remove_if([](const crash_record& record) { return record.exits.empty(); });
  BOOST_TEST(records.revision() == revision);
  records.remove_if([](const crash_record& record) { return !record.exits.empty(); });
  BOOST_TEST(records.revision() > revision);
  BOOST_TEST(records.empty());
}

BOOST_AUTO_TEST_SUITE_END()
