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
  /// @param started when this process began.
  /// @param longest_key_life no key lives longer; a younger witness refuses.
  witness_store(base::time_point started, base::duration longest_key_life)
      : started_(started), longest_key_life_(longest_key_life) {}

  /// @param own_list_hash hash of the node list this witness knows.
  /// @return the verdict, with the holder where another one holds the key.
  wire::record_key_reply record(const wire::record_key& question, std::uint64_t own_list_hash,
                                base::time_point now);
  /// Drops a record of an owner that never dispatched.
  void release(const wire::key_release& message);
  /// Drops records whose life has ended.
  void expire(base::time_point now);

  [[nodiscard]] std::size_t size() const { return records_.size(); }
  /// @return whether this witness has been up long enough to grant records.
  [[nodiscard]] bool may_grant(base::time_point now) const {
    return now - started_ >= longest_key_life_;
  }

 private:
  struct key_record {
    wire::key_owner owner;
    base::time_point expires;
  };

  base::time_point started_;
  base::duration longest_key_life_;
  std::map<std::string, key_record> records_;
};

} // namespace spurrack::idempotency
