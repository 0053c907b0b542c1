/// Every header field that platform/names.h declares, and every field of a replica's entry in the
/// store, must be in the table of docs/design/replica-statements.md, with the decision that uses
/// the field or the reason why no decision uses it. The tests guard against a new field that is
/// silently ignored.
#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>

namespace {

std::string read_source(const std::string& path) {
  std::ifstream file(std::string(SPURRACK_SOURCE) + "/" + path);
  BOOST_REQUIRE_MESSAGE(file, path << " is missing");
  std::ostringstream content;
  content << file.rdbuf();
  return content.str();
}

std::set<std::string> matches_in(const std::string& text, const std::string& pattern) {
  const std::regex expression(pattern);
  std::set<std::string> found;
  for (auto match = std::sregex_iterator(text.begin(), text.end(), expression);
       match != std::sregex_iterator(); ++match) {
    found.insert((*match)[1]);
  }
  return found;
}

} // namespace

BOOST_AUTO_TEST_SUITE(replica_statement_table_test)

BOOST_AUTO_TEST_CASE(every_header_field_is_in_the_table) {
  const auto table = read_source("docs/design/replica-statements.md");
  // Matches the header field names of the platform: capitalized words joined by hyphens.
  const auto names =
      matches_in(read_source("platform/names.h"), "\"([A-Z][A-Za-z]*(?:-[A-Z][A-Za-z]*)+)\"");
  BOOST_TEST(names.size() >= 20U);
  for (const auto& name : names) {
    BOOST_TEST(table.find("`" + name) != std::string::npos,
               name << " is not in docs/design/replica-statements.md");
  }
}

BOOST_AUTO_TEST_CASE(every_field_of_a_replica_entry_is_in_the_table) {
  const auto table = read_source("docs/design/replica-statements.md");
  for (const std::string name : {"service", "address", "zone", "version", "slots", "state",
                                 "cold_left_ms", "sequence", "born"}) {
    BOOST_TEST(table.find("`" + name + "`") != std::string::npos, name);
  }
}

BOOST_AUTO_TEST_CASE(every_test_in_the_table_exists) {
  const auto table = read_source("docs/design/replica-statements.md");
  const std::string folders[] = {
      "replica_statements", "rate_limits", "replicas", "platform", "dispatch",
      "stage_work",         "upstream",    "engines",  "catalog",  "quarantine"};
  for (const auto& name : matches_in(table, "([a-z_]+_test)\\b")) {
    bool exists = false;
    for (const auto& folder : folders) {
      const auto file = std::filesystem::path(SPURRACK_SOURCE) / "tests" / folder / (name + ".cc");
      exists = exists || std::filesystem::exists(file);
    }
    BOOST_TEST(exists, name << " is named and does not exist");
  }
}

BOOST_AUTO_TEST_SUITE_END()
