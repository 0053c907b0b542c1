#include "dispatch/retry_budget.h"

#include <algorithm>

namespace spurrack::serving {
namespace {

/// Part of the bound that is used; the rest covers windows that are cut differently.
constexpr double used_part = 0.8;
/// What is left is divided by this for a loan.
constexpr milli_retries lent_divisor = 2;

} // namespace

void retry_share::ledger::add(base::time_point when, milli_retries amount) {
  entries.push_back({when, amount});
  sum += amount;
}

void retry_share::ledger::forget_before(base::time_point oldest) {
  while (!entries.empty() && entries.front().when < oldest) {
    sum -= entries.front().amount;
    entries.pop_front();
  }
}

retry_share::account& retry_share::current(const std::string& service, base::time_point now) {
  auto& counted = accounts_[service];
  const base::time_point window_begin = now - limits_.window;
  while (!counted.requests.empty() && counted.requests.front() < window_begin) {
    counted.requests.pop_front();
  }
  counted.repeats.forget_before(window_begin);
  counted.lent.forget_before(window_begin - transfer_lifetime);
  counted.borrowed.forget_before(now);
  return counted;
}

milli_retries retry_share::own_allowance() const {
  const auto nodes = static_cast<double>(std::max<std::size_t>(1, nodes_));
  return static_cast<milli_retries>(used_part * limits_.allowance / nodes * one_retry);
}

milli_retries retry_share::left_of(const account& counted) const {
  const auto earned = static_cast<milli_retries>(
      used_part * limits_.ratio * static_cast<double>(counted.requests.size()) * one_retry);
  return own_allowance() + earned - counted.repeats.sum - counted.lent.sum;
}

milli_retries retry_share::missing_of(const account& counted) const {
  const auto left = std::max<milli_retries>(0, left_of(counted));
  return std::max<milli_retries>(0, one_retry - counted.borrowed.sum - left);
}

void retry_share::count_request(const std::string& service, base::time_point now) {
  current(service, now).requests.push_back(now);
}

milli_retries retry_share::missing(const std::string& service, base::time_point now) {
  return missing_of(current(service, now));
}

bool retry_share::take(const std::string& service, base::time_point now) {
  auto& counted = current(service, now);
  if (missing_of(counted) > 0) {
    return false;
  }
  auto wanted = one_retry;
  auto& loans = counted.borrowed;
  while (wanted > 0 && !loans.entries.empty()) {
    auto& oldest = loans.entries.front();
    const auto part = std::min(wanted, oldest.amount);
    wanted -= part;
    oldest.amount -= part;
    loans.sum -= part;
    if (oldest.amount == 0) {
      loans.entries.pop_front();
    }
  }
  counted.repeats.add(now, wanted);
  return true;
}

milli_retries retry_share::lend(const std::string& service, milli_retries wanted,
                                base::time_point now) {
  auto& counted = current(service, now);
  const auto from_allowance = own_allowance() - counted.lent.sum;
  const auto given = std::min({wanted, left_of(counted) / lent_divisor, from_allowance});
  if (given <= 0) {
    return 0;
  }
  counted.lent.add(now, given);
  return given;
}

void retry_share::add_loan(const std::string& service, milli_retries amount,
                           base::time_point usable_until) {
  auto& loans = accounts_[service].borrowed;
  const auto later = std::find_if(loans.entries.begin(), loans.entries.end(),
                                  [&](const amount_at& loan) { return loan.when > usable_until; });
  loans.entries.insert(later, {usable_until, amount});
  loans.sum += amount;
}

} // namespace spurrack::serving
