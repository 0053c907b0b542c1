#include "stage_work/stage_graph.h"

#include <algorithm>
#include <utility>

namespace spurrack::serving {
namespace {

/// Handle of a piece whose computation was given up; such a piece counts as freed.
constexpr const char* dropped_handle = "dropped";

} // namespace

stage_graph::stage_graph(const model::route& route, const std::vector<std::uint32_t>& pieces)
    : route_(&route) {
  for (std::size_t stage = 0; stage < route.stages.size(); ++stage) {
    stages_.emplace_back(stage < pieces.size() ? pieces[stage] : 0);
  }
}

bool stage_graph::is_finished(std::uint32_t stage) const {
  return std::all_of(stages_[stage].begin(), stages_[stage].end(),
                     [](const piece_state& piece) { return piece.has_result(); });
}

bool stage_graph::is_ready(std::uint32_t stage) const {
  const auto& dependencies = route_->stages[stage].start_after;
  return std::all_of(dependencies.begin(), dependencies.end(),
                     [&](std::uint32_t dependency) { return is_finished(dependency); });
}

bool stage_graph::is_last(std::uint32_t stage) const {
  for (std::uint32_t other = 0; other < stages_.size(); ++other) {
    if (depends_on(other, stage)) {
      return false;
    }
  }
  return true;
}

bool stage_graph::consumers_have_fetched(std::uint32_t stage) const {
  const auto has_fetched = [](const piece_state& piece) {
    return piece.has_fetched_inputs || piece.has_result();
  };
  for (std::uint32_t consumer = 0; consumer < stages_.size(); ++consumer) {
    const auto& pieces = stages_[consumer];
    if (depends_on(consumer, stage) && !std::all_of(pieces.begin(), pieces.end(), has_fetched)) {
      return false;
    }
  }
  return true;
}

std::vector<piece_position> stage_graph::take_ready() {
  std::vector<piece_position> found;
  for (std::uint32_t stage = 0; stage < stages_.size(); ++stage) {
    if (!is_ready(stage)) {
      continue;
    }
    for (std::uint32_t piece = 0; piece < stages_[stage].size(); ++piece) {
      auto& state = stages_[stage][piece];
      if (!state.is_submitted) {
        state.is_submitted = true;
        found.push_back({stage, piece});
      }
    }
  }
  return found;
}

void stage_graph::withdraw(piece_position position) {
  stages_[position.stage][position.piece].is_submitted = false;
}

void stage_graph::note_inputs_fetched(piece_position position) {
  stages_[position.stage][position.piece].has_fetched_inputs = true;
}

void stage_graph::complete(piece_position position, stage_result result) {
  stages_[position.stage][position.piece].result = std::move(result);
}

bool stage_graph::note_lost_results_of(const base::replica_id& replica,
                                       replica_exit ended_process) {
  bool any = false;
  for (auto& pieces : stages_) {
    for (auto& piece : pieces) {
      const auto& producer = piece.result.producer;
      const bool is_of_process = producer.is_known() && producer.replica == replica &&
                                 producer.incarnation_exit == ended_process;
      if (piece.has_result() && !piece.is_freed && is_of_process) {
        piece.is_lost = true;
        any = true;
      }
    }
  }
  return any;
}

bool stage_graph::depends_on(std::uint32_t stage, std::uint32_t dependency) const {
  const auto& dependencies = route_->stages[stage].start_after;
  return std::find(dependencies.begin(), dependencies.end(), dependency) != dependencies.end();
}

void stage_graph::drop_unfinished() {
  for (auto& pieces : stages_) {
    for (auto& piece : pieces) {
      if (!piece.has_result()) {
        piece.is_submitted = true;
        piece.is_freed = true;
        piece.result = {dropped_handle, {}};
      }
    }
  }
}

bool stage_graph::is_under_way(piece_position position) const {
  const auto& piece = stages_[position.stage][position.piece];
  return piece.is_submitted && !piece.has_result();
}

void stage_graph::schedule_recomputation(std::uint32_t stage, piece_state& piece,
                                         std::vector<stage_result>& obsolete) {
  if (!piece.is_freed) {
    obsolete.push_back(piece.result);
  }
  piece = {};
  for (std::uint32_t other = 0; other < stages_.size(); ++other) {
    for (auto& candidate : stages_[other]) {
      if (depends_on(other, stage) && !candidate.has_result()) {
        candidate = {};
      }
      if (depends_on(stage, other) && candidate.is_freed) {
        schedule_recomputation(other, candidate, obsolete);
      }
    }
  }
}

std::vector<stage_result>
stage_graph::recompute(const std::vector<std::uint32_t>& stages,
                       const std::function<bool(const stage_result&)>& is_result_lost) {
  const auto is_suspect = [&](const piece_state& piece) {
    return piece.has_result() && (piece.is_freed || piece.is_lost || is_result_lost(piece.result));
  };
  // Only the first recomputation is limited to results that are known to be lost. If results are
  // missing again, more were lost than is known, and all results of the stages are recomputed.
  const bool has_suspects =
      recomputations_ == 0 && std::any_of(stages.begin(), stages.end(), [&](auto stage) {
        return std::any_of(stages_[stage].begin(), stages_[stage].end(), is_suspect);
      });
  ++recomputations_;
  std::vector<stage_result> obsolete;
  for (const auto stage : stages) {
    for (auto& piece : stages_[stage]) {
      if (piece.has_result() && (!has_suspects || is_suspect(piece))) {
        schedule_recomputation(stage, piece, obsolete);
      }
    }
  }
  return obsolete;
}

std::vector<stage_result>
stage_graph::recompute_inputs_of(piece_position position,
                                 const std::function<bool(const stage_result&)>& is_result_lost) {
  stages_[position.stage][position.piece] = {};
  const auto& dependencies = route_->stages[position.stage].start_after;
  const bool has_pending_inputs = !is_ready(position.stage);
  return has_pending_inputs ? std::vector<stage_result>{} : recompute(dependencies, is_result_lost);
}

std::vector<stage_result> stage_graph::recompute_final_inputs(
    const std::function<bool(const stage_result&)>& is_result_lost) {
  std::vector<std::uint32_t> last;
  for (std::uint32_t stage = 0; stage < stages_.size(); ++stage) {
    if (is_last(stage)) {
      last.push_back(stage);
    }
  }
  return recompute(last, is_result_lost);
}

void stage_graph::append_results(std::uint32_t stage, std::vector<stage_result>& results) const {
  for (const auto& piece : stages_[stage]) {
    results.push_back(piece.result);
  }
}

std::vector<stage_result> stage_graph::inputs_of(std::uint32_t stage) const {
  auto dependencies = route_->stages[stage].start_after;
  std::sort(dependencies.begin(), dependencies.end());
  std::vector<stage_result> results;
  for (const auto dependency : dependencies) {
    append_results(dependency, results);
  }
  return results;
}

std::vector<stage_result> stage_graph::final_inputs() const {
  std::vector<stage_result> results;
  for (std::uint32_t stage = 0; stage < stages_.size(); ++stage) {
    if (is_last(stage)) {
      append_results(stage, results);
    }
  }
  return results;
}

std::vector<stage_result> stage_graph::results_of(std::uint32_t stage) const {
  std::vector<stage_result> results;
  append_results(stage, results);
  return results;
}

bool stage_graph::is_done() const {
  for (std::uint32_t stage = 0; stage < stages_.size(); ++stage) {
    if (!is_finished(stage)) {
      return false;
    }
  }
  return true;
}

bool stage_graph::has_missing_final_inputs() const {
  for (std::uint32_t stage = 0; stage < stages_.size(); ++stage) {
    const auto& pieces = stages_[stage];
    if (is_last(stage) && std::any_of(pieces.begin(), pieces.end(), [](const piece_state& piece) {
          return piece.is_freed || piece.is_lost;
        })) {
      return true;
    }
  }
  return false;
}

std::vector<stage_result> stage_graph::take_unneeded_results(bool all) {
  std::vector<stage_result> results;
  for (std::uint32_t stage = 0; stage < stages_.size(); ++stage) {
    if (!all && (is_last(stage) || !consumers_have_fetched(stage))) {
      continue;
    }
    for (auto& piece : stages_[stage]) {
      if (piece.has_result() && !piece.is_freed) {
        piece.is_freed = true;
        results.push_back(piece.result);
      }
    }
  }
  return results;
}

base::duration
stage_graph::time_left(const std::function<base::duration(std::uint32_t stage)>& stage_time) const {
  std::vector<base::duration> ends(stages_.size(), base::duration::zero());
  base::duration longest{};
  // The stages may be listed in any order. Each pass computes the correct end of at least one more
  // stage on every path of dependencies, so that one pass per stage is enough.
  for (std::size_t pass = 0; pass < stages_.size(); ++pass) {
    for (std::uint32_t stage = 0; stage < stages_.size(); ++stage) {
      base::duration start{};
      for (const auto dependency : route_->stages[stage].start_after) {
        start = std::max(start, ends[dependency]);
      }
      ends[stage] = is_finished(stage) ? start : start + stage_time(stage);
      longest = std::max(longest, ends[stage]);
    }
  }
  return longest;
}

base::duration stage_graph::time_from_start_of(
    std::uint32_t stage,
    const std::function<base::duration(std::uint32_t stage)>& stage_time) const {
  base::duration longest{};
  for (std::uint32_t consumer = 0; consumer < stages_.size(); ++consumer) {
    if (depends_on(consumer, stage)) {
      longest = std::max(longest, time_from_start_of(consumer, stage_time));
    }
  }
  return stage_time(stage) + longest;
}

} // namespace spurrack::serving
