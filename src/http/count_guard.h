/// RAII guard for a counter, such as the number of busy connections.
#pragma once

#include <cstddef>

namespace spurrack::http {

/// Increments a counter on construction and decrements it on destruction. The counter must outlive
/// the guard.
class count_guard {
 public:
  explicit count_guard(std::size_t& count) : count_(&count) { ++*count_; }
  ~count_guard() { --*count_; }
  count_guard(const count_guard&) = delete;
  count_guard& operator=(const count_guard&) = delete;

 private:
  std::size_t* count_;
};

} // namespace spurrack::http
