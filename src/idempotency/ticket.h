/// Tickets: permission to run one request once, bound to one life of one node. The ticket/redeem
/// split follows brokered leases (Irwin et al., USENIX 2006): the issuer alone redeems, so no
/// agreement between nodes is needed and it holds in every partition.
#pragma once

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace spurrack::idempotency {

/// What a ticket says. Its text form is given to callers, who treat it as opaque.
struct ticket {
  base::node_id node;
  base::incarnation process_start = 0;
  std::uint64_t nonce = 0;

  /// @return `node~process_start~nonce`, numbers in hexadecimal.
  [[nodiscard]] std::string text() const;
  /// @return nothing where the text is not a ticket.
  static std::optional<ticket> parse(const std::string& text);
};

/// @return a new ticket of the given node, with a random nonce.
ticket issue_ticket(const base::node_id& node, base::incarnation process_start,
                    base::random_source& random);

} // namespace spurrack::idempotency
