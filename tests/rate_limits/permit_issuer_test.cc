/// Permits of a limited replica: the grants of an issuer, and the stock of a node.
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
/// Time before which a new issuer grants no permits.
const base::time_point first_grant_at = start + seconds(1);

permit_query query_of(const std::string& node, std::uint32_t count, bool is_waiting = false) {
  return {base::node_id(node), 1, count, is_waiting};
}

std::uint32_t granted_to(const std::map<base::node_id, permit_grant>& grants,
                         const std::string& node) {
  const auto found = grants.find(base::node_id(node));
  return found == grants.end() ? 0 : found->second.count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(permit_issuer_test)

BOOST_AUTO_TEST_CASE(no_permits_are_granted_before_those_of_the_earlier_issuer_expire) {
  permit_issuer issuer(start);
  issuer.set_rate(100, start);
  issuer.record_query(query_of("a", 5), start + milliseconds(500));
  BOOST_TEST(issuer.issue(start + milliseconds(990)).empty());
  BOOST_TEST(granted_to(issuer.issue(first_grant_at + milliseconds(100)), "a") == 5U);
}

BOOST_AUTO_TEST_CASE(permits_accrue_at_the_rate_but_without_queries_only_for_a_tenth_of_a_second) {
  permit_issuer issuer(start);
  issuer.set_rate(20, start);
  const auto later = first_grant_at + seconds(60);
  issuer.record_query(query_of("a", 100), later);
  BOOST_TEST(granted_to(issuer.issue(later), "a") == 2U);
  std::uint32_t granted = 0;
  for (int step = 1; step <= 71; ++step) {
    granted += granted_to(issuer.issue(later + milliseconds(10 * step)), "a");
  }
  BOOST_TEST(granted == 14U);
}

BOOST_AUTO_TEST_CASE(queries_are_served_in_turn_and_queries_for_waiting_requests_first) {
  permit_issuer issuer(start);
  issuer.set_rate(40, start);
  const auto now = first_grant_at + seconds(1);
  issuer.record_query(query_of("a", 10), now);
  issuer.record_query(query_of("b", 10), now);
  auto grants = issuer.issue(now);
  BOOST_TEST(granted_to(grants, "a") == 2U);
  BOOST_TEST(granted_to(grants, "b") == 2U);
  issuer.record_query(query_of("c", 1, true), now);
  grants = issuer.issue(now + milliseconds(26));
  BOOST_TEST(granted_to(grants, "c") == 1U);
  BOOST_TEST(granted_to(grants, "a") + granted_to(grants, "b") == 0U);
}

BOOST_AUTO_TEST_CASE(a_query_expires_and_is_replaced_by_a_later_query) {
  permit_issuer issuer(start);
  issuer.set_rate(1, start);
  issuer.record_query(query_of("a", 5), start);
  issuer.record_query({base::node_id("a"), 2, 1, false}, start);
  BOOST_TEST(issuer.next_issue_at().has_value());
  BOOST_TEST(issuer.issue(first_grant_at + seconds(2)).empty());
  BOOST_TEST(!issuer.next_issue_at());
}

BOOST_AUTO_TEST_CASE(a_stock_requests_permits_for_its_demand_once_and_ignores_expired_permits) {
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

BOOST_AUTO_TEST_CASE(waiting_requests_replace_a_pending_query_by_an_urgent_one) {
  permit_stock stock;
  stock.note_unmet_demand(start);
  stock.note_query_sent(1, stock.permits_to_request(start), start);
  stock.note_waiting(1, start);
  BOOST_TEST(stock.permits_to_request(start) == 1U);
  stock.note_query_sent(2, 1, start);
  BOOST_TEST(stock.permits_to_request(start) == 0U);
}

BOOST_AUTO_TEST_CASE(a_suspension_discards_permits_also_those_in_transit) {
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
