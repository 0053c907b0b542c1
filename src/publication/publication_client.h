/// Reads from the two services of the platform. The interface is narrow so that the protocol of the
/// real services can replace the protocol of the emulated service with changes to this folder only.
#pragma once

#include "node/events.h"

#include <functional>

namespace spurrack::publication {

/// Callbacks, called on the thread of the io_context; exactly one of the two for each read.
struct read_observer {
  std::function<void(node::service_answered)> on_answer;
  std::function<void(node::service_failed)> on_failure;
};

/// Not thread-safe.
class publication_client {
 public:
  publication_client() = default;
  publication_client(const publication_client&) = delete;
  publication_client& operator=(const publication_client&) = delete;
  virtual ~publication_client() = default;

  /// Begins a read. The service may delay its answer until it has a revision later than
  /// `command.after`.
  virtual void read(const node::read_service& command) = 0;
  /// Sends a small query to the service; reports only a failure, like the failure of a read.
  virtual void probe(const node::probe_service& command) = 0;
};

} // namespace spurrack::publication
