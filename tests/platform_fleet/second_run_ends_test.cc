/// Answers without framing whose request runs a second time, through a real spurrackd, while the
/// second run breaks off too, adds nothing, or is silent. Checks that no client is told that an
/// answer is whole unless it is, and that no client loses an answer that is kept for it.
///
/// Each request has a service of its own, since a route whose answers mark no ends is not run
/// again. OPEN_ANSWER_LOGS prints the daemons' logs.
#include "open_answer_fleet.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <cstdlib>
#include <list>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace spurrack;
using namespace spurrack::platform_tests;

/// Number of requests of each case that has a test of its own.
constexpr int requests_of_case = 3;
/// Number of times that a request runs if its second run is allowed.
constexpr std::size_t two_runs = 2;
/// First event that a client lacks after it has received the events before its stream broke off.
constexpr int first_missing_event = delivered_events + 1;

/// One run of a streaming request, as its replica answers it.
struct stream_run {
  int first_event = 1;
  /// Number of whole events that the replica sends.
  int events = 0;
  /// Whether the replica sends the begin of one more event.
  bool has_half_event = false;
  bool has_chunks = false;
  /// Whether the replica sends the last chunk.
  bool has_last_chunk = false;
  connection_end end = connection_end::fin;
};

/// Ends a connection after an answer.
scripted_answer with_end(const std::string& bytes, connection_end end) {
  scripted_answer answer{bytes};
  answer.close = end == connection_end::fin;
  answer.reset = end == connection_end::reset;
  answer.half_close = end == connection_end::half_close;
  answer.stay_silent = end == connection_end::silence;
  return answer;
}

/// Returns the head of a sealed answer of a run.
std::string head_of_run(const planned_request& plan, int number, bool has_chunks = false) {
  return attempt_text{plan, number}.head() + (has_chunks ? attempt_text::chunks_line : "") + "\r\n";
}

/// @param number number of the run of the request; the events of each run differ.
scripted_answer answer_of(const planned_request& plan, int number, const stream_run& run) {
  constexpr std::size_t bytes_of_half_event = 10;
  const auto next_event = run.first_event + run.events;
  auto body = events_of(plan.id, number, run.first_event, next_event - 1);
  if (run.has_half_event) {
    body.append(event_of(plan.id, number, next_event), 0, bytes_of_half_event);
  }
  auto bytes = head_of_run(plan, number, run.has_chunks);
  bytes.append(run.has_chunks ? http_chunk(body) : body);
  bytes.append(run.has_last_chunk ? last_http_chunk : "");
  return with_end(bytes, run.end);
}

/// Request and what its client received.
struct played_request {
  planned_request plan;
  /// Words on the case of the request for the messages of the test.
  std::string name;
  /// Whether the client takes up a stream of which it has received the first events.
  bool is_taken_up = false;

  framed_answer answer{};
  /// Time from the begin of the request to the end of its answer.
  milliseconds duration{0};
  /// For each run, the id of its first event.
  std::vector<int> runs{};
  /// Whether the stream that the client takes up has begun; true for other requests.
  bool has_begun = true;

  /// @return first event that the client lacks.
  [[nodiscard]] int first_event() const { return is_taken_up ? first_missing_event : 1; }
  /// @return whether the client sees neither a marked end nor an orderly one.
  [[nodiscard]] bool is_visibly_broken_off() const {
    return answer.is_success() && !answer.is_told_whole() && !answer.has_open_end() &&
           answer.end != answer_end::timed_out && answer.end != answer_end::malformed;
  }
  /// @return whether the client may take the answer for whole.
  [[nodiscard]] bool has_orderly_end() const {
    return answer.is_success() && (answer.is_told_whole() || answer.has_open_end());
  }
  [[nodiscard]] std::string text() const {
    std::string all = name;
    all.append(": ").append(plan.id).append(" got ").append(std::to_string(answer.status));
    all.append(", ").append(name_of(answer.framing)).append(", ").append(name_of(answer.end));
    all.append(", ").append(std::to_string(answer.body.size())).append(" bytes after ");
    all.append(std::to_string(duration.count())).append(" ms, runs from event");
    for (const auto first : runs) {
      all.append(" ").append(std::to_string(first));
    }
    return all;
  }
};

/// Events of a stream that a client has received.
struct received_events {
  int last = 0;
  bool has_partial = false;
};

/// @return the events of the answer; std::nullopt if their ids have a gap or a repetition, if an
///         event consists of bytes of two runs, or if an event of an earlier run follows one of a
///         later run.
std::optional<received_events> events_in(const played_request& request) {
  received_events events{request.first_event() - 1, false};
  auto rest = request.answer.body;
  for (int run = 1; !rest.empty();) {
    const auto expected = event_of(request.plan.id, run, events.last + 1);
    const bool is_whole = rest.starts_with(expected);
    if (events.last < whole_events && (is_whole || expected.starts_with(rest))) {
      events.has_partial = !is_whole;
      events.last += is_whole ? 1 : 0;
      rest.erase(0, expected.size());
    } else if (++run > static_cast<int>(two_runs)) {
      return std::nullopt;
    }
  }
  return events;
}

/// @return what is wrong with the answer to any request for a stream; an empty string if nothing.
std::string fault_of_stream(const played_request& request) {
  const auto& answer = request.answer;
  if (!request.has_begun) {
    return "the stream to take up has not begun";
  }
  if (request.runs.size() > two_runs) {
    return "ran too often";
  }
  if (answer.end == answer_end::malformed || answer.end == answer_end::timed_out) {
    return "its answer has no end";
  }
  if (!answer.is_success()) {
    return answer.header("x-response-seal").empty() ? "" : "is a failure with a seal";
  }
  const auto seal = answer.header("x-response-seal");
  if (seal != seal_of(1) && seal != seal_of(2)) {
    return "is a success without the seal of a run";
  }
  const auto events = events_in(request);
  if (!events) {
    return "has events that no series of runs sent";
  }
  if (answer.is_told_whole() && (events->last < whole_events || events->has_partial)) {
    return "is told as whole and is not";
  }
  if (answer.has_open_end() && events->has_partial) {
    return "ends in order inside an event";
  }
  return answer.has_open_end() && events->last < request.first_event()
             ? "ends in order without an event"
             : "";
}

/// Fleet and the requests that it gets at the same time. Each request has its own service.
class played_case {
 public:
  /// @param most_requests maximum number of requests.
  played_case(const std::string& name, int most_requests)
      : fleet_("second-" + name, open_answer_fleet::ample_retries, most_requests), name_(name) {}

  /// Adds a request.
  /// @param text words on the case for messages.
  /// @param kind kind of the route.
  /// @param answers function of the planned request; returns the answers to its runs.
  /// @param allowed_time time until the deadline of the request.
  template <typename function>
  void add(const std::string& text, route_kind kind, bool is_taken_up, function answers,
           milliseconds allowed_time = usual_time) {
    const auto number = static_cast<int>(requests_.size());
    const planned_request plan{.id = name_ + std::to_string(number),
                               .place = cut_place::unframed_short,
                               .kind = kind,
                               .service = number,
                               .allowed_time = allowed_time};
    fleet_.plan_runs(plan, answers(plan));
    requests_.push_back({plan, text, is_taken_up});
  }

  /// Adds a streaming request whose runs are `runs`.
  void add_stream(const std::string& text, bool is_taken_up, const std::vector<stream_run>& runs,
                  milliseconds allowed_time = usual_time) {
    const auto answers_to_runs = [&](const planned_request& plan) {
      std::vector<scripted_answer> answers;
      answers.reserve(runs.size());
      for (const auto& run : runs) {
        answers.push_back(answer_of(plan, static_cast<int>(answers.size()) + 1, run));
      }
      return answers;
    };
    add(text, route_kind::resumable, is_taken_up, answers_to_runs, allowed_time);
  }

  /// Adds some streaming requests whose runs are `runs`.
  void add_streams(const std::string& text, bool is_taken_up, const std::vector<stream_run>& runs) {
    for (int request = 0; request < requests_of_case; ++request) {
      add_stream(text, is_taken_up, runs);
    }
  }

  /// Sends all requests. Does not use the test framework, so that it may run on any thread.
  void play() {
    std::vector<std::thread> clients;
    for (auto& request : requests_) {
      clients.emplace_back([this, &request] { send(request); });
    }
    for (auto& client : clients) {
      client.join();
    }
  }

  /// @return the requests. Reports them as messages of the test, and checks that each ran twice.
  [[nodiscard]] const std::list<played_request>& report() const {
    for (const auto& request : requests_) {
      BOOST_TEST_MESSAGE(request.text());
      BOOST_TEST(request.has_begun, request.text());
      BOOST_TEST(request.runs.size() == two_runs, request.text());
    }
    if (std::getenv("OPEN_ANSWER_LOGS") != nullptr) {
      BOOST_TEST_MESSAGE(fleet_.daemon().log());
    }
    return requests_;
  }

  [[nodiscard]] const std::list<played_request>& play_and_report() {
    play();
    return report();
  }

 private:
  void send(played_request& request) {
    std::string fields;
    if (request.is_taken_up) {
      const auto begun_id = "begun-" + request.plan.id;
      request.has_begun = begin_stream(begun_id, request.plan.service);
      fields.append("Last-Event-Id: ").append(std::to_string(delivered_events));
      fields.append("\r\nResumes: ").append(begun_id).append("\r\n");
    }
    framing_client client(fleet_.daemon().client_address);
    const auto began_at = std::chrono::steady_clock::now();
    static_cast<void>(client.send(open_answer_fleet::request_text(request.plan, fields)));
    request.answer = client.read(request.plan.time() + client_patience);
    request.duration = std::chrono::ceil<milliseconds>(std::chrono::steady_clock::now() - began_at);
    request.runs = fleet_.runs_of(request.plan.id);
  }

  /// Begins a stream, whose client leaves after the first events.
  /// @return whether the client has received these events.
  bool begin_stream(const std::string& id, int service) {
    const planned_request plan{id, cut_place::chunks_body_short, connection_end::silence,
                               route_kind::resumable, service};
    fleet_.plan_runs(plan, {answer_of(plan, 1,
                                      {.events = delivered_events,
                                       .has_chunks = true,
                                       .end = connection_end::silence})});
    framing_client client(fleet_.daemon().client_address);
    bool is_waiting = client.send(open_answer_fleet::request_text(plan));
    const auto last_event = event_of(id, 1, delivered_events);
    while (is_waiting && client.surplus().find(last_event) == std::string::npos) {
      is_waiting = client.wait_for_bytes(client.surplus().size() + 1, client_patience);
    }
    return is_waiting;
  }

  open_answer_fleet fleet_;
  std::string name_;
  std::list<played_request> requests_;
};

/// Place at which a run of the table breaks off.
enum class run_place : std::uint8_t { empty, between_events, inside_event, inside_first_event };
constexpr std::array run_place_names{"empty", "between events", "inside an event",
                                     "inside its first event"};
/// @return number of whole events of a run that breaks off at `place`.
int events_before(run_place place) {
  return place == run_place::between_events || place == run_place::inside_event ? 2 : 0;
}
/// Time until the deadline of the requests of the table; longer than the target latency of 1 s, for
/// which a kept end waits.
constexpr milliseconds time_of_row{3'000};

/// Returns a run that breaks off at `place`.
stream_run broken_run(run_place place, int first_event, bool has_chunks, connection_end end) {
  stream_run run;
  run.first_event = first_event;
  run.events = events_before(place);
  run.has_half_event = place == run_place::inside_event || place == run_place::inside_first_event;
  run.has_chunks = has_chunks;
  run.end = end;
  return run;
}

/// One row of the table: how the two runs of a request break off.
struct table_row {
  run_place first = run_place::empty;
  run_place second = run_place::empty;
  /// Whether the second run has chunks. The first run has no framing and ends with FIN.
  bool has_chunks = false;
  connection_end end = connection_end::fin;
  /// Whether the second run is whole, with its last chunk; the settings above are unused then.
  bool is_second_whole = false;

  [[nodiscard]] std::string name() const {
    std::string text = "unframed ";
    text.append(run_place_names.at(static_cast<std::size_t>(first))).append(", then ");
    if (is_second_whole) {
      return text.append("the whole rest with its last chunk");
    }
    text.append(run_place_names.at(static_cast<std::size_t>(second)));
    text.append(has_chunks ? ", chunks, " : ", unframed, ");
    return text.append(connection_end_names.at(static_cast<std::size_t>(end)));
  }
  [[nodiscard]] int first_event_of_second_run(int first_event) const {
    return first_event + events_before(first);
  }
  /// @return the runs of a request whose client lacks the events from `first_event` on.
  [[nodiscard]] std::vector<stream_run> runs(int first_event) const {
    const auto next_event = first_event_of_second_run(first_event);
    auto second_run = broken_run(second, next_event, has_chunks, end);
    if (is_second_whole) {
      second_run.events = whole_events - next_event + 1;
      second_run.has_half_event = false;
      second_run.has_chunks = true;
      second_run.has_last_chunk = true;
      second_run.end = connection_end::fin;
    }
    return {broken_run(first, first_event, false, connection_end::fin), second_run};
  }

  /// @return whether nothing shows that the stream goes on after the last event that its runs sent,
  ///         so that its client gets an open end.
  [[nodiscard]] bool ends_open() const {
    if (is_second_whole) {
      return false;
    }
    if (second == run_place::empty) {
      return first == run_place::between_events;
    }
    return second == run_place::between_events && !has_chunks && end == connection_end::fin;
  }

  /// @return what is wrong with the answer to a request of this row; an empty string if nothing.
  [[nodiscard]] std::string fault(const played_request& request) const {
    if (auto fault = fault_of_stream(request); !fault.empty()) {
      return fault;
    }
    const auto next_event = first_event_of_second_run(request.first_event());
    if (request.runs != std::vector<int>{request.first_event(), next_event}) {
      return "its runs do not go on after the last whole event";
    }
    const auto last_event = is_second_whole ? whole_events : next_event - 1 + events_before(second);
    const bool has_all_events =
        request.answer.is_success() && events_in(request)->last == last_event;
    if (is_second_whole) {
      return request.has_orderly_end() && has_all_events
                 ? ""
                 : "is not served although the second run is whole";
    }
    if (!ends_open()) {
      return request.has_orderly_end() ? "ends in order although its replica broke it off" : "";
    }
    return request.answer.has_open_end() && has_all_events ? ""
                                                           : "is not passed on with its open end";
  }
};

/// @return all rows whose first run breaks off at `first`.
std::vector<table_row> rows_of(run_place first) {
  std::vector<table_row> rows{{.first = first, .is_second_whole = true}};
  for (const auto second : {run_place::empty, run_place::between_events, run_place::inside_event,
                            run_place::inside_first_event}) {
    for (const bool has_chunks : {false, true}) {
      for (const auto end : {connection_end::fin, connection_end::reset, connection_end::silence}) {
        rows.push_back({first, second, has_chunks, end});
      }
    }
  }
  return rows;
}

/// Plays the whole table.
/// @param is_taken_up whether the clients take up streams that had begun.
void play_table(bool is_taken_up) {
  std::vector<table_row> rows;
  std::list<played_case> cases;
  for (const auto first : {run_place::empty, run_place::between_events, run_place::inside_event}) {
    const auto rows_of_first = rows_of(first);
    auto name = std::string(is_taken_up ? "taken-up-" : "fresh-");
    name.append(std::to_string(static_cast<int>(first))).append("-");
    auto& played = cases.emplace_back(name, static_cast<int>(rows_of_first.size()));
    for (const auto& row : rows_of_first) {
      played.add_stream(row.name(), is_taken_up, row.runs(is_taken_up ? first_missing_event : 1),
                        time_of_row);
      rows.push_back(row);
    }
  }
  std::vector<std::thread> threads;
  for (auto& played : cases) {
    threads.emplace_back([&played] { played.play(); });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  auto row = rows.begin();
  for (const auto& played : cases) {
    for (const auto& request : played.report()) {
      const auto fault = (row++)->fault(request);
      BOOST_TEST(fault.empty(), request.text() + ": " + fault);
    }
  }
}

/// Returns an answer of a run of a request that is not a stream, without framing.
scripted_answer open_answer(const planned_request& plan, int run, const std::string& body) {
  return with_end(head_of_run(plan, run) + body, connection_end::fin);
}

/// Returns a sealed answer of the second run that the requested thing does not exist.
scripted_answer sealed_not_found(const planned_request& plan) {
  std::string fields = "X-Request-Id: ";
  fields.append(plan.id).append("\r\nX-Response-Seal: ").append(seal_of(2)).append("\r\n");
  return with_end(http_message("404 Not Found", fields, ""), connection_end::fin);
}

constexpr auto ten_bytes = "0123456789";

} // namespace

BOOST_AUTO_TEST_SUITE(second_run_ends_test)

/// Guards against a taken-up stream that is told as whole without its rest because its first run
/// was empty and the second was cut after its head.
BOOST_AUTO_TEST_CASE(a_taken_up_stream_is_not_whole_if_its_second_run_is_cut_after_the_head) {
  played_case played("head-cut", requests_of_case);
  played.add_streams("X1", true,
                     {{.first_event = first_missing_event},
                      {.first_event = first_missing_event, .has_chunks = true}});
  for (const auto& request : played.play_and_report()) {
    BOOST_TEST(fault_of_stream(request) == "", request.text() + ": " + fault_of_stream(request));
    BOOST_TEST(!request.has_orderly_end(), request.text());
  }
}

/// Guards against a taken-up stream that is told as whole without its rest because its first run
/// was empty and the first event of the sound second run comes after the target latency.
BOOST_AUTO_TEST_CASE(a_taken_up_stream_is_not_whole_before_the_late_rest_of_its_second_run) {
  played_case played("late", requests_of_case);
  for (int number = 0; number < requests_of_case; ++number) {
    played.add("X2", route_kind::resumable, true, [](const planned_request& plan) {
      auto late = with_end(head_of_run(plan, 2, true), connection_end::fin);
      const auto rest = events_of(plan.id, 2, first_missing_event, whole_events);
      late.delayed_bytes = {http_chunk(rest) + last_http_chunk};
      late.pause = milliseconds(1'500);
      return std::vector<scripted_answer>{answer_of(plan, 1, {.first_event = first_missing_event}),
                                          late};
    });
  }
  for (const auto& request : played.play_and_report()) {
    BOOST_TEST(fault_of_stream(request) == "", request.text() + ": " + fault_of_stream(request));
    const auto events = events_in(request);
    BOOST_TEST((!request.has_orderly_end() || (events && events->last == whole_events)),
               request.text());
  }
}

/// Guards against a success without an event for a client that takes up a stream of which two runs
/// show nothing.
BOOST_AUTO_TEST_CASE(a_taken_up_stream_of_two_empty_runs_fails) {
  played_case played("twice-empty", requests_of_case);
  played.add_streams("X3", true,
                     {{.first_event = first_missing_event}, {.first_event = first_missing_event}});
  for (const auto& request : played.play_and_report()) {
    BOOST_TEST(request.answer.status == 502U, request.text());
    BOOST_TEST(fault_of_stream(request) == "", request.text() + ": " + fault_of_stream(request));
  }
}

/// Guards against a stream that broke off inside an event and ends in order because its second run
/// is empty.
BOOST_AUTO_TEST_CASE(a_stream_cut_inside_an_event_stays_cut_if_its_second_run_is_empty) {
  played_case played("half-event", requests_of_case);
  played.add_streams(
      "D", false,
      {{.events = delivered_events, .has_half_event = true}, {.first_event = first_missing_event}});
  for (const auto& request : played.play_and_report()) {
    BOOST_TEST(fault_of_stream(request) == "", request.text() + ": " + fault_of_stream(request));
    BOOST_TEST(request.is_visibly_broken_off(), request.text());
  }
}

/// Guards against a kept end that is passed on in order although half of the next event shows that
/// the stream goes on.
BOOST_AUTO_TEST_CASE(half_an_event_of_the_second_run_refutes_a_kept_end) {
  for (const auto end : {connection_end::silence, connection_end::fin}) {
    const bool is_silent = end == connection_end::silence;
    played_case played(is_silent ? "half-silent" : "half-closed", requests_of_case);
    played.add_streams(is_silent ? "Z, silence" : "Z, FIN", false,
                       {{.events = delivered_events},
                        {.first_event = first_missing_event, .has_half_event = true, .end = end}});
    for (const auto& request : played.play_and_report()) {
      BOOST_TEST(fault_of_stream(request) == "", request.text() + ": " + fault_of_stream(request));
      BOOST_TEST(request.is_visibly_broken_off(), request.text());
    }
  }
}

/// Guards against an answer that is replaced by its first bytes because its second run broke off.
BOOST_AUTO_TEST_CASE(a_shorter_second_answer_does_not_replace_a_kept_one) {
  played_case played("shorter", requests_of_case);
  for (int number = 0; number < requests_of_case; ++number) {
    played.add("E", route_kind::safe, false, [](const planned_request& plan) {
      return std::vector{open_answer(plan, 1, ten_bytes), open_answer(plan, 2, "012")};
    });
  }
  for (const auto& request : played.play_and_report()) {
    BOOST_TEST(request.answer.status == 200U, request.text());
    BOOST_TEST(request.answer.body == ten_bytes, request.text());
    BOOST_TEST(request.answer.has_open_end(), request.text());
  }
}

/// Guards against a kept success that is replaced by the failure of its second run.
BOOST_AUTO_TEST_CASE(a_404_of_the_second_run_does_not_replace_a_kept_success) {
  played_case played("not-found", requests_of_case);
  for (int number = 0; number < requests_of_case; ++number) {
    played.add("404", route_kind::safe, false, [](const planned_request& plan) {
      return std::vector{open_answer(plan, 1, ten_bytes), sealed_not_found(plan)};
    });
  }
  for (const auto& request : played.play_and_report()) {
    BOOST_TEST(request.answer.status == 200U, request.text());
    BOOST_TEST(request.answer.body == ten_bytes, request.text());
    BOOST_TEST(request.answer.has_open_end(), request.text());
  }
}

/// Guards against a stream that is reset, although its end is kept, by the failure of its second
/// run.
BOOST_AUTO_TEST_CASE(a_404_of_the_second_run_does_not_reset_a_stream_with_a_kept_end) {
  played_case played("stream-not-found", requests_of_case);
  for (int number = 0; number < requests_of_case; ++number) {
    played.add("404, stream", route_kind::resumable, false, [](const planned_request& plan) {
      return std::vector{answer_of(plan, 1, {.events = delivered_events}), sealed_not_found(plan)};
    });
  }
  for (const auto& request : played.play_and_report()) {
    BOOST_TEST(fault_of_stream(request) == "", request.text() + ": " + fault_of_stream(request));
    BOOST_TEST(request.answer.has_open_end(), request.text());
    BOOST_TEST(request.answer.body == events_of(request.plan.id, 1, 1, delivered_events),
               request.text());
  }
}

/// Guards against a whole answer that its client gets only at its deadline because the second run
/// is silent.
BOOST_AUTO_TEST_CASE(a_kept_answer_does_not_wait_long_for_a_silent_second_run) {
  constexpr milliseconds most_duration{2'000};
  played_case played("silent", requests_of_case);
  for (int number = 0; number < requests_of_case; ++number) {
    played.add("S", route_kind::safe, false, [](const planned_request& plan) {
      return std::vector{open_answer(plan, 1, ten_bytes), with_end("", connection_end::silence)};
    });
  }
  for (const auto& request : played.play_and_report()) {
    BOOST_TEST(request.answer.status == 200U, request.text());
    BOOST_TEST(request.answer.body == ten_bytes, request.text());
    BOOST_TEST(request.answer.has_open_end(), request.text());
    BOOST_TEST(request.duration.count() <= most_duration.count(), request.text());
  }
}

/// Guards against a stream of two broken runs that is told as whole, that ends in order although
/// its replica broke it off, that loses its kept end, or whose events are not those of its runs.
BOOST_AUTO_TEST_CASE(no_stream_of_two_broken_runs_is_told_as_whole) {
  play_table(false);
}

/// Guards against the same for a client that takes a stream up.
BOOST_AUTO_TEST_CASE(no_taken_up_stream_of_two_broken_runs_is_told_as_whole) {
  play_table(true);
}

BOOST_AUTO_TEST_SUITE_END()
