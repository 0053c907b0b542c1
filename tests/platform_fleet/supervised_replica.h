/// Emulated replica on loopback under a supervisor: it ends all its connections and listens again
/// on its address after some milliseconds, as a process does that a supervisor starts again at
/// once. Its streams tell which run wrote them.
#pragma once

#include "stamped_events.h"

#include "base/random.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace spurrack::platform_tests {

/// What one process of the replica publishes.
struct replica_process {
  std::string id;
  std::string version;
  std::int64_t started_at_milliseconds = 0;
  /// Number of processes of this replica before this one.
  std::uint64_t run = 0;
};

/// How a process of the replica ends and the next one starts.
struct replica_restart_plan {
  /// Whether the connections are reset instead of closed.
  bool resets_connections = false;
  /// Time for which the address refuses connections.
  std::chrono::milliseconds downtime{0};
  std::string next_id;
  std::string next_version;
};

/// Percentages of answers of each kind; the others are chunked and whole.
struct supervised_replica_options {
  /// Streams without chunks, which end with their connection.
  std::uint64_t unframed_percent = 30;
  /// Streams that the replica breaks off while it goes on.
  std::uint64_t broken_off_percent = 5;
  /// Maximum time between two writes of one stream.
  std::chrono::milliseconds max_write_interval{15};
  /// Service and zone that the replica publishes.
  std::string service = "s";
  std::string zone = "z";
  /// Calls that begin a stream and whose connections the replica resets before the head of the
  /// answer.
  std::uint64_t lost_percent = 0;
  /// Called on the thread of the replica some milliseconds before it resets such a connection;
  /// may be empty.
  std::function<void()> on_lost_call = {};
};

/// Replica that serves requests from construction to destruction on a thread of its own. The public
/// functions may be called on any thread.
class supervised_replica {
 public:
  /// A request with this route ends the process after its first event, and the next process accepts
  /// connections at once.
  static constexpr const char* crashing_route = "crashing";

  supervised_replica(std::string name, const std::string& version, std::uint64_t seed,
                     const supervised_replica_options& options = {});
  ~supervised_replica();
  supervised_replica(const supervised_replica&) = delete;
  supervised_replica& operator=(const supervised_replica&) = delete;

  [[nodiscard]] const std::string& address() const { return address_; }
  [[nodiscard]] const std::string& name() const { return name_; }
  [[nodiscard]] replica_process process() const;
  /// @return number of processes that a request of `crashing_route` ended.
  [[nodiscard]] std::uint64_t crashes() const { return crashes_; }
  /// @return JSON that the store holds for the present process.
  [[nodiscard]] std::string next_record();

  void restart(const replica_restart_plan& plan);
  /// Writes nothing for a time, and then goes on where it was.
  void be_silent_for(std::chrono::milliseconds span);

 private:
  using socket_pointer = std::shared_ptr<boost::asio::ip::tcp::socket>;
  using request = boost::beast::http::request<boost::beast::http::string_body>;
  /// Answer that is being written.
  struct open_answer {
    socket_pointer socket;
    replica_process process;
    stamped_stream stream;
    bool is_crashing = false;
    bool is_chunked = true;
    std::size_t last_received = 0;
    /// Number of the event inside which the replica breaks the answer off; greater than the number
    /// of events if it writes all.
    std::size_t break_at = 0;
  };

  void listen();
  void end_process(const replica_restart_plan& plan);
  boost::asio::awaitable<void> start_process(std::chrono::milliseconds downtime);
  boost::asio::awaitable<void> accept_all();
  boost::asio::awaitable<void> serve(socket_pointer socket);
  /// @return whether the connection may carry another request.
  boost::asio::awaitable<bool> answer(const socket_pointer& socket, const request& received);
  boost::asio::awaitable<bool> answer_stream(const socket_pointer& socket, const request& received);
  /// Resets the connection after a time in which the node tells other nodes of the call.
  boost::asio::awaitable<void> lose_call(const socket_pointer& socket);
  open_answer plan_answer(const socket_pointer& socket, const request& received);
  /// @return whether the answer goes on after the event.
  boost::asio::awaitable<bool> write_event(const open_answer& answer, std::size_t number);
  /// Writes bytes of a body in up to three pieces, unless the process ends meanwhile.
  /// @return whether all were written.
  boost::asio::awaitable<bool> write_in_pieces(const open_answer& answer, const std::string& bytes);
  /// @return whether all bytes were written.
  static boost::asio::awaitable<bool> write(boost::asio::ip::tcp::socket& socket,
                                            const std::string& bytes);
  boost::asio::awaitable<void> wait(std::chrono::milliseconds span);
  /// @return whether an event with a probability in per cent happens.
  bool happens(std::uint64_t percent);

  std::string name_;
  std::string address_;
  supervised_replica_options options_;
  base::seeded_random random_;
  boost::asio::io_context io_;
  std::optional<boost::asio::ip::tcp::acceptor> acceptor_;
  std::list<socket_pointer> sockets_;
  std::chrono::steady_clock::time_point silent_until_;
  mutable std::mutex mutex_;
  /// Guarded by `mutex_`, as is `sequence_`.
  replica_process process_;
  std::uint64_t sequence_ = 0;
  std::atomic<std::uint64_t> crashes_ = 0;
  std::thread thread_;
};

} // namespace spurrack::platform_tests
