/// Calls to back ends. The interface is narrow so that the protocol of the real engines can replace
/// the protocol of the emulated ones with changes to this folder only.
#pragma once

#include "execution/stage_call.h"

#include <functional>

namespace spurrack::backends {

/// Callbacks, called on the thread of the io_context. `on_result` is called exactly once for each
/// call that is not cancelled. The tokens of a generating call precede it, in order.
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

  /// Begins a call. Its result is `never_sent` only if no byte was written.
  virtual void start(const execution::stage_call& call) = 0;
  /// Cancels a call: closes its connection and reports neither its result nor further tokens.
  virtual void cancel(base::call_id call) = 0;
};

} // namespace spurrack::backends
