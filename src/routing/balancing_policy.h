/// Which of several usable back ends gets a call. Baselines stand beside the default so that they
/// are compared in the same run.
#pragma once

#include "base/random.h"
#include "routing/backend_table.h"

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace spurrack::routing {

enum class policy_kind : std::uint8_t {
  round_robin,     ///< In turn; no limits, no admission.
  least_in_flight, ///< Fewest own calls in flight; limits hold.
  power_of_two,    ///< Better of two random ones by own calls in flight; limits hold.
  adaptive,        ///< Better of two random ones by expected wait, with prefix affinity.
};

/// Facts of the call that a policy may use.
struct call_hint {
  /// Stable hash of the prompt prefix; 0 where affinity does not matter.
  std::uint64_t affinity = 0;
};

/// Chooser among candidates. Not thread-safe.
class balancing_policy {
 public:
  balancing_policy() = default;
  balancing_policy(const balancing_policy&) = delete;
  balancing_policy& operator=(const balancing_policy&) = delete;
  virtual ~balancing_policy() = default;

  /// @param candidates at least one.
  /// @return the chosen one of `candidates`.
  virtual const candidate& choose(const std::vector<candidate>& candidates,
                                  const call_hint& hint) = 0;
};

/// @param random must outlive the policy.
std::unique_ptr<balancing_policy> make_policy(policy_kind kind, base::random_source& random);

/// @return whether the policy keeps limits and queues; round robin sends at once.
constexpr bool enforces_limits(policy_kind kind) {
  return kind != policy_kind::round_robin;
}

/// @return the name used in settings.
std::string_view name_of(policy_kind kind);

} // namespace spurrack::routing
