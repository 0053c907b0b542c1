/// Reasons for which the call of a request ends, and what each of them leaves behind: a call that
/// ends without a whole answer may have crashed its replica, and this may be known only later.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace spurrack::serving {

enum class call_end : std::uint8_t {
  whole_answer,       ///< The answer is whole.
  failed_answer,      ///< The replica answered with a failure, or with an answer that is not valid.
  not_run,            ///< The replica was not reached, or answered that it did not run the request.
  not_settled,        ///< The answer ended with its connection; settled later.
  relay_ended,        ///< The call went to another node, which judges its replicas itself.
  restarted_replica,  ///< The list showed the restart, and the exit is recorded already.
  connection_ended,   ///< The connection was reset, or ended inside the answer.
  connection_refused, ///< The replica refuses new connections.
  connection_timed_out, ///< The kernel gave up the connection.
  silence,              ///< The replica sent nothing, and the request was moved.
  client_left,          ///< The client closed its connection.
  client_too_slow,      ///< The call is suspended until its client reads on.
  deadline_passed,      ///< The deadline of the request has passed.
  no_memory,            ///< This node has no memory for the answer.
  given_up,             ///< This node ended the request for another reason.
};

inline constexpr std::size_t call_end_count = static_cast<std::size_t>(call_end::given_up) + 1;

/// What the end of a call leaves, so that an exit of its replica can be counted later.
enum class call_trace : std::uint8_t {
  none,      ///< Nothing: the replica is known to have gone on, or did not run the request.
  lost,      ///< A lost call: the end of the connection may be the exit.
  silent,    ///< A lost call whose connection tells nothing, at a replica that seems silent.
  abandoned, ///< A lost call, which is dropped once the replica is heard some time later.
};

[[nodiscard]] constexpr call_trace trace_of(call_end end) {
  switch (end) {
  case call_end::whole_answer:
  case call_end::failed_answer:
  case call_end::not_run:
  case call_end::not_settled:
  case call_end::relay_ended:
  case call_end::restarted_replica:
    return call_trace::none;
  case call_end::connection_ended:
  case call_end::connection_refused:
    return call_trace::lost;
  case call_end::connection_timed_out:
  case call_end::silence:
    return call_trace::silent;
  case call_end::client_left:
  case call_end::client_too_slow:
  case call_end::deadline_passed:
  case call_end::no_memory:
  case call_end::given_up:
    break;
  }
  return call_trace::abandoned;
}

/// @return name for logs and metrics.
[[nodiscard]] constexpr std::string_view name_of(call_end end) {
  constexpr std::array<std::string_view, call_end_count> names{
      "whole_answer",         "failed_answer",     "not_run",          "not_settled",
      "relay_ended",          "restarted_replica", "connection_ended", "connection_refused",
      "connection_timed_out", "silence",           "client_left",      "client_too_slow",
      "deadline_passed",      "no_memory",         "given_up"};
  return names.at(static_cast<std::size_t>(end));
}

} // namespace spurrack::serving
