/// One call of one stage at one back end: what is sent and what comes back.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "model/records.h"

#include <cstdint>
#include <string>

namespace spurrack::execution {

/// Names the call a result belongs to. A back end echoes it; results with another one are dropped.
struct call_identity {
  base::request_id request;
  std::string stage;
  std::uint32_t attempt = 0;
  bool operator==(const call_identity&) const = default;
};

/// A call to make. The adapter must not write any byte at or after `not_after`, checked on the boot
/// clock right before the write.
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
  /// Tokens of an earlier attempt that need not be sent again.
  std::uint32_t resume_offset = 0;
  int priority = 0;
  bool repeatable = true;
  base::time_point not_after;
};

/// How a call ended.
enum class call_status : std::uint8_t {
  completed,          ///< A whole, well-formed answer.
  never_sent,         ///< No byte was written: connect failure or expiry before the write.
  refused_overloaded, ///< The back end says it did not run the call: no room.
  refused_leaving,    ///< The back end says it did not run the call: it is leaving.
  rejected,           ///< The back end says the call itself is wrong.
  broken,             ///< Anything else after the first byte: reset, truncation, bad answer.
};

/// @return a stable name.
std::string_view name_of(call_status value);

/// The end of a call.
struct call_result {
  base::call_id call = 0;
  call_status status = call_status::broken;
  /// As echoed by the back end; meaningful for `completed`.
  call_identity identity;
  std::string output;
  std::uint32_t tokens = 0;
  /// Time the back end says it worked.
  base::duration backend_time{};
  /// Calls in flight at the back end, as it says; 0 where it does not say.
  std::uint32_t reported_in_flight = 0;
};

/// One token of a generating call.
struct call_token {
  base::call_id call = 0;
  /// Position in the whole generated text, counted from 0 over all attempts.
  std::uint32_t offset = 0;
  std::string text;
};

} // namespace spurrack::execution
