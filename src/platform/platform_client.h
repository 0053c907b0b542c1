/// Reads of the platform's two services. One narrow interface, so that their real protocol can
/// replace the stand-in's by touching this folder alone.
#pragma once

#include "node/events.h"

#include <functional>

namespace spurrack::platform {

/// Called on the thread of the io_context; exactly one of the two for each read.
struct read_observer {
  std::function<void(node::service_answered)> on_answer;
  std::function<void(node::service_failed)> on_failure;
};

/// Not thread-safe.
class platform_client {
 public:
  platform_client() = default;
  platform_client(const platform_client&) = delete;
  platform_client& operator=(const platform_client&) = delete;
  virtual ~platform_client() = default;

  /// Begins a read; the service may hold the answer until something newer is published.
  virtual void read(const node::read_service& what) = 0;
};

} // namespace spurrack::platform
