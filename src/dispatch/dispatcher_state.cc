#include "dispatch/dispatcher_state.h"

#include <algorithm>
#include <utility>

namespace spurrack::serving {

dispatcher_state::dispatcher_state(const fleet_peer& self, const serving_settings& settings,
                                   base::random_source& random, base::incarnation incarnation,
                                   decision_recorder record)
    : self_(self), settings_(settings), record_(std::move(record)), random_(&random),
      distance_from_self_(self.zone, settings.regions),
      self_reports_([this](const base::replica_id& id) { return find_published(id); }, random),
      limits_(
          self, self_reports_, [this](const base::replica_id& id) { return find_published(id); },
          incarnation),
      replicas_(self.node, self.zone, settings, random),
      plain_chooser_(replicas_, distance_from_self_, random),
      engine_directory_(self, settings.regions, replicas_),
      engine_chooser_(replicas_, engine_directory_, distance_from_self_, plain_chooser_),
      retry_budget_(settings.retry),
      budget_exchange_(retry_budget_, self.zone, random, incarnation),
      replica_reports_(replicas_, self.zone, settings.regions, random),
      relays_(settings.client_address, random),
      origins_(
          self, [this](const auto& service, auto now) { return version_evidence_of(service, now); },
          incarnation),
      crash_registry_(settings.quarantine), crash_reports_(crash_registry_, self.node, random),
      trials_(crash_registry_, self.node),
      stages_(
          self, replicas_, settings, [this] { return next_call_++; }, incarnation, record_),
      stop_plan_(settings.stop_admission) {
  replicas_.set_limits(limits_);
  replicas_.set_self_reports(self_reports_);
}

std::optional<self_reports::published_replica>
dispatcher_state::find_published(const base::replica_id& id) const {
  const auto* state = replicas_.find(id);
  if (state == nullptr) {
    return std::nullopt;
  }
  return self_reports::published_replica{
      state->record->zone, incarnation_fingerprint_of(*state->record), state->process};
}

streams::version_evidence dispatcher_state::version_evidence_of(const std::string& service,
                                                                base::time_point now) const {
  using streams::version_knowledge;
  const auto& versions = replicas_.versions();
  if (versions.has_several(service, now)) {
    return {version_knowledge::several, std::nullopt};
  }
  streams::version_evidence evidence;
  const auto published = versions.published(service);
  const auto unbroken_since = list_coverage_.unbroken_since();
  if (published.size() == 1 && unbroken_since) {
    // Until `max_gap` after the list was complete here, another node may have begun a stream by a
    // list that is older.
    const base::time_point since = *unbroken_since + list_coverage::max_gap;
    const auto inherited =
        inherited_versions_.since(service, published.front(), *unbroken_since).value_or(since);
    evidence.sole = {published.front(), std::min(since, inherited), replica_list_confirmed_at()};
  }
  if (!list_coverage_.is_current(now)) {
    evidence.knowledge = version_knowledge::outdated;
  } else if (!evidence.sole || evidence.sole->since > now) {
    evidence.knowledge = version_knowledge::recent;
  } else {
    evidence.knowledge = version_knowledge::one;
  }
  return evidence;
}

} // namespace spurrack::serving
