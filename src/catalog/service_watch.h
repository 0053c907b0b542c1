/// When this node reads the configuration service, and from which revision. Only a few nodes of a
/// zone hold the job, so calls to the service grow with zones and not with nodes.
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <algorithm>
#include <optional>

namespace spurrack::catalog {

/// Not thread-safe.
class service_watch {
 public:
  /// Nodes of a zone that watch at the same time.
  static constexpr std::size_t watchers_per_zone = 2;
  static constexpr base::duration retry_first = std::chrono::milliseconds(250);
  /// Longest time between two tries where the service does not answer.
  static constexpr base::duration usual_retry_longest = std::chrono::seconds(8);
  /// A watch without answer is given up after this time (the service holds one for half of it).
  static constexpr base::duration watch_timeout = std::chrono::seconds(20);
  /// Rest after an answer that brought changes, so that a burst of them takes few calls. A change
  /// that comes after a quiet time is heard at once.
  static constexpr base::duration rest_after_changes = std::chrono::milliseconds(200);

  explicit service_watch(base::duration retry_longest = usual_retry_longest)
      : retry_longest_(retry_longest), backoff_(std::min(retry_first, retry_longest)) {}

  /// @return the revision after which to read, where a read is due now.
  std::optional<base::revision> next_read(bool holds_job, base::time_point now);

  /// @param service_revision revision the service says it is at. Where it went back (a service
  ///        restored from a backup), reading goes on from there; what is in force does not go back.
  /// @param has_changes whether the answer brought any entry.
  /// @return whether the service is behind what it said before.
  bool on_answer(base::revision service_revision, bool has_changes, base::time_point now);
  void on_failure(base::time_point now);

  [[nodiscard]] bool has_answered() const { return last_answer_.has_value(); }
  [[nodiscard]] std::optional<base::time_point> last_answer() const { return last_answer_; }
  [[nodiscard]] std::uint64_t calls() const { return calls_; }

 private:
  bool outstanding_ = false;
  base::revision cursor_ = 0;
  base::time_point outstanding_since_;
  base::time_point next_try_;
  base::duration retry_longest_;
  base::duration backoff_;
  std::optional<base::time_point> last_answer_;
  std::uint64_t calls_ = 0;
};

} // namespace spurrack::catalog
