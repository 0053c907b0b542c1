/// Second chances: repeats within attempts and share, calls without progress, replicas that are
/// found lost.
#include "dispatch/dispatcher.h"

#include "dispatch/dispatcher_constants.h"

#include <algorithm>
#include <utility>

namespace spurrack::serving {
namespace {

/// A call without progress that cannot be made elsewhere is looked at again after this time: a
/// tenth of the second within which a lost replica's requests are to be taken up.
constexpr base::duration stall_check_period = std::chrono::milliseconds(100);
/// One that may not be made elsewhere is looked at again after this time, in case its replica is
/// found lost: a quarter of that second.
constexpr base::duration lost_check_period = std::chrono::milliseconds(250);
/// A replica stays found lost for this time before a request is ended for it: whoever hears the
/// replica has time to say so, and the second is kept.
constexpr base::duration loss_confirm_time = std::chrono::milliseconds(500);

} // namespace

// --- repeats -------------------------------------------------------------------------------------

bool dispatcher::has_attempt_left(const active_request& request, base::time_point now) {
  return request.sent < request.route->max_attempts && now < request.ends_at;
}

bool dispatcher::can_be_sent_again(const active_request& request, base::time_point now) const {
  return has_attempt_left(request, now) && has_time_before_stop(request, now) &&
         standing_of(request, now) == quarantine::standing::free;
}

bool dispatcher::may_send_again(active_request& request, base::time_point now) {
  if (!can_be_sent_again(request, now)) {
    return false;
  }
  if (!retries_.take(request.service, now)) {
    ++counters_.repeats_denied;
    return false;
  }
  ++counters_.repeats;
  return true;
}

void dispatcher::repeat_or_fail(active_request& request, base::time_point now) {
  failed_ending ending{status::bad_gateway, "the replica gave no whole answer", {}, false};
  if (request.route->may_repeat()) {
    send_again_or_end(request, std::move(ending), now);
  } else {
    end_failed(request, ending, now);
  }
}

void dispatcher::send_again(active_request& request, base::time_point now) {
  request.events.restart();
  counters_.streams_resumed += request.stream_begun ? 1 : 0;
  send_to_replica(request, now);
}

void dispatcher::send_again_or_end(active_request& request, failed_ending ending,
                                   base::time_point now) {
  if (may_send_again(request, now)) {
    send_again(request, now);
    return;
  }
  if (can_be_sent_again(request, now) &&
      lending_.ask(request.service, awaiting_loans_.size() + 1, now)) {
    request.awaits_loan = std::move(ending);
    awaiting_loans_.push_back(request.client);
    return;
  }
  end_failed(request, ending, now);
}

void dispatcher::end_failed(active_request& request, const failed_ending& ending,
                            base::time_point now) {
  if (ending.answer) {
    pass_on(request, *ending.answer, now);
  } else if (ending.not_run) {
    answer_not_run(request, ending.reason, now);
  } else {
    answer_failed(request, ending.code, ending.reason, now);
  }
}

void dispatcher::go_on_with_loans(base::time_point now) {
  for (const auto client : std::exchange(awaiting_loans_, {})) {
    const auto found = active_.find(client);
    if (found == active_.end() || !found->second.awaits_loan) {
      continue;
    }
    auto& request = found->second;
    if (retries_.missing(request.service, now) > 0 && lending_.is_awaiting(request.service, now)) {
      awaiting_loans_.push_back(client);
      continue;
    }
    const auto ending = *std::exchange(request.awaits_loan, std::nullopt);
    if (may_send_again(request, now)) {
      ++counters_.repeats_borrowed;
      record(base::event_kind::stage_retried, request, request.service, "with a loan");
      send_again(request, now);
    } else {
      end_failed(request, ending, now);
    }
  }
}

void dispatcher::handle_peer(const base::node_id& sender, const base::network_address& address,
                             const wire::retry_lending& message, base::time_point now) {
  lending_.handle(sender, address, message, now);
  go_on_with_loans(now);
}

// --- lost replicas -------------------------------------------------------------------------------

void dispatcher::handle_peer(const base::node_id& sender, const wire::replica_news& message,
                             base::time_point now) {
  const auto ejections_before = replicas_.ejections();
  const auto lost = news_.handle(sender, message, now);
  if (replicas_.ejections() > ejections_before) {
    record_(base::event_kind::backend_ejected, {}, lost.front().text(),
            "found lost by two nodes, the latest " + sender.text() + ", " +
                std::to_string(lost.size()) + " in one message");
  }
  for (const auto& replica : lost) {
    look_at_calls_of(replica, now);
  }
}

void dispatcher::look_at_calls_of(const base::replica_id& replica, base::time_point now) {
  const auto found = clients_at_.find(replica);
  if (found == clients_at_.end()) {
    return;
  }
  for (const auto client : found->second) {
    auto& request = active_.at(client);
    const bool is_watched = request.call->stalls_at && *request.call->stalls_at > now;
    const bool shows_events = request.latest_event_at > request.call->started;
    if (is_watched && !shows_events && request.route->may_repeat() && is_silent(request)) {
      request.call->stalls_at = now;
      schedule_check(request);
    }
  }
}

bool dispatcher::is_silent(const active_request& request) const {
  const auto shown_at = std::max(request.call->started, request.latest_event_at);
  return !replicas_.was_heard_after(request.call->replica, shown_at);
}

/// Answers wait in the sockets of a process that wakes. Without this every call under way is taken
/// for stalled before its answer is read: its replica is reported silent, and repeats are spent.
void dispatcher::resume_after_pause(base::duration gap, base::time_point now) {
  for (auto& [client, request] : active_) {
    if (request.call && request.call->stalls_at) {
      *request.call->stalls_at += gap;
    }
    if (request.slow_reader_due) {
      *request.slow_reader_due += gap;
    }
  }
  stages_.resume_after_pause(gap);
  crash_news_.resume_after_pause(now);
  limits_.resume_after_pause(now);
}

void dispatcher::on_stalled(active_request& request, base::time_point now) {
  const bool silent = is_silent(request);
  if (silent) {
    replicas_.note_silent(request.call->replica, now);
  }
  if (request.route->may_repeat() && has_attempt_left(request, now)) {
    take_up_elsewhere(request, now);
    return;
  }
  auto& call = *request.call;
  if (call.life_ended_at) {
    end_at_earlier_life(request, now);
    return;
  }
  if (!silent || !replicas_.is_lost(call.replica, now)) {
    call.found_lost_at.reset();
  } else if (!call.found_lost_at) {
    call.found_lost_at = now;
  } else if (now - *call.found_lost_at >= loss_confirm_time) {
    ++counters_.ended_at_lost_replicas;
    answer_failed(request, status::bad_gateway, "the replica is lost", now);
    return;
  }
  call.stalls_at = now + lost_check_period;
}

void dispatcher::take_up_elsewhere(active_request& request, base::time_point now) {
  // Without time for another attempt before a planned stop, and for a request that is sent once in
  // a try, the silent one is still the best there is.
  if (!can_be_sent_again(request, now) || choose_replica(request, now) == nullptr) {
    request.call->stalls_at = now + stall_check_period;
    return;
  }
  if (!may_send_again(request, now)) {
    // The other calls at the replica will want a repeat too.
    lending_.ask(request.service, clients_at_.at(request.call->replica).size(), now);
    request.call->stalls_at = now + stall_check_period;
    return;
  }
  commands_.emplace_back(cancel_call{request.call->id});
  const auto call = close_call(request);
  replicas_.note_stalled(call.replica, now);
  request.may_have_run = true;
  request.events.restart();
  record(base::event_kind::stage_retried, request, call.replica.text(), "no progress");
  send_to_replica(request, now);
}

} // namespace spurrack::serving
