/// Digest that identifies a list of texts.
#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <functional>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace spurrack::base {

/// The first 128 bits of a SHA-256 hash: finding two lists with the same digest is infeasible.
class digest {
 public:
  static constexpr std::size_t byte_count = 16;

  digest() = default;
  explicit digest(const std::array<std::uint8_t, byte_count>& bytes) : bytes_(bytes) {}
  /// Computes the digest of a list of texts. The lists {"ab"} and {"a", "b"} have different
  /// digests.
  static digest of(std::initializer_list<std::string_view> parts);
  /// Decodes a digest from a message of another node.
  /// @return std::nullopt if the bytes do not have the length of a digest.
  static std::optional<digest> from_bytes(std::string_view bytes);
  /// Parses the form that `text` returns.
  /// @return std::nullopt if the text is not 32 hexadecimal digits.
  static std::optional<digest> from_text(std::string_view text);

  /// @return the bytes of the digest, as messages between nodes carry them.
  [[nodiscard]] std::string bytes() const;
  /// @return 32 hexadecimal digits, for logs and operators.
  [[nodiscard]] std::string text() const;
  auto operator<=>(const digest&) const = default;

 private:
  std::array<std::uint8_t, byte_count> bytes_{};
};

} // namespace spurrack::base

template <>
struct std::hash<spurrack::base::digest> {
  std::size_t operator()(const spurrack::base::digest& value) const noexcept {
    return std::hash<std::string>{}(value.bytes());
  }
};
