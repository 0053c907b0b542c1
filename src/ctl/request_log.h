/// Extracts the events of requests from log files of nodes. A log file holds the lines that a node
/// writes to its standard output, one JSON object per line.
#pragma once

#include <cstddef>
#include <cstdint>
#include <istream>
#include <ostream>
#include <string>
#include <vector>

namespace spurrack::ctl {

/// One log line about a request.
struct request_event {
  /// Time of the event in microseconds, by the wall clock of the node that logged it; the clocks of
  /// nodes differ.
  std::uint64_t at_us = 0;
  std::string node;
  /// Name of a `base::event_kind`.
  std::string kind;
  std::string request;
  /// Route, replica or status that the event is about.
  std::string subject;
  std::string detail;
};

/// Contents of one or more log files.
struct request_log {
  std::vector<request_event> events;
  /// Number of lines that are not valid log lines. Their events are missing from `events`.
  std::size_t unreadable_lines = 0;
  /// Number of lines that nodes could not write, as reported in later lines of these nodes.
  std::size_t dropped_lines = 0;
};

/// Adds the events of requests in a stream of log lines to a log. Text before the JSON object of a
/// line is ignored, since some log collectors add a prefix.
void read_log(std::istream& lines, request_log& log);

/// @return the events of one request, ordered by time (`at_us`), although the clocks of nodes
///         differ.
std::vector<request_event> events_of(const request_log& log, const std::string& request);

/// Outcomes of the requests of one route.
struct route_summary {
  std::string route;
  std::size_t requests = 0;
  std::size_t served = 0;
  /// Requests answered with status 429 or 503, which means that they were not run.
  std::size_t refused = 0;
  /// Requests whose answer was an aborted stream, or had a status other than 2xx, 429, 503 and 0
  /// (client disconnected).
  std::size_t failed = 0;
  std::size_t client_disconnected = 0;
  /// Requests without an answer in the log.
  std::size_t unanswered = 0;
  std::size_t retries = 0;
  /// Time from arrival to answer of the requests that were refused or failed, in milliseconds.
  std::uint64_t median_unserved_ms = 0;
  std::uint64_t max_unserved_ms = 0;

  /// @return availability in nines, such as 2 if 99 of 100 requests were served; at most 9.
  ///         Requests whose client disconnected are not counted.
  [[nodiscard]] double nines() const;
};

/// Reason for which requests of a route were refused or failed, and the number of these requests.
struct failure_cause {
  std::string route;
  /// Status and reason of the answer, with each run of digits replaced by `#`.
  std::string cause;
  std::size_t requests = 0;
};

struct log_summary {
  /// Ordered by name of the route.
  std::vector<route_summary> routes;
  /// Ordered by number of requests, most frequent cause first.
  std::vector<failure_cause> causes;
};

log_summary summarize(const request_log& log);

void print(const std::vector<request_event>& events, std::ostream& out);
void print(const log_summary& summary, std::ostream& out);

} // namespace spurrack::ctl
