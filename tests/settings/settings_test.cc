/// Parsing of the daemon's settings. Guards against a process that starts with invalid settings.
#include "settings/settings.h"

#include <boost/test/unit_test.hpp>

namespace {

using spurrack::model::describe;
using spurrack::settings::parse_settings;

const std::string minimal_settings =
    "node: n\nzone: a\npeer_listen: 127.0.0.1:1\ncaller_listen: 127.0.0.1:2\n"
    "operator_listen: 127.0.0.1:3\nplatform: {configuration: 127.0.0.1:4, "
    "machine_list: 127.0.0.1:5}\n";

/// Removes the caller listener and the platform section, which the settings of a node that serves
/// published routes lack.
std::string without_caller_interface(std::string text) {
  text.erase(text.find("caller_listen"), text.find("operator_listen") - text.find("caller_listen"));
  text.erase(text.find("platform"), text.find("serving") - text.find("platform"));
  return text;
}

struct invalid_case {
  std::string addition;
  std::string expected_text;
};

const std::vector<invalid_case> invalid_cases{
    {"colour: red\n", "line 7: colour: unknown field"},
    {"curve: {public_key: abc, secret_key: abc}\n", "curve.public_key"},
    {"idempotency: {key_lifetime_ms: 5}\n", "idempotency.key_lifetime_ms: value is out of range"},
    {"idempotency: {key_lifetime_ms: 5000, list_window_ms: 2000}\n", "at least key_lifetime_ms"},
    {"scheduling: {policy: best}\n", "scheduling.policy: value is not one of those allowed"},
    {"membership: {probe_period_ms: 100, acknowledgement_timeout_ms: 200}\n",
     "less than probe_period_ms"},
    {"callers: {max_body_bytes: many}\n", "callers.max_body_bytes: value has the wrong type"},
    {"seeds: [nowhere]\n", "a list of IP:port"}};

} // namespace

BOOST_AUTO_TEST_SUITE(daemon_settings)

BOOST_AUTO_TEST_CASE(minimal_and_full_files_are_parsed) {
  BOOST_TEST(parse_settings(minimal_settings).value.has_value());
  BOOST_TEST(parse_settings(minimal_settings + "seeds:\n").value.has_value());
  const auto full = parse_settings(
      minimal_settings +
      "peer_advertise: 10.0.0.1:7\nseeds: [10.0.0.2:7]\nidempotency: {key_lifetime_ms: "
      "2000, list_window_ms: 4000}\nscheduling: {policy: power_of_two, predict: false}\n");
  BOOST_TEST_REQUIRE(full.value.has_value());
  BOOST_TEST(full.value->node.self.address.text() == "10.0.0.1:7");
  BOOST_CHECK(full.value->node.guard.key_lifetime == std::chrono::seconds(2));
  BOOST_TEST(!full.value->node.scheduling.refuse_expected_late);
}

BOOST_AUTO_TEST_CASE(resource_limits_are_parsed) {
  const std::string serving =
      minimal_settings +
      "serving: {listen: 127.0.0.1:6, readiness_listen: 127.0.0.1:7, store: 127.0.0.1:8";
  const auto default_result = parse_settings(without_caller_interface(serving) + "}\n");
  BOOST_TEST_REQUIRE(default_result.value.has_value());
  BOOST_TEST(default_result.value->node.serving->resources.memory_bytes == 160'000'000U);
  const auto explicit_result = parse_settings(without_caller_interface(serving) +
                                              ", memory_mb: 512.0, max_descriptors: 8192}\n");
  BOOST_TEST_REQUIRE(explicit_result.value.has_value());
  BOOST_TEST(explicit_result.value->node.serving->resources.memory_bytes == 512'000'000U);
  BOOST_TEST(explicit_result.value->node.serving->resources.descriptors == 8'192U);
  const auto invalid = parse_settings(without_caller_interface(serving) + ", memory_mb: 8}\n");
  BOOST_TEST_REQUIRE(!invalid.faults.empty());
  BOOST_TEST(describe(invalid.faults.front()).find("memory_mb: value is out of range") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(invalid_settings_are_refused_with_line_and_allowed_values) {
  for (const auto& invalid : invalid_cases) {
    const auto result = parse_settings(minimal_settings + invalid.addition);
    BOOST_TEST_CONTEXT(invalid.addition) {
      BOOST_TEST(!result.value.has_value());
      BOOST_TEST_REQUIRE(!result.faults.empty());
      BOOST_TEST(describe(result.faults.front()).find(invalid.expected_text) != std::string::npos,
                 describe(result.faults.front()));
    }
  }
  BOOST_TEST(parse_settings("").faults.size() == 1U);
  BOOST_TEST(parse_settings("{}").faults.size() >= 6U);
}

BOOST_AUTO_TEST_SUITE_END()
