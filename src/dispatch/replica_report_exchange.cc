#include "dispatch/replica_report_exchange.h"

#include <algorithm>
#include <cmath>

namespace spurrack::serving {
namespace {

/// Maximum number of nodes that receive one message; they are drawn at random if this node's region
/// has more. In a region of 100 nodes, the first messages of two nodes together reach about half of
/// the other nodes.
constexpr std::size_t max_recipients = 32;
/// Maximum number of health reports in one message, which then has about 300 bytes. Reports on
/// replicas that answer calls with failures come last.
constexpr std::size_t max_reports_per_message = 8;
/// Minimum interval between two messages; the first report is sent at once. Because each message
/// goes to at most 32 nodes, a node sends at most 32 times 300 bytes per second, and only while its
/// calls fail.
constexpr base::duration message_interval = std::chrono::milliseconds(1000);

wire::replica_sign to_wire(replica_health health) {
  switch (health) {
  case replica_health::unresponsive:
    return wire::SIGN_SILENT;
  case replica_health::unreachable:
    return wire::SIGN_UNREACHABLE;
  case replica_health::failing:
    return wire::SIGN_FAILING;
  case replica_health::healthy:
    break;
  }
  return wire::SIGN_WELL;
}

/// Maps values that only newer versions know to `healthy`.
replica_health from_wire(wire::replica_sign sign) {
  switch (sign) {
  case wire::SIGN_SILENT:
    return replica_health::unresponsive;
  case wire::SIGN_UNREACHABLE:
    return replica_health::unreachable;
  case wire::SIGN_FAILING:
    return replica_health::failing;
  default:
    return replica_health::healthy;
  }
}

std::uint32_t rounded(double calls) {
  return static_cast<std::uint32_t>(std::lround(calls));
}

} // namespace

replica_report_exchange::replica_report_exchange(replica_table& replicas, base::zone_id own_zone,
                                                 const model::zone_regions& regions,
                                                 base::random_source& random)
    : replicas_(&replicas), own_zone_(std::move(own_zone)), regions_(regions), random_(&random) {}

void replica_report_exchange::set_peers(const std::vector<fleet_peer>& alive) {
  region_peers_.clear();
  for (const auto& peer : alive) {
    if (regions_.are_in_same_region(peer.zone, own_zone_)) {
      region_peers_.push_back(peer.address);
    }
  }
}

std::optional<base::time_point> replica_report_exchange::next_wakeup() const {
  const bool has_reports = !pending_.empty() || replicas_->has_changed_health();
  return has_reports && path_state_ != path_state::in_doubt ? std::optional(next_message_at_)
                                                            : std::nullopt;
}

wire::replica_news replica_report_exchange::collect_reports(base::time_point now) {
  pending_.merge(replicas_->take_replicas_with_changed_health());
  std::vector<std::pair<base::replica_id, replica_health_report>> reports;
  for (const auto& id : pending_) {
    const auto* state = replicas_->find(id);
    const auto report =
        state == nullptr ? std::nullopt : replica_table::own_health_report(*state, now);
    if (report) {
      reports.emplace_back(id, *report);
    }
  }
  std::stable_partition(reports.begin(), reports.end(), [](const auto& entry) {
    return entry.second.health != replica_health::failing;
  });
  pending_.clear();
  wire::replica_news report_batch;
  for (const auto& [id, report] : reports) {
    if (report_batch.evidence_size() == static_cast<int>(max_reports_per_message)) {
      pending_.insert(id);
      continue;
    }
    auto& entry = *report_batch.add_evidence();
    entry.set_replica(id.text());
    entry.set_sign(to_wire(report.health));
    entry.set_calls(rounded(report.bad_calls));
    entry.set_good_calls(rounded(report.good_calls));
    entry.set_life_mark(incarnation_fingerprint_of(*replicas_->find(id)->record));
    entry.set_age_milliseconds(
        static_cast<std::uint32_t>(base::to_milliseconds(now - report.seen_at)));
    entry.set_backoff_milliseconds(static_cast<std::uint32_t>(
        std::max<std::int64_t>(0, base::to_milliseconds(report.backoff_ends_at - now))));
  }
  return report_batch;
}

void replica_report_exchange::advance(base::time_point now) {
  const bool is_in_doubt = path_state_ == path_state::in_doubt;
  if (is_in_doubt || now < next_message_at_ ||
      (pending_.empty() && !replicas_->has_changed_health())) {
    return;
  }
  auto report_batch = collect_reports(now);
  report_batch.set_reporter_is_in_doubt(path_state_ != path_state::working);
  if (report_batch.evidence_size() == 0) {
    return;
  }
  next_message_at_ = now + message_interval;
  auto recipients = region_peers_;
  for (std::size_t sent = 0; sent < max_recipients && !recipients.empty(); ++sent) {
    wire::outgoing message{base::take_random(recipients, *random_), {}};
    *message.message.mutable_replica_news() = report_batch;
    messages_.push_back(std::move(message));
    ++counts_.messages;
  }
}

void replica_report_exchange::set_path_state(path_state state, base::time_point now) {
  if (path_state_ == path_state::in_doubt && state == path_state::suspected) {
    // Other nodes must learn soon that the earlier reports of this node are doubtful.
    next_message_at_ = now;
  }
  path_state_ = state;
}

bool replica_report_exchange::is_of_other_incarnation(const wire::replica_evidence& entry) const {
  const auto* state = replicas_->find(base::replica_id(entry.replica()));
  if (state == nullptr) {
    return false;
  }
  const auto known_fingerprint = incarnation_fingerprint_of(*state->record);
  const auto reported_fingerprint = entry.life_mark();
  return known_fingerprint != 0 && reported_fingerprint != 0 &&
         known_fingerprint != reported_fingerprint;
}

std::vector<base::replica_id> replica_report_exchange::handle(const base::node_id& sender,
                                                              const wire::replica_news& message,
                                                              base::time_point now) {
  std::vector<base::replica_id> down;
  if (message.reporter_is_in_doubt()) {
    replicas_->discard_reports_of(sender, now);
  }
  for (const auto& entry : message.evidence()) {
    const base::replica_id replica(entry.replica());
    if (is_of_other_incarnation(entry)) {
      ++counts_.of_other_incarnations;
      continue;
    }
    const base::duration age = std::chrono::milliseconds(entry.age_milliseconds());
    const base::duration backoff = std::chrono::milliseconds(entry.backoff_milliseconds());
    const auto health = from_wire(entry.sign());
    if (message.reporter_is_in_doubt()) {
      replicas_->note_doubtful_report(replica, health, now - age);
      continue;
    }
    if (health == replica_health::healthy) {
      latest_activity_at_peers_ =
          std::max(latest_activity_at_peers_.value_or(now - age), now - age);
    }
    replicas_->record_report(replica, sender,
                             {health, static_cast<double>(entry.good_calls()),
                              static_cast<double>(entry.calls()), now - age, now + backoff},
                             now);
    ++counts_.applied;
    if (replicas_->is_declared_down(replica, now)) {
      down.push_back(replica);
    }
  }
  return down;
}

} // namespace spurrack::serving
