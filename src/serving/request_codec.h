/// Interface of the codec for the wire format of clients and replicas. Only the implementation of
/// the codec knows the names of header fields, the paths and the format of bodies.
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

/// The head of an answer as the HTTP layer read it.
struct raw_answer {
  unsigned status = 0;
  header_list headers;
};

/// A call to a replica in its wire format.
struct encoded_call {
  std::string method;
  std::string target;
  /// Header fields, without those that frame the body or control the connection.
  header_list headers;
  std::string body;
  bool has_body = false;
};

/// A request that does not follow the wire format.
struct bad_request {
  /// Reason that is sent to the client.
  std::string reason;
};

/// Translates requests and answers from and to the wire format. Implementations must be stateless:
/// equal input gives equal output.
class request_codec {
 public:
  request_codec() = default;
  request_codec(const request_codec&) = delete;
  request_codec& operator=(const request_codec&) = delete;
  virtual ~request_codec() = default;

  [[nodiscard]] virtual std::variant<request_content, bad_request>
  read_request(raw_request raw) const = 0;
  /// @return the header fields of an answer that spurrack itself gives to a request.
  [[nodiscard]] virtual header_list local_answer_headers(const base::request_id& id) const = 0;

  [[nodiscard]] virtual encoded_call encode(const start_call& call) const = 0;
  /// @param id that the call carries and its answer names.
  [[nodiscard]] virtual encoded_call encode(const start_stage_call& call,
                                            const std::string& id) const = 0;
  [[nodiscard]] virtual encoded_call encode(const free_results& results,
                                            const std::string& id) const = 0;

  /// Decodes the head of an answer of a replica.
  [[nodiscard]] virtual answer_head read_answer(raw_answer raw) const = 0;
  /// Decodes what an answer reports of its replica.
  /// @return std::nullopt if another process than the called replica gave the answer.
  [[nodiscard]] virtual std::optional<replica_self_report>
  read_self_report(const raw_answer& raw) const = 0;
  /// @return id of the call that an answer names: that of the client's request, or of this node's
  ///         own call; std::nullopt if the answer names none.
  [[nodiscard]] virtual std::optional<std::string>
  answered_call(const header_list& headers) const = 0;
  /// Decodes the answer to a call with pieces.
  /// @return one outcome for each piece of the call; std::nullopt if the body does not match the
  ///         call.
  [[nodiscard]] virtual std::optional<std::vector<piece_outcome>>
  read_pieces(const start_stage_call& call, const std::string& body) const = 0;
};

} // namespace spurrack::serving
