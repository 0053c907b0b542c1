/// Accepted and refused published records. Guards against faults that do not show operators the
/// line, the field and the allowed values.
#include "model/record_parser.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

namespace {

using spurrack::model::describe;
using spurrack::model::parse_record;

/// Record that is refused.
struct refused_case {
  std::string key;
  std::string text;
  /// Part of the description of the first fault.
  std::string expected_text;
};

const std::vector<refused_case> refused_cases{
    {"templates/t", "name: t\ndeadline_ms: 10\nstages: [{name: a, kind: encode}]",
     "line 3: stages[0].pool: required field is missing"},
    {"templates/t", "name: t\ndeadline_ms: soon\nstages: [{name: a, kind: encode, pool: p}]",
     "line 2: deadline_ms: value has the wrong type (allowed: 1 to 600000)"},
    {"templates/t", "name: t\ndeadline_ms: 0\nstages: [{name: a, kind: encode, pool: p}]",
     "line 2: deadline_ms: value is out of range"},
    {"templates/t", "name: t\ndeadline_ms: 5\nstages: [{name: a, kind: enkode, pool: p}]",
     "line 3: stages[0].kind: value is not one of those allowed (allowed: encode, retrieve"},
    {"templates/t", "name: t\ndeadline_ms: 5\nstages: []", "line 3: stages: value is out of range"},
    {"templates/t",
     "name: t\ndeadline_ms: 5\nstages: [{name: a, kind: encode, pool: p}]\ndeadlin_ms: 3",
     "line 4: deadlin_ms: unknown field"},
    {"templates/t", "name: u\ndeadline_ms: 5\nstages: [{name: a, kind: encode, pool: p}]",
     "line 1: name: name does not match the key it is published under (allowed: t)"},
    {"templates/t",
     "name: t\ndeadline_ms: 5\nstages: [{name: a, kind: encode, pool: p}, {name: a, kind: encode, "
     "pool: p}]",
     "stages[1].name"},
    {"templates/t", "name: t\nname: t\ndeadline_ms: 5", "not a well-formed YAML document"},
    {"templates/t", "[1, 2]", "value has the wrong type (allowed: a mapping)"},
    {"templates/t", "{unclosed", "not a well-formed YAML document"},
    {"tenants/t", "name: t\ntoken_sha256: abc\ntemplates: {}",
     "line 2: token_sha256: value is not one of those allowed"},
    {"machines/m", "{name: m, role: backend, zone: a, address: 'x:1'}",
     "pool: required field is missing"},
    {"other/m", "{name: m}", "key is not under templates/, tenants/ or machines/"}};

} // namespace

BOOST_AUTO_TEST_SUITE(record_parser)

BOOST_AUTO_TEST_CASE(refused_records_name_line_field_and_allowed_values) {
  for (const auto& refused : refused_cases) {
    const auto result = parse_record(refused.key, refused.text);
    BOOST_TEST_CONTEXT(refused.text) {
      BOOST_TEST(!result.value.has_value());
      BOOST_TEST_REQUIRE(!result.faults.empty());
      BOOST_TEST(describe(result.faults.front()).find(refused.expected_text) != std::string::npos,
                 describe(result.faults.front()));
    }
  }
}

BOOST_AUTO_TEST_CASE(values_over_a_megabyte_are_refused) {
  const std::string large(spurrack::model::max_value_bytes + 1, 'x');
  BOOST_TEST(!parse_record("templates/t", large).value.has_value());
}

BOOST_AUTO_TEST_CASE(parameters_of_a_tenant_replace_those_of_the_template) {
  const auto pipeline = std::get<std::shared_ptr<const spurrack::model::pipeline_template>>(
      *parse_record("templates/t",
                    "name: t\ndeadline_ms: 500\nstages:\n"
                    "  - {name: a, kind: encode, pool: p}\n"
                    "  - {name: b, kind: rerank, pool: q}\n"
                    "  - {name: c, kind: generate, pool: r, model: m, max_tokens: 3}\n"
                    "  - {name: d, kind: call, pool: s}\n")
           .value);
  const auto owner = std::get<std::shared_ptr<const spurrack::model::tenant>>(
      *parse_record("tenants/o", "name: o\ntoken_sha256: " + std::string(64, 'a') +
                                     "\nweight: 3\ntemplates:\n  t: {skip_stages: [b], adapter: x, "
                                     "deadline_ms: 200, priority: 9}\n")
           .value);
  const auto plan = spurrack::model::resolve(*pipeline, *owner);
  BOOST_TEST_REQUIRE(plan.has_value());
  BOOST_TEST(plan->stages.size() == 3U);
  BOOST_TEST(plan->stages[1].adapter == "x");
  BOOST_TEST(plan->stages[1].model == "m");
  BOOST_TEST(plan->has_non_repeatable_stage());
  BOOST_TEST(plan->priority == 9);
  BOOST_CHECK(plan->deadline == std::chrono::milliseconds(200));
}

BOOST_AUTO_TEST_SUITE_END()
