/// Counts what lasts as long as a scope.
#pragma once

#include <cstddef>

namespace spurrack::http {

/// Counts something for as long as it lasts.
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
