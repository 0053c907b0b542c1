#include "catalog/service_watch.h"

#include <algorithm>

namespace spurrack::catalog {

std::optional<base::revision> service_watch::next_read(bool may_read, base::time_point now) {
  if (outstanding_ && now - outstanding_since_ < watch_timeout && !is_lost(now)) {
    return std::nullopt;
  }
  if (!may_read || now < next_try_) {
    return std::nullopt;
  }
  begun_anew_ = outstanding_;
  behind_since_.reset();
  outstanding_ = true;
  outstanding_since_ = now;
  probed_at_ = now;
  const bool lists_again = settles_at_ && now >= *settles_at_;
  const auto after = lists_again ? 0 : cursor_;
  ++(after == 0 ? calls_.listings : calls_.watches);
  calls_.restarted_watches += begun_anew_ ? 1 : 0;
  return after;
}

void service_watch::note_latest_revision(base::store_era era, base::revision newest,
                                         base::time_point now) {
  const bool is_behind =
      outstanding_ && !begun_anew_ && cursor_ > 0 && era == era_ && newest > cursor_;
  behind_since_ = is_behind ? behind_since_.value_or(now) : std::optional<base::time_point>();
}

bool service_watch::start_probe_if_due(base::time_point now) {
  const bool is_due = outstanding_ && cursor_ > 0 && now - probed_at_ >= probe_period;
  if (is_due) {
    probed_at_ = now;
    ++calls_.probes;
  }
  return is_due;
}

bool service_watch::is_lost(base::time_point now) const {
  return behind_since_ && now - *behind_since_ >= lost_answer_time;
}

answer_meaning service_watch::on_answer(const service_position& answered, bool has_changes,
                                        base::time_point now) {
  outstanding_ = false;
  begun_anew_ = false;
  last_answer_ = now;
  backoff_ = std::min(retry_first, timing_.max_retry_interval);
  const bool keep_coming = has_changes && now - outstanding_since_ < rest_;
  rest_ = keep_coming ? std::min(rest_ * 2, std::max(timing_.max_read_interval, min_read_interval))
                      : min_read_interval;
  next_try_ = has_changes ? now + rest_ : now;
  answer_meaning meaning;
  meaning.is_outdated = answered.era && *answered.era < era_;
  meaning.is_implausible = answered.era && era_ > 0 && *answered.era > era_ + most_eras_missed;
  if (meaning.is_outdated || meaning.is_implausible) {
    next_try_ = now + retry_first;
    meaning.era = era_;
    return meaning;
  }
  meaning.is_new_era = era_ > 0 && answered.era && *answered.era > era_;
  meaning.has_earlier_revision = !meaning.is_new_era && answered.revision < cursor_;
  era_ = answered.era.value_or(era_);
  meaning.era = era_;
  cursor_ = answered.revision;
  if (meaning.is_new_era) {
    settles_at_ = now + era_settle_time;
    cursor_ = answered.is_listing ? answered.revision : 0;
    next_try_ = now;
  }
  const bool settles = settles_at_ && now >= *settles_at_;
  meaning.should_delete_unlisted = answered.is_listing && (!settles_at_ || settles);
  if (answered.is_listing && settles) {
    settles_at_.reset();
  }
  return meaning;
}

void service_watch::on_failure(base::time_point now) {
  outstanding_ = false;
  begun_anew_ = false;
  next_try_ = now + backoff_;
  backoff_ = std::min(backoff_ * 2, timing_.max_retry_interval);
}

} // namespace spurrack::catalog
