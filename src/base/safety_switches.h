/// Switches that disable single safety mechanisms. Tests use them to show that each mechanism is
/// necessary: if it is disabled, the simulation must find a violation. No setting of the daemon can
/// change the switches.
#pragma once

namespace spurrack::base {

struct safety_switches {
  /// A majority of the witnesses must record an idempotency key.
  bool witness_majority = true;
  /// A witness grants no key until it has run for the maximum lifetime of a key.
  bool young_witness_wait = true;
  /// Only the incarnation of the node that issued a ticket redeems it.
  bool ticket_binds_process = true;
  /// A call that must not run twice is not retried once it may have been sent.
  bool no_repeat_after_send = true;
  /// An answer must name the call that it answers.
  bool answer_identity_check = true;
  /// Catalog entries are never replaced by earlier revisions.
  bool revision_order = true;
  /// Leave notices from peers and refusals from back ends that are leaving are applied.
  bool leave_notices = true;
  /// `not_run` is reported only if the records of the calls prove it.
  bool truthful_outcome = true;
  /// The expiry time of a call is checked immediately before its first byte is written.
  bool expiry_check_before_send = true;
  /// A stopping node completes the requests under way.
  bool drain_before_stop = true;
};

} // namespace spurrack::base
