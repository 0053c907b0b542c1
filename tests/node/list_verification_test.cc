/// Verification of the list of replicas by one node, for itself and for a node that asks. Guards
/// against an answer of a read that was sent before the question, which may have left the store
/// before the entry in question was written.
#include "node_driver.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace spurrack;
using node::source_kind;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Ready node that reads the list of replicas and waits for the answer to a watch.
struct reading_node : node_driver {
  reading_node() {
    for (int step = 0; step < 4; ++step) {
      answer(list_reads().empty() ? 0 : list_reads().back().number, 100);
      advance_time(seconds(1));
    }
    BOOST_REQUIRE(subject.is_ready());
    BOOST_REQUIRE(!list_reads().empty());
  }

  void answer(std::uint64_t read_number, base::revision revision,
              std::optional<base::store_era> era = std::nullopt, bool is_listing = false) {
    node::service_answered answered;
    answered.source = source_kind::machine_list;
    answered.service_revision = revision;
    answered.read_number = read_number;
    answered.era = era;
    answered.is_listing = is_listing;
    deliver(answered);
  }

  void ask(std::uint64_t number, source_kind source = source_kind::machine_list) {
    node::peer_message query;
    query.message.set_sender("other");
    query.message.set_sender_zone("a");
    query.message.set_sender_address("other:1");
    query.message.mutable_position_query()->set_source(static_cast<std::uint32_t>(source));
    query.message.mutable_position_query()->set_number(number);
    deliver(query);
  }

  /// @return the reads of the list of replicas that the node has started, oldest first.
  [[nodiscard]] std::vector<node::read_service> list_reads() const {
    std::vector<node::read_service> reads;
    for (const auto& command : commands) {
      const auto* read = std::get_if<node::read_service>(&command);
      if (read != nullptr && read->source == source_kind::machine_list) {
        reads.push_back(*read);
      }
    }
    return reads;
  }

  [[nodiscard]] std::vector<wire::envelope> answers() const {
    std::vector<wire::envelope> sent;
    for (const auto& command : commands) {
      const auto* message = std::get_if<wire::outgoing>(&command);
      if (message != nullptr && message->message.has_position_answer()) {
        sent.push_back(message->message);
      }
    }
    return sent;
  }

  [[nodiscard]] std::optional<base::time_point> verified_at() const {
    return subject.knowledge(source_kind::machine_list).verified_at();
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(list_verification_test, reading_node)

BOOST_AUTO_TEST_CASE(a_reader_verifies_its_list_by_a_read_that_it_sends_at_once) {
  const auto reads_before = list_reads().size();
  now += milliseconds(10);
  const auto wanted_at = now;
  subject.require_verified_list(wanted_at);
  deliver(node::time_passed{});
  BOOST_REQUIRE(list_reads().size() == reads_before + 1);
  BOOST_TEST((list_reads().back().max_hold_time <= milliseconds(1)));
  BOOST_TEST((verified_at() < wanted_at));
  now += milliseconds(300);
  answer(list_reads().back().number, 101);
  BOOST_TEST((verified_at() == wanted_at));
}

BOOST_AUTO_TEST_CASE(a_query_is_answered_from_a_read_that_was_sent_after_it) {
  const auto earlier_read = list_reads().back().number;
  now += milliseconds(10);
  ask(7);
  BOOST_REQUIRE(list_reads().back().number > earlier_read);
  BOOST_TEST(answers().empty());
  now += milliseconds(5);
  answer(list_reads().back().number, 120);
  BOOST_REQUIRE(answers().size() == 1U);
  const auto answered = answers().front();
  BOOST_TEST(answered.position_answer().number() == 7U);
  BOOST_TEST(answered.position_answer().revision() == 120U);
  // The knowledge of the reader, by which the asking node notices missing entries.
  BOOST_TEST(!answered.knowledge().empty());
}

// Guards against the answer to an earlier read that waited in a queue, for example while the
// process stood, and counts for the read that replaced it.
BOOST_AUTO_TEST_CASE(an_answer_of_a_replaced_read_verifies_nothing) {
  const auto earlier_read = list_reads().back().number;
  now += milliseconds(10);
  const auto verified_before = verified_at();
  subject.require_verified_list(now);
  ask(7);
  BOOST_REQUIRE(list_reads().back().number > earlier_read);
  answer(earlier_read, 110);
  BOOST_TEST(answers().empty());
  BOOST_TEST((verified_at() == verified_before));
  answer(0, 110);
  BOOST_TEST(answers().empty());
  BOOST_TEST((verified_at() == verified_before));
}

BOOST_AUTO_TEST_CASE(a_failed_read_answers_nothing) {
  now += milliseconds(10);
  const auto verified_before = verified_at();
  ask(7);
  deliver(node::service_failed{source_kind::machine_list});
  advance_time(milliseconds(400));
  answer(list_reads().back().number, 130);
  BOOST_TEST(answers().empty());
  BOOST_TEST((verified_at() >= verified_before));
}

// Guards against a restored store that lost the replicas of a version: their entries come back
// within two seconds.
BOOST_AUTO_TEST_CASE(a_new_era_verifies_nothing_before_its_second_listing_is_answered) {
  answer(list_reads().back().number, 110, 1);
  advance_time(seconds(5));
  now += milliseconds(10);
  const auto restored_at = now;
  answer(list_reads().back().number, 90, 2);
  BOOST_REQUIRE(list_reads().back().after == 0U);
  const auto verified_before = verified_at();
  bool was_listed_again = false;
  for (std::uint64_t number = 1; number <= 80 && !was_listed_again; ++number) {
    now += milliseconds(50);
    subject.require_verified_list(now);
    ask(number);
    const auto read = list_reads().back();
    was_listed_again = read.after == 0 && now >= restored_at + seconds(3);
    if (!was_listed_again) {
      answer(read.number, 91, 2, read.after == 0);
      BOOST_TEST(answers().empty());
      BOOST_TEST((verified_at() == verified_before));
    }
  }
  BOOST_REQUIRE(was_listed_again);
  const auto listed_at = now;
  now += milliseconds(5);
  answer(list_reads().back().number, 93, 2, true);
  BOOST_TEST((verified_at() == listed_at));
  BOOST_REQUIRE(!answers().empty());
  BOOST_TEST(answers().back().position_answer().era() == 2U);
  BOOST_TEST(answers().back().position_answer().revision() == 93U);
}

// Guards against a number of reads that grows with the number of queries.
BOOST_AUTO_TEST_CASE(queries_in_quick_succession_take_few_reads) {
  const auto reads_before = list_reads().size();
  for (std::uint64_t number = 1; number <= 200; ++number) {
    now += milliseconds(5);
    ask(number);
    // The store holds watches, as no entry changes, and answers verifying reads at once.
    if (list_reads().back().max_hold_time <= milliseconds(1)) {
      answer(list_reads().back().number, 100);
    }
    deliver(node::time_passed{});
  }
  const auto reads = list_reads().size() - reads_before;
  BOOST_TEST_MESSAGE(reads << " reads in 1 s for 200 queries");
  // Each verifying read is followed by a watch.
  BOOST_TEST(reads <= 2 * 21U);
  BOOST_TEST(answers().size() >= 180U);
}

BOOST_AUTO_TEST_CASE(queries_about_an_unknown_service_are_ignored) {
  const auto reads_before = list_reads().size();
  ask(7, source_kind::configuration);
  ask(8, static_cast<source_kind>(200));
  BOOST_TEST(list_reads().size() == reads_before);
}

BOOST_AUTO_TEST_SUITE_END()
