/// Long texts for entries that are too large or too deeply nested.
#pragma once

#include <cstddef>
#include <string>

namespace spurrack::platform_tests {

/// @return `text`, `count` times.
inline std::string repeat(const std::string& text, std::size_t count) {
  std::string repeated;
  repeated.reserve(text.size() * count);
  for (std::size_t index = 0; index < count; ++index) {
    repeated += text;
  }
  return repeated;
}

} // namespace spurrack::platform_tests
