/// Serializes HTTP/1.1 answers of the serving path to clients.
#pragma once

#include "serving/request.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace spurrack::http {

/// What happens to a connection after an answer.
enum class after_answer : std::uint8_t { keep_open, close };

/// @param body_bytes length of the body; std::nullopt if it is not known, which only an answer to a
///        HEAD request may leave open.
/// @return the head of an answer with a body of known length; without Content-Length if the length
///         is not known, or answers of this status have no body.
std::string fixed_length_head(unsigned status, const serving::header_list& headers,
                              std::optional<std::size_t> body_bytes, after_answer connection);

bool has_body(unsigned status);

/// @param head_only whether the request was a HEAD request: the body is left out.
/// @return a complete answer with Content-Length.
std::string whole_answer(unsigned status, const serving::header_list& headers,
                         std::string_view body, bool head_only, after_answer connection);

/// @return the head of an answer with a body in chunked transfer encoding.
std::string chunked_head(unsigned status, const serving::header_list& headers,
                         after_answer connection);

/// @return the head of an answer whose body has neither a length nor chunks and ends with the
///         connection.
std::string open_ended_head(unsigned status, const serving::header_list& headers);

/// @return one chunk with its framing.
/// @param bytes must not be empty: an empty chunk ends the body.
std::string chunk(std::string_view bytes);

/// Final chunk of a body in chunked transfer encoding.
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

} // namespace spurrack::http
