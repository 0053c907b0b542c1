/// Simulated platform, the service that publishes the configuration and the machine list to nodes:
/// published entries with revisions, watches (reads that wait for a change) and outages.
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

/// Behaviour of the platform. In `down` mode every read fails. In `stale` mode the platform answers
/// with the entries and the revision that were current when the mode was set.
enum class platform_mode : std::uint8_t { up, down, stale };

/// Serves the configuration and the machine list to simulated nodes. The entries of both share one
/// sequence of revisions. Not thread-safe.
class emulated_platform {
 public:
  using answer_handler = std::function<void(const std::optional<node::service_answered>&)>;
  /// Maximum time after which a watch is answered even if no entry has changed; a read may request
  /// a shorter time (`node::read_service::max_hold_time`).
  static constexpr base::duration watch_timeout = std::chrono::seconds(30);

  explicit emulated_platform(event_queue& events) : events_(&events) {}

  /// Publishes a value, or deletes the key if `value` is std::nullopt.
  /// @return revision of the change.
  base::revision publish(const std::string& key, std::optional<std::string> value);
  /// Sets the latest revision back to `revision` and removes each entry whose last change has a
  /// later revision. The earlier value of such an entry is not restored.
  void restore(base::revision revision);
  void set_mode(platform_mode mode);
  /// From now on, listings for which a stale answer is allowed reflect the latest revision at the
  /// time of this call. Other reads are not affected.
  void keep_stale_listings_at_current_revision() { stale_listing_revision_ = revision_; }

  /// Reads the entries that changed after revision `request.after`. Answers at once if the latest
  /// revision differs from `request.after` or the platform is down. Otherwise the read becomes a
  /// watch: it is answered at the next change of the entries or of the mode, at the latest after
  /// the requested hold time or `watch_timeout`.
  /// @param answer called with std::nullopt if the platform is down.
  void read(const node::read_service& request, answer_handler answer);

  /// Answers a probe, which reads no entries.
  /// @return whether the platform answers.
  bool answer_probe() {
    ++probes_;
    return mode_ != platform_mode::down;
  }
  /// @return number of probes. A probe costs the platform a tenth of what a read costs.
  [[nodiscard]] std::uint64_t probes() const { return probes_; }
  [[nodiscard]] base::revision revision() const { return revision_; }
  /// @return number of reads that the platform received; probes are not counted.
  [[nodiscard]] std::uint64_t calls() const { return calls_; }
  /// @return number of reads whose `request.after` is 0; such a read asks for all entries of a
  ///         source.
  [[nodiscard]] std::uint64_t listings() const { return listings_; }

 private:
  struct published_entry {
    base::revision revision = 0;
    /// std::nullopt if the entry is deleted.
    std::optional<std::string> value;
  };
  struct watch {
    node::read_service request;
    answer_handler answer;
  };

  void finish_all_watches();
  void finish_watch(std::uint64_t watch_id);
  [[nodiscard]] node::service_answered answer_for(const node::read_service& request) const;

  event_queue* events_;
  std::map<std::string, published_entry> entries_;
  base::revision revision_ = 0;
  /// Revision that is served in `platform_mode::stale`.
  base::revision stale_revision_ = 0;
  /// Revision that listings reflect for which a stale answer is allowed; std::nullopt if they
  /// reflect the latest revision.
  std::optional<base::revision> stale_listing_revision_;
  platform_mode mode_ = platform_mode::up;
  std::uint64_t calls_ = 0;
  std::uint64_t listings_ = 0;
  std::uint64_t probes_ = 0;
  std::uint64_t next_watch_ = 1;
  std::map<std::uint64_t, watch> watches_;
};

} // namespace spurrack::simulation
