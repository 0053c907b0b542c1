/// Calls to back ends, the engines that run the stages of callers' pipelines. The interface is
/// narrow so that the protocol of the real engines can replace the protocol of the emulated engines
/// with changes to this folder only.
#pragma once

#include "execution/stage_call.h"

#include <functional>

namespace spurrack::backends {

/// Callbacks, called on the thread of the io_context. `on_result` is called exactly once for each
/// call that is not cancelled. For a call that generates text, `on_token` is called before
/// `on_result`, once for each token, in order.
struct call_observer {
  std::function<void(execution::call_result)> on_result;
  std::function<void(execution::call_token)> on_token;
};

/// Client that calls back ends. Not thread-safe.
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
