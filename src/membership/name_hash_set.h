/// Compact set of node names in a request for members: a hash of two bytes for the name of each
/// node that the requester knows. The receiver replies only with members whose hash is not in the
/// set.
///
/// For each node that the requester knows, the hash of an unknown member equals the hash of this
/// node with a probability of one in 65,536. The reply then lacks the unknown member. Each request
/// salts the hashes differently, so the reply to a later request contains the member.
#pragma once

#include "base/ids.h"

#include <bitset>
#include <cstdint>
#include <string>

namespace spurrack::membership {

/// Builds the set of a request. Used by the requester.
class name_hash_set_writer {
 public:
  /// @param salt sequence number of the request.
  explicit name_hash_set_writer(std::uint64_t salt) : salt_(salt) {}

  void add(const base::node_id& node);
  /// @return the encoded set. Empties the writer.
  [[nodiscard]] std::string take() { return std::move(bytes_); }

 private:
  std::uint64_t salt_;
  std::string bytes_;
};

/// Decoded set of a received request. Used by the node that replies.
class name_hash_set {
 public:
  /// @param bytes the encoded set. If the number of bytes is odd, the last byte is ignored.
  /// @param salt sequence number of the request.
  name_hash_set(const std::string& bytes, std::uint64_t salt);

  /// @return whether the hash of the node's name is in the set: always true if the requester knows
  ///         the node, rarely true otherwise.
  [[nodiscard]] bool may_contain(const base::node_id& node) const;
  [[nodiscard]] bool is_empty() const { return hashes_.none(); }

 private:
  static constexpr std::size_t hash_count = 65'536;

  std::uint64_t salt_;
  /// One bit for each possible hash: whether the set contains the hash.
  std::bitset<hash_count> hashes_;
};

} // namespace spurrack::membership
