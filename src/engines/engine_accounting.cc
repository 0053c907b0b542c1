#include "engines/engine_accounting.h"

namespace spurrack::serving {
namespace {

/// A backlog is reported to other nodes only if the engine needs at least this long to prefill it,
/// in seconds. This is about three times the time in which an engine prefills a long shared prefix:
/// because of a shorter backlog, no prompt with such a prefix is sent to another engine
/// (`repeated_prefill_weight` in engine_chooser.cc). With 0.5, nodes send 1.9 kB/s on average under
/// a burst and gain nothing; with 0.8, they send 1.5 kB/s (simulated nodes of placement_test).
constexpr double min_reported_seconds = 0.8;
/// A backlog is reported, for the first time or again, only if it exceeds the backlog that the
/// other nodes assume by at least this many seconds of prefill.
constexpr double min_reported_excess_seconds = 0.2;

} // namespace

bool prefix_cache_model::use(const sent_prompt& prompt) {
  if (prompt.own_tokens > 0) {
    lru_.push_front({0, prompt.own_tokens});
    used_tokens_ += prompt.own_tokens;
  }
  const auto cached = entry_by_prefix_.find(prompt.shared_prefix);
  const bool was_cached = prompt.shared_prefix != 0 && cached != entry_by_prefix_.end();
  if (was_cached) {
    lru_.splice(lru_.begin(), lru_, cached->second);
  } else if (prompt.shared_prefix != 0) {
    lru_.push_front({prompt.shared_prefix, prompt.shared_tokens});
    entry_by_prefix_[prompt.shared_prefix] = lru_.begin();
    used_tokens_ += prompt.shared_tokens;
  }
  while (used_tokens_ > capacity_ && !lru_.empty()) {
    used_tokens_ -= lru_.back().tokens;
    entry_by_prefix_.erase(lru_.back().prefix);
    lru_.pop_back();
  }
  return was_cached;
}

std::uint64_t engine_accounting::record_send(const sent_prompt& prompt, double rate,
                                             base::time_point now) {
  const bool was_cached = prefix_cache_.use(prompt);
  const std::uint64_t uncached =
      std::uint64_t{prompt.own_tokens} + (was_cached ? 0 : prompt.shared_tokens);
  backlog_.add(static_cast<double>(uncached), rate, now);
  return uncached;
}

std::optional<std::uint32_t> engine_accounting::backlog_to_report(double rate,
                                                                  base::time_point now) const {
  const double backlog = backlog_.level(rate, now);
  const bool is_long = backlog >= min_reported_seconds * rate;
  const bool exceeds_reported =
      backlog >= reported_backlog_.level(rate, now) + min_reported_excess_seconds * rate;
  if (!is_long || !exceeds_reported) {
    return std::nullopt;
  }
  return static_cast<std::uint32_t>(backlog);
}

void engine_accounting::note_reported(std::uint32_t tokens, double rate, base::time_point now) {
  reported_backlog_.raise_to(tokens, rate, now);
}

} // namespace spurrack::serving
