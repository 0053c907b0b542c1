/// What a caller asks and what it is told.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "model/outcome.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace spurrack::execution {

/// Why a request was not completed. Names are stable: they are the `code` of the HTTP interface.
enum class reason : std::uint8_t {
  none,
  unknown_token,
  unknown_template,
  invalid_deadline,
  node_not_ready,
  node_stopping,
  overloaded,
  deadline_unreachable,
  deadline_passed,
  no_backend,
  backend_failed,
  retries_exhausted,
  key_in_use,
  key_no_majority,
  key_witnesses_young,
  ticket_invalid,
  ticket_expired,
  owner_unreachable,
  caller_gone,
};

/// @return the stable lower-case name.
std::string_view name_of(reason value);

/// A request as a caller sent it; already bounded and parsed, not yet judged.
struct caller_request {
  /// Lower-case hexadecimal SHA-256 of the bearer token.
  std::string token_sha256;
  base::template_id pipeline;
  std::string input;
  /// Time from arrival; the template's deadline where absent. Never later than the template's.
  std::optional<base::duration> deadline;
  std::string idempotency_key;
  std::string ticket;
  bool stream = false;
};

/// What one stage of one request cost.
struct stage_cost {
  std::string stage;
  /// Time back ends worked on calls whose result was used.
  base::duration backend_time{};
  /// Time spent on calls whose result was not used.
  base::duration wasted_time{};
  std::uint32_t tokens = 0;
  std::uint32_t attempts = 0;
};

/// Result of a stage that the caller is meant to see (`generate` and `call` stages).
struct stage_output {
  std::string stage;
  std::string text;
};

/// Final word on a request.
struct answer {
  model::outcome outcome = model::outcome::not_run;
  reason failure_reason = reason::none;
  base::request_id request;
  std::vector<stage_output> outputs;
  /// When a caller may try again; zero where that does not help.
  base::duration retry_after{};
  std::vector<stage_cost> costs;
};

} // namespace spurrack::execution
