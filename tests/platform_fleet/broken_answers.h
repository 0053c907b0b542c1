/// Answers that a living replica of the fault soak breaks off, or whose end the replica leaves
/// open. The seed determines at which place an answer breaks off, how it is framed and how its
/// connection ends.
#pragma once

#include "scripted_server.h"

#include "base/random.h"

#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace spurrack::platform_tests {

/// Place at which an answer breaks off.
enum class break_place : std::uint8_t {
  in_head,        ///< Inside the head.
  after_head,     ///< Right after the head.
  in_body,        ///< At any byte of the body with its framing, also inside the last chunk.
  between_events, ///< Between two events; `in_body` if there are no two events.
  in_event,       ///< Inside an event; the chunk that holds it is complete.
  nowhere         ///< The answer is whole.
};

/// What tells the receiver where an answer ends.
enum class answer_framing : std::uint8_t { length, chunks, none };

/// What happens to the connection after the last byte.
enum class connection_ending : std::uint8_t {
  closed,      ///< FIN.
  reset,       ///< RST.
  half_closed, ///< FIN, while the replica waits for the peer to close.
  silent       ///< The connection stays open without another byte.
};

/// How one answer breaks off.
struct broken_answer {
  break_place place = break_place::nowhere;
  answer_framing framing = answer_framing::length;
  connection_ending ending = connection_ending::closed;
  /// Any number; selects the byte or the event of the place.
  std::uint64_t cut = 0;

  /// @return whether the receiver gets the whole answer and can see that it is whole.
  [[nodiscard]] bool is_complete() const {
    return place == break_place::nowhere && framing != answer_framing::none;
  }
  /// @return whether nothing in the bytes tells the receiver where the answer ends, although the
  ///         head is complete.
  [[nodiscard]] bool has_open_end() const {
    return place != break_place::in_head && framing == answer_framing::none;
  }
};

/// @return label of a count of answers that break off so.
std::string label_of(break_place place);
std::string label_of(answer_framing framing);
std::string label_of(connection_ending ending);

/// Parts of an answer without framing.
struct answer_parts {
  /// Status line and header lines, each with its CRLF, without a framing header.
  std::string head;
  /// Events of a stream, or one body.
  std::vector<std::string> body;
  /// Time before each part of the body; 0 if all parts are written at once.
  std::chrono::milliseconds pause{0};
};

/// @return the bytes of an answer that breaks off, and how its connection ends.
scripted_answer broken_off(const broken_answer& how, const answer_parts& parts);

/// Determines which answers break off. Draws each combination of place, framing and ending equally
/// often. Thread-safe.
class broken_answer_source {
 public:
  explicit broken_answer_source(std::uint64_t seed) : random_(seed) {}

  /// Sets whether answers break off.
  void set_active(bool is_active);
  /// @return how the next answer breaks off; std::nullopt if it does not.
  std::optional<broken_answer> draw();

 private:
  std::mutex mutex_;
  base::seeded_random random_;
  bool is_active_ = false;
  /// Combinations that were not drawn since all of them were put back.
  std::vector<broken_answer> remaining_;
};

} // namespace spurrack::platform_tests
