#include "soak_client.h"

#include "soak_request.h"

#include "http/endpoint.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <sys/socket.h>
#include <sys/time.h>

#include <array>
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
constexpr unsigned too_many_requests = 429;
constexpr unsigned service_unavailable = 503;

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
    send(random_kind());
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
  std::string bytes = "POST " + soak_request::path(kind, id) +
                      " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id +
                      "\r\nX-Deadline-Ms: " + std::to_string(request_timeout.count()) +
                      "\r\nAuthorization: Token base\r\nX-Tenant: forged\r\n";
  if (soak_request::has_stages(kind)) {
    bytes += "X-Pieces: " + std::to_string(soak_request::piece_count(id, 0)) + "," +
             std::to_string(soak_request::piece_count(id, 1)) + "\r\nX-Piece-Key: key of " + id +
             "\r\n";
  }
  const auto body = soak_request::body(id);
  bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  if (kind == "unsafe" || kind == "long" || soak_request::has_stages(kind)) {
    recorder_->note_single_run(id);
  }
  const auto sent_at = soak_clock::now();
  const auto outcome = exchange(bytes, request_timeout + scheduling_slack);
  check_answer(kind, id, outcome, sent_at);
  if (outcome.status != 200) {
    std::this_thread::sleep_for(failure_backoff);
  }
}

soak_outcome soak_client::exchange(const std::string& bytes, milliseconds timeout) {
  soak_outcome outcome;
  boost::system::error_code error;
  set_socket_timeout(*socket_, timeout);
  boost::asio::write(*socket_, boost::asio::buffer(bytes), error);
  boost::beast::flat_buffer buffer;
  boost::beast::http::response_parser<boost::beast::http::string_body> answer;
  answer.body_limit(1'000'000);
  if (!error) {
    boost::beast::http::read(*socket_, buffer, answer, error);
  }
  if (answer.is_header_done()) {
    outcome.status = answer.get().result_int();
    outcome.has_seal = answer.get().find("X-Response-Seal") != answer.get().end();
    outcome.has_retry_after = answer.get().find("Retry-After") != answer.get().end();
    outcome.body = answer.get().body();
    outcome.is_complete = !error && answer.is_done();
  }
  // Surplus bytes are a violation only after a complete answer, because the bytes that are left
  // after an incomplete answer belong to this answer.
  if (outcome.is_complete && buffer.size() > 0) {
    recorder_->note_violation("MIXED", name_ + " received bytes that belong to no request");
  }
  if (error || !answer.keep_alive()) {
    socket_.reset();
  }
  return outcome;
}

void soak_client::check_answer(const std::string& kind, const std::string& id,
                               const soak_outcome& outcome, soak_clock::time_point sent_at) {
  recorder_->count_answer(kind, outcome.is_complete ? std::to_string(outcome.status) : "cut");
  if (outcome.status == too_many_requests || outcome.status == service_unavailable) {
    recorder_->note_not_run(id);
  }
  if (!outcome.is_complete) {
    check_incomplete_answer(id, outcome, sent_at);
    return;
  }
  if (outcome.status == 401 || outcome.status == 404 || outcome.status == 400) {
    recorder_->note_violation("DENIED", id + " got " + std::to_string(outcome.status));
  }
  if (outcome.status != 200) {
    return;
  }
  std::string expected = soak_request::answer(id);
  if (soak_request::is_stream(kind)) {
    expected.clear();
    for (std::size_t number = 1; number <= soak_request::event_count(id); ++number) {
      expected += soak_request::event(id, number);
    }
  }
  if (!outcome.has_seal || outcome.body != expected) {
    recorder_->note_violation(soak_request::is_stream(kind) ? "ORDER" : "MIXED",
                              id + " received a wrong answer: " + outcome.body.substr(0, 120));
  }
}

void soak_client::check_incomplete_answer(const std::string& id, const soak_outcome& outcome,
                                          soak_clock::time_point sent_at) {
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
  recorder_->note_violation(
      "LOST", id +
                  (outcome.status == 0 ? " received no answer" : " received an incomplete answer") +
                  " from " + node_->name + " in " + std::to_string(waited.count()) + " ms" +
                  (node_->is_stopping ? " while it stopped" : "") +
                  (recorder_->was_forwarded(id) ? ", after it had been forwarded" : ""));
}

} // namespace spurrack::platform_tests
