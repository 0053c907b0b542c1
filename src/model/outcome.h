/// Outcome of a request, and the tracker of stage calls that determines the outcome of failed
/// requests.
#pragma once

#include <cstdint>
#include <string_view>

namespace spurrack::model {

/// Outcome of a request as reported to its caller.
enum class outcome : std::uint8_t {
  completed, ///< The answer is complete.
  not_run,   ///< No stage call ran: each was refused by its back end, or no byte of it was sent.
  failed,    ///< Calls may have run; the answer is incomplete; every non-repeatable call has ended.
  unknown,   ///< A call that must not be repeated may have run, and its end is not known.
};

/// @return the name of an outcome in answers, logs and metrics.
std::string_view name_of(outcome value);

/// Tracks the stage calls of one request. The only source of the outcomes of failed requests, so
/// that `not_run` cannot be reported for a request that may have run.
class call_tracker {
 public:
  /// Records that a stage call is passed to the network.
  void call_started(bool repeatable);
  /// Records that no byte of a started call was written.
  void call_never_sent(bool repeatable);
  /// Records that the back end refused a started call without running it.
  void call_refused(bool repeatable) { call_never_sent(repeatable); }
  /// Records that a started call has run to its end.
  void call_completed(bool repeatable);

  /// @return whether any non-repeatable call was started whose end is not known.
  [[nodiscard]] bool has_open_non_repeatable_call() const { return open_non_repeatable_calls_ > 0; }
  /// @return the outcome of the request if it is aborted now.
  [[nodiscard]] outcome failure_outcome() const;

 private:
  unsigned open_calls_ = 0;
  unsigned completed_calls_ = 0;
  unsigned open_non_repeatable_calls_ = 0;
};

} // namespace spurrack::model
