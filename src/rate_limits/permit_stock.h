/// Permits for one limited replica that this node holds, and how many more its requests want. No
/// I/O.
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
  /// A request is sent: spends the permit that is void first. Where many are sent, the next permits
  /// are asked for ahead.
  void note_sent(base::time_point now);
  /// A request could be sent now, and no permit is held.
  void note_unmet_demand(base::time_point now);
  /// So many requests wait for this replica that no other may be sent now.
  void note_waiting(std::uint32_t count, base::time_point now);
  /// @return permits that a question now would ask for, which takes the place of the one before:
  ///         those that requests want in a short while and that are not held; 0 where the question
  ///         that stands asks for as many.
  [[nodiscard]] std::uint32_t permits_to_request(base::time_point now) const;
  /// @return whether permits are asked for that no request waits for any more.
  [[nodiscard]] bool has_unneeded_query(base::time_point now) const;
  /// The question that stands is withdrawn.
  void note_query_withdrawn() { query_->outstanding = 0; }
  /// They are asked for.
  void note_query_sent(std::uint64_t number, std::uint32_t count, base::time_point now);
  /// @return whether requests wait of late that no other replica may be sent.
  [[nodiscard]] bool has_waiting_requests(base::time_point now) const;
  /// Takes in permits. @return whether they answer a question of this node.
  bool add(const permit_grant& grant, base::time_point now);
  /// This process was paused: permits are void, and so are those that are on their way.
  void clear();

  /// @return permits held.
  [[nodiscard]] std::size_t held(base::time_point now) const;
  /// @return sends within the last four seconds.
  [[nodiscard]] std::size_t recent_sends(base::time_point now) const;

 private:
  void count_demand(base::time_point now);
  /// @return permits that requests want in a short while.
  [[nodiscard]] std::uint32_t expected_demand(base::time_point now) const;

  /// Permits that came together.
  struct held_permits {
    std::uint32_t count = 0;
    base::time_point expires_at;
  };
  struct pending_query {
    std::uint64_t number = 0;
    std::uint32_t outstanding = 0;
    bool has_waiting_requests = false;
    base::time_point expires_at;
  };

  std::deque<held_permits> permits_;
  std::optional<pending_query> query_;
  /// Number of the first question since permits were void; 0 before there is one.
  std::uint64_t first_valid_query_number_ = 0;
  /// Requests that wanted a permit in the span that is counted now and in the one before it.
  base::time_point window_started_at_;
  std::uint32_t demand_in_current_window_ = 0;
  std::uint32_t demand_in_previous_window_ = 0;
  /// A request lacked a permit since permits were asked for last.
  bool has_unmet_demand_ = false;
  std::uint32_t waiting_requests_ = 0;
  base::time_point waiting_reported_at_;
  std::deque<base::time_point> sends_;
};

} // namespace spurrack::rate_limits
