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
/// Minimum interval between two unanswered attempts of one node.
constexpr base::duration min_attempt_interval = std::chrono::seconds(2);

std::size_t first_turns_per_zone(const turn_order& order) {
  return std::max(min_first_turns_per_zone, (first_turns + order.zones - 1) / order.zones);
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

base::duration read_turns::age_at_turn(const turn_order& order) const {
  if (order.reader_rank) {
    return limits_.confirm_interval + reader_margin + turn_step * *order.reader_rank;
  }
  if (order.is_isolated) {
    return limits_.max_age;
  }
  const auto first = first_turns_per_zone(order);
  if (order.zone_rank < first) {
    return limits_.max_age + turn_step * order.zone_rank;
  }
  const auto later_turn = static_cast<double>((order.zone_rank - first + 1) * order.zones);
  return limits_.max_age + turn_step * first +
         base::from_seconds(later_turn / later_turns_per_second);
}

bool read_turns::is_due(const turn_order& order, const std::optional<base::duration>& age,
                        base::time_point now) const {
  if (age && *age < age_at_turn(order)) {
    return false;
  }
  return !last_attempt_at_ || now - *last_attempt_at_ >= attempt_interval(order);
}

base::duration read_turns::attempt_interval(const turn_order& order) {
  if (order.reader_rank || order.is_isolated) {
    return min_attempt_interval;
  }
  const auto all_nodes_once =
      base::from_seconds(static_cast<double>(order.nodes) / later_turns_per_second);
  return std::max<base::duration>(min_attempt_interval, all_nodes_once);
}

} // namespace spurrack::catalog
