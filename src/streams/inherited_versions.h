/// What a node learned from other nodes about the time before it knew the list of replicas itself.
#pragma once

#include "base/time.h"
#include "streams/version_evidence.h"

#include <map>
#include <optional>
#include <string>

namespace spurrack::streams {

/// A node that has just started, or that missed changes of the list, asks nodes that have known the
/// list for longer. What they answer holds as long as this node misses nothing again, so that the
/// knowledge of a fleet outlives each of its nodes. Not thread-safe.
class inherited_versions {
 public:
  /// Adopts the answer of another node about a service.
  /// @param unbroken_since time since which this node knows the list without a gap; not later than
  ///        the question, so that no time lies between the answer and this node's own knowledge.
  void adopt(const std::string& service, const sole_version& answer,
             base::time_point unbroken_since);

  /// @param unbroken_since time since which this node knows the list without a gap now.
  /// @return time since which the version began every stream of the service by the answers that
  ///         still hold; std::nullopt if there are none.
  [[nodiscard]] std::optional<base::time_point> since(const std::string& service,
                                                      const base::software_version& version,
                                                      base::time_point unbroken_since) const;

 private:
  struct inherited_answer {
    sole_version sole;
    base::time_point unbroken_since;
  };

  std::map<std::string, inherited_answer> answers_;
};

} // namespace spurrack::streams
