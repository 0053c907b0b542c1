/// Log files of nodes, read for what they say of requests: the same lines that a node writes on its
/// standard output, one JSON object each.
#pragma once

#include <cstddef>
#include <cstdint>
#include <istream>
#include <ostream>
#include <string>
#include <vector>

namespace spurrack::ctl {

/// One line that concerns a request.
struct request_event {
  /// Wall clock of the node, in microseconds; clocks of nodes differ.
  std::uint64_t at_us = 0;
  std::string node;
  /// Name of a `base::event_kind`.
  std::string kind;
  std::string request;
  /// Route, replica or status concerned.
  std::string subject;
  std::string detail;
};

/// What log files hold.
struct request_log {
  std::vector<request_event> events;
  /// Lines that are no log lines: what follows from `events` may miss them.
  std::size_t unreadable_lines = 0;
  /// Lines that nodes could not write, as they say themselves.
  std::size_t dropped_lines = 0;
};

/// Adds what a stream of log lines says of requests. Whatever stands before the object of a line,
/// as some collectors put there, is passed over.
void read_log(std::istream& lines, request_log& log);

/// @return the events of one request in the order of their clocks.
std::vector<request_event> events_of(const request_log& log, const std::string& request);

/// What became of the requests of one route.
struct route_summary {
  std::string route;
  std::size_t requests = 0;
  std::size_t served = 0;
  /// Answered that they were not run.
  std::size_t refused = 0;
  /// Other failures, streams broken off among them.
  std::size_t failed = 0;
  std::size_t client_disconnected = 0;
  /// No answer stands in the log.
  std::size_t unanswered = 0;
  std::size_t retries = 0;
  /// Time that those held that were neither served nor left by their client, in milliseconds.
  std::uint64_t median_unserved_ms = 0;
  std::uint64_t max_unserved_ms = 0;

  /// @return the share served of those whose client stayed, in nines: 2 for 99 in 100, at most 9.
  [[nodiscard]] double nines() const;
};

/// How often requests were lost for one reason.
struct failure_cause {
  std::string route;
  /// Status and reason of the answer, with figures replaced by `#`.
  std::string cause;
  std::size_t requests = 0;
};

struct log_summary {
  /// By name of the route.
  std::vector<route_summary> routes;
  /// Most frequent first.
  std::vector<failure_cause> causes;
};

log_summary summarize(const request_log& log);

void print(const std::vector<request_event>& events, std::ostream& out);
void print(const log_summary& summary, std::ostream& out);

} // namespace spurrack::ctl
