/// Passes events to the node on the thread of an io_context, and measures the stands of this
/// thread.
///
/// A stand is a time for which the thread does not read its sockets: an event or another piece of
/// work takes long, or the process gets no processor. Input that arrives during a stand waits in
/// the sockets. The node must not take the wait for silence of its sender, so after a stand the
/// pump first reads the sockets for a few turns of the loop, and then delivers the events of the
/// whole input together, before the node looks at its clocks.
#pragma once

#include "node/events.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace spurrack::daemon {

/// Time for which the loop did not read its sockets.
struct loop_stand {
  base::duration duration{};
  /// Name of the event or of the other piece of work that took the longest part of the stand;
  /// `outside_loop` if the pump measured no work.
  std::string_view handled;
};

/// Stands during which one kind of event or work was handled.
struct stand_totals {
  std::uint64_t count = 0;
  base::duration longest{};
};

/// Totals by `loop_stand::handled`.
using stand_counters = std::map<std::string_view, stand_totals>;

/// Functions that the pump calls, on the thread of the io_context and never within each other.
struct event_handlers {
  /// Handles one event.
  std::function<void(const node::event&)> handle;
  /// Handles the events that were read after a stand; the last one is `time_passed`.
  std::function<void(const std::vector<node::event>&)> handle_unread;
  /// Notes a stand, before any later event is handled.
  std::function<void(const loop_stand&)> on_stand;
  /// @return time at which the node needs `time_passed` at the latest.
  std::function<base::time_point()> next_wakeup;
};

/// Queue of events in front of a node. Not thread-safe.
class event_pump {
 public:
  /// Shortest time that counts as a stand: replicas pause for less inside a stream.
  static constexpr base::duration min_stand = std::chrono::milliseconds(50);
  /// Value of `loop_stand::handled` for a time in which the pump measured no work.
  static constexpr std::string_view outside_loop = "outside_loop";

  /// @param io must outlive the pump.
  event_pump(boost::asio::io_context& io, event_handlers handlers);
  event_pump(const event_pump&) = delete;
  event_pump& operator=(const event_pump&) = delete;

  /// Queues an event. The event is handled in a later handler of the io_context, never while
  /// another event is handled.
  void post(node::event input_event);
  /// Notes the end of work of the loop that is not an event. Call before the loop handles anything
  /// else.
  /// @param work name of the work; must point to a literal.
  void note_work(std::string_view work, base::time_point started_at);
  [[nodiscard]] const stand_counters& stands() const { return stands_; }

 private:
  void schedule_delivery();
  /// Handles the queued events, in order, until none is left or the loop stood.
  void deliver_queued();
  /// Handles all queued events and `time_passed` together.
  void deliver_unread();
  void on_wakeup();
  /// Ensures that the node receives `time_passed` no later than at its next wakeup time. An earlier
  /// timer that is already pending is kept.
  void schedule_wakeup();
  /// @return how late the wakeup or the delivery of the queued events is; 0 or less if neither is
  /// due.
  [[nodiscard]] base::duration lateness(base::time_point now) const;
  /// Begins the turns in which the sockets are read, unless they have begun.
  void begin_reading(const loop_stand& stand);
  /// Lets the loop read its sockets for some turns, and then delivers the events.
  /// @param turn number of the next turn, from 1.
  /// @param deadline time from which no further turn begins.
  void read_sockets(std::size_t turn, base::time_point deadline);

  boost::asio::io_context* io_;
  event_handlers handlers_;
  /// Posted events that are not handled yet, in order.
  std::vector<node::event> queued_;
  /// Time at which the first event since the last delivery was posted; meaningful if
  /// `is_delivery_scheduled_`.
  base::time_point posted_at_;
  bool is_delivery_scheduled_ = false;
  /// Whether the loop reads its sockets after a stand. Events are then only queued.
  bool is_reading_ = false;
  boost::asio::steady_timer wakeup_;
  /// Time at which `wakeup_` fires; std::nullopt if it is not armed.
  std::optional<base::time_point> wakeup_at_;
  stand_counters stands_;
};

} // namespace spurrack::daemon
