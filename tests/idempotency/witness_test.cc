/// Witnesses, acquisitions and tickets.
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

wire::record_key question(const std::string& request, std::uint64_t hash = list_hash) {
  wire::record_key made;
  made.set_key("k");
  made.mutable_owner()->set_request(request);
  made.set_lifetime_milliseconds(10'000);
  made.set_node_list_hash(hash);
  return made;
}

wire::record_key_reply reply(wire::record_verdict verdict) {
  wire::record_key_reply made;
  made.set_verdict(verdict);
  return made;
}

spurrack::catalog::machine_map machines(const std::vector<std::string>& names) {
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

BOOST_AUTO_TEST_CASE(grants_once_and_only_when_old_enough) {
  const time_point start{seconds(100)};
  witness_store store(start, seconds(10));
  const auto verdict = [&](const std::string& request, int at, std::uint64_t hash = list_hash) {
    return store.record(question(request, hash), list_hash, time_point(seconds(at))).verdict();
  };
  BOOST_CHECK(verdict("first", 105) == wire::TOO_YOUNG);
  BOOST_CHECK(verdict("first", 111, 8) == wire::LIST_DIFFERS);
  BOOST_CHECK(verdict("first", 112) == wire::GRANTED);
  BOOST_CHECK(verdict("first", 113) == wire::GRANTED);
  BOOST_CHECK(verdict("second", 114) == wire::HELD);
  BOOST_CHECK(verdict("second", 124) == wire::GRANTED);
  wire::key_release foreign;
  foreign.set_key("k");
  foreign.set_request("first");
  store.release(foreign);
  BOOST_CHECK(verdict("first", 125) == wire::HELD);
}

BOOST_AUTO_TEST_CASE(needs_a_majority_of_every_set) {
  const witness_set current{{node_id("a"), node_id("b"), node_id("c")}};
  const witness_set replaced{{node_id("c"), node_id("d"), node_id("e")}};
  key_acquisition asked("k", {current, replaced});
  BOOST_TEST(asked.witnesses().size() == 5U);
  BOOST_CHECK(asked.on_reply(node_id("a"), reply(wire::GRANTED)) == acquisition_state::pending);
  BOOST_CHECK(asked.on_reply(node_id("b"), reply(wire::GRANTED)) == acquisition_state::pending);
  BOOST_CHECK(asked.on_reply(node_id("d"), reply(wire::GRANTED)) == acquisition_state::pending);
  BOOST_CHECK(asked.on_reply(node_id("e"), reply(wire::GRANTED)) == acquisition_state::acquired);
  key_acquisition lost("k", {current, replaced});
  lost.on_reply(node_id("a"), reply(wire::GRANTED));
  lost.on_reply(node_id("d"), reply(wire::HELD));
  BOOST_CHECK(lost.on_reply(node_id("e"), reply(wire::TOO_YOUNG)) == acquisition_state::held);
  BOOST_CHECK(key_acquisition("k", {}).state() == acquisition_state::refused);
}

BOOST_AUTO_TEST_CASE(replaced_lists_count_for_the_window) {
  witness_lists lists(seconds(60));
  lists.update(machines({"a", "b", "c"}), time_point(seconds(0)));
  const auto first = lists.current_hash();
  lists.update(machines({"a", "b", "d"}), time_point(seconds(10)));
  BOOST_TEST(lists.current_hash() != first);
  BOOST_TEST(lists.sets_for("k", time_point(seconds(11))).size() == 2U);
  BOOST_TEST(lists.sets_for("k", time_point(seconds(71))).size() == 1U);
  lists.update(machines({}), time_point(seconds(72)));
  BOOST_TEST(lists.sets_for("k", time_point(seconds(73))).size() == 1U);
}

BOOST_AUTO_TEST_CASE(tickets_survive_their_text_form_and_nothing_else_does) {
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
