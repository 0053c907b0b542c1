/// The platform's services in virtual time: published entries with revisions, watches, outages.
#pragma once

#include "node/events.h"
#include "simulation/event_queue.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace spurrack::simulation {

enum class platform_mode : std::uint8_t { up, down, stale };

/// Serves both sources from one sequence of revisions. Not thread-safe.
class emulated_platform {
 public:
  using answer_handler = std::function<void(const std::optional<node::service_answered>&)>;
  static constexpr base::duration watch_time = std::chrono::seconds(8);

  explicit emulated_platform(event_queue& events) : events_(&events) {}

  /// Publishes a value, or deletes the key where there is none.
  base::revision publish(const std::string& key, std::optional<std::string> value);
  /// Goes back to an earlier revision.
  void restore(base::revision revision);
  void set_mode(platform_mode mode);

  /// Answers at once where there is something newer, otherwise when there is or the watch ends.
  /// Nothing is answered with where the service is down.
  void read(const node::read_service& what, answer_handler answer);

  /// @return whether the service answers a question that it need not look up.
  bool answer_probe() {
    ++probes_;
    return mode_ != platform_mode::down;
  }
  /// A probe costs a tenth of a call.
  [[nodiscard]] std::uint64_t probes() const { return probes_; }
  [[nodiscard]] base::revision revision() const { return revision_; }
  [[nodiscard]] std::uint64_t calls() const { return calls_; }
  /// @return reads from the beginning.
  [[nodiscard]] std::uint64_t listings() const { return listings_; }

 private:
  struct published {
    base::revision revision = 0;
    std::optional<std::string> value;
  };
  struct watch {
    node::read_service what;
    answer_handler answer;
  };

  void wake_all();
  void finish(std::uint64_t watch_id);
  [[nodiscard]] node::service_answered answer_for(const node::read_service& what) const;

  event_queue* events_;
  std::map<std::string, published> entries_;
  base::revision revision_ = 0;
  base::revision stale_revision_ = 0;
  platform_mode mode_ = platform_mode::up;
  std::uint64_t calls_ = 0;
  std::uint64_t listings_ = 0;
  std::uint64_t probes_ = 0;
  std::uint64_t next_watch_ = 1;
  std::map<std::uint64_t, watch> watches_;
};

} // namespace spurrack::simulation
