/// Counters of the serving path, exported as metrics.
#pragma once

#include "base/time.h"
#include "model/residency.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace spurrack::serving {

/// Histogram of the times to the first byte of answers, in fixed buckets.
class latency_histogram {
 public:
  /// Upper bounds of the buckets, in seconds; the last bucket is unbounded.
  static constexpr std::array<double, 12> bounds{0.01, 0.025, 0.05, 0.1, 0.25, 0.5,
                                                 1.0,  1.6,   2.5,  4.0, 8.0,  16.0};

  void add(base::duration took) {
    const double seconds = base::to_seconds(took);
    std::size_t bucket = 0;
    while (bucket < bounds.size() && seconds > bounds[bucket]) {
      ++bucket;
    }
    ++counts_[bucket];
    sum_seconds_ += seconds;
  }
  [[nodiscard]] const std::array<std::uint64_t, bounds.size() + 1>& counts() const {
    return counts_;
  }
  [[nodiscard]] double sum_seconds() const { return sum_seconds_; }

 private:
  std::array<std::uint64_t, bounds.size() + 1> counts_{};
  double sum_seconds_ = 0;
};

/// Counters of the requests of this node since its start.
struct serving_counters {
  /// Requests that ended, by the status of the answer; the status is 0 if the client disconnected
  /// before the answer was complete. Two kinds of requests are not counted: streams that this node
  /// breaks off after a failure, and requests that are answered with a replica's answer of status
  /// 502, 503 or 504.
  std::map<unsigned, std::uint64_t> answers;
  /// Times from the arrival of a request until this node begins to send a replica's answer to the
  /// client.
  latency_histogram first_byte;
  /// Calls that send a request to a replica; calls with pieces of stages are not included.
  std::uint64_t calls = 0;
  /// Calls by locality of their replica, indexed by `model::locality`.
  std::array<std::uint64_t, model::locality_count> calls_by_locality{};
  /// Requests refused because no replica in their permitted regions could serve them.
  std::uint64_t refused_by_residency = 0;
  /// Requests sent to a more distant replica although a nearer one was available outside their
  /// permitted regions.
  std::uint64_t confined_by_residency = 0;
  /// Retries that the retry budget allowed, including those that resume suspended streams of slow
  /// clients.
  std::uint64_t retries = 0;
  /// Requests refused because this node is partitioned from all replicas.
  std::uint64_t refused_while_partitioned = 0;
  /// Requests passed on to another node for the same reason.
  std::uint64_t passed_on = 0;
  /// Number of times that a retry was denied because the retry budget was used up.
  std::uint64_t retries_denied = 0;
  /// Retries that waited for retry budget transferred by other nodes.
  std::uint64_t retries_on_transferred_budget = 0;
  /// Calls that ended before their deadline because their replica refused connections or had
  /// restarted.
  std::uint64_t ended_at_down_replicas = 0;
  /// Answers that ended before they were whole, by the name of the evidence.
  std::map<std::string_view, std::uint64_t> early_ends;
  /// Stalled calls that were given up for a replica that could take them at once.
  std::uint64_t calls_moved = 0;
  /// Silences of calls that were found stalled and then made progress.
  latency_histogram silences_survived;
  /// Replicas that restarted under the same id.
  std::uint64_t replica_restarts = 0;
  /// Calls that were in flight at the earlier incarnation of a replica when the replica restarted.
  std::uint64_t calls_at_earlier_incarnations = 0;
  /// Replicas published with a service that is not configured.
  std::uint64_t replicas_of_unknown_services = 0;
  std::uint64_t accepted_while_stopping = 0;
  std::uint64_t refused_while_stopping = 0;
  /// Accepted requests that a stopping node ended instead of sending them to a replica, since they
  /// were not expected to end before the node exits.
  std::uint64_t ended_while_stopping = 0;
  /// Requests that had not ended at the end of a graceful stop and were aborted.
  std::uint64_t aborted_at_stop = 0;
  /// Unplanned exits of replicas while they ran requests of this node, counted once for each of
  /// these requests.
  std::uint64_t crashes_under_requests = 0;
  /// Calls that ended, by the name of the reason.
  std::map<std::string_view, std::uint64_t> closed_calls;
  /// Exits of replicas that were suspected because they fell silent while they ran requests of this
  /// node, counted once for each of these requests.
  std::uint64_t suspected_exits = 0;
  /// Suspected exits, of any node, that this node found proven, once for each request; and that it
  /// found not to have happened.
  std::uint64_t proven_exits = 0;
  std::uint64_t disproved_exits = 0;
  /// Requests refused because they would be quarantined if their suspected exits were proven.
  std::uint64_t refused_while_held = 0;
  /// Requests refused or aborted because they were quarantined.
  std::uint64_t refused_in_quarantine = 0;
  /// Number of times that a request was put into quarantine at this node.
  std::uint64_t quarantines = 0;
  /// Number of times that the exits under a request were cleared because a run of the request
  /// ended without an exit of its replica.
  std::uint64_t requests_cleared = 0;
  /// Requests refused because a part of their prompt is quarantined.
  std::uint64_t refused_for_prompt_part = 0;
  /// Requests with a suspected prompt part that waited too long for a trial.
  std::uint64_t refused_without_trial = 0;
  /// Answers that ended with their connection, by what became of them.
  std::map<std::string_view, std::uint64_t> open_ends;
  /// Answers whose end was settled later because they ended with their connection, and those of
  /// them whose replica was not seen to go on.
  std::uint64_t unframed_answers = 0;
  std::uint64_t unframed_answers_rejected = 0;
  /// Requests that waited for a slot at replicas that announce a limit or requested a backoff.
  std::uint64_t slot_waits = 0;
  /// Requests refused because no slot at replicas that announce a limit or requested a backoff was
  /// expected in time.
  std::uint64_t refused_without_slot = 0;
  /// Pieces of stages that were submitted.
  std::uint64_t stage_pieces = 0;
  /// Stage results that were freed because they are no longer needed.
  std::uint64_t results_freed = 0;
  /// Streams resumed at another replica after their replica broke them off.
  std::uint64_t streams_resumed = 0;
  /// Requests to resume a stream that go on: at the version that began the stream, or at the only
  /// version of a service.
  std::uint64_t resumptions_bound = 0;
  std::uint64_t resumptions_at_only_version = 0;
  /// Requests that go on at the only version, by what proves that it began the stream: this node's
  /// list of replicas, or the lists of other nodes for the time before.
  std::uint64_t resumptions_proven_by_own_list = 0;
  std::uint64_t resumptions_proven_by_other_nodes = 0;
  /// Requests to resume a stream that were refused: because it is not known which of several
  /// versions began the stream, because no node knows for long enough that there is one version
  /// alone, because the list of replicas could not be verified in time, because no replica of the
  /// version accepts work, or because its replicas had no slot in time.
  std::uint64_t resumptions_of_unknown_origin = 0;
  std::uint64_t resumptions_without_evidence = 0;
  std::uint64_t resumptions_without_verified_list = 0;
  std::uint64_t resumptions_of_left_version = 0;
  std::uint64_t resumptions_without_slot = 0;
  /// Streams whose client read too slowly for so long that the stream was suspended or buffered.
  std::uint64_t slow_clients = 0;
  /// Streams that were suspended: their call to the replica was cancelled until their client reads
  /// on.
  std::uint64_t streams_suspended = 0;
  /// Calls that were ended since their replica sent an event longer than
  /// `serving_settings::max_event_bytes`.
  std::uint64_t long_events = 0;
  /// Suspended streams that were resumed because their client read on.
  std::uint64_t suspended_streams_resumed = 0;
};

} // namespace spurrack::serving
