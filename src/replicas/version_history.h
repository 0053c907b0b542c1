/// Software versions that the replicas of each service have, or had recently.
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace spurrack::serving {

/// A version whose last replica is no longer published still counts for `retention`: streams that
/// it began may be resumed. Not thread-safe.
class version_history {
 public:
  /// Longer than clients wait for a stream.
  static constexpr base::duration retention = std::chrono::minutes(10);

  void note_published(const std::string& service, const base::software_version& version);
  void note_removed(const std::string& service, const base::software_version& version,
                    base::time_point now);
  /// @return whether replicas of the service have, or had recently, different versions.
  [[nodiscard]] bool has_several(const std::string& service, base::time_point now) const;
  /// @return whether replicas of several versions are published now.
  [[nodiscard]] bool has_several_published(const std::string& service) const;
  /// @return versions of the published replicas of a service.
  [[nodiscard]] std::vector<base::software_version> published(const std::string& service) const;
  /// @return whether a replica of the version is, or was recently, published.
  [[nodiscard]] bool has_seen(const std::string& service, const base::software_version& version,
                              base::time_point now) const;

 private:
  struct version_presence {
    /// Number of published replicas.
    std::size_t replicas = 0;
    /// Time at which the last of them was removed.
    base::time_point removed_at;
  };
  static bool counts(const version_presence& presence, base::time_point now) {
    return presence.replicas > 0 || now - presence.removed_at < retention;
  }

  std::map<std::string, std::map<base::software_version, version_presence>> services_;
};

} // namespace spurrack::serving
