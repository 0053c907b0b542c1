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
  apply_reached_verifications();
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

void source_knowledge::verify(store_position through, base::time_point at) {
  if (awaited_verifications_.size() < max_awaited_verifications) {
    awaited_verifications_.push_back({through, at});
  }
  apply_reached_verifications();
}

void source_knowledge::apply_reached_verifications() {
  std::erase_if(awaited_verifications_, [this](const awaited_verification& awaited) {
    const bool is_of_current_era = awaited.through.era == known_through_.era;
    const bool is_reached = awaited.through <= known_through_;
    if (is_reached && is_of_current_era) {
      verified_at_ = std::max(verified_at_.value_or(awaited.at), awaited.at);
    }
    return is_reached;
  });
}

void source_knowledge::note_peer_position(store_position through) {
  heard_through_ = std::max(heard_through_, through);
}

} // namespace spurrack::catalog
