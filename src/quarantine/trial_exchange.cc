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
/// Maximum number of suspects of which an issuer keeps the latest trial.
constexpr std::size_t max_granted = 256;

} // namespace

void trial_exchange::request(const suspect_digest& digest, base::time_point now) {
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
    decide(digest, state != quarantine_state::quarantined && grant(digest, now), "no issuer");
    return;
  }
  const auto& issuer = issuers[question.rank];
  if (issuer == nodes_.self()) {
    decide(digest, grant(digest, now), issuer.text());
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

bool trial_exchange::grant(const suspect_digest& digest, base::time_point now) {
  const auto* record = registry_->find(digest);
  const auto latest = granted_at_.find(digest);
  const bool is_under_way = latest != granted_at_.end() && now - latest->second < trial_duration &&
                            (record == nullptr || record->last_exit_at() <= latest->second);
  const bool is_due = record == nullptr || registry_->is_trial_due(*record, now);
  if (is_under_way || !is_due) {
    ++counts_.denied;
    return false;
  }
  if (granted_at_.size() == max_granted) {
    granted_at_.erase(std::min_element(
        granted_at_.begin(), granted_at_.end(),
        [](const auto& left, const auto& right) { return left.second < right.second; }));
  }
  granted_at_[digest] = now;
  ++counts_.granted;
  return true;
}

void trial_exchange::handle(const base::network_address& sender, const wire::crash_news& message,
                            base::time_point now) {
  wire::outgoing reply{sender, {}};
  for (const auto& bytes : message.trial_requests()) {
    if (const auto digest = suspect_digest::from_bytes(bytes)) {
      auto& decision = *reply.message.mutable_crash_news()->add_trial_decisions();
      decision.set_suspect(bytes);
      decision.set_is_granted(grant(*digest, now));
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
  for (const auto& [digest, question] : questions_) {
    const auto due_at = question.asked_at + answer_timeout;
    earliest = earliest ? std::min<base::time_point>(*earliest, due_at) : due_at;
  }
  return earliest;
}

} // namespace spurrack::quarantine
