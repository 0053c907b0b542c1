/// Requester side of at-most-once execution: acquisition of one idempotency key from a majority of
/// the key's witnesses.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "idempotency/witness_lists.h"
#include "wire/peer.pb.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace spurrack::idempotency {

enum class acquisition_state : std::uint8_t {
  pending,  ///< More replies are needed.
  acquired, ///< A majority of every witness set granted the key.
  held,     ///< No majority can be reached; a witness named the `holder` of the key.
  refused,  ///< No majority can be reached, and no witness named a holder.
};

/// Counts the replies of the witnesses of one key. The state does not change after it is no longer
/// `pending`. Not thread-safe.
class key_acquisition {
 public:
  /// @param sets result of `witness_lists::sets_for`. If empty, the key is refused.
  key_acquisition(std::string key, std::vector<witness_set> sets);

  /// @return the witnesses of all sets, each once.
  [[nodiscard]] std::vector<base::node_id> witnesses() const;
  /// @return the witnesses that have not replied.
  [[nodiscard]] std::vector<base::node_id> unanswered_witnesses() const;
  /// Records the reply of a witness. @return the resulting state.
  acquisition_state on_reply(const base::node_id& witness, const wire::record_key_reply& reply);

  [[nodiscard]] acquisition_state state() const { return state_; }
  /// @return the request that holds the key according to a witness; std::nullopt if no witness
  ///         named a holder.
  [[nodiscard]] const std::optional<wire::key_owner>& holder() const { return holder_; }
  [[nodiscard]] const std::string& key() const { return key_; }
  /// @return whether a witness refused the key because the witness started too recently. In this
  ///         case a later attempt may succeed.
  [[nodiscard]] bool has_young_witness() const { return has_young_witness_; }

 private:
  [[nodiscard]] bool has_all_majorities() const;
  /// @return whether so many witnesses of some set have refused the key that a majority of the set
  ///         can no longer grant it.
  [[nodiscard]] bool is_any_majority_lost() const;
  static std::size_t count_members_in(const witness_set& group,
                                      const std::set<base::node_id>& nodes);

  std::string key_;
  std::vector<witness_set> sets_;
  std::set<base::node_id> granted_;
  std::set<base::node_id> refused_;
  std::optional<wire::key_owner> holder_;
  bool has_young_witness_ = false;
  acquisition_state state_ = acquisition_state::pending;
};

} // namespace spurrack::idempotency
