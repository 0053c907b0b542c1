/// A node for tests of limits: the limits that it knows, and the permits that it holds and issues.
#pragma once

#include "base/random.h"
#include "rate_limits/limit_exchange.h"
#include "self_reports/self_report_exchange.h"

#include <utility>
#include <vector>

namespace spurrack::rate_limits {

class permit_node {
 public:
  permit_node(const serving::fleet_peer& self, const self_reports::replica_lookup& lookup,
              base::random_source& random, base::incarnation incarnation)
      : self_reports_(lookup, random), permits_(self, self_reports_, lookup, incarnation) {}
  permit_node(const permit_node&) = delete;
  permit_node& operator=(const permit_node&) = delete;
  ~permit_node() = default;

  void set_peers(const std::vector<serving::fleet_peer>& alive, std::size_t known_peers) {
    self_reports_.set_peers(alive);
    permits_.set_peers(alive, known_peers);
  }
  void record_limit(const base::replica_id& replica,
                    const serving::announced_limit& announced_limit,
                    base::time_point call_started_at, base::time_point now) {
    serving::replica_self_report self_report;
    self_report.limit = announced_limit;
    self_reports_.record_self_report(replica, self_report, call_started_at, now);
  }
  void forget(const base::replica_id& replica) {
    self_reports_.forget(replica);
    permits_.forget(replica);
  }
  void handle(const base::node_id& sender, const wire::rate_limits& message, base::time_point now) {
    self_reports_.handle(sender, message, now);
    permits_.handle(sender, message, now);
  }
  void advance(base::time_point now) {
    self_reports_.advance(now);
    permits_.advance(now);
  }
  [[nodiscard]] wire::outbox take_messages() {
    auto messages = self_reports_.take_messages();
    auto permit_messages = permits_.take_messages();
    std::move(permit_messages.begin(), permit_messages.end(), std::back_inserter(messages));
    return messages;
  }

  [[nodiscard]] self_reports::self_report_exchange& replica_self_reports() { return self_reports_; }
  [[nodiscard]] limit_exchange& permits() { return permits_; }

 private:
  self_reports::self_report_exchange self_reports_;
  limit_exchange permits_;
};

} // namespace spurrack::rate_limits
