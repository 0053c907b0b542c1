/// The names a node knows, so short that they fit into a question: two bytes a name. Who answers
/// tells what is missing and nothing else. A missing name is taken for known once in 65,536 for
/// each name known; another salt with each question mends that with the next.
#pragma once

#include "base/ids.h"

#include <bitset>
#include <cstdint>
#include <string>

namespace spurrack::membership {

/// Written by who asks.
class name_filter_writer {
 public:
  explicit name_filter_writer(std::uint64_t salt) : salt_(salt) {}

  void add(const base::node_id& node);
  /// @return the filter as it is sent.
  [[nodiscard]] std::string take() { return std::move(bytes_); }

 private:
  std::uint64_t salt_;
  std::string bytes_;
};

/// Read by who answers.
class name_filter {
 public:
  /// @param bytes as sent; what is left over of a pair is ignored.
  name_filter(const std::string& bytes, std::uint64_t salt);

  [[nodiscard]] bool may_contain(const base::node_id& node) const;
  [[nodiscard]] bool is_empty() const { return slots_.none(); }

 private:
  static constexpr std::size_t slot_count = 65'536;

  std::uint64_t salt_;
  std::bitset<slot_count> slots_;
};

} // namespace spurrack::membership
