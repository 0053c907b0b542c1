/// Results of pieces in messages between nodes.
#pragma once

#include "stage_work/stage_result.h"
#include "wire/peer.pb.h"

#include <vector>

namespace spurrack::serving {

void write_producer(const result_producer& producer, wire::result_producer& message);
[[nodiscard]] result_producer read_producer(const wire::result_producer& message);

/// Writes the inputs of a piece, and each of their producers once.
void write_inputs(const std::vector<stage_result>& inputs, wire::piece_request& request);
/// @return the inputs of a piece; the producers are unknown if a node of an older build sent it.
[[nodiscard]] std::vector<stage_result> read_inputs(const wire::piece_request& request);

} // namespace spurrack::serving
