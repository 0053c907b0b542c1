/// Codec for the platform's HTTP messages: decodes requests and answers, encodes calls.
#include "http_codec.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace spurrack;
using serving::header_list;

namespace {

serving::raw_request raw_with(header_list extra) {
  serving::raw_request raw;
  raw.method = "POST";
  raw.target = "/a/b?x=1";
  raw.headers = {{"Host", "H.example:80"}, {"X-Request-Id", "abc"}, {"Accept", "*/*"}};
  std::move(extra.begin(), extra.end(), std::back_inserter(raw.headers));
  return raw;
}

serving::request_content read(header_list extra) {
  const auto codec = platform::make_http_codec();
  return std::get<serving::request_content>(codec->read_request(raw_with(std::move(extra))));
}

std::string fault_of(header_list extra) {
  const auto codec = platform::make_http_codec();
  const auto result = codec->read_request(raw_with(std::move(extra)));
  const auto* bad = std::get_if<serving::bad_request>(&result);
  return bad == nullptr ? "" : bad->reason;
}

std::string value_of(const header_list& headers, const std::string& name) {
  const auto found = std::find_if(headers.begin(), headers.end(),
                                  [&](const serving::header& field) { return field.name == name; });
  return found == headers.end() ? "" : found->value;
}

} // namespace

BOOST_AUTO_TEST_SUITE(http_codec_test)

BOOST_AUTO_TEST_CASE(request_fields_are_decoded) {
  const auto content = read({{"X-Deadline-Ms", "900"},
                             {"Authorization", "Token k1"},
                             {"X-Model", "m"},
                             {"X-Token-Count", "1460,80"},
                             {"X-Prompt-Prefix", "5c:800,91:410"},
                             {"X-Pieces", "2,0,3"},
                             {"X-Piece-Key", "pk"},
                             {"Last-Event-Id", "12"}});
  BOOST_TEST(content.host == "h.example");
  BOOST_TEST(content.path == "/a/b");
  BOOST_TEST(content.target == "/a/b?x=1");
  BOOST_TEST(content.id.text() == "abc");
  BOOST_TEST(content.api_key == "k1");
  BOOST_TEST(base::to_milliseconds(*content.time_allowed) == 900);
  BOOST_TEST(content.prompt_tokens == 1460);
  BOOST_TEST(content.output_tokens == 80);
  BOOST_REQUIRE(content.prompt_parts.size() == 2);
  BOOST_TEST(content.prompt_parts[1].tokens == 410);
  BOOST_TEST(content.pieces == (std::vector<std::uint32_t>{2, 0, 3}),
             boost::test_tools::per_element());
  BOOST_TEST(content.piece_key == "pk");
  BOOST_TEST(content.resume_after.value() == 12);
}

BOOST_AUTO_TEST_CASE(passes_on_what_is_not_the_systems) {
  const auto content = read({{"Authorization", "Token k1"},
                             {"X-Tenant", "forged"},
                             {"X-Expect-Replica", "forged"},
                             {"x-inputs", "forged"},
                             {"X-Request-Urgency", "0"},
                             {"Connection", "close, X-Hop"},
                             {"X-Hop", "1"},
                             {"Keep-Alive", "timeout=3"},
                             {"Content-Length", "3"},
                             {"Transfer-Encoding", "chunked"},
                             {"X-Other", "kept"}});
  const auto& headers = content.headers;
  BOOST_TEST(value_of(headers, "X-Other") == "kept");
  BOOST_TEST(value_of(headers, "X-Request-Id") == "abc");
  BOOST_TEST(value_of(headers, "Host") == "H.example:80");
  for (const auto* name :
       {"Authorization", "X-Tenant", "X-Expect-Replica", "x-inputs", "X-Request-Urgency",
        "Connection", "X-Hop", "Keep-Alive", "Content-Length", "Transfer-Encoding"}) {
    BOOST_TEST(value_of(headers, name).empty(), name);
  }
}

BOOST_AUTO_TEST_CASE(malformed_fields_are_refused_with_a_reason) {
  for (const auto& field : header_list{{"X-Deadline-Ms", "soon"},
                                       {"X-Deadline-Ms", "-1"},
                                       {"X-Token-Count", "5"},
                                       {"X-Token-Count", "5,x"},
                                       {"X-Prompt-Prefix", "5c"},
                                       {"X-Prompt-Prefix", "5c:many"},
                                       {"X-Pieces", "1,,2"},
                                       {"X-Pieces", "1.5"},
                                       {"Last-Event-Id", "x"},
                                       {"X-Request-Id", "second"},
                                       {"Host", "second"}}) {
    BOOST_TEST(!fault_of({field}).empty(), field.name + ": " + field.value);
  }
  serving::raw_request without_id;
  without_id.headers = {{"Host", "h"}};
  BOOST_TEST(platform::make_http_codec()->read_request(without_id).index() == 1);
}

BOOST_AUTO_TEST_CASE(call_carries_time_left_and_expected_replica) {
  serving::start_call call;
  call.target = {base::replica_id("i-1"), base::network_address("10.0.0.1:80")};
  call.content = std::make_shared<serving::request_content>(
      read({{"X-Deadline-Ms", "900"}, {"Last-Event-Id", "3"}}));
  call.time_left = std::chrono::milliseconds(450);
  call.tenant = "t";
  call.resume_after = 7;
  call.urgency = 2;
  call.inputs = {"a/1", "b/2"};
  const auto encoded = platform::make_http_codec()->encode(call);
  BOOST_TEST(encoded.method == "POST");
  BOOST_TEST(encoded.target == "/a/b?x=1");
  BOOST_TEST(value_of(encoded.headers, "X-Deadline-Ms") == "450");
  BOOST_TEST(value_of(encoded.headers, "X-Expect-Replica") == "i-1");
  BOOST_TEST(value_of(encoded.headers, "X-Tenant") == "t");
  BOOST_TEST(value_of(encoded.headers, "Last-Event-Id") == "7");
  BOOST_TEST(value_of(encoded.headers, "X-Request-Urgency") == "2");
  BOOST_TEST(value_of(encoded.headers, "X-Inputs") == "a/1,b/2");
}

/// The field means something only with the mark of a request that is passed on, and replicas do not
/// get it.
BOOST_AUTO_TEST_CASE(a_request_that_is_passed_on_takes_its_attempts_along) {
  const auto codec = platform::make_http_codec();
  serving::start_call call;
  call.content = std::make_shared<serving::request_content>(read({}));
  call.passes_on = true;
  call.attempts_left = 3;
  const auto encoded = codec->encode(call);
  BOOST_TEST(value_of(encoded.headers, "X-Passed-On") == "1");
  BOOST_TEST(value_of(encoded.headers, "X-Attempts-Left") == "3");
  const auto passed_on = read({{"X-Passed-On", "1"}, {"X-Attempts-Left", "3"}});
  BOOST_TEST(passed_on.was_passed_on);
  BOOST_TEST(passed_on.attempts_left.value() == 3U);
  BOOST_TEST(value_of(passed_on.headers, "X-Attempts-Left").empty());
  BOOST_TEST(!read({{"X-Passed-On", "1"}}).attempts_left.has_value());
  BOOST_TEST(!read({{"X-Attempts-Left", "0"}}).attempts_left.has_value());
  BOOST_TEST(!fault_of({{"X-Passed-On", "1"}, {"X-Attempts-Left", "many"}}).empty());
}

BOOST_AUTO_TEST_CASE(answer_head_and_self_report_are_decoded) {
  const auto codec = platform::make_http_codec();
  const serving::raw_answer raw{200,
                                {{"X-Request-Id", "abc"},
                                 {"x-response-seal", "s"},
                                 {"X-Replica-Load", "3,1,8"},
                                 {"Connection", "close"},
                                 {"Content-Length", "2"},
                                 {"Content-Type", "text/plain"}}};
  const auto head = codec->read_answer(raw);
  const auto report = codec->read_self_report(raw).value();
  BOOST_TEST(head.sealed);
  BOOST_TEST(!head.not_executed);
  BOOST_TEST(report.closes_connection);
  BOOST_REQUIRE(report.load.has_value());
  BOOST_TEST(report.load->running == 3);
  BOOST_TEST(report.load->slots == 8);
  BOOST_TEST(value_of(head.headers, "x-response-seal") == "s");
  BOOST_TEST(value_of(head.headers, "Content-Type") == "text/plain");
  BOOST_TEST(value_of(head.headers, "Connection").empty());
  BOOST_TEST(value_of(head.headers, "Content-Length").empty());
  BOOST_TEST(codec->read_answer({503, {{"X-Not-Executed", "1"}}}).not_executed);
  BOOST_TEST(codec->read_answer({421, {}}).misdirected);
  BOOST_TEST(codec->read_answer({200, {{"Content-Encoding", "gzip"}}}).encoded);
}

BOOST_AUTO_TEST_CASE(load_values_after_the_third_are_ignored) {
  const auto codec = platform::make_http_codec();
  for (const std::string text : {"3,1,8", "3, 1, 8", "3,1,8,", "3,1,8,100", "3,1,8,soon",
                                 "3,1,8,-5", "3,1,8,1e99,7,x", "3,1,8,99999999999999999999"}) {
    const auto head = codec->read_self_report({200, {{"X-Replica-Load", text}}}).value();
    BOOST_TEST_CONTEXT(text) {
      BOOST_REQUIRE(head.load.has_value());
      BOOST_TEST(head.load->running == 3);
      BOOST_TEST(head.load->waiting == 1);
      BOOST_TEST(head.load->slots == 8);
      BOOST_TEST(!head.is_load_unreadable);
    }
  }
}

BOOST_AUTO_TEST_CASE(unparsable_load_is_marked_unreadable) {
  const auto codec = platform::make_http_codec();
  for (const std::string text :
       {"", " ", ",", ",,", "3", "3,1", "many,1,8", "3,-1,8", "3,1,8.5", "3;1;8", "+3,1,8",
        "99999999999,1,8", "4000000000,1,8", "3,100001,8", "3 1 8", "nan,0,8"}) {
    const auto head = codec->read_self_report({200, {{"X-Replica-Load", text}}}).value();
    BOOST_TEST_CONTEXT(text) {
      BOOST_TEST(!head.load.has_value());
      BOOST_TEST(head.is_load_unreadable);
    }
  }
  const auto no_report = codec->read_self_report({200, {}}).value();
  BOOST_TEST(!no_report.load.has_value());
  BOOST_TEST(!no_report.is_load_unreadable);
}

BOOST_AUTO_TEST_CASE(announced_limit_is_parsed_or_marked_unreadable) {
  const auto codec = platform::make_http_codec();
  const auto limit_of = [&](const std::string& text) {
    return codec->read_self_report({200, {{"Server-Limit", text}}}).value().limit;
  };
  for (const auto& [text, value] : std::vector<std::pair<std::string, double>>{
           {"0", 0}, {"0.2", 0.2}, {"1", 1}, {" 3.5 ", 3.5}, {"1000", 1000}}) {
    BOOST_TEST(limit_of(text).per_second.value_or(-1) == value, text);
    BOOST_TEST(!limit_of(text).is_unreadable, text);
  }
  for (const std::string text :
       {"", " ", "few", "-1", "nan", "inf", "-inf", "1e300", "1,2", "1 2", "0x10"}) {
    BOOST_TEST(!limit_of(text).per_second, text);
    BOOST_TEST(limit_of(text).is_unreadable, text);
  }
  const auto repeated_field =
      codec->read_self_report({200, {{"Server-Limit", "1"}, {"Server-Limit", "2"}}}).value();
  BOOST_TEST(repeated_field.limit.is_unreadable);
  // Status 421: another process has the address, so the answer reports nothing of the replica.
  BOOST_TEST(!codec->read_self_report({421, {{"Server-Limit", "3"}}}).has_value());
  const auto no_report = codec->read_self_report({200, {}}).value();
  BOOST_TEST(!no_report.limit.is_unreadable);
  BOOST_TEST(!no_report.limit.per_second);
  const auto head = codec->read_answer({200, {{"Server-Limit", "1"}, {"A", "b"}}});
  BOOST_TEST(value_of(head.headers, "Server-Limit").empty());
  BOOST_TEST(value_of(head.headers, "A") == "b");
}

BOOST_AUTO_TEST_CASE(cold_time_is_parsed_and_defaults_to_zero) {
  const auto codec = platform::make_http_codec();
  const auto cold_for = [&](const std::string& text) {
    return base::to_milliseconds(
        codec->read_self_report({200, {{"X-Cold-Ms", text}}}).value().cold_for);
  };
  BOOST_TEST(cold_for("2500") == 2500);
  BOOST_TEST(cold_for("-1") == 0);
  BOOST_TEST(cold_for("soon") == 0);
  BOOST_TEST(base::to_milliseconds(codec->read_self_report({200, {}}).value().cold_for) == 0);
}

BOOST_AUTO_TEST_CASE(drain_announcement_is_read_from_any_status) {
  const auto codec = platform::make_http_codec();
  const auto read = [&](unsigned status, const header_list& headers) {
    return codec->read_self_report({status, headers}).value();
  };
  for (const unsigned status : {200U, 204U, 409U, 429U, 500U, 503U}) {
    BOOST_TEST(read(status, {{"Server-Leaving", "1"}}).is_draining, status);
  }
  BOOST_TEST(read(200, {{"server-leaving", " 1 "}}).is_draining);
  BOOST_TEST(read(200, {{"Server-Leaving", "1"}, {"Server-Leaving", "1"}}).is_draining);
  for (const std::string text : {"", " ", "0", "yes", "-1", "1.0", "1e300", "true"}) {
    const auto report = read(200, {{"Server-Leaving", text}});
    BOOST_TEST(!report.is_draining, text);
    BOOST_TEST(report.is_drain_unreadable, text);
  }
  BOOST_TEST(!read(200, {}).is_draining);
  BOOST_TEST(!read(200, {}).is_drain_unreadable);
  const auto head = codec->read_answer({200, {{"Server-Leaving", "1"}, {"A", "b"}}});
  BOOST_TEST(value_of(head.headers, "Server-Leaving").empty());
  BOOST_TEST(value_of(head.headers, "A") == "b");
}

BOOST_AUTO_TEST_CASE(a_503_names_the_time_in_which_its_replica_wants_nothing) {
  const auto codec = platform::make_http_codec();
  const auto backoff_of = [&](unsigned status, const header_list& headers) {
    return codec->read_self_report({status, headers}).value().backoff;
  };
  const auto seconds_of = [&](const std::string& text) {
    const auto span = backoff_of(503, {{"Retry-After", text}}).duration;
    return span ? base::to_seconds(*span) : -1;
  };
  for (const auto& [text, value] : std::vector<std::pair<std::string, double>>{
           {"0", 0}, {"0.05", 0.05}, {"3", 3}, {" 3 ", 3}, {"120", 120}, {"2.75", 2.75}}) {
    BOOST_TEST(seconds_of(text) == value, boost::test_tools::tolerance(1e-9));
  }
  // A backoff above the maximum is reduced to the maximum, which exceeds the time that any client
  // waits and can be added to a time point.
  BOOST_TEST(seconds_of("1e300") >= 86'400.0);
  for (const std::string text : {"", " ", "soon", "-1", "nan", "inf", "-inf", "3 s", "1,2",
                                 "Thu, 03 Dec 2026 09:00:00 GMT"}) {
    const auto backoff = backoff_of(503, {{"Retry-After", text}});
    BOOST_TEST(!backoff.duration, text);
    BOOST_TEST(backoff.is_unreadable, text);
  }
  BOOST_TEST(backoff_of(503, {{"Retry-After", "1"}, {"Retry-After", "2"}}).is_unreadable);
  BOOST_TEST(!backoff_of(503, {}).duration);
  BOOST_TEST(!backoff_of(503, {}).is_unreadable);
  for (const unsigned status : {200U, 429U, 500U}) {
    BOOST_TEST(!backoff_of(status, {{"Retry-After", "3"}}).duration, status);
    BOOST_TEST(!backoff_of(status, {{"Retry-After", "soon"}}).is_unreadable, status);
  }
  // A backoff is also read from an answer that reports the request as not executed.
  BOOST_TEST(backoff_of(503, {{"Retry-After", "3"}, {"X-Not-Executed", "1"}}).duration.has_value());
  // The field is forwarded to the client.
  const auto head = codec->read_answer({503, {{"Retry-After", "3"}}});
  BOOST_TEST(value_of(head.headers, "Retry-After") == "3");
}

BOOST_AUTO_TEST_CASE(free_results_call_names_the_producing_replica) {
  const auto codec = platform::make_http_codec();
  const auto encoded = codec->encode(
      serving::free_results{{base::replica_id("i-1"), base::network_address("10.0.0.1:80")},
                            {"10.0.0.1:80/h"}},
      "n7");
  BOOST_TEST(encoded.target == "/stage-free");
  BOOST_TEST(value_of(encoded.headers, "X-Request-Id") == "n7");
  BOOST_TEST(value_of(encoded.headers, "X-Expect-Replica") == "i-1");
}

BOOST_AUTO_TEST_CASE(pieces_are_encoded_and_decoded_in_order) {
  const auto codec = platform::make_http_codec();
  serving::start_stage_call call;
  call.target = {base::replica_id("i-1"), base::network_address("10.0.0.1:80")};
  call.items = {{base::request_id("a"), 0, 2, std::chrono::milliseconds(900), "key", {}},
                {base::request_id("b"), 2, 0, std::chrono::milliseconds(800), "", {"h/1", "h/2"}}};
  const auto encoded = codec->encode(call, "n8");
  BOOST_TEST(encoded.target == "/stage-run");
  BOOST_TEST(value_of(encoded.headers, "X-Request-Id") == "n8");
  BOOST_TEST(encoded.body ==
             R"({"items":[{"id":"a","stage":0,"piece":2,"remaining_ms":900,"tls_key":"key"},)"
             R"({"id":"b","stage":2,"piece":0,"remaining_ms":800,"inputs":["h/1","h/2"]}]})");
  const auto pieces = codec->read_pieces(call, R"({"items":[{"handle":"x/1"},{"reason":"gone"}]})");
  BOOST_REQUIRE(pieces.has_value());
  BOOST_TEST(pieces->at(0).handle == "x/1");
  BOOST_TEST((pieces->at(1).fault == serving::piece_fault::input_gone));
  BOOST_TEST(!codec->read_pieces(call, R"({"items":[{"handle":"x/1"}]})").has_value());
  BOOST_TEST(!codec->read_pieces(call, "not json").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
