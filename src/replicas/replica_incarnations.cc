#include "replicas/replica_incarnations.h"

#include "base/hashing.h"

#include <algorithm>

namespace spurrack::serving {
namespace {

/// Time for which the incarnation of an unpublished replica is kept. No request lasts longer than
/// two minutes and stage results are kept for seconds, so that after this time no call or result of
/// an earlier incarnation is left.
constexpr base::duration unpublished_lifetime = std::chrono::minutes(5);
/// Number of different incarnation fingerprints: after one restart in two million the fingerprint
/// is the same as before. 21 bits are three bytes of a message; the whole start time would be six.
constexpr std::uint64_t fingerprint_count = (1U << 21U) - 1;

replica_exit exit_id_of(const base::replica_id& replica, std::uint64_t started_at_milliseconds) {
  return base::stable_hash(replica.text(), started_at_milliseconds);
}

} // namespace

std::optional<replica_restart> replica_incarnations::note_published(const model::replica& record) {
  if (!record.incarnation) {
    return std::nullopt;
  }
  const auto [position, is_new] = replicas_.try_emplace(
      record.id, known_incarnation{*record.incarnation, record.address, std::nullopt});
  auto& known = position->second;
  std::optional<replica_restart> restart;
  if (!is_new && known.incarnation != *record.incarnation) {
    restart = replica_restart{record.id, known.address,
                              exit_id_of(record.id, known.incarnation.started_at_milliseconds)};
  }
  known = {*record.incarnation, record.address, std::nullopt};
  return restart;
}

void replica_incarnations::note_unpublished(const base::replica_id& replica, base::time_point now) {
  const auto found = replicas_.find(replica);
  if (found != replicas_.end() && !found->second.unpublished_at) {
    found->second.unpublished_at = now;
  }
}

void replica_incarnations::forget_unpublished(base::time_point now) {
  std::erase_if(replicas_, [&](const auto& entry) {
    const auto& unpublished_at = entry.second.unpublished_at;
    return unpublished_at && now - *unpublished_at >= unpublished_lifetime;
  });
}

replica_exit exit_id_of(const model::replica& record) {
  const auto start = record.incarnation ? record.incarnation->started_at_milliseconds : 0;
  return exit_id_of(record.id, start);
}

std::uint32_t process_fingerprint_of(const model::replica& record) {
  const auto hash = base::stable_hash(record.address.text(), exit_id_of(record));
  return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(hash));
}

std::uint32_t incarnation_fingerprint_of(const model::replica& record) {
  return record.incarnation
             ? static_cast<std::uint32_t>(1 + record.incarnation->started_at_milliseconds %
                                                  fingerprint_count)
             : 0;
}

} // namespace spurrack::serving
