/// Questions to other nodes about the software versions of a service, for the time before this node
/// knew the list of replicas.
#include "dispatch/dispatcher.h"

#include <set>
#include <string>

namespace spurrack::serving {
namespace {

/// Interval between the first two rounds of questions after a start or a gap in the list. Each
/// further interval is twice as long.
constexpr base::duration first_question_interval = std::chrono::seconds(1);

} // namespace

std::set<std::string> dispatcher::services_with_short_evidence(base::time_point now) const {
  std::set<std::string> services;
  for (const auto& [host, routes] : configuration_->routes_by_host) {
    for (const auto& route : routes) {
      if (route->resumable) {
        for (const auto& target : route->services) {
          services.insert(target.service);
        }
      }
    }
  }
  std::erase_if(services, [&](const std::string& service) {
    const auto sole = version_evidence_of(service, now).sole;
    return !sole || sole->since <= now - streams::max_stream_age;
  });
  return services;
}

void dispatcher::ask_for_versions(base::time_point now) {
  const auto unbroken_since = list_coverage_.unbroken_since();
  if (!configuration_ || !unbroken_since) {
    return;
  }
  if (version_questions_.unbroken_since != *unbroken_since) {
    version_questions_ = {*unbroken_since, now, first_question_interval, {}};
  }
  if (now < version_questions_.next_round_at) {
    return;
  }
  version_questions_.next_round_at = now + version_questions_.interval;
  version_questions_.interval *= 2;
  for (const auto& service : services_with_short_evidence(now)) {
    // A stream that nobody has begun: the queried nodes answer with what they know of the versions.
    const auto no_stream = base::digest::of(
        {self_.node.text(), service, std::to_string(now.time_since_epoch().count())});
    version_questions_.service_by_question[no_stream] = service;
    if (const auto finding = origins_.look_up(no_stream, service, base::time_point{}, now)) {
      apply_version_answers(no_stream, *finding, now);
    }
  }
}

bool dispatcher::apply_version_answers(const streams::stream_key& question,
                                       const streams::origin_finding& finding,
                                       base::time_point now) {
  const auto asked = version_questions_.service_by_question.find(question);
  if (asked == version_questions_.service_by_question.end()) {
    return false;
  }
  const auto service = asked->second;
  version_questions_.service_by_question.erase(asked);
  const auto published = replicas_.versions().published(service);
  const bool agrees =
      finding.sole && !finding.peers_know_several_versions && published.size() == 1 &&
      finding.sole->version == published.front() &&
      version_questions_.unbroken_since - finding.sole->through <= list_coverage::max_gap;
  if (agrees) {
    inherited_versions_.adopt(service, *finding.sole, version_questions_.unbroken_since);
    record_(base::event_kind::knowledge_confirmed, {}, service,
            "other nodes know version " + finding.sole->version.text() + " alone for " +
                std::to_string(base::to_milliseconds(now - finding.sole->since)) + " ms, " +
                std::to_string(finding.answered) + " of " + std::to_string(finding.queried) +
                " answered");
  }
  return true;
}

} // namespace spurrack::serving
