#include "daemon/metric_builders.h"
#include "daemon/operator_documents.h"
#include "daemon/serving_metrics.h"

#include "node/node_roles.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace spurrack::daemon {
namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::Registry;

constexpr std::array<model::outcome, 4> all_outcomes{
    model::outcome::completed, model::outcome::not_run, model::outcome::failed,
    model::outcome::unknown};

void add_pipelines(Registry& registry, const execution::counters& counts) {
  auto& requests = BuildCounter()
                       .Name("spurrack_requests_total")
                       .Help("Requests answered, by outcome.")
                       .Register(registry);
  auto& seconds =
      BuildCounter()
          .Name("spurrack_stage_seconds_total")
          .Help("Back-end time of calls by stage; wasted: time of calls whose result was not used.")
          .Register(registry);
  auto& tokens = BuildCounter()
                     .Name("spurrack_stage_tokens_total")
                     .Help("Tokens generated, by stage.")
                     .Register(registry);
  for (const auto& [key, totals] : counts.pipelines) {
    const prometheus::Labels pipeline{{"tenant", key.tenant.text()},
                                      {"template", key.pipeline.text()}};
    for (const auto outcome : all_outcomes) {
      auto labels = pipeline;
      labels["outcome"] = std::string(model::name_of(outcome));
      requests.Add(labels).Increment(
          static_cast<double>(totals.outcomes[static_cast<std::size_t>(outcome)]));
    }
    for (const auto& [stage, cost] : totals.stages) {
      auto labels = pipeline;
      labels["stage"] = stage;
      tokens.Add(labels).Increment(cost.tokens);
      labels["use"] = "used";
      seconds.Add(labels).Increment(base::to_seconds(cost.backend_time));
      labels["use"] = "wasted";
      seconds.Add(labels).Increment(base::to_seconds(cost.wasted_time));
    }
  }
}

void add_refusals(Registry& registry, const execution::counters& counts) {
  auto& refusals = BuildCounter()
                       .Name("spurrack_refusals_total")
                       .Help("Requests not completed, by reason.")
                       .Register(registry);
  for (const auto& [reason, count] : counts.refusals) {
    refusals.Add({{"reason", std::string(execution::name_of(reason))}})
        .Increment(static_cast<double>(count));
  }
}

void add_knowledge_ages(Registry& registry, const node::node& subject, base::time_point now) {
  auto& ages = BuildGauge()
                   .Name("spurrack_store_knowledge_age_seconds")
                   .Help("Time since the platform's store was last known to have no entries that "
                         "this node lacks.")
                   .Register(registry);
  const auto add = [&](const char* name, node::source_kind source) {
    if (const auto age = subject.knowledge(source).age(now)) {
      ages.Add({{"source", name}}).Set(base::to_seconds(*age));
    }
  };
  add("configuration", node::source_kind::configuration);
  add("machine_list", node::source_kind::machine_list);
}

void add_store(Registry& registry, const node::store_counters& store) {
  add_count(registry, "spurrack_store_eras_total",
            "Times a service was found to be restored from an older copy, counted for each source.",
            store.era_changes);
  add_count(registry, "spurrack_store_answers_outdated_total",
            "Answers of an earlier era than the known one; they are ignored.",
            store.outdated_answers);
  add_count(registry, "spurrack_store_eras_unreadable_total",
            "Answers with an era that is unreadable or implausible.", store.unreadable_eras);
}

void add_store_calls(Registry& registry, const node::node& subject) {
  auto& calls = BuildCounter()
                    .Name("spurrack_store_calls_total")
                    .Help("Calls of this node to the platform's store, by source and cause.")
                    .Register(registry);
  const auto add = [&](const char* source, node::source_kind kind) {
    const auto& call_counts = subject.watch(kind).calls();
    const auto add_cause = [&](const char* cause, std::uint64_t count) {
      calls.Add({{"source", source}, {"cause", cause}}).Increment(static_cast<double>(count));
    };
    add_cause("listing", call_counts.listings);
    add_cause("watch", call_counts.watches);
    add_cause("begun_anew", call_counts.restarted_watches);
    add_cause("probe", call_counts.probes);
    add_cause("turn", subject.turns(kind).attempts());
  };
  add("configuration", node::source_kind::configuration);
  add("replicas", node::source_kind::machine_list);
}

void add_roles(Registry& registry, const node::node& subject, base::time_point now) {
  auto& family =
      BuildGauge()
          .Name("spurrack_node_role")
          .Help("Roles of this node for other nodes: 1 or 0, or number of shards or engines.")
          .Register(registry);
  const auto add = [&](const char* role, double value) { family.Add({{"role", role}}).Set(value); };
  const auto roles = node::roles_of(subject, now);
  add("watches_configuration", roles.watches_configuration ? 1 : 0);
  add("watches_replicas", roles.watches_replicas ? 1 : 0);
  add("relay", roles.is_relay ? 1 : 0);
  add("gatherer", static_cast<double>(roles.shards));
  add("account_holder", static_cast<double>(roles.engine_accounts));
}

void add_budget(Registry& registry, const flow::byte_budget& budget) {
  add_gauge(registry, "spurrack_budget_bytes",
            "Capacity of the byte budget for requests and answers.",
            static_cast<double>(budget.capacity()));
  auto& held = BuildGauge()
                   .Name("spurrack_held_bytes")
                   .Help("Bytes of requests and answers held, by holder.")
                   .Register(registry);
  for (std::size_t index = 0; index < flow::byte_holders; ++index) {
    const auto holder = static_cast<flow::byte_holder>(index);
    held.Add({{"holder", std::string(flow::name_of(holder))}})
        .Set(static_cast<double>(budget.held(holder)));
  }
  auto& refusals = BuildCounter()
                       .Name("spurrack_budget_refusals_total")
                       .Help("Refusals of the byte budget for lack of memory, by use.")
                       .Register(registry);
  for (std::size_t index = 0; index < flow::byte_uses; ++index) {
    const auto use = static_cast<flow::byte_use>(index);
    refusals.Add({{"use", std::string(flow::name_of(use))}})
        .Increment(static_cast<double>(budget.refusals(use)));
  }
}

void add_client_counters(Registry& registry, const http::ingress_counters& client_counters) {
  const auto add = count_adder(registry);
  add("spurrack_windows_closed_total",
      "Times reading a stream from a replica was paused until its client reads on.",
      client_counters.windows_closed);
  add_counter(
      registry, "spurrack_streams_paused_seconds_total",
      "Time for which reading streams from replicas was paused; counted when a stream ends.",
      base::to_seconds(client_counters.closed_window_time));
  auto& ended = BuildCounter()
                    .Name("spurrack_readers_ended_total")
                    .Help("Clients whose answer was ended before it was complete, by reason.")
                    .Register(registry);
  ended.Add({{"reason", "unread"}}).Increment(static_cast<double>(client_counters.aborted_unread));
  ended.Add({{"reason", "no_memory"}})
      .Increment(static_cast<double>(client_counters.aborted_for_memory));
  auto& refused = BuildCounter()
                      .Name("spurrack_arrivals_refused_total")
                      .Help("Requests refused before they were read, by missing resource.")
                      .Register(registry);
  refused.Add({{"missing", "memory"}})
      .Increment(static_cast<double>(client_counters.refused_for_memory));
  refused.Add({{"missing", "connection"}})
      .Increment(static_cast<double>(client_counters.refused_connections));
}

} // namespace

/// @return name of a kind of message in `peer.proto`.
std::string name_of(wire::envelope::BodyCase kind) {
  const auto* field = wire::envelope::descriptor()->FindFieldByNumber(kind);
  return field == nullptr ? "none" : std::string(field->name());
}

void add_control_flows(Registry& registry, const node::control_counters& control) {
  auto& sent = BuildCounter()
                   .Name("spurrack_control_sent_bytes_by_kind_total")
                   .Help("Bytes sent to peers, by kind of message and locality of the peer.")
                   .Register(registry);
  for (const auto& [flow, bytes] : control.bytes_sent_by_class) {
    sent.Add({{"kind", name_of(flow.kind)}, {"reach", std::string(model::name_of(flow.locality))}})
        .Increment(static_cast<double>(bytes));
  }
}

void add_stands(Registry& registry, const stand_counters& stands) {
  auto& counts = BuildCounter()
                     .Name("spurrack_loop_stands_total")
                     .Help("Times for which the event loop read no input for 50 ms or longer, by "
                           "what it handled.")
                     .Register(registry);
  auto& longest =
      BuildGauge()
          .Name("spurrack_loop_longest_stand_seconds")
          .Help("Longest time for which the event loop read no input, by what it handled.")
          .Register(registry);
  for (const auto& [handled, totals] : stands) {
    const prometheus::Labels labels{{"handled", std::string(handled)}};
    counts.Add(labels).Increment(static_cast<double>(totals.count));
    longest.Add(labels).Set(base::to_seconds(totals.longest));
  }
}

/// Adds what the adapters and the event loop of this process count.
void add_faulty_answers(Registry& registry, const upstream::connection_counters& counts) {
  auto& answers = BuildCounter()
                      .Name("spurrack_faulty_answers_total")
                      .Help("Answers of replicas that were none, by fault.")
                      .Register(registry);
  for (std::size_t fault = 1; fault < serving::answer_faults; ++fault) {
    const auto name = name_of(static_cast<serving::answer_fault>(fault));
    answers.Add({{"fault", std::string(name)}})
        .Increment(static_cast<double>(counts.faulty_answers[fault]));
  }
}

void add_process(Registry& registry, const process_stats& stats) {
  if (stats.stands != nullptr) {
    add_stands(registry, *stats.stands);
  }
  if (stats.budget != nullptr) {
    add_budget(registry, *stats.budget);
    add_client_counters(registry, *stats.client_counters);
    add_count(registry, "spurrack_unreadable_loads_total",
              "Answers of replicas that report an unreadable load.",
              stats.replica_connections->unreadable_loads);
    add_faulty_answers(registry, *stats.replica_connections);
  }
}

std::string make_metrics(const node::node& subject, const process_stats& stats,
                         base::time_point now) {
  Registry registry;
  add_process(registry, stats);
  const auto& counts = subject.executor().counts();
  add_pipelines(registry, counts);
  add_refusals(registry, counts);
  if (subject.serving() != nullptr) {
    add_serving_metrics(registry, *subject.serving());
  }
  add_counter(registry, "spurrack_retries_total", "Retries of stage calls.",
              static_cast<double>(counts.retries));
  add_counter(registry, "spurrack_late_answers_total",
              "Answers of calls that had already been aborted; they are dropped.",
              static_cast<double>(counts.late_answers));
  add_counter(
      registry, "spurrack_misdirected_answers_total",
      "Answers that did not match their call; they are dropped and the call counts as failed.",
      static_cast<double>(counts.misdirected_answers));
  add_counter(registry, "spurrack_control_sent_bytes_total", "Bytes sent to peers.",
              static_cast<double>(subject.message_counters().bytes_sent));
  add_control_flows(registry, subject.message_counters());
  add_store(registry, subject.store_answer_counters());
  add_store_calls(registry, subject);
  add_roles(registry, subject, now);
  add_counter(registry, "spurrack_control_received_bytes_total", "Bytes received from peers.",
              static_cast<double>(subject.message_counters().bytes_received));
  add_counter(registry, "spurrack_peer_messages_dropped_total",
              "Messages to peers that could not be queued.",
              static_cast<double>(stats.dropped_peer_messages));
  add_gauge(registry, "spurrack_active_requests",
            "Active requests, except for those on published routes.",
            static_cast<double>(subject.executor().active_requests()));
  add_gauge(registry, "spurrack_waiting_calls", "Stage calls that wait for a back end.",
            static_cast<double>(subject.scheduler().waiting_requests()));
  add_gauge(registry, "spurrack_ready", "1 if the node accepts new requests, otherwise 0.",
            subject.is_ready() ? 1 : 0);
  add_gauge(registry, "spurrack_configuration_revision",
            "Highest known revision of the published configuration.",
            static_cast<double>(subject.published_catalog().highest_revision()));
  add_gauge(registry, "spurrack_configuration_rejected",
            "Published entries that are rejected as invalid.",
            static_cast<double>(subject.published_catalog().rejections().size()));
  add_count(registry, "spurrack_replica_entries_refused_total",
            "Published entries of replicas rejected as malformed.",
            subject.published_catalog().rejected_replica_entries());
  add_knowledge_ages(registry, subject, now);
  const auto answered_at = subject.watch(node::source_kind::configuration).last_answer_at();
  if (answered_at) {
    add_gauge(registry, "spurrack_configuration_age_seconds",
              "Time since the configuration service last answered this node.",
              base::to_seconds(now - *answered_at));
  }
  return prometheus::TextSerializer().Serialize(registry.Collect());
}

} // namespace spurrack::daemon
