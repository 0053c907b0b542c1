/// Progress of one request through the stages that must be finished before it may run.
#pragma once

#include "base/ids.h"
#include "model/serving_records.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace spurrack::serving {

/// One piece of one stage.
struct piece_position {
  std::uint32_t stage = 0;
  std::uint32_t piece = 0;
};

/// Not thread-safe. The route must outlive the graph.
class stage_graph {
 public:
  /// @param pieces pieces of each stage; a stage without any is left out.
  stage_graph(const model::route& route, const std::vector<std::uint32_t>& pieces);

  /// @return the pieces that can be made now and were not given out yet; counts them as given out.
  std::vector<piece_position> take_ready();
  /// The replica that makes a piece has fetched what it reads.
  void note_inputs_fetched(piece_position position);
  void complete(piece_position position, std::string handle);
  /// The replica at an address started again: what it had made is lost.
  /// @return whether the graph had any such result.
  bool note_lost_results_of(const base::network_address& producer);
  /// A piece found that a result it reads is gone. The piece, and every result that it reads and
  /// that is lost, are to be made again, together with whatever those need that was freed since.
  /// @param is_result_lost whether a result is known to be lost; where none is, all that the piece
  /// reads
  ///        are taken for lost.
  /// @return handles that are no longer of use.
  std::vector<std::string>
  recompute_inputs_of(piece_position position,
                      const std::function<bool(const std::string&)>& is_result_lost);
  /// The same for the results that the request itself reads.
  std::vector<std::string>
  recompute_final_inputs(const std::function<bool(const std::string&)>& is_result_lost);
  /// @return whether a piece was given out and is not finished.
  [[nodiscard]] bool is_under_way(piece_position position) const;

  /// @return results that the pieces of `stage` need, in the order of stages and pieces.
  [[nodiscard]] std::vector<std::string> inputs_of(std::uint32_t stage) const;
  /// @return results of the stages that no other comes after, in order.
  [[nodiscard]] std::vector<std::string> final_inputs() const;
  /// @return results of one stage, in the order of its pieces.
  [[nodiscard]] std::vector<std::string> results_of(std::uint32_t stage) const;
  /// @return whether no other stage comes after `stage`.
  [[nodiscard]] bool is_last(std::uint32_t stage) const;
  [[nodiscard]] bool is_done() const;
  /// @return whether a result that the request itself needs was freed already, or went with its
  ///         maker.
  [[nodiscard]] bool has_missing_final_inputs() const;
  /// @return results that all their users have fetched, or all results where `all` is set;
  ///         each is returned once.
  std::vector<std::string> take_unneeded_results(bool all);
  /// @param stage_time time that a stage with pieces left to make will take.
  /// @return time until all stages are finished, along the longest way.
  [[nodiscard]] base::duration
  time_left(const std::function<base::duration(std::uint32_t stage)>& stage_time) const;
  /// @param stage_time time that a stage takes.
  /// @return time from the begin of `stage` to the end of all stages after it, along the longest
  ///         way, this stage included.
  [[nodiscard]] base::duration
  time_from(std::uint32_t stage,
            const std::function<base::duration(std::uint32_t stage)>& stage_time) const;
  /// @return how often results had to be made again.
  [[nodiscard]] std::uint32_t recomputations() const { return recomputations_; }

 private:
  struct piece_state {
    bool is_submitted = false;
    bool has_fetched_inputs = false;
    bool is_freed = false;
    /// It went with its maker.
    bool is_lost = false;
    std::string handle;
  };
  [[nodiscard]] bool is_finished(std::uint32_t stage) const;
  [[nodiscard]] bool is_ready(std::uint32_t stage) const;
  [[nodiscard]] bool consumers_have_fetched(std::uint32_t stage) const;
  [[nodiscard]] bool depends_on(std::uint32_t stage, std::uint32_t dependency) const;
  /// Forgets the results of `stages` that are lost, all of them where none is known to be.
  std::vector<std::string> recompute(const std::vector<std::uint32_t>& stages,
                                     const std::function<bool(const std::string&)>& is_result_lost);
  /// A result is to be made again, and so is what it needs and was freed.
  void forget_result(std::uint32_t stage, piece_state& piece, std::vector<std::string>& obsolete);
  void append_results(std::uint32_t stage, std::vector<std::string>& results) const;

  const model::route* route_;
  std::vector<std::vector<piece_state>> stages_;
  std::uint32_t recomputations_ = 0;
};

} // namespace spurrack::serving
