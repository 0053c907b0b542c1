#include "resuming_client.h"

#include "http/awaitable.h"
#include "http/endpoint.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <fcntl.h>
#include <set>
#include <string_view>
#include <utility>

namespace spurrack::platform_tests {
namespace {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using asio::ip::tcp;
using http::await_into;
using std::chrono::milliseconds;

constexpr std::uint64_t hundred_percent = 100;
/// Percentage of the resumptions that go to a node that is out of step, if there is one.
constexpr std::uint64_t out_of_step_percent = 85;
/// Percentage of the resumed streams that the client breaks off again.
constexpr std::uint64_t broken_again_percent = 30;
constexpr std::size_t min_events = 40;
constexpr std::size_t max_events = 80;
constexpr std::size_t event_bytes = 40;
constexpr std::size_t max_events_before_break = 8;
constexpr std::size_t max_attempts = 8;
constexpr std::array<milliseconds, 5> resume_delays{
    milliseconds(0), milliseconds(5), milliseconds(50), milliseconds(300), milliseconds(1'000)};
constexpr milliseconds max_refusal_pause{250};
/// Maximum time from the request, or from the end of a stand of its node, to a refusal.
constexpr milliseconds max_refusal_time{1'500};
/// Time after the deadline of a stream at which the client gives an answer up.
constexpr milliseconds deadline_slack{2'000};
constexpr std::size_t read_bytes = 4'096;
constexpr unsigned ok_status = 200;
constexpr unsigned unavailable_status = 503;

milliseconds milliseconds_until(test_clock::time_point end) {
  return std::chrono::duration_cast<milliseconds>(end - test_clock::now());
}

/// Ends a connection without the rest of its answer.
void reset(tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

} // namespace

/// One stream over all its attempts.
struct resuming_clients::stream_session {
  const stepping_service* service = nullptr;
  std::string name;
  stamped_stream stream;
  test_clock::time_point deadline;
  std::size_t attempts = 0;
  /// Id of the attempt that brought the first event; empty before.
  std::string first_attempt;
  std::size_t last_id = 0;
  /// Software version of each run of events, with the attempt and the node that brought its first.
  std::vector<std::pair<std::string, std::string>> versions;
};

/// One request and its answer.
struct resuming_clients::attempt {
  attempt(asio::io_context& io, stream_session& stream, const stepping_node& at)
      : socket(io), session(&stream), node(&at),
        id(stream.name + "-" + std::to_string(stream.attempts++)), first_id(stream.last_id),
        is_resumption(stream.last_id > 0) {
    parser.body_limit(boost::none);
  }

  tcp::socket socket;
  stream_session* session;
  const stepping_node* node;
  std::string id;
  std::size_t first_id;
  bool is_resumption;
  /// Whether the node was in step and the service had one version as the request was sent.
  bool was_settled = false;
  /// Number of events after which the client breaks the connection.
  std::size_t break_after = max_events;
  test_clock::time_point sent_at;
  /// Time until the deadline, in the whole milliseconds that the request states.
  milliseconds time_allowed{0};
  test_clock::time_point ended_at;
  bool was_broken_by_client = false;
  bool has_timed_out = false;
  unsigned status = 0;
  std::string partial_event;
  std::string fault;
  std::string body;
  beast_http::response_parser<beast_http::buffer_body> parser;

  [[nodiscard]] std::size_t events() const { return session->last_id - first_id; }
  [[nodiscard]] bool is_whole() const {
    return parser.is_done() && session->last_id == session->stream.events;
  }
  /// Takes received bytes of the answer.
  void feed(std::string& unparsed);
  void take_events(std::string_view bytes);
};

void resuming_clients::attempt::feed(std::string& unparsed) {
  boost::system::error_code error;
  while (!error && !unparsed.empty() && !parser.is_done()) {
    std::array<char, read_bytes> bytes{};
    parser.get().body().data = bytes.data();
    parser.get().body().size = bytes.size();
    unparsed.erase(0, parser.put(asio::buffer(unparsed), error));
    if (parser.is_header_done()) {
      status = parser.get().result_int();
      take_events({bytes.data(), bytes.size() - parser.get().body().size});
    }
    error = error == beast_http::error::need_buffer ? boost::system::error_code() : error;
  }
  if (error && error != beast_http::error::need_more) {
    fault = "the answer cannot be parsed: " + error.message();
  }
}

void resuming_clients::attempt::take_events(std::string_view bytes) {
  if (status != ok_status) {
    body.append(bytes);
    return;
  }
  partial_event.append(bytes);
  for (auto end = partial_event.find("\n\n"); end != std::string::npos && fault.empty();
       end = partial_event.find("\n\n")) {
    const auto event = partial_event.substr(0, end + 2);
    partial_event.erase(0, end + 2);
    const auto stamp = stamp_of(session->stream, session->last_id + 1, event);
    if (!stamp) {
      fault = "event " + std::to_string(session->last_id + 1) +
              " was expected, but there came: " + event;
      return;
    }
    ++session->last_id;
    auto& versions = session->versions;
    if (versions.empty() || versions.back().first != stamp->version) {
      versions.emplace_back(stamp->version, id + " at " + node->name);
    }
    if (session->first_attempt.empty()) {
      session->first_attempt = id;
    }
  }
}

resuming_clients::resuming_clients(asio::io_context& io, const out_of_step_fleet& fleet,
                                   std::uint64_t seed, resumptions_report& report)
    : io_(&io), fleet_(&fleet), random_(seed), report_(&report) {}

asio::awaitable<void> resuming_clients::read_streams(std::string name,
                                                     const stepping_service& service,
                                                     const std::atomic<bool>& should_stop) {
  for (std::size_t number = 0; !should_stop; ++number) {
    stream_session session;
    session.service = &service;
    session.name = name + "-" + std::to_string(number);
    session.stream = {service.name, min_events + random_.below(max_events - min_events),
                      event_bytes};
    session.deadline = test_clock::now() + stream_timeout;
    co_await read_stream(session);
    check_versions(session);
  }
}

asio::awaitable<void> resuming_clients::read_stream(stream_session& session) {
  ++report_->counts["streams"];
  const auto* node = &node_to_begin_at();
  while (session.attempts < max_attempts && test_clock::now() < session.deadline) {
    attempt opened(*io_, session, *node);
    if (!opened.is_resumption || happens(broken_again_percent)) {
      opened.break_after = 1 + random_.below(max_events_before_break);
    }
    opened.was_settled = !node->is_out_of_step && !session.service->has_second_version;
    co_await read_answer(opened);
    check_answer(opened);
    if (opened.is_whole()) {
      break;
    }
    const bool was_answered = opened.events() > 0;
    co_await wait(was_answered ? resume_delays[random_.below(resume_delays.size())]
                               : milliseconds(random_.below(max_refusal_pause.count())));
    node = session.last_id > 0 ? &node_to_resume_at(*node) : &node_to_begin_at();
  }
}

std::vector<const stepping_node*> resuming_clients::nodes_that(bool are_out_of_step) const {
  std::vector<const stepping_node*> found;
  for (const auto& node : fleet_->nodes) {
    if (node.is_out_of_step == are_out_of_step) {
      found.push_back(&node);
    }
  }
  return found;
}

const stepping_node& resuming_clients::node_to_begin_at() {
  const auto in_step = nodes_that(false);
  return in_step.empty() ? fleet_->nodes[random_.below(fleet_->nodes.size())]
                         : *in_step[random_.below(in_step.size())];
}

const stepping_node& resuming_clients::node_to_resume_at(const stepping_node& earlier) {
  const auto out_of_step = nodes_that(true);
  if (!out_of_step.empty() && happens(out_of_step_percent)) {
    return *out_of_step[random_.below(out_of_step.size())];
  }
  auto others = nodes_that(false);
  std::erase(others, &earlier);
  return others.empty() ? earlier : *others[random_.below(others.size())];
}

std::string resuming_clients::request_text(const attempt& opened) {
  const auto& session = *opened.session;
  std::string text = "POST " + session.stream.path() +
                     " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + opened.id +
                     "\r\nX-Deadline-Ms: " + std::to_string(opened.time_allowed.count()) +
                     "\r\nAuthorization: Token k\r\nContent-Length: 0\r\n";
  if (opened.is_resumption) {
    text += "Last-Event-Id: " + std::to_string(opened.first_id) +
            "\r\nResumes: " + session.first_attempt + "\r\n";
  }
  return text + "\r\n";
}

asio::awaitable<void> resuming_clients::read_answer(attempt& opened) {
  auto& socket = opened.socket;
  boost::system::error_code error;
  socket.open(tcp::v4());
  // A node that the test starts meanwhile would hold the connection open.
  ::fcntl(socket.native_handle(), F_SETFD, FD_CLOEXEC);
  // A node that stands answers after its stand.
  asio::steady_timer watchdog(*io_, milliseconds_until(opened.session->deadline) + deadline_slack +
                                        milliseconds(5'000));
  // The handler may run after the end of this coroutine, if it is due as the timer is destroyed.
  auto is_open = std::make_shared<bool>(true);
  watchdog.async_wait([&opened, is_open](const boost::system::error_code& cancelled) {
    if (!cancelled && *is_open) {
      opened.has_timed_out = true;
      reset(opened.socket);
    }
  });
  co_await socket.async_connect(*http::parse_endpoint(opened.node->client_address),
                                await_into(error));
  opened.sent_at = test_clock::now();
  opened.time_allowed = std::max(milliseconds(1), milliseconds_until(opened.session->deadline));
  if (!error) {
    const auto text = request_text(opened);
    co_await asio::async_write(socket, asio::buffer(text), await_into(error));
  }
  std::vector<char> bytes(read_bytes);
  std::string unparsed;
  while (!error && !opened.parser.is_done() && opened.fault.empty()) {
    const auto count = co_await socket.async_read_some(asio::buffer(bytes), await_into(error));
    unparsed.append(bytes.data(), count);
    opened.feed(unparsed);
    if (opened.events() >= opened.break_after && !opened.parser.is_done()) {
      opened.was_broken_by_client = true;
      break;
    }
  }
  opened.ended_at = test_clock::now();
  *is_open = false;
  reset(socket);
}

void resuming_clients::check_answer(const attempt& ended) {
  const std::string kind = ended.is_resumption ? "resumed" : "begun";
  const std::string place = ended.node->is_out_of_step ? " at a node out of step" : "";
  ++report_->counts[kind + place + ": " + std::to_string(ended.status)];
  if (!ended.fault.empty()) {
    note_violation(ended, ended.fault);
  }
  const bool was_killed = ended.node->killed_at.load() >= ended.sent_at;
  const bool is_deadline_over = ended.ended_at >= ended.sent_at + ended.time_allowed;
  const bool is_ok = ended.status == ok_status;
  if (is_ok && ended.parser.is_done() && !ended.is_whole()) {
    note_violation(ended, "complete after event " + std::to_string(ended.session->last_id));
  }
  if (is_ok && !ended.parser.is_done() && !ended.was_broken_by_client && !was_killed &&
      !is_deadline_over) {
    note_violation(ended, "an answer with status 200 broke off after event " +
                              std::to_string(ended.session->last_id));
  }
  if (ended.has_timed_out) {
    note_violation(ended, "no end of the answer");
  }
  if (!is_ok && ended.is_resumption && !was_killed && !is_deadline_over) {
    check_refusal(ended);
  }
  // An answer that the end of the client's time cut short tells nothing.
  const bool is_counted = ended.is_resumption && ended.was_settled &&
                          !ended.session->service->has_second_version && !was_killed &&
                          (is_ok || !is_deadline_over);
  if (is_counted) {
    ++report_->of_single_version.sent;
    report_->of_single_version.went_on += is_ok ? 1 : 0;
  }
}

void resuming_clients::check_refusal(const attempt& ended) {
  if (ended.status != unavailable_status) {
    ++report_->counts["resumed, refused otherwise: " + ended.body];
  }
  const auto since = std::max(ended.sent_at, ended.node->stand_ended_at.load());
  const auto span = std::chrono::duration_cast<milliseconds>(ended.ended_at - since);
  report_->longest_refusal = std::max(report_->longest_refusal, span);
  if (span > max_refusal_time) {
    note_violation(ended, "refused with " + std::to_string(ended.status) + " after " +
                              std::to_string(span.count()) + " ms: " + ended.body);
  }
}

void resuming_clients::check_versions(const stream_session& session) {
  if (session.last_id == session.stream.events) {
    ++report_->counts["streams read to their end"];
  }
  if (session.versions.size() < 2) {
    return;
  }
  std::string text = "ORDER: " + session.name + " (" + session.first_attempt +
                     ") has events of several software versions:";
  for (const auto& [version, place] : session.versions) {
    text.append(" ").append(version).append(" from ").append(place).append(";");
  }
  report_->violations.push_back(text);
}

void resuming_clients::note_violation(const attempt& ended, const std::string& text) {
  report_->violations.push_back(ended.id + " at " + ended.node->name + " after event " +
                                std::to_string(ended.first_id) + ": " + text);
}

asio::awaitable<void> resuming_clients::wait(milliseconds span) {
  asio::steady_timer timer(*io_, span);
  boost::system::error_code ignored;
  co_await timer.async_wait(await_into(ignored));
}

bool resuming_clients::happens(std::uint64_t percent) {
  return random_.below(hundred_percent) < percent;
}

} // namespace spurrack::platform_tests
