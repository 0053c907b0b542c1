/// Source of random numbers that is passed to the decision logic, so that a run can be reproduced
/// from its seed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <utility>
#include <vector>

namespace spurrack::base {

/// Not thread-safe; owned by the code that calls the decision logic.
class random_source {
 public:
  random_source() = default;
  random_source(const random_source&) = delete;
  random_source& operator=(const random_source&) = delete;
  virtual ~random_source() = default;

  /// @return 64 uniformly distributed bits.
  virtual std::uint64_t next() = 0;

  /// @return a number in [0, limit); 0 if `limit` is 0.
  std::size_t below(std::size_t limit) {
    return limit == 0 ? 0 : static_cast<std::size_t>(next() % limit);
  }

  /// @return a number in [0, 1).
  double next_fraction();
};

/// Removes and returns a random item. Does not preserve the order of the remaining items.
/// @param items must not be empty.
template <typename item>
item take_random(std::vector<item>& items, random_source& random) {
  std::swap(items[random.below(items.size())], items.back());
  item taken = std::move(items.back());
  items.pop_back();
  return taken;
}

/// Deterministic generator: the same seed produces the same sequence on every machine.
class seeded_random final : public random_source {
 public:
  explicit seeded_random(std::uint64_t seed) : engine_(seed) {}
  std::uint64_t next() override { return engine_(); }

 private:
  std::mt19937_64 engine_;
};

} // namespace spurrack::base
