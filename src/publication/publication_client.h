/// Reads of the platform's two services. One narrow interface, so that their real protocol can
/// replace the stand-in's by touching this folder alone.
#pragma once

#include "node/events.h"

#include <functional>

namespace spurrack::publication {

/// Called on the thread of the io_context; exactly one of the two for each read.
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

  /// Begins a read; the service may hold the answer until something newer is published.
  virtual void read(const node::read_service& command) = 0;
  /// Asks the service for little; a failure is told as that of a read.
  virtual void probe(const node::probe_service& command) = 0;
};

} // namespace spurrack::publication
