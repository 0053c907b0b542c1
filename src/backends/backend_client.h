/// Calls to back ends. One narrow interface, so that the real engines' protocol can replace the
/// stand-ins' by touching this folder alone.
#pragma once

#include "execution/stage_call.h"

#include <functional>

namespace spurrack::backends {

/// Called on the thread of the io_context. For each call `on_result` comes exactly once, unless the
/// call was cancelled; tokens of a generating call come before it, in order.
struct call_observer {
  std::function<void(execution::call_result)> on_result;
  std::function<void(execution::call_token)> on_token;
};

/// Not thread-safe.
class backend_client {
 public:
  backend_client() = default;
  backend_client(const backend_client&) = delete;
  backend_client& operator=(const backend_client&) = delete;
  virtual ~backend_client() = default;

  /// Begins a call. `never_sent` is reported only where no byte was written.
  virtual void start(const execution::stage_call& call) = 0;
  /// Gives a call up: its connection is closed and nothing more is reported.
  virtual void cancel(base::call_id call) = 0;
};

} // namespace spurrack::backends
