#include "catalog/read_turns.h"

#include <algorithm>

namespace spurrack::catalog {
namespace {

/// Time that remains of the time limit of a change for the turns of several nodes, the read, the
/// spread to all nodes and late timers.
constexpr base::duration reserved_time = std::chrono::milliseconds(1'000);
/// Time by which a confirmation may be late before other nodes read.
constexpr base::duration confirmation_margin = std::chrono::milliseconds(150);
/// Age beyond `confirm_interval` from which the first reader counts as failed.
constexpr base::duration reader_margin = std::chrono::milliseconds(100);
/// Difference of the ages at which two successive nodes read.
constexpr base::duration turn_step = std::chrono::milliseconds(50);
/// Number of nodes of a region, besides the readers, that read within a few steps. If a third of
/// the nodes cannot read the service, one region in 6,500 has no such node that can.
constexpr std::size_t first_turns = 8;
/// Minimum number of these nodes in each zone, since a zone may be partitioned from the others.
constexpr std::size_t min_first_turns_per_zone = 2;
/// Maximum rate of the later turns of a whole region.
constexpr double later_turns_per_second = 0.4;
/// Minimum interval between two attempts of one node without a confirmation between them.
constexpr base::duration min_attempt_interval = std::chrono::seconds(2);

std::size_t first_turns_per_zone(const turn_order& order) {
  return std::max(min_first_turns_per_zone, (first_turns + order.zones - 1) / order.zones);
}

/// @return a number of nodes or turns in the type that durations are multiplied by.
std::int64_t count_of(std::size_t number) {
  return static_cast<std::int64_t>(number);
}

} // namespace

knowledge_limits limits_for(base::duration change_bound) {
  knowledge_limits limits;
  limits.change_bound = change_bound;
  limits.max_age = std::max<base::duration>(change_bound - reserved_time, change_bound / 2);
  limits.confirm_interval =
      std::max<base::duration>(limits.max_age - confirmation_margin, limits.max_age / 2);
  return limits;
}

read_turns::schedule read_turns::schedule_of(const turn_order& order) const {
  if (order.reader_rank) {
    const auto first =
        limits_.confirm_interval + reader_margin + turn_step * count_of(*order.reader_rank);
    return {first, first + min_attempt_interval, min_attempt_interval};
  }
  if (order.is_isolated) {
    return {limits_.max_age, limits_.max_age + min_attempt_interval, min_attempt_interval};
  }
  const auto first_of_zone = first_turns_per_zone(order);
  const auto zone_nodes = std::max(order.zone_nodes, order.zone_rank + 1);
  // The zones take the later turns alternately, and so do the nodes of a zone. The nodes that had
  // none of the first turns begin.
  const base::duration turn_interval = base::from_seconds(1 / later_turns_per_second);
  const auto position_in_zone = [&] {
    if (zone_nodes <= first_of_zone) {
      return order.zone_rank;
    }
    const bool had_first_turn = order.zone_rank < first_of_zone;
    return had_first_turn ? order.zone_rank + zone_nodes - first_of_zone
                          : order.zone_rank - first_of_zone;
  }();
  const auto position = position_in_zone * order.zones + order.zone_index + 1;
  schedule turns;
  turns.second =
      limits_.max_age + turn_step * count_of(first_of_zone) + turn_interval * count_of(position);
  turns.first = order.zone_rank < first_of_zone
                    ? limits_.max_age + turn_step * count_of(order.zone_rank)
                    : turns.second;
  turns.interval = std::max<base::duration>(min_attempt_interval,
                                            turn_interval * count_of(zone_nodes * order.zones));
  return turns;
}

base::duration read_turns::age_at_turn(const turn_order& order) const {
  return schedule_of(order).first;
}

base::duration read_turns::next_turn_after(const turn_order& order, base::duration age) const {
  const auto turns = schedule_of(order);
  if (age < turns.first) {
    return turns.first;
  }
  if (age < turns.second) {
    return turns.second;
  }
  return turns.second + turns.interval * ((age - turns.second) / turns.interval + 1);
}

bool read_turns::is_due(const turn_order& order, const std::optional<base::duration>& age,
                        base::time_point now) const {
  const auto turns = schedule_of(order);
  if (!age) {
    return !attempted_at_ || now - *attempted_at_ >= turns.interval;
  }
  if (*age < turns.first) {
    return false;
  }
  const base::time_point confirmed_at = now - *age;
  if (!attempted_at_ || *attempted_at_ < confirmed_at) {
    return true;
  }
  const bool has_later_turn = *age >= turns.second;
  if (!has_later_turn) {
    return false;
  }
  const auto turns_before = (*age - turns.second) / turns.interval;
  const base::time_point turn_began_at =
      confirmed_at + turns.second + turns.interval * turns_before;
  // The second condition holds for the turns of one order. It fails if the order has changed, or if
  // the time of the confirmation was corrected, and the turn that the attempt was made in comes
  // again.
  const auto min_interval =
      turns_before == 0 ? min_attempt_interval
                        : std::max<base::duration>(min_attempt_interval, turns.interval / 2);
  return *attempted_at_ < turn_began_at && now - *attempted_at_ >= min_interval;
}

void read_turns::note_attempt(base::time_point now) {
  attempted_at_ = now;
  ++attempts_;
}

void read_turns::note_confirmation(base::time_point confirmed_at) {
  if (attempted_at_ && confirmed_at > *attempted_at_) {
    attempted_at_.reset();
  }
}

} // namespace spurrack::catalog
