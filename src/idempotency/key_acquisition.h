/// Asker side of at-most-once: one key on its way to a majority of its witnesses.
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
  acquired, ///< A majority of every set granted.
  held,     ///< Another request holds the key; see `holder`.
  refused,  ///< No majority can be had now.
};

/// Not thread-safe. Once `acquired` or refused the state does not change.
class key_acquisition {
 public:
  key_acquisition(std::string key, std::vector<witness_set> sets);

  /// @return every witness to ask, each once.
  [[nodiscard]] std::vector<base::node_id> witnesses() const;
  /// @return the witnesses that have not answered yet.
  [[nodiscard]] std::vector<base::node_id> unanswered_witnesses() const;
  /// Accounts for a reply. @return the state after it.
  acquisition_state on_reply(const base::node_id& witness, const wire::record_key_reply& reply);

  [[nodiscard]] acquisition_state state() const { return state_; }
  [[nodiscard]] const std::optional<wire::key_owner>& holder() const { return holder_; }
  [[nodiscard]] const std::string& key() const { return key_; }
  /// @return whether some witness was too young to grant; waiting helps then.
  [[nodiscard]] bool has_young_witness() const { return has_young_witness_; }

 private:
  [[nodiscard]] bool has_all_majorities() const;
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
