#include "example_records.h"

#include "http/answer_json.h"

namespace spurrack::fleet {
namespace {

constexpr const char* client_answer = R"(name: client-answer
deadline_ms: 3000
stages:
  - {name: encode, kind: encode, pool: encoders}
  - {name: retrieve, kind: retrieve, pool: retrievers}
  - {name: rerank, kind: rerank, pool: rerankers}
  - {name: generate, kind: generate, pool: engines, model: plain-spanish, max_tokens: 8}
)";

constexpr const char* transfer_confirmation = R"(name: transfer-confirmation
deadline_ms: 3000
stages:
  - {name: encode, kind: encode, pool: encoders}
  - {name: generate, kind: generate, pool: engines, model: plain-spanish, max_tokens: 4}
  - {name: payout-notice, kind: call, pool: payouts, repeatable: false}
)";

constexpr const char* excursion_report = R"(name: excursion-report
deadline_ms: 3000
stages:
  - {name: encode, kind: encode, pool: encoders}
  - {name: retrieve, kind: retrieve, pool: retrievers}
  - {name: rerank, kind: rerank, pool: rerankers}
  - {name: generate, kind: generate, pool: engines, model: cold-chain, max_tokens: 12}
)";

constexpr const char* officer_alert = R"(name: officer-alert
deadline_ms: 3000
stages:
  - {name: generate, kind: generate, pool: engines, model: cold-chain, max_tokens: 4}
  - {name: officer-alert, kind: call, pool: payouts, repeatable: false}
)";

std::string tenant_record(const std::string& name, const std::string& token,
                          const std::string& templates) {
  return "name: " + name + "\ntoken_sha256: " + http::sha256_hex(token) +
         "\nweight: 2\ntemplates:\n" + templates;
}

void add_backends(fleet_description& fleet, const std::string& zone) {
  for (const auto* index : {"1", "2"}) {
    const auto suffix = std::string("-") + zone + index;
    fleet.backends.push_back({"encoder" + suffix, zone, "encoders"});
    fleet.backends.push_back({"retriever" + suffix, zone, "retrievers"});
    fleet.backends.push_back({"reranker" + suffix, zone, "rerankers"});
    fleet.backends.push_back({"engine" + suffix, zone, "engines"});
  }
  fleet.backends.push_back({"payout-" + zone, zone, "payouts"});
}

} // namespace

fleet_description example_fleet(const std::vector<std::string>& zones, int nodes_per_zone) {
  fleet_description fleet;
  fleet.records = {
      {"templates/client-answer", client_answer},
      {"templates/transfer-confirmation", transfer_confirmation},
      {"templates/excursion-report", excursion_report},
      {"templates/officer-alert", officer_alert},
      {"tenants/agents",
       tenant_record("agents", agents_token,
                     "  client-answer: {priority: 6}\n  transfer-confirmation: {priority: 9}\n")},
      {"tenants/members",
       tenant_record("members", members_token,
                     "  excursion-report: {adapter: dairy}\n  officer-alert: {priority: 9}\n")}};
  for (const auto& zone : zones) {
    for (int index = 1; index <= nodes_per_zone; ++index) {
      fleet.nodes.push_back({"entry-" + zone + std::to_string(index), zone});
    }
    add_backends(fleet, zone);
  }
  return fleet;
}

} // namespace spurrack::fleet
