/// Reads from the two read-only services of the platform: the configuration and the machine list
/// (`node::source_kind`). The interface is narrow so that the protocol of the real services can
/// replace the protocol of the emulated services with changes to this folder only.
#pragma once

#include "node/events.h"

#include <functional>
#include <string>

namespace spurrack::publication {

/// Callbacks, called on the thread of the io_context. For each read, either `on_answer` or
/// `on_failure` is called, exactly once; neither is called if a later read of the same service
/// cancels the read. `on_failure` is also called for each probe that fails.
struct read_observer {
  std::function<void(node::service_answered)> on_answer;
  std::function<void(node::service_failed)> on_failure;
  /// Called after an answer, or a part of it, was parsed; may be empty. In this time the thread
  /// read no sockets.
  std::function<void(base::time_point started_at)> on_parsed = {};
  /// Called before `on_failure` if a service answered, but the answer cannot be read as a whole;
  /// may be empty. Not called for each such answer, but at a bounded rate for each service.
  /// `reason` is text for operators.
  std::function<void(node::source_kind source, const std::string& reason)> on_unreadable = {};
};

/// Client that reads the services. Not thread-safe.
class publication_client {
 public:
  publication_client() = default;
  publication_client(const publication_client&) = delete;
  publication_client& operator=(const publication_client&) = delete;
  virtual ~publication_client() = default;

  /// Begins a read. The service may hold the read, that is, delay its answer until the service has
  /// a revision later than `command.after` (long polling).
  virtual void read(const node::read_service& command) = 0;
  /// Sends a small query to the service, to check that the service still answers. If it does not,
  /// `on_failure` is called; if it does, no callback is called.
  virtual void probe(const node::probe_service& command) = 0;
};

} // namespace spurrack::publication
