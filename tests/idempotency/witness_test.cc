/// Tests of key grants of witnesses, key acquisitions, witness lists and tickets.
#include "idempotency/key_acquisition.h"
#include "idempotency/ticket.h"
#include "idempotency/witness_lists.h"
#include "idempotency/witness_store.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace spurrack::idempotency;
namespace wire = spurrack::wire;
using spurrack::base::node_id;
using spurrack::base::time_point;
using std::chrono::seconds;

constexpr std::uint64_t list_hash = 7;

wire::record_key make_query(const std::string& request, std::uint64_t hash = list_hash) {
  wire::record_key query;
  query.set_key("k");
  query.mutable_owner()->set_request(request);
  query.set_lifetime_milliseconds(10'000);
  query.set_node_list_hash(hash);
  return query;
}

wire::record_key_reply make_reply(wire::record_verdict verdict) {
  wire::record_key_reply reply;
  reply.set_verdict(verdict);
  return reply;
}

spurrack::catalog::machine_map make_machines(const std::vector<std::string>& names) {
  spurrack::catalog::machine_map map;
  for (const auto& name : names) {
    auto machine = std::make_shared<spurrack::model::machine>();
    machine->id = name;
    machine->role = spurrack::model::machine_role::node;
    map[name] = machine;
  }
  return map;
}

} // namespace

BOOST_AUTO_TEST_SUITE(witnesses)

BOOST_AUTO_TEST_CASE(key_is_granted_to_one_request_and_only_by_a_witness_older_than_its_lifetime) {
  const time_point start{seconds(100)};
  witness_store store(start, seconds(10));
  const auto verdict = [&](const std::string& request, int at_seconds,
                           std::uint64_t hash = list_hash) {
    return store.record(make_query(request, hash), list_hash, time_point(seconds(at_seconds)))
        .verdict();
  };
  BOOST_CHECK(verdict("first", 105) == wire::TOO_YOUNG);
  BOOST_CHECK(verdict("first", 111, 8) == wire::LIST_DIFFERS);
  BOOST_CHECK(verdict("first", 112) == wire::GRANTED);
  BOOST_CHECK(verdict("first", 113) == wire::GRANTED);
  BOOST_CHECK(verdict("second", 114) == wire::HELD);
  BOOST_CHECK(verdict("second", 124) == wire::GRANTED);
  wire::key_release other_release;
  other_release.set_key("k");
  other_release.set_request("first");
  store.release(other_release);
  BOOST_CHECK(verdict("first", 125) == wire::HELD);
}

BOOST_AUTO_TEST_CASE(acquisition_needs_a_majority_of_every_witness_set) {
  const witness_set current{{node_id("a"), node_id("b"), node_id("c")}};
  const witness_set replaced{{node_id("c"), node_id("d"), node_id("e")}};
  key_acquisition acquisition("k", {current, replaced});
  BOOST_TEST(acquisition.witnesses().size() == 5U);
  BOOST_CHECK(acquisition.on_reply(node_id("a"), make_reply(wire::GRANTED)) ==
              acquisition_state::pending);
  BOOST_CHECK(acquisition.on_reply(node_id("b"), make_reply(wire::GRANTED)) ==
              acquisition_state::pending);
  BOOST_CHECK(acquisition.on_reply(node_id("d"), make_reply(wire::GRANTED)) ==
              acquisition_state::pending);
  BOOST_CHECK(acquisition.on_reply(node_id("e"), make_reply(wire::GRANTED)) ==
              acquisition_state::acquired);
  key_acquisition held_acquisition("k", {current, replaced});
  held_acquisition.on_reply(node_id("a"), make_reply(wire::GRANTED));
  held_acquisition.on_reply(node_id("d"), make_reply(wire::HELD));
  BOOST_CHECK(held_acquisition.on_reply(node_id("e"), make_reply(wire::TOO_YOUNG)) ==
              acquisition_state::held);
  BOOST_CHECK(key_acquisition("k", {}).state() == acquisition_state::refused);
}

BOOST_AUTO_TEST_CASE(replaced_node_list_is_used_until_its_lifetime_ends) {
  witness_lists lists(seconds(60));
  lists.update(make_machines({"a", "b", "c"}), time_point(seconds(0)));
  const auto first_hash = lists.current_hash();
  lists.update(make_machines({"a", "b", "d"}), time_point(seconds(10)));
  BOOST_TEST(lists.current_hash() != first_hash);
  BOOST_TEST(lists.sets_for("k", time_point(seconds(11))).size() == 2U);
  BOOST_TEST(lists.sets_for("k", time_point(seconds(71))).size() == 1U);
  lists.update(make_machines({}), time_point(seconds(72)));
  BOOST_TEST(lists.sets_for("k", time_point(seconds(73))).size() == 1U);
}

BOOST_AUTO_TEST_CASE(ticket_parses_its_own_text_and_rejects_other_text) {
  spurrack::base::seeded_random random(3);
  const auto issued = issue_ticket(node_id("zone-a~1"), 0x1234, random);
  const auto parsed = ticket::parse(issued.text());
  BOOST_TEST_REQUIRE(parsed.has_value());
  BOOST_TEST(parsed->node.text() == "zone-a~1");
  BOOST_TEST(parsed->process_start == 0x1234U);
  BOOST_TEST(parsed->nonce == issued.nonce);
  for (const auto* text : {"", "~", "a", "a~1", "a~x~1", "a~1~", "~1~2", "a~1~11111111111111111"}) {
    BOOST_TEST(!ticket::parse(text).has_value(), text);
  }
}

BOOST_AUTO_TEST_SUITE_END()
