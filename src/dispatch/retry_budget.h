/// This node's share of the fleet's bound on repeats. Shares of all nodes add up to the bound, so
/// no messages are needed to keep it; what a node lends of its share is spent for itself.
#pragma once

#include "base/time.h"
#include "serving/settings.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace spurrack::serving {

/// An amount of repeats, in thousandths of one: shares of large fleets are less than a whole.
using milli_retries = std::int64_t;

/// One repeat.
inline constexpr milli_retries one_retry = 1000;

/// How long after it was asked for a loan may be spent: several ways between regions, and short
/// beside the window, since the lender goes without it for the window and this time.
inline constexpr base::duration transfer_lifetime = std::chrono::milliseconds(2000);

/// Counts requests, repeats and loans of each service over a sliding window. Not thread-safe.
///
/// Why loans keep the bound: a lender books a loan when it hands it out, for the window and the
/// lifetime of the loan. The loan is spent between that moment and the end of its lifetime, so in
/// every window in which it is spent the lender has it on its books, whatever messages are lost,
/// late or doubled, and whoever is cut off from whom. A lost loan is only not spent.
class retry_budget {
 public:
  explicit retry_budget(retry_limits limits) : limits_(limits) {}

  /// @param nodes nodes of the fleet, dead ones included: those that cannot be seen may still be
  ///        using their share.
  void set_fleet_size(std::size_t nodes) { nodes_ = nodes; }

  /// @return length of the window over which requests and repeats are counted.
  [[nodiscard]] base::duration window() const { return limits_.window; }
  void count_request(const std::string& service, base::time_point now);
  /// @return whether a repeat is within the share and what was borrowed; counts it if so. What was
  ///         borrowed is spent first, since it soon expires.
  bool try_take(const std::string& service, base::time_point now);
  /// @return what is missing for one repeat; 0 where one would be granted.
  [[nodiscard]] milli_retries shortfall(const std::string& service, base::time_point now);
  /// Hands out part of what is left for another node: half, so that a node of its own troubles
  /// keeps some, and never what its requests have earned, which go with their window.
  /// @return how much of `wanted` is lent; it is spent for this node.
  [[nodiscard]] milli_retries donate(const std::string& service, milli_retries requested,
                                     base::time_point now);
  /// Takes in what another node lent.
  /// @param expires_at end of its lifetime, counted from when it was asked for.
  void add_transfer(const std::string& service, milli_retries amount, base::time_point expires_at);

 private:
  struct timed_amount {
    base::time_point time;
    milli_retries amount = 0;
  };
  /// Amounts in the order of their times, and their sum.
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
    /// By the end of their lifetimes.
    timed_amounts received_transfers;
  };
  service_usage& current_usage(const std::string& service, base::time_point now);
  /// @return what this node may spend or lend in a window beside what its requests earn.
  [[nodiscard]] milli_retries own_allowance() const;
  /// @return what is left of the own share; negative where the share has shrunk.
  [[nodiscard]] milli_retries remaining_of(const service_usage& usage) const;
  [[nodiscard]] milli_retries shortfall_of(const service_usage& usage) const;

  retry_limits limits_;
  std::size_t nodes_ = 1;
  std::unordered_map<std::string, service_usage> usage_by_service_;
};

} // namespace spurrack::serving
