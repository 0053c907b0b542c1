#include "daemon/operator_documents.h"

#include "node/node_roles.h"

#include <boost/json.hpp>

#include <array>

namespace spurrack::daemon {
namespace {

namespace json = boost::json;

double milliseconds(base::duration span) {
  constexpr double thousand = 1e3;
  return base::to_seconds(span) * thousand;
}

json::value age_of(const std::optional<base::time_point>& at, base::time_point now) {
  if (!at) {
    return nullptr;
  }
  return base::to_milliseconds(now - *at);
}

/// Returns the age of what a node knows of a platform service, in milliseconds; null if it is
/// unknown. A node that serves no published routes learns the age only from its own reads.
json::value knowledge_age(const node::node& subject, node::source_kind source,
                          base::time_point now) {
  const auto& confirmed = subject.knowledge(source).confirmed();
  return confirmed ? age_of(confirmed->at, now)
                   : age_of(subject.watch(source).last_answer_at(), now);
}

json::object knowledge_document(const node::node& subject, node::source_kind source,
                                base::time_point now) {
  const auto& known = subject.knowledge(source);
  json::object body{{"era", known.known_through().era},
                    {"revision", known.known_through().revision},
                    {"behind", known.is_behind()},
                    {"overdue", subject.is_knowledge_overdue(source, now)}};
  body["age_ms"] = known.confirmed() ? age_of(known.confirmed()->at, now) : json::value(nullptr);
  body["confirmed_by"] =
      known.confirmed() ? json::value(known.confirmed()->reader) : json::value(nullptr);
  const auto until_turn = subject.time_until_own_turn(source, now);
  body["own_turn_in_ms"] =
      until_turn ? json::value(base::to_milliseconds(*until_turn)) : json::value(nullptr);
  body["own_read_unanswered_ms"] = age_of(subject.turns(source).open_attempt(), now);
  return body;
}

json::object calls_document(const catalog::service_calls& calls) {
  return {{"listings", calls.listings},
          {"watches", calls.watches},
          {"begun_anew", calls.restarted_watches},
          {"probes", calls.probes}};
}

json::object status_document(const node::node& subject, base::time_point now) {
  const auto& content = subject.published_catalog();
  json::object body;
  body["node"] = subject.settings().self.node.text();
  body["zone"] = subject.settings().self.zone.text();
  body["ready"] = subject.is_ready();
  body["stopping"] = subject.is_stopping();
  const auto* serving = subject.serving();
  body["active_requests"] =
      subject.executor().active_requests() + (serving ? serving->active_requests() : 0);
  if (const auto published = content.serving()) {
    body["serving_configuration"] = published->version;
    body["replicas"] = content.replicas().size();
  }
  body["waiting_calls"] = subject.scheduler().waiting_requests();
  body["may_witness"] = subject.guard().may_witness(now);
  body["configuration_hash"] = std::to_string(content.content_hash());
  body["highest_revision"] = content.highest_revision();
  body["store_era"] = content.era();
  body["configuration_age_ms"] = knowledge_age(subject, node::source_kind::configuration, now);
  body["machine_list_age_ms"] = knowledge_age(subject, node::source_kind::machine_list, now);
  body["knowledge"] = json::object{
      {"configuration", knowledge_document(subject, node::source_kind::configuration, now)},
      {"machine_list", knowledge_document(subject, node::source_kind::machine_list, now)}};
  body["service_calls"] = json::object{
      {"configuration", calls_document(subject.watch(node::source_kind::configuration).calls())},
      {"machine_list", calls_document(subject.watch(node::source_kind::machine_list).calls())}};
  const auto roles = node::roles_of(subject, now);
  body["roles"] = json::object{{"watches_configuration", roles.watches_configuration},
                               {"watches_replicas", roles.watches_replicas},
                               {"relays", roles.is_relay},
                               {"shards", roles.shards},
                               {"engine_accounts", roles.engine_accounts}};
  json::array rejections;
  for (const auto& rejected : content.rejections()) {
    rejections.push_back(json::object{{"key", rejected.key},
                                      {"revision", rejected.revision},
                                      {"in_force", content.revision_of(rejected.key)},
                                      {"reason", rejected.reason}});
  }
  body["rejected"] = std::move(rejections);
  return body;
}

std::string_view name_of(wire::member_state state) {
  switch (state) {
  case wire::ALIVE:
    return "alive";
  case wire::SUSPECT:
    return "suspect";
  default:
    return "dead";
  }
}

json::object nodes_document(const node::node& subject, base::time_point now) {
  json::array nodes;
  for (const auto& [name, member] : subject.members().members()) {
    nodes.push_back(json::object{{"node", name.text()},
                                 {"zone", member.zone.text()},
                                 {"address", member.address.text()},
                                 {"state", name_of(member.state)},
                                 {"since_ms", base::to_milliseconds(now - member.state_since)},
                                 {"incarnation", member.incarnation}});
  }
  return {{"nodes", std::move(nodes)}};
}

json::object backends_document(const node::node& subject, base::time_point now) {
  json::array backends;
  for (const auto& [name, backend] : subject.backends().all()) {
    backends.push_back(json::object{{"backend", name.text()},
                                    {"zone", backend.zone.text()},
                                    {"pool", backend.pool.text()},
                                    {"address", backend.address.text()},
                                    {"generation", backend.generation},
                                    {"concurrency", backend.concurrency},
                                    {"in_flight", backend.in_flight},
                                    {"average_ms", milliseconds(backend.average_latency)},
                                    {"leaving", subject.backends().is_draining(backend)},
                                    {"avoided", now < backend.avoid_until}});
  }
  return {{"backends", std::move(backends)}};
}

json::object templates_document(const node::node& subject) {
  const auto& content = subject.published_catalog();
  json::array templates;
  for (const auto& [name, pipeline] : content.templates()) {
    json::array stages;
    for (const auto& stage : pipeline->stages) {
      stages.push_back(json::object{{"name", stage.name},
                                    {"kind", model::name_of(stage.kind)},
                                    {"pool", stage.pool.text()},
                                    {"repeatable", stage.repeatable}});
    }
    templates.push_back(json::object{{"template", name.text()},
                                     {"revision", content.revision_of("templates/" + name.text())},
                                     {"deadline_ms", base::to_milliseconds(pipeline->deadline)},
                                     {"stages", std::move(stages)}});
  }
  json::array tenants;
  for (const auto& [name, tenant] : content.tenants()) {
    tenants.push_back(json::object{{"tenant", name.text()},
                                   {"revision", content.revision_of("tenants/" + name.text())},
                                   {"weight", tenant->weight}});
  }
  return {{"templates", std::move(templates)}, {"tenants", std::move(tenants)}};
}

json::object costs_document(const node::node& subject) {
  json::array rows;
  for (const auto& [key, totals] : subject.executor().counts().pipelines) {
    for (const auto& [stage, cost] : totals.stages) {
      rows.push_back(json::object{{"tenant", key.tenant.text()},
                                  {"template", key.pipeline.text()},
                                  {"stage", stage},
                                  {"backend_ms", milliseconds(cost.backend_time)},
                                  {"wasted_ms", milliseconds(cost.wasted_time)},
                                  {"tokens", cost.tokens},
                                  {"attempts", cost.attempts}});
    }
  }
  return {{"costs", std::move(rows)}};
}

std::string_view name_of(quarantine::quarantine_state state) {
  switch (state) {
  case quarantine::quarantine_state::single_attempt:
    return "one attempt";
  case quarantine::quarantine_state::quarantined:
    return "held back";
  case quarantine::quarantine_state::unrestricted:
    break;
  }
  return "free";
}

json::object quarantine_document(const node::node& subject, base::time_point now) {
  json::array requests;
  if (const auto* serving = subject.serving()) {
    const auto& registry = serving->crashes();
    for (const auto& [digest, record] : registry.all()) {
      json::array exits;
      for (const auto& observation : record.exits) {
        exits.push_back(json::object{{"replica", observation.replica.text()},
                                     {"age_ms", base::to_milliseconds(now - observation.at)}});
      }
      requests.push_back(
          json::object{{"digest", digest.text()},
                       {"kind", quarantine::name_of(record.kind)},
                       {"standing", name_of(registry.quarantine_state_of(digest, now))},
                       {"ends", record.exits.size()},
                       {"newest_ms", base::to_milliseconds(now - record.last_update_at())},
                       {"replicas", std::move(exits)}});
    }
  }
  return {{"requests", std::move(requests)}};
}

json::object limits_document(const node::node& subject, base::time_point now) {
  json::array replicas;
  if (const auto* serving = subject.serving()) {
    const auto& limits = serving->limits();
    for (const auto& [replica, record] : limits.announced_limits().all()) {
      const auto* permits = limits.stock_of(replica);
      json::object row{{"replica", replica.text()},
                       {"heard_ms", base::to_milliseconds(now - record.last_reported_at)},
                       {"version", record.version},
                       {"issuer", limits.issuer_of(replica).text()},
                       {"permits_held", permits == nullptr ? 0 : permits->held(now)},
                       {"sent_in_4_s", permits == nullptr ? 0 : permits->recent_sends(now)}};
      row["per_second"] = record.per_second ? json::value(*record.per_second) : nullptr;
      replicas.push_back(std::move(row));
    }
  }
  return {{"replicas", std::move(replicas)}};
}

/// Returns the replicas to which this node sends no requests, because they announced their drain or
/// because a backoff that they requested from this node has not ended yet.
json::object unavailable_document(const node::node& subject, base::time_point now) {
  json::array replicas;
  if (const auto* serving = subject.serving()) {
    for (const auto& [process, announcement] :
         serving->replica_self_reports().drain_announcements().all()) {
      replicas.push_back(
          json::object{{"replica", process.replica.text()},
                       {"why", "leaves"},
                       {"since_ms", base::to_milliseconds(now - announcement.announced_at)},
                       {"left_ms", nullptr},
                       {"said_by", announcement.source}});
    }
    for (const auto& [id, state] : serving->replicas().all()) {
      if (state.backoff.is_active(now)) {
        replicas.push_back(
            json::object{{"replica", id.text()},
                         {"why", "asked for a pause"},
                         {"since_ms", base::to_milliseconds(now - state.backoff.requested_at())},
                         {"left_ms", base::to_milliseconds(state.backoff.ends_at() - now)},
                         {"said_by", "the replica"}});
      }
    }
  }
  return {{"replicas", std::move(replicas)}};
}

json::object timeline_document(const node::node& subject) {
  json::array events;
  for (const auto& entry : subject.events().entries()) {
    events.push_back(json::object{{"at_us", entry.at.wall_microseconds},
                                  {"logical", entry.at.logical},
                                  {"node", subject.settings().self.node.text()},
                                  {"event", base::name_of(entry.kind)},
                                  {"request_id", entry.request.text()},
                                  {"subject", entry.subject},
                                  {"detail", entry.detail}});
  }
  return {{"events", std::move(events)}, {"dropped", subject.events().dropped()}};
}

} // namespace

std::optional<http::operator_document> make_document(const std::string& path,
                                                     const node::node& subject,
                                                     const process_stats& stats,
                                                     base::time_point now) {
  if (path == "/metrics") {
    return http::operator_document{"text/plain; version=0.0.4", make_metrics(subject, stats, now)};
  }
  json::object body;
  if (path == "/v1/status") {
    body = status_document(subject, now);
  } else if (path == "/v1/nodes") {
    body = nodes_document(subject, now);
  } else if (path == "/v1/backends") {
    body = backends_document(subject, now);
  } else if (path == "/v1/templates") {
    body = templates_document(subject);
  } else if (path == "/v1/costs") {
    body = costs_document(subject);
  } else if (path == "/v1/quarantine") {
    body = quarantine_document(subject, now);
  } else if (path == "/v1/limits") {
    body = limits_document(subject, now);
  } else if (path == "/v1/unavailable") {
    body = unavailable_document(subject, now);
  } else if (path == "/v1/timeline") {
    body = timeline_document(subject);
  } else {
    return std::nullopt;
  }
  return http::operator_document{"application/json", json::serialize(body) + "\n"};
}

std::optional<node::event> parse_action(const std::string& path) {
  constexpr std::string_view release_prefix = "/v1/quarantine/release/";
  if (!path.starts_with(release_prefix)) {
    return std::nullopt;
  }
  const auto digest = quarantine::suspect_digest::from_text(path.substr(release_prefix.size()));
  return digest ? std::optional<node::event>(node::release_requested{*digest}) : std::nullopt;
}

} // namespace spurrack::daemon
