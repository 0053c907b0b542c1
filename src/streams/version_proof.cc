#include "streams/version_proof.h"

namespace spurrack::streams {
namespace {

/// @return whether this node or a queried one knows of a version other than the published one.
bool is_second_version_known(const version_case& known) {
  const auto& finding = known.finding;
  const auto is_other = [&](const base::software_version& version) {
    return !known.published.empty() && version != known.published.front();
  };
  return known.own.knowledge == version_knowledge::several || finding.is_contradictory ||
         finding.peers_know_several_versions || known.published.size() > 1 ||
         (finding.sole && is_other(finding.sole->version)) ||
         (finding.unbound_origin && is_other(finding.unbound_origin->version));
}

/// @return whether the list of this node shows no other version since the stream may have begun. A
///         list that is too old is known without a gap only from its next confirmation on.
bool reaches_back(const version_case& known) {
  return known.own.knowledge != version_knowledge::outdated && known.own.sole &&
         known.own.sole->since <= known.earliest_begin;
}

/// @return whether the list of another node does, up to the time since which this node's list does.
bool is_bridged_by_other_nodes(const version_case& known) {
  const auto& sole = known.finding.sole;
  return sole && sole->since <= known.earliest_begin &&
         (!known.unbroken_since || *known.unbroken_since - sole->through <= known.max_gap);
}

} // namespace

version_verdict judge(const version_case& known) {
  if (known.is_route_split) {
    return version_verdict::several_services;
  }
  if (is_second_version_known(known)) {
    return version_verdict::several_versions;
  }
  const bool is_own_proof = reaches_back(known);
  if (known.published.empty() || (!is_own_proof && !is_bridged_by_other_nodes(known))) {
    return version_verdict::begun_too_early;
  }
  if (!known.verified_at || *known.verified_at < known.lost_by) {
    return version_verdict::needs_verified_list;
  }
  return is_own_proof ? version_verdict::proven_by_own_list
                      : version_verdict::proven_by_other_nodes;
}

const char* text_of(version_verdict verdict) {
  switch (verdict) {
  case version_verdict::proven_by_own_list:
    return "proven by this node's list";
  case version_verdict::proven_by_other_nodes:
    return "proven by other nodes' lists";
  case version_verdict::needs_verified_list:
    return "the list is not verified since the client lost the stream";
  case version_verdict::several_services:
    return "another service may have begun it";
  case version_verdict::several_versions:
    return "another version may have begun it";
  case version_verdict::begun_too_early:
    return "begun before one version alone was known";
  }
  return "";
}

} // namespace spurrack::streams
