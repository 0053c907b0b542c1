/// Calls replicas over pooled connections. A connection carries one call at a time; a connection on
/// which unexpected bytes arrived is not used again.
///
/// A replica may send a surplus answer: an answer that belongs to no call, for example a second
/// answer to an earlier call. If it arrives while its connection is idle, the connection is closed.
/// If it arrives during a call, it is recognized by the request id that it names, discarded, and
/// counted.
#pragma once

#include "flow/byte_budget.h"
#include "serving/events.h"
#include "serving/request_codec.h"
#include "serving/settings.h"
#include "upstream/client_reports.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace spurrack::upstream {

/// Client that calls replicas. Not thread-safe.
class replica_client {
 public:
  replica_client() = default;
  replica_client(const replica_client&) = delete;
  replica_client& operator=(const replica_client&) = delete;
  virtual ~replica_client() = default;

  virtual void start(serving::start_call command) = 0;
  virtual void start(serving::start_stage_call command) = 0;
  /// Sends a call that frees stage results. This call has no final event: its outcome is not
  /// reported.
  virtual void start(serving::free_results command) = 0;
  /// Opens a connection to a replica, reports the result with the event `replica_probed`, and keeps
  /// the connection for later calls.
  virtual void probe(serving::call_target target) = 0;
  /// Stops reading the streamed answer of a call until `resume`.
  virtual void pause(base::call_id call) = 0;
  virtual void resume(base::call_id call) = 0;
  /// Cancels a call: closes its connection and reports no further events of the call.
  virtual void cancel(base::call_id call) = 0;
  /// Closes the idle connections to an address; active calls continue.
  virtual void close_idle(const base::network_address& address) = 0;
  [[nodiscard]] virtual const connection_counters& counts() const = 0;
};

/// @param codec must outlive the client.
/// @param budget limits and accounts for the memory of answers that are buffered until complete.
std::unique_ptr<replica_client> make_replica_client(boost::asio::io_context& io,
                                                    const serving::request_codec& codec,
                                                    const serving::serving_settings& settings,
                                                    std::shared_ptr<flow::byte_budget> budget,
                                                    event_handler handler);

} // namespace spurrack::upstream
