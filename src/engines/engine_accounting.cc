#include "engines/engine_accounting.h"

namespace spurrack::serving {
namespace {

/// A shorter backlog is not reported, in seconds of reading: about three times what reading a long
/// shared part anew costs, below which no prompt is sent to another engine. At 0.5 nodes send
/// 1.9 kB a second as a mean under a burst and gain nothing, at 0.8 they send 1.5 (simulated
/// callers of placement_test).
constexpr double least_seconds_told = 0.8;
/// A backlog is reported again once it is so many seconds longer than what the other nodes assume.
constexpr double least_seconds_more = 0.2;

} // namespace

bool prefix_cache_model::use(const sent_prompt& prompt) {
  if (prompt.own_tokens > 0) {
    by_use_.push_front({0, prompt.own_tokens});
    held_ += prompt.own_tokens;
  }
  const auto known = found_.find(prompt.shared_part);
  const bool was_kept = prompt.shared_part != 0 && known != found_.end();
  if (was_kept) {
    by_use_.splice(by_use_.begin(), by_use_, known->second);
  } else if (prompt.shared_part != 0) {
    by_use_.push_front({prompt.shared_part, prompt.shared_tokens});
    found_[prompt.shared_part] = by_use_.begin();
    held_ += prompt.shared_tokens;
  }
  while (held_ > capacity_ && !by_use_.empty()) {
    held_ -= by_use_.back().tokens;
    found_.erase(by_use_.back().part);
    by_use_.pop_back();
  }
  return was_kept;
}

std::uint64_t engine_accounting::take(const sent_prompt& prompt, double rate,
                                      base::time_point now) {
  const bool was_kept = parts_.use(prompt);
  const std::uint64_t unread =
      std::uint64_t{prompt.own_tokens} + (was_kept ? 0 : prompt.shared_tokens);
  unread_.add(static_cast<double>(unread), rate, now);
  return unread;
}

std::optional<std::uint32_t> engine_accounting::backlog_to_report(double rate,
                                                                  base::time_point now) const {
  const double unread = unread_.level(rate, now);
  const bool is_much = unread >= least_seconds_told * rate;
  const bool is_news = unread >= reported_.level(rate, now) + least_seconds_more * rate;
  if (!is_much || !is_news) {
    return std::nullopt;
  }
  return static_cast<std::uint32_t>(unread);
}

void engine_accounting::note_reported(std::uint32_t tokens, double rate, base::time_point now) {
  reported_.raise_to(tokens, rate, now);
}

} // namespace spurrack::serving
