/// How a replica is chosen for a request: one interface, one policy for each kind of service.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "model/residency.h"
#include "replicas/replica_table.h"
#include "serving/request.h"

#include <set>
#include <string>

namespace spurrack::serving {

/// What a request asks of the replica that is to run it. Refers to objects of the request.
struct replica_demand {
  const std::string& service;
  const request_content& content;
  /// Regions in which the request may run.
  const model::residency& permitted_regions;
  /// Replicas that were tried already.
  const std::set<base::replica_id>& excluded;
  /// Where the results lie that the request needs; null where it needs none.
  const base::zone_id* results_zone = nullptr;
  /// It is sent later, when permits that are held now are void.
  bool is_planned = false;
};

/// Contract: chooses among what the replica table offers and changes nothing there.
class replica_chooser {
 public:
  replica_chooser() = default;
  replica_chooser(const replica_chooser&) = delete;
  replica_chooser& operator=(const replica_chooser&) = delete;
  virtual ~replica_chooser() = default;

  /// @return null where none can take the request.
  [[nodiscard]] virtual const replica_state* choose(const replica_demand& demand,
                                                    base::time_point now) = 0;
};

} // namespace spurrack::serving
