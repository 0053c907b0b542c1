/// Filter of the node names that a node knows, as a set of hashes of two bytes per name, short
/// enough for a request for members. The receiver of the request answers only with names that are
/// missing. For each known name, a missing name is taken for known with a probability of one in
/// 65,536; each request has a different salt, so a later request finds the name.
#pragma once

#include "base/ids.h"

#include <bitset>
#include <cstdint>
#include <string>

namespace spurrack::membership {

/// Builds the filter at the requesting node.
class name_filter_writer {
 public:
  explicit name_filter_writer(std::uint64_t salt) : salt_(salt) {}

  void add(const base::node_id& node);
  /// @return the filter in the form in which it is sent. Empties the writer.
  [[nodiscard]] std::string take() { return std::move(bytes_); }

 private:
  std::uint64_t salt_;
  std::string bytes_;
};

/// Filter as read by the node that answers.
class name_filter {
 public:
  /// @param bytes the filter as sent; an incomplete pair of bytes at the end is ignored.
  name_filter(const std::string& bytes, std::uint64_t salt);

  [[nodiscard]] bool may_contain(const base::node_id& node) const;
  [[nodiscard]] bool is_empty() const { return slots_.none(); }

 private:
  static constexpr std::size_t slot_count = 65'536;

  std::uint64_t salt_;
  std::bitset<slot_count> slots_;
};

} // namespace spurrack::membership
