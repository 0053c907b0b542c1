/// Policies that choose one of several usable back ends for a call. The simple policies are
/// baselines, with which the default policy (`adaptive`) can be compared in the same run.
#pragma once

#include "base/random.h"
#include "routing/backend_table.h"

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace spurrack::routing {

/// Kinds of policies. The names are values of the setting `policy`.
enum class policy_kind : std::uint8_t {
  /// Chooses the back ends in turn; ignores their limits.
  round_robin,
  /// Chooses the back end with the fewest calls of this node in flight; enforces limits.
  least_in_flight,
  /// Chooses the better of two random back ends by calls of this node in flight; enforces limits.
  power_of_two,
  /// Chooses the better of two random back ends by expected wait, or the preferred back end of the
  /// prompt prefix; enforces limits.
  adaptive,
};

/// Properties of a call by which a policy may choose its back end.
struct call_hint {
  /// Stable hash of the prompt prefix; 0 if the call has no preferred back end.
  std::uint64_t affinity = 0;
};

/// Chooses one of several candidate back ends for a call. Not thread-safe.
class balancing_policy {
 public:
  balancing_policy() = default;
  balancing_policy(const balancing_policy&) = delete;
  balancing_policy& operator=(const balancing_policy&) = delete;
  virtual ~balancing_policy() = default;

  /// @param candidates at least one element.
  /// @return the chosen element of `candidates`.
  virtual const candidate& choose(const std::vector<candidate>& candidates,
                                  const call_hint& hint) = 0;
};

/// @param random must outlive the policy.
std::unique_ptr<balancing_policy> make_policy(policy_kind kind, base::random_source& random);

/// @return whether calls wait in a queue while all back ends are at their limit. Round robin starts
///         calls at once.
constexpr bool enforces_limits(policy_kind kind) {
  return kind != policy_kind::round_robin;
}

std::string_view name_of(policy_kind kind);

} // namespace spurrack::routing
