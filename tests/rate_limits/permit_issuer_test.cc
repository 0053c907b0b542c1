/// How one node hands out permits for a limited replica, and what a node holds of them.
#include "rate_limits/permit_issuer.h"
#include "rate_limits/permit_stock.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace spurrack;
using namespace spurrack::rate_limits;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const base::time_point start{std::chrono::hours(1)};
/// A node that takes over hands out nothing before.
const base::time_point begun = start + seconds(1);

permit_query asks(const std::string& node, std::uint32_t wanted, bool is_waiting = false) {
  return {base::node_id(node), 1, wanted, is_waiting};
}

std::uint32_t count_of(const std::map<base::node_id, permit_grant>& grants,
                       const std::string& node) {
  const auto found = grants.find(base::node_id(node));
  return found == grants.end() ? 0 : found->second.count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(permit_issuer_test)

BOOST_AUTO_TEST_CASE(nothing_is_handed_out_before_what_another_issued_is_void) {
  permit_issuer issuer(start);
  issuer.set_rate(100, start);
  issuer.record_query(asks("a", 5), start + milliseconds(500));
  BOOST_TEST(issuer.issue(start + milliseconds(990)).empty());
  BOOST_TEST(count_of(issuer.issue(begun + milliseconds(100)), "a") == 5U);
}

BOOST_AUTO_TEST_CASE(permits_come_at_the_rate_and_little_is_saved_up) {
  permit_issuer issuer(start);
  issuer.set_rate(20, start);
  const auto later = begun + seconds(60);
  issuer.record_query(asks("a", 100), later);
  BOOST_TEST(count_of(issuer.issue(later), "a") == 2U);
  std::uint32_t more = 0;
  for (int step = 1; step <= 71; ++step) {
    more += count_of(issuer.issue(later + milliseconds(10 * step)), "a");
  }
  BOOST_TEST(more == 14U);
}

BOOST_AUTO_TEST_CASE(nodes_take_turns_and_those_with_waiting_requests_come_first) {
  permit_issuer issuer(start);
  issuer.set_rate(40, start);
  const auto now = begun + seconds(1);
  issuer.record_query(asks("a", 10), now);
  issuer.record_query(asks("b", 10), now);
  auto grants = issuer.issue(now);
  BOOST_TEST(count_of(grants, "a") == 2U);
  BOOST_TEST(count_of(grants, "b") == 2U);
  issuer.record_query(asks("c", 1, true), now);
  grants = issuer.issue(now + milliseconds(26));
  BOOST_TEST(count_of(grants, "c") == 1U);
  BOOST_TEST(count_of(grants, "a") + count_of(grants, "b") == 0U);
}

BOOST_AUTO_TEST_CASE(a_question_stands_for_a_while_and_a_later_one_takes_its_place) {
  permit_issuer issuer(start);
  issuer.set_rate(1, start);
  issuer.record_query(asks("a", 5), start);
  issuer.record_query({base::node_id("a"), 2, 1, false}, start);
  BOOST_TEST(issuer.next_issue_at().has_value());
  BOOST_TEST(issuer.issue(begun + seconds(2)).empty());
  BOOST_TEST(!issuer.next_issue_at());
}

BOOST_AUTO_TEST_CASE(a_stock_asks_for_what_is_wanted_and_spends_it_in_time) {
  permit_stock stock;
  BOOST_TEST(stock.permits_to_request(start) == 0U);
  stock.note_unmet_demand(start);
  stock.note_unmet_demand(start);
  BOOST_TEST(stock.permits_to_request(start) == 2U);
  stock.note_query_sent(5, 2, start);
  BOOST_TEST(stock.permits_to_request(start) == 0U);
  BOOST_TEST(!stock.add({4, 1}, start));
  BOOST_TEST(stock.add({5, 1}, start));
  BOOST_TEST(stock.has_permit(start));
  BOOST_TEST(!stock.has_permit(start + permit_lifetime));
  stock.note_sent(start);
  BOOST_TEST(!stock.has_permit(start));
  BOOST_TEST(stock.recent_sends(start) == 1U);
}

BOOST_AUTO_TEST_CASE(requests_that_wait_are_asked_for_anew_as_such) {
  permit_stock stock;
  stock.note_unmet_demand(start);
  stock.note_query_sent(1, stock.permits_to_request(start), start);
  stock.note_waiting(1, start);
  BOOST_TEST(stock.permits_to_request(start) == 1U);
  stock.note_query_sent(2, 1, start);
  BOOST_TEST(stock.permits_to_request(start) == 0U);
}

BOOST_AUTO_TEST_CASE(a_pause_makes_permits_void_also_those_on_their_way) {
  permit_stock stock;
  stock.note_unmet_demand(start);
  stock.note_query_sent(1, 1, start);
  stock.clear();
  BOOST_TEST(!stock.add({1, 1}, start));
  stock.note_unmet_demand(start);
  stock.note_query_sent(2, 1, start);
  BOOST_TEST(!stock.add({1, 1}, start));
  BOOST_TEST(stock.add({2, 1}, start));
}

BOOST_AUTO_TEST_SUITE_END()
