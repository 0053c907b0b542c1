/// Validated published records of the serving path: routes, services, access keys and replicas.
/// Immutable after construction; a request uses one configuration from its arrival to its end.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "model/residency.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace spurrack::model {

/// Kind of a route: whether its requests may be retried, and how their answers are read.
enum class route_kind : std::uint8_t {
  safe,      ///< A request may run more than once.
  unsafe,    ///< A request runs at most once.
  streaming, ///< Answers are event streams; a request runs at most once unless the route is
             ///< resumable.
};

/// Stage of a route: work that must be complete before a request runs.
struct stage_step {
  std::string service;
  /// Indices of the stages whose results each piece of this stage needs. The stages of a route form
  /// no cycle.
  std::vector<std::uint32_t> start_after;
  /// Approximate size of the result of one piece, in bytes.
  double result_bytes = 0;
};

/// Service of a route with its relative share of the route's requests.
struct weighted_service {
  std::string service;
  std::uint32_t weight = 1;
};

/// Route: the requests that it matches and how they are served.
struct route {
  std::string name;
  std::string host;
  /// Requests match if their path begins with this prefix. Begins and ends with a slash.
  std::string path_prefix;
  route_kind kind = route_kind::unsafe;
  /// Services that can answer the requests: at least one. The sum of the weights is greater than 0.
  std::vector<weighted_service> services;
  /// Maximum time from the arrival of a request to the end of its answer; std::nullopt if the route
  /// sets no limit.
  std::optional<base::duration> timeout;
  /// Time from the arrival of a request within which the answer has its full value for the client.
  base::duration target_latency{};
  /// Priority of the requests; 0 is the highest.
  std::uint32_t priority = 0;
  /// Maximum number of attempts of a request. An attempt that reaches no replica does not count.
  std::uint32_t max_attempts = 1;
  /// Whether requests need no access key.
  bool is_public = false;
  /// Whether a stream can be resumed at another replica.
  bool resumable = false;
  /// Interval after the previous event of a stream within which the next event is in time.
  base::duration gap_target{};
  /// Time from the arrival of a request after which its client disconnects if the client has
  /// received nothing; std::nullopt if the client waits until the deadline of the request.
  std::optional<base::duration> client_patience;
  std::vector<stage_step> stages;
  /// Regions in which requests of the route may be served and their data may be stored.
  residency permitted_regions;

  /// @return whether a request may run more than once.
  [[nodiscard]] bool is_repeatable() const {
    return kind == route_kind::safe || (kind == route_kind::streaming && resumable);
  }
};

/// Capacity of one replica of a service that runs pieces (parts of a stage of one request).
struct piece_capacity {
  /// Number of calls that the replica can run at the same time.
  std::uint32_t slots = 1;
  /// Number of calls that may wait at the replica for a slot.
  std::uint32_t queue = 0;
  /// Maximum number of pieces in one call.
  std::uint32_t max_pieces_per_call = 1;
  /// Fixed time of a call, and the time that each piece adds to the call.
  base::duration call_time{};
  base::duration piece_time{};
  /// Memory for results that wait to be fetched, in bytes.
  double result_capacity_bytes = 0;
  /// Time for which a replica keeps a result after the call that computed the result.
  base::duration result_lifetime{};
};

/// Capacity of one replica of a service that generates tokens.
struct engine_capacity {
  /// Number of requests that the replica can run at the same time.
  std::uint32_t slots = 1;
  /// Memory for the tokens of running requests and of cached prompt prefixes, in tokens; 0 if it is
  /// not published.
  std::uint64_t memory_tokens = 0;
  /// Size of one token in the memory of a replica, in bytes, and bandwidth at which replicas
  /// transfer tokens to each other, in bits per second; each is 0 if it is not published.
  double token_bytes = 0;
  double link_bits_per_second = 0;
};

/// Service: a group of replicas that answer the same requests.
struct service {
  std::string name;
  /// Path of the health check of a replica.
  std::string health_path;
  /// Maximum number of connections of a replica, from all callers together; 0 if it is not
  /// published.
  std::uint32_t max_connections = 0;
  /// Set if the replicas run pieces of stages.
  std::optional<piece_capacity> pieces;
  /// Set if the replicas generate tokens.
  std::optional<engine_capacity> engine;
  /// Requests per second that a replica sustains while it is cold, from all nodes together; 0 if
  /// there is no limit.
  double cold_requests_per_second = 0;
};

/// Tenant that holds an access key, with the rights of the key.
struct access_key_holder {
  base::tenant_id tenant;
  /// Priority of requests with this key; std::nullopt if the priority of the route applies.
  std::optional<std::uint32_t> priority;
  /// Regions in which the tenant's requests may be served and their data may be stored.
  residency permitted_regions;
};

/// Limits on the sizes and durations of client requests.
struct client_limits {
  std::uint32_t max_header_bytes = 16'384;
  std::uint32_t max_body_bytes = 4'194'304;
  base::duration header_timeout = std::chrono::seconds(3);
  base::duration idle_timeout = std::chrono::seconds(15);
};

/// Complete configuration of the serving path.
class serving_configuration {
 public:
  std::uint64_t version = 0;
  std::unordered_map<std::string, service> services;
  /// Whether the configuration has tenants, so that a request needs a key unless its route is
  /// public. Independent of `keys`: no tenant need hold a key.
  bool has_tenants = false;
  /// Tenants that hold an access key, by the text of the key.
  std::unordered_map<std::string, access_key_holder> keys;
  /// Number of keys that several tenants hold. They are not in `keys`, so that they are refused: it
  /// is not known in which tenant's name a request with such a key would run.
  std::size_t ambiguous_keys = 0;
  client_limits limits;
  /// Routes by host, for each host sorted by length of the path prefix, longest first.
  std::unordered_map<std::string, std::vector<std::shared_ptr<const route>>> routes_by_host;

  /// @param host without a port, in lower case; @param path without a query.
  /// @return the route with the longest path prefix that matches `path`; null if none matches.
  [[nodiscard]] std::shared_ptr<const route> find_route(std::string_view host,
                                                        std::string_view path) const;
  /// @return names of all routes.
  [[nodiscard]] std::unordered_set<std::string> route_names() const;
  /// @return null if the service does not exist.
  [[nodiscard]] const service* find_service(const std::string& name) const;
};

/// Incarnation of a replica: its process from one start to its exit. A replica that restarts under
/// its id has no state of its earlier incarnations.
struct replica_incarnation {
  /// Start time in Unix milliseconds by the clock of the replica's machine. Only comparable for
  /// equality.
  std::uint64_t started_at_milliseconds = 0;
  bool operator==(const replica_incarnation&) const = default;
};

/// Published record of a replica.
struct replica {
  base::replica_id id;
  std::string service;
  base::network_address address;
  base::zone_id zone;
  base::software_version version;
  /// Number of requests that the replica can run at the same time.
  std::uint32_t slots = 1;
  bool draining = false;
  /// Whether this node knew that the record was deleted, and the record came back because the store
  /// was restored from an older backup.
  bool may_be_deleted = false;
  /// Time after the publication of the record for which the replica is cold (has not warmed its
  /// caches); 0 if the replica is warm.
  base::duration cold_for{};
  /// std::nullopt if the replica does not publish its incarnation.
  std::optional<replica_incarnation> incarnation;
};

/// Evacuation of a zone by an operator: while the evacuation is published, the replicas of the zone
/// are sent no requests.
struct evacuation {
  base::zone_id zone;
};

} // namespace spurrack::model
