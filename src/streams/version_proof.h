/// Decides whether a stream without a record of its origin was begun by the only software version
/// of its service. Not having heard of another version is no proof: the list of replicas must show
/// that there was none from the earliest time at which the stream may have begun to the time at
/// which the client had lost it.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "streams/origin_exchange.h"
#include "streams/version_evidence.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace spurrack::streams {

/// What a node knows when it judges a stream of unknown origin.
struct version_case {
  /// Whether the route leads to several services, of which any may have begun the stream.
  bool is_route_split = false;
  /// Software versions of the published replicas of the service.
  std::vector<base::software_version> published;
  version_evidence own;
  /// Outcome of the look-up.
  origin_finding finding;
  /// Earliest time at which the stream may have begun.
  base::time_point earliest_begin;
  /// Time at which the client had lost the stream.
  base::time_point lost_by;
  /// Time since which this node knows the list of replicas without a gap, or will know it once the
  /// list is confirmed again; std::nullopt if the list was never confirmed.
  std::optional<base::time_point> unbroken_since;
  /// Time as of which a call of this node shows the list to be complete; std::nullopt if none does.
  std::optional<base::time_point> verified_at;
  /// Longest time between two confirmations of a list in which no published replica is missed.
  base::duration max_gap{};
};

enum class version_verdict : std::uint8_t {
  proven_by_own_list,    ///< This node's list reaches back to the earliest begin.
  proven_by_other_nodes, ///< Other nodes know the time before this node's list.
  needs_verified_list,   ///< Proven if the list is the same once it is verified.
  several_services,      ///< Another service of the route may have begun the stream.
  several_versions,      ///< Another version may have begun the stream.
  begun_too_early,       ///< Nobody knows of one version alone since before the stream began.
};

/// @return verdict on the stream, whose version is the published one if it is proven.
[[nodiscard]] version_verdict judge(const version_case& known);

[[nodiscard]] inline bool is_proven(version_verdict verdict) {
  return verdict == version_verdict::proven_by_own_list ||
         verdict == version_verdict::proven_by_other_nodes;
}

/// @return text for the log.
[[nodiscard]] const char* text_of(version_verdict verdict);

} // namespace spurrack::streams
