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
/// A share of nothing lost has no figure in nines; this stands for it.
constexpr double most_nines = 9;

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

/// @return `text` with each run of digits replaced by `#`, so that alike reasons count together.
std::string without_figures(const std::string& text) {
  std::string plain;
  for (const char sign : text) {
    const bool is_digit = std::isdigit(static_cast<unsigned char>(sign)) != 0;
    if (!is_digit) {
      plain += sign;
    } else if (plain.empty() || plain.back() != '#') {
      plain += '#';
    }
  }
  return plain;
}

/// One request as its lines tell it.
struct request_story {
  std::string route;
  std::uint64_t received_us = 0;
  std::uint64_t answered_us = 0;
  /// Status of the answer, or that it was broken off; empty where none stands in the log.
  std::string answer;
  std::string reason;
  std::size_t repeats = 0;
};

using story_map = std::unordered_map<std::string, request_story>;

void tell(request_story& story, const request_event& event) {
  if (event.what == "request_received") {
    story.route = event.subject;
    story.received_us = event.at_us;
  } else if (event.what == "request_answered") {
    story.answer = event.subject;
    story.reason = event.detail;
    story.answered_us = event.at_us;
  } else if (event.what == "stage_retried") {
    ++story.repeats;
  }
}

story_map stories_of(const request_log& log) {
  story_map stories;
  for (const auto& event : log.events) {
    tell(stories[event.request], event);
  }
  return stories;
}

bool is_served(const request_story& story) {
  return story.answer.size() == 3 && story.answer.front() == '2';
}

void count(const request_story& story, route_account& account) {
  ++account.requests;
  account.repeats += story.repeats;
  if (story.answer.empty()) {
    ++account.unanswered;
  } else if (is_served(story)) {
    ++account.served;
  } else if (story.answer == "0") {
    ++account.client_disconnected;
  } else if (story.answer == "503" || story.answer == "429") {
    ++account.refused;
  } else {
    ++account.failed;
  }
}

bool is_lost(const request_story& story) {
  return !story.answer.empty() && !is_served(story) && story.answer != "0";
}

/// Fills in how long the lost requests of a route were held.
void note_times(std::vector<std::uint64_t> lost_ms, route_account& account) {
  if (lost_ms.empty()) {
    return;
  }
  std::sort(lost_ms.begin(), lost_ms.end());
  account.median_lost_ms = lost_ms[lost_ms.size() / 2];
  account.longest_lost_ms = lost_ms.back();
}

} // namespace

void read_log(std::istream& lines, request_log& log) {
  for (std::string line; std::getline(lines, line);) {
    const auto parsed = parse_line(line);
    if (!parsed) {
      log.unreadable += line.empty() ? 0 : 1;
      continue;
    }
    log.dropped += number_of(*parsed, "lines_dropped_before");
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

double route_account::nines() const {
  const auto owed = requests - client_disconnected;
  const auto lost = owed - served;
  if (lost == 0) {
    return most_nines;
  }
  return std::min(most_nines, -std::log10(static_cast<double>(lost) / static_cast<double>(owed)));
}

request_account account_for(const request_log& log) {
  std::map<std::string, route_account> routes;
  std::map<std::string, std::vector<std::uint64_t>> lost_ms;
  std::map<std::pair<std::string, std::string>, std::size_t> causes;
  for (const auto& [request, story] : stories_of(log)) {
    auto& account = routes[story.route];
    account.route = story.route;
    count(story, account);
    if (is_lost(story)) {
      const bool is_timed = story.received_us > 0 && story.answered_us >= story.received_us;
      const auto held_us = is_timed ? story.answered_us - story.received_us : 0;
      lost_ms[story.route].push_back(held_us / microseconds_per_millisecond);
      ++causes[{story.route, story.answer + " " + without_figures(story.reason)}];
    }
  }
  request_account result;
  for (auto& [name, account] : routes) {
    note_times(std::move(lost_ms[name]), account);
    result.routes.push_back(std::move(account));
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
    out << std::setw(8) << since_first << " ms  " << event.node << "  " << event.what << "  "
        << event.subject << "  " << event.detail << "\n";
  }
}

void print(const request_account& account, std::ostream& out) {
  constexpr int name_width = 24;
  constexpr int figure_width = 11;
  out << std::left << std::setw(name_width) << "route" << std::right;
  for (const char* column : {"requests", "served", "nines", "refused", "failed", "left",
                             "unanswered", "repeats", "median ms", "longest ms"}) {
    out << std::setw(figure_width) << column;
  }
  out << "\n" << std::fixed << std::setprecision(2);
  for (const auto& route : account.routes) {
    out << std::left << std::setw(name_width) << route.route << std::right
        << std::setw(figure_width) << route.requests << std::setw(figure_width) << route.served
        << std::setw(figure_width) << route.nines() << std::setw(figure_width) << route.refused
        << std::setw(figure_width) << route.failed << std::setw(figure_width)
        << route.client_disconnected << std::setw(figure_width) << route.unanswered
        << std::setw(figure_width) << route.repeats << std::setw(figure_width)
        << route.median_lost_ms << std::setw(figure_width) << route.longest_lost_ms << "\n";
  }
  for (const auto& lost : account.causes) {
    out << std::setw(figure_width) << lost.requests << "  " << lost.route << "  " << lost.cause
        << "\n";
  }
}

} // namespace spurrack::ctl
