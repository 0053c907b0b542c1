/// Encodes stage calls as JSON and decodes their answers.
#pragma once

#include "execution/stage_call.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace spurrack::backends {

/// @param now current time, from which the remaining time until the call expires is computed.
std::string encode_call(const execution::stage_call& call, base::time_point now);

/// @param body complete answer of a call that does not stream, or the final event of a call that
/// streams.
/// @return std::nullopt if the body is not a well-formed answer.
std::optional<execution::call_result> decode_result(base::call_id call, std::string_view body);

/// Content of one server-sent event of a call that generates text: either a token or the final
/// result.
struct stream_item {
  std::optional<execution::call_token> token;
  std::optional<execution::call_result> result;
};

/// Incremental decoder for the server-sent events of one call.
class event_stream_decoder {
 public:
  explicit event_stream_decoder(base::call_id call) : call_(call) {}

  /// Decodes the next bytes of the stream; incomplete events are buffered.
  /// @return the contents of the events that these bytes complete; std::nullopt if an event is
  ///         malformed.
  std::optional<std::vector<stream_item>> feed(std::string_view bytes);

 private:
  base::call_id call_;
  std::string buffered_;
};

} // namespace spurrack::backends
