/// Requests of callers and the answers to them.
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

/// Reason for which a request was not completed. The names are stable: clients read them as `code`
/// in HTTP responses.
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

std::string_view name_of(reason value);

/// Request as a caller sent it: parsed and within the size limits, not yet checked against the
/// catalog.
struct caller_request {
  /// Lower-case hexadecimal SHA-256 of the bearer token.
  std::string token_sha256;
  base::template_id pipeline;
  std::string input;
  /// Deadline that the caller sent, as the time from the arrival of the request. The template's
  /// deadline applies if the caller sent no deadline or a longer deadline.
  std::optional<base::duration> deadline;
  std::string idempotency_key;
  std::string ticket;
  bool stream = false;
};

/// Cost of one stage of one request.
struct stage_cost {
  std::string stage;
  /// Time that back ends worked on calls whose result was used.
  base::duration backend_time{};
  /// Time that elapsed in calls whose result was not used.
  base::duration wasted_time{};
  std::uint32_t tokens = 0;
  std::uint32_t attempts = 0;
};

/// Result of a stage that is returned to the caller (`generate` and `call` stages).
struct stage_output {
  std::string stage;
  std::string text;
};

/// Final answer to a request.
struct answer {
  model::outcome outcome = model::outcome::not_run;
  reason failure_reason = reason::none;
  base::request_id request;
  std::vector<stage_output> outputs;
  /// Recommended delay before the caller sends the request again; zero if there is no
  /// recommendation.
  base::duration retry_after{};
  std::vector<stage_cost> costs;
};

} // namespace spurrack::execution
