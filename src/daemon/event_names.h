/// Names of the events of a node, for logs and metrics.
#pragma once

#include "node/events.h"

#include <string_view>

namespace spurrack::daemon {

/// @return name of the type of an event; for an event of the serving path, the name of the inner
/// type.
[[nodiscard]] std::string_view name_of(const node::event& input_event);

} // namespace spurrack::daemon
