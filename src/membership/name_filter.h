/// Filter in a request for members: hashes of two bytes for the names of all nodes that the
/// requester knows, so that the request stays short. The receiver replies only with members whose
/// names do not match the filter.
///
/// The hash of a name that the requester does not know equals the hash of a given known name with a
/// probability of one in 65,536; the reply then lacks the member with the unknown name. Since each
/// request has a different salt, the reply to a later request contains this member.
#pragma once

#include "base/ids.h"

#include <bitset>
#include <cstdint>
#include <string>

namespace spurrack::membership {

/// Builds the filter at the requester.
class name_filter_writer {
 public:
  /// @param salt sequence number of the request.
  explicit name_filter_writer(std::uint64_t salt) : salt_(salt) {}

  void add(const base::node_id& node);
  /// @return the filter in the form in which it is sent. Empties the writer.
  [[nodiscard]] std::string take() { return std::move(bytes_); }

 private:
  std::uint64_t salt_;
  std::string bytes_;
};

/// Filter of the member names that a requester knows, decoded by the node that replies.
class name_filter {
 public:
  /// @param bytes the filter as sent; an incomplete pair of bytes at the end is ignored.
  /// @param salt sequence number of the request.
  name_filter(const std::string& bytes, std::uint64_t salt);

  /// @return false only if the requester does not know the node.
  [[nodiscard]] bool may_contain(const base::node_id& node) const;
  [[nodiscard]] bool is_empty() const { return slots_.none(); }

 private:
  static constexpr std::size_t slot_count = 65'536;

  std::uint64_t salt_;
  /// Hashes of the names in the filter.
  std::bitset<slot_count> slots_;
};

} // namespace spurrack::membership
