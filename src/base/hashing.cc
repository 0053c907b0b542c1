#include "base/hashing.h"

#include <xxhash.h>

namespace spurrack::base {

std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

} // namespace spurrack::base
