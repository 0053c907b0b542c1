/// Limits that one node knows of, and the permits that it holds and issues.
#pragma once

#include "base/random.h"
#include "rate_limits/limit_exchange.h"
#include "replica_statements/statement_exchange.h"

#include <utility>
#include <vector>

namespace spurrack::rate_limits {

class permit_node {
 public:
  permit_node(const serving::fleet_peer& self, const replica_statements::replica_lookup& lookup,
              base::random_source& random, base::incarnation incarnation)
      : statements_(lookup, random), permits_(self, statements_, lookup, incarnation) {}
  permit_node(const permit_node&) = delete;
  permit_node& operator=(const permit_node&) = delete;
  ~permit_node() = default;

  void set_peers(const std::vector<serving::fleet_peer>& alive, std::size_t known_peers) {
    statements_.set_peers(alive);
    permits_.set_peers(alive, known_peers);
  }
  void record_limit(const base::replica_id& replica, const serving::named_limit& announced_limit,
                    base::time_point call_began, base::time_point now) {
    serving::replica_statement self_report;
    self_report.limit = announced_limit;
    statements_.hear(replica, self_report, call_began, now);
  }
  void forget(const base::replica_id& replica) {
    statements_.forget(replica);
    permits_.forget(replica);
  }
  void handle(const base::node_id& sender, const wire::rate_limits& message, base::time_point now) {
    statements_.handle(sender, message, now);
    permits_.handle(sender, message, now);
  }
  void advance(base::time_point now) {
    statements_.advance(now);
    permits_.advance(now);
  }
  [[nodiscard]] wire::outbox take_messages() {
    auto messages = statements_.take_messages();
    auto permit_messages = permits_.take_messages();
    std::move(permit_messages.begin(), permit_messages.end(), std::back_inserter(messages));
    return messages;
  }

  [[nodiscard]] replica_statements::statement_exchange& statements() { return statements_; }
  [[nodiscard]] limit_exchange& permits() { return permits_; }

 private:
  replica_statements::statement_exchange statements_;
  limit_exchange permits_;
};

} // namespace spurrack::rate_limits
