/// Estimates the times of requests, so that requests that cannot be served in time are refused
/// early.
#pragma once

#include "base/time.h"
#include "engines/first_byte_model.h"
#include "model/serving_records.h"
#include "stage_work/stage_exchange.h"
#include "stage_work/stage_graph.h"

#include <string>
#include <unordered_map>

namespace spurrack::serving {

/// Learns how long calls take to the first byte of their answer, and estimates how long a request
/// still needs until its first byte. Not thread-safe.
class admission_estimate {
 public:
  /// Records the time from a call of a service to the first byte of its answer.
  /// @param own_tokens number of tokens of the prompt outside its shared prefix.
  void note_first_byte(const std::string& service, std::uint32_t own_tokens,
                       base::duration duration);

  /// @param final_call call of the request itself, with the zone that needs its stages' results.
  /// @param order whether the pieces are queued before or after the pieces that are past due.
  /// @return expected time until the first byte of the answer to a request whose stages have
  ///         progressed as `graph` shows; std::nullopt if some stage cannot be computed now.
  [[nodiscard]] std::optional<base::duration>
  time_to_first_byte(const model::serving_configuration& configuration, const model::route& route,
                     const stage_graph& graph, const stage_exchange& stages,
                     const service_demand& final_call, std::uint32_t own_tokens, piece_order order,
                     base::time_point now) const;

  /// @return conservative estimate of the time from the start of `stage` to the first byte of the
  ///         answer: a call with a full batch and a typical wait for each stage on the longest
  ///         path. If a piece of `stage` starts with less time left, its request will probably be
  ///         late.
  [[nodiscard]] base::duration
  conservative_time_from(const model::serving_configuration& configuration,
                         const model::route& route, const stage_graph& graph, std::uint32_t stage,
                         const std::string& service, std::uint32_t own_tokens) const;

  /// @return expected time of a call of a service to its first byte.
  [[nodiscard]] base::duration first_byte_time_of(const std::string& service,
                                                  std::uint32_t own_tokens) const;

 private:
  std::unordered_map<std::string, first_byte_model> first_byte_models_;
};

} // namespace spurrack::serving
