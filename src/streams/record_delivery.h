/// Delivery of records to witnesses: which of them have not acknowledged a record, and when it is
/// sent to them again. No I/O.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "streams/stream_origin.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace spurrack::streams {

/// A message is lost if the connection between two nodes is, so a record is sent again at growing
/// intervals until its receivers have acknowledged it. Receivers of older builds never do, so the
/// number of repetitions is bounded. Not thread-safe.
class record_delivery {
 public:
  /// Maximum number of records that wait for acknowledgements. Further records are sent once.
  static constexpr std::size_t max_records = 20'000;
  /// Maximum number of messages whose acknowledgements are recognised.
  static constexpr std::size_t max_messages = 20'000;
  /// Maximum number of times that a record is sent again to a receiver.
  static constexpr unsigned max_repetitions = 8;

  /// @param incarnation of this node: acknowledgements of its earlier messages name other numbers.
  explicit record_delivery(base::incarnation incarnation);

  /// Begins the delivery of a record that was made or changed.
  void start(const stream_key& stream, base::time_point now);
  /// Ends the delivery of a record that is no longer kept.
  void stop(const stream_key& stream);
  /// Records that a message with the records of some streams is sent.
  /// @return number of the message.
  std::uint64_t note_sent(const base::network_address& receiver, std::vector<stream_key> streams,
                          base::time_point now);
  /// Records that a receiver has kept the records of a message.
  /// @return number of records that the receiver acknowledges for the first time.
  std::size_t note_acknowledged(const base::network_address& receiver, std::uint64_t number);

  /// @return streams whose records are due to be sent again, with a new time for each; streams
  ///         whose records were sent often enough are left out and no longer waited for.
  [[nodiscard]] std::vector<stream_key> take_due(base::time_point now);
  /// Sets which nodes are to keep a record now.
  /// @return those of them that have not acknowledged it.
  std::vector<base::network_address> await(const stream_key& stream,
                                           const std::vector<base::network_address>& keepers);
  /// Forgets messages that were sent too long ago for an acknowledgement to be under way.
  void drop_old_messages(base::time_point now);

  /// @return time at which `take_due` has a stream; std::nullopt if no record waits.
  [[nodiscard]] std::optional<base::time_point> next_wakeup() const;
  /// @return number of records that wait for acknowledgements.
  [[nodiscard]] std::size_t size() const { return deliveries_.size(); }
  /// @return number of records that were given up without all acknowledgements.
  [[nodiscard]] std::uint64_t abandoned() const { return abandoned_; }

 private:
  /// Record that waits for acknowledgements.
  struct delivery {
    /// Number of the first message that may hold the record as it is now.
    std::uint64_t first_number = 0;
    std::set<base::network_address> awaited;
    std::set<base::network_address> acknowledged;
    unsigned repetitions = 0;
    base::time_point due_at;
  };
  struct sent_message {
    base::network_address receiver;
    std::vector<stream_key> streams;
    base::time_point sent_at;
  };

  void set_due(const stream_key& stream, delivery& waiting, base::time_point due_at);

  std::uint64_t last_number_;
  std::unordered_map<stream_key, delivery> deliveries_;
  std::set<std::pair<base::time_point, stream_key>> due_;
  std::map<std::uint64_t, sent_message> sent_;
  std::uint64_t abandoned_ = 0;
};

} // namespace spurrack::streams
