/// Permission to run requests that may run at most once. Such a request carries a ticket or an
/// idempotency key. The owner of a ticket is the node that issued it. The owner of a key is the
/// node whose request acquired the key from a majority of the key's witnesses (nodes that record
/// which request holds the key). Only the owner runs a request with the ticket or key; the other
/// nodes forward such requests to the owner. In identifiers, `effect` stands for the execution of
/// such a request.
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

/// Lifetimes of keys, tickets and replaced node lists, and the time limit for acquiring a key.
struct guard_settings {
  /// Lifetime of an idempotency key, and time for which a witness grants no keys after its start.
  base::duration key_lifetime = std::chrono::minutes(10);
  /// Time from the issue of a ticket within which the ticket must be redeemed.
  base::duration ticket_lifetime = std::chrono::minutes(1);
  /// Time after the replacement of a node list during which a key must also be granted by a
  /// majority of the witnesses that are chosen from the replaced list.
  base::duration replaced_list_lifetime = std::chrono::minutes(60);
  /// Longest time that a request waits for the replies of witnesses.
  base::duration witness_timeout = std::chrono::milliseconds(500);
  base::safety_switches switches;
};

/// Request that may run at most once and therefore needs the permission of `effect_guard`. The key
/// or the ticket is set; if both are set, the key is ignored.
struct guarded_request {
  admitted_request request;
  std::string idempotency_key;
  std::string ticket;
};

/// Decision to run the request at this node.
struct run_decision {
  admitted_request request;
};
/// Decision to let the caller wait for the answer to another request, which has the same ticket or
/// key and already runs at this node.
struct attach_decision {
  base::request_id running_request;
  caller_ref caller;
};
/// Decision to answer the caller without running the request at this node.
struct answer_decision {
  caller_ref caller;
  answer content;
  /// Tenant and template for which the answer is counted.
  pipeline_key counted_pipeline;
};
using guard_decision = std::variant<run_decision, attach_decision, answer_decision>;

/// Function that returns the address of a node in the published node list; std::nullopt if the node
/// is not listed.
using address_lookup = std::function<std::optional<base::network_address>(const base::node_id&)>;

/// Decides on each request that may run at most once: whether it runs at this node, its caller
/// waits for the answer to a running request, or its caller is answered without running it here.
/// Decisions and messages are collected until `take_decisions` and `take_messages` are called. Not
/// thread-safe.
class effect_guard {
 public:
  effect_guard(guard_settings settings, membership::identity self, base::random_source& random,
               address_lookup lookup_address, event_recorder record, base::time_point started_at);

  /// Replaces the node list that the platform publishes, from which witnesses are chosen.
  void update_node_list(const catalog::machine_map& machines, base::time_point now);

  /// Issues a ticket of this node. @return text of the ticket.
  std::string issue_ticket(base::time_point now);
  /// Asks for the decision on `request`. The decision is made during this call or later.
  void submit(guarded_request request, base::time_point now);
  /// Like `submit`, for a request that a peer forwarded because this node owns its ticket or key.
  /// Never queries witnesses; a request with a key is never forwarded again.
  void submit_forwarded(guarded_request request, base::time_point now);
  /// Processes messages between requesters and witnesses, and replies of owners to requests that
  /// this node forwarded. Ignores all other messages.
  void handle(const wire::envelope& message, base::time_point now);
  /// Stores the answer for later requests with the same ticket or key. Ignores answers to requests
  /// that this guard did not decide to run.
  void on_answer(const answer& content);
  /// Drops the expired records of tickets and keys. Refuses requests that waited too long for the
  /// replies of witnesses or for the answer of an owner. Sends unanswered messages again.
  void tick(base::time_point now);

  /// @return time at which `tick` next has to refuse a request or resend a message; std::nullopt if
  ///         no request is pending.
  [[nodiscard]] std::optional<base::time_point> next_deadline() const;
  /// @return number of requests that wait for witnesses, or for the answer of the owner to which
  ///         they were forwarded.
  [[nodiscard]] std::size_t pending_requests() const {
    return acquiring_requests_.size() + forwarded_requests_.size();
  }
  /// @return whether this node has been up long enough to grant keys as a witness.
  [[nodiscard]] bool may_witness(base::time_point now) const {
    return witness_store_.may_grant(now);
  }
  /// @return number of keys of which this node, as a witness, currently keeps a record.
  [[nodiscard]] std::size_t witnessed_keys() const { return witness_store_.size(); }
  [[nodiscard]] const guard_settings& settings() const { return settings_; }

  std::vector<guard_decision> take_decisions();
  wire::outbox take_messages();

 private:
  /// Request that waits for the witnesses of its key.
  struct acquiring_request {
    guarded_request guarded;
    idempotency::key_acquisition acquisition;
    /// Callers of other requests with the same key, which get the same answer.
    std::vector<caller_ref> attached_callers;
    base::time_point acquisition_deadline;
    base::time_point resend_at;
  };
  /// Request that was forwarded to its owner and waits for the owner's answer.
  struct forwarded_entry {
    guarded_request guarded;
    std::vector<caller_ref> attached_callers;
    base::network_address owner;
    base::incarnation owner_incarnation = 0;
    base::time_point resend_at;
  };

  void submit_with_ticket(guarded_request guarded, base::time_point now);
  void submit_with_key(guarded_request guarded, base::time_point now);
  /// Decides on a request if another request with the same ticket or key runs or was answered at
  /// this node. If the other request still runs, the caller of the new request waits for its
  /// answer. If it was answered, the caller gets the stored answer, with one exception: if the
  /// stored answer is `not_run` and the record of the ticket or key expires after the deadline of
  /// the new request, the new request runs. Until the record expires, no other node runs a request
  /// with the ticket or key.
  /// @return whether a decision was made.
  bool join_known_effect(const std::string& key, const guarded_request& guarded);
  void query_witnesses(const acquiring_request& acquiring, const std::string& key);
  void on_record_reply(const wire::envelope& message, base::time_point now);
  /// Once the acquisition of the key has succeeded or failed, runs, forwards or refuses the request
  /// that acquires it. Does nothing while the acquisition is pending.
  void resolve_acquisition(const std::string& key, base::time_point now);
  /// Tells each witness of the key to drop its record of the key if the record names this request
  /// as the holder.
  void release_key(const acquiring_request& acquiring);
  void forward_to_owner(guarded_request guarded, std::vector<caller_ref> attached_callers,
                        const base::network_address& owner, base::incarnation owner_incarnation,
                        base::time_point now);
  void send_forwarded_request(std::uint64_t id, forwarded_entry& entry, base::time_point now);
  void tick_acquisitions(base::time_point now);
  void tick_forwards(base::time_point now);
  void on_forwarded_reply(const wire::forwarded_reply& reply);
  void add_run_decision(admitted_request request, const std::string& key,
                        const std::vector<caller_ref>& attached_callers,
                        base::time_point expires_at);
  void refuse(const guarded_request& guarded, const std::vector<caller_ref>& attached_callers,
              model::outcome outcome, reason failure_reason, base::duration retry_after);
  void add_answer_decision(const guarded_request& guarded, const caller_ref& caller,
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
  std::map<std::string, acquiring_request> acquiring_requests_;
  std::map<std::uint64_t, forwarded_entry> forwarded_requests_;
  std::uint64_t next_forward_id_ = 1;
  std::vector<guard_decision> decisions_;
  wire::outbox messages_;
};

/// Converts answers to and from their wire form.
wire::request_answer to_wire(const answer& content);
answer from_wire(const wire::request_answer& message);

} // namespace spurrack::execution
