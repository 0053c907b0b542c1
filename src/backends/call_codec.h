/// JSON form of stage calls and their answers.
#pragma once

#include "execution/stage_call.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace spurrack::backends {

/// @param now used to turn the call's expiry into a remaining time.
/// @return the request body of a call.
std::string encode_call(const execution::stage_call& call, base::time_point now);

/// @param body whole answer of a call that does not stream, or the last event of one that does.
/// @return nothing where the body is not a well-formed answer.
std::optional<execution::call_result> decode_result(base::call_id call, std::string_view body);

/// What one server-sent event of a generating call says.
struct stream_item {
  std::optional<execution::call_token> token;
  std::optional<execution::call_result> result;
};

/// Splits a stream of server-sent events as its bytes arrive.
class event_stream_decoder {
 public:
  explicit event_stream_decoder(base::call_id call) : call_(call) {}

  /// @return the items completed by these bytes; nothing where an event is malformed.
  std::optional<std::vector<stream_item>> feed(std::string_view bytes);

 private:
  base::call_id call_;
  std::string buffered_;
};

} // namespace spurrack::backends
