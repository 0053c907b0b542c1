#include "catalog/service_watch.h"

#include <algorithm>

namespace spurrack::catalog {

std::optional<base::revision> service_watch::next_read(bool may_read, base::time_point now) {
  const bool should_relist = relist_at_ && now >= *relist_at_;
  const bool was_sent_too_early = should_relist && pending_since_ < *relist_at_;
  const bool is_waiting = is_pending_ && now - pending_since_ < watch_timeout &&
                          !has_lost_answer(now) && !should_replace_ && !was_sent_too_early;
  if (is_waiting || !may_read || now < next_read_at_) {
    return std::nullopt;
  }
  should_replace_ = false;
  is_restarted_ = is_pending_;
  behind_since_.reset();
  is_pending_ = true;
  ++read_number_;
  has_stood_ = false;
  pending_since_ = now;
  last_probe_at_ = now;
  if (era_ == 0 && cursor_ == 0) {
    era_ = known_through_.era;
  }
  if (era_ == known_through_.era) {
    cursor_ = std::max(cursor_, known_through_.revision);
  }
  const auto after = should_relist ? 0 : cursor_;
  ++(after == 0 ? calls_.listings : calls_.watches);
  calls_.restarted_watches += is_restarted_ ? 1 : 0;
  requested_after_ = {after == 0 ? 0 : era_, after};
  allows_stale_ = after == 0 && !has_answered();
  hold_time_ = timing_.max_hold_time;
  return after;
}

void service_watch::note_known_through(store_position known_through, base::time_point now) {
  known_through_ = known_through;
  note_era(known_through.era, now);
}

void service_watch::note_era(base::store_era era, base::time_point now) {
  if (era > latest_era_) {
    latest_era_ = era;
    latest_era_since_ = now;
  }
}

bool service_watch::is_era_settled() const {
  return latest_era_ == 0 ||
         (latest_era_ == era_ && pending_since_ >= latest_era_since_ + era_settle_time);
}

void service_watch::request_read(base::time_point now) {
  should_replace_ = true;
  next_read_at_ = std::min(next_read_at_, now);
}

base::time_point service_watch::confirmed_time(bool is_empty, base::time_point now) const {
  // Only an empty answer at the end of the hold time left the service as late as that. Any other
  // answer left it at an unknown time after the read was sent.
  const base::time_point hold_ends_at = pending_since_ + hold_time_;
  const bool was_held = is_empty && !has_stood_ && now >= hold_ends_at;
  return was_held ? hold_ends_at : pending_since_;
}

base::duration service_watch::remaining_hold_time(base::duration hold_time,
                                                  base::time_point now) const {
  const base::duration passed = last_confirmed_at_ ? now - *last_confirmed_at_ : base::duration{};
  return std::max(hold_time - passed, immediate_hold_time);
}

void service_watch::note_latest_revision(base::store_era era, base::revision latest,
                                         base::time_point now) {
  const bool is_behind =
      is_pending_ && !is_restarted_ && cursor_ > 0 && era == era_ && latest > cursor_;
  behind_since_ = is_behind ? behind_since_.value_or(now) : std::optional<base::time_point>();
}

bool service_watch::start_probe_if_due(base::time_point now) {
  const bool is_due = is_pending_ && cursor_ > 0 && now - last_probe_at_ >= probe_period;
  if (is_due) {
    last_probe_at_ = now;
    ++calls_.probes;
  }
  return is_due;
}

bool service_watch::has_lost_answer(base::time_point now) const {
  return behind_since_ && now - *behind_since_ >= lost_answer_timeout;
}

answer_meaning service_watch::on_answer(const service_position& answered, bool has_changes,
                                        base::time_point now) {
  const bool was_pending = is_pending_;
  is_pending_ = false;
  is_restarted_ = false;
  last_answer_at_ = now;
  retry_interval_ = std::min(initial_retry_interval, timing_.max_retry_interval);
  const bool has_frequent_changes = has_changes && now - pending_since_ < read_interval_;
  read_interval_ =
      has_frequent_changes
          ? std::min(read_interval_ * 2, std::max(timing_.max_read_interval, min_read_interval))
          : min_read_interval;
  const base::time_point hold_ends_at = pending_since_ + hold_time_;
  next_read_at_ = has_changes ? std::clamp(hold_ends_at, now, now + read_interval_) : now;
  answer_meaning meaning;
  meaning.is_outdated = answered.era && *answered.era < era_;
  meaning.is_implausible = answered.era && era_ > 0 && *answered.era > era_ + max_missed_eras;
  if (meaning.is_outdated || meaning.is_implausible) {
    next_read_at_ = now + initial_retry_interval;
    meaning.era = era_;
    return meaning;
  }
  if (!allows_stale_) {
    const bool is_empty = !has_changes && !answered.is_listing;
    meaning.confirmed_at = confirmed_time(is_empty, now);
    last_confirmed_at_ = meaning.confirmed_at;
  }
  meaning.is_new_era = era_ > 0 && answered.era && *answered.era > era_;
  meaning.has_earlier_revision = !meaning.is_new_era && answered.revision < cursor_;
  era_ = answered.era.value_or(era_);
  note_era(era_, now);
  meaning.era = era_;
  if (answered.is_listing) {
    meaning.after = store_position{};
  } else if (requested_after_.era == era_ || requested_after_.era == 0) {
    meaning.after = requested_after_;
  }
  cursor_ = answered.revision;
  if (meaning.is_new_era) {
    relist_at_ = now + era_settle_time;
    cursor_ = answered.is_listing ? answered.revision : 0;
    next_read_at_ = now;
  }
  const bool is_relist_due = relist_at_ && pending_since_ >= *relist_at_;
  meaning.should_delete_unlisted = answered.is_listing && (!relist_at_ || is_relist_due);
  if (answered.is_listing && is_relist_due) {
    relist_at_.reset();
  }
  const bool is_complete = meaning.after && !relist_at_ && is_era_settled();
  if (was_pending && !allows_stale_ && !meaning.has_earlier_revision && is_complete) {
    meaning.verified_at = pending_since_;
  }
  return meaning;
}

void service_watch::on_failure(base::time_point now) {
  is_pending_ = false;
  is_restarted_ = false;
  next_read_at_ = now + retry_interval_;
  retry_interval_ = std::min(retry_interval_ * 2, timing_.max_retry_interval);
}

} // namespace spurrack::catalog
