/// Handles of stage results: `ADDRESS/NAME`, where ADDRESS is the address of the replica that
/// produced the result.
#pragma once

#include "base/ids.h"

#include <string>

namespace spurrack::serving {

/// @return address of the replica that produced a result.
inline base::network_address producer_of(const std::string& handle) {
  return base::network_address(handle.substr(0, handle.find('/')));
}

} // namespace spurrack::serving
