#include "dispatch/stop_plan.h"

namespace spurrack::serving {
namespace {

/// Minimum time between the expected completion of a request and the end of the process. It covers
/// writing the last bytes, and the delays of a node that is short of processor time.
constexpr base::duration end_margin = std::chrono::milliseconds(150);

} // namespace

void stop_plan::begin(base::time_point now, base::time_point must_end_at) {
  times_ = {now, must_end_at};
}

bool stop_plan::accepts(const remaining_work& work, base::time_point now) const {
  if (!times_) {
    return true;
  }
  const auto accept_window =
      work.is_stream ? admission_windows_.streams : admission_windows_.requests;
  return now - times_->begun_at < accept_window && may_send(work, now);
}

bool stop_plan::may_send(const remaining_work& work, base::time_point now) const {
  if (!times_ || work.answer_deadline <= times_->must_end_at) {
    return true;
  }
  return !work.runs_at_most_once && work.expected_duration &&
         now + *work.expected_duration + end_margin <= times_->must_end_at;
}

} // namespace spurrack::serving
