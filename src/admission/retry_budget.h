/// Retry budget of a pool: limits retries to a fraction of the successful calls, so that retries
/// cannot amplify an overload.
#pragma once

#include <algorithm>

namespace spurrack::admission {

/// Token bucket of one pool: each success adds a fraction of a token, each retry takes one token.
class retry_budget {
 public:
  /// Number of tokens that each successful call adds to the bucket.
  static constexpr double tokens_per_success = 0.1;
  /// Maximum number of tokens in the bucket. The bucket is full at the start.
  static constexpr double max_tokens = 20.0;

  void add_success() { tokens_ = std::min(max_tokens, tokens_ + tokens_per_success); }

  /// Takes one token for a retry. @return false if the budget is exhausted.
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
