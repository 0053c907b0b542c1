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

/// One HTTP header field.
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

/// Content of a request that was read completely. Immutable after that.
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
  /// Time that the client waits for the answer, counted from the arrival of the request.
  std::optional<base::duration> time_allowed;
  /// Empty if the client sent no key.
  std::string api_key;
  /// Identifier of the last event that the client has received, if it resumes a stream.
  std::optional<std::uint64_t> resume_after;
  std::string model;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;
  /// Parts of the prompt, in order; no other request or session shares the last part.
  std::vector<prompt_part> prompt_parts;
  /// Number of pieces of each stage of the route.
  std::vector<std::uint32_t> pieces;
  std::string piece_key;

  /// @return number of prompt tokens that no other request shares.
  [[nodiscard]] std::uint32_t own_tokens() const {
    return prompt_parts.empty() ? prompt_tokens : prompt_parts.back().tokens;
  }
};

/// The head of a replica's answer.
struct answer_head {
  unsigned status = 0;
  /// Header fields that are forwarded to the client.
  header_list headers;
  /// The replica marked the answer with its seal.
  bool sealed = false;
  /// The replica did not run the request and will not run it later.
  bool not_executed = false;
  /// Another replica has this address.
  bool misdirected = false;
  /// The body has a content encoding, although the call did not ask for one.
  bool encoded = false;
};

} // namespace spurrack::serving
