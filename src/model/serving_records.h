/// Published records of the serving path, validated: routes, services, access keys and replicas.
/// Immutable once built; a request keeps the configuration it began with.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "model/residency.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace spurrack::model {

/// What may be repeated, and how an answer is read.
enum class route_kind : std::uint8_t {
  safe,      ///< May run more than once.
  unsafe,    ///< Runs at most once.
  streaming, ///< Answers with events; runs at most once unless it may be resumed.
};

/// Work that must be finished before a request may run.
struct stage_step {
  std::string service;
  /// Indices of the stages whose results each piece of this one needs. Never contains a cycle.
  std::vector<std::uint32_t> start_after;
  /// Approximate size of one result.
  double result_bytes = 0;
};

struct weighted_service {
  std::string service;
  std::uint32_t weight = 1;
};

/// A route: which requests it takes and how they are served.
struct route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  route_kind kind = route_kind::unsafe;
  /// At least one; weights add up to more than 0.
  std::vector<weighted_service> services;
  /// Longest time a request is held; nothing where there is none.
  std::optional<base::duration> timeout;
  /// Time within which an answer is worth most.
  base::duration target_latency{};
  /// 0 is the highest.
  std::uint32_t priority = 0;
  /// Most replicas one request may be sent to.
  std::uint32_t max_attempts = 1;
  bool is_public = false;
  bool resumable = false;
  /// Longest pause between two events that is still in time.
  base::duration gap_target{};
  /// Clients leave when nothing has come after this time; nothing where they wait for all of
  /// theirs.
  std::optional<base::duration> client_patience;
  std::vector<stage_step> stages;
  /// Regions in which requests of the route may be served and what they make may be kept.
  residency permitted_regions;

  /// @return whether a request may run more than once.
  [[nodiscard]] bool is_repeatable() const {
    return kind == route_kind::safe || (kind == route_kind::streaming && resumable);
  }
};

/// Capacity of one replica of a service that works on pieces of stages.
struct piece_capacity {
  std::uint32_t slots = 1;
  std::uint32_t queue = 0;
  /// Most pieces a call may hold.
  std::uint32_t batch = 1;
  /// Time a call takes whatever it holds, and the time each piece adds.
  base::duration call_time{};
  base::duration item_time{};
  /// Room for results that wait to be fetched, in bytes.
  double result_capacity_bytes = 0;
  /// How long a result lives after its call.
  base::duration result_lifetime{};
};

/// Capacity of one replica of a service that generates tokens.
struct engine_capacity {
  std::uint32_t slots = 1;
  /// Tokens that running requests and parts of prompts kept for later ones take together.
  std::uint64_t memory_tokens = 0;
  /// Size of one token in that memory, in bytes, and how fast replicas carry it to one another;
  /// 0 where that is not told.
  double token_bytes = 0;
  double link_bits_per_second = 0;
};

struct service {
  std::string name;
  std::string health_path;
  /// Connections a replica takes from all callers together; 0 where it is not told.
  std::uint32_t max_connections = 0;
  std::optional<piece_capacity> pieces;
  std::optional<engine_capacity> engine;
  /// Requests a second that a replica bears while it is cold, from all nodes together; 0 where
  /// there is no bound.
  double cold_requests_per_second = 0;
};

/// Holder of a key, and what it may claim.
struct key_holder {
  base::tenant_id tenant;
  /// Takes precedence over the route's priority.
  std::optional<std::uint32_t> priority;
  /// Regions in which the tenant's requests may be served and what they make may be kept.
  residency permitted_regions;
};

/// What a client may send, and how long it may take.
struct client_limits {
  std::uint32_t max_header_bytes = 16'384;
  std::uint32_t max_body_bytes = 4'194'304;
  base::duration header_timeout = std::chrono::seconds(3);
  base::duration idle_timeout = std::chrono::seconds(15);
};

/// The whole configuration of the serving path.
class serving_configuration {
 public:
  std::uint64_t version = 0;
  std::unordered_map<std::string, service> services;
  /// Key text to holder; empty where requests need no key.
  std::unordered_map<std::string, key_holder> keys;
  client_limits limits;
  /// By host; within a host the longest path prefix first.
  std::unordered_map<std::string, std::vector<std::shared_ptr<const route>>> routes_by_host;

  /// @param host without a port, in lower case; @param path without a query.
  /// @return the route with the longest prefix of `path`; null where there is none.
  [[nodiscard]] std::shared_ptr<const route> find_route(std::string_view host,
                                                        std::string_view path) const;
  /// Null where there is none.
  [[nodiscard]] const service* find_service(const std::string& name) const;
};

/// One life of a replica, from its start to its end. A replica that starts again under its id knows
/// nothing of before.
struct replica_incarnation {
  /// Unix milliseconds by the clock of the replica's machine: only whether two are equal means
  /// anything.
  std::uint64_t started_at_milliseconds = 0;
  bool operator==(const replica_incarnation&) const = default;
};

/// A replica as published.
struct replica {
  base::replica_id id;
  std::string service;
  base::network_address address;
  base::zone_id zone;
  std::uint32_t slots = 1;
  bool draining = false;
  /// It was published no longer and is so again only since the store came back from an older copy.
  bool may_be_deleted = false;
  /// How much longer it stays cold, counted from its publication; 0 where it is warm.
  base::duration cold_for{};
  /// Nothing where the replica does not say.
  std::optional<replica_incarnation> incarnation;
};

/// The operator asks to send nothing to the replicas of a zone, for as long as this is published.
struct evacuation {
  base::zone_id zone;
};

} // namespace spurrack::model
