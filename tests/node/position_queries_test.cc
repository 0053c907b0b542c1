/// Choice of the node that verifies the entries of another. Guards against a time that a late,
/// foreign or outdated answer does not prove, and against nodes that all read the service at once.
#include "node/position_queries.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <vector>

using namespace spurrack;
using node::position_queries;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr base::time_point start{std::chrono::hours(1)};
constexpr catalog::store_position known{1, 100};

position_queries::reader_list readers_of(std::size_t others, std::size_t region_nodes = 6) {
  position_queries::reader_list readers;
  for (std::size_t rank = 0; rank < others; ++rank) {
    readers.others.emplace_back("reader-" + std::to_string(rank) + ":1");
  }
  readers.region_nodes = region_nodes;
  return readers;
}

struct asking_node {
  position_queries::step step(const position_queries::reader_list& readers) {
    return subject.is_due(now) ? subject.next_step(readers, known, now) : position_queries::step{};
  }

  /// Lets the node ask for a time without answers.
  /// @return the addresses that it asked, in order; "self" for a read of its own.
  std::vector<std::string> ask_for(base::duration span,
                                   const position_queries::reader_list& readers) {
    std::vector<std::string> asked;
    for (const auto end = now + span; now < end; now += milliseconds(1)) {
      const auto next = step(readers);
      if (next.to_send) {
        asked.push_back(next.to_send->reader.text());
        last = next.to_send;
      }
      if (next.should_read) {
        asked.emplace_back("self");
      }
    }
    return asked;
  }

  base::seeded_random random{1};
  position_queries subject{random};
  base::time_point now = start;
  std::optional<position_queries::query> last;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(position_queries_test, asking_node)

BOOST_AUTO_TEST_CASE(a_node_asks_the_first_reader_with_one_query_at_a_time) {
  const auto readers = readers_of(4);
  const auto asked = ask_for(milliseconds(100), readers);
  BOOST_TEST(asked == std::vector<std::string>{"reader-0:1"}, boost::test_tools::per_element());
}

// Guards against readers of older builds or without access to the service, which do not answer.
BOOST_AUTO_TEST_CASE(a_node_asks_the_next_reader_after_each_silent_one_and_reads_last) {
  const auto asked = ask_for(milliseconds(700), readers_of(2));
  BOOST_REQUIRE(asked.size() >= 3U);
  BOOST_TEST(asked[0] == "reader-0:1");
  BOOST_TEST(asked[1] == "reader-1:1");
  BOOST_TEST((std::find(asked.begin(), asked.end(), "self") != asked.end()));
}

BOOST_AUTO_TEST_CASE(a_reader_reads_itself_and_then_asks_the_other_readers) {
  auto readers = readers_of(2);
  readers.is_reader = true;
  const auto asked = ask_for(milliseconds(310), readers);
  const std::vector<std::string> expected{"self", "reader-0:1", "reader-1:1"};
  BOOST_TEST(asked == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(an_isolated_node_reads_at_once) {
  auto readers = readers_of(2);
  readers.is_isolated = true;
  BOOST_TEST(step(readers).should_read);
  BOOST_TEST(position_queries(random).next_step(readers_of(0), known, now).should_read);
}

// Guards against evidence that counts from when its answer was read.
BOOST_AUTO_TEST_CASE(an_answer_counts_from_the_sending_of_its_query_however_late_it_comes) {
  const auto readers = readers_of(2);
  const auto first = step(readers).to_send;
  BOOST_REQUIRE(first.has_value());
  now += seconds(1);
  step(readers);
  const auto verified = subject.on_answer(first->reader, first->number, {1, 101}, now);
  BOOST_REQUIRE(verified.has_value());
  BOOST_TEST((verified->at == start));
  BOOST_TEST((verified->through == catalog::store_position{1, 101}));
  BOOST_TEST(!subject.on_answer(first->reader, first->number, {1, 101}, now).has_value());
}

BOOST_AUTO_TEST_CASE(foreign_and_outdated_answers_verify_nothing) {
  const auto asked = step(readers_of(2)).to_send;
  BOOST_REQUIRE(asked.has_value());
  const base::network_address other("other:1");
  BOOST_TEST(!subject.on_answer(other, asked->number, {1, 101}, now).has_value());
  BOOST_TEST(!subject.on_answer(asked->reader, asked->number + 1, {1, 101}, now).has_value());
  BOOST_TEST(!subject.on_answer(asked->reader, asked->number, {1, 99}, now).has_value());
  BOOST_TEST(!subject.on_answer(asked->reader, asked->number, {0, 500}, now).has_value());
  BOOST_TEST(subject.on_answer(asked->reader, asked->number, known, now).has_value());
}

BOOST_AUTO_TEST_CASE(the_reader_that_answered_is_asked_again) {
  const auto readers = readers_of(3);
  ask_for(milliseconds(160), readers);
  BOOST_REQUIRE(last.has_value());
  BOOST_TEST(last->reader.text() == "reader-1:1");
  subject.on_answer(last->reader, last->number, known, now);
  const auto asked = ask_for(milliseconds(100), readers);
  BOOST_REQUIRE(!asked.empty());
  BOOST_TEST(asked.front() == "reader-1:1");
  now += position_queries::preference_lifetime;
  BOOST_TEST(ask_for(milliseconds(10), readers).front() == "reader-0:1");
}

BOOST_AUTO_TEST_CASE(queries_wait_for_the_entries_of_an_answer) {
  const auto readers = readers_of(1);
  const auto asked = step(readers).to_send;
  now += milliseconds(100);
  BOOST_REQUIRE(subject.on_answer(asked->reader, asked->number, {1, 101}, now).has_value());
  subject.await_entries(now);
  BOOST_TEST(ask_for(milliseconds(140), readers).empty());
  BOOST_TEST(!ask_for(milliseconds(20), readers).empty());
}

// Guards against nodes of a large region that all read the service because no reader answers.
BOOST_AUTO_TEST_CASE(own_reads_of_a_region_are_bounded_if_no_reader_answers) {
  constexpr std::size_t nodes = 400;
  const auto readers = readers_of(4, nodes);
  std::vector<std::unique_ptr<position_queries>> region;
  for (std::size_t index = 0; index < nodes; ++index) {
    region.push_back(std::make_unique<position_queries>(random));
  }
  std::size_t reads = 0;
  std::size_t queries = 0;
  constexpr int span_seconds = 20;
  for (; now < start + seconds(span_seconds); now += milliseconds(5)) {
    for (auto& member : region) {
      if (member->is_due(now)) {
        const auto next = member->next_step(readers, known, now);
        reads += next.should_read ? 1 : 0;
        queries += next.to_send ? 1 : 0;
      }
    }
  }
  BOOST_TEST_MESSAGE(reads << " reads and " << queries << " queries of " << nodes << " nodes in "
                           << span_seconds << " s");
  BOOST_TEST(static_cast<double>(reads) <=
             position_queries::own_reads_per_second * (span_seconds + 1));
  BOOST_TEST(reads >= nodes);
  BOOST_TEST(static_cast<double>(queries) <=
             position_queries::reader_queries_per_second * (span_seconds + 1));
}

// Guards against a list that is dated by the answer to a query which the process sent before it was
// restarted.
BOOST_AUTO_TEST_CASE(an_answer_to_a_query_of_an_earlier_life_verifies_nothing) {
  const auto asked_before = step(readers_of(1)).to_send;
  BOOST_REQUIRE(asked_before.has_value());
  position_queries restarted(random, 2'000'000);
  BOOST_REQUIRE(restarted.next_step(readers_of(1), known, now).to_send.has_value());
  BOOST_TEST(
      !restarted.on_answer(asked_before->reader, asked_before->number, {1, 101}, now).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
