/// This node's share of the fleet's bound on repeats: shares of all nodes add up to the bound, so
/// no messages are needed to keep it.
#pragma once

#include "base/time.h"
#include "serving/settings.h"

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

namespace spurrack::serving {

/// Counts requests and repeats of each service over a sliding window. Not thread-safe.
class retry_share {
 public:
  explicit retry_share(retry_limits limits) : limits_(limits) {}

  /// @param nodes nodes of the fleet, dead ones included: those that cannot be seen may still be
  ///        using their share.
  void set_fleet_size(std::size_t nodes) { nodes_ = nodes; }

  void count_request(const std::string& service, base::time_point now);
  /// @return whether a repeat is within the share; counts it if so.
  bool take(const std::string& service, base::time_point now);

 private:
  struct window {
    std::deque<base::time_point> requests;
    std::deque<base::time_point> repeats;
  };
  void forget_old(window& counted, base::time_point now) const;

  retry_limits limits_;
  std::size_t nodes_ = 1;
  std::unordered_map<std::string, window> windows_;
};

} // namespace spurrack::serving
