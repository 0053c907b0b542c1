/// Knowledge of a node about a platform service: which confirmations cover the entries of the node.
/// Guards against a node that counts as current although it lacks entries.
#include "catalog/source_knowledge.h"

#include <boost/test/unit_test.hpp>

using namespace spurrack;
using namespace spurrack::catalog;
using std::chrono::milliseconds;

namespace {

constexpr base::time_point start{std::chrono::hours(1)};

} // namespace

BOOST_AUTO_TEST_SUITE(source_knowledge_test)

BOOST_AUTO_TEST_CASE(a_confirmation_of_entries_that_the_node_lacks_does_not_make_it_current) {
  source_knowledge subject;
  subject.advance({1, 10});
  subject.confirm({{1, 10}, start, "a"});
  subject.note_peer_position({1, 12});
  subject.confirm({{1, 12}, start + milliseconds(500), "b"});
  BOOST_TEST(subject.is_behind());
  BOOST_TEST((subject.age(start + milliseconds(600)) == milliseconds(600)));
  subject.add_range({1, 10}, {1, 12});
  BOOST_TEST(!subject.is_behind());
  BOOST_TEST((subject.age(start + milliseconds(600)) == milliseconds(100)));
  BOOST_TEST(subject.confirmed()->reader == "b");
}

BOOST_AUTO_TEST_CASE(a_range_that_does_not_join_the_known_entries_is_not_counted) {
  source_knowledge subject;
  subject.advance({1, 10});
  subject.add_range({1, 11}, {1, 12});
  BOOST_TEST((subject.known_through() == store_position{1, 10}));
  subject.add_range({1, 8}, {1, 12});
  BOOST_TEST((subject.known_through() == store_position{1, 12}));
}

BOOST_AUTO_TEST_CASE(a_later_era_is_ahead_although_its_revisions_are_lower) {
  source_knowledge subject;
  subject.advance({1, 100});
  subject.note_peer_position({2, 90});
  BOOST_TEST(subject.is_behind());
  subject.advance({2, 90});
  BOOST_TEST(!subject.is_behind());
}

BOOST_AUTO_TEST_CASE(an_earlier_confirmation_does_not_replace_a_later_one) {
  source_knowledge subject;
  subject.advance({1, 10});
  subject.confirm({{1, 10}, start + milliseconds(500), "a"});
  subject.confirm({{1, 9}, start, "b"});
  BOOST_TEST(subject.confirmed()->reader == "a");
  BOOST_TEST(!source_knowledge().age(start).has_value());
}

// Guards against a list that counts as verified although the node lacks entries of it.
BOOST_AUTO_TEST_CASE(a_verified_position_counts_once_the_node_has_all_entries_through_it) {
  source_knowledge subject;
  subject.advance({1, 10});
  subject.verify({1, 10}, start);
  BOOST_TEST((subject.verified_at() == start));
  subject.verify({1, 12}, start + milliseconds(100));
  subject.verify({1, 14}, start + milliseconds(200));
  BOOST_TEST((subject.verified_at() == start));
  subject.add_range({1, 10}, {1, 13});
  BOOST_TEST((subject.verified_at() == start + milliseconds(100)));
  subject.add_range({1, 13}, {1, 14});
  BOOST_TEST((subject.verified_at() == start + milliseconds(200)));
}

// Guards against a position of an era whose last entries the node never received.
BOOST_AUTO_TEST_CASE(a_verified_position_of_an_earlier_era_than_the_entries_does_not_count) {
  source_knowledge subject;
  subject.advance({1, 10});
  subject.verify({1, 12}, start);
  subject.advance({2, 5});
  BOOST_TEST(!subject.verified_at().has_value());
  subject.verify({1, 12}, start);
  BOOST_TEST(!subject.verified_at().has_value());
  subject.verify({2, 5}, start);
  BOOST_TEST((subject.verified_at() == start));
}

// Guards against age that messages tell being taken for a verified list.
BOOST_AUTO_TEST_CASE(a_confirmation_by_a_message_verifies_nothing) {
  source_knowledge subject;
  subject.advance({1, 10});
  subject.confirm({{1, 10}, start, "a"});
  BOOST_TEST(!subject.verified_at().has_value());
}

// Guards against an earlier time that replaces a later one if answers arrive out of order.
BOOST_AUTO_TEST_CASE(the_latest_verified_time_counts) {
  source_knowledge subject;
  subject.advance({1, 10});
  subject.verify({1, 10}, start + milliseconds(100));
  subject.verify({1, 9}, start);
  BOOST_TEST((subject.verified_at() == start + milliseconds(100)));
}

BOOST_AUTO_TEST_SUITE_END()
