#include "catalog/replicator.h"

#include "catalog/entry_packing.h"

#include <algorithm>
#include <utility>

namespace spurrack::catalog {
namespace {

/// Time after which a content hash is removed from `differing_hashes_` if no peer sends it again.
constexpr base::duration differing_hash_lifetime = std::chrono::seconds(3);
/// Hash of an empty bucket.
constexpr std::uint64_t empty_bucket_hash = 0;

} // namespace

replicator::replicator(catalog& content, base::random_source& random, apply_observer observer)
    : content_(&content), random_(&random), observer_(std::move(observer)) {}

bool replicator::apply_entry(const wire::catalog_entry& entry) {
  const auto result = content_->apply(entry);
  if (result.verdict == apply_verdict::duplicate) {
    return false;
  }
  if (result.verdict != apply_verdict::rejected_again) {
    observer_(entry, result);
  }
  return result.verdict != apply_verdict::older;
}

void replicator::apply_and_gossip(const std::vector<wire::catalog_entry>& entries,
                                  const std::optional<wire::entry_range>& range,
                                  const gossip_receivers& receivers, wire::outbox& out) {
  std::vector<wire::catalog_entry> new_entries;
  for (const auto& entry : entries) {
    if (apply_entry(entry)) {
      new_entries.push_back(entry);
    }
  }
  const bool is_first_listing =
      new_entries.size() >= min_first_listing_entries && new_entries.size() * 2 >= content_->size();
  if (!is_first_listing && !new_entries.empty()) {
    forward(range ? entries : new_entries, range, gossip_hops, reader_fanout, receivers, out);
  }
}

void replicator::forward(const std::vector<wire::catalog_entry>& entries,
                         const std::optional<wire::entry_range>& range, std::uint32_t hops,
                         std::size_t fanout, const gossip_receivers& receivers, wire::outbox& out) {
  if (entries.empty() || hops == 0) {
    return;
  }
  wire::catalog_push body;
  body.set_hops_left(hops - 1);
  if (range) {
    *body.mutable_range() = *range;
  }
  pack_entries(entries, body);
  const auto send_to = [&](const base::network_address& receiver) {
    wire::outgoing push{receiver, {}};
    *push.message.mutable_catalog_push() = body;
    out.push_back(std::move(push));
  };
  std::for_each(receivers.relays.begin(), receivers.relays.end(), send_to);
  auto candidates = receivers.peers;
  for (std::size_t sent = 0; sent < fanout && !candidates.empty(); ++sent) {
    send_to(base::take_random(candidates, *random_));
  }
}

void replicator::compare(const base::network_address& peer, std::uint64_t peer_hash, bool is_eager,
                         base::time_point now, wire::outbox& out) {
  if (peer_hash == content_->content_hash()) {
    differs_since_.reset();
    comparison_interval_ = min_comparison_interval;
    return;
  }
  const bool has_lasting_difference = note_differing_hash(peer_hash, now);
  const auto interval = is_eager ? min_comparison_interval : comparison_interval_;
  if ((!has_lasting_difference && !is_eager) || now - last_comparison_at_ < interval ||
      is_answer_pending(now)) {
    return;
  }
  last_comparison_at_ = now;
  pending_peer_ = peer;
  wire::outgoing message{peer, {}};
  auto& body = *message.message.mutable_catalog_buckets();
  for (const auto hash : content_->bucket_hashes()) {
    body.add_hashes(hash);
  }
  out.push_back(std::move(message));
}

bool replicator::note_differing_hash(std::uint64_t peer_hash, base::time_point now) {
  std::erase_if(differing_hashes_, [&](const auto& entry) {
    return now - entry.second.last_received_at > differing_hash_lifetime;
  });
  const auto seen = differing_hashes_.try_emplace(peer_hash, differing_hash_times{now, now}).first;
  seen->second.last_received_at = now;
  differs_since_ = differs_since_.value_or(now);
  return now - seen->second.first_received_at >= settle_time ||
         now - *differs_since_ >= settle_time;
}

bool replicator::is_answer_pending(base::time_point now) const {
  return pending_peer_ && now - last_comparison_at_ < comparison_timeout;
}

void replicator::note_answer(const base::network_address& peer, bool had_new_entries) {
  if (pending_peer_ != peer) {
    return;
  }
  pending_peer_.reset();
  comparison_interval_ = had_new_entries
                             ? min_comparison_interval
                             : std::min(comparison_interval_ * 2, max_comparison_interval);
}

bool replicator::handle(const wire::envelope& message, const peer_lister& peers,
                        base::time_point now, const source_knowledge_table& knowledge,
                        wire::outbox& out) {
  if (message.has_catalog_push()) {
    return apply_push(message, peers, out);
  }
  if (message.has_catalog_buckets()) {
    answer_buckets(message, now, out);
  } else if (message.has_catalog_pull()) {
    answer_pull(message, out);
  } else if (message.has_entry_request()) {
    answer_request(message, knowledge, now, out);
  }
  return true;
}

bool replicator::apply_push(const wire::envelope& message, const peer_lister& peers,
                            wire::outbox& out) {
  const auto& push = message.catalog_push();
  const auto entries = unpack_entries(push);
  if (!entries) {
    observer_({}, {apply_verdict::rejected, "entries of " + message.sender() + " are unreadable"});
  }
  std::vector<wire::catalog_entry> new_entries;
  for (const auto& entry : entries.value_or(std::vector<wire::catalog_entry>{})) {
    if (apply_entry(entry)) {
      new_entries.push_back(entry);
    }
  }
  if (push.answers_comparison()) {
    note_answer(base::network_address(message.sender_address()), !new_entries.empty());
  }
  if (!new_entries.empty() && push.hops_left() > 0) {
    const auto range = push.has_range() ? std::optional(push.range()) : std::nullopt;
    forward(range ? *entries : new_entries, range, push.hops_left(), gossip_fanout, {{}, peers()},
            out);
  }
  return entries.has_value();
}

bool replicator::may_answer_with_entries(std::size_t entries, base::time_point now) {
  if (entries < large_answer_entries) {
    return true;
  }
  if (now - large_answer_period_started_at_ >= large_answer_period) {
    large_answer_period_started_at_ = now;
    large_answers_ = 0;
  }
  return large_answers_++ < max_large_answers;
}

void replicator::answer_buckets(const wire::envelope& message, base::time_point now,
                                wire::outbox& out) {
  const auto& peer_buckets = message.catalog_buckets();
  if (static_cast<std::size_t>(peer_buckets.hashes_size()) != catalog::bucket_count) {
    return;
  }
  const base::network_address sender(message.sender_address());
  wire::outgoing pull{sender, {}};
  auto& body = *pull.message.mutable_catalog_pull();
  bucket_set differing;
  for (std::size_t bucket = 0; bucket < catalog::bucket_count; ++bucket) {
    const auto peer_hash = peer_buckets.hashes(static_cast<int>(bucket));
    if (peer_hash == content_->bucket_hashes()[bucket]) {
      continue;
    }
    differing.set(bucket);
    if (peer_hash != empty_bucket_hash) {
      body.add_buckets(static_cast<std::uint32_t>(bucket));
    }
  }
  wire::outgoing push{sender, {}};
  auto& answer = *push.message.mutable_catalog_push();
  answer.set_answers_comparison(true);
  // The entries are counted first, and copied only if the answer may contain entries: while a fleet
  // starts, most answers are sent without entries because of `max_large_answers`.
  const bool may_send_entries = may_answer_with_entries(content_->count_in(differing), now);
  if (may_send_entries) {
    pack_entries(content_->entries_in(differing), answer);
    answer.set_is_complete(true);
  }
  // The pull, which requests entries, is sent before the push, which contains entries. If the peer
  // applied the push first, its answer to the pull would contain the pushed entries again.
  if (may_send_entries && body.buckets_size() > 0) {
    out.push_back(std::move(pull));
  }
  out.push_back(std::move(push));
}

void replicator::answer_request(const wire::envelope& message,
                                const source_knowledge_table& knowledge, base::time_point now,
                                wire::outbox& out) {
  const auto& request = message.entry_request();
  if (request.source() >= source_count) {
    return;
  }
  const store_position after{request.after_era(), request.after_revision()};
  const auto through = knowledge[request.source()].known_through();
  const auto source = static_cast<source_kind>(request.source());
  const auto entries = content_->entries_after(source, after);
  if (through <= after || !may_answer_with_entries(entries.size(), now)) {
    return;
  }
  wire::outgoing push{base::network_address(message.sender_address()), {}};
  auto& body = *push.message.mutable_catalog_push();
  *body.mutable_range() = make_entry_range(source, after, through);
  pack_entries(entries, body);
  out.push_back(std::move(push));
}

void replicator::answer_pull(const wire::envelope& message, wire::outbox& out) {
  bucket_set wanted;
  for (const auto bucket : message.catalog_pull().buckets()) {
    if (bucket < catalog::bucket_count) {
      wanted.set(bucket);
    }
  }
  const auto entries = content_->entries_in(wanted);
  if (entries.empty()) {
    return;
  }
  wire::outgoing push{base::network_address(message.sender_address()), {}};
  pack_entries(entries, *push.message.mutable_catalog_push());
  out.push_back(std::move(push));
}

} // namespace spurrack::catalog
