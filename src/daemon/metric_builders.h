/// Functions that add metrics without labels to a registry.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <cstdint>
#include <string>

namespace spurrack::daemon {

inline void add_gauge(prometheus::Registry& registry, const std::string& name,
                      const std::string& help, double value) {
  prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({}).Set(value);
}

inline void add_counter(prometheus::Registry& registry, const std::string& name,
                        const std::string& help, double value) {
  prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add({}).Increment(value);
}

inline void add_count(prometheus::Registry& registry, const char* name, const char* help,
                      std::uint64_t value) {
  add_counter(registry, name, help, static_cast<double>(value));
}

/// @return a function that adds one counter, given by its name, help text and value, to `registry`.
inline auto count_adder(prometheus::Registry& registry) {
  return [&registry](const char* name, const char* help, std::uint64_t value) {
    add_count(registry, name, help, value);
  };
}

} // namespace spurrack::daemon
