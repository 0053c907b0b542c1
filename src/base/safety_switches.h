/// Switches that turn single safety mechanisms off. Tests use them to show that each mechanism is
/// needed: with one off, the simulation must find a violation. No setting of the daemon reaches
/// them.
#pragma once

namespace spurrack::base {

struct safety_switches {
  /// Idempotency keys are recorded by a majority of witnesses.
  bool witness_majority = true;
  /// A witness grants nothing before it has been up for the longest life of a key.
  bool young_witness_wait = true;
  /// A ticket is redeemed only by the life of the process that issued it.
  bool ticket_binds_process = true;
  /// A call that may not be repeated is not made again after it may have been sent.
  bool no_repeat_after_send = true;
  /// An answer must carry the identity of the call it answers.
  bool answer_identity_check = true;
  /// Catalog entries never go back.
  bool revision_order = true;
  /// Leave notices of peers and refusals of leaving back ends are heeded.
  bool leave_notices = true;
  /// `not_run` is said only where the ledger proves it.
  bool truthful_outcome = true;
  /// The expiry of a call is looked at right before its first byte is written.
  bool expiry_check_before_send = true;
  /// A stopping node lets requests under way end.
  bool drain_before_stop = true;
};

} // namespace spurrack::base
