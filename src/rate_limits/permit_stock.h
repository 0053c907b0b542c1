/// Permits for one limited replica that this node holds, and the number of further permits that
/// this node's requests to the replica need. No I/O.
#pragma once

#include "base/time.h"
#include "rate_limits/permit_issuer.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace spurrack::rate_limits {

/// Not thread-safe.
class permit_stock {
 public:
  [[nodiscard]] bool has_permit(base::time_point now) const;
  /// Records that a request is sent, and spends the permit that expires first. The request counts
  /// as demand, so that a node that sends many requests queries further permits in advance.
  void note_sent(base::time_point now);
  /// Records that only the lack of a permit kept a request from being sent to the replica.
  void note_unmet_demand(base::time_point now);
  /// Records the number of requests that wait for this replica and can be sent to no other replica.
  void note_waiting(std::uint32_t count, base::time_point now);
  /// Returns the number of permits to ask for in a new query, which replaces the pending query: the
  /// expected demand less the permits held. Returns 0 if no new query is needed: if the pending
  /// query asks for enough permits and, in case requests wait now, was sent while requests waited.
  [[nodiscard]] std::uint32_t permits_to_request(base::time_point now) const;
  /// Returns whether a query is pending for waiting requests although the permits held cover the
  /// expected demand.
  [[nodiscard]] bool has_unneeded_query(base::time_point now) const;
  /// Records that the pending query is withdrawn. Requires a pending query.
  void note_query_withdrawn() { query_->outstanding = 0; }
  void note_query_sent(std::uint64_t number, std::uint32_t count, base::time_point now);
  /// Returns whether `note_waiting` recently reported waiting requests.
  [[nodiscard]] bool has_waiting_requests(base::time_point now) const;
  /// Adds permits that an issuer granted.
  /// @return false, with nothing added, if the permits do not answer a query that this node sent
  ///         after the last `clear`.
  bool add(const permit_grant& grant, base::time_point now);
  /// Discards the permits held and the pending query, and causes permits in transit to be rejected:
  /// this process was suspended.
  void clear();

  [[nodiscard]] std::size_t held(base::time_point now) const;
  /// Returns the number of sends within the last four seconds.
  [[nodiscard]] std::size_t recent_sends(base::time_point now) const;

 private:
  void count_demand(base::time_point now);
  /// Returns the number of permits that requests are expected to need shortly.
  [[nodiscard]] std::uint32_t expected_demand(base::time_point now) const;

  /// Permits that were received together.
  struct held_permits {
    std::uint32_t count = 0;
    base::time_point expires_at;
  };
  struct pending_query {
    std::uint64_t number = 0;
    /// Number of permits of this query that have not arrived yet.
    std::uint32_t outstanding = 0;
    bool has_waiting_requests = false;
    base::time_point expires_at;
  };

  std::deque<held_permits> permits_;
  std::optional<pending_query> query_;
  /// Number of the first query since the last `clear`; 0 before that query.
  std::uint64_t first_valid_query_number_ = 0;
  /// Start of the current demand window, and the number of requests that needed a permit in it and
  /// in the window before.
  base::time_point window_started_at_;
  std::uint32_t demand_in_current_window_ = 0;
  std::uint32_t demand_in_previous_window_ = 0;
  /// Whether a request lacked a permit since the last query.
  bool has_unmet_demand_ = false;
  std::uint32_t waiting_requests_ = 0;
  base::time_point waiting_reported_at_;
  std::deque<base::time_point> sends_;
};

} // namespace spurrack::rate_limits
