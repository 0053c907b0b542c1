/// Switches that disable single safety mechanisms. Tests use them to show that each mechanism is
/// necessary: if it is disabled, the simulation must find a violation. No setting of the daemon can
/// change the switches.
#pragma once

namespace spurrack::base {

struct safety_switches {
  /// A request with an idempotency key runs only if a majority of the key's witnesses, the nodes
  /// that record the key, granted the key to this request.
  bool witness_majority = true;
  /// A witness grants no key until its process has run for the maximum lifetime of a key.
  bool young_witness_wait = true;
  /// Only the node that issued a ticket redeems the ticket, and only in the same incarnation.
  bool ticket_binds_process = true;
  /// A call that must not run twice is not retried once it may have been sent.
  bool no_repeat_after_send = true;
  /// An answer must name the call that it answers.
  bool answer_identity_check = true;
  /// Catalog entries are never replaced by earlier revisions.
  bool revision_order = true;
  /// A back end gets no new calls once the machine list, a peer or its own refusal of a call has
  /// shown that it drains.
  bool leave_notices = true;
  /// The outcome `not_run` is reported only if `model::call_tracker` shows that no call ran.
  bool truthful_outcome = true;
  /// The expiry time of a call is checked immediately before its first byte is written.
  bool expiry_check_before_send = true;
  /// A stopping node completes its active requests before it exits.
  bool drain_before_stop = true;
};

} // namespace spurrack::base
