#include "streams/record_delivery.h"

namespace spurrack::streams {
namespace {

/// Time after which a record is sent again for the first time: that after which a node connects
/// anew to another one. Each further interval is twice as long.
constexpr base::duration first_interval = std::chrono::milliseconds(100);
/// Time after which no acknowledgement of a message is expected.
constexpr base::duration message_lifetime = std::chrono::seconds(5);

/// @return number before that of the first message of an incarnation. Small, so that numbers are
///         short on the wire.
std::uint64_t initial_number(base::incarnation incarnation) {
  constexpr std::uint64_t distinguished_incarnations = 1U << 12U;
  constexpr std::uint64_t numbers_apart = 1U << 8U;
  return (static_cast<std::uint64_t>(incarnation) % distinguished_incarnations) * numbers_apart;
}

} // namespace

record_delivery::record_delivery(base::incarnation incarnation)
    : last_number_(initial_number(incarnation)) {}

void record_delivery::start(const stream_key& stream, base::time_point now) {
  if (deliveries_.size() >= max_records && !deliveries_.contains(stream)) {
    ++abandoned_;
    return;
  }
  auto& waiting = deliveries_[stream];
  due_.erase({waiting.due_at, stream});
  waiting = {};
  waiting.first_number = last_number_ + 1;
  set_due(stream, waiting, now + first_interval);
}

void record_delivery::set_due(const stream_key& stream, delivery& waiting,
                              base::time_point due_at) {
  due_.erase({waiting.due_at, stream});
  waiting.due_at = due_at;
  due_.emplace(due_at, stream);
}

void record_delivery::stop(const stream_key& stream) {
  if (const auto found = deliveries_.find(stream); found != deliveries_.end()) {
    due_.erase({found->second.due_at, stream});
    deliveries_.erase(found);
  }
}

std::uint64_t record_delivery::note_sent(const base::network_address& receiver,
                                         std::vector<stream_key> streams, base::time_point now) {
  const auto number = ++last_number_;
  if (sent_.size() < max_messages) {
    sent_.emplace(number, sent_message{receiver, std::move(streams), now});
  }
  return number;
}

std::size_t record_delivery::note_acknowledged(const base::network_address& receiver,
                                               std::uint64_t number) {
  const auto message = sent_.find(number);
  if (message == sent_.end() || message->second.receiver != receiver) {
    return 0;
  }
  std::size_t acknowledged = 0;
  for (const auto& stream : message->second.streams) {
    const auto found = deliveries_.find(stream);
    if (found == deliveries_.end() || number < found->second.first_number) {
      continue;
    }
    auto& waiting = found->second;
    acknowledged += waiting.acknowledged.insert(receiver).second ? 1 : 0;
    waiting.awaited.erase(receiver);
    if (waiting.awaited.empty()) {
      stop(stream);
    }
  }
  sent_.erase(message);
  return acknowledged;
}

std::vector<stream_key> record_delivery::take_due(base::time_point now) {
  std::vector<stream_key> streams;
  while (!due_.empty() && due_.begin()->first <= now) {
    const auto stream = due_.begin()->second;
    auto& waiting = deliveries_.at(stream);
    if (waiting.repetitions >= max_repetitions) {
      ++abandoned_;
      stop(stream);
      continue;
    }
    ++waiting.repetitions;
    set_due(stream, waiting, now + first_interval * (1U << waiting.repetitions));
    streams.push_back(stream);
  }
  return streams;
}

std::vector<base::network_address>
record_delivery::await(const stream_key& stream,
                       const std::vector<base::network_address>& keepers) {
  const auto found = deliveries_.find(stream);
  if (found == deliveries_.end()) {
    return keepers;
  }
  auto& waiting = found->second;
  std::vector<base::network_address> missing;
  for (const auto& keeper : keepers) {
    if (!waiting.acknowledged.contains(keeper)) {
      missing.push_back(keeper);
    }
  }
  waiting.awaited = {missing.begin(), missing.end()};
  if (missing.empty() && !keepers.empty()) {
    stop(stream);
  }
  return missing;
}

void record_delivery::drop_old_messages(base::time_point now) {
  while (!sent_.empty() && sent_.begin()->second.sent_at + message_lifetime <= now) {
    sent_.erase(sent_.begin());
  }
}

std::optional<base::time_point> record_delivery::next_wakeup() const {
  return due_.empty() ? std::nullopt : std::optional(due_.begin()->first);
}

} // namespace spurrack::streams
