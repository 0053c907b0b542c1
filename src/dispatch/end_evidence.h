/// Evidence on which an answer ends before its deadline without being whole.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace spurrack::serving {

/// What shows that the latest call of a request brings no whole answer, or why its answer ends.
enum class end_evidence : std::uint8_t {
  none,               ///< No call of the request has ended.
  connection_ended,   ///< The connection was reset, or ended inside the answer.
  connection_refused, ///< The replica refuses new connections: its process has ended.
  replica_restarted,  ///< A new incarnation of the replica is published.
  replica_failed,     ///< The replica answered with a failure, or with an answer that is not valid.
  relay_failed,       ///< The node to which the request was passed on answered that it failed.
  silence,            ///< The replica sent nothing, and the call was moved to another replica.
  client_too_slow,    ///< The call was cancelled until its client reads on.
  end_not_marked,     ///< The replica marked no end, and no other run showed whether it was whole.
  inputs_lost,        ///< The results of its stages were lost again and again.
  no_memory,          ///< This node has no memory for the answer.
  quarantined,        ///< Replicas exited under the request, so that it may not run again.
  version_left,       ///< No replica accepts work of the software version that began the stream.
  node_stopping,      ///< This node stops.
  deadline_passed,    ///< The deadline has passed.
};

inline constexpr std::size_t end_evidence_count =
    static_cast<std::size_t>(end_evidence::deadline_passed) + 1;

/// @return whether an answer may end on the evidence before its deadline. A replica that is silent
///         may go on, and a client that reads slowly may read on.
[[nodiscard]] constexpr bool may_end_answer(end_evidence evidence) {
  return evidence != end_evidence::silence && evidence != end_evidence::client_too_slow;
}

/// @return name for logs and metrics.
[[nodiscard]] constexpr std::string_view name_of(end_evidence evidence) {
  constexpr std::array<std::string_view, end_evidence_count> names{"none",
                                                                   "connection_ended",
                                                                   "connection_refused",
                                                                   "replica_restarted",
                                                                   "replica_failed",
                                                                   "relay_failed",
                                                                   "silence",
                                                                   "client_too_slow",
                                                                   "end_not_marked",
                                                                   "inputs_lost",
                                                                   "no_memory",
                                                                   "quarantined",
                                                                   "version_left",
                                                                   "node_stopping",
                                                                   "deadline_passed"};
  return names.at(static_cast<std::size_t>(evidence));
}

} // namespace spurrack::serving
