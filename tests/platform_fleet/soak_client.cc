#include "soak_client.h"

#include "received_answer.h"
#include "soak_request.h"

#include "http/endpoint.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <sys/socket.h>
#include <sys/time.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <thread>

namespace spurrack::platform_tests {
namespace {

using std::chrono::milliseconds;

/// Time from sending a request to the deadline of the request.
constexpr milliseconds default_request_timeout{3'000};
constexpr milliseconds long_request_timeout{8'000};
/// Maximum time by which a process may be delayed on a machine that runs many processes.
constexpr milliseconds scheduling_slack{1'500};
/// Maximum time after sending a request in which the daemon may close the connection as idle,
/// without having read the request. If the connection ends later, the daemon had read the request
/// completely.
constexpr milliseconds close_race_time{200};
/// Maximum time for which a client keeps its connection idle before a request.
constexpr std::size_t max_idle_milliseconds = 1'500;
constexpr milliseconds failure_backoff{30};
/// Maximum time before the deadline of a request at which a node ends its answer.
constexpr milliseconds deadline_slack{100};
/// Time after a planned change in which the end of an answer counts as beside the change.
constexpr milliseconds time_beside_change{2'000};
/// Time from SIGTERM after which an answer may end although its replica still works at it: the
/// last sixth of the grace period.
constexpr auto busy_stop_time = stop_grace - stop_grace / 6.0;
/// Maximum time from SIGTERM to the sending of a request whose answer may end so.
constexpr milliseconds max_late_request{3'000};
/// Largest number of events after which a client breaks a stream off
/// (`soak_fleet::should_break_streams`).
constexpr std::size_t max_events_before_break = 3;
constexpr unsigned bad_gateway = 502;
constexpr unsigned gateway_timeout = 504;
constexpr unsigned too_many_requests = 429;
constexpr unsigned service_unavailable = 503;

/// @return number of whole events of an answer's body.
std::size_t event_count_of(const std::string& body) {
  std::size_t events = 0;
  for (auto end = body.find("\n\n"); end != std::string::npos; end = body.find("\n\n", end + 2)) {
    ++events;
  }
  return events;
}

/// Sets the timeout of each read and write of a blocking socket.
void set_socket_timeout(tcp::socket& socket, milliseconds timeout) {
  const timeval limit{timeout.count() / 1000, (timeout.count() % 1000) * 1000};
  ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
}

} // namespace

soak_client::soak_client(std::string name, client_mode mode, soak_fleet& fleet,
                         soak_recorder& recorder, std::uint64_t seed)
    : name_(std::move(name)), mode_(mode), fleet_(&fleet), recorder_(&recorder), random_(seed) {}

void soak_client::run(const std::atomic<bool>& should_stop) {
  while (!should_stop) {
    if (mode_ == client_mode::idling) {
      std::this_thread::sleep_for(milliseconds(random_.below(max_idle_milliseconds)));
    }
    if (mode_ == client_mode::resuming) {
      send_until_complete();
    } else {
      send(random_kind());
    }
  }
}

std::string soak_client::random_kind() {
  if (mode_ == client_mode::streaming) {
    return "long";
  }
  // Requests of the last kind, `held`, may run in one region only. Only a fleet with two regions
  // has a route for these requests, so clients of other fleets omit this kind.
  constexpr std::array<const char*, 5> all_kinds{"safe", "unsafe", "stream", "staged", "held"};
  return all_kinds[random_.below(all_kinds.size() - (fleet_->has_two_regions() ? 0 : 1))];
}

void soak_client::connect(soak_node& node) {
  node_ = &node;
  socket_ = std::make_unique<tcp::socket>(io_);
  const auto endpoint = http::parse_endpoint(node.client_address);
  boost::system::error_code error;
  socket_->connect(*endpoint, error);
  if (error) {
    socket_.reset();
  }
}

void soak_client::send(const std::string& kind) {
  if (!socket_) {
    connect(*fleet_->nodes[random_.below(fleet_->nodes.size())]);
  }
  if (!socket_) {
    std::this_thread::sleep_for(failure_backoff);
    return;
  }
  const std::string prefix = kind == "held" || kind == "long" ? kind + "-" : "";
  const auto id = prefix + name_ + "x" + std::to_string(++request_count_);
  const auto request_timeout = kind == "long" ? long_request_timeout : default_request_timeout;
  const auto bytes = request_bytes(kind, id, id, request_timeout, nullptr);
  if (kind == "unsafe" || kind == "long" || soak_request::has_stages(kind)) {
    recorder_->note_single_run(id);
  }
  const auto sent_at = soak_clock::now();
  const auto outcome = exchange(bytes, request_timeout + scheduling_slack);
  check_answer({kind, id, sent_at, request_timeout}, outcome);
  if (outcome.status != 200) {
    std::this_thread::sleep_for(failure_backoff);
  }
}

std::string soak_client::request_bytes(const std::string& kind, const std::string& id,
                                       const std::string& attempt, milliseconds timeout,
                                       const stream_progress* progress) {
  std::string bytes = "POST " + soak_request::path(kind, id) +
                      " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + attempt +
                      "\r\nX-Deadline-Ms: " + std::to_string(timeout.count()) +
                      "\r\nAuthorization: Token base\r\nX-Tenant: forged\r\n";
  if (soak_request::has_stages(kind)) {
    bytes += "X-Pieces: " + std::to_string(soak_request::piece_count(id, 0)) + "," +
             std::to_string(soak_request::piece_count(id, 1)) + "\r\nX-Piece-Key: key of " + id +
             "\r\n";
  }
  if (progress != nullptr && progress->last_event > 0) {
    bytes += "Last-Event-Id: " + std::to_string(progress->last_event) +
             "\r\nResumes: " + progress->first_attempt + "\r\n";
  }
  const auto body = soak_request::body(id);
  return bytes + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void soak_client::send_until_complete() {
  constexpr std::array<milliseconds, 4> resume_delays{milliseconds(0), milliseconds(50),
                                                      milliseconds(2'000), milliseconds(5'000)};
  constexpr std::size_t max_attempts = 5;
  const std::string kind = "chat";
  const auto id = kind + "-" + name_ + "x" + std::to_string(++request_count_);
  const auto deadline = soak_clock::now() + long_request_timeout;
  stream_progress progress;
  for (std::size_t attempt = 1; attempt <= max_attempts; ++attempt) {
    const auto time_left = std::chrono::duration_cast<milliseconds>(deadline - soak_clock::now());
    if (time_left <= milliseconds(0)) {
      return;
    }
    if (!socket_) {
      connect(node_for_attempt(progress.last_event > 0));
    }
    if (!socket_) {
      std::this_thread::sleep_for(failure_backoff);
      continue;
    }
    const auto attempt_id = attempt == 1 ? id : soak_request::attempt_id(id, attempt);
    const auto sent_at = soak_clock::now();
    const auto max_events = fleet_->should_break_streams && progress.last_event == 0
                                ? 1 + random_.below(max_events_before_break)
                                : 0;
    const auto outcome = exchange(request_bytes(kind, id, attempt_id, time_left, &progress),
                                  time_left + scheduling_slack, max_events);
    if (outcome.was_broken_off) {
      recorder_->count("stream broken off by its client");
      is_stream_complete(id, attempt_id, outcome, progress);
      std::this_thread::sleep_for(resume_delays[random_.below(2)]);
      continue;
    }
    recorder_->count_answer(kind, outcome.is_complete ? std::to_string(outcome.status) : "cut");
    const sent_request sent{kind, attempt_id, sent_at, time_left};
    count_beside_silences(sent, outcome);
    count_broken_off(sent, outcome);
    if (is_stream_complete(id, attempt_id, outcome, progress)) {
      return;
    }
    const bool is_deadline_over = deadline - soak_clock::now() < deadline_slack;
    const bool is_cut = !outcome.is_complete && (outcome.status == 0 || outcome.status == 200);
    if (is_cut && !is_deadline_over) {
      check_incomplete_answer(sent, outcome);
    }
    socket_.reset();
    std::this_thread::sleep_for(
        std::min(resume_delays[random_.below(resume_delays.size())], time_left));
  }
}

bool soak_client::is_stream_complete(const std::string& id, const std::string& attempt,
                                     const soak_outcome& outcome, stream_progress& progress) {
  const auto had_events = progress.last_event;
  if (outcome.status == 200) {
    check_events(id, outcome.body, progress);
  }
  const bool has_all = progress.last_event == soak_request::event_count(id);
  const bool ends_in_order = outcome.status == 200 && outcome.is_complete;
  if (ends_in_order && !outcome.is_framed) {
    check_unframed_answer(attempt, outcome, progress.last_event == 0, has_all);
  }
  if (progress.first_attempt.empty() && progress.last_event > 0) {
    progress.first_attempt = attempt;
  }
  // A client cannot see the end of an answer without framing, but knows how many events it asked
  // for.
  const bool is_complete = ends_in_order && (outcome.is_framed || has_all);
  if (had_events > 0) {
    const bool goes_on = is_complete || progress.last_event > had_events;
    recorder_->count(goes_on ? "resumed stream went on"
                             : "resumed stream got " + std::to_string(outcome.status) + " " +
                                   outcome.body.substr(0, outcome.body.find('\n')));
  }
  if (is_complete && !has_all) {
    recorder_->note_violation("ORDER", id + " ended as complete after event " +
                                           std::to_string(progress.last_event));
  }
  return is_complete;
}

void soak_client::check_events(const std::string& id, const std::string& body,
                               stream_progress& progress) {
  constexpr const char* event_end = "\n\n";
  std::size_t begin = 0;
  for (auto end = body.find(event_end); end != std::string::npos;
       end = body.find(event_end, begin)) {
    const auto event = body.substr(begin, end + std::strlen(event_end) - begin);
    begin += event.size();
    const auto origin = origin_of_event(id, progress.last_event + 1, event);
    if (!origin) {
      auto detail = id + " received after event " + std::to_string(progress.last_event);
      detail += ": " + event;
      recorder_->note_violation("ORDER", detail);
      return;
    }
    ++progress.last_event;
    progress.versions.insert(origin->version);
    auto& runs = progress.runs;
    const bool is_new_run = std::find(runs.begin(), runs.end(), origin->run) == runs.end();
    if (is_new_run) {
      runs.push_back(origin->run);
    } else if (runs.back() != origin->run) {
      recorder_->note_violation("ORDER", id + " goes back to the run " + origin->run +
                                             " with event " + std::to_string(progress.last_event));
    }
  }
  if (!is_beginning_of_event(id, progress.last_event + 1, body.substr(begin))) {
    recorder_->note_violation("ORDER", id + " has wrong bytes after event " +
                                           std::to_string(progress.last_event) + ": " +
                                           body.substr(begin));
  }
  if (progress.versions.size() > 1) {
    recorder_->note_violation("ORDER", id + " holds events of two software versions");
  }
}

soak_node& soak_client::node_for_attempt(bool is_resumption) {
  for (const auto& node : fleet_->nodes) {
    if (is_resumption && node->is_out_of_step && random_.below(2) == 0) {
      return *node;
    }
  }
  return *fleet_->nodes[random_.below(fleet_->nodes.size())];
}

soak_outcome soak_client::exchange(const std::string& bytes, milliseconds timeout,
                                   std::size_t max_events) {
  soak_outcome outcome;
  boost::system::error_code error;
  set_socket_timeout(*socket_, timeout);
  boost::asio::write(*socket_, boost::asio::buffer(bytes), error);
  boost::beast::flat_buffer buffer;
  boost::beast::http::response_parser<boost::beast::http::string_body> answer;
  answer.body_limit(1'000'000);
  if (!error && max_events == 0) {
    boost::beast::http::read(*socket_, buffer, answer, error);
  }
  while (!error && max_events > 0 && !answer.is_done() && !outcome.was_broken_off) {
    boost::beast::http::read_some(*socket_, buffer, answer, error);
    outcome.was_broken_off = !answer.is_done() && answer.is_header_done() &&
                             answer.get().result_int() == 200 &&
                             event_count_of(answer.get().body()) >= max_events;
  }
  if (answer.is_header_done()) {
    outcome.status = answer.get().result_int();
    outcome.has_seal = answer.get().find("X-Response-Seal") != answer.get().end();
    outcome.has_retry_after = answer.get().find("Retry-After") != answer.get().end();
    outcome.body = answer.get().body();
    outcome.is_framed = answer.chunked() || answer.content_length();
    outcome.is_complete = !error && answer.is_done();
  }
  // Surplus bytes are a violation only after a complete answer, because the bytes that are left
  // after an incomplete answer belong to this answer.
  if (outcome.is_complete && buffer.size() > 0) {
    recorder_->note_violation("MIXED", name_ + " received bytes that belong to no request");
  }
  if (error || outcome.was_broken_off || !answer.keep_alive()) {
    socket_.reset();
  }
  return outcome;
}

void soak_client::check_answer(const sent_request& request, const soak_outcome& outcome) {
  const auto& [kind, id, sent_at, timeout] = request;
  recorder_->count_answer(kind, outcome.is_complete ? std::to_string(outcome.status) : "cut");
  count_beside_silences(request, outcome);
  if (outcome.status == too_many_requests || outcome.status == service_unavailable) {
    recorder_->note_not_run(id);
  }
  count_broken_off(request, outcome);
  if (outcome.status == 200 && soak_request::is_stream(kind)) {
    check_stream(request, outcome);
  } else if (outcome.status == 200) {
    check_body(id, outcome);
  }
  if (!outcome.is_complete) {
    check_incomplete_answer(request, outcome);
    return;
  }
  if (outcome.status == 401 || outcome.status == 404 || outcome.status == 400) {
    recorder_->note_violation("DENIED", id + " got " + std::to_string(outcome.status));
  }
}

void soak_client::check_stream(const sent_request& request, const soak_outcome& outcome) {
  stream_progress progress;
  check_events(request.id, outcome.body, progress);
  const bool has_all = progress.last_event == soak_request::event_count(request.id);
  if (request.kind != "stream" && progress.runs.size() > 1) {
    recorder_->note_violation("ORDER", request.id + " joins runs, but cannot be resumed");
  }
  if (!outcome.is_complete) {
    return;
  }
  if (!outcome.is_framed) {
    check_unframed_answer(request.id, outcome, progress.last_event == 0, has_all);
  } else if (!outcome.has_seal || !has_all) {
    recorder_->note_violation(
        "ORDER", request.id + " received a wrong answer: " + outcome.body.substr(0, 120));
  }
}

void soak_client::check_body(const std::string& id, const soak_outcome& outcome) {
  const bool is_whole = is_whole_answer(id, outcome.body);
  const bool is_told_as_whole = outcome.is_complete && outcome.is_framed;
  const bool is_right =
      is_told_as_whole ? is_whole && outcome.has_seal : is_beginning_of_answer(id, outcome.body);
  if (!is_right) {
    recorder_->note_violation("MIXED",
                              id + " received a wrong answer: " + outcome.body.substr(0, 120));
  }
  if (outcome.is_complete && !outcome.is_framed) {
    check_unframed_answer(id, outcome, outcome.body.empty(), is_whole);
  }
}

void soak_client::check_unframed_answer(const std::string& id, const soak_outcome& outcome,
                                        bool is_empty, bool is_whole) {
  recorder_->count(std::string("answer without framing to a client: ") +
                   (is_whole ? "whole" : "beginning"));
  if (!outcome.has_seal || is_empty) {
    recorder_->note_violation("MIXED", id + " received a 200 without framing that holds nothing");
  }
  if (!recorder_->was_unframed(id)) {
    recorder_->note_violation("LOST", id + " received an answer without framing from " +
                                          node_->name + ", but each replica framed its answer");
  }
}

void soak_client::count_broken_off(const sent_request& request, const soak_outcome& outcome) {
  if (!recorder_->was_broken_off(request.id)) {
    return;
  }
  const auto status = std::to_string(outcome.status);
  const std::string end = !outcome.is_complete                          ? "cut"
                          : outcome.status == 200 && !outcome.is_framed ? "200 without framing"
                                                                        : status;
  recorder_->count("broken off: " + request.kind + " " + end);
}

void soak_client::count_beside_silences(const sent_request& request, const soak_outcome& outcome) {
  if (!fleet_->has_silences) {
    return;
  }
  recorder_->count("beside silences: ends " + place_in_time());
  if (outcome.status == bad_gateway || outcome.status == gateway_timeout) {
    recorder_->count("beside silences: " + request.kind + " " + std::to_string(outcome.status));
  }
}

std::string soak_client::place_in_time() const {
  const auto since_change = soak_clock::now() - fleet_->last_change_at.load();
  return since_change <= time_beside_change ? "beside a change" : "elsewhere";
}

std::string soak_client::silence_text(const std::string& id) const {
  if (!fleet_->has_silences) {
    return "";
  }
  const auto replica = recorder_->latest_replica_of(id);
  const auto since_change =
      std::chrono::duration_cast<milliseconds>(soak_clock::now() - fleet_->last_change_at.load());
  return ", beside silences, replica " + (replica.empty() ? "none" : replica) + ", " +
         std::to_string(since_change.count()) + " ms after the latest change";
}

bool soak_client::is_allowed_end_beside_silences(const sent_request& request) const {
  if (request.sent_at - fleet_->last_silence_at.load() >= settle_time) {
    return false;
  }
  const auto now = soak_clock::now();
  // The client waits until `scheduling_slack` after the deadline for the end of the answer.
  const auto waited = now - request.sent_at;
  if (waited >= request.timeout - deadline_slack && waited < request.timeout + scheduling_slack) {
    recorder_->count("beside silences: cut at the deadline");
    return true;
  }
  if (recorder_->has_replica_ended_since(request.id, request.sent_at)) {
    recorder_->count("beside silences: cut by the end of the replica");
    return true;
  }
  const auto stop_began_at = node_->stop_began_at.load();
  const bool is_stop_nearly_over = recorder_->was_forwarded(request.id) &&
                                   now - stop_began_at >= busy_stop_time &&
                                   request.sent_at - stop_began_at <= max_late_request;
  if (is_stop_nearly_over) {
    recorder_->count("beside silences: cut at the end of a grace period");
  }
  return is_stop_nearly_over;
}

void soak_client::check_incomplete_answer(const sent_request& request,
                                          const soak_outcome& outcome) {
  const auto& [kind, id, sent_at, timeout] = request;
  // A fault during the request or shortly before it may have ended the connection, so an incomplete
  // answer is no violation.
  if (sent_at - fleet_->last_fault_at.load() < settle_time) {
    return;
  }
  // The daemon may close an idle connection while a request is in transit. The daemon has then not
  // read the request, so the missing answer is no violation.
  const auto waited = std::chrono::duration_cast<milliseconds>(soak_clock::now() - sent_at);
  const bool raced_close =
      outcome.status == 0 && waited < close_race_time && !recorder_->was_forwarded(id);
  if (raced_close) {
    recorder_->count("raced a close");
    return;
  }
  const bool was_restarted_at_once = fleet_->last_restart_at_once.load() >= sent_at &&
                                     recorder_->has_any_replica_ended_since(id, sent_at);
  if (recorder_->was_broken_off(id) || was_restarted_at_once) {
    recorder_->count("cut by its replica");
    return;
  }
  if (is_allowed_end_beside_silences(request)) {
    return;
  }
  if (fleet_->has_silences) {
    recorder_->count("beside silences: cuts " + place_in_time());
  }
  recorder_->note_violation(
      "LOST",
      id + (outcome.status == 0 ? " received no answer" : " received an incomplete answer") +
          " from " + node_->name + " in " + std::to_string(waited.count()) + " ms" +
          (node_->is_stopping ? " while it stopped" : "") +
          (recorder_->was_forwarded(id) ? ", after it had been forwarded" : "") + silence_text(id));
}

} // namespace spurrack::platform_tests
