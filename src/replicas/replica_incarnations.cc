#include "replicas/replica_incarnations.h"

#include "base/hashing.h"

#include <algorithm>

namespace spurrack::serving {
namespace {

/// No request lasts longer than two minutes, and results of stages live for seconds: after this
/// time nothing of a life that is over can be under way.
constexpr base::duration remembered_after_end = std::chrono::minutes(5);
/// Marks of two lives are equal once in two million restarts; 21 bits are three bytes of a message,
/// the whole time would be six.
constexpr std::uint64_t mark_count = (1U << 21U) - 1;

} // namespace

std::optional<replica_restart> replica_incarnations::note_published(const model::replica& record) {
  if (!record.incarnation) {
    return std::nullopt;
  }
  const auto [place, is_new] = known_.try_emplace(
      record.id, known_incarnation{*record.incarnation, record.address, std::nullopt});
  auto& known = place->second;
  std::optional<replica_restart> restart;
  if (!is_new && known.life != *record.incarnation) {
    restart = replica_restart{record.id, known.address};
  }
  known = {*record.incarnation, record.address, std::nullopt};
  return restart;
}

void replica_incarnations::note_gone(const base::replica_id& replica, base::time_point now) {
  const auto found = known_.find(replica);
  if (found != known_.end() && !found->second.gone_at) {
    found->second.gone_at = now;
  }
}

void replica_incarnations::forget_gone(base::time_point now) {
  std::erase_if(known_, [&](const auto& entry) {
    const auto& gone_at = entry.second.gone_at;
    return gone_at && now - *gone_at >= remembered_after_end;
  });
}

replica_end exit_id_of(const model::replica& record) {
  const auto start = record.incarnation ? record.incarnation->started_at_milliseconds : 0;
  return base::stable_hash(record.id.text(), start);
}

std::uint32_t process_fingerprint_of(const model::replica& record) {
  const auto hash = base::stable_hash(record.address.text(), exit_id_of(record));
  return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(hash));
}

std::uint32_t incarnation_fingerprint_of(const model::replica& record) {
  return record.incarnation ? static_cast<std::uint32_t>(
                                  1 + record.incarnation->started_at_milliseconds % mark_count)
                            : 0;
}

} // namespace spurrack::serving
