/// Outcome of a request: four values, and a ledger that makes an untrue `not_run` impossible to
/// build.
#pragma once

#include <cstdint>
#include <string_view>

namespace spurrack::model {

/// What a caller is told about its request.
enum class outcome : std::uint8_t {
  completed, ///< The whole answer is given.
  not_run,   ///< No byte of any stage call was handed to a socket.
  failed,    ///< Something ran, the answer was not complete in time; no effect is in doubt.
  unknown,   ///< A call that may not be repeated may have run.
};

/// @return the name used in answers, logs and metrics.
std::string_view name_of(outcome value);

/// Account of what one request handed out. The only source of a failure outcome, so that `not_run`
/// cannot be claimed for a request that may have run.
class call_tracker {
 public:
  /// A stage call is handed to the network.
  void call_started(bool repeatable);
  /// The network reports that no byte of the call was written.
  void call_never_sent(bool repeatable);
  /// The back end answered that it refused the call without running it.
  void call_refused(bool repeatable) { call_never_sent(repeatable); }
  /// The call is known to have run to its end.
  void call_completed(bool repeatable);

  /// @return whether every non-repeatable call that was started has a known end.
  [[nodiscard]] bool has_effect_in_doubt() const { return open_effects_ > 0; }
  /// @return what to tell the caller of a request that is given up now.
  [[nodiscard]] outcome failure_outcome() const;

 private:
  unsigned open_calls_ = 0;
  unsigned completed_calls_ = 0;
  unsigned open_effects_ = 0;
};

} // namespace spurrack::model
