/// Knowledge of one node about one platform service, and the age of this knowledge.
///
/// A node that reads the service learns two things: all entries through a position, and that the
/// service had written no later entry at the time of the answer (a confirmation). Nodes tell each
/// other both. A node that has all entries through the position of a confirmation knows that its
/// own entries were current at the time of the confirmation, although it did not read the service.
/// The age of its knowledge is the time since then.
#pragma once

#include "base/time.h"
#include "catalog/source_kind.h"

#include <optional>
#include <string>
#include <vector>

namespace spurrack::catalog {

/// Statement that a service had written no entry after `through` at the time `at`.
struct confirmation {
  store_position through;
  base::time_point at;
  /// Name of the node that read the service.
  std::string reader;
};

/// Not thread-safe.
class source_knowledge {
 public:
  /// @return position through which this node has all entries of the service.
  [[nodiscard]] store_position known_through() const { return known_through_; }
  /// @return the latest confirmation that covers the entries of this node; std::nullopt if there
  ///         was none.
  [[nodiscard]] const std::optional<confirmation>& confirmed() const { return confirmed_; }
  /// @return time since the service was last known to have written no entry that this node lacks;
  ///         std::nullopt if it was never known.
  [[nodiscard]] std::optional<base::duration> age(base::time_point now) const;

  /// Records that this node has all entries through `through`.
  void advance(store_position through);
  /// Records that this node received all entries after `after`, through `through`. Has no effect if
  /// this node lacks entries through `after`.
  void add_range(store_position after, store_position through);
  /// Records a confirmation. If this node lacks entries through its position, the confirmation
  /// takes effect once `advance` or `add_range` has reached the position.
  void confirm(const confirmation& heard);
  /// Records that the service had written no entry after `through` at `at`, as a call of this node
  /// shows that was sent then or later. Takes effect once this node has all entries through that
  /// position, and not at all if it is of another era than the entries of this node by then.
  void verify(store_position through, base::time_point at);
  /// @return latest time at which this node is known by its own calls to have lacked no entry of
  ///         the service. Confirmations by messages do not count, since a message may have been
  ///         under way for any time. std::nullopt if there was no such call.
  [[nodiscard]] std::optional<base::time_point> verified_at() const { return verified_at_; }
  /// Records that a peer has all entries through `through`.
  void note_peer_position(store_position through);

  /// @return latest position that this node knows of, from its own reads and from peers.
  [[nodiscard]] store_position heard_through() const { return heard_through_; }
  /// @return whether this node lacks entries that a peer has.
  [[nodiscard]] bool is_behind() const { return known_through_ < heard_through_; }

 private:
  /// Result of a call of this node whose position is after `known_through_`.
  struct awaited_verification {
    store_position through;
    base::time_point at;
  };
  /// Maximum number of these results that are kept.
  static constexpr std::size_t max_awaited_verifications = 8;
  /// Applies the results whose position this node has reached.
  void apply_reached_verifications();

  store_position known_through_;
  /// Latest position that this node knows of.
  store_position heard_through_;
  std::optional<confirmation> confirmed_;
  /// Latest confirmation whose position is after `known_through_`.
  std::optional<confirmation> awaited_;
  std::optional<base::time_point> verified_at_;
  std::vector<awaited_verification> awaited_verifications_;
};

} // namespace spurrack::catalog
