/// Fleets some of whose nodes lose their access to the platform's store or to their peers.
#pragma once

#include "simulation/fleet_simulation.h"

#include <set>
#include <string>
#include <vector>

namespace spurrack::simulation {

using node_names = std::vector<std::string>;

inline void set_access(fleet_simulation& fleet, const node_names& names, store_access access) {
  for (const auto& name : names) {
    fleet.set_store_access(name, access);
  }
}

inline void set_access(fleet_simulation& fleet, const node_names& names, peer_access access) {
  for (const auto& name : names) {
    fleet.set_peer_access(name, access);
  }
}

/// @return the nodes that now read a platform service for the whole fleet.
inline node_names readers_of(fleet_simulation& fleet, node::source_kind source) {
  node_names readers;
  for (const auto& name : fleet.node_names()) {
    if (fleet.node(name).should_read_service(source, fleet.now())) {
      readers.push_back(name);
    }
  }
  return readers;
}

/// @return about a third of the nodes, drawn at random, and `included`.
inline node_names third_with(fleet_simulation& fleet, const node_names& included) {
  std::set<std::string> chosen(included.begin(), included.end());
  for (const auto& name : fleet.node_names()) {
    if (chosen.size() * 3 < fleet.node_names().size() && fleet.random().below(3) == 0) {
      chosen.insert(name);
    }
  }
  return {chosen.begin(), chosen.end()};
}

/// @return nodes that the time limit of a change holds for: their processes run and they have
///         access to the store.
inline node_names unimpaired_nodes(fleet_simulation& fleet) {
  node_names names;
  for (const auto& name : fleet.node_names()) {
    if (fleet.is_alive(name) && !fleet.is_frozen(name) && !fleet.node(name).is_stopping() &&
        fleet.store_access_of(name) == store_access::reachable) {
      names.push_back(name);
    }
  }
  return names;
}

} // namespace spurrack::simulation
