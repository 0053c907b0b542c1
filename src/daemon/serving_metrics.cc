#include "daemon/serving_metrics.h"

#include "daemon/metric_builders.h"

#include <prometheus/counter.h>
#include <prometheus/histogram.h>

#include <string>
#include <string_view>
#include <vector>

namespace spurrack::daemon {
namespace {

using prometheus::BuildCounter;
using prometheus::BuildHistogram;
using prometheus::Histogram;
using prometheus::Registry;

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
  auto& open_ends = BuildCounter()
                        .Name("spurrack_open_answer_ends_total")
                        .Help("Answers with neither a length nor chunks, by what became of them.")
                        .Register(registry);
  for (const auto& [outcome, count] : counts.open_ends) {
    open_ends.Add({{"outcome", std::string(outcome)}}).Increment(static_cast<double>(count));
  }
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

void add_version_proofs(Registry& registry, const serving::serving_counters& counts) {
  auto& proofs = BuildCounter()
                     .Name("spurrack_stream_version_proofs_total")
                     .Help("Streams without a record that go on at the only version, by proof.")
                     .Register(registry);
  proofs.Add({{"proof", "own_list"}})
      .Increment(static_cast<double>(counts.resumptions_proven_by_own_list));
  proofs.Add({{"proof", "other_nodes"}})
      .Increment(static_cast<double>(counts.resumptions_proven_by_other_nodes));
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
  add_outcome("list_not_verified", counts.resumptions_without_verified_list);
  add_outcome("left", counts.resumptions_of_left_version);
  add_outcome("without_slot", counts.resumptions_without_slot);
  add_version_proofs(registry, counts);
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
  add("spurrack_stream_origin_records_repeated_total",
      "Origins of streams sent again to witnesses that had not acknowledged them.",
      origins.counts().repeated_records);
  add("spurrack_stream_origin_records_acknowledged_total",
      "Origins of streams that witnesses acknowledged.", origins.counts().acknowledged_records);
  add("spurrack_stream_origin_records_abandoned_total",
      "Origins of streams of which not all witnesses sent an acknowledgement.",
      origins.delivery().abandoned());
  add("spurrack_stream_origin_queries_total", "Queries sent for origins of streams.",
      origins.counts().sent_queries);
  add("spurrack_stream_origin_queries_repeated_total",
      "Queries for origins of streams sent again to nodes that had not answered.",
      origins.counts().repeated_queries);
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

} // namespace

void add_serving_metrics(Registry& registry, const serving::dispatcher& dispatcher) {
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
  add("spurrack_long_events_total",
      "Calls ended since their replica sent an event that is too long.", counts.long_events);
  add("spurrack_streams_taken_up_total",
      "Streams resumed after their upstream call was cancelled for a slow client.",
      counts.suspended_streams_resumed);
  add_gauge(registry, "spurrack_active_routed_requests", "Active requests on published routes.",
            static_cast<double>(dispatcher.active_requests()));
}

} // namespace spurrack::daemon
