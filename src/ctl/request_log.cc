#include "ctl/request_log.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cctype>
#include <cmath>
#include <iomanip>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace spurrack::ctl {
namespace {

namespace json = boost::json;

constexpr std::uint64_t microseconds_per_millisecond = 1000;
/// Availability in nines that is reported if all requests were served, instead of infinity.
constexpr double max_nines = 9;

std::string text_of(const json::object& line, std::string_view name) {
  const auto* value = line.if_contains(name);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

std::uint64_t number_of(const json::object& line, std::string_view name) {
  const auto* value = line.if_contains(name);
  boost::system::error_code error;
  const auto number = value != nullptr ? value->to_number<std::uint64_t>(error) : 0;
  return error ? 0 : number;
}

std::optional<json::object> parse_line(const std::string& line) {
  const auto begin = line.find('{');
  if (begin == std::string::npos) {
    return std::nullopt;
  }
  boost::system::error_code error;
  auto value = json::parse(std::string_view(line).substr(begin), error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  return std::move(value.get_object());
}

/// @return `text` with each run of digits replaced by `#`, so that reasons that differ only in
///         numbers are counted together.
std::string mask_digits(const std::string& text) {
  std::string plain;
  for (const char character : text) {
    const bool is_digit = std::isdigit(static_cast<unsigned char>(character)) != 0;
    if (!is_digit) {
      plain += character;
    } else if (plain.empty() || plain.back() != '#') {
      plain += '#';
    }
  }
  return plain;
}

/// Outcome of one request according to its log lines.
struct request_outcome {
  std::string route;
  std::uint64_t received_us = 0;
  std::uint64_t answered_us = 0;
  /// Status of the answer, `0` if the client disconnected, or `broken off` if the answer was a
  /// stream that was aborted; empty if the log has no answer.
  std::string answer;
  std::string reason;
  std::size_t retries = 0;
};

using outcome_map = std::unordered_map<std::string, request_outcome>;

void apply(request_outcome& outcome, const request_event& event) {
  if (event.kind == "request_received") {
    outcome.route = event.subject;
    outcome.received_us = event.at_us;
  } else if (event.kind == "request_answered") {
    outcome.answer = event.subject;
    outcome.reason = event.detail;
    outcome.answered_us = event.at_us;
  } else if (event.kind == "stage_retried") {
    ++outcome.retries;
  }
}

outcome_map summarize_requests(const request_log& log) {
  outcome_map outcomes;
  for (const auto& event : log.events) {
    apply(outcomes[event.request], event);
  }
  return outcomes;
}

bool is_served(const request_outcome& outcome) {
  return outcome.answer.size() == 3 && outcome.answer.front() == '2';
}

void count_outcome(const request_outcome& outcome, route_summary& summary) {
  ++summary.requests;
  summary.retries += outcome.retries;
  if (outcome.answer.empty()) {
    ++summary.unanswered;
  } else if (is_served(outcome)) {
    ++summary.served;
  } else if (outcome.answer == "0") {
    ++summary.client_disconnected;
  } else if (outcome.answer == "503" || outcome.answer == "429") {
    ++summary.refused;
  } else {
    ++summary.failed;
  }
}

bool is_refused_or_failed(const request_outcome& outcome) {
  return !outcome.answer.empty() && !is_served(outcome) && outcome.answer != "0";
}

/// Sets the median and the maximum of the times from arrival to answer, over the refused and failed
/// requests of a route.
void set_unserved_times(std::vector<std::uint64_t> unserved_ms, route_summary& summary) {
  if (unserved_ms.empty()) {
    return;
  }
  std::sort(unserved_ms.begin(), unserved_ms.end());
  summary.median_unserved_ms = unserved_ms[unserved_ms.size() / 2];
  summary.max_unserved_ms = unserved_ms.back();
}

} // namespace

void read_log(std::istream& lines, request_log& log) {
  for (std::string line; std::getline(lines, line);) {
    const auto parsed = parse_line(line);
    if (!parsed) {
      log.unreadable_lines += line.empty() ? 0 : 1;
      continue;
    }
    log.dropped_lines += number_of(*parsed, "lines_dropped_before");
    request_event event{number_of(*parsed, "at_us"), text_of(*parsed, "node"),
                        text_of(*parsed, "message"), text_of(*parsed, "request_id"),
                        text_of(*parsed, "subject"), text_of(*parsed, "detail")};
    if (!event.request.empty()) {
      log.events.push_back(std::move(event));
    }
  }
}

std::vector<request_event> events_of(const request_log& log, const std::string& request) {
  std::vector<request_event> found;
  std::copy_if(log.events.begin(), log.events.end(), std::back_inserter(found),
               [&](const request_event& event) { return event.request == request; });
  std::stable_sort(found.begin(), found.end(),
                   [](const auto& left, const auto& right) { return left.at_us < right.at_us; });
  return found;
}

double route_summary::nines() const {
  const auto not_abandoned = requests - client_disconnected;
  const auto unserved = not_abandoned - served;
  if (unserved == 0) {
    return max_nines;
  }
  return std::min(max_nines,
                  -std::log10(static_cast<double>(unserved) / static_cast<double>(not_abandoned)));
}

log_summary summarize(const request_log& log) {
  std::map<std::string, route_summary> routes;
  std::map<std::string, std::vector<std::uint64_t>> unserved_ms;
  std::map<std::pair<std::string, std::string>, std::size_t> causes;
  for (const auto& [request, outcome] : summarize_requests(log)) {
    auto& summary = routes[outcome.route];
    summary.route = outcome.route;
    count_outcome(outcome, summary);
    if (is_refused_or_failed(outcome)) {
      const bool is_timed = outcome.received_us > 0 && outcome.answered_us >= outcome.received_us;
      const auto elapsed_us = is_timed ? outcome.answered_us - outcome.received_us : 0;
      unserved_ms[outcome.route].push_back(elapsed_us / microseconds_per_millisecond);
      ++causes[{outcome.route, outcome.answer + " " + mask_digits(outcome.reason)}];
    }
  }
  log_summary result;
  for (auto& [name, summary] : routes) {
    set_unserved_times(std::move(unserved_ms[name]), summary);
    result.routes.push_back(std::move(summary));
  }
  for (const auto& [key, requests] : causes) {
    result.causes.push_back({key.first, key.second, requests});
  }
  std::stable_sort(
      result.causes.begin(), result.causes.end(),
      [](const auto& left, const auto& right) { return left.requests > right.requests; });
  return result;
}

void print(const std::vector<request_event>& events, std::ostream& out) {
  for (const auto& event : events) {
    const auto since_first = (event.at_us - events.front().at_us) / microseconds_per_millisecond;
    out << std::setw(8) << since_first << " ms  " << event.node << "  " << event.kind << "  "
        << event.subject << "  " << event.detail << "\n";
  }
}

void print(const log_summary& summary, std::ostream& out) {
  constexpr int name_width = 24;
  constexpr int figure_width = 11;
  out << std::left << std::setw(name_width) << "route" << std::right;
  for (const char* column : {"requests", "served", "nines", "refused", "failed", "left",
                             "unanswered", "repeats", "median ms", "longest ms"}) {
    out << std::setw(figure_width) << column;
  }
  out << "\n" << std::fixed << std::setprecision(2);
  for (const auto& route : summary.routes) {
    out << std::left << std::setw(name_width) << route.route << std::right
        << std::setw(figure_width) << route.requests << std::setw(figure_width) << route.served
        << std::setw(figure_width) << route.nines() << std::setw(figure_width) << route.refused
        << std::setw(figure_width) << route.failed << std::setw(figure_width)
        << route.client_disconnected << std::setw(figure_width) << route.unanswered
        << std::setw(figure_width) << route.retries << std::setw(figure_width)
        << route.median_unserved_ms << std::setw(figure_width) << route.max_unserved_ms << "\n";
  }
  for (const auto& cause : summary.causes) {
    out << std::setw(figure_width) << cause.requests << "  " << cause.route << "  " << cause.cause
        << "\n";
  }
}

} // namespace spurrack::ctl
