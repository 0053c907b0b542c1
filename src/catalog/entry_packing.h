/// Entries of the catalog inside a message. Many are compressed: the records of replicas are much
/// alike, 3,000 of them take 245 kB as they are and 50 kB packed, and it is the links of the
/// smallest nodes that bound how fast a large fleet starts (tests/catalog/entry_packing_test.cc).
#pragma once

#include "wire/peer.pb.h"

#include <optional>
#include <vector>

namespace spurrack::catalog {

/// Adds entries to a message.
void pack_entries(const std::vector<wire::catalog_entry>& entries, wire::catalog_push& message);

/// @return all entries of a message; nothing where the compressed ones cannot be read.
[[nodiscard]] std::optional<std::vector<wire::catalog_entry>>
unpack_entries(const wire::catalog_push& message);

} // namespace spurrack::catalog
