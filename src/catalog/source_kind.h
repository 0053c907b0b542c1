/// The two services of the platform, and positions in the sequence of their entries.
#pragma once

#include "base/ids.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace spurrack::catalog {

/// The two platform services, which publish the entries of the platform's store: `configuration`
/// publishes the configuration, `machine_list` the machines and replicas.
enum class source_kind : std::uint8_t { configuration, machine_list };
inline constexpr std::array all_sources{source_kind::configuration, source_kind::machine_list};
inline constexpr std::size_t source_count = all_sources.size();

/// Position of a write in the order of all writes to the store: by era, then by revision.
struct store_position {
  base::store_era era = 0;
  base::revision revision = 0;
  auto operator<=>(const store_position&) const = default;
};

} // namespace spurrack::catalog
