/// Client that breaks its streams off and resumes them at other nodes, in particular at nodes that
/// are out of step. Checks that all events of a stream are of one software version, and that
/// refusals come soon.
#pragma once

#include "out_of_step_fleet.h"
#include "stamped_events.h"

#include "base/random.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace spurrack::platform_tests {

/// Number of resumed streams, and of those that went on.
struct resumption_count {
  std::size_t sent = 0;
  std::size_t went_on = 0;
};

/// What all clients of a test saw. Not thread-safe.
struct resumptions_report {
  std::map<std::string, std::size_t> counts;
  std::vector<std::string> violations;
  /// Resumptions at nodes that were in step, of services of which one version is published.
  resumption_count of_single_version;
  std::chrono::milliseconds longest_refusal{0};
};

/// Clients that read streams one after the other, each on a coroutine of its own, which all run on
/// one thread.
class resuming_clients {
 public:
  /// @param fleet the clients read its addresses and its atomic members only.
  resuming_clients(boost::asio::io_context& io, const out_of_step_fleet& fleet, std::uint64_t seed,
                   resumptions_report& report);

  /// Reads streams of a service until `should_stop`, and the last stream to its end.
  /// @param name part of the request ids; differs between the clients of a test.
  boost::asio::awaitable<void> read_streams(std::string name, const stepping_service& service,
                                            const std::atomic<bool>& should_stop);

 private:
  struct stream_session;
  struct attempt;

  boost::asio::awaitable<void> read_stream(stream_session& session);
  /// Sends the request of an attempt and reads the answer, until the client has read
  /// `attempt::break_after` events.
  boost::asio::awaitable<void> read_answer(attempt& opened);
  static std::string request_text(const attempt& opened);
  const stepping_node& node_to_begin_at();
  const stepping_node& node_to_resume_at(const stepping_node& earlier);
  /// @return nodes that are out of step, or all others.
  [[nodiscard]] std::vector<const stepping_node*> nodes_that(bool are_out_of_step) const;
  void check_answer(const attempt& ended);
  void check_refusal(const attempt& ended);
  void check_versions(const stream_session& session);
  void note_violation(const attempt& ended, const std::string& text);
  boost::asio::awaitable<void> wait(std::chrono::milliseconds span);
  bool happens(std::uint64_t percent);

  boost::asio::io_context* io_;
  const out_of_step_fleet* fleet_;
  base::seeded_random random_;
  resumptions_report* report_;
};

} // namespace spurrack::platform_tests
