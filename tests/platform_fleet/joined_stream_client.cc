#include "joined_stream_client.h"

#include "reading_client.h"

#include "http/awaitable.h"
#include "http/endpoint.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

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
using clock = std::chrono::steady_clock;

constexpr std::uint64_t hundred_percent = 100;
/// Percentage of the streams on the route that cannot be taken up.
constexpr std::uint64_t single_run_percent = 15;
/// Percentage of the streams that a client takes up at once on a second connection.
constexpr std::uint64_t early_take_up_percent = 35;
/// Percentage of these on which the second request has the id of the first one.
constexpr std::uint64_t same_id_percent = 20;
/// Percentage of the connections that read slowly, with one pause.
constexpr std::uint64_t slow_percent = 25;
constexpr std::size_t min_events = 4;
constexpr std::size_t max_events = 40;
constexpr std::size_t small_event_bytes = 200;
/// Size of events of which a slow client's connection holds only a few.
constexpr std::size_t large_event_bytes = 12'000;
constexpr milliseconds max_pause{2'500};
constexpr milliseconds poll_interval{3};
constexpr milliseconds retry_interval{40};
constexpr std::size_t max_attempts = 12;
/// Time after which a client gives a stream up.
constexpr milliseconds stream_time{5'000};
constexpr std::size_t read_bytes = 4'096;
constexpr unsigned ok_status = 200;

} // namespace

/// One stream, which the client may read over several connections.
struct joined_stream_client::stream_session {
  std::string name;
  stamped_stream stream;
  bool can_be_taken_up = true;
  std::size_t attempts = 0;
  /// Id of the attempt that brought the first event; empty before.
  std::string first_attempt;
  /// Software versions and runs of the events that any connection brought.
  std::set<std::string> versions;
  std::set<std::string> runs;
};

/// One connection and its answer.
struct joined_stream_client::connection {
  explicit connection(asio::io_context& io) : socket(io) { parser.body_limit(boost::none); }

  tcp::socket socket;
  stream_session* session = nullptr;
  std::string node;
  std::string id;
  /// Id of the last event that the client has.
  std::size_t last_id = 0;
  std::size_t first_id = 0;
  bool has_ended = false;
  bool was_closed_by_client = false;
  /// Whether the answer was whole according to its length or its last chunk.
  bool is_marked_whole = false;
  /// Whether the answer has neither a length nor chunks.
  bool is_unframed = false;
  /// Whether the answer ended with the orderly end of its connection.
  bool has_orderly_end = false;
  unsigned status = 0;
  std::vector<run_stamp> stamps;
  std::string partial_event;
  std::string fault;
  beast_http::response_parser<beast_http::buffer_body> parser;

  /// Takes received bytes of the answer.
  void feed(std::string& unparsed);
  void take_events(std::string_view body);
  void finish(const boost::system::error_code& error);
};

void joined_stream_client::connection::feed(std::string& unparsed) {
  boost::system::error_code error;
  while (!error && !unparsed.empty() && !parser.is_done()) {
    std::array<char, read_bytes> body{};
    parser.get().body().data = body.data();
    parser.get().body().size = body.size();
    unparsed.erase(0, parser.put(asio::buffer(unparsed), error));
    if (parser.is_header_done()) {
      status = parser.get().result_int();
      take_events({body.data(), body.size() - parser.get().body().size});
    }
    error = error == beast_http::error::need_buffer ? boost::system::error_code() : error;
  }
  if (error && error != beast_http::error::need_more) {
    fault = "the answer cannot be parsed: " + error.message();
  }
}

void joined_stream_client::connection::take_events(std::string_view body) {
  if (status != ok_status) {
    return;
  }
  partial_event.append(body);
  for (auto end = partial_event.find("\n\n"); end != std::string::npos && fault.empty();
       end = partial_event.find("\n\n")) {
    const auto event = partial_event.substr(0, end + 2);
    partial_event.erase(0, end + 2);
    const auto stamp = stamp_of(session->stream, last_id + 1, event);
    if (!stamp) {
      fault = "event " + std::to_string(last_id + 1) + " was expected, but there came: " + event;
      return;
    }
    ++last_id;
    stamps.push_back(*stamp);
    session->versions.insert(stamp->version);
    session->runs.insert(stamp->run);
    if (session->first_attempt.empty()) {
      session->first_attempt = id;
    }
  }
}

void joined_stream_client::connection::finish(const boost::system::error_code& error) {
  has_ended = true;
  has_orderly_end = error == asio::error::eof;
  if (!parser.is_header_done()) {
    return;
  }
  const bool is_framed = parser.chunked() || parser.content_length().has_value();
  is_marked_whole = is_framed && parser.is_done();
  is_unframed = !is_framed;
}

joined_stream_client::joined_stream_client(asio::io_context& io, std::vector<std::string> nodes,
                                           std::uint64_t seed, joined_streams_report& report)
    : io_(&io), nodes_(std::move(nodes)), random_(seed), report_(&report) {}

asio::awaitable<void> joined_stream_client::read_streams(std::string name,
                                                         clock::time_point end_at) {
  for (std::size_t number = 0; clock::now() < end_at; ++number) {
    co_await read_stream(name + "-" + std::to_string(number));
  }
}

asio::awaitable<void> joined_stream_client::read_stream(std::string name) {
  stream_session session;
  session.name = std::move(name);
  session.can_be_taken_up = !happens(single_run_percent);
  session.stream = {session.can_be_taken_up ? "stream" : "single",
                    min_events + random_.below(max_events - min_events),
                    happens(slow_percent) ? large_event_bytes : random_.below(small_event_bytes)};
  const auto give_up_at = clock::now() + stream_time;
  ++report_->counts["streams"];
  std::size_t last_id = 0;
  bool is_whole = false;
  while (!is_whole && session.attempts < max_attempts && clock::now() < give_up_at) {
    auto reading = next_connection(session, last_id);
    if (session.can_be_taken_up && happens(early_take_up_percent)) {
      reading = co_await take_up_early(session, reading);
    } else {
      co_await read_answer(reading);
    }
    last_id = std::max(last_id, reading->last_id);
    is_whole = reading->status == ok_status && last_id == session.stream.events;
    if (!session.can_be_taken_up && last_id > 0) {
      break;
    }
    if (!is_whole) {
      co_await wait(retry_interval);
    }
  }
  ++report_->counts[is_whole ? "streams read to their end" : "streams not read to their end"];
  report_->counts["streams of several runs"] += session.runs.size() > 1 ? 1 : 0;
  check_versions(session);
}

joined_stream_client::connection_pointer
joined_stream_client::next_connection(stream_session& session, std::size_t after) {
  auto opened = std::make_shared<connection>(*io_);
  opened->session = &session;
  opened->node = nodes_[random_.below(nodes_.size())];
  opened->id = session.name + "-" + std::to_string(session.attempts++);
  opened->last_id = opened->first_id = after;
  return opened;
}

std::string joined_stream_client::request_text(const connection& opened) {
  const auto& session = *opened.session;
  std::string text = "POST " + session.stream.path() +
                     " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + opened.id +
                     "\r\nX-Deadline-Ms: " + std::to_string(stream_time.count()) +
                     "\r\nAuthorization: Token k\r\nContent-Length: 0\r\n";
  if (opened.first_id > 0) {
    text += "Last-Event-Id: " + std::to_string(opened.first_id) +
            "\r\nResumes: " + session.first_attempt + "\r\n";
  }
  return text + "\r\n";
}

asio::awaitable<void> joined_stream_client::read_answer(connection_pointer opened) {
  const bool is_slow = happens(slow_percent);
  boost::system::error_code error;
  opened->socket.open(tcp::v4());
  // A node that the test starts meanwhile would hold the connection open.
  ::fcntl(opened->socket.native_handle(), F_SETFD, FD_CLOEXEC);
  if (is_slow) {
    prepare_slow_socket(opened->socket);
  }
  co_await opened->socket.async_connect(*http::parse_endpoint(opened->node), await_into(error));
  if (!error) {
    const auto text = request_text(*opened);
    co_await asio::async_write(opened->socket, asio::buffer(text), await_into(error));
  }
  if (!error) {
    error = co_await read_events(*opened, is_slow);
  }
  opened->finish(error);
  boost::system::error_code ignored;
  opened->socket.close(ignored);
  check_end(*opened);
}

asio::awaitable<boost::system::error_code> joined_stream_client::read_events(connection& opened,
                                                                             bool pauses) {
  std::vector<char> bytes(read_bytes);
  std::string unparsed;
  boost::system::error_code error;
  while (!error && !opened.parser.is_done() && opened.fault.empty()) {
    const auto count =
        co_await opened.socket.async_read_some(asio::buffer(bytes), await_into(error));
    unparsed.append(bytes.data(), count);
    opened.feed(unparsed);
    if (pauses && opened.last_id > opened.first_id) {
      pauses = false;
      co_await wait(milliseconds(random_.below(static_cast<std::size_t>(max_pause.count()))));
    }
  }
  co_return error;
}

asio::awaitable<void> joined_stream_client::wait_for_events(connection_pointer opened,
                                                            std::size_t events) {
  while (!opened->has_ended && opened->last_id < opened->first_id + events) {
    co_await wait(poll_interval);
  }
}

asio::awaitable<joined_stream_client::connection_pointer>
joined_stream_client::take_up_early(stream_session& session, connection_pointer first) {
  asio::co_spawn(*io_, read_answer(first), asio::detached);
  co_await wait_for_events(first, 1 + random_.below(session.stream.events / 2));
  if (first->has_ended) {
    co_return first;
  }
  ++report_->counts["streams taken up beside an open connection"];
  auto second = next_connection(session, first->last_id);
  if (happens(same_id_percent)) {
    second->id = first->id;
  }
  asio::co_spawn(*io_, read_answer(second), asio::detached);
  const bool closes_first = happens(hundred_percent / 2);
  co_await wait_for_events(second, 1 + random_.below(session.stream.events / 2));
  if (closes_first && !first->has_ended) {
    first->was_closed_by_client = true;
    boost::system::error_code ignored;
    first->socket.close(ignored);
  }
  // The session is on the stack of the caller, so that both connections end before it.
  while (!first->has_ended || !second->has_ended) {
    co_await wait(poll_interval);
  }
  co_return second->last_id >= first->last_id ? second : first;
}

void joined_stream_client::check_end(const connection& ended) {
  const auto& session = *ended.session;
  auto& counts = report_->counts;
  const auto where =
      ended.id + " at " + ended.node + " after event " + std::to_string(ended.first_id) + ": ";
  std::set<std::string> runs;
  for (const auto& stamp : ended.stamps) {
    runs.insert(stamp.run);
  }
  counts["answers of several runs"] += runs.size() > 1 ? 1 : 0;
  ++counts["answers with status " + std::to_string(ended.status)];
  if (!ended.fault.empty()) {
    report_->violations.push_back(where + ended.fault);
  }
  if (ended.status != ok_status || ended.was_closed_by_client) {
    return;
  }
  const bool has_all = ended.last_id == session.stream.events && ended.partial_event.empty();
  if (ended.is_marked_whole) {
    ++counts["answers told as complete"];
    if (!has_all) {
      report_->violations.push_back(where + "told as complete after event " +
                                    std::to_string(ended.last_id) + " of " +
                                    std::to_string(session.stream.events));
    }
  } else if (ended.is_unframed && ended.has_orderly_end) {
    ++counts[has_all ? "answers without framing, all events"
                     : "answers without framing, not all events"];
  } else {
    ++counts["answers broken off"];
  }
  if (!session.can_be_taken_up && runs.size() > 1) {
    report_->violations.push_back(where + "a stream that cannot be taken up has several runs");
  }
}

void joined_stream_client::check_versions(const stream_session& session) {
  if (session.versions.size() < 2) {
    return;
  }
  std::string text = session.name + " has events of several software versions:";
  for (const auto& version : session.versions) {
    text += " " + version;
  }
  report_->violations.push_back(text);
}

asio::awaitable<void> joined_stream_client::wait(milliseconds span) {
  asio::steady_timer timer(*io_, span);
  boost::system::error_code ignored;
  co_await timer.async_wait(await_into(ignored));
}

bool joined_stream_client::happens(std::uint64_t percent) {
  return random_.below(hundred_percent) < percent;
}

} // namespace spurrack::platform_tests
