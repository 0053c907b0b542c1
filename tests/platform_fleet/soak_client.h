/// Client of the fault soak. Keeps its connection until the daemon closes it, and checks every
/// answer.
#pragma once

#include "soak_fleet.h"

#include "base/random.h"

#include <atomic>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace spurrack::platform_tests {

/// Load pattern of a client.
enum class client_mode : std::uint8_t {
  busy,      ///< Sends short requests back to back.
  idling,    ///< Keeps its connection open and idle before each request.
  streaming, ///< Requests streams of three to six seconds back to back.
  resuming,  ///< The same, and resumes them at other nodes after broken connections.
};
inline constexpr std::size_t client_mode_count = 4;

struct soak_outcome {
  /// HTTP status; 0 if the connection ended before the head of the answer was complete.
  unsigned status = 0;
  std::string body;
  /// Whether the answer has the header X-Response-Seal.
  bool has_seal = false;
  /// Whether the answer has a length or chunks. An answer without framing ends with its connection,
  /// and may lack its end.
  bool is_framed = false;
  /// Whether the answer ended in order: it is whole if it is framed.
  bool is_complete = false;
  bool has_retry_after = false;
  /// Whether the client broke the answer off.
  bool was_broken_off = false;
};

/// Sends requests to random nodes, on one connection at a time. Not thread-safe.
class soak_client {
 public:
  soak_client(std::string name, client_mode mode, soak_fleet& fleet, soak_recorder& recorder,
              std::uint64_t seed);

  /// Sends requests one after another until `should_stop` is true.
  void run(const std::atomic<bool>& should_stop);

 private:
  /// @return kind of the next request; random, except that a client with the mode `streaming`
  ///         always sends requests of the kind `long`.
  std::string random_kind();
  /// Sends a request of a kind, waits for the answer and checks it.
  void send(const std::string& kind);
  /// Requests a stream, and resumes it at random nodes until it is complete or its deadline has
  /// passed.
  void send_until_complete();
  /// What a client knows of a stream over all its attempts.
  struct stream_progress {
    /// Id of the attempt that brought the first event; empty before the first event.
    std::string first_attempt;
    std::size_t last_event = 0;
    /// Software versions that wrote the events.
    std::set<std::string> versions;
    /// Runs that wrote the events, each at the place of its first event.
    std::vector<std::string> runs;
  };
  /// Checks the answer to one attempt to get a stream, and adds its events to `progress`.
  /// @param id id of the request's contents.
  /// @param attempt id of the attempt.
  /// @return whether the client has the whole stream now.
  bool is_stream_complete(const std::string& id, const std::string& attempt,
                          const soak_outcome& outcome, stream_progress& progress);
  /// @param id id of the request's contents.
  /// @param progress what the client has of the stream that the request resumes; null if it resumes
  ///        none.
  [[nodiscard]] static std::string request_bytes(const std::string& kind, const std::string& id,
                                                 const std::string& attempt,
                                                 std::chrono::milliseconds timeout,
                                                 const stream_progress* progress);
  /// Adds the whole events of an answer to `progress`, and records a violation if an event is
  /// missing, repeated, wrong, of another software version than the others or of a run that another
  /// run had followed, or if the rest of the answer is not the beginning of an event.
  void check_events(const std::string& id, const std::string& body, stream_progress& progress);
  /// Writes a request to the connection and reads the answer. Drops the connection if it cannot be
  /// used for another request.
  /// @param timeout maximum time of each read and write of the socket.
  /// @param max_events number of events after which the client breaks the answer off; 0 if it reads
  ///        the whole answer.
  soak_outcome exchange(const std::string& bytes, std::chrono::milliseconds timeout,
                        std::size_t max_events = 0);
  /// @return node at which the next attempt to get a stream is made; often one that is out of step,
  ///         if the attempt resumes the stream.
  soak_node& node_for_attempt(bool is_resumption);
  /// Connects to a node. `socket_` stays empty if the connect fails.
  void connect(soak_node& node);
  /// Request that the client has sent.
  struct sent_request {
    std::string kind;
    /// X-Request-Id.
    std::string id;
    soak_clock::time_point sent_at;
    /// Time from `sent_at` to the deadline.
    std::chrono::milliseconds timeout;
  };
  /// Counts an answer. Records a violation if the answer is wrong.
  void check_answer(const sent_request& request, const soak_outcome& outcome);
  /// Checks the body of an answer with status 200 that is not an event stream.
  void check_body(const std::string& id, const soak_outcome& outcome);
  /// Checks the body of an answer with status 200 that is an event stream and was not resumed.
  void check_stream(const sent_request& request, const soak_outcome& outcome);
  /// Counts an answer with status 200 that ended in order without framing. Records a violation if
  /// each replica framed its answer, or if the answer holds nothing.
  /// @param is_empty whether the client has no event and no byte of the body.
  /// @param is_whole whether the answer lacks nothing.
  void check_unframed_answer(const std::string& id, const soak_outcome& outcome, bool is_empty,
                             bool is_whole);
  /// Counts an answer with which a request ended that a living replica had broken off.
  void count_broken_off(const sent_request& request, const soak_outcome& outcome);
  /// Counts the ends of requests during silences, and those with 502 or 504 by kind.
  void count_beside_silences(const sent_request& request, const soak_outcome& outcome);
  /// Records a violation for a missing or incomplete answer, unless the reason is a fault, the
  /// close of an idle connection, or what `is_allowed_end_beside_silences` allows.
  void check_incomplete_answer(const sent_request& request, const soak_outcome& outcome);
  /// @return whether an answer may end incomplete although there was no fault: a replica was silent
  ///         shortly before the request or later, and the deadline has passed, the replica of the
  ///         request has ended, or the grace period of the stopping node has nearly passed.
  [[nodiscard]] bool is_allowed_end_beside_silences(const sent_request& request) const;

  /// @return whether now is shortly after a planned change, as part of the label of a count.
  [[nodiscard]] std::string place_in_time() const;
  /// @return part of the text of a violation during silences: the replica of a request and the time
  ///         since the latest change; empty without silences.
  [[nodiscard]] std::string silence_text(const std::string& id) const;

  std::string name_;
  client_mode mode_;
  soak_fleet* fleet_;
  soak_recorder* recorder_;
  base::seeded_random random_;
  std::uint64_t request_count_ = 0;
  soak_node* node_ = nullptr;
  boost::asio::io_context io_;
  std::unique_ptr<tcp::socket> socket_;
};

} // namespace spurrack::platform_tests
