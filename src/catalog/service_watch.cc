#include "catalog/service_watch.h"

#include <algorithm>

namespace spurrack::catalog {

std::optional<base::revision> service_watch::next_read(bool holds_job, base::time_point now) {
  if (outstanding_ && now - outstanding_since_ < watch_timeout) {
    return std::nullopt;
  }
  if (!holds_job || now < next_try_) {
    return std::nullopt;
  }
  outstanding_ = true;
  outstanding_since_ = now;
  ++calls_;
  return cursor_;
}

bool service_watch::on_answer(base::revision service_revision, bool has_changes,
                              base::time_point now) {
  const bool went_back = service_revision < cursor_;
  outstanding_ = false;
  cursor_ = service_revision;
  last_answer_ = now;
  backoff_ = std::min(retry_first, retry_longest_);
  next_try_ = has_changes ? now + rest_after_changes : now;
  return went_back;
}

void service_watch::on_failure(base::time_point now) {
  outstanding_ = false;
  next_try_ = now + backoff_;
  backoff_ = std::min(backoff_ * 2, retry_longest_);
}

} // namespace spurrack::catalog
