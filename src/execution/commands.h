/// Commands that the execution of requests issues instead of doing I/O itself. Adapters, which are
/// the code that does the I/O, carry the commands out.
#pragma once

#include "base/ids.h"
#include "execution/answer.h"
#include "execution/stage_call.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace spurrack::execution {

/// Caller that is connected to this node.
struct local_caller {
  base::caller_id id = 0;
  auto operator<=>(const local_caller&) const = default;
};

/// Peer that forwarded a request of a caller to this node; the caller is connected to the peer.
struct remote_caller {
  base::network_address peer;
  std::uint64_t forward_id = 0;
  auto operator<=>(const remote_caller&) const = default;
};

/// Caller that waits for an answer.
using caller_ref = std::variant<local_caller, remote_caller>;

/// Starts a call at a back end.
struct start_call {
  stage_call call;
};
/// Cancels a call: the adapter closes the connection of the call and ignores further data of the
/// call.
struct cancel_call {
  base::call_id call = 0;
};
/// Sends one token to a streaming caller.
struct send_token {
  base::caller_id caller = 0;
  std::uint32_t offset = 0;
  std::string text;
};
/// Sends the final answer to a caller.
struct send_answer {
  caller_ref caller;
  answer content;
};

using command = std::variant<start_call, cancel_call, send_token, send_answer>;
using command_list = std::vector<command>;

} // namespace spurrack::execution
