/// Origins of streams that this node began or keeps for other nodes, in memory and bounded.
#pragma once

#include "base/time.h"
#include "streams/stream_origin.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace spurrack::streams {

/// Statement of a node which origin began a stream.
struct origin_statement {
  stream_origin origin;
  /// Number of the call at which the stream began, among the calls of one client attempt.
  std::uint32_t call = 0;
  /// Whether the client has an event of the stream, so that no later call begins it elsewhere.
  /// Nodes of older builds also state the origin of a call that has brought no event.
  bool is_bound = false;
};

/// Origin of one stream, as one node knows it.
struct origin_record {
  /// Shared by the streams of the same origin. Null if two calls began the stream at different
  /// origins, for example because a client used one id twice: the origin is then unknown.
  std::shared_ptr<const stream_origin> origin;
  /// Number of the call at which the stream began, among the calls of one client attempt. A later
  /// call replaces the origin.
  std::uint32_t call = 0;
  /// Whether the origin, or each of the contradictory origins, was stated as bound.
  bool is_bound = false;
  /// Time at which the record was made or last changed.
  base::time_point recorded_at;
  /// Time after which no client resumes the stream.
  base::time_point expires_at;
  /// Whether this node began the stream and has not completed it.
  bool is_open_here = false;
};

/// Keeps records until they expire. If there are too many, the records that expire first are
/// dropped: their clients have the least time left. Not thread-safe.
class origin_registry {
 public:
  /// Maximum number of records; each takes about 200 bytes.
  static constexpr std::size_t max_records = 20'000;

  /// Records the origin of a stream. A bound statement replaces one that is not; a statement of a
  /// later call replaces one of an earlier call. Different origins that cannot follow one another
  /// contradict each other.
  void record(const stream_key& stream, const origin_statement& stated, base::time_point expires_at,
              bool is_open_here, base::time_point now);
  /// Records that different origins of a stream were recorded elsewhere.
  /// @param call number of the latest call with which the stream may have begun.
  /// @param is_bound whether each of the origins was stated as bound.
  void record_contradiction(const stream_key& stream, std::uint32_t call, bool is_bound,
                            base::time_point expires_at, base::time_point now);
  /// Records that this node has completed a stream.
  void note_completed(const stream_key& stream);
  /// @return null if the stream is not known.
  [[nodiscard]] const origin_record* find(const stream_key& stream, base::time_point now) const;
  /// @return streams of a service that are open at this node.
  [[nodiscard]] std::vector<stream_key> open_streams_of(const std::string& service) const;
  void drop_expired(base::time_point now);

  [[nodiscard]] std::size_t size() const { return records_.size(); }
  /// @return number of records that were dropped before they expired.
  [[nodiscard]] std::uint64_t dropped_early() const { return dropped_early_; }

 private:
  std::shared_ptr<const stream_origin> shared(const stream_origin& origin);
  /// Sets the time until which a record is kept, and drops another record if there are too many.
  void keep_until(const stream_key& stream, origin_record& record, base::time_point expires_at);
  /// Changes a record as a statement requires.
  void apply(const origin_statement& stated, origin_record& known, base::time_point now);
  void set_expiry(const stream_key& stream, origin_record& record, base::time_point expires_at);
  void drop_first_to_expire();

  std::unordered_map<stream_key, origin_record> records_;
  std::set<std::pair<base::time_point, stream_key>> by_expiry_;
  /// The distinct origins of the records.
  std::map<stream_origin, std::weak_ptr<const stream_origin>> origins_;
  std::uint64_t dropped_early_ = 0;
};

} // namespace spurrack::streams
