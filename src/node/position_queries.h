/// Decides how a node gets its entries of a platform service verified: that the service had written
/// no entry which the node lacks, as of a time that the node can prove.
///
/// What other nodes tell of their own accord is dated by messages that may have been under way for
/// any time, so it proves nothing. A node that reads the service for its region, or that hears no
/// peers, reads the service itself. Any other node sends a position query to the first reader of
/// its region, and to the next one if no answer comes in time (readers of older builds do not
/// answer). An answer proves the position as of the time at which the query was sent. If the
/// readers do not answer, nodes read the service themselves, at a rate that a whole region shares.
#pragma once

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "catalog/source_kind.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace spurrack::node {

/// Position through which a service had written all entries at `at`, by a call of this node that
/// was sent at that time.
struct verified_position {
  catalog::store_position through;
  base::time_point at;
};

/// Not thread-safe.
class position_queries {
 public:
  /// Time after which a reader counts as silent and the next one is asked.
  static constexpr base::duration answer_timeout = std::chrono::milliseconds(150);
  /// Minimum interval between two attempts of a node.
  static constexpr base::duration min_interval = std::chrono::milliseconds(50);
  /// Maximum number of queries per second that the nodes of a region send to a reader together.
  static constexpr double reader_queries_per_second = 2'000;
  /// Maximum number of reads per second that the nodes of a region send to the service together
  /// because the readers do not answer. The service bears 2,000 for seven regions.
  static constexpr double own_reads_per_second = 100;
  /// Time without an attempt after which the first reader is asked again, although another one
  /// answered last.
  static constexpr base::duration preference_lifetime = std::chrono::seconds(5);

  /// Nodes that can read the service.
  struct reader_list {
    /// Readers of the region besides this node, the first one first.
    std::vector<base::network_address> others;
    /// Whether this node is a reader itself.
    bool is_reader = false;
    /// Whether this node hears no peers.
    bool is_isolated = false;
    /// Number of nodes of the region, at least 1.
    std::size_t region_nodes = 1;
  };
  struct query {
    base::network_address reader;
    std::uint64_t number = 0;
  };
  /// What this node has to do now.
  struct step {
    std::optional<query> to_send;
    bool should_read = false;
  };

  /// @param random must outlive this object.
  /// @param first_number number of the first query. Must differ between the lives of a process, so
  ///        that a late answer to a query of an earlier life answers none of this life.
  explicit position_queries(base::random_source& random, std::uint64_t first_number = 1)
      : random_(&random), next_number_(first_number) {}

  /// @return whether `next_step` has to be called, while a verification is wanted.
  [[nodiscard]] bool is_due(base::time_point now) const { return now >= due_at(); }
  /// @return time of the next step while a verification is wanted.
  [[nodiscard]] base::time_point due_at() const;
  /// Decides what to do for a verification that is wanted as of now or earlier. The caller carries
  /// the step out at once.
  /// @param known_through latest position that this node has heard of.
  step next_step(const reader_list& readers, catalog::store_position known_through,
                 base::time_point now);
  /// Records that no verification is wanted any more.
  void rest() { own_read_at_.reset(); }
  /// Applies an answer. An answer is used however late it comes, as of the time of its query.
  /// @return what it verifies; std::nullopt if it answers no query that `sender` got, or if the
  ///         position is before one that this node knew when it sent the query, so that the reader
  ///         does not see the latest entries.
  std::optional<verified_position> on_answer(const base::network_address& sender,
                                             std::uint64_t number, catalog::store_position through,
                                             base::time_point now);
  /// Records that a read of this node, which was sent at `verified_at`, verified its entries.
  void note_verified(base::time_point verified_at, base::time_point now);
  /// Records that an answer has come whose entries this node lacks, so that further queries wait
  /// for these entries.
  void await_entries(base::time_point now) { next_attempt_at_ = now + answer_timeout; }

 private:
  /// Maximum number of queries whose answers are accepted.
  static constexpr std::size_t max_sent_queries = 16;

  struct sent_query {
    query sent;
    base::time_point at;
    catalog::store_position known_through;
  };
  /// Starts the attempt at the current reader. @return the query to another node; std::nullopt if
  ///         this node reads itself.
  std::optional<query> start_attempt(const reader_list& readers,
                                     catalog::store_position known_through, base::time_point now);
  /// @return whether this node reads now because the readers do not answer, or as an isolated node.
  bool takes_own_read(const reader_list& readers, base::time_point now);

  base::random_source* random_;
  std::uint64_t next_number_;
  /// Latest queries, the oldest first.
  std::deque<sent_query> sent_;
  /// Number of readers that were passed over because they did not answer.
  std::size_t passed_over_ = 0;
  /// Number of attempts without an answer in a row.
  std::size_t failed_attempts_ = 0;
  /// Whether the current attempt has no answer yet.
  bool is_unanswered_ = false;
  base::time_point last_attempt_at_;
  base::time_point next_attempt_at_;
  base::duration attempt_interval_ = min_interval;
  /// Time at which this node reads itself although it is not a reader; std::nullopt if no reader
  /// has been silent.
  std::optional<base::time_point> own_read_at_;
  base::time_point earliest_own_read_at_;
};

} // namespace spurrack::node
