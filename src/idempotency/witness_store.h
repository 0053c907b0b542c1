/// Witness side of at-most-once execution: records in memory which request holds an idempotency
/// key, until the lifetime of the key ends. A restart erases the records of a witness. To grant no
/// key that another request still holds, a witness grants no keys until its process has run for the
/// longest lifetime of a key.
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

  /// Grants a key to the request in `query` if three conditions hold: no other request holds the
  /// key; this witness has been up long enough; the node that sent the query has the same node list
  /// as this witness.
  /// @param own_list_hash hash of this witness's node list.
  /// @return whether the key is granted, or the reason why not; names the holder if another request
  ///         holds the key.
  wire::record_key_reply record(const wire::record_key& query, std::uint64_t own_list_hash,
                                base::time_point now);
  /// Drops the record of a key if the request that `message` names holds the key. A node releases
  /// the key of a request only if it has not started the request.
  void release(const wire::key_release& message);
  /// Drops the records of keys whose lifetime has ended.
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
