/// Requests at a replica that falls silent, with what other nodes have seen of it; repeats with
/// what other nodes lend.
#include "serving_fixture.h"

using namespace spurrack;
using namespace spurrack::serving;
using std::chrono::milliseconds;

namespace {

serving_settings without_own_repeats() {
  serving_settings settings;
  settings.retry = {0, 0, std::chrono::seconds(10)};
  return settings;
}

struct told_driver : dispatcher_driver {
  explicit told_driver(const serving_settings& settings = {}) : dispatcher_driver(settings) {
    subject.set_peers(
        {{base::node_id("other"), base::zone_id("a"), base::network_address("other:1"), 1}}, 1);
  }

  void told_silent(const base::replica_id& replica, const std::string& witness) {
    wire::replica_news news;
    auto& said = *news.add_evidence();
    said.set_replica(replica.text());
    said.set_sign(wire::SIGN_SILENT);
    subject.handle_peer(base::node_id(witness), news, now);
    pass(milliseconds(1));
  }

  /// @return what was told of replicas since the last call.
  std::vector<wire::replica_news> news_sent() {
    std::vector<wire::replica_news> found;
    for (const auto& message : subject.take_messages()) {
      if (message.message.has_replica_news()) {
        found.push_back(message.message.replica_news());
      }
    }
    return found;
  }
};

/// All repeats must be borrowed.
struct borrowing_driver : told_driver {
  borrowing_driver() : told_driver(without_own_repeats()) {}

  wire::retry_lending question_asked() {
    for (const auto& message : subject.take_messages()) {
      if (message.message.has_retry_lending()) {
        return message.message.retry_lending();
      }
    }
    BOOST_FAIL("no question");
    return {};
  }

  void answer(const wire::retry_lending& asked, std::uint32_t thousandths) {
    auto reply = asked;
    reply.clear_asked();
    reply.mutable_lent()->set_service(asked.asked().service());
    reply.mutable_lent()->set_thousandths(thousandths);
    subject.handle_peer(base::node_id("other"), base::network_address("other:1"), reply, now);
    pass(milliseconds(1));
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(lost_replica_test, told_driver)

BOOST_AUTO_TEST_CASE(an_unsafe_request_at_a_replica_that_two_found_silent_is_answered_at_once) {
  arrive(1, "/unsafe/x");
  const auto replica = last<start_call>().target.replica;
  pass(milliseconds(1010));
  BOOST_TEST(all<respond>().empty());
  told_silent(replica, "other");
  pass(milliseconds(900));
  BOOST_TEST(last<respond>().status == 502);
  BOOST_TEST(last<cancel_call>().call == last<start_call>().call);
  BOOST_TEST(all<start_call>().size() == 1);
}

BOOST_AUTO_TEST_CASE(an_unsafe_request_is_not_ended_where_another_node_hears_the_replica) {
  arrive(1, "/unsafe/x");
  const auto replica = last<start_call>().target.replica;
  pass(milliseconds(1010));
  told_silent(replica, "other");
  pass(milliseconds(200));
  wire::replica_news news;
  news.add_evidence()->set_replica(replica.text());
  subject.handle_peer(base::node_id("hearer"), news, now);
  pass(milliseconds(900));
  BOOST_TEST(all<respond>().empty());
}

BOOST_AUTO_TEST_CASE(who_hears_a_replica_that_another_took_for_lost_says_so) {
  arrive(1, "/safe/x");
  const auto call = last<start_call>();
  told_silent(call.target.replica, "other");
  BOOST_TEST(news_sent().empty());
  happen(call_answered{call.call, good_head(), "body"});
  const auto news = news_sent();
  BOOST_REQUIRE(news.size() == 1);
  BOOST_TEST(news[0].evidence(0).sign() == wire::SIGN_WELL);
}

BOOST_AUTO_TEST_CASE(the_word_of_others_alone_ends_no_unsafe_request_within_its_target) {
  arrive(1, "/unsafe/x");
  told_silent(last<start_call>().target.replica, "x");
  told_silent(last<start_call>().target.replica, "y");
  pass(milliseconds(500));
  BOOST_TEST(all<respond>().empty());
  happen(call_answered{last<start_call>().call, good_head(), "body"});
  BOOST_TEST(last<respond>().status == 200);
}

BOOST_AUTO_TEST_CASE(a_safe_request_is_taken_up_elsewhere_as_soon_as_two_found_its_replica_silent) {
  arrive(1, "/safe/x");
  const auto first = last<start_call>();
  told_silent(first.target.replica, "x");
  BOOST_TEST(all<start_call>().size() == 1);
  told_silent(first.target.replica, "y");
  BOOST_REQUIRE(all<start_call>().size() == 2);
  BOOST_TEST(last<start_call>().target.replica != first.target.replica);
  BOOST_TEST(last<cancel_call>().call == first.call);
}

BOOST_AUTO_TEST_CASE(a_stream_that_goes_on_is_left_where_it_is) {
  arrive(1, "/stream/x");
  const auto call = last<start_call>();
  happen(stream_opened{call.call, good_head()});
  happen(stream_bytes{call.call, "id: 1\ndata: a\n\n"});
  pass(milliseconds(50));
  happen(stream_bytes{call.call, "id: 2\ndata: b\n\n"});
  told_silent(call.target.replica, "x");
  pass(milliseconds(50));
  happen(stream_bytes{call.call, "id: 3\ndata: c\n\n"});
  BOOST_TEST(all<start_call>().size() == 1);
}

BOOST_AUTO_TEST_CASE(silence_is_told_once_and_again_while_it_lasts) {
  arrive(1, "/unsafe/x");
  pass(milliseconds(990));
  BOOST_TEST(news_sent().empty());
  pass(milliseconds(30));
  const auto news = news_sent();
  BOOST_REQUIRE(news.size() == 1);
  BOOST_TEST(news[0].evidence(0).replica() == last<start_call>().target.replica.text());
  BOOST_TEST(news[0].evidence(0).sign() == wire::SIGN_SILENT);
  pass(milliseconds(900));
  BOOST_TEST(news_sent().empty());
  pass(milliseconds(400));
  BOOST_TEST(news_sent().size() == 1);
}

BOOST_AUTO_TEST_CASE(a_call_that_is_answered_is_no_news) {
  arrive(1, "/safe/x");
  happen(call_answered{last<start_call>().call, good_head(), "body"});
  pass(milliseconds(2000));
  BOOST_TEST(news_sent().empty());
}

BOOST_FIXTURE_TEST_CASE(a_failed_read_is_sent_again_with_what_another_node_lends,
                        borrowing_driver) {
  arrive(1, "/safe/x");
  happen(call_answered{last<start_call>().call, good_head(500), "first"});
  BOOST_TEST(all<respond>().empty());
  answer(question_asked(), 1000);
  BOOST_TEST(all<start_call>().size() == 2);
  happen(call_answered{last<start_call>().call, good_head(), "second"});
  BOOST_TEST(last<respond>().body == "second");
  BOOST_TEST(subject.counts().repeats_borrowed == 1U);
}

BOOST_FIXTURE_TEST_CASE(calls_without_progress_ask_for_a_loan_and_are_made_elsewhere_with_it,
                        borrowing_driver) {
  arrive(1, "/stream/x");
  const auto first = last<start_call>();
  pass(milliseconds(1010));
  BOOST_TEST(all<start_call>().size() == 1);
  answer(question_asked(), 1000);
  pass(milliseconds(100));
  BOOST_REQUIRE(all<start_call>().size() == 2);
  BOOST_TEST(last<start_call>().target.replica != first.target.replica);
}

BOOST_FIXTURE_TEST_CASE(where_nothing_is_lent_the_answer_is_passed_on_at_once, borrowing_driver) {
  arrive(1, "/safe/x");
  happen(call_answered{last<start_call>().call, good_head(500), "first"});
  answer(question_asked(), 0);
  BOOST_TEST(all<start_call>().size() == 1);
  BOOST_TEST(last<respond>().status == 500);
  BOOST_TEST(last<respond>().body == "first");
}

BOOST_FIXTURE_TEST_CASE(an_answer_that_never_comes_is_not_waited_for, borrowing_driver) {
  arrive(1, "/safe/x");
  happen(call_answered{last<start_call>().call, good_head(500), "first"});
  pass(milliseconds(200));
  BOOST_TEST(last<respond>().status == 500);
  BOOST_TEST(subject.active() == 0);
}

BOOST_FIXTURE_TEST_CASE(a_client_that_leaves_while_a_loan_is_awaited_leaves_nothing,
                        borrowing_driver) {
  arrive(1, "/safe/x");
  happen(call_answered{last<start_call>().call, good_head(500), "first"});
  happen(client_left{1});
  answer(question_asked(), 1000);
  BOOST_TEST(all<start_call>().size() == 1);
  BOOST_TEST(subject.active() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
