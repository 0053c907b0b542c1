/// Order of input and clocks after a stand of the event loop, on a real io_context with real
/// sockets. Guards against replicas and peers that count as silent because their bytes waited in a
/// socket while this process did something else.
#include "daemon/event_pump.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/local/connect_pair.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace spurrack;
using std::chrono::milliseconds;
namespace asio = boost::asio;

namespace {

/// Number of connections on which bytes wait during a stand.
constexpr std::size_t connection_count = 5;
constexpr base::duration wakeup_interval = milliseconds(40);
/// Size of the pieces that a connection reads; each message takes three pieces.
constexpr std::size_t piece_bytes = 4;
constexpr std::string_view message = "0123456789";

struct connection {
  explicit connection(asio::io_context& io) : replica(io), node(io) {
    asio::local::connect_pair(replica, node);
  }
  asio::local::stream_protocol::socket replica;
  asio::local::stream_protocol::socket node;
  std::array<char, piece_bytes> piece{};
};

/// A loop with a pump, connections that post `stream_bytes` for each piece that they read, and a
/// record of what the pump delivers.
struct pumped_loop {
  pumped_loop()
      : pump(io, {[this](const node::event& input_event) { handle(input_event); },
                  [this](const std::vector<node::event>& events) { handle_unread(events); },
                  [this](const daemon::loop_stand& stand) { stands.push_back(stand); },
                  [this] { return wakeup_at; }}) {
    for (std::size_t index = 0; index < connection_count; ++index) {
      connections.push_back(std::make_unique<connection>(io));
      read_piece(index);
    }
  }

  void read_piece(std::size_t index) {
    auto& from = *connections[index];
    from.node.async_read_some(
        asio::buffer(from.piece), [this, index](const auto& error, std::size_t size) {
          if (!error) {
            pump.post(serving::event(
                serving::stream_bytes{index, std::string(connections[index]->piece.data(), size)}));
            read_piece(index);
          }
        });
  }

  /// Writes a message to each connection, then occupies the loop.
  void stand(base::duration duration) {
    for (auto& from : connections) {
      asio::write(from->replica, asio::buffer(message));
    }
    std::this_thread::sleep_for(duration);
    stand_ended = true;
  }

  void handle(const node::event& input_event) {
    wakeup_at = base::boot_clock::now() + wakeup_interval;
    const bool has_unread_input =
        stand_ended && bytes_after_stand < message.size() * connection_count;
    events_handled_alone += has_unread_input ? 1 : 0;
    bytes_after_stand += bytes_of(input_event);
    if (std::holds_alternative<node::stop_requested>(input_event)) {
      stand(stand_of_event);
    }
  }

  void handle_unread(const std::vector<node::event>& events) {
    wakeup_at = base::boot_clock::now() + wakeup_interval;
    ++batches;
    for (const auto& input_event : events) {
      bytes_after_stand += bytes_of(input_event);
    }
    ends_with_wakeup = std::holds_alternative<node::time_passed>(events.back());
  }

  static std::size_t bytes_of(const node::event& input_event) {
    const auto* inner = std::get_if<serving::event>(&input_event);
    const auto* bytes = inner == nullptr ? nullptr : std::get_if<serving::stream_bytes>(inner);
    return bytes == nullptr ? 0 : bytes->bytes.size();
  }

  void run_for(base::duration duration) { io.run_for(duration); }

  /// Checks that all input was delivered, in one batch, before anything else was handled.
  void check_input_came_first(base::duration stand_duration, std::string_view handled) {
    BOOST_TEST(events_handled_alone == 0U);
    BOOST_TEST(bytes_after_stand == message.size() * connection_count);
    BOOST_TEST(ends_with_wakeup);
    BOOST_REQUIRE(!stands.empty());
    BOOST_TEST(batches == stands.size());
    const auto found = std::find_if(stands.begin(), stands.end(),
                                    [&](const auto& stand) { return stand.handled == handled; });
    BOOST_REQUIRE(found != stands.end());
    // The pump measures from the time at which the wakeup or a posted event was due.
    BOOST_TEST((found->duration >= stand_duration - wakeup_interval));
    BOOST_TEST(pump.stands().at(handled).count >= 1U);
  }

  asio::io_context io{1};
  base::time_point wakeup_at = base::boot_clock::now() + wakeup_interval;
  std::vector<std::unique_ptr<connection>> connections;
  std::vector<daemon::loop_stand> stands;
  base::duration stand_of_event{};
  bool stand_ended = false;
  bool ends_with_wakeup = false;
  /// Number of events that were handled after the stand, each with a look at the clocks, while
  /// input waited.
  std::size_t events_handled_alone = 0;
  std::size_t bytes_after_stand = 0;
  std::size_t batches = 0;
  daemon::event_pump pump;
};

constexpr std::array stand_durations{milliseconds(100), milliseconds(300), milliseconds(900)};

} // namespace

BOOST_AUTO_TEST_SUITE(event_pump_test)

/// Guards against an event whose handling takes long, for example a new configuration.
BOOST_AUTO_TEST_CASE(input_that_waited_for_an_event_is_handled_before_clocks) {
  for (const auto duration : stand_durations) {
    pumped_loop loop;
    loop.stand_of_event = duration;
    loop.pump.post(node::stop_requested{});
    loop.pump.post(node::seeds_changed{});
    loop.run_for(duration + milliseconds(200));
    loop.check_input_came_first(duration, "stop_requested");
  }
}

/// Guards against work of the loop outside events, for example the metrics.
BOOST_AUTO_TEST_CASE(input_that_waited_for_other_work_is_handled_before_clocks) {
  for (const auto duration : stand_durations) {
    pumped_loop loop;
    loop.pump.post(node::time_passed{});
    asio::post(loop.io, [&] {
      const auto started_at = base::boot_clock::now();
      loop.stand(duration);
      loop.pump.note_work("operator_document", started_at);
    });
    loop.run_for(duration + milliseconds(200));
    loop.check_input_came_first(duration, "operator_document");
  }
}

/// Guards against a process that gets no processor, and against work that nobody measures.
BOOST_AUTO_TEST_CASE(input_that_waited_while_the_loop_was_late_is_handled_before_clocks) {
  for (const auto duration : stand_durations) {
    pumped_loop loop;
    loop.pump.post(node::time_passed{});
    asio::post(loop.io, [&] {
      loop.pump.post(node::seeds_changed{});
      loop.stand(duration);
    });
    loop.run_for(duration + milliseconds(200));
    loop.check_input_came_first(duration, daemon::event_pump::outside_loop);
  }
}

/// Guards against a batch, which reads the sockets several times, while the loop is on time.
BOOST_AUTO_TEST_CASE(events_are_handled_one_by_one_while_the_loop_is_on_time) {
  pumped_loop loop;
  std::size_t handled = 0;
  for (int round = 0; round < 20; ++round) {
    asio::write(loop.connections[0]->replica, asio::buffer(message));
    loop.run_for(milliseconds(5));
    handled = loop.bytes_after_stand;
  }
  BOOST_TEST(handled == 20 * message.size());
  BOOST_TEST(loop.batches == loop.stands.size());
}

/// Guards against a wakeup that looks at the clocks before events that were read in the same turn
/// of the loop.
BOOST_AUTO_TEST_CASE(events_of_one_turn_are_handled_before_its_wakeup) {
  asio::io_context io{1};
  std::vector<std::size_t> order;
  auto wakeup_at = base::boot_clock::now() + std::chrono::hours(1);
  const auto note = [&](const node::event& input_event) {
    order.push_back(input_event.index());
    const bool arms_wakeup = std::holds_alternative<node::stop_requested>(input_event);
    wakeup_at = base::boot_clock::now() + (arms_wakeup ? milliseconds(20) : std::chrono::hours(1));
  };
  daemon::event_pump pump(io, {note,
                               [&](const std::vector<node::event>& events) {
                                 std::for_each(events.begin(), events.end(), note);
                               },
                               [](const daemon::loop_stand&) {}, [&] { return wakeup_at; }});
  connection from(io);
  from.node.async_read_some(asio::buffer(from.piece),
                            [&](const auto&, std::size_t) { pump.post(node::seeds_changed{}); });
  pump.post(node::stop_requested{});
  // The bytes and the wakeup become due in one turn of the loop.
  asio::post(io, [&] {
    asio::write(from.replica, asio::buffer(message.substr(0, piece_bytes)));
    std::this_thread::sleep_for(milliseconds(30));
  });
  io.run_for(milliseconds(200));
  const auto bytes =
      std::find(order.begin(), order.end(), node::event(node::seeds_changed{}).index());
  const auto wakeup =
      std::find(order.begin(), order.end(), node::event(node::time_passed{}).index());
  BOOST_REQUIRE((bytes != order.end() && wakeup != order.end()));
  BOOST_TEST((bytes < wakeup));
}

BOOST_AUTO_TEST_SUITE_END()
