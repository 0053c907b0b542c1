/// How the serving path tells its decisions to the time line and the log.
#pragma once

#include "base/event_log.h"
#include "base/ids.h"

#include <functional>
#include <string>

namespace spurrack::serving {

/// Called at each decision. `subject` names the replica, route or status concerned; `detail` the
/// inputs that decided, with their age or version.
using decision_recorder =
    std::function<void(base::event_kind, const base::request_id&, const std::string& subject,
                       const std::string& detail)>;

} // namespace spurrack::serving
