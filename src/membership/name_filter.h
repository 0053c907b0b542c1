/// Filter in a request for members. The filter contains a hash of two bytes for the name of each
/// node that the requester knows, which keeps the request short. The receiver replies only with
/// members whose hash is not in the filter.
///
/// For each known name, the hash of an unknown name equals the hash of the known name with a
/// probability of one in 65,536. If the hashes are equal, the reply lacks the member with the
/// unknown name. Each request salts the hashes differently, so the reply to a later request
/// contains this member.
#pragma once

#include "base/ids.h"

#include <bitset>
#include <cstdint>
#include <string>

namespace spurrack::membership {

/// Builds the filter of a request. Used by the requester.
class name_filter_writer {
 public:
  /// @param salt sequence number of the request.
  explicit name_filter_writer(std::uint64_t salt) : salt_(salt) {}

  void add(const base::node_id& node);
  /// @return the bytes of the filter, as they are sent. Empties the writer.
  [[nodiscard]] std::string take() { return std::move(bytes_); }

 private:
  std::uint64_t salt_;
  std::string bytes_;
};

/// Decoded filter of a received request. Used by the node that replies.
class name_filter {
 public:
  /// @param bytes the filter as sent. If the number of bytes is odd, the last byte is ignored.
  /// @param salt sequence number of the request.
  name_filter(const std::string& bytes, std::uint64_t salt);

  /// @return false if the requester does not know the node. True if the requester knows the node,
  ///         or if the hash of the node's name equals the hash of another name in the filter.
  [[nodiscard]] bool may_contain(const base::node_id& node) const;
  [[nodiscard]] bool is_empty() const { return hashes_.none(); }

 private:
  static constexpr std::size_t hash_count = 65'536;

  std::uint64_t salt_;
  /// One bit for each possible hash, set if the hash is in the filter.
  std::bitset<hash_count> hashes_;
};

} // namespace spurrack::membership
