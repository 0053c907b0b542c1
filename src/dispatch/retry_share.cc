#include "dispatch/retry_share.h"

#include <algorithm>

namespace spurrack::serving {
namespace {

/// Part of the bound that is used; the rest covers windows that are cut differently.
constexpr double used_part = 0.8;

} // namespace

void retry_share::forget_old(window& counted, base::time_point now) const {
  for (auto* times : {&counted.requests, &counted.repeats}) {
    while (!times->empty() && now - times->front() > limits_.window) {
      times->pop_front();
    }
  }
}

void retry_share::count_request(const std::string& service, base::time_point now) {
  auto& counted = windows_[service];
  forget_old(counted, now);
  counted.requests.push_back(now);
}

bool retry_share::take(const std::string& service, base::time_point now) {
  auto& counted = windows_[service];
  forget_old(counted, now);
  const double earned = limits_.ratio * static_cast<double>(counted.requests.size());
  const double own_allowance =
      limits_.allowance / static_cast<double>(std::max<std::size_t>(1, nodes_));
  const auto allowed = used_part * (earned + own_allowance);
  if (static_cast<double>(counted.repeats.size()) + 1 > allowed) {
    return false;
  }
  counted.repeats.push_back(now);
  return true;
}

} // namespace spurrack::serving
