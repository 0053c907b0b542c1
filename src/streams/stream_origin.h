/// Origin of a stream: the service and the software version of the replica that wrote its first
/// event. What replicas of two software versions write does not fit together, so a stream goes on
/// only at its origin, over all attempts of its client.
#pragma once

#include "base/digest.h"
#include "base/ids.h"

#include <compare>
#include <string>

namespace spurrack::streams {

/// Identifies a stream by its tenant and the client attempt that brought its first event. A tenant
/// cannot name the stream of another tenant.
using stream_key = base::digest;

/// @param tenant name of the tenant; empty if the route is public.
/// @param first_attempt id of the client attempt that brought the first event.
[[nodiscard]] inline stream_key key_of(const std::string& tenant,
                                       const base::request_id& first_attempt) {
  return base::digest::of({tenant, first_attempt.text()});
}

struct stream_origin {
  std::string service;
  base::software_version version;
  auto operator<=>(const stream_origin&) const = default;
};

} // namespace spurrack::streams
