/// Queue, at one node, of the requests that wait for a back end of one pool. Tenants are served in
/// proportion to their weights (start-time fair queueing). Among the requests of one tenant, the
/// request with the earliest deadline is served first.
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>

namespace spurrack::admission {

/// Request that waits in the queue.
struct queue_entry {
  base::request_id request;
  base::tenant_id tenant;
  /// Weight of the tenant relative to other tenants; positive.
  double weight = 1;
  base::time_point deadline;
};

/// Queue of one pool at this node. Not thread-safe.
class stage_queue {
 public:
  void push(const queue_entry& entry);
  /// Removes the next request to dispatch. @return the request; std::nullopt if the queue is empty.
  std::optional<queue_entry> pop();
  /// Removes the request that has the tenant, the deadline and the id of `entry`, at any position
  /// of the queue.
  /// @return whether the request was in the queue.
  bool remove(const queue_entry& entry);

  [[nodiscard]] std::size_t size() const { return size_; }
  [[nodiscard]] bool empty() const { return size_ == 0; }
  /// @return estimated number of waiting requests that would be served before `entry`: the requests
  ///         of the same tenant with an earlier deadline, and the requests of other tenants that
  ///         fair queueing serves meanwhile.
  [[nodiscard]] double requests_ahead_of(const queue_entry& entry) const;

 private:
  struct by_deadline {
    bool operator()(const queue_entry& left, const queue_entry& right) const {
      return left.deadline != right.deadline ? left.deadline < right.deadline
                                             : left.request < right.request;
    }
  };
  struct tenant_queue {
    std::set<queue_entry, by_deadline> waiting_requests;
    /// Start time of the next request of this tenant, in the virtual time of fair queueing.
    double virtual_start = 0;
    double weight = 1;
  };

  std::map<base::tenant_id, tenant_queue> tenants_;
  double virtual_time_ = 0;
  std::size_t size_ = 0;
};

} // namespace spurrack::admission
