/// How the requests of a simulated fleet with silent replicas ended.
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace spurrack::silence {

/// How a request ended, as its client sees it and as the fleet knows the cause.
enum class request_end : std::uint8_t {
  whole,
  refused,
  at_deadline,
  /// A replica that ran the request has exited.
  replica_exited,
  /// The version of its stream left while its client read nothing.
  version_left_while_paused,
  /// Its node stopped and its time was over.
  node_stopped,
  /// An answer with a failure before the deadline although all its replicas live.
  failed_at_live_replica,
  /// A stream that was broken off before the deadline although all its replicas live.
  cut_at_live_replica,
};

/// A request of a client, and what the client has received.
struct client_record {
  base::caller_id number = 0;
  std::string path;
  std::size_t node = 0;
  base::time_point deadline;
  unsigned events = 0;
  bool is_unframed = false;
  bool has_begun = false;
  bool has_ended = false;
  bool was_paused = false;
  bool is_paused = false;
  std::uint64_t last_event = 0;
  std::size_t runs = 0;
  /// Replicas that were called for the request.
  std::set<std::size_t> replicas;
  /// Decisions of the node about the request, for the trace of a failure.
  std::string trace;
};

struct fleet_results {
  std::map<request_end, std::size_t> ends;
  std::size_t requests = 0;
  std::size_t silences = 0;
  /// Silences that began while a call was open at the replica.
  std::size_t silences_with_calls = 0;
  /// Silences during which a call waited for the replica.
  std::size_t silences_awaited = 0;
  /// Ends at live replicas, and requests, within three seconds after a change and at other times.
  std::size_t cuts_beside_change = 0;
  std::size_t requests_beside_change = 0;
  std::size_t cuts_elsewhere = 0;
  std::size_t out_of_order = 0;
  /// Answers told as whole although events are missing.
  std::size_t truncated = 0;
  std::size_t unanswered = 0;
  /// Requests that must run once and ran more often.
  std::size_t ran_twice = 0;
  std::size_t cancelled_without_successor = 0;
  /// Requests that a node passed on to another node as if it were cut off from the replicas.
  std::size_t passed_on = 0;
  /// Calls to a silent replica for which a call has waited longer than the target latency once,
  /// and twice.
  std::size_t calls_after_one_target = 0;
  std::size_t calls_after_two_targets = 0;
  /// Those of the latter that were made by a node which had found the replica silent itself.
  std::size_t calls_by_knowing_nodes = 0;
  /// Begun streams that ended at their deadline after their call was moved from a silent replica.
  std::size_t late_after_move = 0;
  /// Replicas that went on, and those of them that got a call within half a second.
  std::size_t went_on = 0;
  std::size_t got_work_again = 0;
  /// The same for replicas that were not silent, as a base line.
  std::size_t never_silent = 0;
  std::size_t never_silent_got_work = 0;
  /// Answers that failed or were cut at live replicas, by what the client was told.
  std::map<std::string, std::size_t> failures;
  /// Traces of the first failures, by kind.
  std::map<std::string, std::vector<std::string>> traces;

  /// Keeps a trace unless there are enough of its kind.
  void add_trace(const std::string& kind, const std::string& trace) {
    constexpr std::size_t max_traces = 5;
    if (traces[kind].size() < max_traces) {
      traces[kind].push_back(trace);
    }
  }
};

} // namespace spurrack::silence
