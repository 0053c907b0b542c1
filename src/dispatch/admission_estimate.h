/// Expected times of requests, for refusing early what cannot be served in time.
#pragma once

#include "base/time.h"
#include "engines/first_byte_model.h"
#include "model/serving_records.h"
#include "stage_work/stage_exchange.h"
#include "stage_work/stage_graph.h"

#include <string>
#include <unordered_map>

namespace spurrack::serving {

/// Learns how long calls take to their first byte and adds up what is left of a request. Not
/// thread-safe.
class admission_estimate {
 public:
  /// A call of a service took this long to its first byte.
  /// @param own_tokens tokens of the prompt that no other request shares.
  void note_first_byte(const std::string& service, std::uint32_t own_tokens,
                       base::duration duration);

  /// @param final_call the call after the stages, and where their results are wanted.
  /// @param standing whether the pieces of the request are in time.
  /// @return time until the first byte of a request whose stages stand as `graph` says; nothing
  ///         where some stage cannot be made at all.
  [[nodiscard]] std::optional<base::duration>
  time_to_first_byte(const model::serving_configuration& configuration, const model::route& route,
                     const stage_graph& graph, const stage_exchange& stages,
                     const service_demand& final_call, std::uint32_t own_tokens,
                     piece_standing order, base::time_point now) const;

  /// @return time to plan with from the begin of `stage` to the first byte: full calls and a usual
  ///         wait for each stage on the longest way. A piece that starts with less of it left will
  ///         likely make its request late.
  [[nodiscard]] base::duration
  conservative_time_from(const model::serving_configuration& configuration,
                         const model::route& route, const stage_graph& graph, std::uint32_t stage,
                         const std::string& service, std::uint32_t own_tokens) const;

  /// @return usual time of a call of a service to its first byte.
  [[nodiscard]] base::duration first_byte_time_of(const std::string& service,
                                                  std::uint32_t own_tokens) const;

 private:
  std::unordered_map<std::string, first_byte_model> first_byte_models_;
};

} // namespace spurrack::serving
