/// Parsing of requests of callers: valid requests, and the error codes of invalid requests.
#include "http/caller_request_parser.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace spurrack;
namespace beast_http = boost::beast::http;

http::http_request make_message(const std::string& target, const std::string& body,
                                const std::string& token = "Bearer t") {
  http::http_request message(beast_http::verb::post, target, 11);
  if (!token.empty()) {
    message.set("Authorization", token);
  }
  message.body() = body;
  return message;
}

struct refusal_case {
  http::http_request request;
  std::string code;
};

} // namespace

BOOST_AUTO_TEST_SUITE(callers_interface)

BOOST_AUTO_TEST_CASE(parses_a_pipeline_request) {
  auto message = make_message("/v1/pipelines/p", R"({"input":"x","deadline_ms":20,"stream":true})");
  message.set("Idempotency-Key", "k");
  const auto parsed = http::parse_caller_request(message);
  const auto& request = std::get<execution::caller_request>(parsed);
  BOOST_TEST(request.pipeline.text() == "p");
  BOOST_TEST(request.input == "x");
  BOOST_TEST(request.stream);
  BOOST_TEST(request.idempotency_key == "k");
  BOOST_CHECK(request.deadline == std::chrono::milliseconds(20));
  BOOST_TEST(request.token_sha256 ==
             "e3b98a4da31a127d4bde6e43033f66ba274cab0eb7eb1c70ec41402bf6273dd8");
}

BOOST_AUTO_TEST_CASE(an_invalid_request_is_refused_with_a_stable_code) {
  const std::string path = "/v1/pipelines/p";
  std::vector<refusal_case> cases;
  cases.push_back({make_message(path, "{"), "malformed_json"});
  cases.push_back({make_message(path, "[]"), "malformed_json"});
  cases.push_back({make_message(path, "[[[[[[[[[[[[1]]]]]]]]]]]]"), "malformed_json"});
  cases.push_back({make_message(path, "{}"), "missing_field"});
  cases.push_back({make_message(path, R"({"input":1})"), "invalid_field"});
  cases.push_back({make_message(path, R"({"input":"x","deadline_ms":"soon"})"), "invalid_field"});
  cases.push_back({make_message(path, R"({"input":"x","streem":true})"), "invalid_field"});
  cases.push_back({make_message(path, R"({"input":"x"})", ""), "missing_token"});
  cases.push_back({make_message(path, R"({"input":"x"})", "Basic t"), "missing_token"});
  cases.push_back({make_message("/v2/x", "{}"), "unknown_path"});
  auto key = make_message(path, R"({"input":"x"})");
  key.set("Idempotency-Key", std::string(300, 'k'));
  cases.push_back({key, "invalid_field"});
  auto get = make_message(path, "");
  get.method(beast_http::verb::get);
  cases.push_back({get, "method_not_allowed"});
  for (const auto& refusal : cases) {
    const auto parsed = http::parse_caller_request(refusal.request);
    const auto* refused = std::get_if<http::refused_request>(&parsed);
    BOOST_TEST_REQUIRE((refused != nullptr), refusal.code);
    BOOST_TEST(http::name_of(refused->fault) == refusal.code);
  }
}

BOOST_AUTO_TEST_SUITE_END()
