#include "daemon/event_pump.h"

#include "daemon/event_names.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace spurrack::daemon {
namespace {

/// Maximum number of turns of the loop in which the sockets are read after a stand. In each turn
/// the loop polls all sockets, and a connection reads one piece.
constexpr std::size_t max_reading_turns = 8;
/// Minimum number of these turns: one to poll the sockets, one to run the handlers of what was
/// found.
constexpr std::size_t min_reading_turns = 2;
/// Time after the end of a stand from which no further turn begins, so that a busy loop does not
/// delay its events.
constexpr base::duration max_reading_time = std::chrono::milliseconds(20);

} // namespace

event_pump::event_pump(boost::asio::io_context& io, event_handlers handlers)
    : io_(&io), handlers_(std::move(handlers)), wakeup_(io) {}

void event_pump::post(node::event input_event) {
  queued_.push_back(std::move(input_event));
  schedule_delivery();
}

void event_pump::schedule_delivery() {
  if (is_delivery_scheduled_ || is_reading_) {
    return;
  }
  is_delivery_scheduled_ = true;
  posted_at_ = base::boot_clock::now();
  boost::asio::post(*io_, [this] {
    deliver_queued();
    is_delivery_scheduled_ = false;
    if (!queued_.empty()) {
      schedule_delivery();
    }
    schedule_wakeup();
  });
}

base::duration event_pump::lateness(base::time_point now) const {
  auto due_at = wakeup_at_.value_or(now);
  if (is_delivery_scheduled_) {
    due_at = std::min(due_at, posted_at_);
  }
  return now - due_at;
}

void event_pump::deliver_queued() {
  if (is_reading_) {
    return;
  }
  const auto started_at = base::boot_clock::now();
  if (const auto late = lateness(started_at); late >= min_stand) {
    begin_reading({late, outside_loop});
    return;
  }
  auto events = std::exchange(queued_, {});
  auto handled_from = started_at;
  loop_stand longest;
  for (auto next = events.begin(); next != events.end();) {
    handlers_.handle(*next);
    const auto now = base::boot_clock::now();
    if (now - handled_from > longest.duration) {
      longest = {now - handled_from, name_of(*next)};
    }
    handled_from = now;
    ++next;
    if (now - started_at >= min_stand) {
      queued_.insert(queued_.begin(), std::move_iterator(next), std::move_iterator(events.end()));
      begin_reading({now - started_at, longest.handled});
      return;
    }
  }
}

void event_pump::on_wakeup() {
  if (is_reading_) {
    wakeup_at_.reset();
    return;
  }
  // Events that were read in this turn of the loop are handled before the node looks at its clocks.
  deliver_queued();
  wakeup_at_.reset();
  if (is_reading_) {
    return;
  }
  const auto started_at = base::boot_clock::now();
  const node::event wakeup = node::time_passed{};
  handlers_.handle(wakeup);
  note_work(name_of(wakeup), started_at);
  schedule_wakeup();
}

void event_pump::note_work(std::string_view work, base::time_point started_at) {
  const auto worked = base::boot_clock::now() - started_at;
  if (worked >= min_stand) {
    begin_reading({worked, work});
  }
}

void event_pump::begin_reading(const loop_stand& stand) {
  auto& totals = stands_[stand.handled];
  ++totals.count;
  totals.longest = std::max(totals.longest, stand.duration);
  handlers_.on_stand(stand);
  if (!is_reading_) {
    is_reading_ = true;
    read_sockets(1, base::boot_clock::now() + max_reading_time);
  }
}

void event_pump::read_sockets(std::size_t turn, base::time_point deadline) {
  boost::asio::post(*io_, [this, turn, deadline] {
    const bool is_late = turn >= min_reading_turns && base::boot_clock::now() >= deadline;
    if (turn >= max_reading_turns || is_late) {
      deliver_unread();
    } else {
      read_sockets(turn + 1, deadline);
    }
  });
}

void event_pump::deliver_unread() {
  is_reading_ = false;
  auto events = std::exchange(queued_, {});
  events.emplace_back(node::time_passed{});
  const auto started_at = base::boot_clock::now();
  handlers_.handle_unread(events);
  note_work("unread_input", started_at);
  schedule_wakeup();
}

void event_pump::schedule_wakeup() {
  if (is_reading_) {
    return;
  }
  const auto now = base::boot_clock::now();
  const auto next_wakeup = handlers_.next_wakeup();
  if (wakeup_at_ && *wakeup_at_ > now && *wakeup_at_ <= next_wakeup) {
    // Each event of a streamed answer moves the node's next wakeup time to a later time. The timer
    // is not set again for each such event: the pending timer stays, fires too early, and is then
    // set to the node's wakeup time at that moment.
    return;
  }
  wakeup_at_ = std::max(next_wakeup, now);
  wakeup_.expires_after(std::max<base::duration>(next_wakeup - now, base::duration::zero()));
  wakeup_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      on_wakeup();
    }
  });
}

} // namespace spurrack::daemon
