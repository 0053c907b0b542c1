#include "flow/byte_budget.h"

#include <algorithm>
#include <utility>

namespace spurrack::flow {
namespace {

/// Fraction of the capacity up to which each use is granted bytes, in the order of `byte_use`. The
/// uses up to `whole_answer` can be refused or can wait. They leave almost half of the capacity to
/// the windows of streams: 16 MB of 36 MB, enough for a minimal window of 8 KB and an event of 2 KB
/// for each of 1,500 clients. Events that have been read from a replica have the highest limit,
/// since the refusal of an event breaks its stream off. No other use is granted the last tenth of
/// the capacity, so that a large answer (8 MB of a budget of 10 MB) does not use the memory of
/// events.
constexpr std::array<double, byte_uses> use_limits{0.3, 0.4, 0.5, 0.55, 0.9, 1.0};
/// If an event raises the bytes held above this fraction of the capacity, the relief callback is
/// called, although the budget is not exhausted yet: the clients that the callback disconnects
/// return their memory only a moment later.
constexpr double relief_threshold = 0.9;

} // namespace

std::string_view name_of(byte_holder holder) {
  constexpr std::array<std::string_view, byte_holders> names{
      "request_bodies", "kept_bodies", "gathered_answers", "unwritten_streams", "partial_events"};
  return names[static_cast<std::size_t>(holder)];
}

std::string_view name_of(byte_use use) {
  constexpr std::array<std::string_view, byte_uses> names{
      "large_body", "buffered_stream", "small_body", "whole_answer", "lone_answer", "stream_event"};
  return names[static_cast<std::size_t>(use)];
}

double byte_budget::utilization() const {
  return capacity_ == 0 ? 1.0 : static_cast<double>(held_) / static_cast<double>(capacity_);
}

std::size_t byte_budget::limit_of(byte_use use) const {
  return static_cast<std::size_t>(static_cast<double>(capacity_) * use_limits[index(use)]);
}

bool byte_budget::is_within_limit(byte_use use, std::size_t bytes) const {
  return bytes <= limit_of(use);
}

bool byte_budget::fits_now(byte_use use, std::size_t bytes) const {
  const auto limit = limit_of(use);
  return held_ <= limit && bytes <= limit - held_;
}

bool byte_budget::needs_relief(byte_use use, std::size_t bytes) const {
  if (use == byte_use::stream_event) {
    return static_cast<double>(held_ + bytes) > relief_threshold * static_cast<double>(capacity_);
  }
  const bool is_answer = use == byte_use::whole_answer || use == byte_use::lone_answer;
  return is_answer && !fits_now(use, bytes);
}

bool byte_budget::ensure_capacity(byte_use use, std::size_t bytes) {
  // The relief callback may acquire bytes itself; it must not be called recursively then.
  if (relief_ && !is_requesting_relief_ && needs_relief(use, bytes)) {
    is_requesting_relief_ = true;
    relief_(use, bytes);
    is_requesting_relief_ = false;
  }
  return fits_now(use, bytes);
}

bool byte_budget::acquire(byte_holder holder, byte_use use, std::size_t bytes) {
  if (!ensure_capacity(use, bytes)) {
    ++refusals_[index(use)];
    return false;
  }
  held_ += bytes;
  held_by_holder_[index(holder)] += bytes;
  return true;
}

void byte_budget::release(byte_holder holder, std::size_t bytes) {
  held_ -= bytes;
  held_by_holder_[index(holder)] -= bytes;
}

void byte_budget::transfer(byte_holder from, byte_holder to, std::size_t bytes) {
  held_by_holder_[index(from)] -= bytes;
  held_by_holder_[index(to)] += bytes;
}

byte_reservation::byte_reservation(byte_reservation&& other) noexcept
    : budget_(std::move(other.budget_)), holder_(other.holder_),
      bytes_(std::exchange(other.bytes_, 0)) {}

byte_reservation& byte_reservation::operator=(byte_reservation&& other) noexcept {
  if (this != &other) {
    shrink(bytes_);
    budget_ = std::move(other.budget_);
    holder_ = other.holder_;
    bytes_ = std::exchange(other.bytes_, 0);
  }
  return *this;
}

bool byte_reservation::grow(byte_use use, std::size_t bytes) {
  if (!budget_->acquire(holder_, use, bytes)) {
    return false;
  }
  bytes_ += bytes;
  return true;
}

void byte_reservation::shrink(std::size_t bytes) {
  const auto returned = std::min(bytes, bytes_);
  if (returned > 0) {
    budget_->release(holder_, returned);
    bytes_ -= returned;
  }
}

void byte_reservation::move_to(byte_holder holder) {
  budget_->transfer(holder_, holder, bytes_);
  holder_ = holder;
}

} // namespace spurrack::flow
