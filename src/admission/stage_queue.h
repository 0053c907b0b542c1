/// Requests of one node that wait for a back end of one pool: weighted-fair between tenants
/// (start-time fair queueing), earliest deadline first within a tenant.
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>

namespace spurrack::admission {

/// A waiting request.
struct queue_entry {
  base::request_id request;
  base::tenant_id tenant;
  /// Share relative to other tenants; positive.
  double weight = 1;
  base::time_point deadline;
};

/// Not thread-safe.
class stage_queue {
 public:
  void push(const queue_entry& entry);
  /// @return the next request to dispatch, removed; nothing where the queue is empty.
  std::optional<queue_entry> pop();
  /// Removes a request wherever it waits. @return whether it was there.
  bool remove(const queue_entry& entry);

  [[nodiscard]] std::size_t size() const { return size_; }
  [[nodiscard]] bool empty() const { return size_ == 0; }
  /// @return how many waiting requests would be served before one of this tenant and deadline, as
  /// far
  ///         as can be told: its own tenant's earlier deadlines and the others' fair part.
  [[nodiscard]] double requests_ahead_of(const queue_entry& entry) const;

 private:
  struct by_deadline {
    bool operator()(const queue_entry& left, const queue_entry& right) const {
      return left.deadline != right.deadline ? left.deadline < right.deadline
                                             : left.request < right.request;
    }
  };
  struct tenant_queue {
    std::set<queue_entry, by_deadline> waiting;
    /// Virtual time at which this tenant's next request starts.
    double virtual_start = 0;
    double weight = 1;
  };

  std::map<base::tenant_id, tenant_queue> tenants_;
  double virtual_time_ = 0;
  std::size_t size_ = 0;
};

} // namespace spurrack::admission
