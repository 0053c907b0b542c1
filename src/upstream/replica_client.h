/// Calls to replicas over kept connections. One call at a time on a connection; a connection on
/// which anything unexpected arrived carries no further call.
#pragma once

#include "flow/byte_budget.h"
#include "serving/events.h"
#include "serving/request_codec.h"
#include "serving/settings.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace spurrack::upstream {

/// Called on the thread of the io_context; for each call that was not cancelled exactly one final
/// event comes.
using event_handler = std::function<void(serving::event)>;

struct connection_counters {
  std::uint64_t opened = 0;
  std::uint64_t reused = 0;
  /// Answers that belonged to no call of their connection.
  std::uint64_t surplus_answers = 0;
  /// Answers that told a load which cannot be read.
  std::uint64_t unreadable_loads = 0;
};

/// Not thread-safe.
class replica_client {
 public:
  replica_client() = default;
  replica_client(const replica_client&) = delete;
  replica_client& operator=(const replica_client&) = delete;
  virtual ~replica_client() = default;

  virtual void start(serving::start_call command) = 0;
  virtual void start(serving::start_stage_call command) = 0;
  /// Nothing is reported of this call.
  virtual void start(serving::free_results command) = 0;
  /// Asks for a connection and keeps it; reports `replica_probed`.
  virtual void probe(serving::call_target target) = 0;
  /// Reads no more of a streamed answer until `resume`.
  virtual void pause(base::call_id call) = 0;
  virtual void resume(base::call_id call) = 0;
  /// Gives a call up: its connection is closed and nothing more is reported.
  virtual void cancel(base::call_id call) = 0;
  /// Closes the connections that rest at an address; calls under way go on.
  virtual void close_idle(const base::network_address& address) = 0;
  [[nodiscard]] virtual const connection_counters& counts() const = 0;
};

/// @param codec must outlive the client.
/// @param budget counts whole answers while they are gathered.
std::unique_ptr<replica_client> make_replica_client(boost::asio::io_context& io,
                                                    const serving::request_codec& codec,
                                                    const serving::serving_settings& settings,
                                                    std::shared_ptr<flow::byte_budget> budget,
                                                    event_handler handler);

} // namespace spurrack::upstream
