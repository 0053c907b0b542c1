/// Tracks the stages of one request that must finish before the request itself may run.
#pragma once

#include "base/ids.h"
#include "model/serving_records.h"
#include "stage_work/stage_result.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace spurrack::serving {

/// Position of a piece in a request: index of its stage in the route, and of the piece in the
/// stage.
struct piece_position {
  std::uint32_t stage = 0;
  std::uint32_t piece = 0;
};

/// State of the pieces of all stages of one request. Not thread-safe. The route must outlive the
/// graph.
class stage_graph {
 public:
  /// @param pieces number of pieces of each stage; a stage without pieces is skipped.
  stage_graph(const model::route& route, const std::vector<std::uint32_t>& pieces);

  /// @return pieces whose inputs are complete and that were not returned before; marks them as
  ///         submitted.
  std::vector<piece_position> take_ready();
  /// Lets `take_ready` return a submitted piece again, because its call was given up.
  void withdraw(piece_position position);
  /// Records that the replica that runs a piece has fetched the inputs of the piece.
  void note_inputs_fetched(piece_position position);
  /// Records the result of a piece.
  void complete(piece_position position, stage_result result);
  /// Marks the results of a process of a replica as lost because the replica restarted.
  /// @param ended_process exit of the process.
  /// @return whether the graph has any result of that process that is not freed.
  bool note_lost_results_of(const base::replica_id& replica, replica_exit ended_process);
  /// Schedules the recomputation of a piece whose replica found an input missing, of those inputs
  /// of the piece that are lost or freed, and of the freed results that these inputs were computed
  /// from. If an input of the piece is being recomputed already, schedules only the piece itself:
  /// the loss was found before, and the lost inputs were scheduled then.
  /// @param is_result_lost whether a result is known to be lost. All inputs of the piece are
  ///        assumed to be lost if none is known to be lost or freed. The same applies if this graph
  ///        has recomputed results before: if results are missing again, more were lost than is
  ///        known.
  /// @return the results that the recomputation replaces, for the caller to free.
  std::vector<stage_result>
  recompute_inputs_of(piece_position position,
                      const std::function<bool(const stage_result&)>& is_result_lost);
  /// Schedules the recomputation of each final input (see `final_inputs`) that is lost or freed,
  /// and of the freed results that these final inputs were computed from. `is_result_lost` and the
  /// return value are as in `recompute_inputs_of`.
  std::vector<stage_result>
  recompute_final_inputs(const std::function<bool(const stage_result&)>& is_result_lost);
  /// Treats the pieces without a result as computed and freed, so that a later recomputation
  /// computes them again with their inputs.
  void drop_unfinished();
  /// @return whether the piece at `position` is submitted and not finished.
  [[nodiscard]] bool is_under_way(piece_position position) const;

  /// @return the results that the pieces of `stage` read, ordered by stage and piece.
  [[nodiscard]] std::vector<stage_result> inputs_of(std::uint32_t stage) const;
  /// @return the results that the request itself reads, ordered by stage and piece: the results of
  ///         the stages that no other stage depends on.
  [[nodiscard]] std::vector<stage_result> final_inputs() const;
  /// @return the results of one stage, ordered by piece.
  [[nodiscard]] std::vector<stage_result> results_of(std::uint32_t stage) const;
  /// @return whether no other stage depends on `stage`.
  [[nodiscard]] bool is_last(std::uint32_t stage) const;
  /// @return whether all stages are finished.
  [[nodiscard]] bool is_done() const;
  /// @return whether a result that the request itself reads was freed, or was lost when the replica
  ///         that produced it restarted.
  [[nodiscard]] bool has_missing_final_inputs() const;
  /// @return the results that no piece has to fetch any more, or all results if `all` is set. Marks
  ///         the results as freed, so that each result is returned once. The results that the
  ///         request itself reads are returned only if `all` is set.
  std::vector<stage_result> take_unneeded_results(bool all);
  /// @param stage_time expected duration of a stage that is not finished.
  /// @return time until all stages are finished, along the critical path.
  [[nodiscard]] base::duration
  time_left(const std::function<base::duration(std::uint32_t stage)>& stage_time) const;
  /// @param stage_time expected duration of a stage.
  /// @return time from the start of `stage` to the end of all stages that depend on it, along the
  ///         critical path, including `stage`.
  [[nodiscard]] base::duration
  time_from_start_of(std::uint32_t stage,
                     const std::function<base::duration(std::uint32_t stage)>& stage_time) const;
  /// @return number of times that results had to be recomputed.
  [[nodiscard]] std::uint32_t recomputations() const { return recomputations_; }

 private:
  struct piece_state {
    bool is_submitted = false;
    bool has_fetched_inputs = false;
    bool is_freed = false;
    /// The result was lost when the replica that produced it restarted.
    bool is_lost = false;
    stage_result result;
    [[nodiscard]] bool has_result() const { return !result.handle.empty(); }
  };
  /// @return whether all pieces of a stage have results.
  [[nodiscard]] bool is_finished(std::uint32_t stage) const;
  /// @return whether all stages that a stage depends on are finished.
  [[nodiscard]] bool is_ready(std::uint32_t stage) const;
  /// @return whether all pieces that read the results of a stage have fetched them.
  [[nodiscard]] bool consumers_have_fetched(std::uint32_t stage) const;
  [[nodiscard]] bool depends_on(std::uint32_t stage, std::uint32_t dependency) const;
  /// Schedules the recomputation of those results of `stages` that are lost or freed. Schedules all
  /// results of `stages` if none is known to be lost or freed, or if this graph has recomputed
  /// results before.
  /// @return the results that the recomputation replaces.
  std::vector<stage_result>
  recompute(const std::vector<std::uint32_t>& stages,
            const std::function<bool(const stage_result&)>& is_result_lost);
  /// Resets a piece, the unfinished pieces that read its result, and the pieces whose freed results
  /// it reads, so that `take_ready` returns all of them again.
  /// @param obsolete receives the results that the recomputation replaces.
  void schedule_recomputation(std::uint32_t stage, piece_state& piece,
                              std::vector<stage_result>& obsolete);
  void append_results(std::uint32_t stage, std::vector<stage_result>& results) const;

  const model::route* route_;
  std::vector<std::vector<piece_state>> stages_;
  std::uint32_t recomputations_ = 0;
};

} // namespace spurrack::serving
