/// Interface of the policies that choose a replica for a request; one policy per kind of service.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "model/residency.h"
#include "replicas/replica_table.h"
#include "serving/request.h"

#include <set>
#include <string>

namespace spurrack::serving {

/// What a request requires of the replica that is to run it. Refers to objects of the request,
/// which must outlive this object.
struct replica_requirements {
  const std::string& service;
  const request_content& content;
  /// Regions in which the request may run.
  const model::residency& permitted_regions;
  /// Replicas that must not be chosen because the request was already sent to them.
  const std::set<base::replica_id>& excluded_replicas;
  /// Zone that stores the results that the request needs; null if it needs none.
  const base::zone_id* results_zone = nullptr;
  /// Whether the request is only planned: it is sent later, when the rate-limit permits that this
  /// node holds now have expired.
  bool is_planned = false;
  /// Software version that the replica must have, because a replica of this version wrote the
  /// events that the client has; null if any version will do.
  const base::software_version* version = nullptr;
};

/// Chooses a replica for each request. Implementations choose among the candidates of the replica
/// table and do not modify the table.
class replica_chooser {
 public:
  replica_chooser() = default;
  replica_chooser(const replica_chooser&) = delete;
  replica_chooser& operator=(const replica_chooser&) = delete;
  virtual ~replica_chooser() = default;

  /// @return the replica to call, owned by the replica table; null if no replica can accept the
  ///         request.
  [[nodiscard]] virtual const replica_state* choose(const replica_requirements& demand,
                                                    base::time_point now) = 0;
};

} // namespace spurrack::serving
