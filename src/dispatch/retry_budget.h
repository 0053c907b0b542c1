/// This node's part of the fleet-wide retry budget. The parts of all nodes add up to the fleet-wide
/// budget, so nodes need no messages to stay within it. An amount that one node (the donor)
/// transfers to another (the recipient) counts as spent at the donor.
#pragma once

#include "base/time.h"
#include "serving/settings.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace spurrack::serving {

/// Number of retries in thousandths: in a large fleet the budget of one node is less than one
/// retry.
using milli_retries = std::int64_t;

inline constexpr milli_retries one_retry = 1000;

/// Time after the query during which the recipient may spend a transfer. Covers several round trips
/// between regions, and is short compared to the window because the donor cannot spend the amount
/// for the window plus this time.
inline constexpr base::duration transfer_lifetime = std::chrono::milliseconds(2000);

/// Counts requests, retries and transfers of each service over a sliding window. Not thread-safe.
///
/// Transfers never exceed the fleet-wide budget, for this reason: the donor counts a transfer for
/// the window plus `transfer_lifetime`, from the moment at which it grants the transfer. The
/// recipient can spend the transfer only after that moment, and at most `transfer_lifetime` later.
/// The donor therefore still counts the transfer for at least one whole window after it was spent.
/// This holds even if messages are lost, late or duplicated and nodes are partitioned. A lost
/// transfer is never spent.
class retry_budget {
 public:
  explicit retry_budget(retry_limits limits) : limits_(limits) {}

  /// @param nodes number of nodes of the fleet, including nodes that seem dead: an unreachable node
  ///        may still be spending its part of the budget.
  void set_fleet_size(std::size_t nodes) { nodes_ = nodes; }

  /// @return length of the window over which requests and retries are counted.
  [[nodiscard]] base::duration window() const { return limits_.window; }
  void count_request(const std::string& service, base::time_point now);
  /// Takes one retry from the budget if it is available. Received transfers are spent first because
  /// they expire soon.
  /// @return whether the retry was granted.
  bool try_take(const std::string& service, base::time_point now);
  /// @return amount that the budget lacks for one retry; 0 if `try_take` would grant one.
  [[nodiscard]] milli_retries shortfall(const std::string& service, base::time_point now);
  /// Grants another node at most half of the remaining budget, so that this node keeps budget for
  /// its own retries. Only budget that does not depend on this node's requests is granted: budget
  /// that requests earn expires when the requests leave the window.
  /// @return granted part of `requested`, which counts as spent at this node.
  [[nodiscard]] milli_retries donate(const std::string& service, milli_retries requested,
                                     base::time_point now);
  /// Adds an amount that another node granted.
  /// @param expires_at time at which the lifetime of the transfer ends; the lifetime starts when
  ///        this node sends its query.
  void add_transfer(const std::string& service, milli_retries amount, base::time_point expires_at);

 private:
  struct timed_amount {
    base::time_point time;
    milli_retries amount = 0;
  };
  /// Amounts ordered by time, and their sum.
  struct timed_amounts {
    std::deque<timed_amount> entries;
    milli_retries sum = 0;
    void add(base::time_point time, milli_retries amount);
    void drop_before(base::time_point oldest);
  };
  struct service_usage {
    std::deque<base::time_point> requests;
    timed_amounts retries;
    timed_amounts sent_transfers;
    /// Ordered by the time at which they expire.
    timed_amounts received_transfers;
  };
  service_usage& current_usage(const std::string& service, base::time_point now);
  /// @return amount that this node may spend or transfer in a window in addition to the amount that
  ///         its requests earn.
  [[nodiscard]] milli_retries own_allowance() const;
  /// @return unspent part of this node's budget, without received transfers; negative if the budget
  ///         has shrunk.
  [[nodiscard]] milli_retries remaining_of(const service_usage& usage) const;
  [[nodiscard]] milli_retries shortfall_of(const service_usage& usage) const;

  retry_limits limits_;
  std::size_t nodes_ = 1;
  std::unordered_map<std::string, service_usage> usage_by_service_;
};

} // namespace spurrack::serving
