/// Bounds retries to a share of the successes, so that retries cannot multiply an overload.
#pragma once

#include <algorithm>

namespace spurrack::admission {

/// Token bucket of one pool: each success adds a part of a token, each retry takes a whole one.
class retry_budget {
 public:
  /// Retries earned by one success.
  static constexpr double tokens_per_success = 0.1;
  /// Retries that can be saved up; also the amount at start.
  static constexpr double max_tokens = 20.0;

  void add_success() { tokens_ = std::min(max_tokens, tokens_ + tokens_per_success); }

  /// @return whether a retry is within the budget; takes a token if so.
  bool try_take() {
    if (tokens_ < 1.0) {
      return false;
    }
    tokens_ -= 1.0;
    return true;
  }

 private:
  double tokens_ = max_tokens;
};

} // namespace spurrack::admission
