/// Packing of catalog entries into messages. Large numbers of entries are compressed, because the
/// links of the smallest nodes determine how fast a large fleet starts. The records of replicas
/// resemble each other, so they compress well: 3,000 records of replicas take 245 kB uncompressed
/// and 50 kB compressed (tests/catalog/entry_packing_test.cc).
#pragma once

#include "catalog/source_kind.h"
#include "wire/peer.pb.h"

#include <optional>
#include <vector>

namespace spurrack::catalog {

/// @return the range of the entries of a service after one position, through another.
[[nodiscard]] wire::entry_range make_entry_range(source_kind source, store_position after,
                                                 store_position through);

/// Adds entries to a message. The entries are compressed if their total size is large.
void pack_entries(const std::vector<wire::catalog_entry>& entries, wire::catalog_push& message);

/// @return all entries of a message, compressed or not; std::nullopt if the compressed entries
///         cannot be read.
[[nodiscard]] std::optional<std::vector<wire::catalog_entry>>
unpack_entries(const wire::catalog_push& message);

} // namespace spurrack::catalog
