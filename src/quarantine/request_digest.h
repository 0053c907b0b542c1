/// What makes two requests the same one that comes again: method, host, path with its query, body
/// and who asks. Identifiers, deadlines, other header fields and where a stream is taken up differ
/// from try to try and do not count.
#pragma once

#include "serving/request.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace spurrack::quarantine {

/// The first 128 bits of a SHA-256. A caller cannot choose a request whose digest is that of
/// another caller's, since its own name is part of what is hashed and collisions cannot be found.
class request_digest {
 public:
  static constexpr std::size_t byte_count = 16;

  request_digest() = default;
  explicit request_digest(const std::array<std::uint8_t, byte_count>& bytes) : bytes_(bytes) {}
  /// @return nothing where the bytes of a message are no digest.
  static std::optional<request_digest> from_bytes(std::string_view bytes);
  /// @return nothing where the text is no digest as `text` gives it.
  static std::optional<request_digest> from_text(std::string_view text);

  /// @return the bytes as messages carry them.
  [[nodiscard]] std::string bytes() const;
  /// @return 32 hexadecimal digits, for logs and operators.
  [[nodiscard]] std::string text() const;
  auto operator<=>(const request_digest&) const = default;

 private:
  std::array<std::uint8_t, byte_count> bytes_{};
};

/// @param tenant whom the request's key belongs to; empty where the route is public.
/// @return the digest of a request. About 2 microseconds for each 1,000 bytes of its body.
[[nodiscard]] request_digest digest_of(const serving::request_content& content,
                                       std::string_view tenant);

} // namespace spurrack::quarantine

template <>
struct std::hash<spurrack::quarantine::request_digest> {
  std::size_t operator()(const spurrack::quarantine::request_digest& digest) const noexcept {
    return std::hash<std::string>{}(digest.bytes());
  }
};
