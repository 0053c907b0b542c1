/// Checks of the bytes that a client of the fault soak received: whether they come from one run of
/// the request at a replica, from their beginning on.
#pragma once

#include "soak_request.h"

#include <cstddef>
#include <optional>
#include <string>

namespace spurrack::platform_tests {

/// @return what wrote a whole event of a stream; std::nullopt if `text` is not the event with this
///         number, or is joined from the events of two runs.
std::optional<event_origin> origin_of_event(const std::string& id, std::size_t number,
                                            const std::string& text);
/// @return whether `text` is the event with this number or its beginning. True for an empty text.
bool is_beginning_of_event(const std::string& id, std::size_t number, const std::string& text);
/// @return whether `body` is the whole answer of one run to a request that is not answered with an
///         event stream.
bool is_whole_answer(const std::string& id, const std::string& body);
/// @return whether `body` is the answer of one run or its beginning. True for an empty body.
bool is_beginning_of_answer(const std::string& id, const std::string& body);

} // namespace spurrack::platform_tests
