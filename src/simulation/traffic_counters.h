/// Counts the bytes that simulated nodes send to each other, by kind of message. The bytes of a
/// message are its serialized size, without the overhead of the transport.
#pragma once

#include "wire/peer.pb.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <tuple>

namespace spurrack::simulation {

/// Messages of one kind in one direction between two nodes.
struct traffic_flow {
  wire::envelope::BodyCase kind = wire::envelope::BODY_NOT_SET;
  std::string sender;
  std::string receiver;
  auto operator<=>(const traffic_flow&) const = default;
};

/// Number of bytes of each flow. Not thread-safe.
class traffic_counters {
 public:
  void add(const traffic_flow& flow, std::uint64_t bytes) { flows_[flow] += bytes; }
  void clear() { flows_.clear(); }

  [[nodiscard]] const std::map<traffic_flow, std::uint64_t>& flows() const { return flows_; }

  /// Sums the bytes of the flows that have the same key.
  /// @param key_of function that returns the key of a flow, such as its sender, its kind or a pair
  ///        of zones.
  template <typename key_function>
  [[nodiscard]] auto sum_by(const key_function& key_of) const {
    std::map<std::invoke_result_t<key_function, const traffic_flow&>, std::uint64_t> sums;
    for (const auto& [flow, bytes] : flows_) {
      sums[key_of(flow)] += bytes;
    }
    return sums;
  }

 private:
  std::map<traffic_flow, std::uint64_t> flows_;
};

} // namespace spurrack::simulation
