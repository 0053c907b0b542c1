#include "dispatch/framing_habits.h"

namespace spurrack::serving {
namespace {

/// Number of answers in a row that show a habit. If a third of the answers of replicas that
/// normally mark their ends are damaged, one series in 6,500 is as long by chance.
constexpr std::uint32_t habit_answers = 8;

} // namespace

bool framing_habits::leaves_ends_open(const std::string& route) const {
  const auto found = open_ends_in_a_row_.find(route);
  return found != open_ends_in_a_row_.end() && found->second >= habit_answers;
}

void framing_habits::keep_routes_of(const model::serving_configuration& configuration) {
  if (open_ends_in_a_row_.empty()) {
    return;
  }
  const auto names = configuration.route_names();
  std::erase_if(open_ends_in_a_row_,
                [&](const auto& entry) { return !names.contains(entry.first); });
}

} // namespace spurrack::serving
