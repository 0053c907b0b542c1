#include "catalog/source_knowledge.h"

#include <algorithm>

namespace spurrack::catalog {

std::optional<base::duration> source_knowledge::age(base::time_point now) const {
  if (!confirmed_) {
    return std::nullopt;
  }
  return now - confirmed_->at;
}

void source_knowledge::advance(store_position through) {
  known_through_ = std::max(known_through_, through);
  if (awaited_ && awaited_->through <= known_through_) {
    const auto reached = *awaited_;
    awaited_.reset();
    confirm(reached);
  }
}

void source_knowledge::add_range(store_position after, store_position through) {
  if (after <= known_through_) {
    advance(through);
  }
}

void source_knowledge::confirm(const confirmation& heard) {
  auto& latest = heard.through <= known_through_ ? confirmed_ : awaited_;
  if (!latest || heard.at > latest->at) {
    latest = heard;
  }
}

void source_knowledge::note_peer_position(store_position through) {
  heard_through_ = std::max(heard_through_, through);
}

} // namespace spurrack::catalog
