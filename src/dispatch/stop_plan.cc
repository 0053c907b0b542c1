#include "dispatch/stop_plan.h"

namespace spurrack::serving {
namespace {

/// Within this time new clients are led to other nodes: two looks at the readiness, a second apart,
/// and half a second for the answers. Streams are taken no longer, since how long they last is
/// known least and nothing mends a cut one.
constexpr base::duration led_elsewhere_after = std::chrono::milliseconds(2'500);
/// What is expected to end has ended this long before the process must: the last bytes are written,
/// and a node short of processor time is late with everything.
constexpr base::duration end_margin = std::chrono::milliseconds(150);

} // namespace

void stop_plan::begin(base::time_point now, base::time_point must_end_at) {
  times_ = {now, must_end_at};
}

bool stop_plan::is_early(base::time_point now) const {
  return now - times_->began < led_elsewhere_after;
}

bool stop_plan::takes(const work_ahead& work, base::time_point now) const {
  return !times_ || (may_send(work, now) && (!work.is_stream || is_early(now)));
}

bool stop_plan::may_send(const work_ahead& work, base::time_point now) const {
  if (!times_ || work.answered_by <= times_->must_end_at) {
    return true;
  }
  return work.expected && now + *work.expected + end_margin <= times_->must_end_at;
}

} // namespace spurrack::serving
