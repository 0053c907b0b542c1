/// How current the published configuration of a node is.
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <optional>

namespace spurrack::serving {

struct configuration_knowledge {
  /// Era of the store from which the configuration was read.
  base::store_era era = 0;
  /// Time since the store was last known to have no later configuration; std::nullopt if that was
  /// never known.
  std::optional<base::duration> age;
  /// Whether a later configuration may exist that must be in effect by now.
  bool is_overdue = false;
};

} // namespace spurrack::serving
