/// Learns on which routes replicas never mark the end of their answers. On any other route, an
/// answer without a length and without chunks is an exception: its head or its body may be damaged.
#pragma once

#include "model/serving_records.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace spurrack::serving {

/// Counts, for each route, the successful answers that ended with their connection. Holds nothing
/// about routes whose latest answer had a length or chunks. Not thread-safe.
class framing_habits {
 public:
  /// Notes a successful answer that had a length or chunks, and was whole.
  void note_framed(const std::string& route) { open_ends_in_a_row_.erase(route); }
  /// Notes a successful answer that ended with its connection.
  void note_open_end(const std::string& route) { ++open_ends_in_a_row_[route]; }
  /// @return whether the latest answers on the route, `habit_answers` of them, all ended with their
  ///         connections.
  [[nodiscard]] bool leaves_ends_open(const std::string& route) const;
  /// Forgets the routes that a configuration does not have.
  void keep_routes_of(const model::serving_configuration& configuration);

 private:
  std::unordered_map<std::string, std::uint32_t> open_ends_in_a_row_;
};

} // namespace spurrack::serving
