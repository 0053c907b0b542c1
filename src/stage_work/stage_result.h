/// Results of pieces, and the processes of replicas that hold them.
///
/// A result is known by the process that produced it, as the call that produced it shows. The text
/// of its handle holds only the address of that process, and after the process has ended, a replica
/// of any service may have that address.
#pragma once

#include "base/ids.h"
#include "replicas/replica_table.h"

#include <string>
#include <vector>

namespace spurrack::serving {

/// Process of a replica that produced a result, and holds the result until it frees the result or
/// ends.
struct result_producer {
  /// Empty if the producer is unknown.
  base::replica_id replica;
  base::network_address address;
  /// Identifier that the exit of the process has.
  replica_exit incarnation_exit = 0;
  std::string service;

  [[nodiscard]] bool is_known() const { return !replica.empty(); }
  bool operator==(const result_producer&) const = default;
};

/// Result of a piece.
struct stage_result {
  /// Name by which replicas fetch and free the result: `ADDRESS/NAME`.
  std::string handle;
  result_producer producer;

  bool operator==(const stage_result&) const = default;
};

[[nodiscard]] std::vector<std::string> handles_of(const std::vector<stage_result>& results);

/// @return the state of the replica whose current process produced a result; null if the producer
///         is unknown, is not published any longer, or has restarted since.
[[nodiscard]] const replica_state* holder_of(const replica_table& replicas,
                                             const result_producer& producer);

/// @return the producer of a result that a node of an older build reports without naming it: the
///         replica of `service` that is published at the address in the handle now. Unknown if
///         there is none.
[[nodiscard]] result_producer producer_by_address(const replica_table& replicas,
                                                  const std::string& handle,
                                                  const std::string& service);

} // namespace spurrack::serving
