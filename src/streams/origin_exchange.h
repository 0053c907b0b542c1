/// Distributes the origins of streams: sends those that this node begins to their witnesses, keeps
/// those of other nodes, and queries the witnesses of a stream that a client resumes. No I/O:
/// messages are queued.
#pragma once

#include "base/time.h"
#include "fleet_view/peer_directory.h"
#include "streams/origin_registry.h"
#include "streams/origin_witnesses.h"
#include "streams/record_delivery.h"
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
  /// Origin in a record that is not bound, of the latest such call: a later call may have begun the
  /// stream. No evidence of the origin; std::nullopt if there is no such record.
  std::optional<stream_origin> unbound_origin;
  /// Number of the latest call that is recorded.
  std::uint32_t call = 0;
  /// Whether different origins were recorded as bound.
  bool is_contradictory = false;
  /// Whether a queried node knows of several software versions of the service, or two queried nodes
  /// each know of another one.
  bool peers_know_several_versions = false;
  /// What the queried nodes that know of one version alone know together.
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
  /// Records that were sent again, for lack of an acknowledgement; part of `sent_records`.
  std::uint64_t repeated_records = 0;
  /// Records that a witness acknowledged, counted for each witness.
  std::uint64_t acknowledged_records = 0;
  std::uint64_t kept_records = 0;
  std::uint64_t sent_queries = 0;
  /// Queries that were sent again, for lack of an answer; part of `sent_queries`.
  std::uint64_t repeated_queries = 0;
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

  /// @param incarnation of this node.
  origin_exchange(const serving::fleet_peer& self, version_check evidence_of,
                  base::incarnation incarnation);

  void set_peers(const std::vector<serving::fleet_peer>& alive) { witnesses_.set_peers(alive); }

  /// Records the origin of a stream that is bound: its client is being sent the first event, or
  /// this node sends a request that is bound to the origin. A call that has brought no event must
  /// not be recorded: a later call may begin the stream elsewhere, and the record of that call may
  /// be lost.
  /// @param call number of the call among the calls of the client attempt.
  /// @param lifetime time for which the client may resume the stream.
  /// @param is_shared whether the witnesses are told.
  void note_bound(const stream_key& stream, const stream_origin& origin, std::uint32_t call,
                  base::duration lifetime, bool is_shared, base::time_point now);
  /// Sends the queued records at once, because the first event of a stream goes to its client.
  void note_first_event(base::time_point now) { send_records(now); }
  /// Records that this node has sent the end of a stream to its client.
  void note_completed(const stream_key& stream) { registry_.note_completed(stream); }
  /// Tells the witnesses the origins of the open streams of a service that began while one software
  /// version was known.
  void share_open_streams(const std::string& service, base::time_point now);

  /// Looks up the origin of a stream. If this node has no bound record, queries the witnesses; the
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
  [[nodiscard]] const record_delivery& delivery() const { return delivery_; }

 private:
  /// Query that waits for answers.
  struct pending_look_up {
    std::string service;
    base::time_point earliest_begin;
    /// Zones of the queried nodes that have not answered, by their address.
    std::map<base::network_address, base::zone_id> awaited;
    /// Nodes that have answered.
    std::set<base::network_address> answered;
    /// Zones of which a node has answered.
    std::set<base::zone_id> answered_zones;
    /// Time at which the first queries were sent.
    base::time_point begun_at;
    /// Time at which the nodes that have not answered are queried again.
    base::time_point next_query_at;
    base::time_point ends_at;
    origin_finding finding;
  };

  /// Begins to tell the witnesses a record that was made or changed.
  void queue_record(const stream_key& stream, base::time_point now);
  void queue_for(const std::vector<base::network_address>& receivers, const stream_key& stream);
  void queue_acknowledgement(const base::network_address& to, std::uint64_t number,
                             base::time_point now);
  /// Sends all queued records, and the acknowledgements to the same nodes.
  void send_records(base::time_point now);
  void send_acknowledgements();
  void repeat_records(base::time_point now);
  /// Sends a message, with the acknowledgements that wait for the same node.
  void send(const base::network_address& to, wire::stream_origins content);
  void keep(const wire::stream_origin& told, base::time_point now);
  [[nodiscard]] wire::stream_origin_answer answer_to(const wire::stream_origin_query& query,
                                                     base::time_point now) const;
  void send_queries(const stream_key& stream, pending_look_up& look_up, base::time_point now);
  void process_answer(const base::node_id& sender, const base::network_address& address,
                      const wire::stream_origin_answer& answer, base::time_point now);
  static void note_origin(origin_finding& finding, const base::node_id& sender,
                          const wire::stream_origin& told);
  static void note_sole_version(pending_look_up& look_up, const wire::stream_origin_answer& answer,
                                base::time_point now);
  /// @return whether no further answer is worth waiting for.
  [[nodiscard]] bool is_settled(const pending_look_up& look_up, base::time_point now) const;
  void end_look_up(const stream_key& stream);
  /// Queries nodes again that have not answered, and ends look-ups.
  void advance_look_ups(base::time_point now);
  [[nodiscard]] std::optional<origin_finding> find_here(const stream_key& stream,
                                                        base::time_point now) const;

  origin_witnesses witnesses_;
  version_check evidence_of_;
  origin_registry registry_;
  std::map<stream_key, pending_look_up> look_ups_;
  std::vector<std::pair<stream_key, origin_finding>> findings_;
  record_delivery delivery_;
  /// Streams whose records are sent next, by receiver.
  std::map<base::network_address, std::set<stream_key>> queued_records_;
  base::time_point send_records_at_;
  /// Numbers of messages that were received and not acknowledged yet, by sender.
  std::map<base::network_address, std::vector<std::uint64_t>> queued_acknowledgements_;
  base::time_point send_acknowledgements_at_;
  base::time_point next_expiry_at_;
  wire::outbox messages_;
  origin_exchange_counts counts_;
};

} // namespace spurrack::streams
