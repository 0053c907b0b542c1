/// Permission for requests that may run at most once: by ticket, by idempotency key with witnesses,
/// or by forwarding to the node that owns the ticket or key.
#pragma once

#include "base/event_log.h"
#include "base/random.h"
#include "base/safety_switches.h"
#include "execution/answer.h"
#include "execution/commands.h"
#include "execution/executor.h"
#include "idempotency/effect_registry.h"
#include "idempotency/key_acquisition.h"
#include "idempotency/ticket.h"
#include "idempotency/witness_lists.h"
#include "idempotency/witness_store.h"
#include "membership/membership.h"
#include "wire/outgoing.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace spurrack::execution {

/// How long keys and tickets live.
struct guard_settings {
  /// Life of an idempotency key; also how long a new witness waits before it grants.
  base::duration key_lifetime = std::chrono::minutes(10);
  /// Time within which a ticket must be redeemed.
  base::duration ticket_lifetime = std::chrono::minutes(1);
  /// How long a replaced node list still counts for witnesses.
  base::duration list_window = std::chrono::minutes(60);
  /// Longest wait for witnesses.
  base::duration witness_timeout = std::chrono::milliseconds(500);
  base::safety_switches switches;
};

/// A request that asks for permission.
struct guarded_request {
  admitted_request request;
  std::string idempotency_key;
  std::string ticket;
};

/// The request may run now.
struct run_decision {
  admitted_request request;
};
/// The caller waits for a request that runs already.
struct attach_decision {
  base::request_id running;
  caller_ref caller;
};
/// The caller is answered without running anything here.
struct answer_decision {
  caller_ref caller;
  answer content;
  pipeline_key key;
};
using guard_decision = std::variant<run_decision, attach_decision, answer_decision>;

/// Finds the address of a published node; nothing where it is not listed.
using address_lookup = std::function<std::optional<base::network_address>(const base::node_id&)>;

/// Not thread-safe. Decisions and messages gather until they are taken.
class effect_guard {
 public:
  effect_guard(guard_settings settings, membership::identity self, base::random_source& random,
               address_lookup lookup_address, event_recorder record, base::time_point started_at);

  /// Takes over the published node list.
  void update_node_list(const catalog::machine_map& machines, base::time_point now);

  /// @return text of a new ticket of this node.
  std::string issue_ticket(base::time_point now);
  /// Asks for permission; the decision may come at once or later.
  void submit(guarded_request request, base::time_point now);
  /// Like `submit`, for a request that a peer forwarded because this node is the owner; never asks
  /// witnesses and never forwards again.
  void submit_forwarded(guarded_request request, base::time_point now);
  /// Handles witness and forward messages; other bodies are ignored.
  void handle(const wire::envelope& message, base::time_point now);
  /// Keeps the answer of an owned request for replay.
  void on_answer(const answer& content);
  /// Drops what has expired and refuses what waited too long.
  void tick(base::time_point now);

  [[nodiscard]] std::optional<base::time_point> next_deadline() const;
  [[nodiscard]] std::size_t pending() const { return acquiring_.size() + forwarded_.size(); }
  [[nodiscard]] bool may_witness(base::time_point now) const {
    return witness_store_.may_grant(now);
  }
  [[nodiscard]] std::size_t witnessed_keys() const { return witness_store_.size(); }
  [[nodiscard]] const guard_settings& settings() const { return settings_; }

  std::vector<guard_decision> take_decisions();
  wire::outbox take_messages();

 private:
  struct acquiring_request {
    guarded_request guarded;
    idempotency::key_acquisition acquisition;
    std::vector<caller_ref> attached_callers;
    base::time_point acquisition_deadline;
    base::time_point resend_at;
  };
  struct forwarded_entry {
    guarded_request guarded;
    std::vector<caller_ref> attached_callers;
    base::network_address owner;
    base::incarnation owner_incarnation = 0;
    base::time_point resend_at;
  };

  void submit_with_ticket(guarded_request guarded, base::time_point now);
  void submit_with_key(guarded_request guarded, base::time_point now);
  /// Joins an effect that this node owns already. One whose answer was `not_run` may run again
  /// under the same record, which still keeps every other node out.
  /// @return whether a decision was made.
  bool join_known_effect(const std::string& key, const guarded_request& guarded);
  void query_witnesses(const acquiring_request& acquiring, const std::string& key);
  void on_record_reply(const wire::envelope& message, base::time_point now);
  void resolve_acquisition(const std::string& key, base::time_point now);
  void release_key(const acquiring_request& acquiring);
  void forward_to_owner(guarded_request guarded, std::vector<caller_ref> attached_callers,
                        const base::network_address& owner, base::incarnation owner_incarnation,
                        base::time_point now);
  void send_forwarded_request(std::uint64_t id, forwarded_entry& entry, base::time_point now);
  void tick_acquisitions(base::time_point now);
  void tick_forwards(base::time_point now);
  void on_forwarded_reply(const wire::forwarded_reply& reply);
  void decide_run(admitted_request request, const std::string& key,
                  const std::vector<caller_ref>& attached_callers, base::time_point expires_at);
  void refuse(const guarded_request& guarded, const std::vector<caller_ref>& attached_callers,
              model::outcome outcome, reason failure_reason, base::duration retry_after);
  void decide_answer(const guarded_request& guarded, const caller_ref& caller,
                     const answer& content);
  [[nodiscard]] static std::string key_of(const guarded_request& guarded);

  guard_settings settings_;
  membership::identity self_;
  base::random_source* random_;
  address_lookup lookup_address_;
  event_recorder record_;
  idempotency::witness_store witness_store_;
  idempotency::witness_lists witness_lists_;
  idempotency::effect_registry<answer> effects_;
  std::map<std::string, acquiring_request> acquiring_;
  std::map<std::uint64_t, forwarded_entry> forwarded_;
  std::uint64_t next_forward_id_ = 1;
  std::vector<guard_decision> decisions_;
  wire::outbox messages_;
};

/// Conversions between answers and their wire form.
wire::request_answer to_wire(const answer& content);
answer from_wire(const wire::request_answer& message);

} // namespace spurrack::execution
