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
  /// Records the measured time from the start of a call to a service until the first byte of its
  /// answer.
  /// @param own_tokens number of tokens of the prompt outside its shared prefix.
  void note_first_byte(const std::string& service, std::uint32_t own_tokens,
                       base::duration duration);

  /// @param graph progress of the stages of the request.
  /// @param final_call service of the request itself, zone to which the results of its stages are
  ///        delivered, and its permitted regions.
  /// @param order whether the remaining pieces are assumed to be queued before or after all pieces
  ///        that are past due.
  /// @return expected time from now until the first byte of the answer to the request; std::nullopt
  ///         if some stage cannot be computed now.
  [[nodiscard]] std::optional<base::duration>
  time_to_first_byte(const model::serving_configuration& configuration, const model::route& route,
                     const stage_graph& graph, const stage_exchange& stages,
                     const service_demand& final_call, std::uint32_t own_tokens, piece_order order,
                     base::time_point now) const;

  /// @return conservative estimate of the time from the start of `stage` to the first byte of the
  ///         answer. Each stage on the longest path from `stage` counts as a call with a full batch
  ///         plus a typical wait for a replica. If a piece of `stage` starts when less than this
  ///         time is left of the request's target latency, the request will probably be late.
  [[nodiscard]] base::duration
  conservative_time_from(const model::serving_configuration& configuration,
                         const model::route& route, const stage_graph& graph, std::uint32_t stage,
                         const std::string& service, std::uint32_t own_tokens) const;

  /// @return expected time from the start of a call to a service until the first byte of its
  ///         answer.
  [[nodiscard]] base::duration first_byte_time_of(const std::string& service,
                                                  std::uint32_t own_tokens) const;

 private:
  std::unordered_map<std::string, first_byte_model> first_byte_models_;
};

} // namespace spurrack::serving
