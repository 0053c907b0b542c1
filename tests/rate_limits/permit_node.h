/// What one node knows of replicas that name limits, and the permits it holds and issues.
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
              base::random_source& random, base::incarnation life)
      : self_reports_(lookup, random), permits_(self, self_reports_, lookup, life) {}
  permit_node(const permit_node&) = delete;
  permit_node& operator=(const permit_node&) = delete;
  ~permit_node() = default;

  void set_peers(const std::vector<serving::fleet_peer>& alive, std::size_t known) {
    self_reports_.set_peers(alive);
    permits_.set_peers(alive, known);
  }
  void hear(const base::replica_id& replica, const serving::announced_limit& said,
            base::time_point call_started_at, base::time_point now) {
    serving::replica_self_report statement;
    statement.limit = said;
    self_reports_.record_self_report(replica, statement, call_started_at, now);
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
    auto more = permits_.take_messages();
    std::move(more.begin(), more.end(), std::back_inserter(messages));
    return messages;
  }

  [[nodiscard]] self_reports::self_report_exchange& replica_self_reports() { return self_reports_; }
  [[nodiscard]] limit_exchange& permits() { return permits_; }

 private:
  self_reports::self_report_exchange self_reports_;
  limit_exchange permits_;
};

} // namespace spurrack::rate_limits
