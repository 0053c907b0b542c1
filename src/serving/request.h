/// A client's request and the head of a replica's answer, as the serving path sees them: the parts
/// that are forwarded unchanged and the parts that decide how the request is served. A
/// `request_codec` translates them from and to the wire format.
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace spurrack::serving {

struct header {
  std::string name;
  std::string value;
};
using header_list = std::vector<header>;

/// A part of a prompt that several requests may have in common.
struct prompt_part {
  std::string id;
  std::uint32_t tokens = 0;
};

/// Content of a request that was read completely; not changed afterwards.
struct request_content {
  std::string method;
  /// Path with the query, byte for byte as the client sent it.
  std::string target;
  /// Path without the query.
  std::string path;
  /// Host without a port, in lower case.
  std::string host;
  /// Header fields that are forwarded unchanged.
  header_list headers;
  std::string body;
  bool has_body = false;

  base::request_id id;
  /// Time for which the client waits for the answer, counted from the arrival of the request;
  /// std::nullopt if the client did not send it.
  std::optional<base::duration> time_allowed;
  /// API key; empty if the client sent none.
  std::string api_key;
  /// Identifier of the last event that the client has received, if the request resumes a stream.
  std::optional<std::uint64_t> resume_after;
  /// Id of the client attempt that brought the first event of the resumed stream; std::nullopt if
  /// the client did not send it.
  std::optional<base::request_id> first_attempt;
  std::string model;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;
  /// Parts of the prompt, in order; the last part belongs to this request or its session alone.
  std::vector<prompt_part> prompt_parts;
  /// Whether another node passed the request on to this node. It is then not passed on again.
  bool was_passed_on = false;
  /// Maximum number of attempts of a request that another node passed on: what it has left there.
  /// std::nullopt if that of the route holds, as it does for requests of builds that do not send
  /// it.
  std::optional<std::uint32_t> attempts_left;
  /// Number of pieces of each stage of the route, in the order of the stages.
  std::vector<std::uint32_t> pieces;
  std::string piece_key;

  /// @return number of prompt tokens that are not shared with requests of other sessions.
  [[nodiscard]] std::uint32_t own_tokens() const {
    return prompt_parts.empty() ? prompt_tokens : prompt_parts.back().tokens;
  }
};

/// The head of a replica's answer.
struct answer_head {
  unsigned status = 0;
  /// Header fields that are forwarded to the client.
  header_list headers;
  /// Whether the replica marked the answer with its seal: an answer that reports success without a
  /// seal is not valid.
  bool sealed = false;
  /// Whether the replica did not run the request and will not run it later.
  bool not_executed = false;
  /// Whether the called address belongs to another replica than the call was meant for.
  bool misdirected = false;
  /// Whether the body has a content encoding, although the call did not ask for an encoding.
  bool encoded = false;
};

} // namespace spurrack::serving
