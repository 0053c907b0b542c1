#include "base/digest.h"

#include <openssl/evp.h>

#include <algorithm>
#include <charconv>
#include <memory>

namespace spurrack::base {
namespace {

constexpr std::size_t sha256_bytes = 32;
constexpr int hexadecimal = 16;

struct context_deleter {
  void operator()(EVP_MD_CTX* context) const { EVP_MD_CTX_free(context); }
};

/// Hashes a list of parts. The length of each part is hashed before the part, so that two different
/// lists never hash the same bytes.
class part_hash {
 public:
  part_hash() : context_(EVP_MD_CTX_new()) {
    EVP_DigestInit_ex(context_.get(), EVP_sha256(), nullptr);
  }

  void add(std::string_view part) {
    const std::uint64_t size = part.size();
    EVP_DigestUpdate(context_.get(), &size, sizeof(size));
    EVP_DigestUpdate(context_.get(), part.data(), part.size());
  }

  [[nodiscard]] digest result() {
    std::array<std::uint8_t, sha256_bytes> whole{};
    EVP_DigestFinal_ex(context_.get(), whole.data(), nullptr);
    std::array<std::uint8_t, digest::byte_count> kept{};
    std::copy_n(whole.begin(), kept.size(), kept.begin());
    return digest(kept);
  }

 private:
  std::unique_ptr<EVP_MD_CTX, context_deleter> context_;
};

} // namespace

std::optional<digest> digest::from_bytes(std::string_view bytes) {
  if (bytes.size() != byte_count) {
    return std::nullopt;
  }
  digest decoded;
  std::memcpy(decoded.bytes_.data(), bytes.data(), byte_count);
  return decoded;
}

std::optional<digest> digest::from_text(std::string_view text) {
  if (text.size() != 2 * byte_count) {
    return std::nullopt;
  }
  digest parsed;
  for (std::size_t index = 0; index < byte_count; ++index) {
    const auto* begin = text.data() + 2 * index;
    const auto result = std::from_chars(begin, begin + 2, parsed.bytes_[index], hexadecimal);
    if (result.ec != std::errc() || result.ptr != begin + 2) {
      return std::nullopt;
    }
  }
  return parsed;
}

std::string digest::bytes() const {
  return {reinterpret_cast<const char*>(bytes_.data()), byte_count};
}

std::string digest::text() const {
  constexpr std::string_view digits = "0123456789abcdef";
  std::string text;
  for (const auto byte : bytes_) {
    text += digits[byte / hexadecimal];
    text += digits[byte % hexadecimal];
  }
  return text;
}

digest digest::of(std::initializer_list<std::string_view> parts) {
  part_hash hash;
  for (const auto part : parts) {
    hash.add(part);
  }
  return hash.result();
}

} // namespace spurrack::base
