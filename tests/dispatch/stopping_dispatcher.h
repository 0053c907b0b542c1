/// A dispatcher that has learned the run times of its routes before a graceful stop.
#pragma once

#include "serving_fixture.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace spurrack::serving {

/// Time from the begin of a stop to its end.
constexpr std::chrono::milliseconds stop_duration{7'300};

/// A dispatcher that has served streams which last two seconds from their first event.
struct stopping_dispatcher : dispatcher_driver {
  stopping_dispatcher() { time_allowed = std::chrono::seconds(15); }

  /// Completes four streams of a route, so that the dispatcher learns their times.
  /// @param pieces number of pieces of each stage: either empty, or one piece for the first stage
  ///        and none for the other stages.
  void learn_run_times(const std::string& path, const std::vector<std::uint32_t>& pieces = {}) {
    constexpr base::caller_id stream_count = 4;
    for (base::caller_id client = 1; client <= stream_count; ++client) {
      send_request(client, path, pieces);
      if (!pieces.empty()) {
        advance_time(std::chrono::milliseconds(20));
        complete_stage_call();
      }
      complete_stream_of_last_call(std::chrono::milliseconds(200), std::chrono::seconds(2));
    }
  }

  /// Answers the latest call for a stage with a result for its only piece.
  void complete_stage_call() {
    stage_call_ended ended;
    ended.call = last<start_stage_call>().call;
    ended.outcome = stage_call_ended::result::answered;
    ended.pieces = {{piece_fault::none, "10.0.0.1:80/h"}};
    deliver(ended);
  }

  void complete_stream_of_last_call(base::duration to_first_event, base::duration events) {
    const auto call = last<start_call>().call;
    advance_time(to_first_event);
    deliver(stream_opened{call, good_head()});
    send_next_event(call);
    // The interval of the events is shorter than the stall timeout.
    for (base::duration elapsed{}; elapsed < events; elapsed += std::chrono::milliseconds(500)) {
      advance_time(std::chrono::milliseconds(500));
      send_next_event(call);
    }
    deliver(stream_closed{call, true});
  }

  void send_next_event(base::call_id call) {
    const auto id = std::to_string(++events_by_call[call]);
    deliver(stream_bytes{call, "id: " + id + "\ndata: a\n\n"});
  }

  void begin_stop() {
    stop_began_at = now;
    subject.begin_stop(now, now + stop_duration);
  }

  base::time_point stop_began_at;
  std::map<base::call_id, unsigned> events_by_call;
};

} // namespace spurrack::serving
