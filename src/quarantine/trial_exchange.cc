#include "quarantine/trial_exchange.h"

#include <algorithm>

namespace spurrack::quarantine {
namespace {

/// Number of nodes that are asked in turn: an issuer may be down, partitioned or of an older build.
constexpr std::size_t issuer_count = 3;
/// Time within which an issuer answers; twice the longest round trip between regions.
constexpr base::duration answer_timeout = std::chrono::milliseconds(250);
/// Time after which the outcome of a granted trial no longer holds up the next one: the trial still
/// runs, or the node that ran it is lost.
constexpr base::duration trial_duration = std::chrono::milliseconds(1'000);
/// Time after which a lease on a suspected request expires unless its holder renews it, and the
/// interval of renewals.
constexpr base::duration lease_duration = std::chrono::milliseconds(1'500);
constexpr base::duration renewal_interval = std::chrono::milliseconds(500);
/// Maximum number of suspects of which an issuer keeps the latest trial.
constexpr std::size_t max_granted = 256;

} // namespace

void trial_exchange::request(const suspect_digest& digest, base::time_point now) {
  const auto* record = registry_->find(digest);
  if (record != nullptr && record->kind == suspect_kind::request &&
      !registry_->is_trial_due(*record, now)) {
    return;
  }
  const auto [question, is_new] = questions_.try_emplace(digest);
  if (is_new) {
    ++counts_.requested;
    ask(digest, question->second, now);
  }
}

void trial_exchange::ask(const suspect_digest& digest, open_question& question,
                         base::time_point now) {
  question.asked_at = now;
  const auto issuers = nodes_.ranked(digest, issuer_count);
  if (question.rank >= issuers.size()) {
    // No issuer is in contact. Only a suspect that is not quarantined may be tried without one.
    ++counts_.unanswered;
    const auto state = registry_->quarantine_state_of(digest, now);
    decide(digest, state != quarantine_state::quarantined && grant(digest, {}, now), "no issuer");
    return;
  }
  const auto& issuer = issuers[question.rank];
  if (issuer == nodes_.self()) {
    decide(digest, grant(digest, {}, now), issuer.text());
    return;
  }
  wire::outgoing message{nodes_.addresses().at(issuer), {}};
  message.message.mutable_crash_news()->add_trial_requests(digest.bytes());
  messages_.push_back(std::move(message));
}

void trial_exchange::decide(const suspect_digest& digest, bool is_granted, std::string decided_by) {
  questions_.erase(digest);
  decisions_.push_back({digest, is_granted, std::move(decided_by)});
}

bool trial_exchange::is_run_under_way(const suspect_digest& digest, base::time_point now) const {
  const auto* record = registry_->find(digest);
  if (record != nullptr && record->kind == suspect_kind::request) {
    const auto leases = leases_.find(digest);
    return leases != leases_.end() &&
           std::any_of(leases->second.begin(), leases->second.end(),
                       [&](const auto& lease) { return now < lease.second; });
  }
  const auto latest = granted_at_.find(digest);
  return latest != granted_at_.end() && now - latest->second < trial_duration &&
         (record == nullptr || record->last_exit_at() <= latest->second);
}

bool trial_exchange::grant(const suspect_digest& digest, const base::network_address& asker,
                           base::time_point now) {
  const auto* record = registry_->find(digest);
  const bool is_due = record == nullptr || registry_->is_trial_due(*record, now);
  if (is_run_under_way(digest, now) || !is_due) {
    ++counts_.denied;
    return false;
  }
  note_lease(digest, asker, false, now);
  if (granted_at_.size() == max_granted) {
    granted_at_.erase(std::min_element(
        granted_at_.begin(), granted_at_.end(),
        [](const auto& left, const auto& right) { return left.second < right.second; }));
  }
  granted_at_[digest] = now;
  ++counts_.granted;
  return true;
}

void trial_exchange::hold(const suspect_digest& digest, base::time_point now) {
  auto& held = held_[digest];
  if (++held.runs == 1) {
    held.next_renewal_at = now + renewal_interval;
    send_lease(digest, false, now);
  }
}

void trial_exchange::release(const suspect_digest& digest, bool is_known, base::time_point now) {
  const auto found = held_.find(digest);
  if (found == held_.end() || --found->second.runs > 0) {
    return;
  }
  held_.erase(found);
  if (is_known) {
    send_lease(digest, true, now);
  } else {
    unknown_ends_[digest] = now + lease_duration;
  }
}

void trial_exchange::note_outcome(const suspect_digest& digest, base::time_point now) {
  if (unknown_ends_.erase(digest) > 0 && !held_.contains(digest)) {
    send_lease(digest, true, now);
  }
}

void trial_exchange::send_lease(const suspect_digest& digest, bool has_ended,
                                base::time_point now) {
  for (const auto& issuer : nodes_.ranked(digest, issuer_count)) {
    if (issuer == nodes_.self()) {
      note_lease(digest, {}, has_ended, now);
      continue;
    }
    wire::outgoing message{nodes_.addresses().at(issuer), {}};
    auto& lease = *message.message.mutable_crash_news()->add_trial_leases();
    lease.set_suspect(digest.bytes());
    lease.set_has_ended(has_ended);
    messages_.push_back(std::move(message));
  }
}

void trial_exchange::note_lease(const suspect_digest& digest, const base::network_address& holder,
                                bool has_ended, base::time_point now) {
  if (has_ended) {
    const auto found = leases_.find(digest);
    if (found != leases_.end() && found->second.erase(holder) > 0 && found->second.empty()) {
      leases_.erase(found);
    }
    return;
  }
  if (leases_.size() < max_granted || leases_.contains(digest)) {
    leases_[digest][holder] = now + lease_duration;
  }
}

void trial_exchange::handle(const base::network_address& sender, const wire::crash_news& message,
                            base::time_point now) {
  wire::outgoing reply{sender, {}};
  for (const auto& bytes : message.trial_requests()) {
    if (const auto digest = suspect_digest::from_bytes(bytes)) {
      auto& decision = *reply.message.mutable_crash_news()->add_trial_decisions();
      decision.set_suspect(bytes);
      decision.set_is_granted(grant(*digest, sender, now));
    }
  }
  for (const auto& lease : message.trial_leases()) {
    if (const auto digest = suspect_digest::from_bytes(lease.suspect())) {
      note_lease(*digest, sender, lease.has_ended(), now);
    }
  }
  if (reply.message.has_crash_news()) {
    messages_.push_back(std::move(reply));
  }
  for (const auto& decision : message.trial_decisions()) {
    const auto digest = suspect_digest::from_bytes(decision.suspect());
    if (digest && questions_.contains(*digest)) {
      decide(*digest, decision.is_granted(), sender.text());
    }
  }
}

void trial_exchange::advance(base::time_point now) {
  for (auto& [digest, held] : held_) {
    if (now >= held.next_renewal_at) {
      held.next_renewal_at = now + renewal_interval;
      send_lease(digest, false, now);
    }
  }
  std::erase_if(unknown_ends_, [&](const auto& end) { return end.second <= now; });
  for (auto& [digest, holders] : leases_) {
    std::erase_if(holders, [&](const auto& lease) { return lease.second <= now; });
  }
  std::erase_if(leases_, [](const auto& entry) { return entry.second.empty(); });
  std::vector<suspect_digest> overdue;
  for (const auto& [digest, question] : questions_) {
    if (now - question.asked_at >= answer_timeout) {
      overdue.push_back(digest);
    }
  }
  for (const auto& digest : overdue) {
    auto& question = questions_.at(digest);
    ++question.rank;
    ask(digest, question, now);
  }
}

std::optional<base::time_point> trial_exchange::next_wakeup() const {
  std::optional<base::time_point> earliest;
  const auto consider = [&](base::time_point due_at) {
    earliest = earliest ? std::min(*earliest, due_at) : due_at;
  };
  for (const auto& [digest, question] : questions_) {
    consider(question.asked_at + answer_timeout);
  }
  for (const auto& [digest, held] : held_) {
    consider(held.next_renewal_at);
  }
  return earliest;
}

} // namespace spurrack::quarantine
