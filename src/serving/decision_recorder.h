/// Callback with which the serving path records its decisions on the timeline and in the log.
#pragma once

#include "base/event_log.h"
#include "base/ids.h"

#include <functional>
#include <string>

namespace spurrack::serving {

/// Called at each decision. `subject` names the replica, route or status that the decision
/// concerns; `detail` names the inputs of the decision with their age or version.
using decision_recorder =
    std::function<void(base::event_kind, const base::request_id&, const std::string& subject,
                       const std::string& detail)>;

} // namespace spurrack::serving
