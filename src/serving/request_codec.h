/// The format in which clients and replicas speak, behind one narrow interface: names of header
/// fields, paths and bodies are known to its implementation alone.
#pragma once

#include "serving/events.h"
#include "serving/request.h"

#include <optional>
#include <string>
#include <vector>

namespace spurrack::serving {

/// A request as the HTTP layer read it.
struct raw_request {
  std::string method;
  std::string target;
  header_list headers;
  std::string body;
  bool has_body = false;
};

/// An answer's head as the HTTP layer read it.
struct raw_answer {
  unsigned status = 0;
  header_list headers;
};

/// What a call looks like on the wire.
struct encoded_call {
  std::string method;
  std::string target;
  /// Without fields that frame the body or concern the connection.
  header_list headers;
  std::string body;
  bool has_body = false;
};

/// A request that breaks the format.
struct bad_request {
  std::string reason;
};

/// Contract: stateless; the same input gives the same output.
class request_codec {
 public:
  request_codec() = default;
  request_codec(const request_codec&) = delete;
  request_codec& operator=(const request_codec&) = delete;
  virtual ~request_codec() = default;

  /// Reads a client's request.
  [[nodiscard]] virtual std::variant<request_content, bad_request>
  read_request(raw_request raw) const = 0;
  /// @return header fields of an answer of spurrack's own to a request.
  [[nodiscard]] virtual header_list own_answer_headers(const base::request_id& id) const = 0;

  [[nodiscard]] virtual encoded_call encode(const start_call& call) const = 0;
  [[nodiscard]] virtual encoded_call encode(const start_stage_call& call) const = 0;
  [[nodiscard]] virtual encoded_call encode(const free_results& wanted) const = 0;

  /// Reads the head of any answer of a replica.
  [[nodiscard]] virtual answer_head read_answer(raw_answer raw) const = 0;
  /// Reads what any answer of a replica says of the replica itself.
  /// @return nothing where another process than the replica that was meant gave it.
  [[nodiscard]] virtual std::optional<replica_self_report>
  read_self_report(const raw_answer& raw) const = 0;
  /// @return the request an answer says it belongs to; nothing where it does not say.
  [[nodiscard]] virtual std::optional<std::string>
  answered_request(const header_list& headers) const = 0;
  /// @return one outcome for each piece asked; nothing where the body is not an answer to the call.
  [[nodiscard]] virtual std::optional<std::vector<piece_outcome>>
  read_pieces(const start_stage_call& call, const std::string& body) const = 0;
};

} // namespace spurrack::serving
