#include "daemon/operator_documents.h"

#include "node/node_roles.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
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
using prometheus::BuildHistogram;
using prometheus::Histogram;
using prometheus::Registry;

constexpr std::array<model::outcome, 4> all_outcomes{
    model::outcome::completed, model::outcome::not_run, model::outcome::failed,
    model::outcome::unknown};

void add_gauge(Registry& registry, const std::string& name, const std::string& help, double value) {
  BuildGauge().Name(name).Help(help).Register(registry).Add({}).Set(value);
}

void add_counter(Registry& registry, const std::string& name, const std::string& help,
                 double value) {
  BuildCounter().Name(name).Help(help).Register(registry).Add({}).Increment(value);
}

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

void add_first_byte_times(Registry& registry, const serving::latency_histogram& times) {
  const auto& bounds = serving::latency_histogram::bounds;
  auto& histogram = BuildHistogram()
                        .Name("spurrack_first_byte_seconds")
                        .Help("Time from the arrival of a request to the first byte of its answer.")
                        .Register(registry)
                        .Add({}, Histogram::BucketBoundaries(bounds.begin(), bounds.end()));
  std::vector<double> increments;
  for (const auto count : times.counts()) {
    increments.push_back(static_cast<double>(count));
  }
  histogram.ObserveMultiple(increments, times.sum_seconds());
}

void add_count(Registry& registry, const char* name, const char* help, std::uint64_t value) {
  add_counter(registry, name, help, static_cast<double>(value));
}

/// @return a function that adds one counter, given by its name, help text and value, to `registry`.
auto count_adder(Registry& registry) {
  return [&registry](const char* name, const char* help, std::uint64_t value) {
    add_count(registry, name, help, value);
  };
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

void add_regions(Registry& registry, const serving::serving_counters& counts) {
  auto& by_locality = BuildCounter()
                          .Name("spurrack_replica_calls_by_ring_total")
                          .Help("Requests sent to replicas, by locality of the replica.")
                          .Register(registry);
  for (std::size_t locality = 0; locality < model::locality_count; ++locality) {
    by_locality.Add({{"ring", std::string(model::name_of(static_cast<model::locality>(locality)))}})
        .Increment(static_cast<double>(counts.calls_by_locality[locality]));
  }
  add_count(registry, "spurrack_residency_refused_total",
            "Requests refused because no replica in their permitted regions could serve them.",
            counts.refused_by_residency);
  add_count(registry, "spurrack_residency_confined_total",
            "Requests sent to a more distant replica because a nearer available replica is outside "
            "their permitted regions.",
            counts.confined_by_residency);
}

void add_graceful_stop(Registry& registry, const serving::serving_counters& counts) {
  auto& outcomes = BuildCounter()
                       .Name("spurrack_stop_requests_total")
                       .Help("Requests during a graceful stop, by outcome.")
                       .Register(registry);
  const auto add = [&](const char* outcome, std::uint64_t value) {
    outcomes.Add({{"outcome", outcome}}).Increment(static_cast<double>(value));
  };
  add("taken", counts.accepted_while_stopping);
  add("refused", counts.refused_while_stopping);
  add("ended_unsent", counts.ended_while_stopping);
  add("given_up", counts.aborted_at_stop);
}

void add_retries(Registry& registry, const serving::dispatcher& dispatcher) {
  const auto& counts = dispatcher.counts();
  const auto add = count_adder(registry);
  add("spurrack_repeats_total", "Retries of requests at replicas.", counts.retries);
  add("spurrack_repeats_denied_total",
      "Retries denied because they exceeded the retry budget of this node.", counts.retries_denied);
  add("spurrack_repeats_borrowed_total",
      "Retries that waited for retry budget transferred by other nodes.",
      counts.retries_on_transferred_budget);
  add("spurrack_ended_at_lost_replicas_total",
      "Calls ended before their deadline because their replica refused connections or restarted.",
      counts.ended_at_down_replicas);
  auto& early_ends = BuildCounter()
                         .Name("spurrack_answers_ended_early_total")
                         .Help("Answers that ended before they were whole, by evidence.")
                         .Register(registry);
  for (const auto& [evidence, count] : counts.early_ends) {
    early_ends.Add({{"evidence", std::string(evidence)}}).Increment(static_cast<double>(count));
  }
  add("spurrack_replica_ejections_total", "Ejections of replicas that two nodes reported as down.",
      dispatcher.replicas().ejections());
  add("spurrack_replica_restarts_total", "Restarts of replicas under the same id.",
      counts.replica_restarts);
  add("spurrack_calls_at_earlier_lives_total",
      "Requests in flight at the earlier incarnation of a replica that restarted.",
      counts.calls_at_earlier_incarnations);
  add("spurrack_replicas_of_unknown_services_total",
      "Published replicas whose service is not configured.", counts.replicas_of_unknown_services);
  add("spurrack_replica_news_other_lives_total",
      "Reports of other nodes on another incarnation of a replica; they are ignored.",
      dispatcher.replica_reports().of_other_incarnations);
  add("spurrack_replica_news_sent_total",
      "Messages to other nodes with health reports on replicas.",
      dispatcher.replica_reports().messages);
  add("spurrack_replica_news_heard_total", "Health reports of other nodes on replicas.",
      dispatcher.replica_reports().applied);
  const auto& budget_exchange = dispatcher.budget_exchange();
  add("spurrack_repeat_questions_total", "Queries to other nodes for part of their retry budget.",
      budget_exchange.queries);
  add_counter(registry, "spurrack_repeats_lent_total",
              "Retries of which the budget was transferred to other nodes.",
              static_cast<double>(budget_exchange.sent_milli_retries) / serving::one_retry);
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

/// Calls that ended, and exits of replicas that are suspected because of how they ended.
void add_call_ends(Registry& registry, const serving::dispatcher& dispatcher) {
  const auto& counts = dispatcher.counts();
  const auto add = count_adder(registry);
  add("spurrack_suspected_exits_total",
      "Exits under requests of this node that are suspected because a replica fell silent.",
      counts.suspected_exits);
  add("spurrack_proven_suspicions_total", "Suspected exits that this node found proven.",
      counts.proven_exits);
  add("spurrack_disproved_suspicions_total",
      "Suspected exits that this node found not to have happened.", counts.disproved_exits);
  add("spurrack_held_refusals_total",
      "Requests refused until it is known whether replicas exited under them.",
      counts.refused_while_held);
  auto& closed_calls = BuildCounter()
                           .Name("spurrack_closed_calls_total")
                           .Help("Calls at replicas that ended, by reason.")
                           .Register(registry);
  for (const auto& [reason, count] : counts.closed_calls) {
    closed_calls.Add({{"reason", std::string(reason)}}).Increment(static_cast<double>(count));
  }
}

void add_quarantine(Registry& registry, const serving::dispatcher& dispatcher) {
  const auto& counts = dispatcher.counts();
  const auto add = count_adder(registry);
  add("spurrack_crashes_under_requests_total",
      "Exits of replicas attributed to requests; an exit counts for each request that ran there.",
      counts.crashes_under_requests);
  add("spurrack_quarantines_total",
      "Times a request was quarantined because replicas exited while they ran it.",
      counts.quarantines);
  add("spurrack_quarantine_refusals_total", "Requests refused because they were quarantined.",
      counts.refused_in_quarantine);
  add("spurrack_quarantine_part_refusals_total",
      "Requests refused because a part of their prompt was quarantined.",
      counts.refused_for_prompt_part);
  add("spurrack_trial_refusals_total",
      "Requests with a suspected prompt part that waited too long for a trial.",
      counts.refused_without_trial);
  add("spurrack_trials_requested_total", "Trials of suspects that this node asked for.",
      dispatcher.trials().requested);
  add("spurrack_trials_granted_total", "Trials of suspects that this node granted to some node.",
      dispatcher.trials().granted);
  add("spurrack_trials_denied_total", "Trials of suspects that this node denied to some node.",
      dispatcher.trials().denied);
  add("spurrack_trials_unanswered_total", "Trials of suspects for which no issuer answered.",
      dispatcher.trials().unanswered);
  add("spurrack_partition_refusals_total",
      "Requests refused because this node was partitioned from all replicas.",
      counts.refused_while_partitioned);
  add("spurrack_requests_passed_on_total",
      "Requests passed on to another node because this node was partitioned from all replicas.",
      counts.passed_on);
  add("spurrack_requests_cleared_total",
      "Requests no longer suspected because a run of them ended without an exit of its replica.",
      counts.requests_cleared);
  add("spurrack_unframed_answers_total",
      "Answers with neither a length nor chunks, which end with their connection.",
      counts.unframed_answers);
  add("spurrack_unframed_answers_rejected_total",
      "Answers that ended with their connection and whose replica was not seen to go on.",
      counts.unframed_answers_rejected);
  add("spurrack_crash_news_sent_total",
      "Messages to other nodes about requests under which replicas exited.",
      dispatcher.crash_reports().sent_messages);
  add("spurrack_crash_news_heard_total",
      "Records of other nodes about requests under which replicas exited.",
      dispatcher.crash_reports().received_records);
  add("spurrack_crash_news_malformed_total",
      "Malformed records of other nodes about requests under which replicas exited; ignored.",
      dispatcher.crash_reports().malformed_records);
  add_gauge(registry, "spurrack_suspected_requests",
            "Requests under which replicas exited, as far as this node knows.",
            static_cast<double>(dispatcher.crashes().all().size()));
}

void add_stream_origins(Registry& registry, const serving::dispatcher& dispatcher) {
  const auto& counts = dispatcher.counts();
  auto& resumptions = BuildCounter()
                          .Name("spurrack_stream_resumptions_total")
                          .Help("Requests to resume a stream, by outcome.")
                          .Register(registry);
  const auto add_outcome = [&](const char* outcome, std::uint64_t count) {
    resumptions.Add({{"outcome", outcome}}).Increment(static_cast<double>(count));
  };
  add_outcome("bound", counts.resumptions_bound);
  add_outcome("only_version", counts.resumptions_at_only_version);
  add_outcome("unknown", counts.resumptions_of_unknown_origin);
  add_outcome("without_evidence", counts.resumptions_without_evidence);
  add_outcome("left", counts.resumptions_of_left_version);
  add_outcome("without_slot", counts.resumptions_without_slot);
  const auto& origins = dispatcher.stream_origins();
  add_gauge(registry, "spurrack_stream_origins_kept", "Origins of streams in memory.",
            static_cast<double>(origins.registry().size()));
  const auto add = count_adder(registry);
  add("spurrack_stream_origins_dropped_total",
      "Origins of streams dropped before their time because there were too many.",
      origins.registry().dropped_early());
  add("spurrack_stream_origin_messages_total", "Messages sent about origins of streams.",
      origins.counts().sent_messages);
  add("spurrack_stream_origin_records_total", "Origins of streams sent to witnesses.",
      origins.counts().sent_records);
  add("spurrack_stream_origin_queries_total", "Queries sent for origins of streams.",
      origins.counts().sent_queries);
  add("spurrack_stream_origin_late_answers_total",
      "Answers about origins of streams that arrived after their look-up had ended.",
      origins.counts().late_answers);
}

/// Adds to `registry` the metrics about the self-reports that replicas send in their answers.
void add_self_reports(Registry& registry, const serving::dispatcher& dispatcher) {
  const auto& counts = dispatcher.replica_self_reports().counts();
  const auto add = count_adder(registry);
  add("spurrack_statement_messages_total",
      "Messages to other nodes about self-reports of replicas.", counts.sent_messages);
  add("spurrack_limits_unreadable_total", "Answers of replicas that announce an unreadable limit.",
      counts.unreadable_limits);
  add("spurrack_limit_news_other_lives_total",
      "Limits reported by other nodes for an unknown replica or incarnation; they are ignored.",
      counts.limits_of_other_incarnations);
  add("spurrack_replica_departures_total",
      "Drain announcements that were new to this node, from replicas or from other nodes.",
      counts.drain_announcements);
  add("spurrack_replica_departures_heard_total",
      "Drain announcements that this node received from the replica itself first.",
      counts.drain_announcements_from_replicas);
  add("spurrack_replica_departures_unreadable_total",
      "Answers of replicas with an unreadable drain announcement.",
      counts.unreadable_drain_announcements);
  add("spurrack_replica_backoffs_total",
      "Answers by which a replica requested a backoff from this node, or a longer backoff.",
      dispatcher.replicas().backoffs());
  add("spurrack_replica_backoffs_unreadable_total",
      "Answers of replicas that request an unreadable backoff.", counts.unreadable_backoffs);
}

void add_limits(Registry& registry, const serving::dispatcher& dispatcher) {
  const auto& counts = dispatcher.limits().counts();
  const auto add = count_adder(registry);
  add("spurrack_limit_messages_total", "Messages to other nodes that query or grant permits.",
      counts.messages);
  add("spurrack_permits_issued_total", "Permits for limited replicas that this node issued.",
      counts.permits_issued);
  add("spurrack_permits_received_total", "Permits for limited replicas that this node received.",
      counts.permits_received);
  add("spurrack_permits_void_total",
      "Permits that arrived too late for the query that they answer.", counts.permits_expired);
  add("spurrack_permit_waits_total",
      "Requests that waited for a slot at replicas that announce a limit or requested a backoff.",
      dispatcher.counts().slot_waits);
  add("spurrack_permit_refusals_total",
      "Requests refused because no slot at a limited replica or a replica in backoff was expected "
      "before their deadline.",
      dispatcher.counts().refused_without_slot);
  add_gauge(registry, "spurrack_limited_replicas",
            "Replicas that announce a limit on requests per second.",
            static_cast<double>(dispatcher.limits().limited_replicas()));
}

void add_engines(Registry& registry, const serving::engine_directory_counts& engines) {
  const auto add = count_adder(registry);
  add("spurrack_engine_sends_told_total",
      "Prompts reported to the accounting node of their engine.", engines.reported_sends);
  add("spurrack_engine_waits_told_total",
      "Long prefill backlogs of engines reported to the nodes of the region.",
      engines.reported_backlogs);
  add("spurrack_engine_wait_receivers_left_out_total",
      "Nodes that a backlog was not reported to because of the limit on report bytes.",
      engines.skipped_receivers);
  add("spurrack_engine_tokens_kept_total",
      "Prompt tokens that engines are expected to have cached, counted by their accounting nodes.",
      engines.cached_prompt_tokens);
  add("spurrack_engine_tokens_to_read_total",
      "Prompt tokens that engines are expected to prefill, counted by their accounting nodes.",
      engines.tokens_to_prefill);
}

void add_serving(Registry& registry, const serving::dispatcher& dispatcher) {
  const auto& counts = dispatcher.counts();
  auto& answers = BuildCounter()
                      .Name("spurrack_answers_total")
                      .Help("Requests on published routes, by status; 0: the client disconnected.")
                      .Register(registry);
  for (const auto& [status, count] : counts.answers) {
    answers.Add({{"status", std::to_string(status)}}).Increment(static_cast<double>(count));
  }
  add_first_byte_times(registry, counts.first_byte);
  const auto add = count_adder(registry);
  add("spurrack_replica_calls_total", "Requests sent to replicas.", counts.calls);
  add_regions(registry, counts);
  add_graceful_stop(registry, counts);
  add_retries(registry, dispatcher);
  add_call_ends(registry, dispatcher);
  add_quarantine(registry, dispatcher);
  add_stream_origins(registry, dispatcher);
  add_self_reports(registry, dispatcher);
  add_limits(registry, dispatcher);
  add("spurrack_stage_pieces_total", "Pieces of stages submitted.", counts.stage_pieces);
  add("spurrack_results_freed_total", "Stage results released because they are no longer needed.",
      counts.results_freed);
  add("spurrack_streams_resumed_total", "Streams resumed at another replica.",
      counts.streams_resumed);
  add_engines(registry, dispatcher.engine_counts());
  add("spurrack_clients_judged_slow_total", "Streams whose client read too slowly for some time.",
      counts.slow_clients);
  add("spurrack_streams_let_go_total",
      "Streams whose upstream call was cancelled until their client reads on.",
      counts.streams_suspended);
  add("spurrack_streams_taken_up_total",
      "Streams resumed after their upstream call was cancelled for a slow client.",
      counts.suspended_streams_resumed);
  add_gauge(registry, "spurrack_active_routed_requests", "Active requests on published routes.",
            static_cast<double>(dispatcher.active_requests()));
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
    add_serving(registry, *subject.serving());
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
