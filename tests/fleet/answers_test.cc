/// Tests with real processes: back ends whose answers are late, duplicated, truncated, broken off
/// in the stream of tokens or carry the id of another request; callers that disconnect or send
/// malformed requests.
#include "fleet_fixture.h"

#include <csignal>

namespace {

using namespace spurrack::fleet;
using std::chrono::milliseconds;

/// Small fleet whose nodes have a short timeout for receiving a request and a low limit for the
/// size of request bodies.
struct small_fleet_fixture {
  small_fleet_fixture() : fleet(binaries(), describe()) { fleet.start_all_nodes(); }
  static fleet_description describe() {
    auto description = small_fleet();
    description.extra_settings = "callers: {receive_timeout_ms: 300, max_body_bytes: 2000}\n";
    return description;
  }

  [[nodiscard]] boost::json::object send_request(const std::string& input,
                                                 bool stream = false) const {
    return fleet
        .send_request("entry-north1", "client-answer", agents_token,
                      {{"input", input}, {"stream", stream}, {"deadline_ms", 2'000}})
        .json();
  }

  /// @return value of a metric of the node entry-north1; -1 if the node does not report the metric.
  [[nodiscard]] double read_metric(const std::string& name) const {
    const auto body = get(fleet.addresses("entry-north1").operators, "/metrics").body;
    const auto position = body.find("\n" + name + " ");
    return position == std::string::npos ? -1 : std::stod(body.substr(position + name.size() + 2));
  }

  /// Sends bytes to the caller listener of the node entry-north1.
  /// @return all bytes received.
  [[nodiscard]] std::string send_raw(const std::string& bytes) const {
    return exchange_raw(fleet.addresses("entry-north1").callers, bytes, milliseconds(5'000));
  }

  local_fleet fleet;
};

std::string request_head(const std::string& extra) {
  return "POST /v1/pipelines/client-answer HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
         "agents-secret\r\n" +
         extra + "\r\n";
}

/// Malformed request, with the HTTP status and the error code of the expected answer.
struct malformed_request {
  std::string bytes;
  std::string status;
  std::string code;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(answers, small_fleet_fixture)

BOOST_AUTO_TEST_CASE(corrupted_answers_are_not_forwarded) {
  int number = 0;
  for (const auto* backend : {"encoder-north1", "engine-north1"}) {
    for (const auto* fault : {"truncate", "reset", "reset_early", "crossed", "duplicate"}) {
      fleet.set_backend_fault(backend, fault, 1);
      const auto input = "s" + std::to_string(++number);
      const auto body = send_request(input);
      BOOST_TEST_CONTEXT(backend << " " << fault) {
        BOOST_TEST(string_field(body, "outcome") == "completed");
        BOOST_TEST(string_field(body.at("outputs").as_object(), "generate") ==
                   expected_client_answer(input));
      }
    }
  }
  BOOST_TEST(read_metric("spurrack_misdirected_answers_total") == 2);
}

BOOST_AUTO_TEST_CASE(a_late_answer_of_a_given_up_request_reaches_nobody) {
  post(fleet.backend_address("encoder-north1"), "/admin/fault",
       {{"fault", "none"}, {"service_us", 400'000}});
  const auto late = fleet
                        .send_request("entry-north1", "client-answer", agents_token,
                                      {{"input", "late"}, {"deadline_ms", 100}})
                        .json();
  BOOST_TEST(string_field(late, "outcome") == "failed");
  BOOST_TEST(string_field(late, "code") == "deadline_passed");
  post(fleet.backend_address("encoder-north1"), "/admin/fault",
       {{"fault", "none"}, {"service_us", 1'000}});
  for (int number = 0; number < 5; ++number) {
    const auto input = "next" + std::to_string(number);
    const auto body = send_request(input);
    BOOST_TEST(string_field(body.at("outputs").as_object(), "generate") ==
               expected_client_answer(input));
  }
}

BOOST_AUTO_TEST_CASE(a_broken_stream_goes_on_and_each_token_comes_once) {
  fleet.set_backend_fault("engine-north1", "break_stream", 1);
  http_call parameters;
  parameters.address = fleet.addresses("entry-north1").callers;
  parameters.method = "POST";
  parameters.target = "/v1/pipelines/client-answer";
  parameters.headers["Authorization"] = std::string("Bearer ") + agents_token;
  parameters.body = R"({"input":"stream","stream":true})";
  const auto body = call(parameters).body;
  std::string tokens;
  int answers = 0;
  std::size_t offset = 0;
  for (std::size_t at = body.find("data: "); at != std::string::npos;
       at = body.find("data: ", at)) {
    at += 6;
    const auto item = boost::json::parse(body.substr(at, body.find('\n', at) - at)).as_object();
    if (item.contains("text")) {
      BOOST_TEST(item.at("offset").to_number<std::size_t>() == offset++);
      tokens += string_field(item, "text");
    } else {
      ++answers;
      BOOST_TEST(string_field(item, "outcome") == "completed");
    }
  }
  BOOST_TEST(tokens == expected_client_answer("stream"));
  BOOST_TEST(answers == 1);
}

BOOST_AUTO_TEST_CASE(client_disconnect_cancels_the_request) {
  post(fleet.backend_address("retriever-north1"), "/admin/fault",
       {{"fault", "hang"}, {"times", 1}});
  http_call parameters;
  parameters.address = fleet.addresses("entry-north1").callers;
  parameters.method = "POST";
  parameters.target = "/v1/pipelines/client-answer";
  parameters.headers["Authorization"] = std::string("Bearer ") + agents_token;
  parameters.body = R"({"input":"gone"})";
  parameters.timeout = milliseconds(200);
  BOOST_TEST(call(parameters).status == 0U);
  BOOST_TEST(local_fleet::wait_until([&] { return read_metric("spurrack_active_requests") == 0; }));
  BOOST_TEST(string_field(send_request("after"), "outcome") == "completed");
}

BOOST_AUTO_TEST_CASE(malformed_input_gets_a_typed_error_and_the_node_keeps_serving) {
  const std::vector<malformed_request> cases{
      {"garbage\r\n\r\n", "400", "malformed_http"},
      {request_head("Content-Length: 5\r\n") + "{\"inp", "400", "malformed_json"},
      {request_head("Content-Length: 3000\r\n") + std::string(3'000, 'x'), "413", "body_too_large"},
      {request_head("X-Long: " + std::string(10'000, 'x') + "\r\n"), "431", "header_too_large"},
      {request_head("Content-Length: 100\r\n") + "{", "408", "receive_timeout"},
      {"POST /v1/pipelines/x HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}", "401",
       "missing_token"},
      {"POST /v1/pipelines/client-answer HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
       "Authorization: Bearer wrong\r\nContent-Length: 13\r\n\r\n{\"input\":\"x\"}",
       "401", "unknown_token"},
      {"POST /v1/pipelines/no-such HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
       "Authorization: Bearer agents-secret\r\nContent-Length: 13\r\n\r\n{\"input\":\"x\"}",
       "404", "unknown_template"},
      {request_head("Connection: close\r\nContent-Length: 29\r\n") +
           R"({"input":"x","deadline_ms":0})",
       "400", "invalid_deadline"}};
  for (const auto& malformed : cases) {
    const auto answer = send_raw(malformed.bytes);
    BOOST_TEST_CONTEXT(malformed.code << ": " << answer) {
      BOOST_TEST(answer.find("HTTP/1.1 " + malformed.status) == 0U);
      BOOST_TEST(answer.find("\"code\":\"" + malformed.code + "\"") != std::string::npos);
      BOOST_TEST(answer.find("\"outcome\":\"not_run\"") != std::string::npos);
    }
  }
  BOOST_TEST(string_field(send_request("well"), "outcome") == "completed");
  BOOST_TEST(fleet.node("entry-north1").is_running());
}

BOOST_AUTO_TEST_SUITE_END()
