#include "execution/answer.h"

namespace spurrack::execution {

std::string_view name_of(reason value) {
  switch (value) {
  case reason::none:
    return "none";
  case reason::unknown_token:
    return "unknown_token";
  case reason::unknown_template:
    return "unknown_template";
  case reason::invalid_deadline:
    return "invalid_deadline";
  case reason::node_not_ready:
    return "node_not_ready";
  case reason::node_stopping:
    return "node_stopping";
  case reason::overloaded:
    return "overloaded";
  case reason::deadline_unreachable:
    return "deadline_unreachable";
  case reason::deadline_passed:
    return "deadline_passed";
  case reason::no_backend:
    return "no_backend";
  case reason::backend_failed:
    return "backend_failed";
  case reason::retries_exhausted:
    return "retries_exhausted";
  case reason::key_in_use:
    return "key_in_use";
  case reason::key_no_majority:
    return "key_no_majority";
  case reason::key_witnesses_young:
    return "key_witnesses_young";
  case reason::ticket_invalid:
    return "ticket_invalid";
  case reason::ticket_expired:
    return "ticket_expired";
  case reason::owner_unreachable:
    return "owner_unreachable";
  case reason::caller_gone:
    return "caller_gone";
  }
  return "none";
}

} // namespace spurrack::execution
