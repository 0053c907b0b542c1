#include "node/position_queries.h"

#include <algorithm>

namespace spurrack::node {
namespace {

/// @return time in which all nodes of a region may act once, at a rate for the whole region.
base::duration region_interval(std::size_t region_nodes, double per_second) {
  return base::from_seconds(static_cast<double>(region_nodes) / per_second);
}

} // namespace

base::time_point position_queries::due_at() const {
  return own_read_at_ ? std::min(next_attempt_at_, *own_read_at_) : next_attempt_at_;
}

position_queries::step position_queries::next_step(const reader_list& readers,
                                                   catalog::store_position known_through,
                                                   base::time_point now) {
  step next;
  if (now >= next_attempt_at_) {
    next.to_send = start_attempt(readers, known_through, now);
    next.should_read = readers.is_reader && !next.to_send;
  }
  next.should_read = takes_own_read(readers, now) || next.should_read;
  return next;
}

std::optional<position_queries::query>
position_queries::start_attempt(const reader_list& readers, catalog::store_position known_through,
                                base::time_point now) {
  if (now - last_attempt_at_ >= preference_lifetime) {
    passed_over_ = 0;
    failed_attempts_ = 0;
  } else if (is_unanswered_) {
    ++passed_over_;
    ++failed_attempts_;
  }
  last_attempt_at_ = now;
  attempt_interval_ = std::max<base::duration>(
      min_interval, region_interval(readers.region_nodes, reader_queries_per_second));
  next_attempt_at_ = now + std::max(answer_timeout, attempt_interval_);
  is_unanswered_ = true;
  const std::size_t own_places = readers.is_reader ? 1 : 0;
  const std::size_t places = own_places + readers.others.size();
  const std::size_t place = places == 0 ? 0 : passed_over_ % places;
  if (place < own_places || places == 0) {
    return std::nullopt;
  }
  query asked{readers.others[place - own_places], next_number_++};
  sent_.push_back({asked, now, known_through});
  if (sent_.size() > max_sent_queries) {
    sent_.pop_front();
  }
  return asked;
}

bool position_queries::takes_own_read(const reader_list& readers, base::time_point now) {
  const std::size_t places = readers.others.size() + (readers.is_reader ? 1 : 0);
  const bool is_alone = readers.is_isolated || places == 0;
  const bool has_asked_all = failed_attempts_ >= places;
  if (readers.is_reader || (!is_alone && !has_asked_all)) {
    own_read_at_.reset();
    return false;
  }
  const auto interval = region_interval(readers.region_nodes, own_reads_per_second);
  if (!own_read_at_) {
    const base::duration wait =
        is_alone ? base::duration{} : base::scaled(interval, random_->next_fraction());
    own_read_at_ = std::max(earliest_own_read_at_, now + wait);
  }
  if (now < *own_read_at_) {
    return false;
  }
  earliest_own_read_at_ = now + std::max<base::duration>(interval, min_interval);
  own_read_at_ = earliest_own_read_at_;
  return true;
}

std::optional<verified_position> position_queries::on_answer(const base::network_address& sender,
                                                             std::uint64_t number,
                                                             catalog::store_position through,
                                                             base::time_point now) {
  const auto found = std::find_if(sent_.begin(), sent_.end(), [&](const sent_query& asked) {
    return asked.sent.number == number && asked.sent.reader == sender;
  });
  if (found == sent_.end() || through < found->known_through) {
    return std::nullopt;
  }
  const verified_position verified{through, found->at};
  sent_.erase(found);
  note_verified(verified.at, now);
  return verified;
}

void position_queries::note_verified(base::time_point verified_at, base::time_point now) {
  if (is_unanswered_ && verified_at >= last_attempt_at_) {
    is_unanswered_ = false;
    failed_attempts_ = 0;
    next_attempt_at_ = std::max(now, last_attempt_at_ + attempt_interval_);
  }
}

} // namespace spurrack::node
