#include "admission/stage_queue.h"

#include <algorithm>
#include <iterator>

namespace spurrack::admission {

void stage_queue::push(const queue_entry& entry) {
  auto& tenant = tenants_[entry.tenant];
  if (tenant.waiting_requests.empty()) {
    tenant.virtual_start = std::max(tenant.virtual_start, virtual_time_);
  }
  tenant.weight = entry.weight;
  size_ += tenant.waiting_requests.insert(entry).second ? 1 : 0;
}

std::optional<queue_entry> stage_queue::pop() {
  tenant_queue* chosen = nullptr;
  for (auto& [name, tenant] : tenants_) {
    if (!tenant.waiting_requests.empty() &&
        (chosen == nullptr || tenant.virtual_start < chosen->virtual_start)) {
      chosen = &tenant;
    }
  }
  if (chosen == nullptr) {
    return std::nullopt;
  }
  auto entry = *chosen->waiting_requests.begin();
  chosen->waiting_requests.erase(chosen->waiting_requests.begin());
  virtual_time_ = chosen->virtual_start;
  chosen->virtual_start += 1.0 / chosen->weight;
  --size_;
  return entry;
}

bool stage_queue::remove(const queue_entry& entry) {
  const auto found = tenants_.find(entry.tenant);
  if (found == tenants_.end() || found->second.waiting_requests.erase(entry) == 0) {
    return false;
  }
  --size_;
  return true;
}

double stage_queue::requests_ahead_of(const queue_entry& entry) const {
  const auto own = tenants_.find(entry.tenant);
  double own_ahead = 0;
  if (own != tenants_.end()) {
    own_ahead = static_cast<double>(std::distance(own->second.waiting_requests.begin(),
                                                  own->second.waiting_requests.lower_bound(entry)));
  }
  double other_tenants_ahead = 0;
  for (const auto& [name, tenant] : tenants_) {
    if (name == entry.tenant) {
      continue;
    }
    const double fair_count = (own_ahead + 1) * tenant.weight / entry.weight;
    other_tenants_ahead +=
        std::min(fair_count, static_cast<double>(tenant.waiting_requests.size()));
  }
  return own_ahead + other_tenants_ahead;
}

} // namespace spurrack::admission
