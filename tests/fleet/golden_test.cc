/// Runs a session (a few requests to a new fleet) for each example user and compares it with a
/// golden file: the bytes that the caller sends and receives, and the timeline of the node. Ids,
/// tickets, durations, lengths and names of back ends are normalised. `SPURRACK_UPDATE_GOLDEN=1`
/// rewrites the golden files. Also tests the exit codes of spurrackctl.
#include "fleet_fixture.h"

#include <fstream>
#include <regex>
#include <sstream>

namespace {

using namespace spurrack::fleet;

struct session_step {
  std::string pipeline;
  std::string input;
  bool stream = false;
  /// Whether the request carries a ticket, the permission of a node to run the request once.
  bool has_ticket = false;
};

/// Replaces the parts of a session that differ between test runs, such as ids, by fixed words.
std::string normalise(std::string text) {
  static const std::vector<std::pair<std::regex, std::string>> rules{
      {std::regex("entry-north1-[0-9a-f]+-([0-9]+)"), "REQUEST-$1"},
      {std::regex("entry-north1~[0-9a-f]+~[0-9a-f]+"), "TICKET"},
      {std::regex("\"(backend_ms|wasted_ms)\":[-+.0-9E]+"), "\"$1\":TIME"},
      {std::regex("(engine|encoder|retriever|reranker)-north[0-9]"), "$1-ANY"},
      // The Content-Length of an answer depends on the number of digits of the durations in it.
      {std::regex("Content-Length: [0-9]+"), "Content-Length: LENGTH"},
      {std::regex("\r"), ""}};
  for (const auto& [pattern, replacement] : rules) {
    text = std::regex_replace(text, pattern, replacement);
  }
  return text;
}

std::string request_bytes(const std::string& target, const std::string& token,
                          const std::string& extra, const std::string& body) {
  return "POST " + target + " HTTP/1.1\r\nHost: spurrack\r\nAuthorization: Bearer " + token +
         "\r\n" + extra + "Connection: close\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

/// Sends bytes to the caller listener of the node entry-north1. Appends the sent and the received
/// bytes to `session`.
/// @return the received bytes.
std::string exchange_and_log(const local_fleet& fleet, const std::string& bytes,
                             std::ostream& session) {
  auto answer = exchange_raw(fleet.addresses("entry-north1").callers, bytes,
                             std::chrono::milliseconds(10'000));
  session << ">>> caller\n" << bytes << "\n<<< spurrackd\n" << answer << "\n";
  return answer;
}

/// @return the events in the timeline of the node entry-north1 that name a request, one per line.
std::string format_timeline(const local_fleet& fleet) {
  std::ostringstream lines;
  const auto document = fleet.get_document("entry-north1", "/v1/timeline");
  for (const auto& item : document.at("events").as_array()) {
    const auto& event = item.as_object();
    if (!string_field(event, "request_id").empty()) {
      lines << string_field(event, "event") << " " << string_field(event, "request_id") << " "
            << string_field(event, "subject") << " " << string_field(event, "detail") << "\n";
    }
  }
  return lines.str();
}

/// Runs a session on a new fleet and compares it with the golden file `name`.
void check_session(const std::string& name, const std::string& token,
                   const std::vector<session_step>& steps) {
  local_fleet fleet(binaries(), example_fleet({"north"}, 1));
  fleet.start_all_nodes();
  std::ostringstream session;
  for (const auto& step : steps) {
    std::string extra;
    if (step.has_ticket) {
      const auto issued =
          exchange_and_log(fleet, request_bytes("/v1/tickets", token, "", ""), session);
      const auto body = boost::json::parse(issued.substr(issued.find("\r\n\r\n") + 4)).as_object();
      extra = "Spurrack-Ticket: " + string_field(body, "ticket") + "\r\n";
    }
    const boost::json::object body{{"input", step.input}, {"stream", step.stream}};
    exchange_and_log(
        fleet,
        request_bytes("/v1/pipelines/" + step.pipeline, token, extra, boost::json::serialize(body)),
        session);
  }
  session << "--- time line\n" << format_timeline(fleet);
  const auto path = std::string(SPURRACK_SOURCE) + "/tests/fleet/" + name + ".golden.txt";
  const auto actual = normalise(session.str());
  if (std::getenv("SPURRACK_UPDATE_GOLDEN") != nullptr) {
    std::ofstream(path) << actual;
  }
  std::ifstream file(path);
  std::ostringstream expected;
  expected << file.rdbuf();
  BOOST_TEST(actual == expected.str());
}

} // namespace

BOOST_AUTO_TEST_SUITE(golden_sessions)

BOOST_AUTO_TEST_CASE(session_of_the_remittance_house_matches_its_golden_file) {
  check_session("remittance_house", agents_token,
                {{"client-answer", "donde esta mi giro", false, false},
                 {"client-answer", "y el de mi madre", true, false},
                 {"transfer-confirmation", "giro 4711", false, true},
                 {"excursion-report", "not ours", false, false}});
}

BOOST_AUTO_TEST_CASE(session_of_the_cold_chain_association_matches_its_golden_file) {
  check_session("cold_chain_association", members_token,
                {{"excursion-report", "probe 12", false, false},
                 {"officer-alert", "store 3 at 11 C", false, true},
                 {"excursion-report", "probe 13", true, false}});
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(command_line_tool)

BOOST_AUTO_TEST_CASE(exit_codes_distinguish_failures) {
  local_fleet fleet(binaries(), example_fleet({"north"}, 1));
  fleet.start_all_nodes();
  const auto& operators = fleet.addresses("entry-north1").operators;
  const auto folder = fleet.folder() / "templates";
  std::filesystem::create_directories(folder);
  std::ofstream(folder / "good.yaml")
      << "name: good\ndeadline_ms: 5\nstages: [{name: a, kind: encode, pool: p}]\n";
  std::ofstream(folder / "bad.yaml") << "name: bad\ndeadline_ms: 5\n";
  const auto run = [&](const std::vector<std::string>& arguments) {
    return child_process(binaries() / "spurrackctl", arguments, fleet.folder() / "ctl.log",
                         output::to_log)
        .wait();
  };
  BOOST_TEST(run({"check", folder / "good.yaml", fleet.folder() / "entry-north1.yaml"}) == 0);
  BOOST_TEST(run({"check", folder / "good.yaml", folder / "bad.yaml"}) == 1);
  BOOST_TEST(run({"check", folder / "missing.yaml"}) == 2);
  BOOST_TEST(run({"fly"}) == 2);
  BOOST_TEST(run({"--nodes", "127.0.0.1:1", "status"}) == 3);
  for (const auto* command : {"status", "nodes", "backends", "templates", "costs", "timeline"}) {
    BOOST_TEST(run({"--nodes", operators, command}) == 0, command);
    BOOST_TEST(run({"--nodes", operators, "--output", "json", command}) == 0, command);
  }
  fleet.publish({{"templates/bad", "{name: bad}"}});
  BOOST_TEST(local_fleet::wait_until([&] { return run({"--nodes", operators, "status"}) == 1; }));
}

BOOST_AUTO_TEST_SUITE_END()
