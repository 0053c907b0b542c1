/// A client's request as the serving path sees it: what is passed on unchanged and what decides how
/// it is served. The format on the wire is the matter of a `request_codec`.
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

/// A part of a prompt that requests may share.
struct prompt_part {
  std::string id;
  std::uint32_t tokens = 0;
};

/// Everything known of a request once it is read whole. Immutable afterwards.
struct request_content {
  std::string method;
  /// Path with the query, byte for byte as the client sent it.
  std::string target;
  /// Path without the query.
  std::string path;
  /// Host without a port, in lower case.
  std::string host;
  /// Header fields that are passed on as they are.
  header_list headers;
  std::string body;
  bool has_body = false;

  base::request_id id;
  /// How long the client waits, counted from the arrival of the request.
  std::optional<base::duration> time_allowed;
  /// Empty where the client sent none.
  std::string api_key;
  /// Identifier of the last event the client has, where it takes up a stream.
  std::optional<std::uint64_t> resume_after;
  std::string model;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;
  /// Parts of the prompt, in order; the last belongs to this request or its session alone.
  std::vector<prompt_part> prompt_parts;
  /// Pieces of each stage of the route.
  std::vector<std::uint32_t> pieces;
  std::string piece_key;

  /// @return tokens of the prompt that no other request shares.
  [[nodiscard]] std::uint32_t own_tokens() const {
    return prompt_parts.empty() ? prompt_tokens : prompt_parts.back().tokens;
  }
};

/// What a replica's answer says of the request, besides its bytes.
struct answer_head {
  unsigned status = 0;
  /// Header fields that are passed on to the client.
  header_list headers;
  /// The replica vouches for the answer.
  bool sealed = false;
  /// The replica did not run the request and never will.
  bool not_executed = false;
  /// Another replica has this address.
  bool misdirected = false;
  /// The body is encoded, although nobody asked for it.
  bool encoded = false;
};

} // namespace spurrack::serving
