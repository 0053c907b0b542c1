/// Records of the origins of streams.
#include "streams/origin_registry.h"

#include <boost/test/unit_test.hpp>

using namespace spurrack;
using namespace spurrack::streams;
using std::chrono::seconds;

namespace {

const base::time_point start{std::chrono::hours(1)};
const stream_origin first{"llm", base::software_version("v1")};
const stream_origin second{"llm", base::software_version("v2")};

stream_key key(const std::string& attempt, const std::string& tenant = "tenant") {
  return key_of(tenant, base::request_id(attempt));
}

} // namespace

BOOST_AUTO_TEST_SUITE(origin_registry_test)

BOOST_AUTO_TEST_CASE(origin_is_known_until_no_client_resumes_the_stream) {
  origin_registry registry;
  registry.record(key("a"), {first, 1, true}, start + seconds(10), true, start);
  BOOST_TEST((*registry.find(key("a"), start + seconds(9))->origin == first));
  BOOST_TEST(registry.find(key("a"), start + seconds(10)) == nullptr);
  registry.drop_expired(start + seconds(10));
  BOOST_TEST(registry.size() == 0U);
}

BOOST_AUTO_TEST_CASE(stream_of_another_tenant_is_not_found) {
  origin_registry registry;
  registry.record(key("a"), {first, 1, true}, start + seconds(10), true, start);
  BOOST_TEST(registry.find(key("a", "other"), start) == nullptr);
}

BOOST_AUTO_TEST_CASE(later_call_replaces_the_origin_in_any_order_of_arrival) {
  for (const bool is_bound : {false, true}) {
    origin_registry registry;
    registry.record(key("a"), {second, 2, is_bound}, start + seconds(10), false, start);
    registry.record(key("a"), {first, 1, is_bound}, start + seconds(10), false, start);
    BOOST_TEST((*registry.find(key("a"), start)->origin == second));
    registry.record(key("b"), {first, 1, is_bound}, start + seconds(10), false, start);
    registry.record(key("b"), {second, 2, is_bound}, start + seconds(10), false, start);
    BOOST_TEST((*registry.find(key("b"), start)->origin == second));
  }
}

/// A client may use one id for two attempts; the origin of its stream is then not known.
BOOST_AUTO_TEST_CASE(contradictory_origins_are_unknown) {
  for (const bool is_bound : {false, true}) {
    origin_registry registry;
    registry.record(key("a"), {first, 1, is_bound}, start + seconds(10), false, start);
    registry.record(key("a"), {second, 1, is_bound}, start + seconds(10), false, start);
    BOOST_TEST(registry.find(key("a"), start)->origin == nullptr);
    BOOST_TEST(registry.find(key("a"), start)->is_bound == is_bound);
  }
}

BOOST_AUTO_TEST_CASE(contradiction_that_another_node_told_is_kept) {
  origin_registry registry;
  registry.record_contradiction(key("a"), 1, true, start + seconds(10), start);
  registry.record(key("a"), {first, 1, true}, start + seconds(10), false, start);
  BOOST_REQUIRE(registry.find(key("a"), start) != nullptr);
  BOOST_TEST(registry.find(key("a"), start)->origin == nullptr);
}

/// Guards against a bound origin that the record of an older build replaces, whose call may have
/// brought no event.
BOOST_AUTO_TEST_CASE(bound_origin_replaces_an_unbound_one_and_not_the_reverse) {
  origin_registry registry;
  registry.record(key("a"), {first, 1, false}, start + seconds(10), false, start);
  BOOST_TEST(!registry.find(key("a"), start)->is_bound);
  registry.record(key("a"), {second, 2, true}, start + seconds(10), false, start);
  BOOST_TEST((*registry.find(key("a"), start)->origin == second));
  BOOST_TEST(registry.find(key("a"), start)->is_bound);
  registry.record(key("a"), {first, 1, false}, start + seconds(10), false, start);
  BOOST_TEST((*registry.find(key("a"), start)->origin == second));
  BOOST_TEST(registry.find(key("a"), start)->is_bound);
  registry.record(key("a"), {second, 3, false}, start + seconds(10), false, start);
  BOOST_TEST(registry.find(key("a"), start)->is_bound);
  BOOST_TEST(registry.find(key("a"), start)->call == 3U);
  registry.record(key("a"), {first, 4, false}, start + seconds(10), false, start);
  BOOST_TEST(registry.find(key("a"), start)->origin == nullptr);
  BOOST_TEST(!registry.find(key("a"), start)->is_bound);
}

BOOST_AUTO_TEST_CASE(bound_statement_of_the_same_origin_binds_the_record) {
  origin_registry registry;
  registry.record(key("a"), {first, 2, false}, start + seconds(10), false, start);
  registry.record(key("a"), {first, 1, true}, start + seconds(10), false, start);
  BOOST_TEST((*registry.find(key("a"), start)->origin == first));
  BOOST_TEST(registry.find(key("a"), start)->is_bound);
}

/// Only a contradiction of bound origins shows that nobody can know the origin.
BOOST_AUTO_TEST_CASE(contradiction_is_bound_if_both_origins_are) {
  for (const bool is_bound : {false, true}) {
    origin_registry registry;
    registry.record(key("a"), {first, 1, true}, start + seconds(10), false, start);
    registry.record(key("a"), {second, 1, is_bound}, start + seconds(10), false, start);
    BOOST_TEST(registry.find(key("a"), start)->origin == nullptr);
    BOOST_TEST(registry.find(key("a"), start)->is_bound == is_bound);
  }
}

BOOST_AUTO_TEST_CASE(records_are_bounded_and_the_first_to_expire_are_dropped) {
  origin_registry registry;
  for (std::size_t number = 0; number <= origin_registry::max_records; ++number) {
    registry.record(key(std::to_string(number)), {first, 1, true},
                    start + seconds(10) + std::chrono::milliseconds(number), false, start);
  }
  BOOST_TEST(registry.size() == origin_registry::max_records);
  BOOST_TEST(registry.dropped_early() == 1U);
  BOOST_TEST(registry.find(key("0"), start) == nullptr);
  BOOST_TEST(registry.find(key("1"), start) != nullptr);
}

BOOST_AUTO_TEST_CASE(only_streams_that_are_open_here_are_listed) {
  origin_registry registry;
  registry.record(key("open"), {first, 1, true}, start + seconds(10), true, start);
  registry.record(key("complete"), {first, 1, true}, start + seconds(10), true, start);
  registry.record(key("kept"), {first, 1, true}, start + seconds(10), false, start);
  registry.note_completed(key("complete"));
  const auto open = registry.open_streams_of("llm");
  BOOST_REQUIRE(open.size() == 1U);
  BOOST_TEST((open.front() == key("open")));
  BOOST_TEST(registry.open_streams_of("other").empty());
}

BOOST_AUTO_TEST_SUITE_END()
