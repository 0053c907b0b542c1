/// Distributes the origins of streams: sends those that this node begins to their witnesses, keeps
/// those of other nodes, and queries the witnesses of a stream that a client resumes. No I/O:
/// messages are queued.
#pragma once

#include "base/time.h"
#include "fleet_view/peer_directory.h"
#include "streams/origin_registry.h"
#include "streams/origin_witnesses.h"
#include "streams/version_evidence.h"
#include "wire/outgoing.h"
#include "wire/peer.pb.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace spurrack::streams {

/// Outcome of a look-up.
struct origin_finding {
  /// std::nullopt if the origin is not known.
  std::optional<stream_origin> origin;
  /// Number of the call that began the stream.
  std::uint32_t call = 0;
  /// Whether different origins were recorded.
  bool is_contradictory = false;
  /// Whether a queried node knows of several software versions of the service, or two queried nodes
  /// each know of another one.
  bool peers_know_several_versions = false;
  /// What the queried node knows that has known for the longest time of one version alone.
  std::optional<sole_version> sole;
  std::size_t queried = 0;
  std::size_t answered = 0;
  /// Queried nodes without an answer; for the log.
  std::vector<base::network_address> unanswered;
  /// Who knew the origin, and time since that node recorded it; for the log.
  std::string source;
  base::duration age{};
};

/// Counters of the exchange, for metrics.
struct origin_exchange_counts {
  std::uint64_t sent_messages = 0;
  std::uint64_t sent_records = 0;
  std::uint64_t kept_records = 0;
  std::uint64_t sent_queries = 0;
  std::uint64_t answered_queries = 0;
  /// Answers that arrived after the look-up had ended.
  std::uint64_t late_answers = 0;
  std::uint64_t malformed = 0;
};

/// Not thread-safe.
class origin_exchange {
 public:
  using version_check =
      std::function<version_evidence(const std::string& service, base::time_point now)>;

  origin_exchange(const serving::fleet_peer& self, version_check evidence_of);

  void set_peers(const std::vector<serving::fleet_peer>& alive) { witnesses_.set_peers(alive); }

  /// Records that this node sends a request to a replica that may write the first event of a
  /// stream, or another event of a resumed stream.
  /// @param call number of the call among the calls of the client attempt.
  /// @param lifetime time for which the client may resume the stream.
  /// @param is_shared whether the witnesses are told.
  void note_sent(const stream_key& stream, const stream_origin& origin, std::uint32_t call,
                 base::duration lifetime, bool is_shared, base::time_point now);
  /// Sends the queued records at once, because the first event of a stream goes to its client.
  void note_first_event(base::time_point now) { send_records(now); }
  /// Forgets the origin that this node recorded, because another node may begin the stream.
  void forget(const stream_key& stream) { registry_.forget(stream); }
  /// Records that this node has sent the end of a stream to its client.
  void note_completed(const stream_key& stream) { registry_.note_completed(stream); }
  /// Tells the witnesses the origin of a stream.
  void share(const stream_key& stream, base::time_point now) { queue_record(stream, now); }
  /// Tells the witnesses the origins of the open streams of a service that began while one software
  /// version was known.
  void share_open_streams(const std::string& service, base::time_point now);

  /// Looks up the origin of a stream. If this node does not know it, queries the witnesses; the
  /// result is then returned by `take_findings`.
  /// @param service service at which this node would let the stream go on.
  /// @param earliest_begin earliest time at which the stream may have begun.
  /// @return std::nullopt if the witnesses were queried.
  std::optional<origin_finding> look_up(const stream_key& stream, const std::string& service,
                                        base::time_point earliest_begin, base::time_point now);
  /// @return look-ups that ended since the last call of this function.
  [[nodiscard]] std::vector<std::pair<stream_key, origin_finding>> take_findings() {
    return std::exchange(findings_, {});
  }

  /// Keeps the origins that another node sent, answers its queries, and processes its answers.
  void handle(const base::node_id& sender, const base::network_address& address,
              const wire::stream_origins& message, base::time_point now);
  /// Sends the messages that are due, and ends the look-ups that have waited long enough.
  void advance(base::time_point now);
  /// @return time at which `advance` is due; std::nullopt if nothing is scheduled.
  [[nodiscard]] std::optional<base::time_point> next_wakeup() const;
  [[nodiscard]] wire::outbox take_messages() { return std::exchange(messages_, {}); }

  [[nodiscard]] const origin_exchange_counts& counts() const { return counts_; }
  [[nodiscard]] const origin_registry& registry() const { return registry_; }

 private:
  /// Query that waits for answers.
  struct pending_look_up {
    std::string service;
    base::time_point earliest_begin;
    /// Zones of the queried nodes that have not answered, by their address.
    std::map<base::network_address, base::zone_id> awaited;
    /// Zones of which a node has answered.
    std::set<base::zone_id> answered_zones;
    base::time_point ends_at;
    origin_finding finding;
  };

  void queue_record(const stream_key& stream, base::time_point now);
  void send_records(base::time_point now);
  void send(const base::network_address& to, const wire::stream_origins& content);
  void keep(const wire::stream_origin& told, base::time_point now);
  [[nodiscard]] wire::stream_origin_answer answer_to(const wire::stream_origin_query& query,
                                                     base::time_point now) const;
  void process_answer(const base::node_id& sender, const base::network_address& address,
                      const wire::stream_origin_answer& answer, base::time_point now);
  static void note_sole_version(origin_finding& finding, const wire::stream_origin_answer& answer,
                                base::time_point now);
  /// @return whether no further answer is worth waiting for.
  [[nodiscard]] bool is_settled(const pending_look_up& look_up, base::time_point now) const;
  void end_look_up(const stream_key& stream);
  [[nodiscard]] std::optional<origin_finding> find_here(const stream_key& stream,
                                                        base::time_point now) const;

  origin_witnesses witnesses_;
  version_check evidence_of_;
  origin_registry registry_;
  std::map<stream_key, pending_look_up> look_ups_;
  std::vector<std::pair<stream_key, origin_finding>> findings_;
  /// Records to send, by receiver.
  std::map<base::network_address, wire::stream_origins> queued_;
  base::time_point send_queued_at_;
  base::time_point next_expiry_at_;
  wire::outbox messages_;
  origin_exchange_counts counts_;
};

} // namespace spurrack::streams
