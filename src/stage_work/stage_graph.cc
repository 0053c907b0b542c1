#include "stage_work/stage_graph.h"

#include "stage_work/result_handle.h"

#include <algorithm>
#include <utility>

namespace spurrack::serving {

stage_graph::stage_graph(const model::route& route, const std::vector<std::uint32_t>& pieces)
    : route_(&route) {
  for (std::size_t stage = 0; stage < route.stages.size(); ++stage) {
    stages_.emplace_back(stage < pieces.size() ? pieces[stage] : 0);
  }
}

bool stage_graph::finished(std::uint32_t stage) const {
  return std::all_of(stages_[stage].begin(), stages_[stage].end(),
                     [](const piece_state& piece) { return !piece.handle.empty(); });
}

bool stage_graph::ready(std::uint32_t stage) const {
  const auto& needed = route_->stages[stage].start_after;
  return std::all_of(needed.begin(), needed.end(),
                     [&](std::uint32_t before) { return finished(before); });
}

bool stage_graph::is_last(std::uint32_t stage) const {
  for (std::uint32_t other = 0; other < stages_.size(); ++other) {
    if (reads(other, stage)) {
      return false;
    }
  }
  return true;
}

bool stage_graph::users_have_fetched(std::uint32_t stage) const {
  const auto has_fetched = [](const piece_state& piece) {
    return piece.inputs_fetched || !piece.handle.empty();
  };
  for (std::uint32_t user = 0; user < stages_.size(); ++user) {
    const auto& pieces = stages_[user];
    if (reads(user, stage) && !std::all_of(pieces.begin(), pieces.end(), has_fetched)) {
      return false;
    }
  }
  return true;
}

std::vector<piece_position> stage_graph::take_ready() {
  std::vector<piece_position> found;
  for (std::uint32_t stage = 0; stage < stages_.size(); ++stage) {
    if (!ready(stage)) {
      continue;
    }
    for (std::uint32_t piece = 0; piece < stages_[stage].size(); ++piece) {
      auto& state = stages_[stage][piece];
      if (!state.given_out) {
        state.given_out = true;
        found.push_back({stage, piece});
      }
    }
  }
  return found;
}

void stage_graph::note_inputs_fetched(piece_position where) {
  stages_[where.stage][where.piece].inputs_fetched = true;
}

void stage_graph::complete(piece_position where, std::string handle) {
  stages_[where.stage][where.piece].handle = std::move(handle);
}

bool stage_graph::note_lost_results_of(const base::network_address& maker) {
  bool any = false;
  for (auto& pieces : stages_) {
    for (auto& piece : pieces) {
      if (!piece.handle.empty() && !piece.freed && producer_of(piece.handle) == maker) {
        piece.lost = true;
        any = true;
      }
    }
  }
  return any;
}

bool stage_graph::reads(std::uint32_t stage, std::uint32_t before) const {
  const auto& needed = route_->stages[stage].start_after;
  return std::find(needed.begin(), needed.end(), before) != needed.end();
}

bool stage_graph::is_under_way(piece_position where) const {
  const auto& piece = stages_[where.stage][where.piece];
  return piece.given_out && piece.handle.empty();
}

void stage_graph::forget_result(std::uint32_t stage, piece_state& piece,
                                std::vector<std::string>& useless) {
  if (!piece.freed) {
    useless.push_back(piece.handle);
  }
  piece = {};
  for (std::uint32_t other = 0; other < stages_.size(); ++other) {
    for (auto& candidate : stages_[other]) {
      if (reads(other, stage) && candidate.handle.empty()) {
        candidate = {};
      }
      if (reads(stage, other) && candidate.freed) {
        forget_result(other, candidate, useless);
      }
    }
  }
}

std::vector<std::string>
stage_graph::remake(const std::vector<std::uint32_t>& stages,
                    const std::function<bool(const std::string&)>& is_lost) {
  const auto is_suspect = [&](const piece_state& piece) {
    return !piece.handle.empty() && (piece.freed || piece.lost || is_lost(piece.handle));
  };
  // What was suspected once and did not help is not trusted again.
  const bool any_known =
      remakes_ == 0 && std::any_of(stages.begin(), stages.end(), [&](auto stage) {
        return std::any_of(stages_[stage].begin(), stages_[stage].end(), is_suspect);
      });
  ++remakes_;
  std::vector<std::string> useless;
  for (const auto stage : stages) {
    for (auto& piece : stages_[stage]) {
      if (!piece.handle.empty() && (!any_known || is_suspect(piece))) {
        forget_result(stage, piece, useless);
      }
    }
  }
  return useless;
}

std::vector<std::string>
stage_graph::recompute_inputs_of(piece_position where,
                                 const std::function<bool(const std::string&)>& is_lost) {
  stages_[where.stage][where.piece] = {};
  const auto& needed = route_->stages[where.stage].start_after;
  const bool waits_for_others = !ready(where.stage);
  return waits_for_others ? std::vector<std::string>{} : remake(needed, is_lost);
}

std::vector<std::string>
stage_graph::recompute_final_inputs(const std::function<bool(const std::string&)>& is_lost) {
  std::vector<std::uint32_t> last;
  for (std::uint32_t stage = 0; stage < stages_.size(); ++stage) {
    if (is_last(stage)) {
      last.push_back(stage);
    }
  }
  return remake(last, is_lost);
}

void stage_graph::append_results(std::uint32_t stage, std::vector<std::string>& results) const {
  for (const auto& piece : stages_[stage]) {
    results.push_back(piece.handle);
  }
}

std::vector<std::string> stage_graph::inputs_of(std::uint32_t stage) const {
  auto needed = route_->stages[stage].start_after;
  std::sort(needed.begin(), needed.end());
  std::vector<std::string> results;
  for (const auto before : needed) {
    append_results(before, results);
  }
  return results;
}

std::vector<std::string> stage_graph::final_inputs() const {
  std::vector<std::string> results;
  for (std::uint32_t stage = 0; stage < stages_.size(); ++stage) {
    if (is_last(stage)) {
      append_results(stage, results);
    }
  }
  return results;
}

std::vector<std::string> stage_graph::results_of(std::uint32_t stage) const {
  std::vector<std::string> results;
  append_results(stage, results);
  return results;
}

bool stage_graph::done() const {
  for (std::uint32_t stage = 0; stage < stages_.size(); ++stage) {
    if (!finished(stage)) {
      return false;
    }
  }
  return true;
}

bool stage_graph::has_missing_final_inputs() const {
  for (std::uint32_t stage = 0; stage < stages_.size(); ++stage) {
    const auto& pieces = stages_[stage];
    if (is_last(stage) && std::any_of(pieces.begin(), pieces.end(), [](const piece_state& piece) {
          return piece.freed || piece.lost;
        })) {
      return true;
    }
  }
  return false;
}

std::vector<std::string> stage_graph::take_unneeded_results(bool everything) {
  std::vector<std::string> handles;
  for (std::uint32_t stage = 0; stage < stages_.size(); ++stage) {
    if (!everything && (is_last(stage) || !users_have_fetched(stage))) {
      continue;
    }
    for (auto& piece : stages_[stage]) {
      if (!piece.handle.empty() && !piece.freed) {
        piece.freed = true;
        handles.push_back(piece.handle);
      }
    }
  }
  return handles;
}

base::duration
stage_graph::time_left(const std::function<base::duration(std::uint32_t stage)>& stage_time) const {
  std::vector<base::duration> ends(stages_.size(), base::duration::zero());
  base::duration longest{};
  // Each pass finishes at least one more stage of every way.
  for (std::size_t pass = 0; pass < stages_.size(); ++pass) {
    for (std::uint32_t stage = 0; stage < stages_.size(); ++stage) {
      base::duration start{};
      for (const auto before : route_->stages[stage].start_after) {
        start = std::max(start, ends[before]);
      }
      ends[stage] = finished(stage) ? start : start + stage_time(stage);
      longest = std::max(longest, ends[stage]);
    }
  }
  return longest;
}

base::duration
stage_graph::time_from(std::uint32_t stage,
                       const std::function<base::duration(std::uint32_t stage)>& stage_time) const {
  base::duration longest{};
  for (std::uint32_t user = 0; user < stages_.size(); ++user) {
    if (reads(user, stage)) {
      longest = std::max(longest, time_from(user, stage_time));
    }
  }
  return stage_time(stage) + longest;
}

} // namespace spurrack::serving
