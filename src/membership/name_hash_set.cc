#include "membership/name_hash_set.h"

#include "base/hashing.h"

namespace spurrack::membership {
namespace {

constexpr unsigned bits_per_byte = 8;

std::uint16_t name_hash(const base::node_id& node, std::uint64_t salt) {
  return static_cast<std::uint16_t>(base::stable_hash(node.text(), salt));
}

} // namespace

void name_hash_set_writer::add(const base::node_id& node) {
  const auto hash = name_hash(node, salt_);
  bytes_.push_back(static_cast<char>(hash & 0xFFU));
  bytes_.push_back(static_cast<char>(hash >> bits_per_byte));
}

name_hash_set::name_hash_set(const std::string& bytes, std::uint64_t salt) : salt_(salt) {
  for (std::size_t index = 0; index + 1 < bytes.size(); index += 2) {
    const auto low = static_cast<unsigned char>(bytes[index]);
    const auto high = static_cast<unsigned char>(bytes[index + 1]);
    hashes_.set(low | (static_cast<unsigned>(high) << bits_per_byte));
  }
}

bool name_hash_set::may_contain(const base::node_id& node) const {
  return hashes_.test(name_hash(node, salt_));
}

} // namespace spurrack::membership
