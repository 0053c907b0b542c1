#include "replica_statements/departure_book.h"

#include <algorithm>

namespace spurrack::replica_statements {
namespace {

/// Longer than a store is away, and than its older copies are old.
constexpr base::duration remembered_time = std::chrono::minutes(5);

} // namespace

bool departure_book::note(const key& leaving, base::time_point since, const std::string& source,
                          base::time_point now) {
  const auto [place, is_new] = known_.try_emplace(leaving, departure{since, source, now});
  marks_.insert(leaving.process);
  place->second.since = std::min(place->second.since, since);
  return is_new;
}

void departure_book::note_published(const key& published, base::time_point now) {
  const auto found = known_.find(published);
  if (found != known_.end()) {
    found->second.seen_at = now;
  }
}

void departure_book::forget_old(base::time_point now) {
  const auto forgotten = std::erase_if(
      known_, [&](const auto& entry) { return now - entry.second.seen_at >= remembered_time; });
  if (forgotten > 0) {
    marks_.clear();
    for (const auto& [process, known] : known_) {
      marks_.insert(process.process);
    }
  }
}

} // namespace spurrack::replica_statements
