/// Parts of `replica_table` for replicas that announce a limit of requests per second.
#include "replicas/replica_table.h"

#include "replicas/replica_chooser.h"

#include <algorithm>

namespace spurrack::serving {
namespace {

/// A limit is stale if no answer has confirmed it for this time. Only an answer shows that a limit
/// is lifted or has changed; therefore a replica with a stale limit gets the next request for which
/// this node has a permit, before all other candidates.
constexpr base::duration limit_stale_time = std::chrono::seconds(2);
/// `limit_stale_time` for a request with a long prompt. It is longer because another engine may
/// have most of the prompt in its prefix cache.
constexpr base::duration limit_stale_time_long_prompt = std::chrono::seconds(10);
/// Maximum number of tokens of a short prompt.
constexpr std::uint32_t short_prompt_tokens = 1'000;

} // namespace

std::optional<double> replica_table::limit_of(const replica_state& state) const {
  return limits_ == nullptr ? std::nullopt : limits_->announced_limits().limit_of(state.record->id);
}

double replica_table::limited_capacity_fraction(const replica_state& state,
                                                base::duration call_time) const {
  const auto limit = limit_of(state);
  return limit ? std::min(1.0, *limit * base::to_seconds(call_time)) : 1;
}

void replica_table::note_calls_waiting_for_permit(const base::replica_id& id, std::uint32_t count,
                                                  base::time_point now) {
  if (limits_ != nullptr && limits_->announced_limits().limit_of(id)) {
    limits_->note_waiting(id, count, now);
  }
}

std::vector<const replica_state*>
replica_table::candidates_without_permit(const replica_requirements& demand,
                                         base::time_point now) const {
  std::vector<const replica_state*> found;
  if (limits_ == nullptr || !limits_->has_limits()) {
    return found;
  }
  for (const auto* state : index_.of_service(demand.service)) {
    const bool is_limited = limits_->announced_limits().limit_of(state->record->id).has_value();
    if (is_limited && accepts_calls(*state, now) && could_serve(demand, *state) &&
        !has_permit(*state, now)) {
      found.push_back(state);
    }
  }
  return found;
}

void replica_table::exclude_limited(std::vector<const replica_state*>& candidates,
                                    const replica_requirements& demand) const {
  const bool depends_on_replica = demand.results_zone != nullptr || demand.is_planned;
  if (limits_ == nullptr || !limits_->has_limits() || !depends_on_replica) {
    return;
  }
  const auto is_limited = [&](const replica_state* state) { return limit_of(*state).has_value(); };
  if (std::all_of(candidates.begin(), candidates.end(), is_limited)) {
    return;
  }
  std::erase_if(candidates, [&](const replica_state* state) {
    return is_limited(state) && (demand.is_planned || state->record->zone != *demand.results_zone);
  });
}

const replica_state*
replica_table::find_candidate_with_stale_limit(const std::vector<const replica_state*>& candidates,
                                               const replica_requirements& demand,
                                               base::time_point now) const {
  if (limits_ == nullptr || !limits_->has_limits() || demand.is_planned) {
    return nullptr;
  }
  const bool is_short = demand.content.prompt_tokens <= short_prompt_tokens;
  const auto stale_time = is_short ? limit_stale_time : limit_stale_time_long_prompt;
  const auto found =
      std::find_if(candidates.begin(), candidates.end(), [&](const replica_state* state) {
        const auto* record = limits_->announced_limits().find(state->record->id);
        return record != nullptr && record->per_second &&
               now - record->last_reported_at >= stale_time;
      });
  return found == candidates.end() ? nullptr : *found;
}

} // namespace spurrack::serving
