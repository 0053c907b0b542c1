#include "dispatch/retry_budget.h"

#include <algorithm>

namespace spurrack::serving {
namespace {

/// Fraction of the fleet-wide budget that the nodes use. The remainder is a margin, because the
/// nodes do not begin their counting windows at the same time.
constexpr double usable_fraction = 0.8;
/// The maximum amount of one transfer is the remaining budget divided by this number.
constexpr milli_retries transfer_divisor = 2;

} // namespace

void retry_budget::timed_amounts::add(base::time_point time, milli_retries amount) {
  entries.push_back({time, amount});
  sum += amount;
}

void retry_budget::timed_amounts::drop_before(base::time_point oldest) {
  while (!entries.empty() && entries.front().time < oldest) {
    sum -= entries.front().amount;
    entries.pop_front();
  }
}

retry_budget::service_usage& retry_budget::current_usage(const std::string& service,
                                                         base::time_point now) {
  auto& usage = usage_by_service_[service];
  const base::time_point window_begin = now - limits_.window;
  while (!usage.requests.empty() && usage.requests.front() < window_begin) {
    usage.requests.pop_front();
  }
  usage.retries.drop_before(window_begin);
  usage.sent_transfers.drop_before(window_begin - transfer_lifetime);
  usage.received_transfers.drop_before(now);
  return usage;
}

milli_retries retry_budget::own_allowance() const {
  const auto nodes = static_cast<double>(std::max<std::size_t>(1, nodes_));
  return static_cast<milli_retries>(usable_fraction * limits_.allowance / nodes * one_retry);
}

milli_retries retry_budget::remaining_of(const service_usage& usage) const {
  const auto earned = static_cast<milli_retries>(
      usable_fraction * limits_.ratio * static_cast<double>(usage.requests.size()) * one_retry);
  return own_allowance() + earned - usage.retries.sum - usage.sent_transfers.sum;
}

milli_retries retry_budget::shortfall_of(const service_usage& usage) const {
  const auto remaining = std::max<milli_retries>(0, remaining_of(usage));
  return std::max<milli_retries>(0, one_retry - usage.received_transfers.sum - remaining);
}

void retry_budget::count_request(const std::string& service, base::time_point now) {
  current_usage(service, now).requests.push_back(now);
}

milli_retries retry_budget::shortfall(const std::string& service, base::time_point now) {
  return shortfall_of(current_usage(service, now));
}

bool retry_budget::try_take(const std::string& service, base::time_point now) {
  auto& usage = current_usage(service, now);
  if (shortfall_of(usage) > 0) {
    return false;
  }
  auto unpaid = one_retry;
  auto& transfers = usage.received_transfers;
  while (unpaid > 0 && !transfers.entries.empty()) {
    auto& oldest = transfers.entries.front();
    const auto part = std::min(unpaid, oldest.amount);
    unpaid -= part;
    oldest.amount -= part;
    transfers.sum -= part;
    if (oldest.amount == 0) {
      transfers.entries.pop_front();
    }
  }
  usage.retries.add(now, unpaid);
  return true;
}

milli_retries retry_budget::donate(const std::string& service, milli_retries requested,
                                   base::time_point now) {
  auto& usage = current_usage(service, now);
  const auto transferable = own_allowance() - usage.sent_transfers.sum;
  const auto granted = std::min({requested, remaining_of(usage) / transfer_divisor, transferable});
  if (granted <= 0) {
    return 0;
  }
  usage.sent_transfers.add(now, granted);
  return granted;
}

void retry_budget::add_transfer(const std::string& service, milli_retries amount,
                                base::time_point expires_at) {
  auto& transfers = usage_by_service_[service].received_transfers;
  const auto first_later =
      std::find_if(transfers.entries.begin(), transfers.entries.end(),
                   [&](const timed_amount& transfer) { return transfer.time > expires_at; });
  transfers.entries.insert(first_later, {expires_at, amount});
  transfers.sum += amount;
}

} // namespace spurrack::serving
