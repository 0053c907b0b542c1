#include "streams/origin_registry.h"

#include <algorithm>

namespace spurrack::streams {

std::shared_ptr<const stream_origin> origin_registry::shared(const stream_origin& origin) {
  auto& known = origins_[origin];
  auto found = known.lock();
  if (!found) {
    found = std::make_shared<const stream_origin>(origin);
    known = found;
  }
  return found;
}

void origin_registry::record(const stream_key& stream, const origin_statement& stated,
                             base::time_point expires_at, bool is_open_here, base::time_point now) {
  const auto [entry, is_new] = records_.try_emplace(stream);
  auto& known = entry->second;
  if (is_new) {
    known.origin = shared(stated.origin);
    known.call = stated.call;
    known.is_bound = stated.is_bound;
    known.recorded_at = now;
  } else {
    apply(stated, known, now);
  }
  known.is_open_here = known.is_open_here || is_open_here;
  keep_until(stream, known, expires_at);
}

void origin_registry::apply(const origin_statement& stated, origin_record& known,
                            base::time_point now) {
  const bool is_same = known.origin && *known.origin == stated.origin;
  const bool is_later = stated.call > known.call;
  const bool replaces = is_later && (stated.is_bound || !known.is_bound);
  const bool confirms = is_same && stated.is_bound && !known.is_bound;
  if (replaces || confirms) {
    known.origin = shared(stated.origin);
    known.is_bound = stated.is_bound;
    known.recorded_at = now;
  } else if (!is_same && (stated.call >= known.call || stated.is_bound > known.is_bound)) {
    // Without a later bound statement neither origin is known to be the last.
    known.origin.reset();
    known.is_bound = known.is_bound && stated.is_bound;
    known.recorded_at = now;
  }
  known.call = std::max(known.call, stated.call);
}

void origin_registry::record_contradiction(const stream_key& stream, std::uint32_t call,
                                           bool is_bound, base::time_point expires_at,
                                           base::time_point now) {
  const auto [entry, is_new] = records_.try_emplace(stream);
  auto& known = entry->second;
  const bool was_contradictory = !is_new && !known.origin;
  known.origin.reset();
  known.is_bound = is_bound || (was_contradictory && known.is_bound);
  known.call = std::max(known.call, call);
  known.recorded_at = now;
  keep_until(stream, known, expires_at);
}

void origin_registry::keep_until(const stream_key& stream, origin_record& record,
                                 base::time_point expires_at) {
  set_expiry(stream, record, std::max(record.expires_at, expires_at));
  if (records_.size() > max_records) {
    drop_first_to_expire();
  }
}

void origin_registry::set_expiry(const stream_key& stream, origin_record& record,
                                 base::time_point expires_at) {
  by_expiry_.erase({record.expires_at, stream});
  record.expires_at = expires_at;
  by_expiry_.emplace(expires_at, stream);
}

void origin_registry::drop_first_to_expire() {
  records_.erase(by_expiry_.begin()->second);
  by_expiry_.erase(by_expiry_.begin());
  ++dropped_early_;
}

void origin_registry::note_completed(const stream_key& stream) {
  if (const auto found = records_.find(stream); found != records_.end()) {
    found->second.is_open_here = false;
  }
}

const origin_record* origin_registry::find(const stream_key& stream, base::time_point now) const {
  const auto found = records_.find(stream);
  return found == records_.end() || found->second.expires_at <= now ? nullptr : &found->second;
}

std::vector<stream_key> origin_registry::open_streams_of(const std::string& service) const {
  std::vector<stream_key> found;
  for (const auto& [stream, known] : records_) {
    if (known.is_open_here && known.origin && known.origin->service == service) {
      found.push_back(stream);
    }
  }
  return found;
}

void origin_registry::drop_expired(base::time_point now) {
  while (!by_expiry_.empty() && by_expiry_.begin()->first <= now) {
    records_.erase(by_expiry_.begin()->second);
    by_expiry_.erase(by_expiry_.begin());
  }
  std::erase_if(origins_, [](const auto& entry) { return entry.second.expired(); });
}

} // namespace spurrack::streams
