/// Transport of peer messages in a process that receives signals. libzmq polls for its own commands
/// in most of its calls; if a signal arrives during such a poll, the call fails with EINTR. A
/// daemon that does not expect this failure ends with an exception, for example while it stops or
/// reloads its settings. This program replaces `poll`, so that libzmq meets interrupted polls at
/// once and in each of its calls.
#include "peers/zmq_transport.h"

#include "fleet/child_process.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <poll.h>
#include <pthread.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <ctime>
#include <memory>
#include <optional>
#include <string>
#include <sys/syscall.h>
#include <thread>
#include <unistd.h>

namespace {

using namespace spurrack;
using std::chrono::milliseconds;

/// Number of polls without a timeout that are interrupted before one is not; 0 if none is
/// interrupted. Set only on the thread of a test, so that other threads poll as usual.
thread_local unsigned interruptions_per_poll = 0;
thread_local unsigned interruptions_left = 0;
thread_local std::size_t interrupted_polls = 0;

/// @return whether a poll fails as if a signal had arrived during it.
bool should_interrupt(int timeout) {
  if (timeout != 0 || interruptions_per_poll == 0) {
    return false;
  }
  if (interruptions_left == 0) {
    interruptions_left = interruptions_per_poll;
    return false;
  }
  --interruptions_left;
  ++interrupted_polls;
  return true;
}

} // namespace

/// Replaces the function of the C library in this program, also for libzmq.
extern "C" int poll(pollfd* descriptors, nfds_t count, int timeout) {
  if (should_interrupt(timeout)) {
    errno = EINTR;
    return -1;
  }
  constexpr int milliseconds_per_second = 1'000;
  constexpr std::int64_t nanoseconds_per_millisecond = 1'000'000;
  const timespec limit{timeout / milliseconds_per_second,
                       timeout % milliseconds_per_second * nanoseconds_per_millisecond};
  return static_cast<int>(
      ::syscall(SYS_ppoll, descriptors, count, timeout < 0 ? nullptr : &limit, nullptr, 0));
}

namespace {

constexpr int sent_messages = 200;
constexpr milliseconds message_interval{1};
constexpr milliseconds storm_duration{2'000};
constexpr milliseconds max_delivery_time{5'000};

/// Interrupts the polls of the calling thread while it exists.
class interrupted_thread {
 public:
  explicit interrupted_thread(unsigned interruptions) {
    interruptions_per_poll = interruptions;
    interruptions_left = interruptions;
    interrupted_polls = 0;
  }
  ~interrupted_thread() { interruptions_per_poll = 0; }
  interrupted_thread(const interrupted_thread&) = delete;
  interrupted_thread& operator=(const interrupted_thread&) = delete;
};

/// Two transports of one process. The first one sends messages to the second one.
struct two_transports {
  explicit two_transports(const std::optional<settings::curve_keys>& keys)
      : receiver_address(fleet::find_free_address()),
        sender(peers::make_zmq_transport(io, fleet::find_free_address(), keys,
                                         [](const wire::envelope& /*message*/) {})),
        receiver(
            peers::make_zmq_transport(io, receiver_address, keys,
                                      [this](const wire::envelope& /*message*/) { ++received; })) {}

  void send() {
    wire::outgoing message;
    message.to = base::network_address(receiver_address);
    sender->send(message);
  }

  /// Sends messages until `sent_messages` have been received or `max_delivery_time` has passed.
  void send_until_received() {
    const auto deadline = std::chrono::steady_clock::now() + max_delivery_time;
    while (received < sent_messages && std::chrono::steady_clock::now() < deadline) {
      send();
      io.run_for(message_interval);
    }
  }

  boost::asio::io_context io;
  int received = 0;
  std::string receiver_address;
  std::unique_ptr<peers::peer_transport> sender;
  std::unique_ptr<peers::peer_transport> receiver;
};

/// Sends signals to the thread that constructs it, one after the other without a pause, while it
/// exists. The signals have a handler that does nothing.
class signal_storm {
 public:
  signal_storm() {
    struct sigaction action {};
    action.sa_handler = [](int /*signal*/) {};
    ::sigaction(SIGUSR1, &action, &earlier_action_);
    sender_ = std::thread([this, target = ::pthread_self()] {
      while (!should_stop_) {
        ::pthread_kill(target, SIGUSR1);
      }
    });
  }
  ~signal_storm() {
    should_stop_ = true;
    sender_.join();
    ::sigaction(SIGUSR1, &earlier_action_, nullptr);
  }
  signal_storm(const signal_storm&) = delete;
  signal_storm& operator=(const signal_storm&) = delete;

 private:
  struct sigaction earlier_action_ {};
  std::atomic<bool> should_stop_ = false;
  std::thread sender_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(interrupted_poll_test)

// Guards against the same exit with real signals, which interrupt a few polls only.
BOOST_AUTO_TEST_CASE(messages_are_sent_and_received_in_a_storm_of_signals) {
  std::optional<two_transports> transports;
  const signal_storm storm;
  const auto end = std::chrono::steady_clock::now() + storm_duration;
  BOOST_REQUIRE_NO_THROW(transports.emplace(std::nullopt));
  while (std::chrono::steady_clock::now() < end) {
    BOOST_REQUIRE_NO_THROW(transports->send());
    BOOST_REQUIRE_NO_THROW(transports->io.poll());
  }
  BOOST_TEST(transports->received > 0);
}

// Guards against the exit of a daemon with code 3 at a signal: a poll of libzmq was interrupted,
// and nobody caught the exception.
BOOST_AUTO_TEST_CASE(messages_are_sent_and_received_although_signals_interrupt_polls_of_libzmq) {
  for (const unsigned interruptions : {1U, 7U}) {
    const interrupted_thread interrupted(interruptions);
    std::optional<two_transports> transports;
    BOOST_REQUIRE_NO_THROW(transports.emplace(std::nullopt));
    BOOST_REQUIRE_NO_THROW(transports->send_until_received());
    BOOST_TEST(transports->received >= sent_messages);
    BOOST_TEST(interrupted_polls > static_cast<std::size_t>(sent_messages));
  }
}

// The same for the messages with which libzmq asks whether the key of a peer is allowed.
BOOST_AUTO_TEST_CASE(peers_are_authenticated_although_signals_interrupt_polls_of_libzmq) {
  const settings::curve_keys keys{"rq:rM>}U?@Lns47E1%kR.o@n%FcmmsL/@{H8]yf7",
                                  "JTKVSB%%)wK0E.X)V>+}o?pNmC{O&4W4b!Ni{Lh6"};
  const interrupted_thread interrupted(1);
  std::optional<two_transports> transports;
  BOOST_REQUIRE_NO_THROW(transports.emplace(keys));
  BOOST_REQUIRE_NO_THROW(transports->send_until_received());
  BOOST_TEST(transports->received >= sent_messages);
}

BOOST_AUTO_TEST_SUITE_END()
