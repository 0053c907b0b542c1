/// What the execution of requests wants done. Produced by decision logic, carried out by adapters.
#pragma once

#include "base/ids.h"
#include "execution/answer.h"
#include "execution/stage_call.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace spurrack::execution {

/// A caller connected to this node.
struct local_caller {
  base::caller_id id = 0;
  auto operator<=>(const local_caller&) const = default;
};

/// A peer that forwarded a request of its own caller.
struct remote_caller {
  base::network_address peer;
  std::uint64_t forward_id = 0;
  auto operator<=>(const remote_caller&) const = default;
};

/// Who is to be answered.
using caller_ref = std::variant<local_caller, remote_caller>;

struct start_call {
  stage_call call;
};
/// Give a call up: close its connection, ignore what still comes.
struct cancel_call {
  base::call_id call = 0;
};
/// Pass a token on to a streaming caller.
struct send_token {
  base::caller_id caller = 0;
  std::uint32_t offset = 0;
  std::string text;
};
/// Give a caller its final answer.
struct send_answer {
  caller_ref caller;
  answer content;
};

using command = std::variant<start_call, cancel_call, send_token, send_answer>;
using command_list = std::vector<command>;

} // namespace spurrack::execution
