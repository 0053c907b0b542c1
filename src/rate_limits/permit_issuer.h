/// Hands out permits for one limited replica at the pace that it names, to the nodes that ask. The
/// node that issues is the only place where all sends of the fleet meet, so nothing is divided that
/// one node may need whole. No I/O.
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace spurrack::rate_limits {

/// A permit that is not used within this time after it came is void: what a node saved up would be
/// sent at once later.
inline constexpr base::duration permit_lifetime = std::chrono::milliseconds(200);
/// A question that is not answered within this time is asked again, and stands no longer: the node
/// may have ended, or its requests gone elsewhere.
inline constexpr base::duration query_lifetime = std::chrono::milliseconds(800);

/// A node asks for permits.
struct permit_query {
  base::node_id node;
  /// Given back with the permits, by which the asking node knows what they answer.
  std::uint64_t number = 0;
  std::uint32_t count = 1;
  /// Requests wait there that no other replica may be sent now.
  bool has_waiting_requests = false;
};

/// Permits for one node.
struct permit_grant {
  std::uint64_t number = 0;
  std::uint32_t count = 0;
};

/// Not thread-safe.
class permit_issuer {
 public:
  /// This node issues from now on; what another issued before may still be spent.
  explicit permit_issuer(base::time_point now) { restart(now); }

  /// Nothing is saved up and no question stands: the node was paused, or has just taken over.
  void restart(base::time_point now);
  /// @param per_second permits a second from now on.
  void set_rate(double per_second, base::time_point now);
  /// A node asks; its earlier question stands no longer. One that wants none withdraws it.
  void record_query(permit_query query, base::time_point now);
  /// @return what is handed out now.
  std::map<base::node_id, permit_grant> issue(base::time_point now);
  /// @return when more can be handed out; nothing where nobody asks.
  [[nodiscard]] std::optional<base::time_point> next_issue_at() const;

 private:
  struct pending_query {
    permit_query query;
    base::time_point expires_at;
  };
  using query_queue = std::deque<pending_query>;

  /// Brings what may be handed out up to `now`.
  void accrue(base::time_point now);
  /// Hands out permits in turns, one a node.
  void grant_permits(query_queue& queue, std::map<base::node_id, permit_grant>& grants,
                     base::time_point now);

  double rate_ = 0;
  /// Permits that may be handed out, as of `accrued_at_`.
  double available_ = 0;
  base::time_point accrued_at_;
  /// Nodes where requests wait come first.
  query_queue urgent_queries_;
  query_queue other_queries_;
};

} // namespace spurrack::rate_limits
