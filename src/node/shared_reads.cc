#include "node/shared_reads.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace spurrack::node {

void shared_reads::add(query asked) {
  if (queries_.size() < max_queries) {
    queries_.push_back(std::move(asked));
  }
}

std::optional<base::time_point> shared_reads::due_at() const {
  const bool is_needed = requested_at_ || !queries_.empty();
  return is_needed && !is_under_way_ ? std::optional(next_read_at_) : std::nullopt;
}

bool shared_reads::is_due(base::time_point now) const {
  const auto at = due_at();
  return at && *at <= now;
}

void shared_reads::note_sent(base::time_point now) {
  is_under_way_ = true;
  sent_at_ = now;
  next_read_at_ = now + min_interval;
}

std::vector<shared_reads::query> shared_reads::take_covered(base::time_point sent_at) {
  if (requested_at_ && *requested_at_ <= sent_at) {
    requested_at_.reset();
  }
  const auto covered =
      std::stable_partition(queries_.begin(), queries_.end(),
                            [&](const query& waiting) { return waiting.arrived_at > sent_at; });
  std::vector<query> taken(std::make_move_iterator(covered),
                           std::make_move_iterator(queries_.end()));
  queries_.erase(covered, queries_.end());
  return taken;
}

std::vector<shared_reads::query>
shared_reads::take_answered(const std::optional<base::time_point>& verified_at) {
  std::vector<query> answered;
  if (verified_at) {
    answered = take_covered(*verified_at);
  } else if (is_under_way_) {
    take_covered(sent_at_);
  }
  is_under_way_ = false;
  return answered;
}

void shared_reads::note_failure(base::time_point now) {
  if (!is_under_way_) {
    return;
  }
  is_under_way_ = false;
  take_covered(sent_at_);
  next_read_at_ = now + retry_interval;
}

} // namespace spurrack::node
