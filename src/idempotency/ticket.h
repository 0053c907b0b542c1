/// Tickets: permission to run one request once, bound to one incarnation of one node. A caller
/// obtains a ticket first and redeems it later by sending it with its request, as in brokered
/// leases (Irwin et al., USENIX 2006). Only the incarnation that issued a ticket accepts it, so
/// nodes need not agree, and the request runs at most once even during network partitions.
#pragma once

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace spurrack::idempotency {

/// Content of a ticket. Callers receive its text form, which is opaque to them.
struct ticket {
  /// Node that issued the ticket.
  base::node_id node;
  /// Incarnation of the node that issued the ticket.
  base::incarnation process_start = 0;
  std::uint64_t nonce = 0;

  /// @return `node~process_start~nonce`, with the numbers in hexadecimal.
  [[nodiscard]] std::string text() const;
  /// @return the ticket whose text form is `text`; std::nullopt if `text` is not a ticket.
  static std::optional<ticket> parse(const std::string& text);
};

/// @return a new ticket of a node, with a random nonce.
ticket issue_ticket(const base::node_id& node, base::incarnation process_start,
                    base::random_source& random);

} // namespace spurrack::idempotency
