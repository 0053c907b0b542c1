/// Answers that end before they are whole: what is counted and logged of each.
#include "dispatch/dispatcher.h"

namespace spurrack::serving {
namespace {

/// @return time since `when` in whole milliseconds for the log; "never" for the epoch.
std::string age_text(base::time_point when, base::time_point now) {
  return when == base::time_point{} ? "never"
                                    : std::to_string(base::to_milliseconds(now - when)) + " ms ago";
}

} // namespace

void dispatcher::record_early_end(const active_request& request, const std::string& reason,
                                  end_evidence evidence, base::time_point now) {
  ++counters_.early_ends[serving::name_of(evidence)];
  if (evidence == end_evidence::deadline_passed) {
    return;
  }
  const auto version = configuration_ ? configuration_->version : 0;
  record(base::event_kind::answer_ended_early, request,
         request.call ? request.call->replica.text() : "",
         reason + ", evidence " + std::string(serving::name_of(evidence)) + ", " +
             (request.has_begun_stream ? "inside its stream" : "before its answer") +
             silence_text(request, now) + ", this process stood " +
             std::to_string(base::to_milliseconds(latest_stand_)) + " ms " +
             age_text(latest_stand_ended_at_, now) + ", configuration " + std::to_string(version) +
             " applied " + age_text(configuration_applied_at_, now) + ", attempt " +
             std::to_string(request.attempts) + " of " + std::to_string(request.max_attempts));
}

std::string dispatcher_state::silence_text(const active_request& request,
                                           base::time_point now) const {
  if (!request.call) {
    return ", no call";
  }
  const auto* replica = replicas_.find(request.call->replica);
  std::string text = ", silent for " +
                     std::to_string(base::to_milliseconds(now - last_progress_of(request))) + " ms";
  if (replica == nullptr) {
    return text + ", its replica is not published";
  }
  return text + ", its replica heard " + age_text(replica->last_activity_at, now) + " here and " +
         age_text(replica->peer_reported_activity_at, now) + " elsewhere, reported silent " +
         age_text(replica->peer_reported_down_at, now) +
         (replica->record->draining ? ", draining" : ", serving");
}

} // namespace spurrack::serving
