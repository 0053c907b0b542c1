#include "replicas/version_history.h"

#include <algorithm>

namespace spurrack::serving {

void version_history::note_published(const std::string& service,
                                     const base::software_version& version) {
  ++services_[service][version].replicas;
}

void version_history::note_removed(const std::string& service,
                                   const base::software_version& version, base::time_point now) {
  auto& versions = services_.at(service);
  auto& presence = versions.at(version);
  --presence.replicas;
  presence.removed_at = now;
  std::erase_if(versions, [&](const auto& entry) { return !counts(entry.second, now); });
}

bool version_history::has_several(const std::string& service, base::time_point now) const {
  const auto found = services_.find(service);
  return found != services_.end() &&
         std::count_if(found->second.begin(), found->second.end(),
                       [&](const auto& entry) { return counts(entry.second, now); }) > 1;
}

bool version_history::has_several_published(const std::string& service) const {
  const auto found = services_.find(service);
  return found != services_.end() && found->second.size() > 1 &&
         std::count_if(found->second.begin(), found->second.end(),
                       [](const auto& entry) { return entry.second.replicas > 0; }) > 1;
}

std::vector<base::software_version> version_history::published(const std::string& service) const {
  std::vector<base::software_version> versions;
  if (const auto found = services_.find(service); found != services_.end()) {
    for (const auto& [version, presence] : found->second) {
      if (presence.replicas > 0) {
        versions.push_back(version);
      }
    }
  }
  return versions;
}

bool version_history::has_seen(const std::string& service, const base::software_version& version,
                               base::time_point now) const {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return false;
  }
  const auto presence = found->second.find(version);
  return presence != found->second.end() && counts(presence->second, now);
}

} // namespace spurrack::serving
