/// Metrics of the requests on published routes.
#pragma once

#include "dispatch/dispatcher.h"

#include <prometheus/registry.h>

namespace spurrack::daemon {

/// Adds the metrics of a dispatcher and of its parts to a registry.
void add_serving_metrics(prometheus::Registry& registry, const serving::dispatcher& dispatcher);

} // namespace spurrack::daemon
