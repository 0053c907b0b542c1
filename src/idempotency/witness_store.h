/// Witness side of at-most-once execution: records which request owns an idempotency key, in
/// memory, until the lifetime of the key ends. A restarted witness has lost its records, so it
/// grants no key for the longest lifetime of a key.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "wire/peer.pb.h"

#include <cstddef>
#include <map>
#include <string>

namespace spurrack::idempotency {

/// Grants keys to requests and stores the grants. Not thread-safe.
class witness_store {
 public:
  /// @param started_at time at which this process started.
  /// @param max_key_lifetime longest lifetime of a key; no key is granted for this time after
  ///        `started_at`.
  witness_store(base::time_point started_at, base::duration max_key_lifetime)
      : started_at_(started_at), max_key_lifetime_(max_key_lifetime) {}

  /// Grants a key if the key is free or held by the request in `query`, this witness has been up
  /// long enough, and the node that sent the query has the same node list as this witness.
  /// @param own_list_hash hash of this witness's node list.
  /// @return whether the key is granted or why not; also the holder if another request holds it.
  wire::record_key_reply record(const wire::record_key& query, std::uint64_t own_list_hash,
                                base::time_point now);
  /// Drops the record of a key if the request in `message` holds the key. Requests release a key
  /// only if they have not been dispatched.
  void release(const wire::key_release& message);
  /// Drops expired records.
  void expire(base::time_point now);

  /// @return number of recorded keys.
  [[nodiscard]] std::size_t size() const { return records_.size(); }
  /// @return whether this witness has been up long enough to grant keys.
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
