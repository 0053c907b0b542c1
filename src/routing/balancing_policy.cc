#include "routing/balancing_policy.h"

#include "base/hashing.h"

#include <algorithm>

namespace spurrack::routing {
namespace {

class round_robin final : public balancing_policy {
 public:
  const candidate& choose(const std::vector<candidate>& candidates,
                          const call_hint& /*hint*/) override {
    return candidates[next_++ % candidates.size()];
  }

 private:
  std::size_t next_ = 0;
};

class least_in_flight final : public balancing_policy {
 public:
  explicit least_in_flight(base::random_source& random) : random_(&random) {}

  const candidate& choose(const std::vector<candidate>& candidates,
                          const call_hint& /*hint*/) override {
    const auto start = random_->below(candidates.size());
    const candidate* best = &candidates[start];
    for (std::size_t offset = 1; offset < candidates.size(); ++offset) {
      const auto& other = candidates[(start + offset) % candidates.size()];
      if (other.target->in_flight < best->target->in_flight) {
        best = &other;
      }
    }
    return *best;
  }

 private:
  base::random_source* random_;
};

/// Draws two different candidates at random and returns the candidate with the lower cost.
template <typename cost_function>
const candidate& better_of_two(const std::vector<candidate>& candidates,
                               base::random_source& random, cost_function cost) {
  const auto first = random.below(candidates.size());
  if (candidates.size() == 1) {
    return candidates[first];
  }
  const auto second = (first + 1 + random.below(candidates.size() - 1)) % candidates.size();
  return cost(candidates[second]) < cost(candidates[first]) ? candidates[second]
                                                            : candidates[first];
}

class power_of_two final : public balancing_policy {
 public:
  explicit power_of_two(base::random_source& random) : random_(&random) {}

  const candidate& choose(const std::vector<candidate>& candidates,
                          const call_hint& /*hint*/) override {
    return better_of_two(candidates, *random_,
                         [](const candidate& option) { return option.target->in_flight; });
  }

 private:
  base::random_source* random_;
};

/// For a call with a prompt prefix, chooses the candidate that rendezvous hashing prefers for the
/// prefix. For any other call, draws two random candidates and chooses the one with the shorter
/// expected wait, which is computed from the calls of this node in flight and the latency. Every
/// candidate has a free slot, so the preference overloads no back end.
class adaptive final : public balancing_policy {
 public:
  explicit adaptive(base::random_source& random) : random_(&random) {}

  const candidate& choose(const std::vector<candidate>& candidates,
                          const call_hint& hint) override {
    if (hint.affinity != 0) {
      return preferred_for(candidates, hint.affinity);
    }
    return better_of_two(candidates, *random_, expected_wait);
  }

 private:
  static double expected_wait(const candidate& option) {
    const auto& target = *option.target;
    const double load = (target.in_flight + 1.0) / std::max<std::uint32_t>(1, option.call_quota);
    const double latency = base::to_seconds(target.average_latency);
    return load * (latency > 0 ? latency : 1e-3);
  }

  static const candidate& preferred_for(const std::vector<candidate>& candidates,
                                        std::uint64_t affinity) {
    return *std::max_element(candidates.begin(), candidates.end(),
                             [&](const candidate& left, const candidate& right) {
                               return base::stable_hash(left.target->id.text(), affinity) <
                                      base::stable_hash(right.target->id.text(), affinity);
                             });
  }

  base::random_source* random_;
};

} // namespace

std::unique_ptr<balancing_policy> make_policy(policy_kind kind, base::random_source& random) {
  switch (kind) {
  case policy_kind::round_robin:
    return std::make_unique<round_robin>();
  case policy_kind::least_in_flight:
    return std::make_unique<least_in_flight>(random);
  case policy_kind::power_of_two:
    return std::make_unique<power_of_two>(random);
  case policy_kind::adaptive:
    break;
  }
  return std::make_unique<adaptive>(random);
}

std::string_view name_of(policy_kind kind) {
  switch (kind) {
  case policy_kind::round_robin:
    return "round_robin";
  case policy_kind::least_in_flight:
    return "least_in_flight";
  case policy_kind::power_of_two:
    return "power_of_two";
  case policy_kind::adaptive:
    return "adaptive";
  }
  return "adaptive";
}

} // namespace spurrack::routing
