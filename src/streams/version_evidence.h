/// What a node knows of the software versions of a service, and for which time it knows it.
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <optional>

namespace spurrack::streams {

enum class version_knowledge : std::uint8_t {
  one,      ///< There is one version now, and it began all streams that begin now.
  recent,   ///< As `one`, but the list of replicas is known without a gap for too short a time.
  several,  ///< There are several versions, or there were recently.
  outdated, ///< A second version is not known, but the list of replicas is too old to rule it out.
};

/// Statement that a version began every stream of a service that began from `since` through
/// `through`.
struct sole_version {
  base::software_version version;
  base::time_point since;
  /// Time at which the list of replicas was last known to be complete. The clock's epoch, which is
  /// before `since`, if that is not known: nodes of older builds do not tell it.
  base::time_point through;
};

struct version_evidence {
  version_knowledge knowledge = version_knowledge::outdated;
  /// Set if exactly one version is published and no other was recently.
  std::optional<sole_version> sole;
};

} // namespace spurrack::streams
