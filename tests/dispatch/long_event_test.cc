/// Streams whose replica sends an event, a comment or a line without end. Guards against one call
/// that takes the whole memory of the node, so that the streams of other clients end.
#include "serving_fixture.h"

using namespace spurrack;
using namespace spurrack::serving;

namespace {

constexpr std::size_t max_event_bytes = 1'000;
/// Capacity of the byte budget; many events of the maximum size fit.
constexpr std::size_t budget_bytes = 100'000;

serving_settings settings_with_limit() {
  serving_settings settings;
  settings.max_event_bytes = max_event_bytes;
  return settings;
}

struct long_event_driver : dispatcher_driver {
  long_event_driver() : dispatcher_driver(settings_with_limit()) {
    subject.set_byte_budget(budget);
  }

  /// Begins a stream. @return its call.
  start_call begin(base::caller_id client, const std::string& path) {
    send_request(client, path);
    auto call = last<start_call>();
    deliver(stream_opened{call.call, good_head()});
    return call;
  }

  [[nodiscard]] bool is_cancelled(base::call_id call) const {
    const auto cancelled = all<cancel_call>();
    return std::any_of(cancelled.begin(), cancelled.end(),
                       [&](const cancel_call& command) { return command.call == call; });
  }

  std::shared_ptr<flow::byte_budget> budget = std::make_shared<flow::byte_budget>(budget_bytes);
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(long_event_test, long_event_driver)

BOOST_AUTO_TEST_CASE(a_call_whose_event_does_not_end_is_ended) {
  const std::vector<std::string> endless{std::string(100, 'x'), ": " + std::string(98, 'c') + "\n",
                                         "data: " + std::string(93, 'x') + "\n"};
  base::caller_id client = 0;
  for (const auto& bytes : endless) {
    const auto call = begin(++client, "/fixed/x");
    deliver(stream_bytes{call.call, "data: whole\n\n"});
    for (int sent = 0; sent < 20 && !is_cancelled(call.call); ++sent) {
      deliver(stream_bytes{call.call, bytes});
      BOOST_TEST(budget->held() <= max_event_bytes);
    }
    BOOST_TEST(is_cancelled(call.call));
    BOOST_TEST(!last<end_stream>().complete);
    BOOST_TEST(budget->held() == 0U);
  }
  BOOST_TEST(subject.counts().long_events == endless.size());
}

BOOST_AUTO_TEST_CASE(events_up_to_the_limit_are_forwarded) {
  const auto call = begin(1, "/stream/x");
  const std::string event = "data: " + std::string(max_event_bytes - 8, 'x') + "\n\n";
  deliver(stream_bytes{call.call, event.substr(0, 500)});
  deliver(stream_bytes{call.call, event.substr(500)});
  BOOST_TEST(last<stream_data>().bytes == event);
  BOOST_TEST(!is_cancelled(call.call));
}

/// Guards against events that arrive in the same bytes as the begin of a long one and are lost.
BOOST_AUTO_TEST_CASE(whole_events_before_a_long_one_are_forwarded_and_another_replica_goes_on) {
  const auto call = begin(1, "/stream/x");
  deliver(stream_bytes{call.call, "id: 1\ndata: a\n\n" + std::string(2 * max_event_bytes, 'x')});
  BOOST_TEST(last<stream_data>().bytes == "id: 1\ndata: a\n\n");
  BOOST_TEST(is_cancelled(call.call));
  const auto next = last<start_call>();
  BOOST_TEST(next.call != call.call);
  BOOST_TEST((next.target.replica != call.target.replica));
  BOOST_TEST((next.resume_after == std::optional<std::uint64_t>(1)));
}

/// Guards against a stream that ends for lack of memory beside one that has no end.
BOOST_AUTO_TEST_CASE(other_streams_go_on_beside_an_endless_event) {
  const auto sound = begin(1, "/fixed/x");
  for (base::caller_id client = 2; client < 200; ++client) {
    const auto call = begin(client, "/fixed/x");
    for (int sent = 0; sent < 20 && !is_cancelled(call.call); ++sent) {
      deliver(stream_bytes{call.call, std::string(100, 'x')});
    }
    deliver(stream_bytes{sound.call, "data: go\n"});
    deliver(stream_bytes{sound.call, "\n"});
    BOOST_REQUIRE(!is_cancelled(sound.call));
  }
}

BOOST_AUTO_TEST_SUITE_END()
