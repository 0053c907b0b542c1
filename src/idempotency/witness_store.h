/// Witness side of at-most-once: records which request owns an idempotency key, in memory, until
/// the key's life ends. A restarted witness has forgotten, so it grants nothing for the longest key
/// life.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "wire/peer.pb.h"

#include <cstddef>
#include <map>
#include <string>

namespace spurrack::idempotency {

/// Not thread-safe.
class witness_store {
 public:
  /// @param started_at when this process began.
  /// @param max_key_lifetime no key lives longer; a younger witness refuses.
  witness_store(base::time_point started_at, base::duration max_key_lifetime)
      : started_at_(started_at), max_key_lifetime_(max_key_lifetime) {}

  /// @param own_list_hash hash of the node list this witness knows.
  /// @return the verdict, with the holder where another one holds the key.
  wire::record_key_reply record(const wire::record_key& query, std::uint64_t own_list_hash,
                                base::time_point now);
  /// Drops a record of an owner that never dispatched.
  void release(const wire::key_release& message);
  /// Drops records whose life has ended.
  void expire(base::time_point now);

  [[nodiscard]] std::size_t size() const { return records_.size(); }
  /// @return whether this witness has been up long enough to grant records.
  [[nodiscard]] bool may_grant(base::time_point now) const {
    return now - started_at_ >= max_key_lifetime_;
  }

 private:
  struct key_record {
    wire::key_owner owner;
    base::time_point expires_at;
  };

  base::time_point started_at_;
  base::duration max_key_lifetime_;
  std::map<std::string, key_record> records_;
};

} // namespace spurrack::idempotency
