/// Text of HTTP/1.1 answers, as the serving path writes them to clients.
#pragma once

#include "serving/request.h"

#include <string>
#include <string_view>

namespace spurrack::http {

/// What an answer's connection does after it.
enum class after_answer : std::uint8_t { keep_open, close };

/// @return the head of a whole answer whose body of `body_bytes` follows, where it may have one.
std::string fixed_length_head(unsigned status, const serving::header_list& headers,
                              std::size_t body_bytes, after_answer connection);

/// @return whether answers of this status have a body at all.
bool has_body(unsigned status);

/// @param head_only the answer to a HEAD request: no body is written.
/// @return a whole answer with its length.
std::string whole_answer(unsigned status, const serving::header_list& headers,
                         std::string_view body, bool head_only, after_answer connection);

/// @return the head of an answer whose body follows in chunks.
std::string chunked_head(unsigned status, const serving::header_list& headers,
                         after_answer connection);

/// @return one chunk; never the last one.
std::string chunk(std::string_view bytes);

/// Ends a body in chunks.
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

} // namespace spurrack::http
