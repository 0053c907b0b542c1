#include "streams/inherited_versions.h"

#include <algorithm>

namespace spurrack::streams {

void inherited_versions::adopt(const std::string& service, const sole_version& answer,
                               base::time_point unbroken_since) {
  const auto known = since(service, answer.version, unbroken_since);
  const auto known_since = std::min(answer.since, known.value_or(answer.since));
  answers_[service] = {{answer.version, known_since, answer.through}, unbroken_since};
}

std::optional<base::time_point> inherited_versions::since(const std::string& service,
                                                          const base::software_version& version,
                                                          base::time_point unbroken_since) const {
  const auto found = answers_.find(service);
  const bool holds = found != answers_.end() && found->second.sole.version == version &&
                     found->second.unbroken_since == unbroken_since;
  return holds ? std::optional(found->second.sole.since) : std::nullopt;
}

} // namespace spurrack::streams
