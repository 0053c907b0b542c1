/// Call of one stage at one back end: the call to start, its output tokens and its result.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "model/records.h"

#include <cstdint>
#include <string>

namespace spurrack::execution {

/// Identity of a call. The back end echoes the identity in its answer; a call whose answer has the
/// identity of another call is treated as `broken`.
struct call_identity {
  base::request_id request;
  std::string stage;
  std::uint32_t attempt = 0;
  bool operator==(const call_identity&) const = default;
};

/// Call to start. The adapter is the code that writes the call to the connection. It must not begin
/// to write at or after `not_after`, and checks the boot clock right before the write.
struct stage_call {
  base::call_id call = 0;
  call_identity identity;
  base::backend_id backend;
  base::network_address address;
  model::stage_kind kind = model::stage_kind::encode;
  base::tenant_id tenant;
  std::string model;
  std::string adapter;
  std::string input;
  std::uint32_t max_tokens = 0;
  /// Number of tokens received from earlier attempts. The back end need not send these tokens
  /// again.
  std::uint32_t resume_offset = 0;
  int priority = 0;
  bool repeatable = true;
  base::time_point not_after;
};

/// Way in which a call ended.
enum class call_status : std::uint8_t {
  completed,  ///< The back end returned a complete, well-formed answer.
  never_sent, ///< No byte was written: connecting failed or the call expired before the write.
  refused_overloaded, ///< The back end was at capacity and did not run the call.
  refused_leaving,    ///< The back end is draining and did not run the call.
  rejected,           ///< The back end reported that the call is invalid.
  broken, ///< Any other failure after the first written byte: reset, truncation, malformed answer.
};

/// @return the name of the status; it never changes between versions.
std::string_view name_of(call_status value);

/// Result of a completed or failed call.
struct call_result {
  base::call_id call = 0;
  call_status status = call_status::broken;
  /// Call identity that the back end echoed; valid only if `status` is `completed`.
  call_identity identity;
  std::string output;
  std::uint32_t tokens = 0;
  /// Time that the back end worked on the call, as reported by the back end.
  base::duration backend_time{};
  /// Number of calls in flight at the back end, as reported by the back end; 0 if not reported.
  std::uint32_t reported_in_flight = 0;
};

/// One token of a generating call.
struct call_token {
  base::call_id call = 0;
  /// Position of the token in the generated text, in tokens from 0, counted over all attempts.
  std::uint32_t offset = 0;
  std::string text;
};

} // namespace spurrack::execution
